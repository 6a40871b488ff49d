package kernel

import "runtime/debug"

// memoryShare is the part of the process's memory that the garbage collector
// keeps below; the rest is for stacks, buffers of the system and the binary.
const memoryShare = 0.7

func limitMemory(mb int) {
	if mb <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(mb) * (1 << 20)))
}
