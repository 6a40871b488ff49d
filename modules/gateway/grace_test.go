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
