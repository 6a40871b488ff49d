// Package admission decides which waiting requests of one upstream run and which are
// refused. The caller passes the time in; nothing here blocks.
//
// Classes are served in strict priority, once each class has its guaranteed minimum share
// of slot time. Within a class, organisations share by start-time fair queueing.
package admission

import (
	"math/rand"
	"time"

	"heatherway.dev/core/throttle"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// Settings configures a queue.
type Settings struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Floors is the guaranteed minimum share of slot time for each class that has waiting
	// requests.
	Floors [wire.ClassCount]float64
	// QueueLimit is the maximum number of waiting requests of one class.
	QueueLimit int
}

// Request is a request for the upstream.
type Request struct {
	// ID is unique among the waiting and running requests.
	ID           uint64
	Class        wire.Class
	Organisation string
	// Weight is the organisation's weight in fair queueing; zero counts as one.
	Weight float64
	// Cost is the expected number of tokens.
	Cost float64
	// StartBy is the latest time at which the request may start; zero means no limit.
	StartBy time.Time
	// Preemptible requests can be stopped and restarted without loss.
	Preemptible bool
}

// Action is what the caller must do with a request.
type Action uint8

const (
	// Run starts the request in a slot.
	Run Action = iota + 1
	// Refuse rejects the request with the decision's code.
	Refuse
	// Preempt stops the running request. The caller then calls Preempted, or Finish if the
	// request has ended in the meantime.
	Preempt
)

// Decision is an action for one request.
type Decision struct {
	ID         uint64
	Action     Action
	Code       result.Code
	RetryAfter time.Duration
}

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of refused requests.
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
	limit       throttle.Local // that the upstream has named
	nextCleanup time.Time
	decisions   []Decision
}

// New returns an empty queue. The random source is only used for the jitter of
// Retry-After.
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

// applySettings scales the floors down if their sum exceeds 1.
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

// advance accounts for the slot time used since the previous call and discards the
// previous decisions, which are valid only until then.
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

// minWeight and maxWeight bound a weight; the configuration has the same bounds.
const minWeight, maxWeight = 0.001, 1000

// limitWeight returns a weight that keeps all tags of fair queueing finite. Weights come from
// other processes; one that is not a number would make the virtual time of its class so.
func limitWeight(w float64) float64 {
	if !(w > 0) {
		return 1
	}
	return min(max(w, minWeight), maxWeight)
}

// Submit adds a request and returns the decisions that follow from it. A full queue is
// checked before the deadline, since the newest request of another organisation may be
// refused instead.
func (q *Queue) Submit(now time.Time, r Request) []Decision {
	q.advance(now)
	if q.draining {
		q.decisions = append(q.decisions, Decision{ID: r.ID, Action: Refuse, Code: result.Leaving})
		return q.decisions
	}
	r.Weight = limitWeight(r.Weight)
	q.seq++
	it := &item{Request: r, seq: q.seq}
	if wait := q.limit.Wait(now, int(r.Class), q.waiting()); wait > 0 {
		// Others may have room: a limited upstream makes no request wait.
		q.decisions = append(q.decisions, Decision{ID: r.ID, Action: Refuse, Code: result.QueueFull, RetryAfter: q.jitter(wait)})
		return q.decisions
	}
	q.items[r.ID] = it
	c := &q.classes[r.Class]
	c.push(it)
	q.fillSlots(now)
	if it.isWaiting() && c.queuedCount > q.settings.QueueLimit {
		q.refuse(now, c.newestOfLargest(it), result.QueueFull)
	}
	if it.isWaiting() && q.deadlineUnreachable(now, it, it.flow.length()) {
		q.refuse(now, it, result.DeadlineUnreachable)
	}
	q.preempt()
	return q.decisions
}

// Finish frees the slot of a running request that used the given number of tokens.
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

// Preempted returns a request to the queue after a Preempt decision. It goes to the front
// of its organisation's queue and is no longer refused for its deadline, since its caller
// already has part of the answer.
func (q *Queue) Preempted(now time.Time, id uint64, tokens float64) []Decision {
	q.advance(now)
	it := q.items[id]
	if it == nil || it.isWaiting() {
		return nil
	}
	q.releaseSlot(it, tokens)
	it.wasPreempted, it.StartBy = true, time.Time{}
	if q.draining {
		q.decisions = append(q.decisions, Decision{ID: id, Action: Refuse, Code: result.Leaving})
		delete(q.items, id)
		return q.decisions
	}
	q.classes[it.Class].pushFront(it)
	return q.schedule(now)
}

