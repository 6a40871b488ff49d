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
var faultSpec = clusterSpec{control: 1, entries: 2, engines: 3, decodeStep: "10ms"}

// onceAt runs act when any of the streams has delivered n tokens.
func onceAfterTokens(n int, act func()) func(int) bool {
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
func streamDuringFault(t *testing.T, s clusterSpec, inject func(cl *cluster)) {
	cl := startCluster(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	onToken := onceAfterTokens(20, func() { inject(cl) })
	cl.generate(30, 150, func(i int, c *generation) error {
		if err := c.stream(ctx, cl.Entries[i%len(cl.Entries)], onToken); err != nil {
			return err
		}
		return c.verify()
	})
}

// Guards against a generation that starts over or ends when its engine dies.
func TestEngineKilled(t *testing.T) {
	streamDuringFault(t, faultSpec, func(cl *cluster) { cl.processes["letters-0-engine"].kill() })
}

// Guards against output of a paused engine that returns after its generations
// have gone on elsewhere.
func TestEnginePausedAndBack(t *testing.T) {
	streamDuringFault(t, faultSpec, func(cl *cluster) {
		cl.processes["letters-0-engine"].signal(syscall.SIGSTOP)
		time.AfterFunc(1500*time.Millisecond, func() { cl.processes["letters-0-engine"].signal(syscall.SIGCONT) })
	})
}

// Guards against generations lost with the agent beside their engine.
func TestAgentKilled(t *testing.T) {
	streamDuringFault(t, faultSpec, func(cl *cluster) { cl.processes["letters-0"].kill() })
}

// Guards against an agent that is frozen and sends frames of replaced attempts
// when it returns.
func TestAgentPausedAndBack(t *testing.T) {
	streamDuringFault(t, faultSpec, func(cl *cluster) {
		cl.processes["letters-1"].signal(syscall.SIGSTOP)
		time.AfterFunc(1500*time.Millisecond, func() { cl.processes["letters-1"].signal(syscall.SIGCONT) })
	})
}

// Guards against a second loss while generations are being resumed.
func TestTwoEnginesKilled(t *testing.T) {
	streamDuringFault(t, faultSpec, func(cl *cluster) {
		cl.processes["letters-0-engine"].kill()
		cl.processes["letters-1"].kill()
	})
}

// Guards against streams that depend on the control instances.
func TestAllControlKilled(t *testing.T) {
	streamDuringFault(t, faultSpec, func(cl *cluster) { cl.processes["control-0"].kill() })
}

// Guards against a gap or a repeat when a caller comes back through another
// entry because its own was killed.
func TestEntryKilledCallerReturns(t *testing.T) {
	cl := startCluster(t, faultSpec)
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	onToken := onceAfterTokens(20, cl.processes["entry-0"].kill)
	cl.generate(30, 150, func(_ int, c *generation) error {
		if err := c.stream(ctx, cl.Entries[0], onToken); err == nil {
			return c.verify()
		}
		if err := c.stream(ctx, cl.Entries[1], nil); err != nil {
			return errors.Wrap(err, "second entry")
		}
		return c.verify()
	})
}

// Guards against text lost when an entry and the engine of its generations die
// together, since the agent still holds the text.
func TestEntryAndEngineKilled(t *testing.T) {
	cl := startCluster(t, faultSpec)
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	onToken := onceAfterTokens(20, func() {
		cl.processes["entry-0"].kill()
		cl.processes["letters-0-engine"].kill()
	})
	cl.generate(20, 150, func(_ int, c *generation) error {
		if err := c.stream(ctx, cl.Entries[0], onToken); err == nil {
			return c.verify()
		}
		if err := c.stream(ctx, cl.Entries[1], nil); err != nil {
			return errors.Wrap(err, "second entry")
		}
		return c.verify()
	})
}

// Guards against a shutdown that cuts streams, of an agent and of an entry.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	for _, name := range []string{"letters-0", "entry-0"} {
		t.Run(name, func(t *testing.T) {
			var stopping *process
			streamDuringFault(t, faultSpec, func(cl *cluster) {
				stopping = cl.processes[name]
				stopping.signal(syscall.SIGTERM)
			})
			stopping.awaitExit(streamTimeout)
		})
	}
}
