package registry

import (
	"time"

	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/internal/crashlog"
)

// This file detects lost upstreams by their missing announcements.

// stalledSweeps is the number of sweep intervals without a sweep after which the
// process is assumed to have been paused.
const stalledSweeps = 3

// receptionMonitor tracks whether this instance has received the announcements of
// all upstreams. An instance that has just started, was paused or was partitioned
// from the leader may have missed some, so it can't tell which upstreams are lost.
type receptionMonitor struct {
	lastSweep time.Time
	// lastMissed is when the instance last may have missed announcements.
	lastMissed time.Time
}

// complete is called at each sweep. It reports whether no announcement can have been
// missed for the given time.
func (a *receptionMonitor) complete(now time.Time, following bool, after time.Duration) bool {
	if !following || now.Sub(a.lastSweep) > stalledSweeps*sweepInterval {
		a.lastMissed = now
	}
	a.lastSweep = now
	return now.Sub(a.lastMissed) >= after
}

// sweep marks upstreams as lost and removes expired records.
func (d *directory) sweep(now time.Time) {
	var lost []registration.Upstream
	// A relay receives only what is announced to itself, and a stopping instance less and less.
	following := d.registry.introducer == nil && d.registry.knowsLeader() && !d.registry.stopping.Load()
	if d.reception.complete(now, following, d.lostAfter()) {
		lost = d.state.MarkLost(now, d.lostAfter())
	}
	d.logMergedRuns(now, 0, 0)
	crashesBefore := d.crashes.LastChange()
	d.crashes.Expire(now)
	crashlog.PartDecisions(d.log, now, d.crashes.TakeDecisionChanges(now))
	for _, u := range lost {
		d.crashes.UpstreamLost(now, u.ID, u.StartedMS)
		d.log.Warn("upstream lost", "upstream", u.ID, "service", u.Service, "address", u.Addr,
			"silent_ms", now.Sub(d.state.LastHeard(u.ID)).Milliseconds())
	}
	d.state.Expire(now, upstreamRetention)
	d.registry.origins.chooseDefaults(now, d.state.All())
	if d.registry.rollouts != nil {
		d.registry.rollouts.observeUpstreams(d.state.All())
	}
	if len(lost) > 0 || len(d.crashes.EntriesSince(now, crashesBefore)) > 0 {
		d.registry.changes.notify()
	}
}
