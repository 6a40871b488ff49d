package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"heatherway.dev/api/admin/gen/administration"
	"heatherway.dev/api/admin/gen/http/administration/server"
	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/failure"
	"heatherway.dev/heatherway/internal/httpconn"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// maxBodyBytes is the largest request body in bytes. It fits a change with the maximum of
// 500 edits, with texts of 1 KiB each.
const maxBodyBytes = 2 << 20

// state is the state of an HTTP request.
type state struct {
	requestID   string
	certificate string
	m           *Module
	r           *http.Request
	w           http.ResponseWriter
	// audited is set once control has answered a call for which it writes the audit
	// line itself.
	audited bool
}

type stateKey struct{}

// stateOf returns the state of the request that ctx belongs to.
func stateOf(ctx context.Context) *state {
	s, _ := ctx.Value(stateKey{}).(*state)
	return s
}

// handler returns the HTTP handler of the administration API.
func (m *Module) handler() http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := administration.NewEndpoints(&service{m})
	srv := server.New(endpoints, mux, newDecoder, newEncoder, m.logEncodeError, formatError)
	srv.Mount(mux)
	// The generated muxer answers unknown routes in a format of its own, so they are
	// detected before a request reaches it.
	routes := http.NewServeMux()
	for _, p := range srv.Mounts {
		routes.Handle(p.Verb+" "+p.Pattern, mux)
	}
	h := failure.WithRecovery(m.log, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.serveOperator(routes, w, r) }))
	return httpconn.CloseWhen(m.stopping.Load, h)
}

// serveOperator authorizes a request and passes it to the handler of its route.
func (m *Module) serveOperator(routes *http.ServeMux, w http.ResponseWriter, r *http.Request) {
	s := &state{requestID: string(wire.NewID()), certificate: peer.CommonName(r.TLS), m: m, r: r, w: w}
	if err := m.authorize(r); err != nil {
		failure.Write(w, err, s.requestID)
		return
	}
	h, pattern := routes.Handler(r)
	if pattern == "" {
		failure.Write(w, result.New(result.RouteUnknown, "no route %s %s", r.Method, r.URL.Path), s.requestID)
		return
	}
	h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), stateKey{}, s)))
}

// decoder decodes a JSON body of up to maxBodyBytes bytes. It refuses unknown fields, so
// that a misspelt field of a change is not silently ignored.
type decoder struct{ r *http.Request }

func newDecoder(r *http.Request) goahttp.Decoder { return decoder{r} }

// Decode implements goahttp.Decoder.
func (d decoder) Decode(v any) error {
	body := &io.LimitedReader{R: d.r.Body, N: maxBodyBytes + 1}
	j := json.NewDecoder(body)
	j.DisallowUnknownFields()
	err := j.Decode(v)
	if body.N <= 0 {
		e := result.New(result.BodyTooLarge, "the body exceeds %d bytes", maxBodyBytes)
		return goa.NewServiceError(e, e.Code.String(), false, false, false)
	}
	return err
}

func newEncoder(ctx context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", stateOf(ctx).requestID)
	return json.NewEncoder(w)
}

func (m *Module) logEncodeError(ctx context.Context, _ http.ResponseWriter, err error) {
	m.log.Debug("cannot write the answer", "request_id", stateOf(ctx).requestID, "error", err)
}

// formatError converts an error to the JSON format that the API for callers uses,
// and writes the audit line unless control has written it.
func formatError(ctx context.Context, err error) goahttp.Statuser {
	s := stateOf(ctx)
	e := failure.FromDecodeError(err, nil)
	if s.r.Method != http.MethodGet && !s.audited {
		s.m.auditRefusal(e, s.r)
	}
	f := failure.New(e, s.requestID)
	if seconds := failure.RetryAfterHeader(&f.Problem); seconds != nil {
		s.w.Header().Set("Retry-After", strconv.FormatInt(*seconds, 10))
	}
	return f
}

// call forwards a call to a control instance, starting with the one that answered
// last. If an instance doesn't answer, the next one is tried, since every call may be
// repeated safely.
func call[R any](ctx context.Context, m *Module, method string, args any) (R, error) {
	var lastErr error
	first := int(m.lastAnswered.Load())
	for i := range m.clients {
		index := (first + i) % len(m.clients)
		r, err := callOne[R](ctx, m.clients[index], method, args)
		var answered *result.Error
		if err == nil || errors.As(err, &answered) {
			m.lastAnswered.Store(int32(index))
			stateOf(ctx).audited = auditedByControl[method]
			return r, err
		}
		lastErr = err
	}
	var zero R
	return zero, result.Wrap(result.ControlUnavailable, lastErr, "no control instance answers")
}

// auditedByControl lists the methods for which control writes an audit line.
var auditedByControl = map[string]bool{"Change": true, "Drain": true, "Lift": true, "IssueOrder": true, "ReplaceMember": true}

// callOne makes a call to one control instance within callTimeout.
func callOne[R any](ctx context.Context, c *peer.Client, method string, args any) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r R
	err := c.Call(ctx, wire.AdminProxyService+"."+method, args, &r)
	return r, err
}
