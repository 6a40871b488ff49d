package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/registration"
	"heatherway.dev/core/routing"
	"heatherway.dev/heatherway/modules/registry"
	"heatherway.dev/kernel/peer"
)

// startUpstreams starts n upstreams of a service, each in its own availability zone.
func startUpstreams(t *testing.T, n int, service string, handle func(http.ResponseWriter, *http.Request, int)) (list []*upstream) {
	t.Helper()
	for i := range n {
		list = append(list, startUpstream(t, fmt.Sprint(service, i), service, fmt.Sprint("z", i), handle))
	}
	return list
}

// requestCount returns the number of requests that the upstreams received.
func requestCount(list []*upstream) (n int) {
	for _, u := range list {
		n += len(u.requests())
	}
	return n
}

// markLost announces that upstreams were lost.
func (f *fixture) markLost(list ...*upstream) {
	f.t.Helper()
	for _, u := range list {
		u.State, u.Seq = registration.Lost, u.Seq+1
		f.announce(u.Upstream)
	}
	f.owner.call(func(*state) {}) // wait until the owner has processed the announcements
}

// Guards against plain requests that crash one upstream after another. Their broken runs
// are recorded like those of streams: callers are told to retry while the state of the
// upstreams is unknown, and get the final error once it is known.
func TestPlainCallsThatCrashUpstreams(t *testing.T) {
	for _, path := range []string{"/look/x", "/book/x"} {
		ups := startUpstreams(t, 6, "desk", func(http.ResponseWriter, *http.Request, int) { abort() })
		f := newFixture(t, configuration(), ups...)
		for range 3 {
			f.do(f.request("POST", path, "poison"))
		}
		assert.Equal(t, requestCount(ups), 3, path)
		response := f.do(f.request("POST", path, "poison"))
		assert.Equal(t, response.status, http.StatusServiceUnavailable, "this attempt has not run")
		assert.Equal(t, response.header.Get("Retry-After"), "1.000")
		f.markLost(ups...)
		assert.Equal(t, f.do(f.request("POST", path, "poison")).status, http.StatusBadGateway)
		assert.Equal(t, requestCount(ups), 3, path)
		f.do(f.request("POST", path, "honest"))
		assert.Assert(t, requestCount(ups) > 3, "other requests still run")
	}
}

// Guards against a request in flight that is retried at further upstreams after it has
// crashed three.
func TestInFlightRequestStopsAfterThreeCrashes(t *testing.T) {
	ups := startUpstreams(t, 6, "model", func(http.ResponseWriter, *http.Request, int) { abort() })
	c := configuration()
	c.Routes[0].MaxAttempts = 12
	f := newFixture(t, c, ups...)
	f.owner.call(func(s *state) {
		for range 40 {
			s.budget.AddAttempt(time.Now()) // so that the retry budget does not end the request earlier
		}
	})
	assert.Equal(t, f.doStream().status, http.StatusBadGateway)
	upstreamsReached := 0
	for _, u := range ups {
		upstreamsReached += min(len(u.requests()), 1) // a stream reconnects once to an upstream that closes the connection
	}
	assert.Equal(t, upstreamsReached, 3)
}

// Guards against upstreams that hang and crash one after another on a request whose
// callers disconnect before the gateway detects the failure.
func TestAbandonedRequestsCountAsCrashes(t *testing.T) {
	ups := startUpstreams(t, 6, "desk", func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() })
	f := newFixture(t, configuration(), ups...)
	for i := range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		assert.Assert(t, f.do(f.request("POST", "/book/x", "poison").WithContext(ctx)).err != nil)
		cancel()
		eventually(t, "the abandoned request to be recorded", func() (recorded bool) {
			f.owner.call(func(s *state) { recorded = s.crashes.RequestCount() == 1 && f.openRequests.Load() == 0 })
			return recorded && requestCount(ups) == i+1
		})
		for _, u := range ups {
			if u.State == registration.Ready && len(u.requests()) > 0 {
				f.markLost(u)
			}
		}
	}
	assert.Equal(t, f.do(f.request("POST", "/book/x", "poison")).status, http.StatusBadGateway)
	assert.Equal(t, requestCount(ups), 3)
}

