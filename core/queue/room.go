package queue

import "time"

// parallel reports whether an upstream works on all its requests at once, as plain services do.
// One with a KV cache reads prompts one after another.
func (u *upstream) parallel() bool { return u.MemoryTokens == 0 }

// mayRead reports whether an upstream may be given another prompt: it has nothing to read, or is
// about to have read all. One whose first event is overdue gets nothing more.
func (u *upstream) mayRead(since time.Duration) bool {
	return len(u.unread) == 0 || u.parallel() || u.grantFrom <= since && since <= u.grantUntil
}

// fitsUnread reports whether a prompt keeps within the bound on unread tokens.
func (q *Queue) fitsUnread(u *upstream, r *request) bool {
	return len(u.unread) == 0 || u.parallel() || u.unreadTokens+r.prompt <= q.settings.MaxUnreadTokens
}

// fits reports whether an upstream has a slot and memory for a number of tokens beside what it
// runs and the copies that it holds. An empty one takes a request of any size, since one larger
// than the bound could never run otherwise.
func (q *Queue) fits(u *upstream, tokens int) bool {
	taken := u.requests + len(u.copies)
	if taken == 0 {
		return true
	}
	if u.Slots > 0 && taken >= u.Slots {
		return false
	}
	return u.MemoryTokens == 0 || u.usedTokens+u.copyTokens+tokens <= q.memoryBound(u)
}

func (q *Queue) memoryBound(u *upstream) int {
	return int(q.settings.MemoryShare * float64(u.MemoryTokens))
}

func (u *upstream) usedShare() float64 {
	if u.MemoryTokens == 0 {
		return 0
	}
	return float64(u.usedTokens+u.copyTokens) / float64(u.MemoryTokens)
}

// holdPeriod is how long an upstream gets no copies after it was held for a request.
const holdPeriod = 200 * time.Millisecond

// hold keeps the upstream with the most room from requests that pass one that nothing free
// suits, so that smaller requests do not keep a large one waiting for ever.
func (q *Queue) hold(now time.Time, r *request) {
	var most *upstream
	for _, u := range q.list {
		if u.held || !u.accepts(now) || !u.suits(r) {
			continue
		}
		if most == nil || q.freeTokens(u) > q.freeTokens(most) {
			most = u
		}
	}
	if most != nil {
		most.held, most.heldUntil = true, now.Add(holdPeriod)
		q.held = append(q.held, most)
	}
}

// freeTokens returns the free KV cache; it is negative where more is taken than allowed.
func (q *Queue) freeTokens(u *upstream) int {
	if u.MemoryTokens == 0 {
		return maxTokens - u.usedTokens
	}
	return q.memoryBound(u) - u.usedTokens - u.copyTokens
}
