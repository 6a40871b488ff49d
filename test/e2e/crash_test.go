package e2e

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/kernel/result"
)

// crashMark in a prompt makes the stand-in engine end its process.
const crashPrompt = "CRASH-THE-ENGINE"

func (cl *cluster) runningEngines() int {
	n := 0
	for _, e := range cl.Engines {
		if cl.processes[e.Name+"-engine"].running() {
			n++
		}
	}
	return n
}

// Guards against a request that takes down upstream after upstream, and against
// the requests beside it being blamed: two engines of five may die, the caller
// sends the request again through every entry, and all others finish.
func TestCrashingRequestKillsTwoAtMost(t *testing.T) {
	cl := startCluster(t, clusterSpec{control: 1, entries: 2, engines: 5, decodeStep: "10ms"})
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var sent atomic.Bool
	wg.Add(1)
	sendOnce := onceAfterTokens(10, func() {
		defer wg.Done()
		sent.Store(true)
		cl.sendCrashing(ctx, t)
	})
	cl.generate(40, 120, func(i int, c *generation) error {
		if err := c.stream(ctx, cl.Entries[i%2], sendOnce); err != nil {
			return err
		}
		return c.verify()
	})
	assert.Assert(t, sent.Load(), "no stream came far enough")
	wg.Wait()
	assert.Assert(t, cl.runningEngines() >= len(cl.Engines)-2, "%d of %d engines are left", cl.runningEngines(), len(cl.Engines))
}

// sendCrashing sends the request that crashes its engine six times, through
// every entry in turn.
func (cl *cluster) sendCrashing(ctx context.Context, t *testing.T) {
	for i := range 6 {
		c := &generation{prompt: "reminder " + crashPrompt, tokens: 20}
		err := c.stream(ctx, cl.Entries[i%len(cl.Entries)], nil)
		var p *apiError
		if !errors.As(err, &p) {
			t.Errorf("send %d: %v", i, err)
			continue
		}
		if i > 0 && p.Code != int(result.Quarantined) {
			t.Errorf("send %d was answered with %v, want quarantined", i, p)
		}
	}
}

// hangMark in a prompt makes the stand-in engine stop all work and all answers.
const hangPrompt = "HANG-THE-ENGINE"

// faults counts how often engines have died or been stopped so far. It ends them.
func (cl *cluster) stopAndCountFaults() (n int) {
	for _, e := range cl.Engines {
		p := cl.processes[e.Name+"-engine"]
		p.kill() // its log is complete from then on
		n += strings.Count(p.log.String(), `"kind":"die"`) + strings.Count(p.log.String(), `"kind":"pause"`)
	}
	return n
}

// sendAgain sends a request with a mark through every entry in turn, whatever the answer.
func (cl *cluster) sendRepeatedly(marker string, times int) {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	for i := range times {
		c := &generation{prompt: "reminder " + marker, tokens: 20}
		cl.t.Logf("send %d: %v", i, c.stream(ctx, cl.Entries[i%len(cl.Entries)], nil))
	}
}

// Guards against a request that ends engine after engine since each is back at its address
// before its agent looks: such an end is not certain, so it takes three.
func TestCrashingRequestAtEnginesThatReturnAtOnce(t *testing.T) {
	cl := startCluster(t, clusterSpec{control: 1, entries: 2, engines: 3, engineRestartDelay: time.Nanosecond})
	cl.sendRepeatedly(crashPrompt, 8)
	n := cl.stopAndCountFaults()
	assert.Assert(t, n <= 3, "engines died %d times", n)
}

// Guards against a request that hangs engine after engine: silence says less than a crash,
// so it takes three.
func TestHangingRequestStopsThreeAtMost(t *testing.T) {
	cl := startCluster(t, clusterSpec{control: 1, entries: 2, engines: 6})
	cl.sendRepeatedly(hangPrompt, 6)
	n := cl.stopAndCountFaults()
	assert.Assert(t, n <= 3, "%d engines were stopped", n)
}
