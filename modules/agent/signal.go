package agent

import (
	"context"
	"time"

	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/result"
)

// receiveSignal handles the signal in the headers of an upstream's response. Nearly all
// responses carry nothing new, so most do not reach the owner.
func (a *Agent) receiveSignal(s adapter.Signal) {
	known := a.snapshot.Load()
	if s.Backoff > 0 || s.Leaving != known.upstreamLeaving || s.Limit != nil || known.limited && !s.LimitInvalid {
		a.post(signalEvent{s})
	}
}

// signalEvent carries a signal of the upstream. An upstream that is leaving says so in
// every response, so a response that does not say so comes from a new incarnation.
type signalEvent struct{ signal adapter.Signal }

func (e signalEvent) apply(o *owner, now time.Time) {
	if o.upstreamSignal.Leaving != e.signal.Leaving {
		o.upstreamSignal.Leaving = e.signal.Leaving
		o.a.log.Info("upstream signals whether it is leaving", "leaving", e.signal.Leaving, "running", len(o.tasks))
	}
	if e.signal.Backoff > 0 {
		o.upstreamSignal.Extend(now, e.signal.Backoff)
		o.a.log.Info("upstream asks for backoff", "asked_ms", e.signal.Backoff.Milliseconds(), "backoff_ms", o.upstreamSignal.Remaining(now).Milliseconds())
	}
	if !e.signal.LimitInvalid {
		o.observeLimit(now, e.signal)
	}
	o.updateQueueState(now)
}

// observeLimit takes in the limit that a response names, or that it names none.
func (o *owner) observeLimit(now time.Time, s adapter.Signal) {
	decisions, changed := o.queue.ObserveLimit(s.SentAt, now, s.Limit)
	if !changed {
		return
	}
	rate, named := o.queue.Limit()
	o.a.log.Info("limit of the upstream changed", "requests_per_second", rate, "ended", !named)
	o.decide(now, decisions)
	o.publish(now)
}

// ownCallEvent asks whether the agent may make a call of its own to the upstream.
type ownCallEvent struct{ allowed chan bool }

func (e ownCallEvent) apply(o *owner, now time.Time) { e.allowed <- o.queue.TakeCall(now) }

// mayCall reports whether the agent may make a call of its own to the upstream: not during a
// backoff, and within the limit that it has named only if no request needs it.
func (a *Agent) mayCall() bool {
	if a.backingOff() {
		return false
	}
	if !a.snapshot.Load().limited {
		return true
	}
	e := ownCallEvent{make(chan bool, 1)}
	allowed, ok := ask(a, e, e.allowed)
	return ok && allowed
}

// updateQueueState closes the queue while the agent or its upstream is leaving or the
// upstream has asked for backoff, and reopens it afterwards. Closing refuses the queued
// requests, so that entries send them elsewhere; running requests go on.
func (o *owner) updateQueueState(now time.Time) {
	closed := o.leaving || !o.upstreamSignal.AcceptsWork(now)
	if closed == o.queueClosed {
		return
	}
	o.queueClosed = closed
	if closed {
		o.publish(now) // the refusals carry the load, which says why
		o.refuseWaitingSuspects()
		o.decide(now, o.queue.Drain(now))
	} else {
		o.queue.Undrain()
	}
	o.publish(now)
	o.a.control.announceNow()
}

// backingOff reports whether a backoff of the upstream is in effect.
func (a *Agent) backingOff() bool { return time.Now().Before(a.snapshot.Load().backoffUntil) }

// probe checks the upstream's health. It makes no request and returns nil during a backoff,
// and if the upstream's limit leaves no room.
func (a *Agent) probe(ctx context.Context) error {
	if !a.mayCall() {
		return nil
	}
	return a.upstream.Probe(ctx)
}

// errBackoff returns the error that ends a run whose stream has gone silent during a
// backoff, when the request may not be repeated.
func errBackoff() error {
	return result.New(result.Leaving, "the upstream wants no requests now; resume elsewhere").WithRan(result.DidRun)
}
