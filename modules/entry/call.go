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
	"sync"

	"heatherway.dev/api/gen/services"
	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// callService implements the generated service services.
type callService struct{ m *Module }

// call is a request to a plain service.
type call struct {
	*request
	method     string
	path       string
	headers    []wire.Header
	body       []byte
	bodyHash   string
	idempotent bool
	// hasCallerKey is set when the caller sent an Idempotency-Key. It may then
	// safely repeat a request whose outcome is unknown.
	hasCallerKey bool
	hedge        bool

	// mu guards the fields below, which the goroutines of a hedged call share.
	mu             sync.Mutex
	attempts       int
	upstream       string
	triedUpstreams []string
	latest         assignment
	// refused is the attempt that the next one replaces, if its upstream has refused it.
	refused *assignment
}

// Call implements services.Service.
func (svc *callService) Call(ctx context.Context, p *services.CallPayload, body io.ReadCloser) (*services.CallResult, io.ReadCloser, error) {
	s := stateFrom(ctx)
	c, err := newCall(s, p, body)
	if err != nil {
		svc.m.recordRefusal(s, c.request, err)
		return nil, nil, servicesFailure(err, s.requestID)
	}
	reply, err := svc.m.serveCall(ctx, c)
	svc.m.recordFinished(c.request, c.summary(err))
	if err != nil {
		return nil, nil, servicesFailure(err, s.requestID)
	}
	return respond(s, reply)
}

func newCall(s *requestState, p *services.CallPayload, body io.Reader) (*call, *result.Error) {
	h := callerHeaders{key: p.IdempotencyKey, class: p.Class, deadlineMS: p.DeadlineMs}
	r, err := newRequest(s, h, config.Scope{Service: p.Service}, "service.timeout")
	if err != nil {
		return &call{request: r}, err
	}
	r.service = p.Service
	c := &call{request: r, method: s.r.Method, path: servicePath(s.r, p.Service), headers: forwardedHeaders(s.r.Header)}
	if c.body, err = s.readBody(body); err != nil {
		return c, err
	}
	c.bodyHash = hashCall(c)
	c.fingerprint = fingerprint(r.organisation, p.Service, []byte(c.bodyHash))
	c.idempotent = isIdempotent(s, p)
	c.hasCallerKey = c.key != ""
	if !c.hasCallerKey && !c.idempotent { // agents claim the key of a call that has one
		c.key = recordKey(r.organisation, "call-"+string(wire.NewID()))
	}
	c.hedge = s.snap.config.Bool("service.hedge", config.Scope{Service: p.Service}, s.receivedAt)
	return c, nil
}

// hashCall returns the hash that identifies a call's content, so that the reuse
// of a key for another call is detected.
func hashCall(c *call) string {
	h := sha256.New()
	for _, part := range []string{c.service, c.method, c.path} {
		io.WriteString(h, part)
		h.Write([]byte{0})
	}
	h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil))
}

// isIdempotent reports whether the call may run more than once: by the caller's
// header, by the method, or by the configuration of the service.
func isIdempotent(s *requestState, p *services.CallPayload) bool {
	if p.Repeat != nil {
		return *p.Repeat == "yes"
	}
	if s.r.Method == http.MethodGet || s.r.Method == http.MethodHead {
		return true
	}
	return s.snap.config.Bool("service.repeat", config.Scope{Service: p.Service}, s.receivedAt)
}

// servicePath returns the path below the service in its original escaping, with
// the query.
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

// forwardedHeaders returns the headers that are sent to a plain service: those
// that describe the body, extension headers of the caller, and the
// Idempotency-Key, for services that check it too. The Authorization header is
// not forwarded.
func forwardedHeaders(h http.Header) []wire.Header {
	var out []wire.Header
	for name, values := range h {
		if !isForwarded(name) {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Key: name, Value: v})
		}
	}
	return out
}

func isForwarded(name string) bool {
	switch name {
	case "Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match":
		return true
	}
	return strings.HasPrefix(name, "X-") && !strings.HasPrefix(name, "X-Heatherway-") && name != "X-Request-Id"
}

// respond returns the service's answer to the caller, with its status and
// headers but for those that concern the connection.
func respond(s *requestState, reply *wire.CallReply) (*services.CallResult, io.ReadCloser, error) {
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
	s.w.statusOverride = reply.Status
	return res, io.NopCloser(bytes.NewReader(reply.Body)), nil
}
