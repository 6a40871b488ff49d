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
	"heatherway.dev/heatherway/internal/response"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
)

// Timing of calls whose answer is late or lost.
const (
	// recordCheckFraction is the fraction of the remaining time after which the
	// record of an unanswered call is checked.
	recordCheckFraction = 0.6
	// recordPollInterval is the interval at which a record is checked again.
	recordPollInterval = 100 * time.Millisecond
	// inProgressTimeout bounds the wait for the answer of another attempt with the
	// same key. An agent sends an answer before it stores it, so a call that is
	// repeated immediately may find a record without the answer.
	inProgressTimeout = time.Second
)

// serveCall admits and runs a call. A refusal is checked against the record of the caller's key.
func (m *Module) serveCall(ctx context.Context, c *call) (*wire.CallReply, *result.Error) {
	err := m.admit(ctx, c.request, len(c.body))
	if err == nil {
		var reply *wire.CallReply
		if reply, err = m.runCall(ctx, c); err == nil {
			return reply, nil
		}
	}
	if err.Ran != result.NotRun || !c.hasCallerKey {
		return nil, err
	}
	return m.checkEarlierRun(ctx, c, err)
}

// runCall runs a call within its deadline.
func (m *Module) runCall(ctx context.Context, c *call) (*wire.CallReply, *result.Error) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	permit, err := m.ensurePermit(ctx, c.request, "", nil, attemptHistory{})
	if err != nil {
		if err.Code != result.Quarantined {
			err.Ran = result.NotRun // no attempt has been sent
		}
		return nil, err
	}
	attempt := m.callAtMostOnce
	if c.idempotent {
		attempt = m.callIdempotent
	}
	return m.runAttempts(ctx, c, permit, attempt)
}

// attemptFunc makes one attempt of a call, with the given permit.
type attemptFunc func(context.Context, *call, purpose, wire.ID) (*wire.CallReply, *result.Error)

// runAttempts makes the attempts of a call. After a failure it retries on
// another upstream, within the retry budget, if the call certainly did not run
// or is idempotent.
func (m *Module) runAttempts(ctx context.Context, c *call, permit wire.ID, attempt attemptFunc) (reply *wire.CallReply, err *result.Error) {
	defer func() { m.releasePermit(c.request, permit, callPermitOutcome(err)) }()
	maxAttempts := int(c.snap.config.Int("retry.attempts", config.Scope{}, c.startedAt))
	var last *result.Error
	for p := firstAttempt; ; p = retryAttempt {
		if err = m.leavingError(c.request); err != nil { // the signal may have come since the request was admitted
			if last != nil && last.Ran != result.NotRun {
				err = last // the caller has more time to repeat the call elsewhere
			}
			return nil, err
		}
		reply, err = attempt(ctx, c, p, permit)
		if err == nil {
			return reply, nil
		}
		if p == retryAttempt && attemptNotMade(err) {
			return nil, last
		}
		if last != nil && last.Ran != result.NotRun && err.Ran == result.NotRun {
			err.Ran = last.Ran // an earlier attempt of an idempotent call may have run
		}
		last = err
		c.recordFailure(err)
		if retry.Decide(c.failure(err, maxAttempts)) == retry.Stop || ctx.Err() != nil {
			return nil, err
		}
		if looksLikeCrash(err) {
			id, refused := m.requestPermit(ctx, c.request, permitTimeout)
			if refused != nil {
				return nil, refused.WithRan(err.Ran)
			}
			m.releasePermit(c.request, permit, permitFailed)
			permit = id
		}
	}
}

// callPermitOutcome returns the outcome with which the permit of a call is
// released.
func callPermitOutcome(err *result.Error) permitOutcome {
	switch {
	case err == nil:
		return permitSucceeded
	case err.Ran == result.NotRun:
		return permitUnused
	default:
		return permitFailed
	}
}

func (c *call) failure(err *result.Error, maxAttempts int) retry.Failure {
	c.mu.Lock()
	defer c.mu.Unlock()
	return retry.Failure{
		Code: err.Code, Ran: err.Ran, Idempotent: c.idempotent, Attempts: c.attempts, MaxAttempts: maxAttempts,
		TimeLeft: time.Until(c.deadline), HasDeadline: true,
	}
}

