package agent

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// Guards against an engine that gets more requests, queries and health checks than the limit that it
// names, while the agent tells entries that it has room.
func TestLimitOfAnEngine(t *testing.T) {
	const (
		limit      = 2
		floodTime  = 5 * time.Second
		noticeTime = 500 * time.Millisecond
		allowed    = 1.5*limit*5 + 5
		// maxRetryMS is the longest wait of the class, for two requests, with the jitter.
		maxRetryMS = 2 * 1000 * 2 / limit
		// returnTime is the time after the end of a limit in which work returns.
		returnTime = 8 * time.Second
	)
	e := newFakeEngine(t)
	a := startAgent(t, engineAdapter(t, e.URL, 4), nil)
	openStream(t, a, request(1)).read(t, untilEnd)
	e.update(func(e *fakeEngine) { e.limit = "2" })
	begin := time.Now()
	var mu sync.Mutex
	served, refused, longest := 0, 0, uint32(0)
	for time.Since(begin) < floodTime {
		_, last := openStream(t, a, request(1)).read(t, untilEnd)
		mu.Lock()
		if last.Kind == wire.FrameEnd {
			served++
		} else {
			refused++
			assert.Equal(t, last.Code, result.QueueFull)
			assert.Equal(t, last.Ran, result.NotRun)
			longest = max(longest, last.RetryMS)
		}
		mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	e.update(func(e *fakeEngine) {
		late := 0
		for _, at := range e.limitedAt {
			if at.Sub(begin) > noticeTime {
				late++
			}
		}
		assert.Check(t, late <= allowed, "%d requests, allowed %d", late, int(allowed))
		e.limit = ""
	})
	assert.Check(t, served >= 4*limit, "%d requests served in %v", served, floodTime)
	assert.Check(t, refused > 0 && longest > 0 && longest <= maxRetryMS, "%d refused, Retry-After %d ms", refused, longest)
	for end, inARow := time.Now().Add(returnTime), 0; inARow < 20; inARow++ {
		assert.Assert(t, time.Now().Before(end), "the limit has not ended")
		if _, last := openStream(t, a, request(1)).read(t, untilEnd); last.Kind != wire.FrameEnd {
			inARow = 0
			time.Sleep(20 * time.Millisecond)
		}
	}
}
