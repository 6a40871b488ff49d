package retry

import (
	"slices"
	"time"
)

const (
	// latencySamples is the number of latencies kept.
	maxSamples = 256
	// minSamples is the least number from which a p95 is taken; with fewer than
	// 20 the p95 is the maximum.
	minSamples = 20
	// sampleAge is the age from which a sample no longer counts.
	maxSampleAge = time.Minute
	// recomputeEvery bounds the sorting to one in so many samples.
	recomputeInterval = 16
	// hedgeQuantile is the share of lookups that end before a hedge is sent, so
	// hedges stay near 5% of lookups.
	hedgeQuantile = 0.95
	// MinHedgeDelay keeps hedges from being sent within normal network jitter.
	MinHedgeDelay = time.Millisecond
)

// hedgeShare is the part of an objective after which a hedge is sent at the latest: the
// second upstream has the larger part of the time.
const hedgeObjectiveShare = 0.45

// HedgeDelay returns how long to wait for a lookup before a hedge is sent: until it is
// slower than most, or until a hedge has just the time to meet the objective. Nothing
// else is assumed of the service's usual work.
func (l *LatencyTracker) HedgeDelay(now time.Time, objective time.Duration) time.Duration {
	maxDelay := max(time.Duration(hedgeObjectiveShare*float64(objective)), MinHedgeDelay)
	if l == nil {
		return maxDelay
	}
	if d, known := l.P95Delay(now); known {
		return min(d, maxDelay)
	}
	return maxDelay
}

type sample struct {
	at      time.Time
	latency time.Duration
}

// LatencyTracker keeps recent latencies of the idempotent lookups of one service.
// Only first attempts are observed; one that a hedge overtook is observed with
// the time it had taken by then.
type LatencyTracker struct {
	ring           []sample
	next           int
	sinceRecompute int
	p95            time.Duration
	known          bool
	recomputedAt   time.Time
}

// Observe adds the latency of a first attempt.
func (l *LatencyTracker) Observe(now time.Time, latency time.Duration) {
	s := sample{now, latency}
	if len(l.ring) < maxSamples {
		l.ring = append(l.ring, s)
	} else {
		l.ring[l.next] = s
		l.next = (l.next + 1) % maxSamples
	}
	l.sinceRecompute++
}

// P95Delay returns how long to wait for a lookup before a hedge is sent. It
// returns false while too few recent samples are known.
func (l *LatencyTracker) P95Delay(now time.Time) (time.Duration, bool) {
	if !l.known || l.sinceRecompute >= recomputeInterval || now.Sub(l.recomputedAt) >= time.Second {
		l.recompute(now)
	}
	return max(l.p95, MinHedgeDelay), l.known
}

func (l *LatencyTracker) recompute(now time.Time) {
	recent := make([]time.Duration, 0, len(l.ring))
	for _, s := range l.ring {
		if now.Sub(s.at) <= maxSampleAge {
			recent = append(recent, s.latency)
		}
	}
	l.sinceRecompute, l.recomputedAt = 0, now
	l.known = len(recent) >= minSamples
	if !l.known {
		return
	}
	slices.Sort(recent)
	l.p95 = recent[int(hedgeQuantile*float64(len(recent)-1))]
}
