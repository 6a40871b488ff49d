package gateway

import (
	"sync/atomic"
	"time"

	"heatherway.dev/core/queue"
)

// queueTicket is one stream, or one attempt of it, as the owner of the queues knows it. Its methods
// are called by the goroutine of the stream; a nil ticket belongs to a stream without a queue.
type queueTicket struct {
	client  *queueClient
	id      uint64
	service string
	// signals carries what the owner has decided.
	signals chan queueSignal
	// acknowledged is set once the owner has the submission.
	acknowledged atomic.Bool

	// The goroutine of the client owns what follows.
	phase       ticketPhase
	request     *queue.Request
	submittedAt time.Time
	upstream    string
	copyHolder  string
	growingCopy bool
	begun       bool
}

type ticketPhase uint8

const (
	ticketWaiting ticketPhase = iota
	ticketPlaced
)

// queueSignal is what the client tells a stream.
type queueSignal struct {
	decision  queue.Decision
	at        time.Time
	ownerLost bool
}

func (c *queueClient) newTicket(service string) *queueTicket {
	return &queueTicket{client: c, id: c.lastID.Add(1), service: service, signals: make(chan queueSignal, ticketSignals)}
}

// submit lets a stream wait for the decision of the owner. The request must not be changed
// afterwards.
func (c *queueClient) submit(service string, request *queue.Request) *queueTicket {
	t := c.newTicket(service)
	at := time.Now()
	c.post(func() {
		t.phase, t.request, t.submittedAt = ticketWaiting, request, at
		c.tickets[t.id] = t
		c.add(service, queue.Event{Kind: queue.Submitted, ID: t.id, Request: request})
	})
	return t
}

// reportPlaced reports a stream that this gateway has placed by itself.
func (c *queueClient) reportPlaced(service string, request *queue.Request, upstream, copyHolder string) *queueTicket {
	t := c.newTicket(service)
	at := time.Now()
	c.post(func() {
		t.phase, t.request, t.submittedAt, t.upstream, t.copyHolder = ticketPlaced, request, at, upstream, copyHolder
		t.growingCopy = copyHolder != ""
		c.tickets[t.id] = t
		c.add(service, t.state(at, t.id))
	})
	return t
}

// state returns the event that describes the ticket to an owner that does not know it.
func (t *queueTicket) state(now time.Time, id uint64) queue.Event {
	if t.phase == ticketPlaced {
		return queue.Event{Kind: queue.Placed, ID: id, Request: t.request, Upstream: t.upstream, CopyHolder: t.copyHolder, GrowingCopy: t.growingCopy, HasBegun: t.begun}
	}
	r := *t.request
	since := now.Sub(t.submittedAt)
	r.Waited += since
	if r.Deadline > 0 {
		r.Deadline = max(r.Deadline-since, time.Millisecond)
	}
	return queue.Event{Kind: queue.Submitted, ID: id, Request: &r}
}

// signal passes a signal on. A stream that does not read its signals misses those that it could
// do without.
func (t *queueTicket) signal(s queueSignal) {
	select {
	case t.signals <- s:
	default:
		t.client.log.Warn("decision of the owner of the queues dropped", "request", t.request.RequestID, "action", int(s.decision.Action))
	}
}

// received returns the channel of the signals, which is nil without a queue.
func (t *queueTicket) received() <-chan queueSignal {
	if t == nil {
		return nil
	}
	return t.signals
}

// withdraw ends the wait of a stream.
func (t *queueTicket) withdraw() {
	c := t.client
	c.post(func() {
		if c.tickets[t.id] == nil {
			return
		}
		delete(c.tickets, t.id)
		kind := queue.Event{Kind: queue.Withdrawn, ID: t.id}
		if t.phase == ticketPlaced { // the decision and the withdrawal have crossed
			kind = queue.Event{Kind: queue.Ended, ID: t.id, Outcome: queue.Cancelled}
		}
		c.add(t.service, kind)
	})
}

// reject returns a placement that this gateway cannot carry out. The stream waits again.
func (t *queueTicket) reject(request *queue.Request) {
	c, at := t.client, time.Now()
	c.post(func() {
		t.phase, t.request, t.submittedAt, t.upstream, t.copyHolder = ticketWaiting, request, at, "", ""
		c.add(t.service, queue.Event{Kind: queue.Rejected, ID: t.id, Request: request})
	})
}

// recordBegun reports the first event, which arrived some time after the request was sent.
func (t *queueTicket) recordBegun(took time.Duration) {
	if t == nil {
		return
	}
	c := t.client
	c.post(func() {
		t.begun = true
		c.add(t.service, queue.Event{Kind: queue.Begun, ID: t.id, Took: took})
	})
}

// recordCopy reports where the copy of the KV cache is, empty if there is none.
func (t *queueTicket) recordCopy(holder string) {
	if t == nil {
		return
	}
	c := t.client
	c.post(func() {
		t.copyHolder, t.growingCopy = holder, false
		c.add(t.service, queue.Event{Kind: queue.CopyChanged, ID: t.id, CopyHolder: holder})
	})
}

// recordEnded reports the end of the attempt.
func (t *queueTicket) recordEnded(outcome queue.Outcome, took time.Duration, events int) {
	if t == nil {
		return
	}
	c := t.client
	c.post(func() {
		delete(c.tickets, t.id)
		c.add(t.service, queue.Event{Kind: queue.Ended, ID: t.id, Outcome: outcome, Took: took, Events: events})
	})
}