func (c *call) summary(err *result.Error) requestSummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return requestSummary{upstream: c.upstream, attempts: c.attempts, err: err}
}

func (c *call) chooseRequest(zone, region string, suspect bool, p purpose) chooseRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := pick.Request{Service: c.service, Class: c.class, Suspect: suspect, Tried: slices.Clone(c.triedUpstreams), Zone: zone, Region: region}
	return chooseRequest{request: r, purpose: p, refused: c.refused}
}

// recordAttempt counts an attempt on the upstream of the given assignment.
func (c *call) recordAttempt(a assignment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
	c.upstream = a.upstream.ID
	c.triedUpstreams = append(c.triedUpstreams, a.upstream.ID)
	c.latest, c.refused = a, nil
}

// recordFailure notes whether the latest attempt has been refused.
func (c *call) recordFailure(err *result.Error) {
	if !isRefusal(err) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	refused := c.latest
	c.refused = &refused
}

// callOutcome is the outcome of sending a call to an agent.
type callOutcome struct {
	reply *wire.CallReply
	err   *result.Error
	// answerLost is set when the agent may have received the call but its answer
	// did not arrive.
	answerLost bool
}

// startAttempt chooses an agent and sends it the call. The outcome arrives on
// the returned channel; an error means that nothing was sent.
func (m *Module) startAttempt(ctx context.Context, c *call, p purpose, permit wire.ID, attempt wire.ID, issued time.Time) (<-chan callOutcome, *result.Error) {
	choice := m.owner.choose(ctx, c.chooseRequest(m.instance.Zone, m.instance.Region, permit != "", p))
	if choice.err != nil {
		return nil, choice.err
	}
	c.recordAttempt(choice.assignment)
	m.metrics.attempts.Inc()
	args := c.callArgs(attempt, issued)
	args.Permit = permit
	outcomes := make(chan callOutcome, 1)
	go func() {
		outcomes <- m.confineCall(func() callOutcome { return m.exchange(ctx, choice.assignment, args) })
	}()
	return outcomes, nil
}

func (c *call) callArgs(attempt wire.ID, issued time.Time) *wire.CallArgs {
	return &wire.CallArgs{
		RequestID: c.id, Organisation: c.organisation, Class: c.class, Weight: c.weight,
		Service: c.service, Method: c.method, Path: c.path, Headers: c.headers, Body: c.body,
		Attempt: attempt, IssuedMS: issued.UnixMilli(), DeadlineMS: c.remainingMS(issued), Idempotent: c.idempotent,
		Key: c.key, BodyHash: c.bodyHash, Fingerprint: c.fingerprint, Revision: c.snap.revision(),
	}
}

// confineCall makes a call. A panic in it must not end the process; the call may then have run.
func (m *Module) confineCall(call func() callOutcome) (outcome callOutcome) {
	if err := recovery.Run(m.log, "call of a service", func() { outcome = call() }); err != nil {
		return callOutcome{answerLost: true, err: result.Wrap(result.OutcomeUnknown, err, "the answer was lost")}
	}
	return outcome
}

// exchange sends the call on a connection that it uses alone and waits for the
// answer.
func (m *Module) exchange(ctx context.Context, a assignment, args *wire.CallArgs) callOutcome {
	c := m.pool.acquire(a.upstream.Addr)
	var reply wire.CallReply
	err := c.Call(ctx, wire.AgentService+".Call", args, &reply)
	outcome := classifyAnswer(&reply, err)
	if outcome.answerLost {
		c.Close()
	} else {
		m.pool.release(c)
	}
	if err == nil {
		m.owner.trySend(loadReport{a, reply.Load})
		m.owner.noteRevision(reply.Revision)
	}
	m.owner.send(attemptEnded{assignment: a, outcome: outcome.breakerOutcome(ctx)})
	return outcome
}

func classifyAnswer(reply *wire.CallReply, err error) callOutcome {
	var known *result.Error
	switch {
	case err == nil:
		if malformed := checkStatus(reply.Status); malformed != nil {
			return callOutcome{err: malformed}
		}
		return callOutcome{reply: reply}
	case errors.Is(err, peer.ErrUnreachable):
		return callOutcome{err: result.Wrap(result.UpstreamNotReachable, err, "no connection to the agent")}
	case errors.As(err, &known):
		return callOutcome{err: known}
	default:
		return callOutcome{answerLost: true, err: result.Wrap(result.OutcomeUnknown, err, "the answer was lost")}
	}
}

