// Package recovery confines a panic to the unit of work in which it occurs, such
// as a request, a message or a task of an event loop. The process keeps running.
package recovery

import (
	"log/slog"
	"runtime/debug"

	"heatherway.dev/kernel/result"
)

// Into must be deferred directly by the function that runs a unit of work. It
// recovers a panic, logs it with its stack and stores an error in err.
func Into(log *slog.Logger, unit string, err *error) {
	if r := recover(); r != nil {
		log.Error("unexpected failure", "unit", unit, "panic", r, "stack", string(debug.Stack()))
		*err = result.New(result.Internal, "unexpected failure in %s", unit)
	}
}

// Run calls f and returns an error if it panics.
func Run(log *slog.Logger, unit string, f func()) (err error) {
	defer Into(log, unit, &err)
	f()
	return nil
}
