package retry

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of latencies kept.
	maxSamples = 256
	// minSamples is the number of samples needed for a p95; with fewer than 20, the p95
	// would be the maximum.
	minSamples = 20
	// maxSampleAge is the age beyond which a sample no longer counts.
	maxSampleAge = time.Minute
	// recomputeInterval is the number of new samples after which the p95 is recomputed, to
	// limit sorting.
	recomputeInterval = 16
	// hedgeQuantile is the share of lookups that finish before a hedge is sent, which
	// keeps hedges near 5% of lookups.
	hedgeQuantile = 0.95
	// MinHedgeDelay prevents hedges within normal network jitter.
	MinHedgeDelay = time.Millisecond
)

// hedgeObjectiveShare is the share of the objective after which a hedge is sent at the
// latest, so that the second upstream has the larger part of the time.
const hedgeObjectiveShare = 0.45

// HedgeDelay returns how long to wait for a lookup before a hedge is sent: the p95 of
// recent latencies, but at most hedgeObjectiveShare of the objective, so that the hedge can
// still meet it. Without enough samples, or for a nil tracker, it is that maximum, since
// the latency of the service is unknown.
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

// LatencyTracker keeps recent latencies of the idempotent lookups of one service. Only
// first attempts are recorded; an attempt that was overtaken by its hedge is recorded with
// the time it had taken by then.
type LatencyTracker struct {
	samples               []sample
	nextSample            int
	samplesSinceRecompute int
	p95                   time.Duration
	p95Known              bool
	recomputedAt          time.Time
}

// Observe records the latency of a first attempt.
func (l *LatencyTracker) Observe(now time.Time, latency time.Duration) {
	s := sample{now, latency}
	if len(l.samples) < maxSamples {
		l.samples = append(l.samples, s)
	} else {
		l.samples[l.nextSample] = s
		l.nextSample = (l.nextSample + 1) % maxSamples
	}
	l.samplesSinceRecompute++
}

// P95Delay returns the p95 of recent latencies as the delay before a hedge, at least
// MinHedgeDelay. It returns false while there are too few recent samples.
func (l *LatencyTracker) P95Delay(now time.Time) (time.Duration, bool) {
	if !l.p95Known || l.samplesSinceRecompute >= recomputeInterval || now.Sub(l.recomputedAt) >= time.Second {
		l.recompute(now)
	}
	return max(l.p95, MinHedgeDelay), l.p95Known
}

func (l *LatencyTracker) recompute(now time.Time) {
	recent := make([]time.Duration, 0, len(l.samples))
	for _, s := range l.samples {
		if now.Sub(s.at) <= maxSampleAge {
			recent = append(recent, s.latency)
		}
	}
	l.samplesSinceRecompute, l.recomputedAt = 0, now
	l.p95Known = len(recent) >= minSamples
	if !l.p95Known {
		return
	}
	slices.Sort(recent)
	l.p95 = recent[int(hedgeQuantile*float64(len(recent)-1))]
}
