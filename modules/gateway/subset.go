package gateway

import (
	"maps"
	"time"

	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/modules/registry"
)

// asks sets the subset that a call asks for. It returns how often that was widened.
func (f *follower) setSubset(args *registry.WatchArgs) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	args.Subset, args.Choose = f.subset, !f.subsetChosen
	return f.widenings
}

// adopted takes over the size of the subset that an instance has chosen, or tells whether
// it is the one in force.
func (f *follower) adoptSubset(halvings map[string]int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.subsetChosen {
		f.subset.Halvings, f.subsetChosen = halvings, true
		if len(halvings) > 0 {
			f.log.Info("part of the upstreams followed", "halvings", halvings)
		}
	}
	return maps.Equal(f.subset.Halvings, halvings)
}

// adjustInterval is the pause between two looks at the size of the subset. A fleet grows
// or shrinks by half in minutes.
const adjustInterval = time.Second

// endedMemory is how long an upstream that has ended is remembered. Control instances
// forget it after a minute; a late record of it must not come back here before.
const endedRetention = 10 * time.Minute

// forget takes upstreams from the placements; what runs there goes on.
func (f *follower) removeFromFleet(list []registration.Upstream) {
	for _, u := range list {
		u.State = registration.Left
		f.g.owner.post(func(s *state) { s.fleet.SetUpstream(u) })
	}
}

// adjust keeps the number of upstreams that are known within its bounds.
func (f *follower) adjustSubset(now time.Time) {
	if now.Sub(f.lastAdjustment) < adjustInterval {
		return
	}
	f.lastAdjustment = now
	f.removeFromFleet(f.directory.RemoveEnded(now, endedRetention))
	if !f.subsetChosen {
		return
	}
	before := f.subset.Halvings
	dropped, more := f.directory.Adjust(&f.subset)
	f.removeFromFleet(dropped)
	if more {
		f.widenings++
		clear(f.positions)
	}
	if !maps.Equal(before, f.subset.Halvings) {
		f.log.Info("part of the upstreams followed", "halvings", f.subset.Halvings, "before", before, "dropped", len(dropped), "known", f.directory.Len())
	}
}
