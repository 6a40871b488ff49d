package e2e

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// lossShape is the fleet of the tests that take a part away mid-stream.
var lossShape = shape{control: 1, entries: 2, engines: 3, step: "10ms"}

// onceAt runs act when any of the streams has delivered n tokens.
func onceAt(n int, act func()) func(int) bool {
	var done atomic.Bool
	return func(got int) bool {
		if got >= n && done.CompareAndSwap(false, true) {
			go act()
		}
		return true
	}
}

// loseDuringStreams runs streams, takes a part away while they run, and checks
// every token.
func loseDuringStreams(t *testing.T, s shape, lose func(f *fleet)) {
	f := newFleet(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), streamLimit)
	defer cancel()
	watch := onceAt(20, func() { lose(f) })
	f.streams(30, 150, func(i int, c *call) error {
		if err := c.stream(ctx, f.Entries[i%len(f.Entries)], watch); err != nil {
			return err
		}
		return c.check()
	})
}

// Guards against a generation that starts over or ends when its engine dies.
func TestEngineKilled(t *testing.T) {
	loseDuringStreams(t, lossShape, func(f *fleet) { f.procs["letters-0-engine"].kill() })
}

// Guards against output of a paused engine that returns after its generations
// have gone on elsewhere.
func TestEnginePausedAndBack(t *testing.T) {
	loseDuringStreams(t, lossShape, func(f *fleet) {
		f.procs["letters-0-engine"].signal(syscall.SIGSTOP)
		time.AfterFunc(1500*time.Millisecond, func() { f.procs["letters-0-engine"].signal(syscall.SIGCONT) })
	})
}

// Guards against generations lost with the agent beside their engine.
func TestAgentKilled(t *testing.T) {
	loseDuringStreams(t, lossShape, func(f *fleet) { f.procs["letters-0"].kill() })
}

// Guards against an agent that is frozen and sends frames of replaced attempts
// when it returns.
func TestAgentPausedAndBack(t *testing.T) {
	loseDuringStreams(t, lossShape, func(f *fleet) {
		f.procs["letters-1"].signal(syscall.SIGSTOP)
		time.AfterFunc(1500*time.Millisecond, func() { f.procs["letters-1"].signal(syscall.SIGCONT) })
	})
}

// Guards against a second loss while generations are being resumed.
func TestTwoEnginesKilled(t *testing.T) {
	loseDuringStreams(t, lossShape, func(f *fleet) {
		f.procs["letters-0-engine"].kill()
		f.procs["letters-1"].kill()
	})
}

// Guards against streams that depend on the control instances.
func TestAllControlKilled(t *testing.T) {
	loseDuringStreams(t, lossShape, func(f *fleet) { f.procs["control-0"].kill() })
}

// Guards against a gap or a repeat when a caller comes back through another
// entry because its own was killed.
func TestEntryKilledCallerReturns(t *testing.T) {
	f := newFleet(t, lossShape)
	ctx, cancel := context.WithTimeout(context.Background(), streamLimit)
	defer cancel()
	watch := onceAt(20, f.procs["entry-0"].kill)
	f.streams(30, 150, func(_ int, c *call) error {
		if err := c.stream(ctx, f.Entries[0], watch); err == nil {
			return c.check()
		}
		if err := c.stream(ctx, f.Entries[1], nil); err != nil {
			return errors.Wrap(err, "second entry")
		}
		return c.check()
	})
}

// Guards against text lost when an entry and the engine of its generations die
// together, since the agent still holds the text.
func TestEntryAndEngineKilled(t *testing.T) {
	f := newFleet(t, lossShape)
	ctx, cancel := context.WithTimeout(context.Background(), streamLimit)
	defer cancel()
	watch := onceAt(20, func() {
		f.procs["entry-0"].kill()
		f.procs["letters-0-engine"].kill()
	})
	f.streams(20, 150, func(_ int, c *call) error {
		if err := c.stream(ctx, f.Entries[0], watch); err == nil {
			return c.check()
		}
		if err := c.stream(ctx, f.Entries[1], nil); err != nil {
			return errors.Wrap(err, "second entry")
		}
		return c.check()
	})
}

// Guards against a shutdown that cuts streams, of an agent and of an entry.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	for _, name := range []string{"letters-0", "entry-0"} {
		t.Run(name, func(t *testing.T) {
			var stopping *process
			loseDuringStreams(t, lossShape, func(f *fleet) {
				stopping = f.procs[name]
				stopping.signal(syscall.SIGTERM)
			})
			stopping.awaitExit(streamLimit)
		})
	}
}
