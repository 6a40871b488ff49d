package dispatch

import (
	"slices"
	"strings"
	"time"
)

const (
	// failureWindow is how long a broken connection to an upstream counts against the
	// others of its availability zone. A zone that fails as a whole is back after a little
	// more than a second.
	failureWindow = time.Second
	// zoneFailureCostMS is the cost, for a stream, that each recent failure adds to the
	// other upstreams of the zone. The first one outweighs the cost of another zone.
	zoneFailureCostMS = 500
	// maxFailures bounds the failures that count. With six, requests leave the zone even
	// if upstreams elsewhere have two prompts of mean size to prefill first.
	maxFailures = 6
	// zoneFailureThreshold is the number of recent failures from which a zone counts as
	// down. One is not enough, since single upstreams crash too.
	zoneFailureThreshold = 2
	// unreachableCostMS is the cost of an upstream that did not answer a query for a load
	// report: the time to prefill two prompts of typical size.
	unreachableCostMS = 2000
)

// groupKey identifies the upstreams of a service in one availability zone.
type groupKey struct{ service, zone string }

// group holds the upstreams of a service in one availability zone, sorted by address and
// on a hash ring, and the times of their recent failures. They often fail together.
type group struct {
	upstreams []*upstream
	ring      ring
	failures  []time.Time
}

// addToLists adds an upstream to the lists of its service and availability zone.
func (f *Fleet) addToLists(u *upstream) {
	f.byService[u.Service] = insert(f.byService[u.Service], u)
	delete(f.commonVersions, u.Service)
	if u.Version != "" {
		f.statedVersions[u.Service]++
	}
	g := f.groups[u.groupKey()]
	if g == nil {
		g = &group{}
		f.groups[u.groupKey()] = g
		zones := f.zones[u.Service]
		at, _ := slices.BinarySearch(zones, u.Zone)
		f.zones[u.Service] = slices.Insert(zones, at, u.Zone)
	}
	g.upstreams = insert(g.upstreams, u)
	g.ring.add(u)
}

// insert inserts an upstream into a list sorted by address.
func insert(list []*upstream, u *upstream) []*upstream {
	at, _ := slices.BinarySearchFunc(list, u, func(a, b *upstream) int { return strings.Compare(a.Addr, b.Addr) })
	return slices.Insert(list, at, u)
}

// removeFromLists removes an upstream from the lists. Its group stays, since requests in
// flight there may still fail.
func (f *Fleet) removeFromLists(u *upstream) {
	same := func(o *upstream) bool { return o == u }
	f.byService[u.Service] = slices.DeleteFunc(f.byService[u.Service], same)
	delete(f.commonVersions, u.Service)
	if u.Version != "" {
		f.statedVersions[u.Service]--
	}
	if g := f.groups[u.groupKey()]; g != nil {
		g.upstreams = slices.DeleteFunc(g.upstreams, same)
		g.ring.remove(u)
	}
}

// groupKey returns the key of the upstream's group.
func (u *upstream) groupKey() groupKey { return groupKey{u.Service, u.Zone} }

// recordFailure records a broken connection to an upstream of the group.
func (g *group) recordFailure(now time.Time) {
	if len(g.failures) == maxFailures {
		g.failures = slices.Delete(g.failures, 0, 1)
	}
	g.failures = append(g.failures, now)
}

// recentFailures returns the number of failures within failureWindow.
func (g *group) recentFailures(now time.Time) int {
	n := 0
	for _, at := range g.failures {
		if now.Sub(at) < failureWindow {
			n++
		}
	}
	return n
}

// suspectedDown reports whether the group seems to have failed as a whole.
func (g *group) suspectedDown(now time.Time) bool {
	return g.recentFailures(now) >= zoneFailureThreshold
}

// RecordUnreachable records that an upstream did not answer a query for a load report.
func (f *Fleet) RecordUnreachable(now time.Time, id string) {
	if u := f.byID[id]; u != nil && now.Sub(u.unreachableAt) >= failureWindow {
		u.unreachableAt = now
		f.groups[u.groupKey()].recordFailure(now)
	}
}
