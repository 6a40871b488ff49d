// Package slo measures service level objectives: latency histograms, error budgets and
// burn rates by class and organisation. Each entry records finished requests and exports a
// Snapshot; the snapshots of several entries merge into one.
package slo

import (
	"math"
	"sort"
	"time"
)

const (
	// bucketsPerDoubling sets the resolution of a histogram: each bound is 19% above the
	// previous one.
	bucketsPerDoubling = 4
	// doublings is chosen so that the bounds range from 1 ms to about 70 min.
	doublings = 22
	// BucketCount is the number of buckets of every histogram. The last bucket counts
	// latencies above all bounds.
	BucketCount = bucketsPerDoubling*doublings + 2
	// firstBound is the upper bound of the first bucket.
	firstBound = time.Millisecond
)

var bounds = func() (b [BucketCount - 1]time.Duration) {
	for i := range b {
		b[i] = time.Duration(float64(firstBound) * math.Exp2(float64(i)/bucketsPerDoubling))
	}
	return b
}()

// BucketBound returns the upper bound of bucket i. The last bucket has none, so the
// highest bound is returned for it.
func BucketBound(i int) time.Duration { return bounds[min(i, len(bounds)-1)] }

// Histogram counts latencies in fixed buckets.
type Histogram [BucketCount]uint64

// Observe counts a latency.
func (h *Histogram) Observe(d time.Duration) {
	h[sort.Search(len(bounds), func(i int) bool { return d <= bounds[i] })]++
}

// Add adds the counts of another histogram.
func (h *Histogram) Add(o *Histogram) {
	for i, n := range o {
		h[i] += n
	}
}

// Count returns the number of latencies.
func (h *Histogram) Count() uint64 {
	var n uint64
	for _, c := range h {
		n += c
	}
	return n
}

// Quantile returns the upper bound of the bucket that contains the quantile, or 0 for an
// empty histogram.
func (h *Histogram) Quantile(q float64) time.Duration {
	rank := uint64(math.Ceil(q * float64(h.Count())))
	var n uint64
	for i, c := range h {
		n += c
		if c > 0 && n >= rank {
			return BucketBound(i)
		}
	}
	return 0
}
