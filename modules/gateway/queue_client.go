package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"heatherway.dev/core/queue"
	"heatherway.dev/heatherway/modules/registry"
	"heatherway.dev/kernel/recovery"
)

const (
	// queueTasksSize bounds the functions that wait for the goroutine of the queue client; senders
	// block when it is full, since none may be dropped.
	queueTasksSize = 1024
	// ownerLostAfter is the time without an answer after which the owner of the queues counts as
	// lost. It covers a pause of the owner and several round trips, and is a quarter of the time
	// in which another leader is elected.
	ownerLostAfter = 250 * time.Millisecond
	// ownerReturnWait is the time without an answer after which streams are placed without the
	// owner where they waited for room: all gateways would send what waits to the same upstreams
	// at once. Another leader is usually elected within it.
	ownerReturnWait = 1200 * time.Millisecond
	// shortWait is the wait from which a stream has waited for room, and shortPeriod how long
	// that counts.
	shortWait   = 100 * time.Millisecond
	shortPeriod = 2 * time.Second
	// ownerRetryDelay is the delay before the owner is called again after a failure.
	ownerRetryDelay = 30 * time.Millisecond
	// maxPendingEvents bounds the events that the owner has not acknowledged. Beyond it the
	// gateway sends its whole state to the next owner that answers.
	maxPendingEvents = 8192
	// maxEventsPerCall bounds one call.
	maxEventsPerCall = 512
	// ticketSignals is the room for what the owner has to say about one stream. A stream that is
	// placed reads its decisions with every event it relays.
	ticketSignals = 8
)

// queueClient reports the streams of this gateway to the owner of the queues and passes on its
// decisions. One goroutine owns the state; streams send it short functions.
type queueClient struct {
	g     *Gateway
	log   *slog.Logger
	id    string
	tasks chan func()
	// available is set while the owner answers and has the state of this gateway.
	available atomic.Bool
	// ownerLost is set once the owner counts as lost, until another one answers.
	ownerLost atomic.Bool
	// shortAt is when a stream last had waited for room, in Unix nanoseconds.
	shortAt atomic.Int64
	lastID  atomic.Uint64

	// The goroutine owns what follows.
	owner    ownerContact
	session  uint64
	synced   bool // the owner has the state of this session
	seq      uint64
	pending  []registry.QueueEvent // not acknowledged, oldest first; the last one has the number seq
	decision uint64                // number of the last decision received
	tickets  map[uint64]*queueTicket
}

func newQueueClient(g *Gateway) *queueClient {
	return &queueClient{g: g, log: g.log, id: fmt.Sprintf("%s/%x", g.id, time.Now().UnixNano()), tasks: make(chan func(), queueTasksSize),
		tickets: map[uint64]*queueTicket{}}
}

// run is the goroutine of the client.
func (c *queueClient) run() {
	ticker := time.NewTicker(ownerRetryDelay)
	defer ticker.Stop()
	for {
		select {
		case <-c.g.ctx.Done():
			return
		case f := <-c.tasks:
			_ = recovery.Run(c.log, "task of the queue client", f)
		case now := <-ticker.C:
			_ = recovery.Run(c.log, "check of the owner of the queues", func() { c.checkOwner(now) })
		}
		_ = recovery.Run(c.log, "calls to the owner of the queues", c.advance)
	}
}

func (c *queueClient) post(f func()) {
	select {
	case c.tasks <- f:
	case <-c.g.ctx.Done():
	}
}

// advance starts the calls that are due.
func (c *queueClient) advance() {
	now := time.Now()
	if now.Before(c.owner.retryAt) {
		return
	}
	if !c.owner.sending && (!c.synced || len(c.pending) > 0) {
		c.startSend(now)
	}
	if c.synced && !c.owner.polling {
		c.startPoll(now)
	}
}

