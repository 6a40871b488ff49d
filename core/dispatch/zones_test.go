package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// callServer simulates an application server that runs a number of calls at once and queues
// the others in order of arrival.
type callServer struct {
	slots            int
	running, waiting int
	free             []time.Duration // when each slot has finished what was sent so far
}

// callLoad is a load of plain calls at application servers in three availability zones, by
// gateways that do not know of each other's calls.
type callLoad struct {
	seed     uint64
	gateways int       // in each zone
	servers  int       // in each zone
	slots    int       // of each server
	share    float64   // of the capacity of all servers
	zones    []float64 // share of the calls by zone of the caller
	oracle   bool      // place by the true load of all servers
}

type callResult struct {
	mean, p99 float64 // milliseconds to the answer
	crossed   float64 // share of the calls that left their zone
}

const (
	meanWorkMS = 15
	// zoneRoundTripMS and crossRoundTripMS are the round trips within a zone and between two.
	zoneRoundTripMS, crossRoundTripMS = 0.4, 1.8
)

func (l callLoad) simulate(calls int) callResult {
	rng := rand.New(rand.NewPCG(l.seed, 21))
	servers := map[string]*callServer{}
	var fleets []*Fleet
	for z := range l.zones {
		for g := range l.gateways {
			f := New(fmt.Sprint("z", z), rand.New(rand.NewPCG(l.seed, uint64(100*z+g))))
			for sz := range l.zones {
				for i := range l.servers {
					u := upstreamRecord("desk", sz, i)
					u.Slots = l.slots
					f.SetUpstream(u)
					servers[u.ID] = &callServer{slots: l.slots, free: make([]time.Duration, l.slots)}
				}
			}
			fleets = append(fleets, f)
		}
	}
	perSecond := l.share * float64(l.slots*l.servers*len(l.zones)) * 1000 / meanWorkMS
	type event struct {
		at    time.Duration
		apply func(time.Time)
	}
	var events []event
	schedule := func(at time.Duration, apply func(time.Time)) {
		place, _ := slices.BinarySearchFunc(events, at, func(e event, at time.Duration) int { return cmp.Compare(e.at, at) })
		events = slices.Insert(events, place, event{at, apply})
	}
	var took []float64
	var out callResult
	now := time.Duration(0)
	for n := range calls {
		now += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		for len(events) > 0 && events[0].at <= now {
			e := events[0]
			events = events[1:]
			e.apply(start.Add(e.at))
		}
		zone, draw := 0, rng.Float64()
		for draw > l.zones[zone] && zone < len(l.zones)-1 {
			draw -= l.zones[zone]
			zone++
		}
		f := fleets[zone*l.gateways+rng.IntN(l.gateways)]
		c, refusal := f.Place(start.Add(now), &Request{Service: "desk"})
		if refusal != nil {
			panic("refused")
		}
		id := c.Upstream.ID
		if l.oracle {
			id = cheapest(servers, f.zone, f)
		}
		s := servers[id]
		travel := ms(zoneRoundTripMS / 2)
		if f.byID[id].Zone != f.zone {
			travel = ms(crossRoundTripMS / 2)
			out.crossed++
		}
		work := ms(meanWorkMS * math.Exp(0.5*rng.NormFloat64()-0.125))
		slot := 0
		for i, at := range s.free {
			if at < s.free[slot] {
				slot = i
			}
		}
		begin := max(now+travel, s.free[slot])
		end := begin + work
		s.free[slot] = end
		if s.running < s.slots {
			s.running++
		} else {
			s.waiting++
		}
		sent := now
		schedule(end, func(time.Time) {
			if s.waiting > 0 {
				s.waiting--
			} else {
				s.running--
			}
			running, waiting := s.running, s.waiting
			schedule(end+travel, func(t time.Time) {
				f.RecordAnswer(t, c.Ticket, true)
				f.RecordLoad(t, c.Ticket, running+1, waiting) // as a server does, it counts the call itself
				f.End(t, c.Ticket)
			})
		})
		if n >= calls/4 {
			took = append(took, milliseconds(end+travel-sent))
		}
	}
	slices.Sort(took)
	for _, v := range took {
		out.mean += v / float64(len(took))
	}
	out.p99 = took[len(took)*99/100]
	out.crossed /= float64(calls)
	return out
}

