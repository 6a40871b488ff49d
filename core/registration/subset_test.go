package registration

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// newFleet returns a directory of one service in several availability zones.
func newFleet(zones, perZone int) *Directory {
	d := New(allNamed)
	for z := range zones {
		for i := range perZone {
			d.Observe(time.Unix(0, 0), Upstream{ID: fmt.Sprintf("i-%d-%d", z, i), Service: "model", Zone: fmt.Sprint("z", z),
				Addr: fmt.Sprintf("10.%d.%d.%d:80", z, i/250, i%250), StartedMS: 1, Seq: 1})
		}
	}
	return d
}

func newSubset(d *Directory, zone, i int) Subset {
	s := Subset{Zone: fmt.Sprint("z", zone), Reader: fmt.Sprintf("front-z%d-%d", zone, i)}
	s.Halvings = d.InitialHalvings(s.Zone)
	return s
}

// Guards against gateways that know too few upstreams to survive the loss of their zone,
// gateways that know all of a large fleet, and gateways that know only part of a small one.
func TestSubsetSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, perZone := rapid.IntRange(1, 11).Draw(t, "zones"), rapid.IntRange(1, 800).Draw(t, "upstreams of a zone")
		d := newFleet(zones, perZone)
		s := newSubset(d, 0, rapid.IntRange(0, 1000).Draw(t, "reader"))
		own, others := 0, 0
		for _, u := range s.Filter(d.All()) {
			if u.Zone == s.Zone {
				own++
			} else {
				others++
			}
		}
		assert.Equal(t, own, perZone)
		all := (zones - 1) * perZone
		if all <= MaxRemoteRecords {
			assert.Equal(t, others, all)
			return
		}
		// The bounds allow five standard deviations.
		assert.Assert(t, others > MaxRemoteRecords/2-65 && others < MaxRemoteRecords+90, "%d of %d", others, all)
	})
}

// Guards against uneven subsets at the target size of 1,000 gateways and 2,800 upstreams in
// 11 availability zones: each upstream must be known to several gateways, and the gateways
// of a zone that has lost its own upstreams must spread their requests evenly over the
// others.
func TestSubsetsCoverTheFleetEvenly(t *testing.T) {
	const zones, upstreams, gateways, calls = 11, 255, 91, 100
	d := newFleet(zones, upstreams)
	rng := rand.New(rand.NewPCG(1, 1))
	knownBy, load := map[string]int{}, map[string]int{}
	records := 0
	for g := range gateways {
		s := newSubset(d, 0, g)
		part := s.Filter(d.All())
		records += len(part)
		part = slices.DeleteFunc(part, func(u Upstream) bool { return u.Zone == s.Zone })
		for _, u := range part {
			knownBy[u.ID]++
		}
		for range calls {
			load[part[rng.IntN(len(part))].ID]++
		}
	}
	fewestGateways, maxCalls := gateways, 0
	for z := 1; z < zones; z++ {
		for i := range upstreams {
			id := fmt.Sprintf("i-%d-%d", z, i)
			fewestGateways, maxCalls = min(fewestGateways, knownBy[id]), max(maxCalls, load[id])
		}
	}
	mean := float64(gateways*calls) / float64((zones-1)*upstreams)
	t.Logf("%d of %d records per gateway; each upstream known to at least %d of %d gateways; calls per upstream from the lost zone: maximum %d, mean %.1f",
		records/gateways, zones*upstreams, fewestGateways, gateways, maxCalls, mean)
	assert.Assert(t, records/gateways < zones*upstreams/4)
	assert.Assert(t, fewestGateways >= 2)
	assert.Assert(t, float64(maxCalls) < 5*mean)
}

// Guards against gateways that are not told of a successor at a known address, and against
// gateways that keep a record with the old address of an upstream that has moved.
func TestSubsetFollowsAddresses(t *testing.T) {
	d := newFleet(4, 750)
	s := newSubset(d, 0, 1)
	assert.Assert(t, s.Halvings["model"] > 0)
	for _, u := range s.Filter(d.All()) {
		if u.Zone == s.Zone {
			continue
		}
		next := u
		next.ID, next.StartedMS = "next-"+u.ID, 2
		assert.Assert(t, s.Contains(&next))
		moved := u
		moved.Addr, moved.StartedMS = "11."+u.Addr[3:], 3
		before := d.LastChange()
		assert.Equal(t, d.Observe(time.Unix(1, 0), moved), Changed)
		assert.Equal(t, len(s.Filter(d.ChangedSince(before))), 1)
	}
}

// Guards against a gateway that keeps all records of a fleet that has grown, or too few of
// one that has shrunk, and against a subset size that oscillates.
func TestSubsetAdjusts(t *testing.T) {
	d := newFleet(4, 750)
	s := Subset{Zone: "z0", Reader: "front-z0-1"}
	for range 10 {
		_, more := d.Adjust(&s)
		assert.Assert(t, !more)
	}
	settled := d.Len()
	assert.Assert(t, settled < 750+MaxRemoteRecords+90, "%d", settled)
	dropped, _ := d.Adjust(&s)
	assert.Equal(t, len(dropped), 0)
	for i, u := range d.All() {
		if u.Zone != s.Zone && i%8 != 0 {
			u.State = Left
			d.Observe(time.Unix(1, 0), u)
		}
	}
	before := s.Halvings["model"]
	_, more := d.Adjust(&s)
	assert.Assert(t, more)
	assert.Equal(t, s.Halvings["model"], before-1)
}
