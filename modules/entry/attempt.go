package entry

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/breaker"
	"heatherway.dev/core/config"
	"heatherway.dev/core/pick"
	"heatherway.dev/core/retry"
	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/failure"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// Timing of calls whose answer is late.
const (
	// checkShare is the part of the time left after which the record of a call
	// without an answer is looked at.
	checkShare = 0.6
	// lookupPause separates two looks at a record.
	lookupPause = 100 * time.Millisecond
	// inProgressLimit bounds the wait for the answer of another attempt with the
	// same key. An agent stores an answer after it has sent it, so a call that is
	// repeated at once may find the record without it.
	inProgressLimit = time.Second
)

// run executes a call within its deadline.
func (m *Module) run(ctx context.Context, k *call) (*wire.CallReply, *result.Error) {
	ctx, cancel := context.WithDeadline(ctx, k.deadline)
	defer cancel()
	permit, err := m.clear(ctx, k.request, "", nil, suspicion{})
	if err != nil {
		if err.Code != result.Quarantined {
			err.Ran = result.NotRun // nothing has been sent
		}
		return nil, err
	}
	once := m.callOnce
	if k.idempotent {
		once = m.lookup
	}
	reply, err := m.attempts(ctx, k, permit, once)
	if err != nil && err.Ran == result.NotRun && k.keyed && !k.idempotent {
		return m.earlier(ctx, k, err)
	}
	return reply, err
}

// earlierLimit bounds the look at the record of a refused call.
const earlierLimit = 250 * time.Millisecond

// earlier keeps a refusal from being taken for "the key was never run" when an
// earlier request with the same key has run.
func (m *Module) earlier(ctx context.Context, k *call, err *result.Error) (*wire.CallReply, *result.Error) {
	ctx, cancel := context.WithTimeout(ctx, earlierLimit)
	defer cancel()
	var r wire.LookupReply
	if e := m.control(ctx, "Lookup", &wire.LookupArgs{Key: k.key}, &r); e != nil {
		return nil, err
	}
	s := settling{m: m, k: k, args: wire.AbortArgs{Key: k.key}}
	if reply, found, done := s.judge(&r.Record); done && (reply != nil || found.Code == result.KeyReused) {
		return reply, found
	}
	if s.claimed {
		return nil, err.WithRan(result.Unknown)
	}
	return nil, err
}

type tryFunc func(context.Context, *call, purpose, wire.ID) (*wire.CallReply, *result.Error)

// attempts repeats a call that was certainly not run, or that may run more
// than once, on other upstreams within the retry budget.
func (m *Module) attempts(ctx context.Context, k *call, permit wire.ID, once tryFunc) (reply *wire.CallReply, err *result.Error) {
	defer func() { m.giveBackPermit(k.request, permit, endOfCall(err)) }()
	most := int(k.snap.doc.Int("retry.attempts", config.Scope{}, k.begun))
	var last *result.Error
	for p := firstAttempt; ; p = retryAttempt {
		reply, err = once(ctx, k, p, permit)
		if err == nil {
			return reply, nil
		}
		if p == retryAttempt && notMade(err) {
			return nil, last
		}
		if last != nil && last.Ran != result.NotRun && err.Ran == result.NotRun {
			err.Ran = last.Ran // an earlier attempt of a lookup may have run
		}
		last = err
		if retry.Decide(k.failure(err, most)) == retry.Stop || ctx.Err() != nil {
			return nil, err
		}
		if crashed(err) {
			id, refused := m.permit(ctx, k.request, permitLimit)
			if refused != nil {
				return nil, refused.WithRan(err.Ran)
			}
			m.giveBackPermit(k.request, permit, permitLost)
			permit = id
		}
	}
}

func endOfCall(err *result.Error) permitEnd {
	switch {
	case err == nil:
		return permitFinished
	case err.Ran == result.NotRun:
		return permitUnused
	default:
		return permitLost
	}
}

func (k *call) failure(err *result.Error, most int) retry.Failure {
	k.mu.Lock()
	defer k.mu.Unlock()
	return retry.Failure{
		Code: err.Code, Ran: err.Ran, Idempotent: k.idempotent, Attempts: k.attempts, MaxAttempts: most,
		TimeLeft: time.Until(k.deadline), HasDeadline: true,
	}
}

func (k *call) summary(err *result.Error) summary {
	k.mu.Lock()
	defer k.mu.Unlock()
	return summary{upstream: k.upstream, attempts: k.attempts, err: err}
}

func (k *call) want(zone, region string, suspect bool) pick.Request {
	k.mu.Lock()
	defer k.mu.Unlock()
	return pick.Request{Service: k.service, Class: k.class, Suspect: suspect, Tried: slices.Clone(k.tried), Zone: zone, Region: region}
}

