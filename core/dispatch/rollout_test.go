package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/rollout"
)

// rolloutFleet is a fleet whose model service has upstreams of v1 and v2 and whose roll-outs a test sets.
type rolloutFleet struct {
	*Fleet
	t        *testing.T
	gateway  *rollout.Gateway
	revision uint64
}

func newRolloutFleet(t *testing.T) *rolloutFleet {
	f := &rolloutFleet{Fleet: newVersionFleet("v1", "v1", "v2"), t: t, gateway: rollout.NewGateway("g", rand.New(rand.NewPCG(1, 2)))}
	f.SetRollouts(f.gateway)
	return f
}

// set makes the gateway hear of a state of the service.
func (f *rolloutFleet) set(s rollout.Service) {
	f.revision++
	f.gateway.Adopt(rollout.View{Revision: f.revision, Services: map[string]rollout.Service{"model": s}})
}

func (f *rolloutFleet) phase(p rollout.Phase) {
	f.set(rollout.Service{Trusted: []string{"v1"}, Rollout: &rollout.Rollout{ID: 1, Order: rollout.Order{Service: "model", Target: "v2"}, Phase: p}})
}

func (f *rolloutFleet) grant(g rollout.Grant) {
	r, due := f.gateway.Report(start, f.RunningAtOthers)
	assert.Assert(f.t, due)
	g.Service, g.ID = "model", 1
	f.gateway.Granted(start, r.Seq, rollout.Answer{Grants: []rollout.Grant{g}})
}

// place places requests and counts them by version; refused ones have none.
func (f *rolloutFleet) place(count int, request func() *Request) map[string]int {
	out := map[string]int{}
	for range count {
		c, refusal := f.Place(start, request())
		if refusal != nil {
			out[""]++
			continue
		}
		out[c.Upstream.Version]++
		f.End(start, c.Ticket)
	}
	return out
}

func pinnedTo(version string) func() *Request {
	return func() *Request {
		r := streamRequest()
		r.Version, r.Continues = version, true
		return r
	}
}

// Guards against requests to a version that is not trusted, denied or replaced, through any of the ways in which placements
// choose, and against a service that stops although its trusted version serves.
func TestPlacementKeepsToRollouts(t *testing.T) {
	f := newRolloutFleet(t)
	assert.DeepEqual(t, f.place(50, streamRequest), map[string]int{"v1": 50}) // nothing is heard: the most common version
	f.set(rollout.Service{Trusted: []string{"v1"}})
	assert.DeepEqual(t, f.place(50, streamRequest), map[string]int{"v1": 50})
	assert.DeepEqual(t, f.place(5, pinnedTo("v2")), map[string]int{"": 5})
	f.set(rollout.Service{Trusted: []string{"v1", "v2"}})
	both := f.place(200, streamRequest)
	assert.Assert(t, both["v1"] > 0 && both["v2"] > 0, "%v", both)

	f.phase(rollout.Canary)
	assert.DeepEqual(t, f.place(50, streamRequest), map[string]int{"v1": 50})
	f.grant(rollout.Grant{Permits: 7, Shares: map[string]float64{"": 1}})
	assert.DeepEqual(t, f.place(50, streamRequest), map[string]int{"v1": 43, "v2": 7})
	f.grant(rollout.Grant{Permits: 2, Shares: map[string]float64{"": 0}})
	assert.DeepEqual(t, f.place(5, pinnedTo("v2")), map[string]int{"v2": 2, "": 3}) // streams that began there need permits too

	f.phase(rollout.Shifting)
	f.grant(rollout.Grant{Open: true})
	assert.DeepEqual(t, f.place(50, streamRequest), map[string]int{"v2": 50})
	assert.DeepEqual(t, f.place(5, pinnedTo("v1")), map[string]int{"v1": 5})
	f.set(rollout.Service{Trusted: []string{"v2"}, Denied: []string{"v1"}, Rollout: &rollout.Rollout{ID: 1, Phase: rollout.Complete}})
	assert.DeepEqual(t, f.place(50, streamRequest), map[string]int{"v2": 50})
	assert.DeepEqual(t, f.place(5, pinnedTo("v1")), map[string]int{"": 5})
	_, refusal := f.Place(start, pinnedTo("v1")())
	assert.Assert(t, refusal.VersionGone)
}

// Guards against requests that are refused while a roll-out shifts to a version without room, although old upstreams serve.
func TestOldVersionServesWhileTheTargetCannot(t *testing.T) {
	f := newRolloutFleet(t)
	f.phase(rollout.Shifting)
	f.grant(rollout.Grant{Open: true})
	for _, u := range f.byService["model"] {
		if u.Version == "v2" {
			u.Leaving = true
		}
	}
	assert.DeepEqual(t, f.place(5, streamRequest), map[string]int{"v1": 5})
}

// Guards against answers that are counted for the wrong version, twice, or with the time of an upstream that warms up.
func TestPlacementsAreCounted(t *testing.T) {
	f := newRolloutFleet(t)
	f.phase(rollout.Canary)
	f.grant(rollout.Grant{Permits: 1, Shares: map[string]float64{"": 1}})
	for _, u := range f.byService["model"] {
		u.ColdMS = 0
		if u.Version == "v2" {
			u.ColdMS = 500
		}
	}
	request := func() *Request {
		r := streamRequest()
		r.Route = "letters"
		return r
	}
	for i := range 3 {
		c, refusal := f.Place(start, request())
		assert.Assert(t, refusal == nil)
		later := start.Add(40 * time.Millisecond)
		if i < 2 { // the first one is at the target
			f.RecordStarted(later, c.Ticket)
			f.RecordStarted(later, c.Ticket)
			f.RecordAnswer(later, c.Ticket, true)
		} else {
			f.RecordFailedResponse(later, c.Ticket)
			f.RecordAnswer(later, c.Ticket, false)
		}
		f.End(later, c.Ticket)
	}
	r, _ := f.gateway.Report(start, f.RunningAtOthers)
	got := r.Rollouts[0]
	assert.Equal(t, got.Used, int64(1))
	assert.Equal(t, got.OtherRunning, 0)
	letters := got.Routes["letters"]
	assert.Equal(t, letters.Requests, int64(3))
	assert.DeepEqual(t, letters.Target, rollout.Counts{Answers: 1})
	assert.Equal(t, letters.Other.Answers, int64(2))
	assert.Equal(t, letters.Other.Failed, int64(1))
	assert.Equal(t, len(letters.Other.Times), 1)
}
