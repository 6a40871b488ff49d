package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/registration"
)

// Guards against a running stream that is cut, or read anew elsewhere, because another upstream has
// announced itself at the address of its upstream: only the upstream itself shows whether it
// still serves. One that can't go on elsewhere waits for its connection to end.
func TestClaimedAddressEndsNoStream(t *testing.T) {
	for name, c := range map[string]struct {
		resumable bool
		service   string
		// report is the answer at the address to a question for the load.
		report string
		moves  bool
	}{
		"resumable, the upstream answers":                  {true, "model", `{"Queued":0,"KvUsed":0,"Runs":[],"born":1000}`, false},
		"resumable, another service, the upstream answers": {true, "desk", `{"Queued":0,"KvUsed":0,"Runs":[],"born":1000}`, false},
		"resumable, another one answers":                   {true, "model", `{"Queued":0,"KvUsed":0,"Runs":[],"born":2000}`, true},
		"not resumable, the upstream answers":              {false, "model", `{"Queued":0,"KvUsed":0,"Runs":[],"born":1000}`, false},
		"not resumable, the answer names no start":         {false, "model", `{"Queued":0,"KvUsed":0,"Runs":[]}`, false},
		"not resumable, unknown service, no report":        {false, "mailer", `{`, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			events := resumableEvents(12, func(http.ResponseWriter, *http.Request, int) { time.Sleep(60 * time.Millisecond) })
			running := startUpstream(t, "u0", "model", "z0", events)
			running.report = func() string { return c.report }
			other := startUpstream(t, "u1", "model", "z1", events)
			conf := configuration()
			conf.Routes[0].Resumable = c.resumable
			f := newFixture(t, conf, running)
			time.AfterFunc(250*time.Millisecond, func() {
				f.announce(other.Upstream)
				f.announce(registration.Upstream{ID: "claims", Service: c.service, Zone: "z0", Addr: running.Addr, StartedMS: 2000, Seq: 1})
			})
			res := f.doStream()
			assert.NilError(t, res.err)
			assert.DeepEqual(t, receivedIDs(res.body), eventIDs(12))
			assert.Equal(t, len(other.requests()) > 0, c.moves, fmt.Sprint(other.requests()))
		})
	}
}

// Guards against a gateway that lets another writer's announcement under the ID of an upstream end
// that upstream, before or after the gateway has heard of it.
func TestForeignAnnouncementUnderUsedID(t *testing.T) {
	foreign := registration.Upstream{ID: "u0", Service: "mailer", Zone: "z0", Addr: "10.0.0.9:80", StartedMS: 9000, Seq: 1}
	for _, first := range []bool{true, false} {
		u := startUpstream(t, "u0", "desk", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(http.StatusOK) })
		f := newFixture(t, configuration())
		for _, r := range map[bool][]registration.Upstream{true: {foreign, u.Upstream}, false: {u.Upstream, foreign}}[first] {
			f.follower.mu.Lock()
			f.follower.observe(time.Now(), r)
			f.follower.mu.Unlock()
			f.follower.upstreamCount.Add(1)
		}
		res := f.do(f.request("GET", "/look/x", ""))
		assert.Equal(t, res.status, http.StatusOK, "the other writer comes first: %v", first)
	}
}
