package registry

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/internal/failure"
	"heatherway.dev/heatherway/modules/control/replica"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

const (
	// maxConfigurationBytes is the largest entry of the replicated log.
	maxConfigurationBytes = 4 << 20
	// maxAnnouncementBytes bounds the announcement of an upstream.
	maxAnnouncementBytes = 64 << 10
	// operatorTimeout bounds a call of an operator or an upstream, which tries another
	// instance after a second.
	operatorTimeout = 900 * time.Millisecond
)

func (r *Registry) operatorMux() http.Handler {
	calls := r.dialect.Endpoints()
	mux := http.NewServeMux()
	mux.HandleFunc(calls.ReplaceConfiguration, r.replaceConfiguration)
	mux.HandleFunc(calls.ReadConfiguration, r.readConfiguration)
	mux.HandleFunc(calls.Announce, r.announce)
	mux.HandleFunc(calls.Deregister, r.deregister)
	r.handleRollouts(mux)
	return failure.WithRecovery(r.log, mux)
}

// maxLoggedBytes bounds a text of a caller in a log line. A path may have maxHeaderBytes,
// and decoding errors quote numbers of any length.
const maxLoggedBytes = 256

// clip returns the beginning of a text.
func clip(text string) string {
	if len(text) <= maxLoggedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxLoggedBytes], "") + "..."
}

// writeError responds with the result code of an error and logs it.
func (r *Registry) writeError(w http.ResponseWriter, q *http.Request, err error) {
	e := result.From(err)
	r.log.Warn("call refused", "method", q.Method, "path", clip(q.URL.Path), "from", q.RemoteAddr,
		"code", int(e.Code), "status", e.Code.Info().HTTP, "error", clip(err.Error()))
	failure.Write(w, e, "")
}

// readBody reads a request body of at most limit bytes.
func readBody(w http.ResponseWriter, q *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.New(result.BodyTooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, result.Wrap(result.MalformedBody, err, "body not read")
	}
	return body, nil
}

func (r *Registry) replaceConfiguration(w http.ResponseWriter, q *http.Request) {
	body, err := readBody(w, q, maxConfigurationBytes)
	if err != nil {
		r.writeError(w, q, err)
		return
	}
	c, err := r.dialect.Configuration(body)
	if err == nil {
		err = c.Validate()
	}
	if err != nil {
		r.writeError(w, q, result.Wrap(result.InvalidField, err, "invalid configuration"))
		return
	}
	ctx, cancel := context.WithTimeout(q.Context(), operatorTimeout)
	defer cancel()
	current, err := r.replace(ctx, c.Version, body)
	if err != nil {
		r.writeError(w, q, err)
		return
	}
	r.log.Info("configuration acknowledged", "version", c.Version, "in_force", current, "from", q.RemoteAddr)
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}")
}

// replace proposes a configuration and returns the version in force afterwards. A version that
// is not higher than the one in force has no effect.
func (r *Registry) replace(ctx context.Context, version uint64, body []byte) (uint64, error) {
	if current := r.configuration.current().version; version <= current {
		return current, nil
	}
	if r.answersThroughMembers() {
		return r.replaceThroughMember(ctx, version, body)
	}
	return r.replaceAtLeader(ctx, version, body)
}

// replaceAtLeader is replace on this instance or on the leader that it knows. Calls of other
// instances come here, so that instances without a log do not pass them back and forth.
func (r *Registry) replaceAtLeader(ctx context.Context, version uint64, body []byte) (uint64, error) {
	if current := r.configuration.current().version; version <= current {
		return current, nil
	}
	return r.callLeader(ctx, func(ctx context.Context) (uint64, error) {
		return r.propose(ctx, version, body)
	}, func(ctx context.Context, addr string) (uint64, error) {
		var reply ReplaceReply
		if err := r.clients.To(addr).Call(ctx, ServiceName+".Replace", &ReplaceArgs{Version: version, Body: body}, &reply); err != nil {
			return 0, err // a late answer may still be written to reply
		}
		return reply.Version, nil
	})
}

// leaderRetryDelay is the delay before a call is retried while a leader is being
// elected.
const leaderRetryDelay = 50 * time.Millisecond