// releaseSlot takes an item out of its slot and adjusts its organisation's charge to the
// tokens that were used.
func (q *Queue) releaseSlot(it *item, tokens float64) {
	c := &q.classes[it.Class]
	if it.state == statePreempting {
		q.preempting--
	}
	q.running--
	c.leaveSlot(it)
	c.charge(it.flow, tokens-it.Cost)
}

// Cancel removes a waiting request. It returns false if the request was not waiting; the
// caller ends a running one with Finish.
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

// Tick refuses requests that can no longer start in time. The caller must call it several
// times per second.
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

// cleanupInterval is the interval at which idle organisations are removed.
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
	var unreachable []*item
	for _, f := range c.byStart.list {
		position := 0
		for _, it := range f.waiting() {
			if q.deadlineUnreachable(now, it, position+1) {
				unreachable = append(unreachable, it)
				continue
			}
			position++
		}
	}
	for _, it := range unreachable {
		q.refuse(now, it, result.DeadlineUnreachable)
	}
}

// deadlineUnreachable reports whether an item at a position of its organisation's queue is
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

// retryAfter returns the time to drain the class's queue, times a random factor of one to
// two, so that refused callers do not retry at the same time.
func (q *Queue) retryAfter(now time.Time, c wire.Class) time.Duration {
	wait := q.timeToSlotWithoutPreemption(now, c, float64(q.classes[c].queuedCount))
	return q.jitter(wait)
}

// jitter multiplies a Retry-After by a random factor of one to two.
func (q *Queue) jitter(wait time.Duration) time.Duration {
	d := time.Duration(float64(wait) * (1 + q.rng.Float64()))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// waiting returns the number of waiting requests.
func (q *Queue) waiting() (n int) {
	for c := range q.classes {
		n += q.classes[c].queuedCount
	}
	return n
}

// ObserveLimit takes in the limit that an answer of the upstream names, nil for none. The request
// of the answer was sent at a time. Requests that have to wait for a new limit are refused, so
// that entries send them elsewhere. It reports whether the limit has changed.
func (q *Queue) ObserveLimit(sentAt, now time.Time, named *float64) ([]Decision, bool) {
	q.advance(now)
	changed := q.limit.Observe(sentAt, now, named)
	if !changed {
		return nil, false
	}
	for c := range q.classes {
		for _, f := range append([]*flow(nil), q.classes[c].byStart.list...) {
			for _, it := range append([]*item(nil), f.waiting()...) {
				if wait := q.limit.Wait(now, c, q.waiting()-1); wait > 0 && !it.wasPreempted {
					q.remove(it)
					q.decisions = append(q.decisions, Decision{ID: it.ID, Action: Refuse, Code: result.QueueFull, RetryAfter: q.jitter(wait)})
				}
			}
		}
	}
	return q.schedule(now), true
}

// Limit returns the limit that the upstream has named last in requests per second, and whether it
// still names one.
func (q *Queue) Limit() (rate float64, named bool) { return q.limit.Rate() }

// ForgetLimit forgets the limit: another incarnation of the upstream has not named it.
func (q *Queue) ForgetLimit() { q.limit = throttle.Local{} }

// TakeCall reports whether the agent may make a call of its own, such as a health check, and
// counts it. Calls yield to all requests.
func (q *Queue) TakeCall(now time.Time) bool {
	if q.limit.Wait(now, int(wire.Batch), q.waiting()) > 0 {
		return false
	}
	q.limit.Take(now)
	return true
}

// Drain refuses all waiting and all later requests.
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

// Undrain accepts requests again after Drain.
func (q *Queue) Undrain() { q.draining = false }

// Load returns the load of the queue.
func (q *Queue) Load(now time.Time) wire.Load {
	l := wire.Load{Slots: uint32(q.settings.Slots), Running: uint32(q.running), Leaving: q.draining}
	for c := range q.classes {
		l.Queued[c] = uint32(q.classes[c].queuedCount)
		if q.running >= q.settings.Slots {
			l.WaitMS[c] = uint32(q.newFlowWait(now, wire.Class(c)).Milliseconds())
		}
		if wait := q.limit.Wait(now, c, q.waiting()); wait > 0 {
			l.Running, l.WaitMS[c] = l.Slots, max(l.WaitMS[c], uint32(wait.Milliseconds()))
		}
	}
	return l
}