// startSend sends the events that are pending, or asks an instance whether it owns the queues.
func (c *queueClient) startSend(now time.Time) {
	addr := c.owner.choose(c.g.follower.followed())
	if addr == "" {
		c.owner.retryAt = now.Add(ownerRetryDelay)
		return
	}
	events := c.pending[:min(len(c.pending), maxEventsPerCall)]
	if !c.synced {
		events = c.pending // a session begins with the whole state
	}
	args := &registry.ExchangeArgs{Gateway: c.id, Session: c.session, First: !c.synced, Epoch: c.owner.epoch, Ack: c.decision,
		Seq: c.seq - uint64(len(c.pending)) + 1, Events: append([]registry.QueueEvent(nil), events...)}
	c.owner.sending = true
	c.call(addr, args, ownerLostAfter, func() { c.owner.sending = false })
}

// startPoll waits for decisions.
func (c *queueClient) startPoll(now time.Time) {
	args := &registry.ExchangeArgs{Gateway: c.id, Session: c.session, Epoch: c.owner.epoch, Ack: c.decision, Wait: true}
	addr := c.owner.choose(c.g.follower.followed())
	if addr == "" {
		c.owner.retryAt = now.Add(ownerRetryDelay)
		return
	}
	c.owner.polling = true
	c.call(addr, args, registry.MaxExchangeWait+ownerLostAfter, func() { c.owner.polling = false })
}

// call makes a call in a goroutine of its own. Calls that wait use a connection of their own: one
// that ends in a timeout closes its connection.
func (c *queueClient) call(addr string, args *registry.ExchangeArgs, limit time.Duration, ended func()) {
	clients := c.g.controlClients
	if args.Wait {
		clients = c.g.pollClients
	}
	startedAt := time.Now()
	c.g.spawn(func() {
		var reply registry.ExchangeReply
		ctx, cancel := context.WithTimeout(c.g.ctx, limit)
		defer cancel()
		err := clients.To(addr).Call(ctx, registry.ServiceName+".Exchange", args, &reply)
		if !args.Wait {
			c.g.metrics.queueExchangeMS.Observe(time.Since(startedAt).Milliseconds())
		}
		c.post(func() {
			ended()
			c.handleReply(addr, startedAt, args, &reply, err)
		})
	})
}

// handleReply applies the outcome of a call.
func (c *queueClient) handleReply(addr string, startedAt time.Time, args *registry.ExchangeArgs, reply *registry.ExchangeReply, err error) {
	now := time.Now()
	if args.Session != c.session || args.Epoch != c.owner.epoch {
		return // a new session has begun meanwhile
	}
	switch {
	case err != nil:
		if args.Wait {
			startedAt = startedAt.Add(registry.MaxExchangeWait)
		}
		c.fail(now, startedAt, addr, err.Error())
	case reply.Epoch == 0:
		c.fail(now, now, addr, "the instance does not lead")
		c.owner.follow(now, reply.Owner)
	case reply.Resync:
		c.owner.answered(addr)
		c.beginSession(reply.Epoch)
	default:
		c.owner.answered(addr)
		c.acknowledge(now, args, reply)
	}
}

// acknowledge takes in the answer of the owner in the session.
func (c *queueClient) acknowledge(now time.Time, args *registry.ExchangeArgs, reply *registry.ExchangeReply) {
	if !c.synced {
		c.synced = true
		c.log.Info("owner of the queues reached", "address", c.owner.addr, "epoch", c.owner.epoch, "session", c.session, "streams", len(c.tickets))
	}
	c.available.Store(true)
	c.ownerLost.Store(false)
	first := c.seq - uint64(len(c.pending)) + 1
	for len(c.pending) > 0 && first <= reply.Applied {
		if t := c.tickets[c.pending[0].ID]; t != nil && c.pending[0].Kind == queue.Submitted {
			t.acknowledged.Store(true)
		}
		c.pending = c.pending[1:]
		first++
	}
	if !args.Wait {
		return
	}
	for i, d := range reply.Decisions {
		if number := reply.FirstDecision + uint64(i); number > c.decision {
			c.decision = number
			c.applyDecision(now, d)
		}
	}
}

