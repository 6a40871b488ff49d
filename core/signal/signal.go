// Package signal holds what an upstream says of itself in its answers: that it leaves,
// and that it is to be left alone for a time. It answers planned stops and overload, in
// which an upstream knows better than any report what it can take. It holds no clock.
package signal

import "time"

// MaxBackoff bounds the backoff that an upstream may ask for. One that asks for more has
// most likely sent a value in another unit.
const MaxBackoff = 10 * time.Minute

// Backoff is the time for which an upstream wants nothing from this process: no request,
// report, list, copy or check.
type Backoff struct{ until time.Time }

// Extend records that the upstream asks for a time from now on. A shorter one does not end a
// longer one. It returns the end.
func (b *Backoff) Extend(now time.Time, wait time.Duration) time.Time {
	if until := now.Add(min(wait, MaxBackoff)); until.After(b.until) {
		b.until = until
	}
	return b.until
}

// Remaining returns what is left of the backoff, zero without one.
func (b *Backoff) Remaining(now time.Time) time.Duration { return max(b.until.Sub(now), 0) }

// Upstream is what one incarnation of an upstream has said.
type Upstream struct {
	Leaving bool
	Backoff
}

// AcceptsWork tells whether the upstream accepts new work.
func (u *Upstream) AcceptsWork(now time.Time) bool { return !u.Leaving && u.Remaining(now) == 0 }
