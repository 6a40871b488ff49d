// Package admission decides which waiting requests of one upstream run, and
// which are refused. Time is passed in; nothing here blocks.
//
// Classes are served in strict priority above guaranteed minimum shares of slot
// time. Within a class, organisations share by start-time fair queueing.
package admission

import (
	"math/rand"
	"time"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// Settings configures a queue.
type Settings struct {
	// Slots is how many requests run at once.
	Slots int
	// Floors is the least share of slot time of each class that has work
	// waiting.
	Floors [wire.ClassCount]float64
	// QueueLimit is the most requests of one class that wait.
	QueueLimit int
}

// Request is one piece of work for the upstream.
type Request struct {
	// ID is unique among the requests that wait or run.
	ID           uint64
	Class        wire.Class
	Organisation string
	// Weight is the organisation's share in fair queueing; zero counts as one.
	Weight float64
	// Cost is the expected number of tokens.
	Cost float64
	// StartBy is when the request must run at the latest; zero sets no limit.
	StartBy time.Time
	// Preemptible work can be stopped and started again without loss.
	Preemptible bool
}

// Action is what a decision asks the caller to do.
type Action uint8

// The actions.
const (
	// Run starts the request in a slot.
	Run Action = iota + 1
	// Refuse ends the request with the decision's code.
	Refuse
	// Preempt stops the running request; the caller then calls Preempted, or
	// Finish if the request has ended by itself.
	Preempt
)

// Decision is one outcome for one request.
type Decision struct {
	ID         uint64
	Action     Action
	Code       result.Code
	RetryAfter time.Duration
}

const (
	// minRetryAfter and maxRetryAfter bound the advice to callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Minute
)

// Queue holds the waiting and running requests of one upstream.
type Queue struct {
	settings    Settings
	rng         *rand.Rand
	classes     [wire.ClassCount]class
	items       map[uint64]*item
	running     int
	preempting  int
	seq         uint64
	draining    bool
	nextCleanup time.Time
	decisions   []Decision
}

// New returns an empty queue. The random source only jitters Retry-After.
func New(now time.Time, s Settings, rng *rand.Rand) *Queue {
	q := &Queue{rng: rng, items: map[uint64]*item{}}
	for c := range q.classes {
		q.classes[c] = class{flows: map[string]*flow{}, usage: newUsage(now)}
	}
	q.applySettings(s)
	return q
}

// Configure replaces the settings.
func (q *Queue) Configure(now time.Time, s Settings) []Decision {
	q.advance(now)
	q.applySettings(s)
	return q.schedule(now)
}

// apply scales floors that promise more than there is.
func (q *Queue) applySettings(s Settings) {
	sum := 0.0
	for _, f := range s.Floors {
		sum += f
	}
	if sum > 1 {
		for c := range s.Floors {
			s.Floors[c] /= sum
		}
	}
	q.settings = s
}

// begin accounts for the time since the call before. The decisions of a call
// are valid until the next one.
func (q *Queue) advance(now time.Time) {
	q.decisions = q.decisions[:0]
	for c := range q.classes {
		q.classes[c].usage.advance(now)
	}
}

func (q *Queue) schedule(now time.Time) []Decision {
	q.fillSlots(now)
	q.preempt()
	return q.decisions
}

// Submit adds a request.
func (q *Queue) Submit(now time.Time, r Request) []Decision {
	q.advance(now)
	if q.draining {
		q.decisions = append(q.decisions, Decision{ID: r.ID, Action: Refuse, Code: result.Leaving})
		return q.decisions
	}
	if r.Weight <= 0 {
		r.Weight = 1
	}
	q.seq++
	it := &item{Request: r, seq: q.seq}
	q.items[r.ID] = it
	c := &q.classes[r.Class]
	c.push(it)
	q.fillSlots(now)
	if it.isWaiting() && c.count > q.settings.QueueLimit {
		q.refuse(now, c.newestOfLargest(it), result.QueueFull)
	}
	if it.isWaiting() && q.deadlineUnreachable(now, it, it.flow.length()) {
		q.refuse(now, it, result.DeadlineUnreachable)
	}
	q.preempt()
	return q.decisions
}

// Finish frees the slot of a running request that used the given tokens.
func (q *Queue) Finish(now time.Time, id uint64, tokens float64) []Decision {
	q.advance(now)
	it := q.items[id]
	if it == nil || it.isWaiting() {
		return nil
	}
	q.classes[it.Class].observeSlotTime(now.Sub(it.started))
	q.releaseSlot(it, tokens)
	delete(q.items, id)
	q.classes[it.Class].resetIfIdle()
	return q.schedule(now)
}

// Preempted puts a request whose preemption was asked for back in the queue.
// It keeps its place in its organisation's line and is not refused later for
// its deadline, since its caller already has part of the answer.
func (q *Queue) Preempted(now time.Time, id uint64, tokens float64) []Decision {
	q.advance(now)
	it := q.items[id]
	if it == nil || it.isWaiting() {
		return nil
	}
	q.releaseSlot(it, tokens)
	it.resumed, it.StartBy = true, time.Time{}
	if q.draining {
		q.decisions = append(q.decisions, Decision{ID: id, Action: Refuse, Code: result.Leaving})
		delete(q.items, id)
		return q.decisions
	}
	q.classes[it.Class].pushFront(it)
	return q.schedule(now)
}

// release takes an item out of its slot and corrects what its organisation has
// been charged.
func (q *Queue) releaseSlot(it *item, tokens float64) {
	c := &q.classes[it.Class]
	if it.state == statePreempting {
		q.preempting--
	}
	q.running--
	c.leaveSlot(it)
	c.charge(it.flow, tokens-it.Cost)
}

// Cancel removes a waiting request and tells whether it waited. A running one
// is left to Finish.
func (q *Queue) Cancel(now time.Time, id uint64) bool {
	q.advance(now)
	it := q.items[id]
	if it == nil || !it.isWaiting() {
		return false
	}
	q.remove(it)
	return true
}

func (q *Queue) remove(it *item) {
	c := &q.classes[it.Class]
	c.remove(it)
	it.state = stateEnded
	delete(q.items, it.ID)
	c.resetIfIdle()
}

// Tick refuses requests that can no longer start in time. It is to be called
// several times a second.
func (q *Queue) Tick(now time.Time) []Decision {
	q.advance(now)
	q.fillSlots(now)
	for c := range q.classes {
		q.refuseUnreachable(now, &q.classes[c])
	}
	q.removeIdleFlows(now)
	q.preempt()
	return q.decisions
}

// forgetInterval is how often idle organisations are looked for.
const cleanupInterval = time.Second

func (q *Queue) removeIdleFlows(now time.Time) {
	if now.Before(q.nextCleanup) {
		return
	}
	q.nextCleanup = now.Add(cleanupInterval)
	for c := range q.classes {
		q.classes[c].removeIdleFlows()
	}
}

func (q *Queue) refuseUnreachable(now time.Time, c *class) {
	var gone []*item
	for _, f := range c.byStart.list {
		position := 0
		for _, it := range f.waiting() {
			if q.deadlineUnreachable(now, it, position+1) {
				gone = append(gone, it)
				continue
			}
			position++
		}
	}
	for _, it := range gone {
		q.refuse(now, it, result.DeadlineUnreachable)
	}
}

// unreachable tells whether an item at a position of its organisation's line is
// expected to start too late.
func (q *Queue) deadlineUnreachable(now time.Time, it *item, position int) bool {
	if it.StartBy.IsZero() {
		return false
	}
	left := it.StartBy.Sub(now)
	return left <= 0 || q.expectedWait(now, it.Class, position, it.Weight) > left
}

func (q *Queue) refuse(now time.Time, it *item, code result.Code) {
	after := q.retryAfter(now, it.Class)
	q.remove(it)
	q.decisions = append(q.decisions, Decision{ID: it.ID, Action: Refuse, Code: code, RetryAfter: after})
}

// retryAfter is the time to drain the class's queue, spread over a factor of
// two, so that callers do not return together.
func (q *Queue) retryAfter(now time.Time, c wire.Class) time.Duration {
	drain := q.drainTime(now, c, float64(q.classes[c].count))
	d := time.Duration(float64(drain) * (1 + q.rng.Float64()))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// Drain refuses everything that waits and all later requests.
func (q *Queue) Drain(now time.Time) []Decision {
	q.advance(now)
	q.draining = true
	for c := range q.classes {
		for _, f := range append([]*flow(nil), q.classes[c].byStart.list...) {
			for _, it := range append([]*item(nil), f.waiting()...) {
				q.remove(it)
				q.decisions = append(q.decisions, Decision{ID: it.ID, Action: Refuse, Code: result.Leaving})
			}
		}
	}
	return q.decisions
}

// Undrain takes work again after Leave.
func (q *Queue) Undrain() { q.draining = false }

// Load reports the state of the queue.
func (q *Queue) Load(now time.Time) wire.Load {
	l := wire.Load{Slots: uint32(q.settings.Slots), Running: uint32(q.running), Leaving: q.draining}
	for c := range q.classes {
		l.Queued[c] = uint32(q.classes[c].count)
		if q.running >= q.settings.Slots {
			l.WaitMS[c] = uint32(q.newFlowWait(now, wire.Class(c)).Milliseconds())
		}
	}
	return l
}
