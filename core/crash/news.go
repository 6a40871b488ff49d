package crash

import "time"

// UpstreamStarted takes the news that an incarnation has started at an address: those with
// the same address or id that started before it have ended. It returns the requests of
// abandoned runs there.
func (t *Tracker) UpstreamStarted(now time.Time, id, addr string, startedMS int64) []string {
	if t.runsByPlace[addr] == 0 && t.runsByPlace[id] == 0 {
		return nil
	}
	older := func(r *trackedRun) bool { return (r.Addr == addr || r.Upstream == id) && r.StartedMS < startedMS }
	for _, req := range t.requests {
		for _, r := range req.runs {
			r.replaced = r.replaced || older(r)
		}
	}
	return t.setOutcome(now, UpstreamEnded, older)
}

// UpstreamLost takes the news that an incarnation has fallen silent. It returns the requests of
// abandoned runs there.
func (t *Tracker) UpstreamLost(now time.Time, id string, startedMS int64) []string {
	if t.runsByPlace[id] == 0 {
		return nil
	}
	return t.setOutcome(now, UpstreamEnded, func(r *trackedRun) bool { return r.Upstream == id && r.StartedMS == startedMS })
}

// UpstreamLeaving takes the news that an incarnation stops as planned.
func (t *Tracker) UpstreamLeaving(now time.Time, id string, startedMS int64) {
	if t.runsByPlace[id] == 0 {
		return
	}
	t.setOutcome(now, UpstreamAlive, func(r *trackedRun) bool {
		return r.Upstream == id && r.StartedMS == startedMS && r.outcome < UpstreamEnded
	})
}

// UpstreamAnnounced takes an announcement of an incarnation. One that may have been sent before
// a run broke off says nothing of it, nor does one of an incarnation that has been
// replaced. It returns the requests whose runs there no longer count, and what was known
// of these runs before.
func (t *Tracker) UpstreamAnnounced(now time.Time, id string, startedMS, seq int64) (discounted map[string]Outcome) {
	if t.runsByPlace[id] == 0 {
		return nil
	}
	t.setOutcome(now, UpstreamAlive, func(r *trackedRun) bool {
		if r.Upstream != id || r.StartedMS != startedMS || seq <= r.lastSeq || r.replaced || now.Sub(r.interruptedAt) <= maxAnnouncementDelay {
			return false
		}
		r.lastSeq = seq
		r.announcements++
		if r.announcements < announcementsToClear {
			return false
		}
		if discounted == nil {
			discounted = map[string]Outcome{}
		}
		discounted[r.Fingerprint] = r.outcome
		return true
	})
	return discounted
}

// learn moves the runs that match to an outcome. It returns the requests of abandoned
// runs, which no other process knows of.
func (t *Tracker) setOutcome(now time.Time, outcome Outcome, match func(*trackedRun) bool) (updated []string) {
	for _, req := range t.requests {
		changed := false
		for _, r := range req.runs {
			if r.outcome < outcome && !r.expired(now) && match(r) {
				changed = changed || r.outcome == Abandoned
				r.outcome = outcome
				t.markChanged(r)
			}
		}
		if changed {
			updated = append(updated, req.fingerprint)
		}
	}
	return updated
}
