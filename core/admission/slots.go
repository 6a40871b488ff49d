package admission

import (
	"math"
	"time"

	"heatherway.dev/core/wire"
)

// fillSlots starts waiting requests in the free slots.
func (q *Queue) fillSlots(now time.Time) {
	for q.running < q.settings.Slots && q.limit.Wait(now, int(wire.Urgent), 0) == 0 {
		c, ok := q.nextClass()
		if !ok {
			return
		}
		it := q.classes[c].pop()
		q.limit.Take(now)
		it.started = now
		q.running++
		q.classes[c].enterSlot(it)
		q.decisions = append(q.decisions, Decision{ID: it.ID, Action: Run})
	}
}

// nextClass returns the class that gets the next free slot: the one furthest below its
// floor, otherwise the most urgent one.
func (q *Queue) nextClass() (wire.Class, bool) {
	best, found := wire.Class(0), false
	lowest := 1.0
	for _, c := range wire.Classes() {
		if q.classes[c].queuedCount == 0 || !q.belowFloor(c) {
			continue
		}
		if share := q.classes[c].usage.total / q.floorSlotSeconds(c); share < lowest {
			best, found, lowest = c, true, share
		}
	}
	if found {
		return best, true
	}
	for _, c := range wire.Classes() {
		if q.classes[c].queuedCount > 0 {
			return c, true
		}
	}
	return 0, false
}

// floorSlots returns the floor of a class in slots.
func (q *Queue) floorSlots(c wire.Class) float64 {
	return q.settings.Floors[c] * float64(q.settings.Slots)
}

// floorSlotSeconds returns the floor of a class in slot-seconds over the window.
func (q *Queue) floorSlotSeconds(c wire.Class) float64 { return q.floorSlots(c) * window.Seconds() }

// belowFloor reports whether a class used less than its floor over the window and also
// uses less than its floor now. A class that uses enough now catches up by itself.
func (q *Queue) belowFloor(c wire.Class) bool {
	return q.classes[c].usage.total < q.floorSlotSeconds(c) && float64(q.classes[c].usage.running) < q.floorSlots(c)
}

// preempt stops batch requests when no slot is free and urgent requests wait, or standard
// ones wait and are below their floor.
func (q *Queue) preempt() {
	if q.running < q.settings.Slots {
		return
	}
	need := q.classes[wire.Urgent].queuedCount
	if q.classes[wire.Standard].queuedCount > 0 && q.belowFloor(wire.Standard) {
		need++
	}
	for q.preempting < need && q.canPreemptBatch() {
		it := q.nextToPreempt()
		if it == nil {
			return
		}
		it.state = statePreempting
		q.preempting++
		q.decisions = append(q.decisions, Decision{ID: it.ID, Action: Preempt})
	}
}

// preemptibleSlots returns the number of slots that batch can give up without falling
// below its floor, including those being preempted.
func (q *Queue) preemptibleSlots() int {
	batch := &q.classes[wire.Batch]
	if batch.usage.total > q.floorSlotSeconds(wire.Batch) {
		return batch.preemptible
	}
	floorSlots := int(math.Ceil(q.floorSlots(wire.Batch)))
	return max(0, min(batch.preemptible, batch.usage.running-floorSlots))
}

// canPreemptBatch reports whether batch can give up one more slot: either the remaining
// slots suffice for its floor, or it has already used its floor over the window.
func (q *Queue) canPreemptBatch() bool {
	left := q.classes[wire.Batch].usage.running - q.preempting - 1
	if left < 0 {
		return false
	}
	return float64(left) >= q.floorSlots(wire.Batch) || q.classes[wire.Batch].usage.total > q.floorSlotSeconds(wire.Batch)
}

// nextToPreempt returns the batch request that started last: it has the least text to
// prefill again.
func (q *Queue) nextToPreempt() *item {
	var latest *item
	for _, it := range q.classes[wire.Batch].slots {
		if it.state == stateRunning && it.Preemptible && (latest == nil || it.started.After(latest.started)) {
			latest = it
		}
	}
	return latest
}

// expectedWait estimates how long an item at a position of its organisation's queue waits
// for a slot. In fair queueing, the other organisations are served in proportion to their
// weights before it, but at most the whole queue is.
func (q *Queue) expectedWait(now time.Time, c wire.Class, position int, weight float64) time.Duration {
	cl := &q.classes[c]
	return q.timeToSlot(now, c, min(float64(position)*cl.queuedWeight/weight, float64(cl.queuedCount)))
}

// newFlowWait estimates the wait of an organisation without queued items.
func (q *Queue) newFlowWait(now time.Time, c wire.Class) time.Duration {
	cl := &q.classes[c]
	return q.timeToSlot(now, c, min(cl.queuedWeight, float64(cl.queuedCount))+1)
}

// timeToSlot estimates the time until the n-th request of a class gets a slot. Urgent
// requests get the preemptible slots of batch without waiting.
func (q *Queue) timeToSlot(now time.Time, c wire.Class, n float64) time.Duration {
	if c == wire.Urgent {
		n = max(0, n-float64(q.preemptibleSlots()))
	}
	return q.timeToSlotWithoutPreemption(now, c, n)
}

// timeToSlotWithoutPreemption estimates the time until the first n requests of a class have
// got a slot, without preemption: either after the waiting requests of more urgent classes,
// in the slots that these leave, or in the slots of the class's own floor, whichever is
// sooner.
func (q *Queue) timeToSlotWithoutPreemption(now time.Time, c wire.Class, n float64) time.Duration {
	slots := float64(q.settings.Slots)
	work := n * q.meanSlotTime(now, c)
	workAhead, availableSlots := 0.0, slots
	for _, other := range wire.Classes() {
		k := &q.classes[other]
		switch {
		case other < c && k.queuedCount > 0:
			workAhead += float64(k.queuedCount) * q.meanSlotTime(now, other)
			availableSlots -= k.usage.total / window.Seconds()
		case other > c && k.queuedCount > 0:
			availableSlots -= q.floorSlots(other)
		}
	}
	availableSlots = max(availableSlots, q.floorSlots(c))
	seconds := workAhead/slots + work/max(availableSlots, minClassSlots)
	if floor := q.floorSlots(c); floor > 0 {
		seconds = min(seconds, work/floor)
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// minClassSlots is the smallest number of slots that is assumed to serve a class, so that
// the estimate stays finite without a floor.
const minClassSlots = 0.01
