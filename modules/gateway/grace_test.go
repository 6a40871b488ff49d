package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that get neither an answer nor a refusal because they still run when
// the grace period ends.
func TestGraceEndAnswersRunningRequests(t *testing.T) {
	for target, status := range map[string]int{"/look/x": http.StatusBadGateway, "/book/x": http.StatusBadGateway, "/letters/x": http.StatusBadGateway} {
		t.Run(target, func(t *testing.T) {
			c := configuration()
			for i := range c.Routes {
				c.Routes[i].Timeout, c.Routes[i].MaxEventGap = time.Minute, time.Minute
			}
			hang := func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }
			f := newFixture(t, c, startUpstream(t, "u1", "desk", "z0", hang), startUpstream(t, "m1", "model", "z0", hang))
			f.Grace, f.DrainDelay = time.Second, 50*time.Millisecond
			response := make(chan callerResponse, 1)
			r := f.request("POST", target, "prompt", "Token-Count", "8,8")
			go func() { response <- f.do(r) }()
			time.Sleep(200 * time.Millisecond)
			begin := time.Now()
			assert.NilError(t, f.Stop(t.Context()))
			assert.Assert(t, time.Since(begin) < f.Grace, "%v", time.Since(begin))
			got := <-response
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, status, got.body)
		})
	}
}

// Guards against a request that comes late in the grace period on a kept connection, is passed on, and
// is cut off at the end: it may have run, and may not be repeated.
func TestLateRequestThatMayNotFinishIsRefused(t *testing.T) {
	c := configuration()
	for i := range c.Routes {
		c.Routes[i].Timeout = 5 * time.Second
	}
	c.Routes[0].Resumable = false
	slow := func(_ http.ResponseWriter, r *http.Request, n int) {
		if n > 1 {
			<-r.Context().Done()
		}
	}
	for _, target := range []string{"/book/x", "/look/x", "/letters/x"} {
		desk, model := startUpstream(t, "u1", "desk", "z0", slow), startUpstream(t, "m1", "model", "z0", slow)
		f := newFixture(t, c, desk, model)
		f.Grace, f.DrainDelay = 2500*time.Millisecond, 100*time.Millisecond
		kept := f.dial()
		kept.send(callerHead("POST", target, "HTTP/1.1", "first") + "Content-Length: 4\r\n\r\nbody")
		kept.expect(200)
		done := f.stopInBackground()
		time.Sleep(f.DrainDelay + 400*time.Millisecond)
		kept.send(callerHead("POST", target, "HTTP/1.1", "late") + "Content-Length: 4\r\n\r\nbody")
		res := kept.expect(http.StatusServiceUnavailable)
		assert.Assert(t, res.Close && res.Header.Get("Retry-After") != "", "%s", target)
		<-done
		for _, u := range []*upstream{desk, model} {
			for _, r := range u.requests() {
				assert.Assert(t, r.header.Get("Attempt-Id") != "late", "%s was passed on", target)
			}
		}
	}
}
