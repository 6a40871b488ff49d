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
const crashMark = "CRASH-THE-ENGINE"

func (f *fleet) enginesLeft() int {
	n := 0
	for _, e := range f.Engines {
		if f.procs[e.Name+"-engine"].running() {
			n++
		}
	}
	return n
}

// Guards against a request that takes down upstream after upstream, and against
// the requests beside it being blamed: two engines of five may die, the caller
// sends the request again through every entry, and all others finish.
func TestCrashingRequestKillsTwoAtMost(t *testing.T) {
	f := newFleet(t, shape{control: 1, entries: 2, engines: 5, step: "10ms"})
	ctx, cancel := context.WithTimeout(context.Background(), streamLimit)
	defer cancel()
	var wg sync.WaitGroup
	var sent atomic.Bool
	wg.Add(1)
	crash := onceAt(10, func() {
		defer wg.Done()
		sent.Store(true)
		f.sendCrashing(ctx, t)
	})
	f.streams(40, 120, func(i int, c *call) error {
		if err := c.stream(ctx, f.Entries[i%2], crash); err != nil {
			return err
		}
		return c.check()
	})
	assert.Assert(t, sent.Load(), "no stream came far enough")
	wg.Wait()
	assert.Assert(t, f.enginesLeft() >= len(f.Engines)-2, "%d of %d engines are left", f.enginesLeft(), len(f.Engines))
}

// sendCrashing sends the request that crashes its engine six times, through
// every entry in turn.
func (f *fleet) sendCrashing(ctx context.Context, t *testing.T) {
	for i := range 6 {
		c := &call{prompt: "reminder " + crashMark, tokens: 20}
		err := c.stream(ctx, f.Entries[i%len(f.Entries)], nil)
		var p *problem
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
const hangMark = "HANG-THE-ENGINE"

// faults counts how often engines have died or been stopped so far. It ends them.
func (f *fleet) faults() (n int) {
	for _, e := range f.Engines {
		p := f.procs[e.Name+"-engine"]
		p.kill() // its log is complete from then on
		n += strings.Count(p.log.String(), `"kind":"die"`) + strings.Count(p.log.String(), `"kind":"pause"`)
	}
	return n
}

// sendAgain sends a request with a mark through every entry in turn, whatever the answer.
func (f *fleet) sendAgain(mark string, times int) {
	ctx, cancel := context.WithTimeout(context.Background(), streamLimit)
	defer cancel()
	for i := range times {
		c := &call{prompt: "reminder " + mark, tokens: 20}
		f.t.Logf("send %d: %v", i, c.stream(ctx, f.Entries[i%len(f.Entries)], nil))
	}
}

// Guards against a request that ends engine after engine since each is back at its address
// before its agent looks: such an end is not certain, so it takes three.
func TestCrashingRequestAtEnginesThatReturnAtOnce(t *testing.T) {
	f := newFleet(t, shape{control: 1, entries: 2, engines: 3, enginesBack: time.Nanosecond})
	f.sendAgain(crashMark, 8)
	n := f.faults()
	assert.Assert(t, n <= 3, "engines died %d times", n)
}

// Guards against a request that hangs engine after engine: silence says less than a crash,
// so it takes three.
func TestHangingRequestStopsThreeAtMost(t *testing.T) {
	f := newFleet(t, shape{control: 1, entries: 2, engines: 6})
	f.sendAgain(hangMark, 6)
	n := f.faults()
	assert.Assert(t, n <= 3, "%d engines were stopped", n)
}
