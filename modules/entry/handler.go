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
	"heatherway.dev/kernel/result"
)

// state belongs to one HTTP request; the generated servers pass it on in the
// context.
type state struct {
	requestID    string
	organisation string
	// refused is set when the key is missing or unknown.
	refused *result.Error
	snap    *snapshot
	begun   time.Time
	r       *http.Request
	w       *statusWriter
	// raw is the request body as it came.
	raw []byte
	// code is the result of a failed request. Accounted is set once the
	// service records the outcome itself.
	code      result.Code
	accounted bool
}

type stateKey struct{}

func stateOf(ctx context.Context) *state {
	if s, ok := ctx.Value(stateKey{}).(*state); ok {
		return s
	}
	return &state{}
}

// statusWriter lets a plain service choose the HTTP status, which the
// generated server sets to 200.
type statusWriter struct {
	http.ResponseWriter
	status int
	limit  time.Duration
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(code int) {
	if code == http.StatusOK && w.status != 0 {
		code = w.status
	}
	// The deadline replaces that of the connection's previous answer.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.limit))
	w.ResponseWriter.WriteHeader(code)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// route names one path without variables.
type route struct{ method, path string }

// routes holds the handlers of the generated servers. Those without path
// variables are found in a map, as the muxer would hold its own state for the
// whole of a stream. Unknown routes are answered here too; the muxer would
// answer them in another form.
type routes struct {
	fixed    map[route]http.Handler
	services http.Handler
}

func (t *routes) find(r *http.Request) http.Handler {
	if h, ok := t.fixed[route{r.Method, r.URL.Path}]; ok {
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

// handler returns the caller API.
func (m *Module) handler() http.Handler {
	mux := goahttp.NewMuxer()
	gen := generationserver.New(generation.NewEndpoints(&generationService{m}), mux, decoder, encoder, m.encodeFailed, formatError)
	live := healthserver.New(health.NewEndpoints(&healthService{m}), mux, decoder, encoder, m.encodeFailed, formatError)
	calls := servicesserver.New(services.NewEndpoints(&callService{m}), mux, decoder, encoder, m.encodeFailed, formatError)
	calls.Mount(mux)
	// goa designs cannot declare HEAD for a method whose errors have a body.
	mux.Handle(http.MethodHead, servicesPrefix+"{service}/{*path}", calls.Call.ServeHTTP)
	table := &routes{services: mux, fixed: map[route]http.Handler{
		{http.MethodPost, "/v1/completions"}:      gen.Complete,
		{http.MethodPost, "/v1/chat/completions"}: gen.Chat,
		{http.MethodGet, "/v1/models"}:            gen.Models,
		{http.MethodGet, "/healthz"}:              live.Live,
		{http.MethodGet, "/readyz"}:               live.Ready,
	}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.serveCaller(table, w, r) })
}

// opened counts open requests and returns their new number.
func (m *Module) opened(by int64) int64 {
	n := m.open.Add(by)
	m.metrics.open.Set(n)
	return n
}

func (m *Module) serveCaller(table *routes, w http.ResponseWriter, r *http.Request) {
	s := &state{requestID: r.Header.Get("X-Request-Id"), begun: time.Now(), snap: m.owner.current()}
	if s.requestID == "" || len(s.requestID) > maxRequestID {
		s.requestID = string(wire.NewID())
	}
	s.w = &statusWriter{ResponseWriter: w, limit: m.Limits.WriteTime}
	if m.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	s.organisation, s.refused = authenticate(s.snap, r)
	r = r.WithContext(context.WithValue(r.Context(), stateKey{}, s))
	s.r = r
	defer m.opened(-1)
	if n := m.opened(1); n > int64(m.Limits.Streams) {
		failure.Write(s.w, result.New(result.NoUpstream, "this entry has %d requests open", n-1), s.requestID)
		return
	}
	m.limitBodyTime(s)
	h := table.find(r)
	if h == nil {
		failure.Write(s.w, result.New(result.RouteUnknown, "no route %s %s", r.Method, r.URL.Path), s.requestID)
		return
	}
	h.ServeHTTP(s.w, r)
	if s.code != 0 && !s.accounted && strings.HasPrefix(r.URL.Path, "/v1/") {
		m.refuse(s, nil, result.New(s.code, "refused before it reached the service"))
	}
}

const maxRequestID = 128

// limitBodyTime bounds how long a caller may take to send the body.
func (m *Module) limitBodyTime(s *state) {
	if s.r.ContentLength != 0 {
		_ = http.NewResponseController(s.w).SetReadDeadline(s.begun.Add(m.Limits.BodyTime))
	}
}

// endBody lifts the limit once the body has been read.
func (s *state) endBody() {
	_ = http.NewResponseController(s.w).SetReadDeadline(time.Time{})
}

// authenticate finds the organisation of the bearer key. Keys are compared by
// their SHA-256 hash, which is all that the configuration holds.
func authenticate(s *snapshot, r *http.Request) (string, *result.Error) {
	if s.doc == nil {
		return "", result.New(result.ControlUnavailable, "this entry has no configuration yet").WithRan(result.NotRun)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", result.New(result.KeyMissing, "send the header Authorization: Bearer KEY")
	}
	sum := sha256.Sum256([]byte(key))
	org, ok := s.doc.OrganisationOf(hex.EncodeToString(sum[:]))
	if !ok {
		return "", result.New(result.KeyUnknown, "the key belongs to no organisation")
	}
	return org, nil
}

// bodyLimit returns the largest body that the organisation may send.
func (s *state) bodyLimit() int64 {
	return s.snap.doc.Int("request.body_limit", config.Scope{Organisation: s.organisation}, s.begun)
}

// read reads a body up to the organisation's limit. After a failure the rest
// of the body is not waited for, so the connection cannot be used again.
func (s *state) read(body io.Reader) ([]byte, *result.Error) {
	b, err := s.readLimited(body)
	if err != nil {
		s.w.Header().Set("Connection", "close")
		return nil, err
	}
	s.endBody()
	return b, nil
}

func (s *state) readLimited(body io.Reader) ([]byte, *result.Error) {
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

// bodyDecoder decodes a JSON body and keeps it as it came, so that fields
// unknown to the API reach the engine.
type bodyDecoder struct{ r *http.Request }

func decoder(r *http.Request) goahttp.Decoder { return bodyDecoder{r} }

// Decode implements goahttp.Decoder.
func (d bodyDecoder) Decode(v any) error {
	s := stateOf(d.r.Context())
	if s.refused != nil {
		return goaError(s.refused)
	}
	b, e := s.read(d.r.Body)
	if e != nil {
		return goaError(e)
	}
	if len(b) == 0 {
		return io.EOF
	}
	if err := json.Unmarshal(b, v); err != nil {
		return errors.Errorf("the body is not valid: %v", err)
	}
	s.raw = b
	return nil
}

// goaError carries a result through the generated decoders.
func goaError(e *result.Error) error {
	return goa.NewServiceError(e, e.Code.String(), false, false, false)
}

// encoder writes JSON whatever the Accept header says.
func encoder(ctx context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", stateOf(ctx).requestID)
	return json.NewEncoder(w)
}

func (m *Module) encodeFailed(ctx context.Context, _ http.ResponseWriter, err error) {
	m.log.Debug("cannot write the answer", "request_id", stateOf(ctx).requestID, "error", err)
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
	if h.m.leaving.Load() {
		e = result.New(result.Leaving, "this entry is leaving")
	}
	return healthFailure(e, stateOf(ctx).requestID)
}
