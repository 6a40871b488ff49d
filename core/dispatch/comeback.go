package dispatch

import (
	"math"
	"time"
)

// This file computes Retry-After for plain calls that were refused by full upstreams.
// After a restart of the whole deployment, the calls of several seconds reach the
// upstreams at once: callers that are all given the same delay collide again, and most of
// them retry only once.

const (
	// minRetryDelay is the shortest time after which a full upstream accepts another call.
	minRetryDelay = 100 * time.Millisecond
	// retryTimeDivisor is the divisor of the caller's remaining time that gives the
	// longest delay. A caller told to wait for more than a third of that time does not
	// follow the advice, and too little time would be left for the answer.
	retryTimeDivisor = 3
	// retryRateFactor is how much faster callers may return than calls are currently
	// answered: upstreams that refuse calls have just been idle or are working off a
	// backlog.
	retryRateFactor = 2
	// minCallRate is the rate, in calls per second, that is assumed when hardly any call
	// has been answered yet; hundreds of gateways may be in that state at the same time.
	minCallRate = 2
	// callRateTimeConstant is the time constant of the moving average of the answer rate.
	callRateTimeConstant = time.Second
)

// retrySpreader spreads the retries of the refused callers of one service over time.
type retrySpreader struct {
	// nextRetryAt is the time assigned to the next refused caller. It does not move beyond
	// the time that callers are willing to wait.
	nextRetryAt time.Time
	// answerRate is the number of calls answered per second, as of answeredAt.
	answerRate float64
	answeredAt time.Time
}

// RetryAfter returns the delay after which the caller of a refused plain call should
// retry. earliest is the shortest delay that makes sense; left is the time until the
// caller's deadline.
func (f *Fleet) RetryAfter(now time.Time, service string, earliest, left time.Duration) time.Duration {
	maxDelay := left / retryTimeDivisor
	spread := f.estimate(service).retryDelays.delay(now, f.rng.Float64(), maxDelay) - minRetryDelay
	return min(earliest+max(spread, 0), max(earliest, maxDelay))
}

func (s *retrySpreader) rateAt(now time.Time) float64 {
	return s.answerRate * math.Exp(-now.Sub(s.answeredAt).Seconds()/callRateTimeConstant.Seconds())
}

func (s *retrySpreader) recordAnswer(now time.Time) {
	s.answerRate, s.answeredAt = s.rateAt(now)+1/callRateTimeConstant.Seconds(), now
}

// delay returns how long the next refused caller should wait, at most maxDelay. jitter is
// between 0 and 1.
func (s *retrySpreader) delay(now time.Time, jitter float64, maxDelay time.Duration) time.Duration {
	step := time.Duration(float64(time.Second) / (retryRateFactor * max(s.rateAt(now), minCallRate)))
	if earliest := now.Add(minRetryDelay); s.nextRetryAt.Before(earliest) {
		s.nextRetryAt = earliest.Add(step)
		return minRetryDelay // no other caller has been refused recently
	}
	at := s.nextRetryAt.Add(time.Duration(jitter * float64(step)))
	if wait := at.Sub(now); wait <= maxDelay {
		s.nextRetryAt = s.nextRetryAt.Add(step)
		return wait
	}
	return maxDelay/2 + time.Duration(jitter*float64(maxDelay/2))
}
