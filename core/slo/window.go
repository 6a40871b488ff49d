package slo

import "time"

// WindowCount is the number of windows.
const WindowCount = 4

// Indexes of the windows.
const (
	FiveMinutes = iota
	Hour
	SixHours
	ThreeDays
)

var windows = [WindowCount]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

var windowNames = [WindowCount]string{"5 min", "1 h", "6 h", "3 d"}

// Window returns the length of window i.
func Window(i int) time.Duration { return windows[i] }

// WindowName returns the name of window i.
func WindowName(i int) string { return windowNames[i] }

const (
	// stepsPerWindow is the number of steps into which a window is divided. A window
	// covers at most one step more than its length.
	stepsPerWindow = 12
	// slotCount covers the window, the step in which it starts, and the extra slot written
	// after a pause.
	slotCount = stepsPerWindow + 2
)

// ring holds the times of the slots of one window, which all series share. A series stores
// in a slot its counts at the slot's time, so that the counts of the window are the current
// ones minus those of the slot at its start. Slot times are multiples of the step after the
// start.
type ring struct {
	step  time.Duration
	times [slotCount]time.Time
	head  int // index of the newest slot
}

func newRing(window time.Duration, start time.Time) ring {
	r := ring{step: window / stepsPerWindow}
	r.times[0] = start
	return r
}

// dueTimes returns the times of the slots that must be filled before anything is recorded at
// now. If several steps have passed, it returns only the first and the latest: the counts
// did not change between them.
func (r *ring) dueTimes(now time.Time) []time.Time {
	steps := now.Sub(r.times[r.head]) / r.step
	if steps <= 0 {
		return nil
	}
	next := r.times[r.head].Add(r.step)
	if steps == 1 {
		return []time.Time{next}
	}
	return []time.Time{next, r.times[r.head].Add(steps * r.step)}
}

func (r *ring) push(at time.Time) {
	r.head = (r.head + 1) % slotCount
	r.times[r.head] = at
}

// baseSlot returns the newest slot that was filled at or before the limit, and false if
// there is none because counting started later.
func (r *ring) baseSlot(limit time.Time) (int, bool) {
	for i := range slotCount {
		slot := (r.head - i + slotCount) % slotCount
		if at := r.times[slot]; !at.IsZero() && !at.After(limit) {
			return slot, true
		}
	}
	return 0, false
}
