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
	// maxBusyShare bounds the share of the throughput that is assumed to go to later arrivals
	// that pass a request, except in an overload that is expected to last.
	maxBusyShare = 0.5
	// overloadShare is how much longer an overload is expected to last, as a share of the time
	// that it has lasted.
	overloadShare = 0.25
	// overloadEnd is the share of the throughput below which arrivals end an overload. It is less
	// than 1, so that noise does not end it.
	overloadEnd = 0.8
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
	// returnTolerance is how much earlier than told a caller may come back: timers and clocks
	// differ.
	returnTolerance = 50 * time.Millisecond
	// returnPeriod is how long after the time that it was told a caller is remembered.
	returnPeriod = 10 * time.Second
	// maxReturns bounds the refused callers that are remembered, and with it the memory.
	maxReturns = 20_000
	// pledgeWalks is the number of sweeps in which the refused callers are walked once, minPledgeWalk
	// the number that one sweep walks at least.
	pledgeWalks, minPledgeWalk = 16, 64
	// maxOrganisationReturns bounds those of one organisation, so that its refusals do not keep the
	// callers of others from being remembered.
	maxOrganisationReturns = maxReturns / 4
)

// returnKey identifies a caller that was refused.
type returnKey struct{ organisation, promptKey string }

// pledge is what a refused caller was told.
type pledge struct {
	arrivedAt, from time.Time
	// flooded is set if the organisation had far more waiting than others. Its callers go
	// before its own later ones only, so that others do not pay for its flood.
	flooded bool
	// seq tells the pledge from an earlier one of the same caller.
	seq uint64
}

// pledgeEntry is a pledge in the order in which they are walked.
type pledgeEntry struct {
	key returnKey
	seq uint64
}

// recognise gives a caller that was refused its original arrival if it comes back when it was
// told to. One that comes back earlier counts as new.
func (q *Queue) recognise(now time.Time, r *request) {
	if r.PromptKey == "" {
		return
	}
	key := returnKey{r.Organisation, r.PromptKey}
	p, ok := q.pledges[key]
	if !ok || now.Sub(p.from) > returnPeriod {
		return
	}
	if now.Before(p.from.Add(-returnTolerance)) {
		r.earlyBy = p.from
		return
	}
	q.removePledge(key)
	r.pledged, r.returned = true, !p.flooded
	if p.arrivedAt.Before(r.arrivedAt) {
		r.arrivedAt = p.arrivedAt
		if !r.due.IsZero() {
			r.due = r.arrivedAt.Add(limitDuration(r.Aim))
		}
	}
}

// forgetPledges drops refused callers that have not come back. It looks at a part of the table in each
// sweep, since a walk over all of it would delay the decisions of all services.
func (q *Queue) forgetPledges(now time.Time) {
	n := min(max(minPledgeWalk, len(q.pledgeOrder)/pledgeWalks), len(q.pledgeOrder))
	walk := q.pledgeOrder[:n]
	q.pledgeOrder = q.pledgeOrder[n:]
	for _, e := range walk {
		p, ok := q.pledges[e.key]
		switch {
		case !ok || p.seq != e.seq:
		case now.Sub(p.from) > returnPeriod:
			q.removePledge(e.key)
		default:
			q.pledgeOrder = append(q.pledgeOrder, e)
		}
	}
}

func (q *Queue) removePledge(key returnKey) {
	delete(q.pledges, key)
	if q.pledgesOf[key.organisation]--; q.pledgesOf[key.organisation] == 0 {
		delete(q.pledgesOf, key.organisation)
	}
}

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
	case !r.pledged && r.level == onTime && q.floods(r):
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