// checkStatus returns an error unless the status of a service's answer is a final one. An agent
// of an earlier release, or a record that it has stored, may have another.
func checkStatus(status int) *result.Error {
	if response.IsFinal(status) {
		return nil
	}
	return result.New(result.UpstreamFailed, "the service answered with the status %d", status).WithRan(result.Unknown)
}

func (a callOutcome) breakerOutcome(ctx context.Context) breaker.Outcome {
	switch {
	case a.err == nil:
		return breaker.Succeeded
	case a.answerLost && ctx.Err() != nil:
		return breaker.ConnectionSilent
	case a.answerLost:
		return breaker.RequestFailed
	default:
		return breakerOutcomeOf(a.err.Code)
	}
}

// callAtMostOnce makes one attempt of a call that must not run twice. When the
// answer is lost or late, the record of the key determines the outcome.
func (m *Module) callAtMostOnce(ctx context.Context, c *call, p purpose, permit wire.ID) (*wire.CallReply, *result.Error) {
	attempt, issued := wire.NewID(), time.Now()
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer, err := m.startAttempt(sendCtx, c, p, permit, attempt, issued)
	if err != nil {
		return nil, err
	}
	resolver := outcomeResolver{module: m, call: c, args: wire.AbortArgs{Key: c.key, Attempt: attempt, IssuedMS: issued.UnixMilli()}}
	timer := time.NewTimer(time.Duration(recordCheckFraction * float64(time.Until(c.deadline))))
	defer timer.Stop()
	for {
		select {
		case outcome := <-answer:
			if !outcome.answerLost && (outcome.err == nil || outcome.err.Code != result.CallInProgress) {
				return outcome.reply, outcome.err
			}
			if !outcome.answerLost {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, inProgressTimeout)
				defer cancel()
				resolver.claimed, resolver.inProgressErr = true, outcome.err
			}
			answer = nil
		case <-timer.C:
		case <-ctx.Done():
			if resolver.inProgressErr != nil {
				return nil, resolver.inProgressErr
			}
			return nil, c.outcomeUnknownError(ctx)
		}
		if reply, err, done := resolver.queryRecord(ctx); done {
			return reply, err
		}
		timer.Reset(recordPollInterval)
	}
}

// outcomeUnknownError returns the error of a call whose outcome is not known
// when ctx ends.
func (c *call) outcomeUnknownError(ctx context.Context) *result.Error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return endedError(ctx)
	}
	e := result.New(result.OutcomeUnknown, "no outcome before the deadline; the call may have run")
	if c.hasCallerKey {
		return e.After(failure.DefaultRetryAfter)
	}
	return e
}

// outcomeResolver determines the outcome of an unanswered attempt from the
// record of its key.
type outcomeResolver struct {
	module *Module
	call   *call
	args   wire.AbortArgs
	// claimed is set once the record shows that an agent has claimed the key. The
	// attempt can no longer be fenced then, so the record is only looked up.
	claimed bool
	// inProgressErr is set when another attempt holds the key. Its answer may be
	// about to be stored, so the record is polled for it.
	inProgressErr *result.Error
}

// queryRecord queries the record once: it fences the attempt, or looks the
// record up if an agent has claimed the key. It returns true when the outcome is
// certain.
func (s *outcomeResolver) queryRecord(ctx context.Context) (*wire.CallReply, *result.Error, bool) {
	if s.claimed {
		var r wire.LookupReply
		if err := s.module.control(ctx, "Lookup", &wire.LookupArgs{Key: s.args.Key}, &r); err != nil {
			return nil, nil, false
		}
		return s.interpretRecord(&r.Record)
	}
	var r wire.AbortReply
	if err := s.module.control(ctx, "Abort", &s.args, &r); err != nil {
		return nil, nil, false
	}
	// The attempt may also be fenced because an attempt of an earlier request
	// with the same key holds the record. The outcome of that attempt is then
	// the outcome of the key.
	if r.Aborted && r.Record.State != wire.RecordStarted && r.Record.State != wire.RecordFinished {
		return nil, result.New(result.UpstreamNotReachable, "the call did not reach the service").WithRan(result.NotRun), true
	}
	return s.interpretRecord(&r.Record)
}