// cheapest returns the server that a gateway would choose if it knew the true load of all.
func cheapest(servers map[string]*callServer, zone string, f *Fleet) (best string) {
	lowest := 0.0
	ids := make([]string, 0, len(servers))
	for id := range servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s := servers[id]
		cost := meanWorkMS * max(float64(s.running+s.waiting+1-s.slots), 0) / float64(s.slots)
		if f.byID[id].Zone != zone {
			cost += crossZoneCallMS
		}
		cost += float64(s.running) / 1000
		if best == "" || cost < lowest {
			best, lowest = id, cost
		}
	}
	return best
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// Load: application servers of six slots, one in each zone, at 0.07 of their capacity by eight
// gateways in each zone, as the customers' days have it. Guards against calls that leave their
// zone although a slot is free there: at most one in a hundred may.
func TestCallsStayInTheirZoneWhileSlotsAreFree(t *testing.T) {
	for seed := range uint64(3) {
		r := callLoad{seed: seed, gateways: 8, servers: 1, slots: 6, share: 0.07, zones: []float64{0.26, 0.37, 0.37}}.simulate(20_000)
		t.Logf("seed %d: %.4f of the calls leave their zone, mean %.1f ms", seed, r.crossed, r.mean)
		assert.Check(t, r.crossed <= 0.01)
	}
}

// Load: eight tenths of all calls come from one zone of three, up to 2.5 times what its servers
// can carry. Guards against calls that wait at home while the other zones have free slots: mean
// and p99 may exceed those of placement by the true load of all servers, which a gateway does not
// know, by the longer round trip to another zone at most. At 0.25 of the capacity, 0.6 of that of
// the busy zone, half as many calls may leave their zone as if zones did not count, a third.
func TestBusyZoneSpillsOverInTime(t *testing.T) {
	for _, load := range []float64{0.25, 0.5, 0.7, 0.85} {
		for _, servers := range []int{1, 4} {
			l := callLoad{seed: 1, gateways: 8, servers: servers, slots: 6, share: load, zones: []float64{0.8, 0.1, 0.1}}
			r := l.simulate(20_000)
			l.oracle = true
			o := l.simulate(20_000)
			t.Logf("load %.2f, %d servers in each zone: mean %.1f p99 %.1f ms, %.2f cross; by the true load %.1f %.1f %.2f", load, servers, r.mean, r.p99, r.crossed, o.mean, o.p99, o.crossed)
			assert.Check(t, r.mean <= o.mean+crossRoundTripMS-zoneRoundTripMS)
			assert.Check(t, r.p99 <= o.p99+crossRoundTripMS-zoneRoundTripMS)
			assert.Check(t, load > 0.25 || r.crossed <= 1.0/3)
		}
	}
}

// Failure: the server of the gateway's zone falls silent under calls that must not be repeated.
// Guards against a home zone that keeps getting calls because it has free slots: from the time
// at which the first call is overdue, the others go elsewhere.
func TestSilentHomeServerLosesFewCalls(t *testing.T) {
	f := New("z0", rand.New(rand.NewPCG(1, 1)))
	for z := range 3 {
		u := upstreamRecord("desk", z, 0)
		u.Slots = 6
		f.SetUpstream(u)
	}
	now, lost := start, 0
	for range 30 {
		now = now.Add(50 * time.Millisecond)
		c, refusal := f.Place(now, &Request{Service: "desk"})
		assert.Assert(t, refusal == nil)
		if c.Upstream.Zone == "z0" {
			lost++
			continue
		}
		f.RecordAnswer(now.Add(ms(meanWorkMS)), c.Ticket, true)
		f.End(now.Add(ms(meanWorkMS)), c.Ticket)
	}
	assert.Assert(t, lost <= 3, "%d", lost)
}
