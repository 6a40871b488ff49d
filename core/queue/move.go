package queue

import "time"

const (
	// overdueFactor is how much longer than expected a first event may take before its request
	// is moved. What has taken twice as long as expected is expected to take as long again.
	overdueFactor = 2
	// rereadShare is the price of reading a prompt a second time, as a share of the time to read
	// it: others wait for it.
	rereadShare = 0.5
	// moveTimeout is the time after which a move that its gateway has not carried out is decided
	// again. It is longer than the messages of both take, also when one is sent twice.
	moveTimeout = 2 * time.Second
)

// moveOverdue moves requests that have not begun long after they were expected to, if another
// upstream could begin them clearly sooner. Before the service has been measured, which a new owner
// does anew, all requests to a model that is slower than the prior would look overdue.
func (q *Queue) moveOverdue(now time.Time) {
	if !q.measured {
		return
	}
	for _, u := range q.list {
		for _, r := range u.unread {
			if q.overdue(now, r) {
				q.move(now, r)
			}
		}
	}
}

// overdue reports whether a request takes far longer than its upstream needs, by the speed assumed
// when it was placed or, if that is lower, by the one measured since.
func (q *Queue) overdue(now time.Time, r *request) bool {
	if r.moving {
		return now.Sub(r.movedAt) >= moveTimeout
	}
	if r.moves >= q.settings.MaxMoves || len(r.Excluded) > q.settings.MaxMoves {
		return false
	}
	expected := float64(r.readyAt.Sub(r.placedAt)) * max(r.at.msPerToken/r.placedMSPerToken, 1)
	return now.Sub(r.placedAt) >= time.Duration(overdueFactor*expected)+q.settings.Lead
}

func (q *Queue) move(now time.Time, r *request) {
	q.findFree(now)
	var best *upstream
	for _, u := range q.free {
		if u != r.at && u.suits(r) && q.fitsUnread(u, r) && q.fits(u, r.tokens) && (best == nil || u.msPerToken < best.msPerToken) {
			best = u
		}
	}
	if best == nil {
		return
	}
	elsewhere := best.readingLeft(now) + best.prefill(r.prompt)
	if price := time.Duration(rereadShare * float64(elsewhere)); now.Sub(r.placedAt) <= elsewhere+price {
		return
	}
	if !r.moving {
		r.moves++
	}
	r.moving, r.movedAt = true, now
	r.at.pause(now, q.settings.BrokenPause)
	q.decisions = append(q.decisions, Decision{Key: r.key, Action: Move, Upstream: r.at.ID, Explanation: q.explain(now, r, r.at)})
}
