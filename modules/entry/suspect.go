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
	// permitLimit bounds the wait for a permit while another run of the same
	// request is in probation, or its crash is being reported.
	permitLimit = time.Second
	// startedPermitLimit is the same for a generation that has started. It then
	// goes on beside the other run, since its text would be lost; output is due
	// again within 1.5 s of a silence.
	startedPermitLimit = time.Second
	// permitPause separates two requests for a permit.
	permitPause = 50 * time.Millisecond
	// unreachableLimit is how long control may give no answer before a suspect
	// runs without a permit.
	unreachableLimit = 500 * time.Millisecond
	// gonePatience bounds the check whether an agent is gone. A process that
	// has ended refuses at once.
	gonePatience = 50 * time.Millisecond
)

// quarantined returns the refusal of a quarantined request.
func (r *request) quarantined() *result.Error {
	s, ok := r.snap.suspects[r.fingerprint]
	if !ok || !s.quarantined {
		return nil
	}
	if left := time.Until(s.until); left > 0 {
		return result.New(result.Quarantined, "the request has crashed upstreams").After(left)
	}
	return nil
}

// suspected tells whether the request may run only with a permit.
func (m *Module) suspected(r *request) bool {
	_, ok := m.owner.current().suspects[r.fingerprint]
	return ok
}

// permit asks for leave to run a suspect.
func (m *Module) permit(ctx context.Context, r *request, limit time.Duration) (wire.ID, *result.Error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	args := wire.PermitArgs{Fingerprint: r.fingerprint, Holder: m.instance.ID + "/" + r.id, Permit: wire.NewID()}
	for {
		id, err := m.askPermit(ctx, &args)
		if err == nil || err.Code != result.SuspectBusy {
			return id, err
		}
		wait(ctx, permitPause)
		if ctx.Err() != nil {
			return "", err
		}
	}
}

func (m *Module) askPermit(ctx context.Context, args *wire.PermitArgs) (wire.ID, *result.Error) {
	ctx, cancel := context.WithTimeout(ctx, unreachableLimit)
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

// permitEnd tells how the use of a permit has ended.
type permitEnd uint8

const (
	permitLost     permitEnd = iota // the run failed; a crash may be reported
	permitUnused                    // the run never began
	permitPassed                    // the run goes on after its probation
	permitFinished                  // the run has ended well
)

// giveBackPermit returns a permit.
func (m *Module) giveBackPermit(r *request, id wire.ID, end permitEnd) {
	if id == "" || id == wire.PermitUnavailable {
		return
	}
	args := wire.PermitArgs{
		Fingerprint: r.fingerprint, Holder: m.instance.ID + "/" + r.id, Permit: id, Done: true,
		Finished: end == permitFinished, NotRun: end == permitUnused, Passed: end == permitPassed,
	}
	m.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), controlTry)
		defer cancel()
		if err := m.control(ctx, "Permit", &args, &wire.PermitReply{}); err != nil {
			m.log.Warn("cannot give a permit back", "request_id", r.id, "error", err)
		}
	})
}

// agentGone tells whether the agent's process has ended: its address refuses
// a new connection. A silent or reset path alone is no crash.
func (m *Module) agentGone(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), gonePatience)
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
	ctx, cancel := context.WithTimeout(ctx, controlTry)
	defer cancel()
	if err := m.control(ctx, "Crash", &args, &wire.CrashReply{}); err != nil {
		m.log.Warn("cannot report a crash", "upstream", u.ID, "error", err)
	}
}

// crashed tells whether a failure looks like a crash of the upstream, or like one that
// stopped answering.
func crashed(e *result.Error) bool {
	return e != nil && (e.Code == result.UpstreamFailed || e.Code == result.UpstreamStalled) && e.Ran == result.DidRun
}

// suspicion is what an entry knows of a request itself: how many of its
// attempts ended in what looks like a crash, and whether it has started.
type suspicion struct {
	crashes int
	started bool
}

// clear gets the permit that an attempt needs, if it needs one. While control
// cannot be reached, a request whose first crash this is may go on, so that a
// control outage does not stop the resume of other requests; after a second
// crash it is more likely the cause. A started request whose permit another
// request with the same body holds goes on beside that one: callers may send
// equal bodies, and the agent still isolates each of them.
func (m *Module) clear(ctx context.Context, r *request, held wire.ID, cause *result.Error, s suspicion) (wire.ID, *result.Error) {
	if held != "" && !crashed(cause) {
		return held, nil
	}
	if !crashed(cause) && !suspectedByAgent(cause) && !m.suspected(r) {
		return "", nil
	}
	limit := permitLimit
	if s.started {
		limit = startedPermitLimit
	}
	id, err := m.permit(ctx, r, limit)
	if err != nil && err.Code == result.ControlUnavailable && s.crashes <= 1 {
		return wire.PermitUnavailable, nil
	}
	if err != nil && err.Code == result.SuspectBusy && s.started {
		return wire.PermitUnavailable, nil
	}
	return id, err
}

// suspectedByAgent tells whether an agent refused the request since it knew of
// the suspicion before this entry.
func suspectedByAgent(e *result.Error) bool { return e != nil && e.Code == result.SuspectBusy }
