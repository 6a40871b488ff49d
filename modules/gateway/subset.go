package gateway

import (
	"maps"
	"time"

	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/modules/registry"
)

// setSubset sets the subset that a watch call asks for. It returns the number of resets
// so far. A gateway whose streams wait in the queues follows all upstreams: the owner of the
// queues may place a stream at any of them.
func (f *follower) setSubset(args *registry.WatchArgs) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.g.queue != nil {
		args.Subset, args.Choose = registration.Subset{}, false
		return f.resets
	}
	args.Subset, args.Choose = f.subset, !f.subsetChosen
	return f.resets
}

// adoptSubset adopts the subset size that an instance has chosen if none was adopted
// before. It reports whether the size is the one in use.
func (f *follower) adoptSubset(halvings map[string]int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.subsetChosen {
		f.subset.Halvings, f.subsetChosen = halvings, true
		if len(halvings) > 0 {
			f.log.Info("following a subset of the upstreams", "halvings", halvings)
		}
	}
	return maps.Equal(f.subset.Halvings, halvings)
}

// adjustInterval is the interval between checks of the subset size. A fleet grows or
// shrinks by half within minutes.
const adjustInterval = time.Second

// endedRetention is how long an ended upstream is remembered. Control instances forget
// it after a minute; a late record must not bring it back here in the meantime.
const endedRetention = 10 * time.Minute

// recoverInterval is the shortest time between two requests for records that were hidden
// by ended ones. Each request transfers the whole subset.
const recoverInterval = time.Minute

// recoverHidden requests the whole subset after a forgotten record has hidden a live
// upstream of the same id. Instances have sent that upstream's record already and send it
// again only when it changes.
func (f *follower) recoverHidden(now time.Time, hidLive bool) {
	f.hidden = f.hidden || hidLive
	if !f.hidden || now.Sub(f.lastRecovery) < recoverInterval {
		return
	}
	f.hidden, f.lastRecovery = false, now
	f.requestAll()
	f.log.Info("requesting all upstreams again: the record of an ended one has hidden its successor")
}

// requestAll makes the next call to every instance ask for the whole subset.
func (f *follower) requestAll() {
	f.resets++
	clear(f.positions)
}

// removeFromFleet excludes upstreams from placement; requests that run there continue.
func (f *follower) removeFromFleet(list []registration.Upstream) {
	for _, u := range list {
		u.State = registration.Left
		f.g.owner.post(func(s *state) { s.fleet.SetUpstream(u) })
	}
}

// adjustSubset keeps the number of known upstreams within its bounds.
func (f *follower) adjustSubset(now time.Time) {
	if now.Sub(f.lastAdjustment) < adjustInterval {
		return
	}
	f.lastAdjustment = now
	ended, hidLive := f.directory.RemoveEnded(now, endedRetention)
	f.removeFromFleet(ended)
	f.recoverHidden(now, hidLive)
	if !f.subsetChosen {
		return
	}
	previous := f.subset.Halvings
	dropped, widened := f.directory.Adjust(&f.subset)
	f.removeFromFleet(dropped)
	if widened {
		f.requestAll()
	}
	if !maps.Equal(previous, f.subset.Halvings) {
		f.log.Info("size of the followed subset of upstreams changed", "halvings", f.subset.Halvings, "before", previous, "dropped", len(dropped), "known", f.directory.Len())
	}
}
