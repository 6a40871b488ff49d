package registry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"heatherway.dev/core/queue"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
)

const (
	// queueCallsSize bounds the calls that wait for the goroutine that owns the queues. A gateway
	// whose call finds no room places its streams by itself.
	queueCallsSize = 1024
	// queueGatewayTimeout is the time after which a gateway that has not called is forgotten. It
	// is several calls, and short enough that the room of a lost gateway is used again.
	queueGatewayTimeout = 3 * time.Second
	// queueSettleTime is how long an owner decides nothing after its first call: gateways report
	// what already runs meanwhile. It covers the time in which they find a new leader.
	queueSettleTime = 250 * time.Millisecond
	// maxUnacked bounds the decisions that a gateway has not acknowledged. One that reads none
	// has to begin a new session.
	maxUnacked = 4096
)

// queueOwner runs the goroutine that owns the queues of all services while this instance leads.
type queueOwner struct {
	registry *Registry
	log      *slog.Logger
	calls    chan queueCall
	reports  chan chan QueueReport
	metrics  queueMetrics
	// The goroutine owns what follows.
	term, epoch uint64
	settledAt   time.Time
	heardAt     time.Time
	sessions    map[string]*queueSession
	services    map[string]*queue.Queue
	feed        upstreamFeed
}

// queueCall is a call of Exchange on its way to the owner goroutine.
type queueCall struct {
	term  uint64
	args  *ExchangeArgs
	reply chan ExchangeReply // has room for the reply
}

func newQueueOwner(r *Registry) *queueOwner {
	return &queueOwner{registry: r, log: r.log, calls: make(chan queueCall, queueCallsSize), reports: make(chan chan QueueReport),
		metrics: newQueueMetrics(r.stats), sessions: map[string]*queueSession{}, services: map[string]*queue.Queue{}}
}

// exchange passes a call to the owner goroutine and waits for the reply.
func (o *queueOwner) exchange(ctx context.Context, term uint64, args *ExchangeArgs) (ExchangeReply, error) {
	call := queueCall{term, args, make(chan ExchangeReply, 1)}
	select {
	case o.calls <- call:
	default:
		return ExchangeReply{}, result.New(result.ControlUnavailable, "too many calls wait for the owner of the queues")
	}
	select {
	case reply, ok := <-call.reply:
		if !ok {
			return reply, result.New(result.Internal, "unexpected failure")
		}
		return reply, nil
	case <-ctx.Done():
		return ExchangeReply{}, result.New(result.ControlUnavailable, "no answer of the owner of the queues in time")
	}
}

// run is the owner goroutine.
func (o *queueOwner) run(ctx context.Context) {
	timer := time.NewTimer(MaxExchangeWait)
	defer timer.Stop()
	for {
		changed := o.registry.changes.next()
		if o.leads() {
			o.feed.refresh(ctx, o)
		} else {
			changed = nil // upstreams are read when a gateway calls
		}
		select {
		case <-ctx.Done():
			return
		case call := <-o.calls:
			if recovery.Run(o.log, "call of a gateway", func() { o.handle(time.Now(), call) }) != nil {
				close(call.reply)
			}
		case reply := <-o.reports:
			if recovery.Run(o.log, "report of the queues", func() { reply <- o.report(time.Now()) }) != nil {
				reply <- QueueReport{Instance: o.registry.PeerListen}
			}
		case <-changed:
			continue // read before the next decision
		case <-timer.C:
		}
		_ = recovery.Run(o.log, "decisions of the queues", func() { timer.Reset(o.decide(time.Now())) })
	}
}

// leads reports whether gateways have called this instance as the owner a short time ago.
func (o *queueOwner) leads() bool { return time.Since(o.heardAt) < queueGatewayTimeout }

// handle applies a call. It is answered at once unless it waits for decisions.
func (o *queueOwner) handle(now time.Time, call queueCall) {
	if call.term != o.term {
		o.beginTerm(now, call.term)
	}
	if !o.leads() {
		o.heardAt = now
		o.feed.refresh(o.registry.ctx, o)
	}
	o.heardAt = now
	args := call.args
	reply := ExchangeReply{Epoch: o.epoch}
	session := o.sessions[args.Gateway]
	if args.Epoch == o.epoch && args.First && (session == nil || session.number != args.Session) {
		session = o.beginSession(now, args)
	}
	if args.Epoch != o.epoch || session == nil || session.number != args.Session || args.Seq > session.applied+1 {
		reply.Resync = true
		call.reply <- reply
		return
	}
	session.heardAt = now
	session.acknowledge(args.Ack)
	o.apply(now, session, args)
	reply.Applied = session.applied
	if args.Wait {
		session.hold(now, call.reply, reply)
		return
	}
	call.reply <- reply
}

