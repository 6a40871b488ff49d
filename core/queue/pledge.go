package queue

import (
	"time"
)

// This file remembers callers that were refused, so that those who come back when they were told to
// keep their place.

const (
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
