package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"heatherway.dev/api/gen/services"
	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"

	"github.com/go-faster/errors"
)

// callService implements the generated service services.
type callService struct{ m *Module }

// call is one call of a plain service.
type call struct {
	*request
	method     string
	path       string
	headers    []wire.Header
	body       []byte
	bodyHash   string
	idempotent bool
	attempts   int
	upstream   string
}

// Call implements services.Service.
func (c *callService) Call(ctx context.Context, p *services.CallPayload, body io.ReadCloser) (*services.CallResult, io.ReadCloser, error) {
	s := stateOf(ctx)
	k, err := newCall(s, p, body)
	if err == nil {
		err = c.m.admit(ctx, k.request)
	}
	if err != nil {
		var r *request
		if k != nil {
			r = k.request
		}
		c.m.refuse(s, r, err)
		return nil, nil, servicesFailure(err, s.requestID)
	}
	ctx, cancel := context.WithDeadline(ctx, k.deadline)
	defer cancel()
	reply, err := c.m.run(ctx, k)
	c.m.finish(k.request, summary{upstream: k.upstream, attempts: k.attempts, err: err})
	if err != nil {
		return nil, nil, servicesFailure(err, s.requestID)
	}
	return respond(s, reply)
}

func newCall(s *state, p *services.CallPayload, body io.Reader) (*call, *result.Error) {
	h := callerHeaders{key: p.IdempotencyKey, class: p.Class, deadlineMS: p.DeadlineMs}
	r, err := newRequest(s, h, config.Scope{Service: p.Service}, "service.timeout")
	if err != nil {
		return nil, err
	}
	r.service = p.Service
	k := &call{request: r, method: s.r.Method, path: servicePath(s.r, p.Service), headers: forwarded(s.r.Header)}
	if k.body, err = s.read(body); err != nil {
		return k, err
	}
	sum := sha256.Sum256(append([]byte(k.method+" "+k.path+"\n"), k.body...))
	k.bodyHash = hex.EncodeToString(sum[:])
	k.fingerprint = fingerprint(r.organisation, p.Service, []byte(k.bodyHash))
	k.idempotent = repeatable(s, p)
	return k, nil
}

// repeatable tells whether the call may run more than once.
func repeatable(s *state, p *services.CallPayload) bool {
	if p.Repeat != nil {
		return *p.Repeat == "yes"
	}
	if s.r.Method == http.MethodGet || s.r.Method == http.MethodHead {
		return true
	}
	return s.snap.doc.Bool("service.repeat", config.Scope{Service: p.Service}, s.begun)
}

// servicePath returns the path below the service, as sent, with its query.
func servicePath(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix)
	if _, rest, ok := strings.Cut(path, "/"); ok {
		path = "/" + rest
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// forwarded returns the headers that a plain service gets: those that describe
// the body, and the caller's own extensions. Keys are not passed on.
func forwarded(h http.Header) []wire.Header {
	var out []wire.Header
	for name, values := range h {
		if !passesOn(name) {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Key: name, Value: v})
		}
	}
	return out
}

func passesOn(name string) bool {
	switch name {
	case "Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match":
		return true
	}
	return strings.HasPrefix(name, "X-") && !strings.HasPrefix(name, "X-Heatherway-") && name != "X-Request-Id"
}

// run executes the call.
func (m *Module) run(ctx context.Context, k *call) (*wire.CallReply, *result.Error) {
	u, err := m.choose(k.request, nil)
	if err != nil {
		return nil, err
	}
	return m.callOnce(ctx, k, u, wire.NewID())
}

// callOnce sends the call to one agent.
func (m *Module) callOnce(ctx context.Context, k *call, u *upstream, attempt wire.ID) (*wire.CallReply, *result.Error) {
	now := time.Now()
	k.attempts++
	k.upstream = u.ID
	args := &wire.CallArgs{
		RequestID: k.id, Organisation: k.organisation, Class: k.class, Weight: k.weight,
		Service: k.service, Method: k.method, Path: k.path, Headers: k.headers, Body: k.body,
		Attempt: attempt, IssuedMS: now.UnixMilli(), DeadlineMS: k.left(now), Idempotent: k.idempotent,
		Key: k.key, BodyHash: k.bodyHash, Fingerprint: k.fingerprint, Revision: k.snap.revision(),
	}
	m.owner.send(event{kind: eventSent, upstream: u.ID})
	defer m.owner.send(event{kind: eventDone, upstream: u.ID})
	var reply wire.CallReply
	err := m.agents.client(u.Addr).Call(ctx, wire.AgentService+".Call", args, &reply)
	if err != nil {
		return nil, callError(err)
	}
	m.owner.send(event{kind: eventLoad, upstream: u.ID, load: reply.Load})
	m.owner.seen(reply.Revision)
	return &reply, nil
}

// callError gives a failed call its result: not run when no connection was
// made, the agent's own result, or unknown.
func callError(err error) *result.Error {
	var known *result.Error
	switch {
	case errors.Is(err, peer.ErrUnreachable):
		return result.Wrap(result.UpstreamNotReachable, err, "no connection to the agent")
	case errors.As(err, &known):
		return known
	case errors.Is(err, context.DeadlineExceeded):
		return result.Wrap(result.DeadlineExceeded, err, "no answer before the deadline").WithRan(result.Unknown)
	default:
		return result.Wrap(result.OutcomeUnknown, err, "the answer was lost")
	}
}

// respond passes the answer of the service on, with its own status.
func respond(s *state, reply *wire.CallReply) (*services.CallResult, io.ReadCloser, error) {
	res := &services.CallResult{Status: strconv.Itoa(reply.Status), ContentType: "application/octet-stream", RequestID: s.requestID}
	for _, h := range reply.Headers {
		switch name := textproto.CanonicalMIMEHeaderKey(h.Key); name {
		case "Content-Type":
			res.ContentType = h.Value
		case "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive", "Upgrade", "Trailer", "X-Request-Id":
		default:
			s.w.Header().Add(name, h.Value)
		}
	}
	if reply.Replayed {
		yes := "true"
		res.Replayed = &yes
	}
	if reply.Status >= http.StatusOK && reply.Status <= 599 {
		s.w.status = reply.Status
	}
	return res, io.NopCloser(bytes.NewReader(reply.Body)), nil
}
