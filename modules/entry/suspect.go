package entry

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// Patience with permits.
const (
	// permitTimeout bounds the wait for a permit while another run of the same
	// request is in probation, or its crash is being reported.
	permitTimeout = time.Second
	// startedPermitTimeout is the same for a generation that has started. It then
	// goes on beside the other run, since its text would be lost; output is due
	// again within 1.5 s of a silence.
	startedPermitTimeout = time.Second
	// permitPollInterval separates two requests for a permit.
	permitPollInterval = 50 * time.Millisecond
	// permitCallTimeout is how long control may give no answer before a suspect
	// runs without a permit.
	permitCallTimeout = 500 * time.Millisecond
	// agentGoneTimeout bounds the check whether an agent is gone. A process that
	// has ended refuses at once.
	agentGoneTimeout = 50 * time.Millisecond
)

// quarantineError returns the refusal of a quarantined request.
func (r *request) quarantineError() *result.Error {
	s, ok := r.snap.suspects[r.fingerprint]
	if !ok || !s.quarantined {
		return nil
	}
	if left := time.Until(s.until); left > 0 {
		return result.New(result.Quarantined, "the request has crashed upstreams").After(left)
	}
	return nil
}

// isSuspect tells whether the request may run only with a permit.
func (m *Module) isSuspect(r *request) bool {
	_, ok := m.owner.current().suspects[r.fingerprint]
	return ok
}

// requestPermit asks for leave to run a suspect.
func (m *Module) requestPermit(ctx context.Context, r *request, limit time.Duration) (wire.ID, *result.Error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
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

// permitOutcome tells how the use of a permit has ended.
type permitOutcome uint8

const (
	permitFailed    permitOutcome = iota // the run failed; a crash may be reported
	permitUnused                         // the run never began
	permitPassed                         // the run goes on after its probation
	permitSucceeded                      // the run has ended well
)

// releasePermit returns a permit.
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
			m.log.Warn("cannot give a permit back", "request_id", r.id, "error", err)
		}
	})
}

// agentGone tells whether the agent's process has ended: its address refuses
// a new connection. A silent or reset path alone is no crash.
func (m *Module) agentGone(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), agentGoneTimeout)
	defer cancel()
	c, err := m.security.Dial(ctx, addr)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// reportCrash tells control that a request was running when its agent ended.
// An agent that lives reports the crashes of its engine itself.
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
		m.log.Warn("cannot report a crash", "upstream", u.ID, "error", err)
	}
}

// looksLikeCrash tells whether a failure looks like a crash of the upstream, or like one that
// stopped answering.
func looksLikeCrash(e *result.Error) bool {
	return e != nil && (e.Code == result.UpstreamFailed || e.Code == result.UpstreamStalled) && e.Ran == result.DidRun
}

// attemptHistory is what an entry knows of a request itself: how many of its
// attempts ended in what looks like a crash, and whether it has started.
type attemptHistory struct {
	crashes int
	started bool
}

// ensurePermit gets the permit that an attempt needs, if it needs one. While control
// cannot be reached, a request whose first crash this is may go on, so that a
// control outage does not stop the resume of other requests; after a second
// crash it is more likely the cause. A started request whose permit another
// request with the same body holds goes on beside that one: callers may send
// equal bodies, and the agent still isolates each of them.
func (m *Module) ensurePermit(ctx context.Context, r *request, held wire.ID, cause *result.Error, s attemptHistory) (wire.ID, *result.Error) {
	if held != "" && !looksLikeCrash(cause) {
		return held, nil
	}
	if !looksLikeCrash(cause) && !refusedAsSuspect(cause) && !m.isSuspect(r) {
		return "", nil
	}
	limit := permitTimeout
	if s.started {
		limit = startedPermitTimeout
	}
	id, err := m.requestPermit(ctx, r, limit)
	if err != nil && err.Code == result.ControlUnavailable && s.crashes <= 1 {
		return wire.PermitUnavailable, nil
	}
	if err != nil && err.Code == result.SuspectBusy && s.started {
		return wire.PermitUnavailable, nil
	}
	return id, err
}

// refusedAsSuspect tells whether an agent refused the request since it knew of
// the suspicion before this entry.
func refusedAsSuspect(e *result.Error) bool { return e != nil && e.Code == result.SuspectBusy }
