// Package signal holds what an upstream announces in its responses: that it is leaving,
// and that it wants no work for a time. These signals cover planned stops and overload,
// where the upstream itself knows best what it can accept. The package reads no clock.
package signal

import "time"

// MaxBackoff limits the backoff that an upstream may request. A larger value was most
// likely sent in another unit.
const MaxBackoff = 10 * time.Minute

// Backoff is the period in which an upstream wants no traffic from this process: no
// requests, queries for a load report or a list, backups or health checks.
type Backoff struct{ until time.Time }

// Extend records a backoff requested from now on and returns its end. A shorter backoff
// does not cut an earlier one short.
func (b *Backoff) Extend(now time.Time, wait time.Duration) time.Time {
	if until := now.Add(min(wait, MaxBackoff)); until.After(b.until) {
		b.until = until
	}
	return b.until
}

// Remaining returns the rest of the backoff, or zero.
func (b *Backoff) Remaining(now time.Time) time.Duration { return max(b.until.Sub(now), 0) }

// Upstream holds the signals of one incarnation of an upstream.
type Upstream struct {
	Leaving bool
	Backoff
}

// AcceptsWork reports whether the upstream accepts new work.
func (u *Upstream) AcceptsWork(now time.Time) bool { return !u.Leaving && u.Remaining(now) == 0 }
