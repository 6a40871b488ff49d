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

func until(t *testing.T, reached func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reached() {
			return poll.Success()
		}
		return poll.Continue("not reached")
	}, poll.WithDelay(time.Millisecond))
}

// Guards against a leader that confirms once for each gateway that has started
// (5.5 s without service at 300 machines after all processes had been killed),
// and against an answer that was confirmed before the call.
func TestConfirmationsAreMerged(t *testing.T) {
	var begun atomic.Uint64
	release := make(chan struct{})
	m := &merger{}
	m.confirm = func() (uint64, error) {
		version := begun.Add(1)
		<-release
		return version, nil
	}
	var wait sync.WaitGroup
	ask := func(want uint64) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			version, err := m.do(t.Context())
			assert.Check(t, err)
			assert.Check(t, version >= want, "%d was confirmed before the call", version)
		}()
	}
	ask(1)
	until(t, func() bool { return begun.Load() == 1 })
	for range 100 {
		ask(2)
	}
	until(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.waiting) == 100
	})
	close(release)
	wait.Wait()
	assert.Equal(t, begun.Load(), uint64(2))

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	m.confirm = func() (uint64, error) { <-t.Context().Done(); return 0, nil }
	_, err := m.do(ctx)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}