// Guards against harmless requests that are blocked because some of their runs hit
// failing upstreams, between complete responses, or upstreams that stopped as planned.
func TestHarmlessRequestsAreNotBlocked(t *testing.T) {
	var count atomic.Int64
	ups := startUpstreams(t, 5, "desk", func(w http.ResponseWriter, r *http.Request, _ int) {
		if count.Add(1)%3 == 0 {
			abort()
		}
		_, _ = io.WriteString(w, "ok")
	})
	f := newFixture(t, configuration(), ups...)
	for i := range 20 {
		f.do(f.request("POST", "/look/x", "popular")) // some fail with their upstream when the retry budget is used up
		assert.Equal(t, f.suspectRequests.Load(), int64(0), "request %d", i)
	}

	var stopping []*upstream
	f = newFixture(t, configuration())
	stopping = startUpstreams(t, 5, "desk", func(_ http.ResponseWriter, r *http.Request, _ int) {
		for _, u := range stopping {
			if u.server.Listener.Addr().String() == r.Context().Value(http.LocalAddrContextKey).(net.Addr).String() {
				u.State, u.Seq = registration.Draining, 2
				f.announce(u.Upstream)
			}
		}
		abort()
	})
	for _, u := range stopping {
		f.announce(u.Upstream)
	}
	for range stopping {
		f.do(f.request("POST", "/book/x", "planned"))
	}
	assert.Equal(t, requestCount(stopping), len(stopping))
	assert.Equal(t, f.trackedRequests.Load(), int64(0))
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after 5 s waiting for %s", what)
		}
	}
}

// trialControl is a control instance that grants only the first trial.
type trialControl struct{ trials, leaving, crashes atomic.Int64 }

func (c *trialControl) Trial(_ *registry.TrialArgs, reply *registry.TrialReply) error {
	reply.Granted = c.trials.Add(1) == 1
	return nil
}

func (c *trialControl) Leaving(*registry.LeavingArgs, *registry.LeavingReply) error {
	c.leaving.Add(1)
	return nil
}

func (c *trialControl) Crash(*registry.CrashArgs, *registry.CrashReply) error {
	c.crashes.Add(1)
	return nil
}

// followControl makes service the control instance that the gateway follows.
func (f *fixture) followControl(service any) {
	server := httptest.NewServer(&peer.Handler{Security: f.security, Services: func(peer.Roles) map[string]any {
		return map[string]any{registry.ServiceName: service}
	}})
	f.t.Cleanup(server.Close)
	f.follower.mu.Lock()
	defer f.follower.mu.Unlock()
	f.follower.following[server.Listener.Addr().String()] = true
}

// Guards against reports that are dropped while no control instance can be reached: the
// other gateways would never receive them.
func TestReportsAreRetriedDuringControlOutage(t *testing.T) {
	u := startUpstream(t, "u", "desk", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) { abort() })
	f := newFixture(t, configuration(), u)
	f.do(f.request("POST", "/book/x", "poison"))
	f.markLeaving(u.Upstream)
	f.sleep(2 * time.Second) // an earlier version gave up within this time
	control := &trialControl{}
	f.followControl(control)
	eventually(t, "the reports", func() bool { return control.leaving.Load() == 1 && control.crashes.Load() >= 1 })
}

// Guards against a frequent request that stays blocked for long because all its
// upstreams failed at the same time for another reason, and against trials of a
// crashing request at more than one upstream.
func TestTrialOfABlockedRequest(t *testing.T) {
	for _, crashing := range []bool{false, true} {
		ups := startUpstreams(t, 4, "desk", func(w http.ResponseWriter, _ *http.Request, _ int) {
			if crashing {
				abort()
			}
			_, _ = io.WriteString(w, "ok")
		})
		f := newFixture(t, configuration(), ups...)
		control := &trialControl{}
		f.followControl(control)
		c := &callerRequest{g: f.Gateway, organisation: &routing.Organisation{Name: "mill"}, outgoing: outgoingRequest{method: "POST", target: "/look/x", body: []byte("popular")}}
		var entries []crash.Entry
		for i := range 4 {
			r := crash.Run{Fingerprint: c.fingerprint(), Upstream: fmt.Sprint("v", i), Addr: fmt.Sprint("a", i), StartedMS: 1}
			entries = append(entries, crash.Entry{Run: r, Outcome: crash.UpstreamEnded, AgeMS: 15_000})
		}
		f.mergeCrashes(entries)
		f.owner.call(func(*state) {})
		wantStatus := map[bool]int{false: http.StatusOK, true: http.StatusBadGateway}[crashing]
		for i := range 3 {
			assert.Equal(t, f.do(f.request("POST", "/look/x", "popular")).status, wantStatus, "attempt %d", i)
		}
		assert.Equal(t, control.trials.Load(), int64(1))
		assert.Equal(t, requestCount(ups), map[bool]int{false: 3, true: 1}[crashing])
	}
}
