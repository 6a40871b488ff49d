package queue

import (
	"slices"
	"time"
)

const (
	// reviewShare is the share of its aim within which a request is refused if it is not
	// expected to make it.
	reviewShare = 1.0 / 8
	// maxReview bounds that time where aims are long.
	maxReview = 2 * time.Second
	// overShare is how much more than the others on average an organisation may have waiting
	// before those of its requests that would be late are refused.
	overShare = 2
	// retryShare is the share of the time left to the deadline for which a caller follows
	// Retry-After.
	retryShare = 1.0 / 3
	// retrySpread spreads the returns of callers that are refused together.
	retrySpread = 0.25
	// minRetryAfter is the shortest time after which another attempt makes sense, maxRetryAfter
	// the longest that is stated to callers without a deadline.
	minRetryAfter, maxRetryAfter = 50 * time.Millisecond, 5 * time.Second
)

// reviewNew refuses new requests that cannot be served in time, the least urgent first. Each is
// reviewed when it is submitted, and with each sweep until an eighth of its aim has passed.
func (q *Queue) reviewNew(now time.Time, swept bool) {
	if swept {
		q.fresh = q.reviewList(now, q.fresh)
	}
	if len(q.unseen) > 0 {
		q.fresh = append(q.fresh, q.reviewList(now, q.unseen)...)
		clear(q.unseen)
		q.unseen = q.unseen[:0]
	}
}

// reviewList reviews requests and returns those that are to be reviewed again.
func (q *Queue) reviewList(now time.Time, list []*request) []*request {
	slices.SortStableFunc(list, func(a, b *request) int { return b.priority() - a.priority() })
	kept := list[:0]
	for _, r := range list {
		if r.state == waiting && r.flow != nil {
			q.review(now, r)
		}
		window := min(time.Duration(reviewShare*float64(limitDuration(r.Aim))), maxReview)
		if r.state == waiting && r.flow != nil && now.Sub(r.submittedAt) < window {
			kept = append(kept, r)
		}
	}
	clear(list[len(kept):])
	return kept
}

// review refuses a waiting request if it cannot be served in time and would be in the way of
// others, or not even before its deadline.
func (q *Queue) review(now time.Time, r *request) {
	if q.rates.readers == 0 {
		return // a new owner may not have the list yet
	}
	wait, ahead := q.expectedWait(now, r, r.level)
	if r.expected == 0 {
		r.expected, r.ahead = wait, ahead
	}
	inTime := r.level == onTime && (r.due.IsZero() || !now.Add(wait).After(r.due))
	switch {
	case q.couldStart(r):
	case r.earlyBy.After(now):
		q.refuse(now, r, max(r.earlyBy.Sub(now), minRetryAfter), ahead)
	case inTime:
	case q.missesDeadline(now, r):
		q.refuse(now, r, q.retryAfter(now, r, wait), ahead)
	case !r.wasRefused && r.level == onTime && q.floods(r):
		q.refuse(now, r, q.retryAfter(now, r, wait), ahead)
	}
}

// missesDeadline reports whether a request that is late is not expected to begin before its
// deadline.
func (q *Queue) missesDeadline(now time.Time, r *request) bool {
	if r.deadline.IsZero() {
		return false
	}
	wait, _ := q.expectedWait(now, r, max(r.level, lateUnless(r)))
	return now.Add(wait).After(r.deadline)
}

// lateUnless returns the level that a request has once it has missed its aim.
func lateUnless(r *request) levelIndex {
	if r.returned {
		return returned
	}
	return late
}

// couldStart reports whether one of the free upstreams could take a request.
func (q *Queue) couldStart(r *request) bool {
	for _, u := range q.free {
		if u.suits(r) && q.fitsUnread(u, r) && q.fits(u, r.tokens) {
			return true
		}
	}
	return false
}

// floods reports whether the organisation of a request has far more waiting than the others of
// its class.
func (q *Queue) floods(r *request) bool {
	c := q.classes[r.priority()]
	flows, tokens, own := 0, 0, 0
	for _, f := range c.flows {
		if f.idle() {
			continue
		}
		flows++
		tokens += f.total()
		if f == r.flow {
			own = f.total()
		}
	}
	return flows > 1 && own*(flows-1) > overShare*(tokens-own)
}

// retryAfter returns a time at which there is expected to be room, spread so that callers that are
// refused together do not come back together, and within what callers follow.
func (q *Queue) retryAfter(now time.Time, r *request, wait time.Duration) time.Duration {
	longest := maxRetryAfter
	if !r.deadline.IsZero() {
		longest = time.Duration(retryShare * float64(r.deadline.Sub(now)))
	}
	after := time.Duration(float64(wait) * (1 + retrySpread*q.rng.Float64()))
	if after > longest {
		after = time.Duration(float64(longest) * (1 - retrySpread*q.rng.Float64()))
	}
	return max(after, minRetryAfter)
}

// refuse refuses a request and remembers its caller.
func (q *Queue) refuse(now time.Time, r *request, after time.Duration, ahead int) {
	r.ahead = ahead
	explanation := q.explain(now, r, nil)
	q.remember(now, r, after)
	q.forget(now, r)
	q.decisions = append(q.decisions, Decision{Key: r.key, Action: Refuse, RetryAfter: after, Explanation: explanation})
}

// refuseOverBound refuses the requests beyond the bound of their gateway, which are not remembered.
func (q *Queue) refuseOverBound() {
	for _, key := range q.overBound {
		q.decisions = append(q.decisions, Decision{Key: key, Action: Refuse, RetryAfter: maxRetryAfter})
	}
	q.overBound = q.overBound[:0]
}

// refuseExpired refuses waiting requests whose deadline cannot be met any more. There is nothing to
// come back for before the deadline, so they are told a time after it.
func (q *Queue) refuseExpired(now time.Time) {
	for _, c := range q.classes {
		for _, l := range []levelIndex{returned, late} {
			for lv := &c.levels[l]; len(lv.targets) > 0; {
				r := lv.targets[0]
				if now.Add(q.fastest(r)).Before(r.deadline) {
					break
				}
				q.refuse(now, r, maxRetryAfter, 0)
			}
		}
	}
	for i := 0; i < len(q.resumes); {
		r := q.resumes[i]
		if r.deadline.IsZero() || now.Before(r.deadline) {
			i++
			continue
		}
		q.refuse(now, r, maxRetryAfter, 0)
	}
}

// fastest returns the time in which a request could begin if it were placed now; half of the
// usual time, since some upstreams are faster.
func (q *Queue) fastest(r *request) time.Duration {
	return fromMS(q.typicalMSPerToken() * float64(r.prompt) / 2)
}
