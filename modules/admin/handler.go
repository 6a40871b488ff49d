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
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// maxBody is the largest request body in bytes. The 500 edits of a change fit,
// with texts of 1 KiB each.
const maxBody = 2 << 20

// state belongs to one HTTP request.
type state struct {
	requestID   string
	certificate string
	m           *Module
	r           *http.Request
	w           http.ResponseWriter
	// decided is set once control has answered, and so has written the audit
	// line of a change.
	decided bool
}

type stateKey struct{}

func stateOf(ctx context.Context) *state {
	s, _ := ctx.Value(stateKey{}).(*state)
	return s
}

// handler returns the administration API.
func (m *Module) handler() http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := administration.NewEndpoints(&service{m})
	srv := server.New(endpoints, mux, newDecoder, newEncoder, m.encodeFailed, formatError)
	srv.Mount(mux)
	// The muxer answers unknown routes in a form of its own, so they are found
	// before it.
	known := http.NewServeMux()
	for _, p := range srv.Mounts {
		known.Handle(p.Verb+" "+p.Pattern, mux)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.serveOperator(known, w, r) })
}

func (m *Module) serveOperator(known *http.ServeMux, w http.ResponseWriter, r *http.Request) {
	s := &state{requestID: string(wire.NewID()), certificate: peer.Name(r.TLS), m: m, r: r, w: w}
	if err := m.authorize(r); err != nil {
		failure.Write(w, err, s.requestID)
		return
	}
	h, pattern := known.Handler(r)
	if pattern == "" {
		failure.Write(w, result.New(result.RouteUnknown, "no route %s %s", r.Method, r.URL.Path), s.requestID)
		return
	}
	h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), stateKey{}, s)))
}

// decoder decodes a JSON body up to maxBody. Unknown fields are refused, as a
// misspelt field of a change would otherwise be lost without notice.
type decoder struct{ r *http.Request }

func newDecoder(r *http.Request) goahttp.Decoder { return decoder{r} }

// Decode implements goahttp.Decoder.
func (d decoder) Decode(v any) error {
	body := &io.LimitedReader{R: d.r.Body, N: maxBody + 1}
	j := json.NewDecoder(body)
	j.DisallowUnknownFields()
	err := j.Decode(v)
	if body.N <= 0 {
		e := result.New(result.BodyTooLarge, "the body exceeds %d bytes", maxBody)
		return goa.NewServiceError(e, e.Code.String(), false, false, false)
	}
	return err
}

func newEncoder(ctx context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", stateOf(ctx).requestID)
	return json.NewEncoder(w)
}

func (m *Module) encodeFailed(ctx context.Context, _ http.ResponseWriter, err error) {
	m.log.Debug("cannot write the answer", "request_id", stateOf(ctx).requestID, "error", err)
}

// formatError gives every error the JSON shape of the caller API.
func formatError(ctx context.Context, err error) goahttp.Statuser {
	s := stateOf(ctx)
	e := failure.FromDecodeError(err, nil)
	if s.r.Method != http.MethodGet && !s.decided {
		s.m.auditRefusal(e, s.r)
	}
	f := failure.New(e, s.requestID)
	if seconds := failure.RetryAfterHeader(f.Problem.RetryAfterMS); seconds != nil {
		s.w.Header().Set("Retry-After", strconv.FormatInt(*seconds, 10))
	}
	return f
}

// call passes a call on to a control instance, the one that answered last
// first. Every call may be repeated, so another instance is tried when one
// does not answer.
func call[R any](ctx context.Context, m *Module, method string, args any) (R, error) {
	var last error
	first := int(m.last.Load())
	for i := range m.clients {
		at := (first + i) % len(m.clients)
		r, err := callOne[R](ctx, m.clients[at], method, args)
		var known *result.Error
		if err == nil || errors.As(err, &known) {
			m.last.Store(int32(at))
			stateOf(ctx).decided = auditedByControl[method]
			return r, err
		}
		last = err
	}
	var zero R
	return zero, result.Wrap(result.ControlUnavailable, last, "no control instance answers")
}

// auditedByControl names the calls for which control writes an audit line.
var auditedByControl = map[string]bool{"Change": true, "Drain": true, "Lift": true, "IssueOrder": true, "ReplaceMember": true}

func callOne[R any](ctx context.Context, c *peer.Client, method string, args any) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	var r R
	err := c.Call(ctx, wire.AdminProxyService+"."+method, args, &r)
	return r, err
}