// expectedWait returns the expected time to the first event of a waiting request in a level, and
// the prompt tokens that go before it.
func (q *Queue) expectedWait(now time.Time, r *request, l levelIndex) (time.Duration, int) {
	p := r.priority()
	ahead, passing := 0, p // classes whose later arrivals pass
	for i, c := range q.classes {
		switch {
		case c.count == 0:
		case i < p:
			ahead += c.levels[returned].tokens + c.levels[onTime].tokens
			if l == late {
				ahead += c.levels[late].tokens
			}
		case i == p && l != returned:
			ahead += c.levels[returned].tokens
			if l == late {
				ahead += c.levels[onTime].tokens
			}
		case l == late:
			ahead += c.levels[onTime].tokens
		}
	}
	if l == late {
		passing = p + 1
	}
	throughput := q.throughput(now)
	inLevel := q.aheadInLevel(r, l)
	ms := q.drainMS(now, float64(ahead+inLevel), throughput, q.arrivalRate(now, passing)/throughput)
	if l != late { // the floor of a class serves those first that are on time
		ms = min(ms, float64(inLevel)/(throughput*q.settings.Floor)+milliseconds(floorWait))
	}
	ahead += inLevel
	ms += q.typicalMSPerToken() * float64(r.prompt)
	return fromMS(min(ms, milliseconds(maxDuration))), ahead
}

// drainMS returns the expected time until a number of prompt tokens has been started, while later
// arrivals that pass them take a share of the throughput. An overload is expected to last for a
// share of the time that it has lasted; a request is not refused because it would wait for ever if
// it never ended.
func (q *Queue) drainMS(now time.Time, tokens, throughput, busy float64) float64 {
	calm := 1 - min(busy, maxBusyShare)
	if q.overloadFrom.IsZero() || busy <= maxBusyShare {
		return tokens / (throughput * calm)
	}
	lasts := overloadShare * milliseconds(now.Sub(q.overloadFrom))
	left := max(1-busy, 0)
	if drained := throughput * left * lasts; tokens > drained {
		return lasts + (tokens-drained)/(throughput*calm)
	}
	return tokens / (throughput * left)
}

// noticeOverload follows whether more arrives than can be started.
func (q *Queue) noticeOverload(now time.Time) {
	share := q.arrivalRate(now, priorities) / q.throughput(now)
	switch {
	case q.overloadFrom.IsZero() && share > 1 && q.waiting() > 0:
		q.overloadFrom = now
	case share < overloadEnd:
		q.overloadFrom = time.Time{}
	}
}

// aheadInLevel returns the prompt tokens that go before a request in its level. In fair queueing
// the other organisations are served in proportion before it, but at most all of the level is.
func (q *Queue) aheadInLevel(r *request, l levelIndex) int {
	lv := &q.classes[r.priority()].levels[l]
	if r.flow == nil {
		return lv.tokens
	}
	list, flows, total := r.flow.lists[l], len(lv.flows.list), lv.tokens
	at := len(list)
	if r.level == l {
		at, _ = slices.BinarySearchFunc(list, r, earlier)
		total -= r.prompt
	} else if at == 0 {
		flows++
	}
	own := float64(at) / float64(max(len(list), 1)) * float64(r.flow.tokens[l])
	return int(min(own*float64(flows), float64(total)))
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

// remember records what a refused caller was told. A change of owner loses these records: callers that
// come back to the new one count as new.
func (q *Queue) remember(now time.Time, r *request, after time.Duration) {
	key := returnKey{r.Organisation, r.PromptKey}
	if r.PromptKey == "" {
		return
	}
	old, known := q.pledges[key]
	switch {
	case known && r.earlyBy.After(now):
		return // what it was told before still holds
	case !known && (len(q.pledges) >= maxReturns || q.pledgesOf[key.organisation] >= maxOrganisationReturns):
		return
	case !known:
		q.pledgesOf[key.organisation]++
		q.pledgeSeq++
		old.seq = q.pledgeSeq
		q.pledgeOrder = append(q.pledgeOrder, pledgeEntry{key, old.seq})
	}
	q.pledges[key] = pledge{seq: old.seq, arrivedAt: r.arrivedAt, from: now.Add(after), flooded: r.flow != nil && q.floods(r)}
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
