package kernel

import "runtime/debug"

// memoryLimitFraction is the part of the process's memory that the garbage collector
// keeps below; the rest is for stacks, buffers of the system and the binary.
const memoryLimitFraction = 0.7

func setMemoryLimit(mb int) {
	if mb <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(mb) * (1 << 20)))
}