// begin counts an attempt.
func (k *call) begin(u string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.attempts++
	k.upstream = u
	k.tried = append(k.tried, u)
}

// answered is what came of sending a call to an agent.
type answered struct {
	reply *wire.CallReply
	err   *result.Error
	// lost is set when the agent may have the call and gave no answer.
	lost bool
}

// send makes one attempt on an agent of the owner's choice. Nothing is sent
// before the returned channel exists.
func (m *Module) send(ctx context.Context, k *call, p purpose, permit wire.ID, attempt wire.ID, issued time.Time) (<-chan answered, *result.Error) {
	got := m.owner.choose(ctx, choose{request: k.want(m.instance.Zone, m.instance.Region, permit != ""), purpose: p})
	if got.err != nil {
		return nil, got.err
	}
	k.begin(got.upstream.ID)
	m.metrics.attempts.Inc()
	args := k.args(attempt, issued)
	args.Permit = permit
	out := make(chan answered, 1)
	go func() { out <- m.exchange(ctx, got.ticket, args) }()
	return out, nil
}

func (k *call) args(attempt wire.ID, issued time.Time) *wire.CallArgs {
	return &wire.CallArgs{
		RequestID: k.id, Organisation: k.organisation, Class: k.class, Weight: k.weight,
		Service: k.service, Method: k.method, Path: k.path, Headers: k.headers, Body: k.body,
		Attempt: attempt, IssuedMS: issued.UnixMilli(), DeadlineMS: k.left(issued), Idempotent: k.idempotent,
		Key: k.key, BodyHash: k.bodyHash, Fingerprint: k.fingerprint, Revision: k.snap.revision(),
	}
}

// exchange sends the call on a connection of its own and waits for the answer.
func (m *Module) exchange(ctx context.Context, t ticket, args *wire.CallArgs) answered {
	c := m.agents.take(t.upstream.Addr)
	var reply wire.CallReply
	err := c.Call(ctx, wire.AgentService+".Call", args, &reply)
	a := classify(&reply, err)
	if a.lost {
		c.Close()
	} else {
		m.agents.release(c)
	}
	if err == nil {
		m.owner.sample(report{t, reply.Load})
		m.owner.seen(reply.Revision)
	}
	m.owner.send(ended{ticket: t, outcome: a.outcome(ctx)})
	return a
}

func classify(reply *wire.CallReply, err error) answered {
	var known *result.Error
	switch {
	case err == nil:
		return answered{reply: reply}
	case errors.Is(err, peer.ErrUnreachable):
		return answered{err: result.Wrap(result.UpstreamNotReachable, err, "no connection to the agent")}
	case errors.As(err, &known):
		return answered{err: known}
	default:
		return answered{lost: true, err: result.Wrap(result.OutcomeUnknown, err, "the answer was lost")}
	}
}

func (a answered) outcome(ctx context.Context) breaker.Outcome {
	switch {
	case a.err == nil:
		return breaker.Succeeded
	case a.lost && ctx.Err() != nil:
		return breaker.ConnectionSilent
	case a.lost:
		return breaker.RequestFailed
	default:
		return outcomeOf(a.err.Code)
	}
}

// callOnce makes one attempt of a call that must not run twice, and settles
// what became of it when the answer is lost or late.
func (m *Module) callOnce(ctx context.Context, k *call, p purpose, permit wire.ID) (*wire.CallReply, *result.Error) {
	attempt, issued := wire.NewID(), time.Now()
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer, err := m.send(sendCtx, k, p, permit, attempt, issued)
	if err != nil {
		return nil, err
	}
	s := settling{m: m, k: k, args: wire.AbortArgs{Key: k.key, Attempt: attempt, IssuedMS: issued.UnixMilli()}}
	timer := time.NewTimer(time.Duration(checkShare * float64(time.Until(k.deadline))))
	defer timer.Stop()
	for {
		select {
		case a := <-answer:
			if !a.lost && (a.err == nil || a.err.Code != result.CallInProgress) {
				return a.reply, a.err
			}
			if !a.lost {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, inProgressLimit)
				defer cancel()
				s.claimed, s.refused = true, a.err
			}
			answer = nil
		case <-timer.C:
		case <-ctx.Done():
			if s.refused != nil {
				return nil, s.refused
			}
			return nil, k.unknown(ctx)
		}
		if reply, err, done := s.look(ctx); done {
			return reply, err
		}
		timer.Reset(lookupPause)
	}
}

