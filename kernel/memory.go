package kernel

import "runtime/debug"

// memoryLimitFraction is the Go runtime's soft memory limit as a fraction of the
// memory of the process. The rest is for what the limit doesn't count, such as
// kernel buffers and the binary.
const memoryLimitFraction = 0.7

func setMemoryLimit(mb int) {
	if mb <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(mb) * (1 << 20)))
}
