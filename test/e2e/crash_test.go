package e2e

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"

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
