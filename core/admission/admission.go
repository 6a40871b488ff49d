// Package admission decides which waiting requests of one upstream run, and
// which are refused. Time is passed in; nothing here blocks.
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
	// Preempt stops the running request; the caller then calls Preempted.
	Preempt
)

// Decision is one outcome for one request.
type Decision struct {
	ID         uint64
	Action     Action
	Code       result.Code
	RetryAfter time.Duration
}

// Queue holds the waiting and running requests of one upstream.
type Queue struct {
	settings Settings
	rng      *rand.Rand
	waiting  [wire.ClassCount][]Request
	running  map[uint64]Request
	leaving  bool
}

// New returns an empty queue. The random source only jitters Retry-After.
func New(s Settings, rng *rand.Rand) *Queue {
	return &Queue{settings: s, rng: rng, running: map[uint64]Request{}}
}

// Configure replaces the settings.
func (q *Queue) Configure(now time.Time, s Settings) []Decision {
	q.settings = s
	return q.fill(now)
}

// Submit adds a request.
func (q *Queue) Submit(now time.Time, r Request) []Decision {
	if q.leaving {
		return []Decision{{ID: r.ID, Action: Refuse, Code: result.Leaving}}
	}
	if len(q.waiting[r.Class]) >= q.settings.QueueLimit {
		return []Decision{{ID: r.ID, Action: Refuse, Code: result.QueueFull, RetryAfter: time.Second}}
	}
	q.waiting[r.Class] = append(q.waiting[r.Class], r)
	return q.fill(now)
}

// Finish frees the slot of a running request that used the given tokens.
func (q *Queue) Finish(now time.Time, id uint64, tokens float64) []Decision {
	delete(q.running, id)
	return q.fill(now)
}

// Preempted puts a request whose preemption was asked for back in the queue.
func (q *Queue) Preempted(now time.Time, id uint64, tokens float64) []Decision {
	r := q.running[id]
	delete(q.running, id)
	q.waiting[r.Class] = append([]Request{r}, q.waiting[r.Class]...)
	return q.fill(now)
}

// Cancel removes a waiting request. A running one is left to Finish.
func (q *Queue) Cancel(now time.Time, id uint64) bool {
	for c := range q.waiting {
		for i, r := range q.waiting[c] {
			if r.ID == id {
				q.waiting[c] = append(q.waiting[c][:i:i], q.waiting[c][i+1:]...)
				return true
			}
		}
	}
	return false
}

// Tick drops requests whose time has run out.
func (q *Queue) Tick(now time.Time) []Decision {
	var out []Decision
	for c := range q.waiting {
		kept := q.waiting[c][:0:0]
		for _, r := range q.waiting[c] {
			if !r.StartBy.IsZero() && !now.Before(r.StartBy) {
				out = append(out, Decision{ID: r.ID, Action: Refuse, Code: result.DeadlineUnreachable, RetryAfter: time.Second})
				continue
			}
			kept = append(kept, r)
		}
		q.waiting[c] = kept
	}
	return append(out, q.fill(now)...)
}

// Leave refuses everything that waits and all later requests.
func (q *Queue) Leave(now time.Time) []Decision {
	q.leaving = true
	var out []Decision
	for c := range q.waiting {
		for _, r := range q.waiting[c] {
			out = append(out, Decision{ID: r.ID, Action: Refuse, Code: result.Leaving})
		}
		q.waiting[c] = nil
	}
	return out
}

// Return takes work again after Leave.
func (q *Queue) Return() { q.leaving = false }

// Load reports the state of the queue.
func (q *Queue) Load(now time.Time) wire.Load {
	l := wire.Load{Slots: uint32(q.settings.Slots), Running: uint32(len(q.running)), Leaving: q.leaving}
	for c := range q.waiting {
		l.Queued[c] = uint32(len(q.waiting[c]))
	}
	return l
}

func (q *Queue) fill(time.Time) []Decision {
	var out []Decision
	for c := range q.waiting {
		for len(q.waiting[c]) > 0 && len(q.running) < q.settings.Slots {
			r := q.waiting[c][0]
			q.waiting[c] = q.waiting[c][1:]
			q.running[r.ID] = r
			out = append(out, Decision{ID: r.ID, Action: Run})
		}
	}
	return out
}