// callLeader runs a call on the leader and retries it until it succeeds or ctx ends.
// The calls are idempotent: a version is applied only once.
func (r *Registry) callLeader(ctx context.Context, local func(context.Context) (uint64, error), remote func(context.Context, string) (uint64, error)) (uint64, error) {
	return r.callLeaderOf(ctx, group, local, remote)
}

// callLeaderOf is callLeader for any group.
func (r *Registry) callLeaderOf(ctx context.Context, id replica.Group, local func(context.Context) (uint64, error), remote func(context.Context, string) (uint64, error)) (uint64, error) {
	for {
		v, err := r.tryLeaderOf(ctx, id, local, remote)
		if err == nil {
			return v, nil
		}
		select {
		case <-time.After(leaderRetryDelay):
		case <-ctx.Done():
			return 0, result.New(result.ControlUnavailable, "no answer from the leader in time: %v", err)
		}
	}
}

// tryLeader runs a call on the leader of the configuration once: local if this instance leads,
// else remote.
func (r *Registry) tryLeader(ctx context.Context, local func(context.Context) (uint64, error), remote func(context.Context, string) (uint64, error)) (uint64, error) {
	return r.tryLeaderOf(ctx, group, local, remote)
}

// tryLeaderOf is tryLeader for any group.
func (r *Registry) tryLeaderOf(ctx context.Context, id replica.Group, local func(context.Context) (uint64, error), remote func(context.Context, string) (uint64, error)) (uint64, error) {
	rep := r.currentReplica()
	if rep == nil {
		return 0, result.New(result.ControlUnavailable, "the log of this instance is closed").WithRan(result.NotRun)
	}
	lead := rep.Leader(id)
	switch {
	case lead.Self:
		return local(ctx)
	case lead.Addr == "":
		return 0, result.New(result.ControlUnavailable, "no leader is known").WithRan(result.NotRun)
	default:
		index, err := remote(ctx, lead.Addr)
		if errors.Is(err, peer.ErrUnreachable) {
			err = result.Wrap(result.ControlUnavailable, err, "the leader "+lead.Addr).WithRan(result.NotRun)
		}
		return index, err
	}
}

func (r *Registry) propose(ctx context.Context, version uint64, body []byte) (uint64, error) {
	rep := r.currentReplica()
	if rep == nil {
		return 0, result.New(result.ControlUnavailable, "the log of this instance is closed")
	}
	if current := r.configuration.current().version; version <= current {
		return current, nil
	}
	if _, _, err := rep.Propose(ctx, group, encodeRevision(version, body)); err != nil {
		return 0, err
	}
	return r.configuration.current().version, nil
}

// confirm returns the version in force, confirmed by a majority after the call started.
func (r *Registry) confirm(ctx context.Context) (uint64, error) {
	return r.callLeader(ctx, r.confirmLocally, func(ctx context.Context, addr string) (uint64, error) {
		var reply ConfirmReply
		if err := r.clients.To(addr).Call(ctx, ServiceName+".Confirm", &ConfirmArgs{}, &reply); err != nil {
			return 0, err // a late answer may still be written to reply
		}
		return reply.Version, nil
	})
}

func (r *Registry) confirmLocally(ctx context.Context) (uint64, error) {
	rep := r.currentReplica()
	if rep == nil {
		return 0, result.New(result.ControlUnavailable, "the log of this instance is closed")
	}
	if _, err := rep.ReadIndex(ctx, group); err != nil {
		return 0, err
	}
	return r.configuration.current().version, nil
}

// catchUpPollInterval is the time between checks whether this instance has applied
// a version that the leader has confirmed.
const catchUpPollInterval = 10 * time.Millisecond

// memberCallTimeout bounds a call to one member, so that another member can be tried
// before operatorTimeout.
const memberCallTimeout = 400 * time.Millisecond

