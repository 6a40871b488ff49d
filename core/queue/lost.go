package queue

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lostAfter is how long after its deadline a placed request is dropped. Its gateway ends it at
	// the deadline and reports that within seconds, also through a change of owner.
	lostAfter = 30 * time.Second
	// silentLimit is how long a placed request without a deadline is kept without an event: longer
	// than any stream is expected to run.
	silentLimit = 24 * time.Hour
	// lostInterval is the interval between searches, which walk all requests.
	lostInterval = 5 * time.Second
)

// dropLost drops placed requests whose end was not reported. One fault in the reports of a gateway
// would otherwise take room for as long as the owner stays.
func (q *Queue) dropLost(now time.Time) {
	if now.Before(q.nextLost) {
		return
	}
	q.nextLost = now.Add(lostInterval)
	var list []*request
	for _, r := range q.requests {
		if r.state != waiting && r.endIsLost(now) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	for _, r := range list {
		q.forget(now, r)
	}
	q.lost += len(list)
}

func (r *request) endIsLost(now time.Time) bool {
	if r.deadline.IsZero() {
		return now.Sub(r.heardAt) > silentLimit && now.Sub(r.placedAt) > silentLimit
	}
	return now.Sub(r.deadline) > lostAfter
}
