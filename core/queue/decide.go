package queue

import (
	"math"
	"slices"
	"time"
)

const (
	// maxAside is the number of waiting requests without room for which an upstream is searched in
	// one call before later ones are filtered by their size; each search walks all free upstreams.
	maxAside = 4
	// maxSearches is the number of searches without a result that end a call.
	maxSearches = 2 * maxAside
	// maxUnsuited is the number of waiting requests that others may pass in one call.
	maxUnsuited = 64
)

// Decide returns all decisions that follow now. The caller repeats what its messages lose; only a Move
// is decided again if it is not carried out. The slice is reused by the next call, so a caller that
// passes it to another goroutine copies it first.
func (q *Queue) Decide(now time.Time) []Decision {
	q.decisions = q.decisions[:0]
	q.refuseOverBound()
	swept := q.sweep(now)
	if swept {
		q.requeueUnsuited(now)
	}
	q.expire(now)
	if swept {
		q.refuseExpired(now)
	}
	q.findFree(now)
	q.placeResumes(now)
	q.placeWaiting(now)
	q.reviewNew(now, swept)
	if swept {
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
	for _, c := range q.classes {
		c.floorBlocked = false
	}
	blocked, free := 0, room{math.MaxInt, math.MaxInt}
	for len(q.free) > 0 && blocked < maxSearches && len(q.aside) < maxUnsuited {
		if !q.waitingPrompts.anyWithin(free.prompt) {
			break
		}
		r := q.next(now)
		if r == nil {
			break
		}
		if !free.takes(r) {
			q.setAside(now, r)
			continue
		}
		u := q.choose(now, r, q.free)
		if u == nil && blocked == 0 {
			u = q.chooseByDropping(now, r, q.free)
		}
		if u != nil && q.betterToWait(now, r, u) {
			break
		}
		if u != nil {
			q.dropCopies(now, u, r.tokens)
			q.place(now, r, u)
			continue
		}
		if !q.setAside(now, r) || !anySuits(q.free, r) {
			continue
		}
		if blocked++; blocked == 1 {
			q.hold(now, r)
		}
		if blocked >= maxAside {
			free = q.largestRoom() // placements only make it smaller
		}
	}
	for _, r := range q.aside {
		q.push(r, r.level)
	}
}

// setAside lets others pass a request for the rest of a call. It reports false for one that no
// upstream suits.
func (q *Queue) setAside(now time.Time, r *request) bool {
	if c := q.classes[r.priority()]; c == q.belowFloor(now) {
		c.floorBlocked = true
	}
	q.unqueue(r)
	if !anySuits(q.list, r) {
		q.unsuited = append(q.unsuited, r)
		return false
	}
	q.aside = append(q.aside, r)
	return true
}

// room is what the free upstreams take at most.
type room struct{ prompt, tokens int }

func (m room) takes(r *request) bool { return r.prompt <= m.prompt && r.tokens <= m.tokens }

// largestRoom returns an upper bound of what any of the free upstreams takes.
func (q *Queue) largestRoom() (largest room) {
	for _, u := range q.free {
		taken := u.requests + len(u.copies)
		if u.held || u.Slots > 0 && taken >= u.Slots {
			continue
		}
		prompt, tokens := math.MaxInt, math.MaxInt
		if taken > 0 && u.MemoryTokens > 0 {
			tokens = q.freeTokens(u)
		}
		if len(u.unread) > 0 && !u.parallel() {
			prompt = q.settings.MaxUnreadTokens - u.unreadTokens
		}
		largest.prompt = max(largest.prompt, min(prompt, tokens))
		largest.tokens = max(largest.tokens, tokens)
	}
	return largest
}

// waiting returns the number of waiting requests that have not sent events.
func (q *Queue) waiting() (n int) {
	for _, c := range q.classes {
		n += c.count
	}
	return n + len(q.unsuited)
}

// anySuits reports whether any upstream of a list may run a request at all.
func anySuits(list []*upstream, r *request) bool {
	return slices.ContainsFunc(list, func(u *upstream) bool { return u.Accepts && u.suits(r) })
}

// requeueUnsuited returns the requests that no upstream suited to the order, which may have changed.
func (q *Queue) requeueUnsuited(now time.Time) {
	list := q.unsuited
	q.unsuited = nil
	for _, r := range list {
		q.enqueue(now, r)
	}
}

// placeResumes places interrupted streams, which go before all others.
func (q *Queue) placeResumes(now time.Time) {
	blocked := 0
	for i := 0; i < len(q.resumes); {
		r := q.resumes[i]
		u := q.preferred(now, r)
		if u == nil && blocked < maxAside {
			u = q.chooseResume(now, r)
		}
		if u == nil {
			blocked++
			i++
			continue
		}
		if u.ID != r.Preferred {
			q.dropCopies(now, u, r.tokens)
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
