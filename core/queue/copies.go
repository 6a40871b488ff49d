package queue

import "time"

// chooseCopy returns the upstream that is to hold a copy of the KV cache of a placed request: the
// one with the least memory taken in another availability zone, since the upstreams of a zone
// fail together. It returns nil if there is no room.
func (q *Queue) chooseCopy(now time.Time, r *request) *upstream {
	if !r.Copy || r.at == nil {
		return nil
	}
	var best *upstream
	for _, u := range q.list {
		if !u.HoldsCopies || u.Zone == r.at.Zone || u.Version != r.at.Version || !u.accepts(now) || !u.suits(r) || u.zone.suspectedDown(now) || !q.fits(u, r.tokens) {
			continue
		}
		if best == nil || u.usedTokens+u.copyTokens < best.usedTokens+best.copyTokens {
			best = u
		}
	}
	return best
}
