package crash

import (
	"slices"
	"time"
)

// UpstreamStarted handles the start of an incarnation at an address: incarnations with the
// same address or ID that started earlier have ended. It returns the requests of abandoned
// runs on those, which the caller has to report: no other process knows about them yet.
func (t *Tracker) UpstreamStarted(now time.Time, id, addr string, startedMS int64) []string {
	if t.runsByUpstream[addr] == 0 && t.runsByUpstream[id] == 0 {
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

// UpstreamLost handles an incarnation that was declared lost. It returns the requests of
// abandoned runs on it.
func (t *Tracker) UpstreamLost(now time.Time, id string, startedMS int64) []string {
	if t.runsByUpstream[id] == 0 {
		return nil
	}
	return t.setOutcome(now, UpstreamEnded, func(r *trackedRun) bool { return r.Upstream == id && r.StartedMS == startedMS })
}

// UpstreamLeaving handles the planned stop of an incarnation.
func (t *Tracker) UpstreamLeaving(now time.Time, id string, startedMS int64) {
	if t.runsByUpstream[id] == 0 {
		return
	}
	t.setOutcome(now, UpstreamAlive, func(r *trackedRun) bool {
		return r.Upstream == id && r.StartedMS == startedMS && r.outcome < UpstreamEnded
	})
}

// UpstreamAnnounced handles an announcement of an incarnation. Announcements that may have
// been sent before the interruption of a run are ignored for that run, and so are those of
// incarnations that were replaced. It returns the requests whose runs on this incarnation
// no longer count, with the previous outcome of those runs.
func (t *Tracker) UpstreamAnnounced(now time.Time, id string, startedMS, seq int64) (discounted map[string]Outcome) {
	if t.runsByUpstream[id] == 0 {
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

// setOutcome changes the outcome of the runs that match. It returns the requests with
// abandoned runs among them, which no other process knows about.
func (t *Tracker) setOutcome(now time.Time, outcome Outcome, match func(*trackedRun) bool) (updated []string) {
	for _, req := range t.requests {
		changed := false
		for _, r := range req.runs {
			if r.outcome < outcome && !r.expired(now) && match(r) {
				changed = changed || r.outcome == Abandoned
				if req.part {
					r.noteOutcome(r.lastReport(), outcome)
				} else {
					r.outcome = outcome
				}
				t.markChanged(r)
			}
		}
		if changed {
			updated = append(updated, req.fingerprint)
		}
	}
	slices.Sort(updated)
	return updated
}
