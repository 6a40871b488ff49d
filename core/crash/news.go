package crash

import "time"

// UpstreamStarted takes the news that an incarnation has started at an address: those with
// the same address or id that started before it have ended. It returns the requests of
// abandoned runs there.
func (l *Tracker) UpstreamStarted(now time.Time, id, addr string, startedMS int64) []string {
	if l.places[addr] == 0 && l.places[id] == 0 {
		return nil
	}
	older := func(r *run) bool { return (r.Addr == addr || r.Upstream == id) && r.StartedMS < startedMS }
	for _, q := range l.requests {
		for _, r := range q.runs {
			r.replaced = r.replaced || older(r)
		}
	}
	return l.learn(now, UpstreamEnded, older)
}

// UpstreamLost takes the news that an incarnation has fallen silent. It returns the requests of
// abandoned runs there.
func (l *Tracker) UpstreamLost(now time.Time, id string, startedMS int64) []string {
	if l.places[id] == 0 {
		return nil
	}
	return l.learn(now, UpstreamEnded, func(r *run) bool { return r.Upstream == id && r.StartedMS == startedMS })
}

// UpstreamLeaving takes the news that an incarnation stops as planned.
func (l *Tracker) UpstreamLeaving(now time.Time, id string, startedMS int64) {
	if l.places[id] == 0 {
		return
	}
	l.learn(now, UpstreamAlive, func(r *run) bool { return r.Upstream == id && r.StartedMS == startedMS && r.outcome < UpstreamEnded })
}

// UpstreamAnnounced takes an announcement of an incarnation. One that may have been sent before
// a run broke off says nothing of it, nor does one of an incarnation that has been
// replaced. It returns the requests whose runs there no longer count, and what was known
// of these runs before.
func (l *Tracker) UpstreamAnnounced(now time.Time, id string, startedMS, seq int64) (acquitted map[string]Outcome) {
	if l.places[id] == 0 {
		return nil
	}
	l.learn(now, UpstreamAlive, func(r *run) bool {
		if r.Upstream != id || r.StartedMS != startedMS || seq <= r.lastSeq || r.replaced || now.Sub(r.at) <= announcementDelay {
			return false
		}
		r.lastSeq = seq
		r.announced++
		if r.announced < aliveAnnouncements {
			return false
		}
		if acquitted == nil {
			acquitted = map[string]Outcome{}
		}
		acquitted[r.Fingerprint] = r.outcome
		return true
	})
	return acquitted
}

// learn moves the runs that match to an outcome. It returns the requests of abandoned
// runs, which no other process knows of.
func (l *Tracker) learn(now time.Time, outcome Outcome, match func(*run) bool) (news []string) {
	for _, q := range l.requests {
		changed := false
		for _, r := range q.runs {
			if r.outcome < outcome && !r.expired(now) && match(r) {
				changed = changed || r.outcome == Abandoned
				r.outcome = outcome
				l.touch(r)
			}
		}
		if changed {
			news = append(news, q.fingerprint)
		}
	}
	return news
}
