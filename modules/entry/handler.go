package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"heatherway.dev/api/gen/generation"
	"heatherway.dev/api/gen/health"
	generationserver "heatherway.dev/api/gen/http/generation/server"
	healthserver "heatherway.dev/api/gen/http/health/server"
	servicesserver "heatherway.dev/api/gen/http/services/server"
	"heatherway.dev/api/gen/services"
	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/failure"
	"heatherway.dev/heatherway/internal/httpconn"
	"heatherway.dev/kernel/result"
)

// requestState is the state of one HTTP request. It is carried in the context,
// since the generated servers pass only that to the services.
type requestState struct {
	requestID    string
	organisation string
	// authError is set when the key is missing or unknown, or when there is no
	// configuration to look it up in.
	authError  *result.Error
	snap       *snapshot
	receivedAt time.Time
	r          *http.Request
	w          *statusWriter
	// rawBody is the request body as received.
	rawBody []byte
	// code is the result code of a failed request. recorded is set once the
	// service records the outcome of the request itself.
	code     result.Code
	recorded bool
}

type requestStateKey struct{}

// stateFrom returns the state of the request that ctx belongs to, or an empty
// one.
func stateFrom(ctx context.Context) *requestState {
	if s, ok := ctx.Value(requestStateKey{}).(*requestState); ok {
		return s
	}
	return &requestState{}
}

// statusWriter replaces the status 200, which the generated server always
// writes, by the status of a plain service's answer.
type statusWriter struct {
	http.ResponseWriter
	statusOverride int
	writeTimeout   time.Duration
	started        bool
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(code int) {
	if code == http.StatusOK && w.statusOverride != 0 {
		code = w.statusOverride
	}
	w.started = w.started || code >= http.StatusOK
	// A connection keeps its write deadline across requests, so the one of the
	// previous answer has to be replaced.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.writeTimeout))
	w.ResponseWriter.WriteHeader(code)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// fixedRoute is a route whose path has no variables.
type fixedRoute struct{ method, path string }

// routeTable holds the handlers of the generated servers. Paths without
// variables are looked up in a map, because the muxer would hold its own state
// for as long as a stream is open. Requests with an unknown route do not reach
// the muxer either, since its error responses have another format.
type routeTable struct {
	fixed    map[fixedRoute]http.Handler
	services http.Handler
}

// handlerFor returns the handler of a request, or nil if its route is unknown.
func (t *routeTable) handlerFor(r *http.Request) http.Handler {
	if h, ok := t.fixed[fixedRoute{r.Method, r.URL.Path}]; ok {
		return h
	}
	rest, ok := strings.CutPrefix(r.URL.Path, servicesPrefix)
	if !ok || strings.IndexByte(rest, '/') < 1 || !serviceMethods[r.Method] {
		return nil
	}
	return t.services
}

const servicesPrefix = "/v1/services/"

var serviceMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true,
	http.MethodPut: true, http.MethodPatch: true, http.MethodDelete: true,
}

// publicHandler returns the handler of the caller API.
func (m *Module) publicHandler() http.Handler {
	mux := goahttp.NewMuxer()
	gen := generationserver.New(generation.NewEndpoints(&generationService{m}), mux, newDecoder, newEncoder, m.logEncodeFailure, formatError)
	live := healthserver.New(health.NewEndpoints(&healthService{m}), mux, newDecoder, newEncoder, m.logEncodeFailure, formatError)
	calls := servicesserver.New(services.NewEndpoints(&callService{m}), mux, newDecoder, newEncoder, m.logEncodeFailure, formatError)
	calls.Mount(mux)
	// A goa design cannot declare HEAD for a method whose errors have a body.
	mux.Handle(http.MethodHead, servicesPrefix+"{service}/{*path}", calls.Call.ServeHTTP)
	table := &routeTable{services: mux, fixed: map[fixedRoute]http.Handler{
		{http.MethodPost, "/v1/completions"}:      gen.Complete,
		{http.MethodPost, "/v1/chat/completions"}: gen.Chat,
		{http.MethodGet, "/v1/models"}:            gen.Models,
		{http.MethodGet, "/healthz"}:              live.Live,
		{http.MethodGet, "/readyz"}:               live.Ready,
	}}
	return httpconn.CloseWhen(m.draining.Load, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.serveRequest(table, w, r) }))
}

// addOpenRequests changes the number of open requests by delta and returns the
// new number.
func (m *Module) addOpenRequests(delta int64) int64 {
	n := m.openRequests.Add(delta)
	m.metrics.openRequests.Set(n)
	return n
}