// interpretRecord returns the outcome that a record shows, and whether it is
// certain.
func (s *outcomeResolver) interpretRecord(r *wire.Record) (*wire.CallReply, *result.Error, bool) {
	switch {
	case r.State == wire.RecordNone:
		return nil, nil, false
	case r.BodyHash != "" && r.BodyHash != s.call.bodyHash:
		return nil, result.New(result.KeyReused, "the Idempotency-Key was used with another request"), true
	case r.State == wire.RecordFinished:
		if malformed := checkStatus(r.Status); malformed != nil {
			return nil, malformed, true
		}
		return &wire.CallReply{Status: r.Status, Headers: r.Headers, Body: r.Body, Replayed: true}, nil, true
	case r.State == wire.RecordAborted && r.Attempt == s.args.Attempt:
		return nil, result.New(result.UpstreamNotReachable, "the call did not reach the service").WithRan(result.NotRun), true
	}
	s.claimed = r.State == wire.RecordStarted
	return nil, nil, false
}

// callIdempotent makes one attempt of an idempotent call, and a hedge when the
// attempt takes longer than the hedge delay.
func (m *Module) callIdempotent(ctx context.Context, c *call, p purpose, permit wire.ID) (*wire.CallReply, *result.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begun := time.Now()
	first, err := m.startAttempt(ctx, c, p, permit, wire.NewID(), begun)
	if err != nil {
		return nil, err
	}
	reply, err := m.awaitWithHedge(ctx, c, first, permit)
	// Failures may be much faster than answers, so their latency would make the
	// hedge delay too short.
	if p == firstAttempt && err == nil {
		m.owner.trySend(callLatency{c.service, time.Since(begun)})
	}
	return reply, err
}

// awaitWithHedge returns the first answer of an attempt and its hedge, or the
// last error if both fail. The error says that the call was not run only if that
// holds for both.
func (m *Module) awaitWithHedge(ctx context.Context, c *call, first <-chan callOutcome, permit wire.ID) (*wire.CallReply, *result.Error) {
	var second <-chan callOutcome
	hedge := m.hedgeTimer(c, permit)
	pending, ran := 1, result.NotRun
	for {
		var outcome callOutcome
		select {
		case outcome = <-first:
			first = nil
		case outcome = <-second:
			second = nil
		case <-hedge:
			if hedged, err := m.startAttempt(ctx, c, hedgeAttempt, permit, wire.NewID(), time.Now()); err == nil {
				second = hedged
				pending++
				m.metrics.hedges.Inc()
			}
			continue
		case <-ctx.Done():
			return nil, idempotentDeadlineError(ctx)
		}
		reply, err := outcome.finalAnswer(ctx)
		if err != nil && err.Ran == result.NotRun {
			err.Ran = ran
		}
		if pending--; err == nil || pending == 0 {
			return reply, err
		}
		ran = err.Ran
	}
}

// hedgeTimer returns a channel that fires when a hedge is due. A request that
// runs with a permit is not hedged, since a suspect may run only once at a time.
func (m *Module) hedgeTimer(c *call, permit wire.ID) <-chan time.Time {
	delay, ok := m.owner.current().hedgeDelay[c.service]
	if !ok || !c.hedge || permit != "" {
		return nil
	}
	return time.After(delay)
}

// finalAnswer returns the answer or error of an idempotent call.
func (a callOutcome) finalAnswer(ctx context.Context) (*wire.CallReply, *result.Error) {
	if a.err != nil && ctx.Err() != nil {
		return nil, idempotentDeadlineError(ctx)
	}
	if a.answerLost {
		return nil, result.Wrap(result.UpstreamFailed, a.err, "the answer was lost").WithRan(result.Unknown)
	}
	return a.reply, a.err
}

// idempotentDeadlineError returns the error of an idempotent call that has no
// answer when ctx ends.
func idempotentDeadlineError(ctx context.Context) *result.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlineExceeded, "no answer before the deadline").WithRan(result.Unknown)
	}
	return endedError(ctx)
}
