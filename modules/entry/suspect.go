package entry

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// Timing of permits and crash checks.
const (
	// permitTimeout bounds the wait for a permit while another run of the same
	// request is on probation or its crash is being reported.
	permitTimeout = time.Second
	// startedPermitTimeout is the same for a generation that has started. After
	// that it continues next to the other run, since its text would be lost
	// otherwise, and output must continue within 1.5 s of a silence.
	startedPermitTimeout = time.Second
	// permitPollInterval is the interval at which a permit is requested again.
	permitPollInterval = 50 * time.Millisecond
	// permitCallTimeout is how long the control instances may not answer before
	// a suspect runs without a permit.
	permitCallTimeout = 500 * time.Millisecond
	// agentGoneTimeout bounds the check whether an agent has ended. Connections
	// to an ended process are refused immediately.
	agentGoneTimeout = 50 * time.Millisecond
)

// quarantineError returns the error of a quarantined request, or nil.
func (r *request) quarantineError() *result.Error {
	s, ok := r.snap.suspects[r.fingerprint]
	if !ok || !s.quarantined {
		return nil
	}
	if remaining := time.Until(s.until); remaining > 0 {
		return result.New(result.Quarantined, "the request has crashed upstreams").After(remaining)
	}
	return nil
}

// isSuspect reports whether the request may run only with a permit.
func (m *Module) isSuspect(r *request) bool {
	_, ok := m.owner.current().suspects[r.fingerprint]
	return ok
}

// requestPermit requests a permit to run a suspect. While another run holds it,
// the request is repeated until the timeout has passed.
func (m *Module) requestPermit(ctx context.Context, r *request, timeout time.Duration) (wire.ID, *result.Error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	args := wire.PermitArgs{Fingerprint: r.fingerprint, Holder: m.instance.ID + "/" + r.id, Permit: wire.NewID()}
	for {
		id, err := m.tryPermit(ctx, &args)
		if err == nil || err.Code != result.SuspectBusy {
			return id, err
		}
		sleep(ctx, permitPollInterval)
		if ctx.Err() != nil {
			return "", err
		}
	}
}

// tryPermit requests a permit once.
func (m *Module) tryPermit(ctx context.Context, args *wire.PermitArgs) (wire.ID, *result.Error) {
	ctx, cancel := context.WithTimeout(ctx, permitCallTimeout)
	defer cancel()
	var reply wire.PermitReply
	err := m.control(ctx, "Permit", args, &reply)
	if err == nil {
		return reply.Permit, nil
	}
	if ctx.Err() != nil {
		return "", result.Wrap(result.ControlUnavailable, err, "no control instance gave a permit").WithRan(result.NotRun)
	}
	return "", result.From(err)
}

// permitOutcome is the outcome of a run with a permit.
type permitOutcome uint8

const (
	permitFailed    permitOutcome = iota // the run failed; a crash may be reported
	permitUnused                         // the run never started
	permitPassed                         // the run passed its probation and continues
	permitSucceeded                      // the run completed
)

// releasePermit returns a permit to the control instances without waiting for
// their answer.
func (m *Module) releasePermit(r *request, id wire.ID, end permitOutcome) {
	if id == "" || id == wire.PermitUnavailable {
		return
	}
	args := wire.PermitArgs{
		Fingerprint: r.fingerprint, Holder: m.instance.ID + "/" + r.id, Permit: id, Done: true,
		Finished: end == permitSucceeded, NotRun: end == permitUnused, Passed: end == permitPassed,
	}
	m.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), controlCallTimeout)
		defer cancel()
		if err := m.control(ctx, "Permit", &args, &wire.PermitReply{}); err != nil {
			m.log.Warn("cannot release a permit", "request_id", r.id, "error", err)
		}
	})
}

// agentGone reports whether the agent's process has ended, that is, whether its
// address refuses a new connection. A connection that is silent or was reset
// does not show a crash.
func (m *Module) agentGone(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), agentGoneTimeout)
	defer cancel()
	c, err := m.security.Dial(ctx, addr)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// reportCrash reports to the control instances that a request was running when
// its agent ended. A running agent reports crashes of its engine itself.
func (m *Module) reportCrash(ctx context.Context, r *request, u *wire.Upstream, probation bool) {
	args := wire.CrashArgs{
		Reporter: m.instance.ID, Upstream: u.ID, Incarnation: u.Incarnation,
		CrashNumber: wire.AgentCrashNumber, Fingerprints: []string{r.fingerprint},
	}
	if probation {
		args.Probation = r.fingerprint
	}
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	if err := m.control(ctx, "Crash", &args, &wire.CrashReply{}); err != nil {
		m.log.Warn("cannot report the crash of an agent", "upstream", u.ID, "error", err)
	}
}

// looksLikeCrash reports whether a failure looks as if the upstream crashed or
// stopped answering.
func looksLikeCrash(err *result.Error) bool {
	return err != nil && (err.Code == result.UpstreamFailed || err.Code == result.UpstreamStalled) && err.Ran == result.DidRun
}

// attemptHistory is what an entry itself has observed of a request: the number
// of its attempts that ended in what looks like a crash, and whether it has
// started.
type attemptHistory struct {
	crashes int
	started bool
}

// ensurePermit returns the permit that an attempt needs, or "" if it needs none.
// While no control instance can be reached, a request with at most one crash may
// continue without a permit, so that an outage of the control instances does not
// prevent the resume of requests that other requests' crashes have interrupted;
// after a second crash the request is more likely the cause. A started request
// also continues if another request with the same body holds the permit: callers
// may send equal bodies, and the agent still isolates each of them.
func (m *Module) ensurePermit(ctx context.Context, r *request, held wire.ID, cause *result.Error, history attemptHistory) (wire.ID, *result.Error) {
	if held != "" && !looksLikeCrash(cause) {
		return held, nil
	}
	if !looksLikeCrash(cause) && !refusedAsSuspect(cause) && !m.isSuspect(r) {
		return "", nil
	}
	timeout := permitTimeout
	if history.started {
		timeout = startedPermitTimeout
	}
	id, err := m.requestPermit(ctx, r, timeout)
	if err != nil && err.Code == result.ControlUnavailable && history.crashes <= 1 {
		return wire.PermitUnavailable, nil
	}
	if err != nil && err.Code == result.SuspectBusy && history.started {
		return wire.PermitUnavailable, nil
	}
	return id, err
}

// refusedAsSuspect reports whether an agent refused the request because it
// learned before this entry that the request is a suspect.
func refusedAsSuspect(err *result.Error) bool { return err != nil && err.Code == result.SuspectBusy }
