package admission

import "time"

const (
	// window is the period over which floors are measured.
	window = 10 * time.Second
	// bucketLength is the resolution of the window.
	bucketLength = 250 * time.Millisecond
	bucketCount  = int(window / bucketLength)
)

// usage measures the slot-seconds that a class used over the window.
type usage struct {
	running       int
	total         float64
	buckets       [bucketCount]float64
	currentBucket int
	bucketEnd     time.Time // of the current bucket
	advancedTo    time.Time
}

func newUsage(now time.Time) usage { return usage{bucketEnd: now.Add(bucketLength), advancedTo: now} }

// advance adds the slot-seconds since the last call. The caller calls it before it changes
// running.
func (u *usage) advance(now time.Time) {
	if now.Sub(u.advancedTo) > window {
		u.fillWindow(now)
		return
	}
	for !now.Before(u.bucketEnd) {
		u.add(u.bucketEnd)
		u.currentBucket = (u.currentBucket + 1) % bucketCount
		u.buckets[u.currentBucket] = 0
		u.bucketEnd = u.bucketEnd.Add(bucketLength)
		u.total = 0 // recomputed to avoid accumulating rounding errors
		for _, v := range u.buckets {
			u.total += v
		}
	}
	if now.After(u.advancedTo) {
		u.add(now)
	}
}

func (u *usage) add(to time.Time) {
	v := float64(u.running) * to.Sub(u.advancedTo).Seconds()
	u.buckets[u.currentBucket] += v
	u.total += v
	u.advancedTo = to
}

// fillWindow sets the whole window after a gap longer than it, during which the number of
// running requests has not changed.
func (u *usage) fillWindow(now time.Time) {
	for i := range u.buckets {
		u.buckets[i] = float64(u.running) * bucketLength.Seconds()
	}
	u.total = float64(u.running) * window.Seconds()
	u.advancedTo, u.bucketEnd = now, now.Add(bucketLength)
}