// serveRequest checks a request's key and the limit of open requests, and
// passes the request to its handler.
func (m *Module) serveRequest(table *routeTable, w http.ResponseWriter, r *http.Request) {
	s := &requestState{requestID: r.Header.Get("X-Request-Id"), receivedAt: time.Now(), snap: m.owner.current()}
	if s.requestID == "" || len(s.requestID) > maxRequestIDLength {
		s.requestID = string(wire.NewID())
	}
	s.w = &statusWriter{ResponseWriter: w, writeTimeout: m.Limits.WriteTime}
	defer failure.Recover(m.log, s.w, s.requestID, func() bool { return s.w.started })
	s.organisation, s.authError = authenticate(s.snap, r)
	r = r.WithContext(context.WithValue(r.Context(), requestStateKey{}, s))
	s.r = r
	defer m.addOpenRequests(-1)
	if n := m.addOpenRequests(1); n > int64(m.Limits.Streams) {
		failure.Write(s.w, result.New(result.NoUpstream, "this entry has %d requests open", n-1).WithRan(ranUnchecked(r)), s.requestID)
		return
	}
	m.setBodyDeadline(s)
	h := table.handlerFor(r)
	if h == nil {
		failure.Write(s.w, result.New(result.RouteUnknown, "no route %s %s", r.Method, r.URL.Path), s.requestID)
		return
	}
	h.ServeHTTP(s.w, r)
	if s.code != 0 && !s.recorded && strings.HasPrefix(r.URL.Path, "/v1/") {
		m.recordRefusal(s, nil, result.New(s.code, "refused before it reached the service"))
	}
}

// maxRequestIDLength bounds the X-Request-Id of a caller; a longer one is
// replaced.
const maxRequestIDLength = 128

// setBodyDeadline limits the time that a caller may take to send the body.
func (m *Module) setBodyDeadline(s *requestState) {
	if s.r.ContentLength != 0 {
		_ = http.NewResponseController(s.w).SetReadDeadline(s.receivedAt.Add(m.Limits.BodyTime))
	}
}

// clearBodyDeadline removes the limit once the body has been read.
func (s *requestState) clearBodyDeadline() {
	_ = http.NewResponseController(s.w).SetReadDeadline(time.Time{})
}

// authenticate returns the organisation of the bearer key. Keys are compared by
// their SHA-256 hash, since the configuration holds no keys in plain text.
func authenticate(s *snapshot, r *http.Request) (string, *result.Error) {
	if s.config == nil {
		return "", result.New(result.ControlUnavailable, "this entry has no configuration yet").WithRan(ranUnchecked(r))
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", result.New(result.KeyMissing, "send the header Authorization: Bearer KEY")
	}
	sum := sha256.Sum256([]byte(key))
	org, ok := s.config.OrganisationOf(hex.EncodeToString(sum[:]))
	if !ok {
		return "", result.New(result.KeyUnknown, "the key belongs to no organisation")
	}
	return org, nil
}

// bodyLimit returns the maximum body size of the organisation in bytes.
func (s *requestState) bodyLimit() int64 {
	return s.snap.config.Int("request.body_limit", config.Scope{Organisation: s.organisation}, s.receivedAt)
}

// readBody reads a body up to the organisation's limit. After a failure the
// rest of the body is not read, so the connection is closed after the answer.
func (s *requestState) readBody(body io.Reader) ([]byte, *result.Error) {
	b, err := s.readLimitedBody(body)
	if err != nil {
		s.w.Header().Set("Connection", "close")
		return nil, err
	}
	s.clearBodyDeadline()
	return b, nil
}

func (s *requestState) readLimitedBody(body io.Reader) ([]byte, *result.Error) {
	limit := s.bodyLimit()
	tooLarge := result.New(result.BodyTooLarge, "the body exceeds %d bytes", limit)
	if s.r.ContentLength > limit {
		return nil, tooLarge
	}
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, result.New(result.MalformedBody, "the body could not be read")
	}
	if int64(len(b)) > limit {
		return nil, tooLarge
	}
	return b, nil
}

// bodyDecoder decodes a JSON body and keeps the received bytes too, so that
// fields that the API does not declare reach the engine.
type bodyDecoder struct{ r *http.Request }

func newDecoder(r *http.Request) goahttp.Decoder { return bodyDecoder{r} }

// Decode implements goahttp.Decoder.
func (d bodyDecoder) Decode(v any) error {
	s := stateFrom(d.r.Context())
	if s.authError != nil {
		return goaError(s.authError)
	}
	b, e := s.readBody(d.r.Body)
	if e != nil {
		return goaError(e)
	}
	if len(b) == 0 {
		return io.EOF
	}
	if err := json.Unmarshal(b, v); err != nil {
		return errors.Errorf("the body is not valid: %v", err)
	}
	s.rawBody = b
	return nil
}

// goaError wraps a result so that the generated decoders pass it on.
func goaError(err *result.Error) error {
	return goa.NewServiceError(err, err.Code.String(), false, false, false)
}

// newEncoder returns a JSON encoder whatever the Accept header asks for.
func newEncoder(ctx context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", stateFrom(ctx).requestID)
	return json.NewEncoder(w)
}

func (m *Module) logEncodeFailure(ctx context.Context, _ http.ResponseWriter, err error) {
	m.log.Debug("cannot write the response", "request_id", stateFrom(ctx).requestID, "error", err)
}

// healthService implements the health service.
type healthService struct{ m *Module }

// Live implements health.Service.
func (h *healthService) Live(context.Context) error { return nil }

// Ready implements health.Service.
func (h *healthService) Ready(ctx context.Context) error {
	if h.m.isReady() {
		return nil
	}
	e := result.New(result.ControlUnavailable, "no configuration yet").WithRan(result.NotRun)
	if h.m.draining.Load() {
		e = result.New(result.Leaving, "this entry is leaving")
	}
	return healthFailure(e, stateFrom(ctx).requestID)
}
