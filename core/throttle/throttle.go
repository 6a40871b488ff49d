// Package throttle shares the limit that an upstream names among all gateways. The limit is
// the number of requests per second that the upstream accepts from all callers together.
// Gateways learn it from answers; the Owner at the leading control instance grants them the
// requests that the limit allows, one by one or, at high limits, a few at a time. Invariant:
// within any span of time T, at most the limit times T + GrantTTL, and maxDepth of the limit, are
// used of what the owner grants; gateways that do not reach it add ownerlessShare of the limit.
// The package reads no clock and takes no lock.
package throttle

import (
	"math"
	"time"
)

const (
	// GrantTTL is how long a grant may be used, counted from the request for it. It covers
	// the placement of the request; what is granted ahead is used within half of it.
	GrantTTL = 500 * time.Millisecond
	// minRate is the smallest rate, in requests per second, that is granted. An upstream
	// that gets no request at all could never tell that its limit has ended.
	minRate = 0.2
	// rampDoubling is the time in which the rate doubles after a limit has ended, and
	// rampTime the time after which the rate is unlimited. An upstream that has just
	// recovered would otherwise get all the work of its service at once.
	rampDoubling = time.Second
	rampTime     = 5 * time.Second
	// priorityStep is the number of requests that a bucket must hold beyond one, for each
	// lower priority, so that the most urgent requests find one. maxPriority is the lowest
	// priority that is told apart.
	priorityStep = 1
	maxPriority  = 2
	// shareStep is what the bucket must hold beyond that for an organisation that has
	// used more than its share of the recent grants.
	shareStep = 1
	// reserve is the size of a bucket that satisfies the lowest priority and an
	// organisation beyond its share.
	reserve = 1 + maxPriority*priorityStep + shareStep
	// burstTime is the time whose requests a bucket holds beyond reserve. They may be
	// granted several at a time, so that gateways need few calls at high limits.
	burstTime = 250 * time.Millisecond
)

// maxDepth is the size of the bucket of a limit.
func maxDepth(rate float64) float64 { return reserve + rate*burstTime.Seconds() }

// Statement is what an answer of an upstream says about its limit.
type Statement struct {
	// Rate is the limit in requests per second. It is the last limit if Ended is set, which
	// means that the upstream no longer names one.
	Rate  float64
	Ended bool
	// SentAt is when the request was sent, and ReceivedAt when the head of its answer was
	// received. The upstream wrote the answer between the two.
	SentAt, ReceivedAt time.Time
}

// supersedes reports whether a statement replaces an earlier one. Answers overtake each other:
// if either may have been written first, the lower limit holds.
func (s Statement) supersedes(old Statement) bool {
	switch {
	case s.SentAt.After(old.ReceivedAt):
		return true
	case old.SentAt.After(s.ReceivedAt):
		return false
	case s.Ended != old.Ended:
		return old.Ended
	}
	return !s.Ended && s.Rate < old.Rate
}

// same reports whether two statements have the same meaning.
func (s Statement) same(old Statement) bool { return s.Ended == old.Ended && s.Rate == old.Rate }

// rate returns the number of requests per second that may be sent at a time, and whether it is
// limited. After the end of a limit the rate doubles every rampDoubling.
func (s Statement) rate(now time.Time) (rate float64, limited bool) {
	rate = max(s.Rate, minRate)
	if !s.Ended {
		return rate, true
	}
	since := now.Sub(s.ReceivedAt)
	return max(rate, 1) * math.Exp2(max(since, 0).Seconds()/rampDoubling.Seconds()), since < rampTime
}

// neededTokens is the number of tokens that a bucket must hold for a request of a priority.
func neededTokens(priority int) float64 {
	return 1 + priorityStep*float64(min(max(priority, 0), maxPriority))
}

// observe returns what is known about a limit after an answer that names a limit, or nil for none,
// and whether the limit has changed. old is nil if no limit was known.
func observe(old *Statement, sentAt, now time.Time, named *float64) (*Statement, bool) {
	switch {
	case named != nil:
		return adopt(old, Statement{Rate: *named, SentAt: sentAt, ReceivedAt: now})
	case old == nil || old.Ended:
		return old, false
	}
	return adopt(old, Statement{Rate: old.Rate, Ended: true, SentAt: sentAt, ReceivedAt: now})
}

// adopt returns the statement that holds, and whether the limit has changed.
func adopt(old *Statement, s Statement) (*Statement, bool) {
	switch {
	case old == nil:
		return &s, true
	case !s.supersedes(*old):
		return old, false
	}
	return &s, !s.same(*old)
}

// bucket is a token bucket; its tokens are requests.
type bucket struct {
	level  float64
	filled time.Time
}

// fill adds the tokens of the time since the last call.
func (b *bucket) fill(now time.Time, rate, depth float64) {
	if now.After(b.filled) {
		b.level += rate * now.Sub(b.filled).Seconds()
		b.filled = now
	}
	b.level = min(b.level, depth)
}