// fail records that an instance has not answered as the owner. Streams that wait are placed by this
// gateway once the owner counts as lost.
func (c *queueClient) fail(now, since time.Time, addr, reason string) {
	c.available.Store(false)
	c.owner.retryAt = now.Add(ownerRetryDelay)
	if c.owner.failedSince.IsZero() {
		c.owner.failedSince = since
	}
	if c.owner.addr == addr {
		c.owner.addr = ""
	}
	c.owner.reason = reason
	c.checkOwner(now)
}

// roomIsShort reports whether streams have waited for room lately.
func (c *queueClient) roomIsShort(now time.Time) bool {
	return now.Sub(time.Unix(0, c.shortAt.Load())) < shortPeriod
}

// takesStreams reports whether streams may wait in the queue: the owner answers, or room is short and
// another owner may soon.
func (c *queueClient) takesStreams(now time.Time) bool {
	return c.available.Load() || !c.ownerLost.Load() && c.roomIsShort(now)
}

// checkOwner sends the streams that wait away once the owner counts as lost.
func (c *queueClient) checkOwner(now time.Time) {
	limit := ownerLostAfter
	if c.roomIsShort(now) {
		limit = ownerReturnWait
	}
	if c.owner.failedSince.IsZero() || now.Sub(c.owner.failedSince) < limit || c.owner.lost {
		return
	}
	c.owner.lost = true
	c.ownerLost.Store(true)
	if c.session == 0 {
		return // no owner was known
	}
	waiting := 0
	for _, t := range c.tickets {
		if t.phase == ticketWaiting {
			waiting++
			t.signal(queueSignal{ownerLost: true})
		}
	}
	c.log.Warn("owner of the queues lost; this gateway places its streams by itself", "reason", c.owner.reason, "waiting", waiting)
}

// beginSession sends the whole state to an owner that does not have it.
func (c *queueClient) beginSession(epoch uint64) {
	c.owner.epoch = epoch
	c.session++
	c.synced, c.decision, c.seq, c.pending = false, 0, 0, nil
	c.available.Store(false)
	now := time.Now()
	for id, t := range c.tickets {
		c.add(t.service, t.state(now, id))
	}
	c.log.Info("state sent to the owner of the queues", "address", c.owner.addr, "epoch", epoch, "session", c.session, "streams", len(c.tickets))
}

// add queues an event for the owner. While there is none, the state is in the tickets.
func (c *queueClient) add(service string, e queue.Event) {
	if c.owner.epoch == 0 {
		return
	}
	if len(c.pending) >= maxPendingEvents {
		c.owner.epoch = 0
		c.session++
		c.synced, c.pending = false, nil
		return
	}
	c.seq++
	c.pending = append(c.pending, registry.QueueEvent{Service: service, Event: e})
}

// applyDecision passes a decision on to its stream.
func (c *queueClient) applyDecision(now time.Time, d registry.QueueDecision) {
	t := c.tickets[d.ID]
	if d.Action == queue.Refuse || d.Action == queue.Place && d.Explanation.Waited >= shortWait {
		c.shortAt.Store(now.UnixNano())
	}
	switch {
	case d.Action == queue.Place && t == nil:
		// The stream has gone, or has been placed by this gateway, before the owner heard of it.
		c.add(d.Service, queue.Event{Kind: queue.Ended, ID: d.ID, Outcome: queue.Cancelled})
		return
	case t == nil:
		return
	case d.Action == queue.Place && t.phase != ticketWaiting:
		return
	case d.Action == queue.Place:
		t.phase, t.upstream, t.copyHolder, t.growingCopy = ticketPlaced, d.Upstream, d.CopyHolder, d.GrowingCopy
	case d.Action == queue.Refuse:
		if t.phase != ticketWaiting {
			return
		}
		delete(c.tickets, d.ID)
	}
	t.signal(queueSignal{decision: d.Decision, at: now})
}
