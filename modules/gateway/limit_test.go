package gateway

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// limitKnown reports whether the gateway keeps requests to an upstream within a limit.
func (f *fixture) limitKnown(u *upstream) bool { return f.isLimited(u.Upstream) }

// Guards against a limit that is read in some kinds of answers only.
func TestLimitIsReadFromAnyAnswer(t *testing.T) {
	for _, status := range []int{200, 404, 500, 503} {
		ups := startPlainUpstreams(t, 2, func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("Server-Limit", "1.5")
			if status == 503 {
				w.Header().Set("Not-Run", "1")
			}
			w.WriteHeader(status)
		})
		f := newFixture(t, configuration(), ups...)
		requestUntilReceived(t, f, ups[0])
		assert.Assert(t, f.limitKnown(ups[0]), "status %d", status)
	}
	u := startUpstream(t, "u1", "model", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) { writeEvent(w, 0) })
	u.onReport = func(w http.ResponseWriter) { w.Header().Set("Server-Limit", "1.5") }
	other := startUpstream(t, "u2", "model", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) { writeEvent(w, 0) })
	f := newFixture(t, configuration(), u, other)
	assert.Equal(t, f.doStream().status, 200)
	assert.Assert(t, f.limitKnown(u), "answer to a report")
}

// Guards against requests beyond a limit while other upstreams have room, and against queries
// and copies that use up what callers need.
func TestRequestsBeyondALimitGoToOtherUpstreams(t *testing.T) {
	var reports atomic.Int64
	limited := startUpstream(t, "u1", "model", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Server-Limit", "0.5")
		writeEvent(w, 0)
	})
	limited.onReport = func(http.ResponseWriter) { reports.Add(1) }
	other := startUpstream(t, "u2", "model", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) { writeEvent(w, 0) })
	f := newFixture(t, configuration(), limited, other)
	for !f.limitKnown(limited) {
		assert.Equal(t, f.doStream().status, 200)
	}
	before, queries := len(limited.requests()), reports.Load()
	for range 40 {
		assert.Equal(t, f.doStream().status, 200)
	}
	assert.Assert(t, len(limited.requests())-before <= 1)
	assert.Equal(t, reports.Load(), queries)
}

// Guards against a request that waits, or is told nothing useful, while all upstreams have used up
// their limits.
func TestRequestIsRefusedAtOnceBeyondAllLimits(t *testing.T) {
	ups := startPlainUpstreams(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Server-Limit", "0.5")
		_, _ = io.WriteString(w, "ok")
	})
	f := newFixture(t, configuration(), ups...)
	requestUntilReceived(t, f, ups[0])
	refused := 0
	for range 20 {
		res := f.do(f.request("POST", "/book/x", "order"))
		if res.status == http.StatusOK {
			continue
		}
		refused++
		assert.Equal(t, res.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(res.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 0 && after <= 20.0/3+0.001, "Retry-After %v of a caller who waits 20 s", after)
		assert.Assert(t, res.took < 500*time.Millisecond, "%v", res.took)
	}
	assert.Assert(t, refused >= 18)
}

// Guards against a limit of another incarnation, an old limit in a late copy of an answer, and values
// that are no limit.
func TestLimitsThatDoNotCount(t *testing.T) {
	ups := startPlainUpstreams(t, 2, func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Server-Limit", "0")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	f := newFixture(t, configuration(), ups...)
	requestUntilReceived(t, f, ups[0])
	assert.Assert(t, !f.limitKnown(ups[0]), "answer of another incarnation")

	ups = startPlainUpstreams(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Attempt-Id", "an earlier one")
		w.Header().Set("Server-Limit", "0")
	})
	f = newFixture(t, configuration(), ups...)
	requestUntilReceived(t, f, ups[0])
	assert.Assert(t, !f.limitKnown(ups[0]), "late copy of an answer")

	for _, value := range []string{"", "-1", "NaN", "many"} {
		ups = startPlainUpstreams(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) { w.Header().Set("Server-Limit", value) })
		f = newFixture(t, configuration(), ups...)
		requestUntilReceived(t, f, ups[0])
		assert.Assert(t, !f.limitKnown(ups[0]), "%q", value)
	}
}

// Guards against a limit that counts as ended because answers to heatherway's own calls, or an answer
// with a value that cannot be read, do not name it.
func TestLimitLastsUntilAnAnswerToACallerNamesNone(t *testing.T) {
	u := startUpstream(t, "u1", "desk", "z0", func(w http.ResponseWriter, _ *http.Request, n int) {
		w.Header().Set("Server-Limit", "0.5")
	})
	for _, c := range []struct {
		header http.Header
		ends   bool
	}{{http.Header{}, false}, {http.Header{"Attempt-Id": {"a"}, "Server-Limit": {"many"}}, false}, {http.Header{"Attempt-Id": {"a"}}, true}} {
		f := newFixture(t, configuration(), u)
		for !f.limitKnown(u) {
			f.do(f.request("GET", "/look/x", ""))
		}
		f.handleResponseSignals(u.Upstream, receivedResponse{200, c.header, time.Now(), true})
		f.owner.call(func(s *state) {
			now := time.Now()
			_, endsNow := s.fleet.ObserveLimit(now, now, u.ID, u.StartedMS, nil)
			assert.Check(t, endsNow != c.ends, "%v", c.header)
		})
	}
}

// Guards against a restarted upstream that is still kept to the limit of its earlier incarnation.
func TestLimitEndsWithTheIncarnation(t *testing.T) {
	ups := startPlainUpstreams(t, 1, func(w http.ResponseWriter, _ *http.Request, n int) {
		if n == 1 {
			w.Header().Set("Server-Limit", "0")
		}
	})
	f := newFixture(t, configuration(), ups...)
	requestUntilReceived(t, f, ups[0])
	assert.Equal(t, f.do(f.request("POST", "/book/x", "order")).status, 503)
	restarted := ups[0].Upstream
	restarted.StartedMS++
	f.announce(restarted)
	for range 5 {
		assert.Equal(t, f.do(f.request("POST", "/book/x", "order")).status, 200)
	}
}
