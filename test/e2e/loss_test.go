package e2e

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// faultSpec is the cluster of the tests that inject a fault while streams run.
var faultSpec = clusterSpec{control: 1, entries: 2, engines: 3, decodeStep: "10ms"}

// onceAfterTokens returns a callback that runs act once, when the first of the
// streams has received n tokens.
func onceAfterTokens(n int, act func()) func(int) bool {
	var done atomic.Bool
	return func(received int) bool {
		if received >= n && done.CompareAndSwap(false, true) {
			go act()
		}
		return true
	}
}

// streamDuringFault runs streams, injects a fault while they run, and checks
// every token.
func streamDuringFault(t *testing.T, s clusterSpec, inject func(cl *cluster)) {
	cl := startCluster(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	onToken := onceAfterTokens(20, func() { inject(cl) })
	cl.generate(30, 150, func(i int, g *generation) error {
		if err := g.stream(ctx, cl.Entries[i%len(cl.Entries)], onToken); err != nil {
			return err
		}
		return g.verify()
	})
}

// Guards against a generation that restarts from the beginning or fails when its
// engine is killed.
func TestEngineKilled(t *testing.T) {
	streamDuringFault(t, faultSpec, func(cl *cluster) { cl.processes["letters-0-engine"].kill() })
}

// Guards against late output of a paused engine whose generations have been
// resumed elsewhere before it continues.
func TestEnginePausedAndBack(t *testing.T) {
	streamDuringFault(t, faultSpec, func(cl *cluster) {
		cl.processes["letters-0-engine"].signal(syscall.SIGSTOP)
		time.AfterFunc(1500*time.Millisecond, func() { cl.processes["letters-0-engine"].signal(syscall.SIGCONT) })
	})
}

// Guards against generations that are lost when the agent of their engine is
// killed.
func TestAgentKilled(t *testing.T) {
	streamDuringFault(t, faultSpec, func(cl *cluster) { cl.processes["letters-0"].kill() })
}

// Guards against a paused agent that sends frames of superseded attempts when it
// continues.
func TestAgentPausedAndBack(t *testing.T) {
	streamDuringFault(t, faultSpec, func(cl *cluster) {
		cl.processes["letters-1"].signal(syscall.SIGSTOP)
		time.AfterFunc(1500*time.Millisecond, func() { cl.processes["letters-1"].signal(syscall.SIGCONT) })
	})
}

// Guards against generations that fail when a second upstream is lost while they
// are being resumed.
func TestTwoEnginesKilled(t *testing.T) {
	streamDuringFault(t, faultSpec, func(cl *cluster) {
		cl.processes["letters-0-engine"].kill()
		cl.processes["letters-1"].kill()
	})
}

// Guards against running streams that fail when no control instance is left.
func TestAllControlKilled(t *testing.T) {
	streamDuringFault(t, faultSpec, func(cl *cluster) { cl.processes["control-0"].kill() })
}

// Guards against missing or repeated tokens when a caller reconnects through
// another entry because its own was killed.
func TestEntryKilledCallerReturns(t *testing.T) {
	cl := startCluster(t, faultSpec)
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	onToken := onceAfterTokens(20, cl.processes["entry-0"].kill)
	cl.generate(30, 150, func(_ int, g *generation) error {
		if err := g.stream(ctx, cl.Entries[0], onToken); err == nil {
			return g.verify()
		}
		if err := g.stream(ctx, cl.Entries[1], nil); err != nil {
			return errors.Wrap(err, "second entry")
		}
		return g.verify()
	})
}

// Guards against losing text when an entry and the engine of its generations
// are killed at the same time: the agent still has the text.
func TestEntryAndEngineKilled(t *testing.T) {
	cl := startCluster(t, faultSpec)
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	onToken := onceAfterTokens(20, func() {
		cl.processes["entry-0"].kill()
		cl.processes["letters-0-engine"].kill()
	})
	cl.generate(20, 150, func(_ int, g *generation) error {
		if err := g.stream(ctx, cl.Entries[0], onToken); err == nil {
			return g.verify()
		}
		if err := g.stream(ctx, cl.Entries[1], nil); err != nil {
			return errors.Wrap(err, "second entry")
		}
		return g.verify()
	})
}

// Guards against a graceful shutdown of an agent or an entry that breaks off
// running streams.
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
