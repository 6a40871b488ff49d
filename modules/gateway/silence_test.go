package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stream that is cut because its upstream is silent and does not list it, for
// example since it has preempted it: a stream that can't go on elsewhere has nothing to gain
// from that.
func TestSilenceEndsNoStreamThatCannotGoOn(t *testing.T) {
	const (
		idle     = `{"Queued":0,"KvUsed":0,"Runs":[]}`
		queued   = `{"Queued":3,"Running":4,"KvUsed":0,"Runs":[]}`
		produced = `{"Queued":0,"KvUsed":9,"Runs":[["silent",100,99,0]]}`
	)
	for name, c := range map[string]struct {
		resumable   bool
		attempts    int
		other       bool
		spent       bool // the retry budget of the gateway
		silentAfter int  // events
		silence     time.Duration
		report      string
	}{
		"not resumable":                              {false, 5, true, false, 3, 2500 * time.Millisecond, idle},
		"not resumable, a short silence":             {false, 5, true, false, 3, 500 * time.Millisecond, idle},
		"not resumable, at the first event":          {false, 5, true, false, 1, 1500 * time.Millisecond, idle},
		"not resumable, before the first event":      {false, 5, true, false, 0, 3 * time.Second, idle},
		"not resumable, one attempt":                 {false, 1, true, false, 3, 2 * time.Second, queued},
		"not resumable, further events were written": {false, 5, true, false, 3, 2 * time.Second, produced},
		"not resumable, no report":                   {false, 5, true, false, 3, 2 * time.Second, `{`},
		"one attempt":                                {true, 1, true, false, 3, 2500 * time.Millisecond, queued},
		"one attempt, before the first event":        {true, 1, true, false, 0, 3 * time.Second, queued},
		"one attempt, one report":                    {true, 1, true, false, 3, time.Second, idle},
		"no other upstream":                          {true, 5, false, false, 3, 2500 * time.Millisecond, queued},
		"no other upstream, no report":               {true, 5, false, false, 3, 2500 * time.Millisecond, `{`},
		"no retry left":                              {true, 5, true, true, 3, 2500 * time.Millisecond, queued},
		"no retry left, queued":                      {true, 5, true, true, 3, 1500 * time.Millisecond, queued},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			events := resumableEvents(9, func(_ http.ResponseWriter, r *http.Request, id int) {
				if id == c.silentAfter && r.Header.Get("Last-Event-Id") == "" {
					time.Sleep(c.silence)
				}
			})
			ups := []*upstream{startUpstream(t, "u0", "model", "z0", events)}
			if c.other {
				ups = append(ups, startUpstream(t, "u1", "model", "z1", events))
			}
			for _, u := range ups {
				u.report = func() string { return c.report }
			}
			conf := configuration()
			conf.Routes[0].Resumable, conf.Routes[0].MaxAttempts = c.resumable, c.attempts
			f := newFixture(t, conf, ups...)
			f.owner.call(func(s *state) {
				for c.spent && s.budget.AllowRetry(time.Now()) {
				}
			})
			res := f.doStream("Attempt-Id", "silent")
			assert.NilError(t, res.err)
			assert.Equal(t, res.status, http.StatusOK)
			assert.DeepEqual(t, receivedIDs(res.body), eventIDs(9))
			requests := 0
			for _, u := range ups {
				requests += len(u.requests())
			}
			assert.Equal(t, requests, 1)
		})
	}
}

// Guards against a stream that is read anew again and again, and cut at last, since each of its
// upstreams preempts it in turn.
func TestSilenceOfEachUpstreamInTurn(t *testing.T) {
	var ups []*upstream
	for _, zone := range []string{"z0", "z1", "z2"} {
		ups = append(ups, startUpstream(t, "u"+zone, "model", zone, resumableEvents(9, func(_ http.ResponseWriter, _ *http.Request, id int) {
			if id%3 == 2 {
				time.Sleep(900 * time.Millisecond)
			}
		})))
	}
	conf := configuration()
	conf.Routes[0].MaxAttempts = 2
	f := newFixture(t, conf, ups...)
	res := f.doStream()
	assert.NilError(t, res.err)
	assert.DeepEqual(t, receivedIDs(res.body), eventIDs(9))
}

// Guards against streams that are cut since many fall silent together: each finds the other
// upstreams ready until all of them count as failed.
func TestManyStreamsFallSilentTogether(t *testing.T) {
	const streams = 18
	var ups []*upstream
	silence := time.Now().Add(700 * time.Millisecond)
	for _, zone := range []string{"z0", "z1", "z2"} {
		u := startUpstream(t, "u"+zone, "model", zone, resumableEvents(9, func(_ http.ResponseWriter, r *http.Request, _ int) {
			time.Sleep(100 * time.Millisecond)
			if wait := time.Until(silence); wait < 0 && wait > -time.Second && r.Header.Get("Last-Event-Id") == "" {
				time.Sleep(2 * time.Second)
			}
		}))
		u.report = func() string { return `{"Queued":3,"Running":6,"KvUsed":0,"Runs":[],"born":1000}` }
		ups = append(ups, u)
	}
	f := newFixture(t, configuration(), ups...)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			res := f.do(f.request("POST", "/letters/x", fmt.Sprint("prompt ", i), "Token-Count", "800,80", "Prompt-Prefix", fmt.Sprintf("aa:200,b%d:600", i)))
			assert.Check(t, res.err == nil && res.status == http.StatusOK, "status %d, %v", res.status, res.err)
			assert.Check(t, len(receivedIDs(res.body)) == 10, "%d events", len(receivedIDs(res.body)))
		})
	}
	wg.Wait()
}

// Guards against a caller that waits for a stream whose upstream ends while it is silent.
func TestUpstreamEndsWhileSilent(t *testing.T) {
	u := startUpstream(t, "u0", "model", "z0", resumableEvents(9, func(_ http.ResponseWriter, _ *http.Request, id int) {
		if id == 3 {
			time.Sleep(time.Second)
			abort()
		}
	}))
	conf := configuration()
	conf.Routes[0].Resumable = false
	f := newFixture(t, conf, u)
	res := f.doStream()
	assert.Assert(t, res.err != nil, "a cut stream looks complete: %q", res.body)
	assert.Assert(t, res.took < 1500*time.Millisecond, "took %v", res.took)
}
