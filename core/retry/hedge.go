package retry

import (
	"slices"
	"time"
)

const (
	// latencySamples is the number of latencies kept.
	latencySamples = 256
	// minSamples is the least number from which a p95 is taken; with fewer than
	// 20 the p95 is the maximum.
	minSamples = 20
	// sampleAge is the age from which a sample no longer counts.
	sampleAge = time.Minute
	// recomputeEvery bounds the sorting to one in so many samples.
	recomputeEvery = 16
	// hedgeQuantile is the share of lookups that end before a hedge is sent, so
	// hedges stay near 5% of lookups.
	hedgeQuantile = 0.95
	// MinHedgeDelay keeps hedges from being sent within normal network jitter.
	MinHedgeDelay = time.Millisecond
)

// hedgeShare is the part of an objective after which a hedge is sent at the latest: the
// second upstream has the larger part of the time.
const hedgeShare = 0.45

// HedgeDelay returns how long to wait for a lookup before a hedge is sent: until it is
// slower than most, or until a hedge has just the time to meet the objective. Nothing
// else is assumed of the service's usual work.
func (l *LatencyTracker) HedgeDelay(now time.Time, objective time.Duration) time.Duration {
	latest := max(time.Duration(hedgeShare*float64(objective)), MinHedgeDelay)
	if l == nil {
		return latest
	}
	if d, known := l.P95Delay(now); known {
		return min(d, latest)
	}
	return latest
}

type sample struct {
	at      time.Time
	latency time.Duration
}

// LatencyTracker keeps recent latencies of the idempotent lookups of one service.
// Only first attempts are observed; one that a hedge overtook is observed with
// the time it had taken by then.
type LatencyTracker struct {
	ring   []sample
	next   int
	fresh  int
	p95    time.Duration
	known  bool
	sorted time.Time
}

// Observe adds the latency of a first attempt.
func (l *LatencyTracker) Observe(now time.Time, latency time.Duration) {
	s := sample{now, latency}
	if len(l.ring) < latencySamples {
		l.ring = append(l.ring, s)
	} else {
		l.ring[l.next] = s
		l.next = (l.next + 1) % latencySamples
	}
	l.fresh++
}

// P95Delay returns how long to wait for a lookup before a hedge is sent. It
// returns false while too few recent samples are known.
func (l *LatencyTracker) P95Delay(now time.Time) (time.Duration, bool) {
	if !l.known || l.fresh >= recomputeEvery || now.Sub(l.sorted) >= time.Second {
		l.recompute(now)
	}
	return max(l.p95, MinHedgeDelay), l.known
}

func (l *LatencyTracker) recompute(now time.Time) {
	recent := make([]time.Duration, 0, len(l.ring))
	for _, s := range l.ring {
		if now.Sub(s.at) <= sampleAge {
			recent = append(recent, s.latency)
		}
	}
	l.fresh, l.sorted = 0, now
	l.known = len(recent) >= minSamples
	if !l.known {
		return
	}
	slices.Sort(recent)
	l.p95 = recent[int(hedgeQuantile*float64(len(recent)-1))]
}