// callMember calls the members in random order until one call succeeds. Each call has a reply of its own, since a late
// answer to a call that has timed out may still be written to its reply.
func callMember[Reply any](ctx context.Context, r *Registry, method string, args any) (*Reply, error) {
	err := error(result.New(result.ControlUnavailable, "no member of the log is known"))
	members := r.otherMembers()
	for _, i := range rand.Perm(len(members)) {
		callCtx, cancel := context.WithTimeout(ctx, memberCallTimeout)
		reply := new(Reply)
		err = r.clients.To(members[i]).Call(callCtx, ServiceName+"."+method, args, reply)
		cancel()
		if err == nil {
			return reply, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, result.Wrap(result.ControlUnavailable, err, "no member of the log has answered")
}

func (r *Registry) replaceThroughMember(ctx context.Context, version uint64, body []byte) (uint64, error) {
	reply, err := callMember[ReplaceReply](ctx, r, "Replace", &ReplaceArgs{Version: version, Body: body, Forward: true})
	if err != nil {
		return 0, err
	}
	return reply.Version, nil
}

// confirmedVersion returns the version in force, confirmed after the call started.
// Concurrent calls share a confirmation. It retries until ctx ends.
func (r *Registry) confirmedVersion(ctx context.Context) (uint64, error) {
	for {
		version, err := r.confirmations.confirm(ctx)
		switch {
		case err == nil:
			return version, nil
		case ctx.Err() != nil || r.ctx.Err() != nil:
			return 0, result.New(result.ControlUnavailable, "no confirmation in time: %v", err)
		}
	}
}

// confirmOnce makes one confirmation for all merged calls.
func (r *Registry) confirmOnce() (uint64, error) {
	ctx, cancel := context.WithTimeout(r.ctx, confirmTimeout)
	defer cancel()
	return r.confirm(ctx)
}

// readCurrent returns the configuration in force, at least as new as at the start of the
// call.
func (r *Registry) readCurrent(ctx context.Context) (*revision, error) {
	if r.answersThroughMembers() {
		reply, err := callMember[ReadReply](ctx, r, "Read", &ReadArgs{})
		if err != nil {
			return nil, err
		}
		return &revision{reply.Version, reply.Body}, nil
	}
	return r.readLocal(ctx)
}

// readLocal is readCurrent by the log of this instance.
func (r *Registry) readLocal(ctx context.Context) (*revision, error) {
	version, err := r.confirmedVersion(ctx)
	if err != nil {
		return nil, err
	}
	for {
		if current := r.configuration.current(); current.version >= version {
			return current, nil
		}
		select {
		case <-time.After(catchUpPollInterval):
		case <-ctx.Done():
			return nil, result.New(result.ConfigurationBehind, "version %d is not here yet", version)
		}
	}
}

func (r *Registry) readConfiguration(w http.ResponseWriter, q *http.Request) {
	ctx, cancel := context.WithTimeout(q.Context(), operatorTimeout)
	defer cancel()
	current, err := r.readCurrent(ctx)
	if err != nil {
		r.writeError(w, q, err)
		return
	}
	if current.version == 0 {
		r.writeError(w, q, result.New(result.ControlUnavailable, "there is no configuration yet"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(current.body)
}

func (r *Registry) announce(w http.ResponseWriter, q *http.Request) {
	body, err := readBody(w, q, maxAnnouncementBytes)
	if err != nil {
		r.writeError(w, q, err)
		return
	}
	u, err := r.dialect.Announcement(q.PathValue("id"), body)
	r.acceptAnnouncement(w, q, u, err)
}

func (r *Registry) deregister(w http.ResponseWriter, q *http.Request) {
	body, err := readBody(w, q, maxAnnouncementBytes)
	if err != nil {
		r.writeError(w, q, err)
		return
	}
	u, err := r.dialect.Departure(q.PathValue("id"), body)
	r.acceptAnnouncement(w, q, u, err)
}

func (r *Registry) acceptAnnouncement(w http.ResponseWriter, q *http.Request, u registration.Upstream, err error) {
	if err != nil {
		r.writeError(w, q, result.Wrap(result.InvalidField, err, "the upstream is not taken in"))
		return
	}
	ctx, cancel := context.WithTimeout(q.Context(), operatorTimeout)
	defer cancel()
	if err := r.directory.observeAnnouncement(ctx, u); err != nil {
		r.writeError(w, q, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}")
}
