package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/registration"
)

// crashingFleet is a set of upstreams that crash on each prompt with the part "deadly" and
// return at once as new incarnations.
type crashingFleet struct {
	mu        sync.Mutex
	upstreams []*upstream
	gateways  []*fixture
	arrivals  []time.Time // of requests with the deadly part
}

func startCrashingFleet(t *testing.T, n int) *crashingFleet {
	t.Helper()
	c := &crashingFleet{}
	for i := range n {
		c.upstreams = append(c.upstreams, startUpstream(t, fmt.Sprint("u", i, "-0"), "model", fmt.Sprint("z", i%4), func(w http.ResponseWriter, r *http.Request, served int) {
			if strings.Contains(r.Header.Get("Prompt-Prefix"), "deadly:") {
				c.crash(i, served)
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
func (c *crashingFleet) crash(i, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, time.Now())
	next := registration.Upstream{ID: fmt.Sprint("u", i, "-", served), Service: "model", Zone: c.upstreams[i].Zone, Addr: c.upstreams[i].Addr, Slots: 8, StartedMS: 1000 + int64(served), Seq: 1}
	for _, g := range c.gateways {
		g.announce(next)
	}
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
	f := newFixture(t, configuration(), fleet.upstreams...)
	fleet.gateways = append(fleet.gateways, f)
	sound, answered := 0, 0
	var last callerResponse
	for i, end := 0, time.Now().Add(6*time.Second); time.Now().Before(end); i++ {
		last = f.do(f.request("POST", "/letters/x", fmt.Sprint("deadly ", i), "Token-Count", "800,80", "Prompt-Prefix", fmt.Sprintf("first:200,deadly:300,own%d:300", i)))
		response := f.do(f.request("POST", "/letters/x", fmt.Sprint("sound ", i), "Token-Count", "800,80", "Prompt-Prefix", fmt.Sprintf("first:200,other:300,its%d:300", i)))
		sound++
		if response.status == http.StatusOK && response.err == nil {
			answered++
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

// blockPart reports crashes of a part, the last one some time ago, from another gateway.
func (f *fixture) blockPart(id string, lastAgeMS int64) {
	var entries []crash.Entry
	for i := range 5 {
		r := crash.Run{Fingerprint: crash.PartKey(id), Upstream: fmt.Sprint("v", i), Addr: fmt.Sprint("a", i), StartedMS: 1}
		entries = append(entries, crash.Entry{Run: r, Outcome: crash.UpstreamEnded, AgeMS: lastAgeMS + int64(12_000-3000*i)})
	}
	f.mergeCrashes(entries)
	f.owner.call(func(*state) {})
}

// Guards against a stream under way that goes on to further upstreams after its part was
// blocked, and against telling its caller that it has not run. Requests to plain services
// and those in which the part is the last one are not concerned.
func TestStreamUnderWayStopsWhenItsPartIsBlocked(t *testing.T) {
	var f *fixture
	ups := startUpstreams(t, 4, "model", func(http.ResponseWriter, *http.Request, int) { f.blockPart("deadly", 3000); abort() })
	desk := startUpstream(t, "desk", "desk", "z0", func(http.ResponseWriter, *http.Request, int) {})
	f = newFixture(t, configuration(), append(ups, desk)...)
	response := f.doStream("Prompt-Prefix", "first:1,deadly:1,own:1")
	assert.Equal(t, response.status, http.StatusBadGateway, response.body)
	assert.Assert(t, strings.Contains(response.body, `"ran":"ran"`), response.body)
	assert.Equal(t, requestCount(ups), 1)
	response = f.doStream("Prompt-Prefix", "deadly:1,other:1")
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(response.body, "prompt_part_blocked"), response.body)
	assert.Equal(t, response.header.Get("Retry-After"), "10.000")
	assert.Equal(t, f.do(f.request("POST", "/look/x", "x", "Prompt-Prefix", "deadly:1,other:1")).status, http.StatusOK)
	assert.Equal(t, requestCount(ups), 1)
	f.doStream("Prompt-Prefix", "deadly:1")
	assert.Assert(t, requestCount(ups) > 1)
}

// Guards against a part that stays blocked at a gateway after a trial has proved it sound,
// and against more than one trial.
func TestTrialOfABlockedPart(t *testing.T) {
	ups := startUpstreams(t, 4, "model", func(w http.ResponseWriter, _ *http.Request, _ int) {
		for id := range 2 * maxEarlyEvents {
			writeEvent(w, id)
		}
	})
	f := newFixture(t, configuration(), ups...)
	control := &trialControl{}
	f.followControl(control)
	f.blockPart("repaired", 15_000)
	for range 3 {
		assert.Equal(t, f.doStream("Prompt-Prefix", "first:1,repaired:1,own:1").status, http.StatusOK)
	}
	assert.Equal(t, control.trials.Load(), int64(1))
	eventually(t, "the report of the proof", func() bool { return control.crashes.Load() > 0 })
}
