// Package drain decides which requests an instance still takes once it has been told to stop. What it takes
// then has to end before the instance cuts off the rest. Only a request's deadline bounds when it ends: an
// expected duration does not, since upstreams queue, slow down under load and fail in the middle of a response.
// The package reads no clock.
package drain

import "time"

// RetryAfter is the Retry-After of requests that a stopping instance refuses; others can serve
// them at once.
const RetryAfter = 50 * time.Millisecond

// Stop is a planned stop that is under way. A nil Stop stands for an instance that has not been told to stop.
type Stop struct {
	// SignalAt is when the instance was told to stop.
	SignalAt time.Time
	// CutAt is when it ends the requests that still run, zero while that is not known.
	CutAt time.Time
}

// Pending returns a stop whose cut is not known yet. It admits no request.
func Pending(signalAt time.Time) *Stop { return &Stop{SignalAt: signalAt} }

// IsPending reports whether the cut of a stop is not known yet.
func (s *Stop) IsPending() bool { return s != nil && s.CutAt.IsZero() }

// Admits reports whether a request that no upstream can have begun may be sent to one. Invariant: upstreams
// no longer work at CutAt on a request that was admitted after SignalAt, since it ends at its deadline at the
// latest. Its response may still be on its way to a caller that reads slowly.
func (s *Stop) Admits(deadline time.Time) bool {
	return s == nil || !deadline.After(s.CutAt)
}
