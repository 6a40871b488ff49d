package agent

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/admission"
	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

const (
	// maxCallBodyBytes bounds the body of a service call.
	maxCallBodyBytes = 16 << 20
	// defaultCallTimeout bounds a call without a deadline.
	defaultCallTimeout = 60 * time.Second
	// callCost is the cost of a service call in fair queueing. All calls of one
	// service are assumed to cost the same.
	callCost = 1
)

// service is the receiver of the agent's net/rpc calls.
type service struct {
	a *Agent
	// roles and name are those in the caller's certificate.
	roles peer.Roles
	name  string
}

// requireEntry refuses callers that are not entry instances.
func (s *service) requireEntry(method string) error {
	return peer.EncodeError(s.a.security.Allow(s.roles, s.name, wire.AgentService+"."+method, roleEntry))
}

// Call runs one call to a plain service.
func (s *service) Call(args *wire.CallArgs, reply *wire.CallReply) error {
	if err := s.requireEntry("Call"); err != nil {
		return err
	}
	s.a.activeWork.Add(1)
	defer s.a.activeWork.Add(-1)
	r, err := s.a.call(args)
	if err != nil {
		return peer.EncodeError(err)
	}
	*reply = *r
	now := s.a.snapshot.Load()
	reply.Load, reply.Revision = now.load, now.revision
	return nil
}

// Cancel cancels attempts of a generation.
func (s *service) Cancel(args *wire.CancelArgs, reply *wire.CancelReply) error {
	if err := s.requireEntry("Cancel"); err != nil {
		return err
	}
	ev := cancelEvent{args.Generation, args.Attempt, make(chan bool, 1)}
	reply.Held, _ = ask(s.a, ev, ev.reply)
	return nil
}

// Probe reports the agent's state.
func (s *service) Probe(args *wire.ProbeArgs, reply *wire.ProbeReply) error {
	if args.Generation != "" {
		ev := holdsEvent{args.Generation, make(chan bool, 1)}
		reply.HoldsRequested, _ = ask(s.a, ev, ev.reply)
	}
	now := s.a.snapshot.Load()
	reply.Incarnation, reply.UpstreamUp = s.a.incarnation, now.up
	reply.Load, reply.Revision = now.load, now.revision
	return nil
}

// Drain makes the agent stop accepting work, or accept it again. A stop cannot be undone.
func (s *service) Drain(args *wire.DrainArgs, reply *wire.DrainReply) error {
	s.a.log.Info("drain", "reason", args.Reason, "undo", args.Undo)
	if args.Undo && s.a.stopping.Load() {
		return peer.EncodeError(result.New(result.Leaving, "the agent stops"))
	}
	s.a.drain(!args.Undo)
	reply.Running = int(s.a.snapshot.Load().load.Running)
	return nil
}

func (a *Agent) call(args *wire.CallArgs) (*wire.CallReply, error) {
	caller, ok := a.upstream.(adapter.Caller)
	switch {
	case !ok:
		return nil, result.New(result.ServiceUnknown, "the upstream is not a plain service")
	case len(args.Body) > maxCallBodyBytes:
		return nil, result.New(result.BodyTooLarge, "the body exceeds %d bytes", maxCallBodyBytes)
	case args.Class >= wire.ClassCount:
		return nil, result.New(result.InvalidField, "class: %d", args.Class)
	}
	ctx, cancel := context.WithTimeout(a.callCtx, callTimeout(args.DeadlineMS))
	defer cancel()
	t, err := a.admitCall(ctx, args)
	if err != nil {
		return nil, err
	}
	done := make(chan callResult, 1)
	a.activeWork.Add(1)
	go a.runCall(ctx, caller, args, t, done)
	select {
	case r := <-done:
		return r.reply, r.err
	case <-ctx.Done():
		if errors.Is(context.Cause(ctx), errStopLimit) {
			return nil, result.New(result.OutcomeUnknown, "the agent stopped while the call ran")
		}
		return nil, result.New(result.OutcomeUnknown, "the deadline passed while the call ran")
	}
}

type callResult struct {
	reply *wire.CallReply
	err   error
}

func callTimeout(ms int64) time.Duration {
	if ms <= 0 {
		return defaultCallTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

// runCall runs a call in its slot. A claimed call goes on after its caller's
// deadline.
func (a *Agent) runCall(ctx context.Context, caller adapter.Caller, args *wire.CallArgs, t *task, done chan callResult) {
	defer a.activeWork.Add(-1)
	epoch := a.snapshot.Load().crashes
	var r callResult
	if args.Idempotent && args.Key == "" {
		r.reply, r.err = caller.Call(ctx, args)
	} else {
		r.reply, r.err = a.claimedCall(ctx, caller, args)
	}
	if r.err != nil {
		a.detectCrash(t, epoch, r.err)
	}
	done <- r
	a.post(taskDoneEvent{t, callCost})
}

// admitCall queues a call and waits until it gets a slot.
func (a *Agent) admitCall(ctx context.Context, args *wire.CallArgs) (*task, error) {
	ev := callEvent{args: args, t: &task{fingerprint: args.Fingerprint, permit: args.Permit, admissionResult: make(chan admissionResult, 1)}}
	if !a.post(ev) {
		return nil, result.New(result.Leaving, "the agent has stopped")
	}
	select {
	case v := <-ev.t.admissionResult:
		if v != nil {
			return nil, v
		}
		return ev.t, nil
	case <-ctx.Done():
		a.post(taskCancelledEvent{ev.t})
		return nil, result.New(result.DeadlineUnreachable, "no slot was free in time").WithRan(result.NotRun)
	}
}

// callEvent queues a service call.
type callEvent struct {
	args *wire.CallArgs
	t    *task
}

func (e callEvent) apply(o *owner, now time.Time) {
	if err := o.checkAccepting(now, e.args.Revision, e.args.Fingerprint, e.args.Permit); err != nil {
		e.t.admissionResult <- result.From(err)
		return
	}
	o.enqueue(now, e.t, admission.Request{
		Class: e.args.Class, Organisation: e.args.Organisation, Weight: e.args.Weight,
		Cost: callCost, StartBy: startBy(now, e.args.DeadlineMS),
	})
}
