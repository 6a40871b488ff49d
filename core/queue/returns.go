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
	// refusalWalks is the number of sweeps in which the refused callers are walked once, minRefusalWalk
	// the number that one sweep walks at least.
	refusalWalks, minRefusalWalk = 16, 64
	// maxOrganisationReturns bounds those of one organisation, so that its refusals do not keep the
	// callers of others from being remembered.
	maxOrganisationReturns = maxReturns / 4
)

// returnKey identifies a caller that was refused.
type returnKey struct{ organisation, promptKey string }

// refusal is what a refused caller was told.
type refusal struct {
	arrivedAt, from time.Time
	// flooded is set if the organisation had far more waiting than others. Its callers go
	// before its own later ones only, so that others do not pay for its flood.
	flooded bool
	// seq tells the refusal from an earlier one of the same caller.
	seq uint64
}

// refusalEntry is a refusal in the order in which they are walked.
type refusalEntry struct {
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
	p, ok := q.refusals[key]
	if !ok || now.Sub(p.from) > returnPeriod {
		return
	}
	if now.Before(p.from.Add(-returnTolerance)) {
		r.earlyBy = p.from
		return
	}
	q.removeRefusal(key)
	r.wasRefused, r.returned = true, !p.flooded
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
	old, known := q.refusals[key]
	switch {
	case known && r.earlyBy.After(now):
		return // what it was told before still holds
	case !known && (len(q.refusals) >= maxReturns || q.refusalsOf[key.organisation] >= maxOrganisationReturns):
		return
	case !known:
		q.refusalsOf[key.organisation]++
		q.refusalSeq++
		old.seq = q.refusalSeq
		q.refusalOrder = append(q.refusalOrder, refusalEntry{key, old.seq})
	}
	q.refusals[key] = refusal{seq: old.seq, arrivedAt: r.arrivedAt, from: now.Add(after), flooded: r.flow != nil && q.floods(r)}
}

// forgetRefusals drops refused callers that have not come back. It looks at a part of the table in each
// sweep, since a walk over all of it would delay the decisions of all services.
func (q *Queue) forgetRefusals(now time.Time) {
	n := min(max(minRefusalWalk, len(q.refusalOrder)/refusalWalks), len(q.refusalOrder))
	walk := q.refusalOrder[:n]
	q.refusalOrder = q.refusalOrder[n:]
	for _, e := range walk {
		p, ok := q.refusals[e.key]
		switch {
		case !ok || p.seq != e.seq:
		case now.Sub(p.from) > returnPeriod:
			q.removeRefusal(e.key)
		default:
			q.refusalOrder = append(q.refusalOrder, e)
		}
	}
}

func (q *Queue) removeRefusal(key returnKey) {
	delete(q.refusals, key)
	if q.refusalsOf[key.organisation]--; q.refusalsOf[key.organisation] == 0 {
		delete(q.refusalsOf, key.organisation)
	}
}
