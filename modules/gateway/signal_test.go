package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/registration"
)

// startPlainUpstreams starts upstreams of service desk; the first responds with handle,
// the others always succeed.
func startPlainUpstreams(t *testing.T, count int, handle func(http.ResponseWriter, *http.Request, int)) []*upstream {
	t.Helper()
	ups := []*upstream{startUpstream(t, "u0", "desk", "z0", handle)}
	for i := 1; i < count; i++ {
		ups = append(ups, startUpstream(t, fmt.Sprint("u", i), "desk", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) {
			_, _ = io.WriteString(w, "ok")
		}))
	}
	return ups
}

// requestUntilReceived sends requests until the upstream has received one.
func requestUntilReceived(t *testing.T, f *fixture, u *upstream) {
	t.Helper()
	for range 200 {
		f.do(f.request("GET", "/look/x", ""))
		if len(u.requests()) > 0 {
			return
		}
	}
	t.Fatal("the upstream received no request")
}

// Guards against new requests at an upstream that has said in a response that it is
// leaving, even if its announcements still say that it is ready.
func TestNoRequestsAfterLeavingSignal(t *testing.T) {
	for _, status := range []int{200, 404, 500, 503} {
		ups := startPlainUpstreams(t, 3, func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("Server-Leaving", "1")
			if status == 503 {
				w.Header().Set("Not-Run", "1")
			}
			w.WriteHeader(status)
		})
		f := newFixture(t, configuration(), ups...)
		requestUntilReceived(t, f, ups[0])
		later := ups[0].Upstream
		later.Seq++
		f.announce(later)
		before := len(ups[0].requests())
		for range 30 {
			assert.Equal(t, f.do(f.request("POST", "/book/x", "order")).status, 200)
		}
		assert.Equal(t, len(ups[0].requests()), before, "status %d", status)
	}
}

// Guards against a restarted upstream that gets no requests because its earlier
// incarnation left.
func TestRestartAfterLeaving(t *testing.T) {
	ups := startPlainUpstreams(t, 1, func(w http.ResponseWriter, _ *http.Request, n int) {
		if n == 1 {
			w.Header().Set("Server-Leaving", "1")
		}
	})
	f := newFixture(t, configuration(), ups...)
	requestUntilReceived(t, f, ups[0])
	assert.Equal(t, f.do(f.request("POST", "/book/x", "order")).status, 503)
	restarted := ups[0].Upstream
	restarted.StartedMS++
	f.announce(restarted)
	assert.Equal(t, f.do(f.request("POST", "/book/x", "order")).status, 200)
}

// Guards against aborting the streams of a leaving upstream, and against placing the
// next stream there.
func TestLeavingUpstreamFinishesItsStreams(t *testing.T) {
	u := startUpstream(t, "u1", "model", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Server-Leaving", "1")
		for i := range 5 {
			writeEvent(w, i)
			time.Sleep(20 * time.Millisecond)
		}
	})
	f := newFixture(t, configuration(), u)
	res := f.doStream()
	assert.Equal(t, res.status, 200)
	assert.Equal(t, len(receivedIDs(res.body)), 5)
	assert.Equal(t, f.doStream().status, 503)
	assert.Equal(t, len(u.requests()), 1)
}

// Guards against ignoring the leaving signal in the response to a report call.
func TestLeavingIsReadFromReports(t *testing.T) {
	leaving := startUpstream(t, "u1", "model", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) { writeEvent(w, 0) })
	var reports atomic.Int64
	leaving.onReport = func(w http.ResponseWriter) {
		reports.Add(1)
		w.Header().Set("Server-Leaving", "1")
	}
	leaving.report = func() string { return emptyReport }
	other := startUpstream(t, "u2", "model", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) { writeEvent(w, 0) })
	f := newFixture(t, configuration(), leaving, other)
	for reports.Load() == 0 {
		assert.Equal(t, f.doStream().status, 200)
	}
	before := len(leaving.requests())
	for range 10 {
		assert.Equal(t, f.doStream().status, 200)
	}
	assert.Equal(t, len(leaving.requests()), before)
	assert.Equal(t, reports.Load(), int64(1))
}

// Guards against requests at an upstream during the backoff that it asked for.
func TestNoRequestsDuringBackoff(t *testing.T) {
	const wait = 600 * time.Millisecond
	ups := startPlainUpstreams(t, 2, func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(503)
	})
	f := newFixture(t, configuration(), ups...)
	requestUntilReceived(t, f, ups[0])
	end := time.Now().Add(wait - 100*time.Millisecond)
	for time.Now().Before(end) {
		assert.Equal(t, f.do(f.request("POST", "/book/x", "order")).status, 200)
	}
	assert.Equal(t, len(ups[0].requests()), 1)
	time.Sleep(200 * time.Millisecond)
	for range 200 {
		f.do(f.request("GET", "/look/x", ""))
	}
	assert.Assert(t, len(ups[0].requests()) > 1, "the upstream is used again after its backoff")
}

// Guards against report calls to an upstream during its backoff, and against a
// Retry-After that ends before any upstream can take the request.
func TestNoReportsDuringBackoff(t *testing.T) {
	var reports int
	u := startUpstream(t, "u1", "model", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Retry-After", "0.7")
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(503)
	})
	u.onReport = func(http.ResponseWriter) { reports++ }
	f := newFixture(t, configuration(), u)
	res := f.doStream()
	assert.Equal(t, res.status, 503)
	after, err := strconv.ParseFloat(res.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0.4 && after <= 0.7, "Retry-After is %v", after)
	reportsBefore := reports
	assert.Equal(t, f.doStream().status, 503)
	assert.Equal(t, len(u.requests()), 1)
	assert.Equal(t, reports, reportsBefore)
}

// Guards against malformed or meaningless header values that take an upstream out of
// use.
func TestMalformedSignalsAreIgnored(t *testing.T) {
	for _, header := range []http.Header{
		{"Server-Leaving": {"0"}}, {"Server-Leaving": {""}}, {"Retry-After": {""}}, {"Retry-After": {"-5"}}, {"Retry-After": {"NaN"}},
		{"Retry-After": {"Fri, 04 Dec 2026 10:00:00 GMT"}}, {"Retry-After": {"0"}},
	} {
		ups := startPlainUpstreams(t, 1, func(w http.ResponseWriter, _ *http.Request, n int) {
			for name, values := range header {
				w.Header()[name] = values
			}
			if n == 1 {
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(503)
			}
		})
		f := newFixture(t, configuration(), ups...)
		requestUntilReceived(t, f, ups[0])
		assert.Equal(t, f.do(f.request("POST", "/book/x", "order")).status, 200, "%v", header)
	}
}

// Guards against a leaving upstream that gets requests again because of a later state
// in the directory.
func TestLeavingOverridesTheDirectory(t *testing.T) {
	ups := startPlainUpstreams(t, 2, func(w http.ResponseWriter, _ *http.Request, _ int) { w.Header().Set("Server-Leaving", "1") })
	f := newFixture(t, configuration(), ups...)
	requestUntilReceived(t, f, ups[0])
	before, later := len(ups[0].requests()), ups[0].Upstream
	for _, state := range []registration.State{registration.Lost, registration.Ready} {
		later.Seq, later.State = later.Seq+1, state
		f.announce(later)
		for range 10 {
			assert.Equal(t, f.do(f.request("POST", "/book/x", "order")).status, 200)
		}
	}
	assert.Equal(t, len(ups[0].requests()), before)
}
