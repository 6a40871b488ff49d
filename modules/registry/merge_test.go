package registry

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("condition not met yet")
	}, poll.WithDelay(time.Millisecond))
}

// Guards against a leader that makes one confirmation for each starting gateway: at 300
// machines, after all processes had been killed, this took 5.5 s in which nothing was
// served. Also guards against a result that was confirmed before the call started.
func TestConfirmationsAreMerged(t *testing.T) {
	var begun atomic.Uint64
	release := make(chan struct{})
	m := &confirmationMerger{}
	m.confirmOnce = func() (uint64, error) {
		version := begun.Add(1)
		<-release
		return version, nil
	}
	var wait sync.WaitGroup
	confirm := func(want uint64) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			version, err := m.confirm(t.Context())
			assert.Check(t, err)
			assert.Check(t, version >= want, "version %d was confirmed before the call started", version)
		}()
	}
	confirm(1)
	waitUntil(t, func() bool { return begun.Load() == 1 })
	for range 100 {
		confirm(2)
	}
	waitUntil(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.waiting) == 100
	})
	close(release)
	wait.Wait()
	assert.Equal(t, begun.Load(), uint64(2))

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	m.confirmOnce = func() (uint64, error) { <-t.Context().Done(); return 0, nil }
	_, err := m.confirm(ctx)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}
