package crash

import (
	"cmp"
	"slices"
	"time"
)

// Expire drops what no longer counts.
func (l *Tracker) Expire(now time.Time) {
	for f, q := range l.requests {
		l.drop(q, func(r *run) bool { return r.expired(now) })
		if len(q.runs) == 0 && now.Sub(q.cleared) > blockTime {
			delete(l.requests, f)
		}
	}
}

// bound drops requests beyond the bound: those that matter least first, the oldest
// among equals.
func (l *Tracker) bound(now time.Time) {
	if l.runs <= maxRuns && len(l.requests) <= maxRuns {
		return
	}
	l.Expire(now)
	all := make([]*request, 0, len(l.requests))
	for _, q := range l.requests {
		all = append(all, q)
	}
	rank := func(q *request) int {
		ended, open := q.weights(now)
		return ended + open
	}
	slices.SortFunc(all, func(a, b *request) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), a.last().Compare(b.last()), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	for _, q := range all {
		if l.runs <= keptRuns && len(l.requests) <= keptRuns {
			return
		}
		l.drop(q, func(*run) bool { return true })
		delete(l.requests, q.fingerprint)
	}
}

// last is when the request last broke off or was answered.
func (q *request) last() time.Time {
	at := q.cleared
	for _, r := range q.runs {
		if r.at.After(at) {
			at = r.at
		}
	}
	return at
}
