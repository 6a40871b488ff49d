package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/registration"
)

// crashingFleet is a set of upstreams that crash on each prompt with the part "deadly" and
// return at once as new incarnations.
type crashingFleet struct {
	mu        sync.Mutex
	upstreams []*upstream
	gateways  []*fixture
	arrivals  []time.Time // of requests with the deadly part
	deadly    bool
}

func startCrashingFleet(t *testing.T, n int) *crashingFleet {
	t.Helper()
	c := &crashingFleet{deadly: true}
	for i := range n {
		c.upstreams = append(c.upstreams, startUpstream(t, fmt.Sprint("u", i, "-0"), "model", fmt.Sprint("z", i%4), func(w http.ResponseWriter, r *http.Request, served int) {
			if strings.Contains(r.Header.Get("Prompt-Prefix"), "deadly:") && c.crash(i, served) {
				abort()
			}
			for id := range 2 * maxEarlyEvents {
				writeEvent(w, id)
			}
		}))
	}
	return c
}

// crash records an arrival of the deadly part and announces the next incarnation.
func (c *crashingFleet) crash(i, served int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, time.Now())
	if !c.deadly {
		return false
	}
	next := registration.Upstream{ID: fmt.Sprint("u", i, "-", served), Service: "model", Zone: c.upstreams[i].Zone, Addr: c.upstreams[i].Addr, Slots: 8, StartedMS: 1000 + int64(served), Seq: 1}
	for _, g := range c.gateways {
		g.announce(next)
	}
	return true
}

// lateArrivals counts the deadly requests that arrived later than 3 s after the fifth.
func (c *crashingFleet) lateArrivals() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, at := range c.arrivals {
		if i >= 5 && at.Sub(c.arrivals[4]) > 3*time.Second {
			n++
		}
	}
	return n
}

// Guards against a part of prompts that crashes one upstream after another because no two
// of the requests with it are alike, and against refusing the sound requests that share
// other parts with them.
func TestCrashingPartIsBlocked(t *testing.T) {
	fleet := startCrashingFleet(t, 8)
	var ups []*upstream
	ups = append(ups, fleet.upstreams...)
	f := newFixture(t, configuration(), ups...)
	fleet.gateways = append(fleet.gateways, f)
	sound, answered := 0, 0
	var last callerResponse
	for i, end := 0, time.Now().Add(6*time.Second); time.Now().Before(end); i++ {
		last = f.do(f.request("POST", "/letters/x", fmt.Sprint("deadly ", i), "Token-Count", "800,80", "Prompt-Prefix", fmt.Sprintf("first:200,deadly:300,own%d:300", i)))
		if response := f.do(f.request("POST", "/letters/x", fmt.Sprint("sound ", i), "Token-Count", "800,80", "Prompt-Prefix", fmt.Sprintf("first:200,other:300,its%d:300", i))); true {
			sound++
			if response.status == http.StatusOK && response.err == nil {
				answered++
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	t.Logf("%d deadly requests reached upstreams, %d late; %d of %d sound requests answered", len(fleet.arrivals), fleet.lateArrivals(), answered, sound)
	assert.Assert(t, fleet.lateArrivals() <= 3)
	assert.Assert(t, 2*answered >= sound)
	assert.Equal(t, last.status, http.StatusServiceUnavailable, "this attempt has not run")
	assert.Assert(t, last.header.Get("Retry-After") != "")
	assert.Assert(t, strings.Contains(last.body, `"not_run"`), last.body)
}
