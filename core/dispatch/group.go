package dispatch

import (
	"slices"
	"strings"
	"time"
)

const (
	// failureMemory is how long a broken path to an upstream speaks against the others
	// of its availability zone; a zone that fails as a whole is back after a little more
	// than a second.
	failureWindow = time.Second
	// failureMS is the cost that each broken path adds for a stream to the others of the
	// zone. The first outweighs the cost of leaving the zone.
	zoneFailureCostMS = 500
	// mostFailures bounds the failures that count; with six a zone is left even if the
	// others read two prompts of the usual size first.
	maxFailures = 6
	// suspectFailures is the number of broken paths from which on a zone is taken to
	// have failed as a whole. Single upstreams crash too.
	zoneFailureThreshold = 2
	// unreachableMS is the cost of an upstream that could not be asked for a report: the
	// time to read two prompts of the usual size.
	unreachableCostMS = 2000
)

// groupKey names the upstreams of a service in one availability zone.
type groupKey struct{ service, zone string }

// group holds the upstreams of a service in one availability zone, in order of
// address and on a ring. They often fail together.
type group struct {
	upstreams []*upstream
	ring      ring
	failures  []time.Time
}

// list adds an upstream to the lists of its service and availability zone.
func (f *Fleet) addToLists(u *upstream) {
	f.service[u.Service] = insert(f.service[u.Service], u)
	g := f.groups[u.group()]
	if g == nil {
		g = &group{}
		f.groups[u.group()] = g
		zones := f.zones[u.Service]
		at, _ := slices.BinarySearch(zones, u.Zone)
		f.zones[u.Service] = slices.Insert(zones, at, u.Zone)
	}
	g.upstreams = insert(g.upstreams, u)
	g.ring.add(u)
}

// insert puts an upstream in its place in a list in order of address.
func insert(list []*upstream, u *upstream) []*upstream {
	at, _ := slices.BinarySearchFunc(list, u, func(a, b *upstream) int { return strings.Compare(a.Addr, b.Addr) })
	return slices.Insert(list, at, u)
}

// unlist takes an upstream out of the lists. Its group stays, since work that is
// under way there may still fail.
func (f *Fleet) removeFromLists(u *upstream) {
	same := func(o *upstream) bool { return o == u }
	f.service[u.Service] = slices.DeleteFunc(f.service[u.Service], same)
	if g := f.groups[u.group()]; g != nil {
		g.upstreams = slices.DeleteFunc(g.upstreams, same)
		g.ring.remove(u)
	}
}

// group names the group that an upstream belongs to.
func (u *upstream) group() groupKey { return groupKey{u.Service, u.Zone} }

// fail records a broken path to an upstream of the group.
func (g *group) recordFailure(now time.Time) {
	if len(g.failures) == maxFailures {
		g.failures = slices.Delete(g.failures, 0, 1)
	}
	g.failures = append(g.failures, now)
}

// recentFailures is the number of paths that broke a moment ago.
func (g *group) recentFailures(now time.Time) int {
	n := 0
	for _, at := range g.failures {
		if now.Sub(at) < failureWindow {
			n++
		}
	}
	return n
}

// suspect tells whether the upstreams of the group seem to have failed together.
func (g *group) suspectedDown(now time.Time) bool {
	return g.recentFailures(now) >= zoneFailureThreshold
}

// RecordUnreachable records that an upstream could not be asked for a report.
func (f *Fleet) RecordUnreachable(now time.Time, id string) {
	if u := f.byID[id]; u != nil && now.Sub(u.unreachableAt) >= failureWindow {
		u.unreachableAt = now
		f.groups[u.group()].recordFailure(now)
	}
}
