package queue

import "time"

// maxAside is the number of waiting requests that others may pass in one call because nothing
// free suits them.
const maxAside = 4

// Decide returns all decisions that follow now. They are valid until the next call.
func (q *Queue) Decide(now time.Time) []Decision {
	q.decisions = q.decisions[:0]
	swept := q.sweep(now)
	q.findFree(now)
	q.placeResumes(now)
	q.expire(now)
	q.placeWaiting(now)
	q.reviewNew(now, swept)
	if swept {
		q.refuseExpired(now)
		q.moveOverdue(now)
		q.makeCopies(now)
	}
	return q.decisions
}

// placeWaiting gives what is free to the waiting requests in their order.
func (q *Queue) placeWaiting(now time.Time) {
	if q.waiting() == 0 {
		return
	}
	q.aside = q.aside[:0]
	for len(q.free) > 0 && len(q.aside) < maxAside {
		r := q.next(now)
		if r == nil {
			break
		}
		u := q.choose(now, r, q.free)
		if u == nil {
			u = q.makeRoom(now, r, q.free)
		}
		if u != nil && q.betterToWait(now, r, u) {
			break
		}
		if u != nil {
			q.place(now, r, u)
			continue
		}
		q.unqueue(r)
		q.aside = append(q.aside, r)
		if len(q.aside) == 1 {
			q.hold(now, r)
		}
	}
	for _, r := range q.aside {
		q.classes[r.priority()].push(r, r.level)
	}
}

// waiting returns the number of waiting requests that have not sent events.
func (q *Queue) waiting() (n int) {
	for _, c := range q.classes {
		n += c.count
	}
	return n
}

// placeResumes places interrupted streams, which go before all others.
func (q *Queue) placeResumes(now time.Time) {
	for i := 0; i < len(q.resumes); {
		r := q.resumes[i]
		u := q.chooseResume(now, r)
		if u == nil {
			i++
			continue
		}
		q.place(now, r, u) // removes it from the list
	}
}

// NextDecision returns the time after which Decide must be called again if no event arrives
// before; zero means only on events.
func (q *Queue) NextDecision(now time.Time) time.Duration {
	if len(q.requests) == 0 {
		return 0
	}
	if q.waiting() == 0 && len(q.resumes) == 0 {
		return idleInterval
	}
	if q.freeStale {
		return minInterval
	}
	return min(max(q.freeUntil-now.Sub(q.epoch), minInterval), idleInterval)
}

const (
	// idleInterval is the longest time between two calls of Decide while there are requests, so
	// that aims that pass and first events that are overdue are noticed.
	idleInterval = 100 * time.Millisecond
	// minInterval bounds the processor time that decisions without an event take.
	minInterval = time.Millisecond
)
