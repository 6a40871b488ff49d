package dispatch

import (
	"slices"
	"time"
)

// acceptsWork reports whether an upstream accepts new work from this gateway, according to
// its answers.
func (u *upstream) acceptsWork(now time.Time) bool {
	return !u.Leaving && u.backoff.Remaining(now) == 0
}

// incarnation returns the upstream with the given id if it is still the same incarnation,
// and nil otherwise.
func (f *Fleet) incarnation(id string, startedMS int64) *upstream {
	if u := f.byID[id]; u != nil && u.StartedMS == startedMS {
		return u
	}
	return nil
}

// MarkLeaving records that an incarnation has announced that it is leaving: it gets no new
// work, and its running requests continue. It returns false if this was already known.
func (f *Fleet) MarkLeaving(id string, startedMS int64) bool {
	u := f.incarnation(id, startedMS)
	if u == nil || u.Leaving {
		return false
	}
	u.Leaving = true
	return true
}

// SetBackoff records that an incarnation has asked this gateway to send nothing for some
// time: no request, query for a report or a list, backup or health check. It returns the
// end of that time.
func (f *Fleet) SetBackoff(now time.Time, id string, startedMS int64, wait time.Duration) time.Time {
	u := f.incarnation(id, startedMS)
	if u == nil {
		return time.Time{}
	}
	return u.backoff.Extend(now, wait)
}

// Backoff returns the time left of the backoff that an incarnation has asked for.
func (f *Fleet) Backoff(now time.Time, id string, startedMS int64) time.Duration {
	u := f.incarnation(id, startedMS)
	if u == nil {
		return 0
	}
	return u.backoff.Remaining(now)
}

// CanTakeElsewhere reports whether an upstream that the request has not tried, other than the
// one with the given id, could take it now.
func (f *Fleet) CanTakeElsewhere(now time.Time, req *Request, id string) bool {
	return slices.ContainsFunc(f.byService[req.Service], func(u *upstream) bool {
		return u.ID != id && !slices.Contains(req.Tried, u.ID) && f.eligible(now, req, u)
	})
}

// RetryIn returns the time until a request may be placed, or zero if it could be placed
// now.
func (f *Fleet) RetryIn(now time.Time, req *Request) time.Duration {
	list := f.byService[req.Service]
	for _, u := range list {
		if f.eligible(now, req, u) {
			return 0
		}
	}
	return f.refusal(now, req, list).RetryAfter
}