// unknown is the answer when the deadline passes before the outcome is known.
func (k *call) unknown(ctx context.Context) *result.Error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.CallerGone, "the caller closed its connection")
	}
	e := result.New(result.OutcomeUnknown, "no outcome before the deadline; the call may have run")
	if k.keyed {
		return e.After(failure.DefaultRetry)
	}
	return e
}

// settling finds out what became of an attempt without an answer.
type settling struct {
	m    *Module
	k    *call
	args wire.AbortArgs
	// claimed is set once the record shows that an agent has claimed the key,
	// after which only the record tells the outcome.
	claimed bool
	// refused is set when another attempt holds the key; its answer is waited
	// for, as it may be on its way to the record.
	refused *result.Error
}

// look asks the record once. It is done when the outcome is certain.
func (s *settling) look(ctx context.Context) (*wire.CallReply, *result.Error, bool) {
	if s.claimed {
		var r wire.LookupReply
		if err := s.m.control(ctx, "Lookup", &wire.LookupArgs{Key: s.args.Key}, &r); err != nil {
			return nil, nil, false
		}
		return s.judge(&r.Record)
	}
	var r wire.AbortReply
	if err := s.m.control(ctx, "Abort", &s.args, &r); err != nil {
		return nil, nil, false
	}
	// The attempt may be fenced because another one, of an earlier request with
	// the same key, holds the record; its outcome is then that of the key.
	if r.Aborted && r.Record.State != wire.RecordStarted && r.Record.State != wire.RecordFinished {
		return nil, result.New(result.UpstreamNotReachable, "the call did not reach the service").WithRan(result.NotRun), true
	}
	return s.judge(&r.Record)
}

func (s *settling) judge(r *wire.Record) (*wire.CallReply, *result.Error, bool) {
	switch {
	case r.State == wire.RecordNone:
		return nil, nil, false
	case r.BodyHash != "" && r.BodyHash != s.k.bodyHash:
		return nil, result.New(result.KeyReused, "the Idempotency-Key was used with another request"), true
	case r.State == wire.RecordFinished:
		return &wire.CallReply{Status: r.Status, Headers: r.Headers, Body: r.Body, Replayed: true}, nil, true
	case r.State == wire.RecordAborted && r.Attempt == s.args.Attempt:
		return nil, result.New(result.UpstreamNotReachable, "the call did not reach the service").WithRan(result.NotRun), true
	}
	s.claimed = r.State == wire.RecordStarted
	return nil, nil, false
}

// lookup makes one attempt of a call that may run more than once, with a hedge
// when it takes longer than most.
func (m *Module) lookup(ctx context.Context, k *call, p purpose, permit wire.ID) (*wire.CallReply, *result.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begun := time.Now()
	first, err := m.send(ctx, k, p, permit, wire.NewID(), begun)
	if err != nil {
		return nil, err
	}
	reply, err := m.race(ctx, k, first, permit)
	// Failures may be far faster than answers and would make hedges too early.
	if p == firstAttempt && err == nil {
		m.owner.sample(took{k.service, time.Since(begun)})
	}
	return reply, err
}

// race waits for the first useful answer of an attempt and its hedge.
func (m *Module) race(ctx context.Context, k *call, first <-chan answered, permit wire.ID) (*wire.CallReply, *result.Error) {
	var second <-chan answered
	hedge := m.hedgeTimer(k, permit)
	open := 1
	for {
		var a answered
		select {
		case a = <-first:
			first = nil
		case a = <-second:
			second = nil
		case <-hedge:
			if ch, err := m.send(ctx, k, hedgeAttempt, permit, wire.NewID(), time.Now()); err == nil {
				second = ch
				open++
				m.metrics.hedges.Inc()
			}
			continue
		case <-ctx.Done():
			return nil, lateLookup(ctx)
		}
		if open--; a.err == nil || open == 0 {
			return a.result(ctx)
		}
	}
}

// hedgeTimer fires when a hedge is due; a suspect runs once at a time.
func (m *Module) hedgeTimer(k *call, permit wire.ID) <-chan time.Time {
	delay, ok := m.owner.current().hedge[k.service]
	if !ok || !k.hedge || permit != "" {
		return nil
	}
	return time.After(delay)
}

func (a answered) result(ctx context.Context) (*wire.CallReply, *result.Error) {
	if a.err != nil && ctx.Err() != nil {
		return nil, lateLookup(ctx)
	}
	if a.lost {
		return nil, result.Wrap(result.UpstreamFailed, a.err, "the answer was lost").WithRan(result.Unknown)
	}
	return a.reply, a.err
}

func lateLookup(ctx context.Context) *result.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlineExceeded, "no answer before the deadline").WithRan(result.Unknown)
	}
	return result.New(result.CallerGone, "the caller closed its connection")
}
