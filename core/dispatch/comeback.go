package dispatch

import (
	"math"
	"time"
)

// This file tells callers of plain calls that were turned away when to come back. It answers
// the moment after a restart of everything, in which the calls of seconds reach the
// upstreams at once: callers who are all told the same time meet again, and most have one
// more try.

const (
	// leastComeback is the least time after which a full upstream takes another call.
	minRetryDelay = 100 * time.Millisecond
	// comebackShare is the part of the time that a caller has left within which it comes back.
	// Beyond a third it does not wait as told, and too little is left for the answer.
	retryTimeDivisor = 3
	// comebackFactor is by how much callers may return faster than calls are answered at the
	// moment; upstreams that turn calls away have just been idle or are being caught up with.
	retryRateFactor = 2
	// leastCallRate is assumed where hardly any call has been answered yet, in calls a second;
	// hundreds of gateways may be in that state together.
	minCallRate = 2
	// rateTime is the time constant of the rate at which calls are answered.
	callRateTimeConstant = time.Second
)

// comeback spreads the callers of one service that were turned away.
type retrySpreader struct {
	// next is when the next one is to come back. It is not put off beyond what callers wait.
	next time.Time
	// rate is the number of calls that were answered a second, as of last.
	rate float64
	last time.Time
}

// RetryAfter returns when the caller of a plain call that was turned away is to come back, if
// that makes sense after a time at the earliest. Left is the time until its deadline.
func (f *Fleet) RetryAfter(now time.Time, service string, earliest, left time.Duration) time.Duration {
	spread := f.estimate(service).retryDelays.delay(now, f.rng.Float64(), left/retryTimeDivisor) - minRetryDelay
	return earliest + max(spread, 0)
}

func (c *retrySpreader) rateAt(now time.Time) float64 {
	return c.rate * math.Exp(-now.Sub(c.last).Seconds()/callRateTimeConstant.Seconds())
}

func (c *retrySpreader) recordAnswer(now time.Time) {
	c.rate, c.last = c.rateAt(now)+1/callRateTimeConstant.Seconds(), now
}

// after returns when the next caller is to come back, within a time. Jitter is between 0 and 1.
func (c *retrySpreader) delay(now time.Time, jitter float64, maxDelay time.Duration) time.Duration {
	step := time.Duration(float64(time.Second) / (retryRateFactor * max(c.rateAt(now), minCallRate)))
	if earliest := now.Add(minRetryDelay); c.next.Before(earliest) {
		c.next = earliest.Add(step)
		return minRetryDelay // nobody else has been turned away lately
	}
	at := c.next.Add(time.Duration(jitter * float64(step)))
	if wait := at.Sub(now); wait <= maxDelay {
		c.next = c.next.Add(step)
		return wait
	}
	return maxDelay/2 + time.Duration(jitter*float64(maxDelay/2))
}