// beginTerm forgets everything: another instance may have owned the queues since this one led last.
func (o *queueOwner) beginTerm(now time.Time, term uint64) {
	for _, s := range o.sessions {
		s.release(ExchangeReply{Epoch: o.epoch, Resync: true})
	}
	o.term, o.epoch, o.settledAt = term, rand.Uint64()|1, now.Add(queueSettleTime)
	clear(o.sessions)
	clear(o.services)
	o.feed = upstreamFeed{}
	o.log.Info("this instance owns the queues of streams", "term", term, "epoch", o.epoch)
}

// beginSession replaces what is known about a gateway.
func (o *queueOwner) beginSession(now time.Time, args *ExchangeArgs) *queueSession {
	o.endSession(now, args.Gateway, "the gateway sends its state")
	s := &queueSession{gateway: args.Gateway, number: args.Session, heardAt: now}
	o.sessions[args.Gateway] = s
	o.log.Info("gateway joins the queues of streams", "gateway", args.Gateway, "session", args.Session, "events", len(args.Events))
	return s
}

// endSession removes a gateway and its requests.
func (o *queueOwner) endSession(now time.Time, gateway, reason string) {
	s := o.sessions[gateway]
	if s == nil {
		return
	}
	delete(o.sessions, gateway)
	s.release(ExchangeReply{Epoch: o.epoch, Resync: true})
	for _, q := range o.services {
		q.RemoveGateway(now, gateway)
	}
	o.log.Info("gateway removed from the queues of streams", "gateway", gateway, "session", s.number, "reason", reason,
		"silent_ms", now.Sub(s.heardAt).Milliseconds())
}

// apply applies the events that were not applied before, in their order. Those that follow each
// other and concern one service are applied together.
func (o *queueOwner) apply(now time.Time, s *queueSession, args *ExchangeArgs) {
	events := args.Events[min(uint64(len(args.Events)), s.applied+1-min(args.Seq, s.applied+1)):]
	s.applied += uint64(len(events))
	for len(events) > 0 {
		service, list := events[0].Service, []queue.Event(nil)
		for len(events) > 0 && events[0].Service == service {
			list = append(list, events[0].Event)
			events = events[1:]
		}
		q := o.queueOf(now, service)
		if q == nil {
			o.log.Warn("events of an unknown service ignored", "gateway", s.gateway, "service", clip(service), "events", len(list))
			continue
		}
		q.Apply(now, s.gateway, list)
	}
}

// queueOf returns the queue of a service, or nil if the configuration has no such service with an engine.
func (o *queueOwner) queueOf(now time.Time, service string) *queue.Queue {
	if q := o.services[service]; q != nil {
		return q
	}
	if !o.feed.hasService(service) {
		return nil
	}
	q := queue.New(now, queue.DefaultSettings(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	q.SetUpstreams(now, o.feed.upstreams(service))
	o.services[service] = q
	return q
}

// decide passes on what the queues decide now, ends calls that have waited long enough and removes
// silent gateways. It returns the time until it has to be called again.
func (o *queueOwner) decide(now time.Time) time.Duration {
	next := o.feed.nextChange(now, MaxExchangeWait)
	if wait := o.settledAt.Sub(now); wait > 0 {
		next = min(next, wait)
	} else {
		for service, q := range o.services {
			for _, d := range q.Decide(now) {
				o.dispatch(now, service, d)
			}
			if wait := q.NextDecision(now); wait > 0 {
				next = min(next, wait)
			}
		}
	}
	for gateway, s := range o.sessions {
		if now.Sub(s.heardAt) > queueGatewayTimeout {
			o.endSession(now, gateway, "not heard of")
			continue
		}
		if len(s.unacked) > maxUnacked {
			o.endSession(now, gateway, "too many decisions not read")
			continue
		}
		next = min(next, s.flush(now, o.epoch))
	}
	return max(next, time.Millisecond)
}

// dispatch queues a decision for its gateway.
func (o *queueOwner) dispatch(now time.Time, service string, d queue.Decision) {
	o.metrics.count(d)
	s := o.sessions[d.Gateway]
	if s == nil {
		o.log.Warn("decision for an unknown gateway dropped", "gateway", d.Gateway, "service", service)
		return
	}
	s.add(QueueDecision{service, d})
}
