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
	// permitLimit bounds the wait for a permit; a suspect that runs elsewhere
	// may take minutes, so the caller is told to come back.
	permitLimit = time.Second
	// permitPause separates two requests for a permit.
	permitPause = 100 * time.Millisecond
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
func (m *Module) permit(ctx context.Context, r *request) (wire.ID, *result.Error) {
	ctx, cancel := context.WithTimeout(ctx, permitLimit)
	defer cancel()
	args := wire.PermitArgs{Fingerprint: r.fingerprint, Holder: m.instance.ID + "/" + r.id}
	for {
		var reply wire.PermitReply
		err := m.control(ctx, "Permit", &args, &reply)
		if err == nil {
			return reply.Permit, nil
		}
		e := result.From(err)
		if e.Code != result.SuspectBusy || ctx.Err() != nil {
			return "", e
		}
		wait(ctx, permitPause)
		if ctx.Err() != nil {
			return "", e
		}
	}
}

// giveBackPermit returns a permit. Finished clears the suspect.
func (m *Module) giveBackPermit(r *request, id wire.ID, finished bool) {
	if id == "" {
		return
	}
	args := wire.PermitArgs{Fingerprint: r.fingerprint, Holder: m.instance.ID + "/" + r.id, Permit: id, Done: true, Finished: finished}
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

// clear gets the permit that an attempt needs, if it needs one. While control
// cannot be reached, a request whose first crash this is may go on, so that a
// control outage does not stop the resume of other requests; after a second
// crash it is more likely the cause.
func (m *Module) clear(ctx context.Context, r *request, held wire.ID, cause *result.Error, crashes int) (wire.ID, *result.Error) {
	if held != "" && !crashed(cause) {
		return held, nil
	}
	if !crashed(cause) && !m.suspected(r) {
		return "", nil
	}
	id, err := m.permit(ctx, r)
	if err != nil && err.Code == result.ControlUnavailable && crashes == 1 {
		return "", nil
	}
	return id, err
}
