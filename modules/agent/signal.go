package agent

import (
	"context"
	"time"

	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/result"
)

// heard takes in what the upstream says of itself in the head of an answer. Nearly all
// answers say nothing new, so they don't reach the owner.
func (a *Agent) receiveSignal(s adapter.Signal) {
	if s.Backoff > 0 || s.Leaving != a.snapshot.Load().upstreamLeaving {
		a.post(signalEvent{s})
	}
}

// signalEvent carries what the upstream has said. Every answer of an upstream that leaves
// says so, so one that does not comes from a new incarnation.
type signalEvent struct{ signal adapter.Signal }

func (e signalEvent) apply(o *owner, now time.Time) {
	if o.upstreamSignal.Leaving != e.signal.Leaving {
		o.upstreamSignal.Leaving = e.signal.Leaving
		o.a.log.Info("upstream says whether it leaves", "leaving", e.signal.Leaving, "running", len(o.tasks))
	}
	if e.signal.Backoff > 0 {
		o.upstreamSignal.Extend(now, e.signal.Backoff)
		o.a.log.Info("upstream asks for backoff", "asked_ms", e.signal.Backoff.Milliseconds(), "backoff_ms", o.upstreamSignal.Remaining(now).Milliseconds())
	}
	o.updateQueueState(now)
}

// settleIntake closes the queue while the agent or its upstream leaves, or the upstream
// wants nothing, and opens it again afterwards. What waits is refused, so that entries
// take it elsewhere; what runs goes on.
func (o *owner) updateQueueState(now time.Time) {
	closed := o.leaving || !o.upstreamSignal.AcceptsWork(now)
	if closed == o.queueClosed {
		return
	}
	o.queueClosed = closed
	if closed {
		o.refuseWaitingSuspects()
		o.decide(now, o.queue.Drain(now))
	} else {
		o.queue.Undrain()
	}
	o.publish(now)
	o.a.control.announceNow()
}

// backingOff tells whether the upstream wants nothing at the moment.
func (a *Agent) backingOff() bool { return time.Now().Before(a.snapshot.Load().backoffUntil) }

// probe asks for the upstream's health, unless it wants no such question now.
func (a *Agent) probe(ctx context.Context) error {
	if a.backingOff() {
		return nil
	}
	return a.upstream.Probe(ctx)
}

// errBackoff ends a run whose silent connection may not be replaced at the moment.
func errBackoff() error {
	return result.New(result.Leaving, "the upstream wants no requests now; resume elsewhere").WithRan(result.DidRun)
}
