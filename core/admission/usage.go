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
	running int
	total   float64
	ring    [bucketCount]float64
	at      int
	end     time.Time // of the current bucket
	last    time.Time
}

func newUsage(now time.Time) usage { return usage{end: now.Add(bucketLength), last: now} }

// advance accounts for the time since the last call.
func (u *usage) advance(now time.Time) {
	if now.Sub(u.last) > window {
		u.restart(now)
		return
	}
	for !now.Before(u.end) {
		u.add(u.end)
		u.at = (u.at + 1) % bucketCount
		u.ring[u.at] = 0
		u.end = u.end.Add(bucketLength)
		u.total = 0 // recomputed to avoid accumulating rounding errors
		for _, v := range u.ring {
			u.total += v
		}
	}
	if now.After(u.last) {
		u.add(now)
	}
}

func (u *usage) add(to time.Time) {
	v := float64(u.running) * to.Sub(u.last).Seconds()
	u.ring[u.at] += v
	u.total += v
	u.last = to
}

// restart refills the window after a gap longer than the window.
func (u *usage) restart(now time.Time) {
	for i := range u.ring {
		u.ring[i] = float64(u.running) * bucketLength.Seconds()
	}
	u.total = float64(u.running) * window.Seconds()
	u.last, u.end = now, now.Add(bucketLength)
}
