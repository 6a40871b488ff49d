package registry

import (
	"time"

	"heatherway.dev/core/registration"
)

// This file decides when the silence of an upstream means that it is lost.

// stalledSweeps is the number of sweep intervals after which the process must
// have stood still.
const stalledSweeps = 3

// attention tells whether an instance would have heard of every upstream that
// announces itself. One that has just started, stood still or was cut off from
// the leader knows nothing of the silence of others.
type receptionMonitor struct {
	lastSweep time.Time
	// missed is when the instance last missed announcements.
	lastMissed time.Time
}

// full is called at each sweep. It returns true once nothing has been missed
// for a time.
func (a *receptionMonitor) complete(now time.Time, following bool, after time.Duration) bool {
	if !following || now.Sub(a.lastSweep) > stalledSweeps*sweepInterval {
		a.lastMissed = now
	}
	a.lastSweep = now
	return now.Sub(a.lastMissed) >= after
}

// sweep looks for upstreams that are lost, and for what is to be forgotten.
func (d *directory) sweep(now time.Time) {
	var lost []registration.Upstream
	following := d.registry.introducer == nil && d.registry.knowsLeader() // a relay hears only of what is announced to itself
	if d.reception.complete(now, following, d.lostAfter()) {
		lost = d.state.MarkLost(now, d.lostAfter())
	}
	d.logMergedRuns(now, 0, 0)
	crashes := d.crashes.LastChange()
	d.crashes.Expire(now)
	for _, u := range lost {
		d.crashes.UpstreamLost(now, u.ID, u.StartedMS)
		d.log.Warn("upstream lost", "upstream", u.ID, "service", u.Service, "address", u.Addr,
			"silent_ms", now.Sub(d.state.LastHeard(u.ID)).Milliseconds())
	}
	d.state.Expire(now, upstreamRetention)
	if len(lost) > 0 || len(d.crashes.EntriesSince(now, crashes)) > 0 {
		d.registry.changes.notify()
	}
}
