package queue

import "time"

type state uint8

const (
	waiting state = iota + 1
	placed        // sent to an upstream, first event not seen
	running
	ended
)

const (
	// priorityLevels is the number of priorities of organisations, and of routes, that are told
	// apart.
	priorityLevels = 4
	// priorities is the number of classes: one for each pair of these priorities.
	priorities = priorityLevels * priorityLevels
	// preferredShare is the assumed part of a prompt that its preferred upstream still has to
	// read: what a copy lacks.
	preferredShare = 0.05
	// maxGatewayWaiting bounds the waiting requests of one gateway, about 1 kB each, so that a faulty
	// one does not fill the memory. A sound one has connections for far fewer.
	maxGatewayWaiting = 20_000
	// maxTokens bounds a stated size; larger ones are nonsense and would distort means.
	maxTokens = 1 << 24
	// maxDuration bounds stated times for the same reason.
	maxDuration = 24 * time.Hour
)

// request is a request that waits or has been placed.
type request struct {
	Request
	key Key
	seq uint64
	// prompt is the prompt in tokens, tokens the KV cache that the request takes.
	prompt, tokens int
	// toRead is the part of the prompt that the upstream has to read.
	toRead      int
	state       state
	submittedAt time.Time
	heardAt     time.Time // of the last event
	// arrivedAt is when the caller's first attempt arrived, due when its first event is due and
	// deadline until when the caller waits; zero means none.
	arrivedAt, due, deadline time.Time
	// expected is the time to the first event that was expected when the request was submitted,
	// ahead the prompt tokens that were to go before it.
	expected time.Duration
	ahead    int
	// wasRefused is set for a caller that was refused and has come back in time, returned if it
	// also goes before new ones of its class.
	wasRefused, returned bool
	// earlyBy is until when a caller was told to stay away that has come back before.
	earlyBy time.Time
	// growingCopy is set if the copy can't be dropped before the stream ends.
	growingCopy bool
	moves       int
	// moving is set from the decision to move the request, at movedAt, until its gateway has done so.
	moving  bool
	movedAt time.Time
	// counted is set if the start was counted by this owner, charged the organisation that paid.
	counted bool
	charged *flow
	// copyWorth is scratch of the choice of copies to drop.
	copyWorth float64

	level       levelIndex
	flow        *flow
	targetIndex int // in the heap of the level

	at, copyAt *upstream
	placedAt   time.Time
	// readyAt is when the first event is expected.
	readyAt, begunAt time.Time
	// placedMSPerToken is the reading time that readyAt assumes.
	placedMSPerToken float64
}

// priority returns the index of the class of the request.
// priority returns the class of the request. Organisations go before routes: an operator gives an
// organisation a priority of its own to override that of the routes.
func (r *request) priority() int {
	return priorityLevels*limitPriority(r.Priority) + limitPriority(r.RoutePriority)
}

func limitPriority(p int) int { return min(max(p, 0), priorityLevels-1) }

// target returns the time that decides how urgent the request is within its level. One without an
// aim, or with an aim after its deadline, has to begin before its deadline.
func (r *request) target() time.Time {
	if r.level == onTime && !r.due.IsZero() && (r.deadline.IsZero() || r.due.Before(r.deadline)) {
		return r.due
	}
	return r.deadline
}

func limitTokens(n int) int { return min(max(n, 0), maxTokens) }

func limitDuration(d time.Duration) time.Duration { return min(max(d, 0), maxDuration) }

// setState changes the state of a request and counts those that wait by gateway.
func (q *Queue) setState(r *request, s state) {
	gateway := r.key.Gateway
	if r.state == waiting {
		if q.waitingOf[gateway]--; q.waitingOf[gateway] == 0 {
			delete(q.waitingOf, gateway)
		}
	}
	if s == waiting {
		q.waitingOf[gateway]++
	}
	r.state = s
}

// newRequest returns a request as it was submitted.
func (q *Queue) newRequest(now time.Time, key Key, in *Request) *request {
	q.seq++
	r := &request{key: key, seq: q.seq, submittedAt: now, heardAt: now}
	r.arrivedAt = now.Add(-limitDuration(in.Waited))
	q.describe(now, r, in)
	return r
}

// describe applies a description to a request; its arrival stays.
func (q *Queue) describe(now time.Time, r *request, in *Request) {
	r.Request = *in
	r.prompt = limitTokens(in.PromptTokens)
	if r.prompt == 0 {
		r.prompt = int(q.meanPrompt)
	}
	r.tokens = r.prompt + limitTokens(in.OutputTokens)
	r.due, r.deadline = time.Time{}, time.Time{}
	if aim := limitDuration(in.Aim); aim > 0 {
		r.due = r.arrivedAt.Add(aim)
	}
	if deadline := limitDuration(in.Deadline); deadline > 0 {
		r.deadline = now.Add(deadline)
	}
}
