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
	// permitLimit is how long control is waited for. Without a permit the
	// suspect runs all the same; its agent still keeps it apart from others.
	permitLimit = 500 * time.Millisecond
	// busyLimit is how long a request waits for another probation of the same
	// fingerprint; startedBusyLimit holds for a generation that has started,
	// whose text would be lost.
	busyLimit        = time.Second
	startedBusyLimit = 10 * time.Second
	// permitPause separates two requests for a permit.
	permitPause = 100 * time.Millisecond
	// probationTokens is how many new tokens a suspect decodes in probation.
	probationTokens = 4
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

// permit asks for leave to run a suspect in probation. It is empty when no
// control instance answers.
func (m *Module) permit(ctx context.Context, r *request, busy time.Duration) (wire.ID, *result.Error) {
	end := time.Now().Add(busy)
	args := wire.PermitArgs{Fingerprint: r.fingerprint, Holder: m.instance.ID + "/" + r.id, Permit: wire.NewID()}
	for {
		id, err := m.askPermit(ctx, &args)
		switch {
		case err == nil:
			return id, nil
		case err.Code == result.ControlUnavailable:
			return "", nil
		case err.Code != result.SuspectBusy || ctx.Err() != nil || time.Now().After(end):
			return "", err
		}
		wait(ctx, permitPause)
	}
}

func (m *Module) askPermit(ctx context.Context, args *wire.PermitArgs) (wire.ID, *result.Error) {
	ctx, cancel := context.WithTimeout(ctx, permitLimit)
	defer cancel()
	var reply wire.PermitReply
	if err := m.control(ctx, "Permit", args, &reply); err != nil {
		return "", result.From(err)
	}
	return reply.Permit, nil
}

// givePermitBack tells control how far a suspect has come.
func (m *Module) givePermitBack(r *request, id wire.ID, passed, finished bool) {
	if id == "" {
		return
	}
	args := wire.PermitArgs{
		Fingerprint: r.fingerprint, Holder: m.instance.ID + "/" + r.id, Permit: id,
		Done: true, Passed: passed, Finished: finished,
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
func (m *Module) reportCrash(ctx context.Context, r *request, u *wire.Upstream) {
	args := wire.CrashArgs{
		Reporter: m.instance.ID, Upstream: u.ID, Incarnation: u.Incarnation,
		CrashNumber: wire.CrashOfAgent, Fingerprints: []string{r.fingerprint},
	}
	ctx, cancel := context.WithTimeout(ctx, controlTry)
	defer cancel()
	if err := m.control(ctx, "Crash", &args, &wire.CrashReply{}); err != nil {
		m.log.Warn("cannot report a crash", "upstream", u.ID, "error", err)
	}
}

// crashed tells whether a failure looks like a crash of the upstream.
func crashed(e *result.Error) bool {
	return e != nil && e.Code == result.UpstreamFailed && e.Ran == result.DidRun
}

// clear gets the permit that an attempt needs, if it needs one. A permit whose
// probation is not over is held on to unless the upstream crashed.
func (m *Module) clear(ctx context.Context, r *request, held wire.ID, cause *result.Error, started bool) (wire.ID, *result.Error) {
	if held != "" && !crashed(cause) {
		return held, nil
	}
	if !crashed(cause) && !m.suspected(r) {
		return "", nil
	}
	if started {
		return m.permit(ctx, r, startedBusyLimit)
	}
	return m.permit(ctx, r, busyLimit)
}
