package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"heatherway.dev/api/gen/generation"
	"heatherway.dev/api/gen/health"
	"heatherway.dev/api/gen/services"
	"heatherway.dev/kernel/result"
)

// problem is the error object of every failed request. OpenAI clients read
// message and type.
type problem struct {
	Code         int    `json:"code"`
	Name         string `json:"name"`
	Type         string `json:"type"`
	Message      string `json:"message"`
	Ran          string `json:"ran"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	RequestID    string `json:"request_id"`
}

// failure is the JSON body of every failed request.
type failure struct {
	Problem problem `json:"error"`
	status  int
}

// StatusCode implements goahttp.Statuser.
func (f *failure) StatusCode() int { return f.status }

func newFailure(e *result.Error, requestID string) *failure {
	info := e.Code.Info()
	return &failure{status: info.HTTP, Problem: problem{
		Code: int(e.Code), Name: info.Name, Type: info.Name, Message: e.Message,
		Ran: e.Ran.String(), RetryAfterMS: retryMS(e), RequestID: requestID,
	}}
}

// defaultRetry is told to callers when asking again helps but nothing better
// is known, with a random factor of 1 to 2 that spreads their return.
const defaultRetry = time.Second

// retryMS returns the time to tell the caller; zero when asking again does not
// help.
func retryMS(e *result.Error) int64 {
	if e.RetryAfter > 0 {
		return max(e.RetryAfter.Milliseconds(), 1)
	}
	if e.Code.Info().Retry {
		return int64(float64(defaultRetry.Milliseconds()) * (1 + rand.Float64()))
	}
	return 0
}

// retrySeconds rounds up, so that the header never names an earlier time than
// the body.
func retrySeconds(ms int64) int64 { return (ms + 999) / 1000 }

// groups names the errors of the API by HTTP status.
var groups = map[int]string{
	http.StatusBadRequest:            "bad_request",
	http.StatusUnauthorized:          "unauthorized",
	http.StatusForbidden:             "forbidden",
	http.StatusNotFound:              "not_found",
	http.StatusConflict:              "conflict",
	http.StatusGone:                  "gone",
	http.StatusRequestEntityTooLarge: "too_large",
	http.StatusUnprocessableEntity:   "unprocessable",
	http.StatusTooManyRequests:       "too_many",
	http.StatusInternalServerError:   "internal",
	http.StatusBadGateway:            "bad_gateway",
	http.StatusServiceUnavailable:    "unavailable",
	http.StatusGatewayTimeout:        "timeout",
}

func group(e *result.Error) string {
	if g, ok := groups[e.Code.Info().HTTP]; ok {
		return g
	}
	return groups[http.StatusInternalServerError]
}

func retryHeader(ms int64) *int64 {
	if ms == 0 {
		return nil
	}
	s := retrySeconds(ms)
	return &s
}

func generationFailure(e *result.Error, requestID string) error {
	p := newFailure(e, requestID).Problem
	return &generation.Failure{Status: group(e), RetryAfter: retryHeader(p.RetryAfterMS), Problem: (*generation.Problem)(&generation.Problem{
		Code: p.Code, Name: p.Name, Type: p.Type, Message: p.Message, Ran: p.Ran, RetryAfterMs: p.RetryAfterMS, RequestID: p.RequestID,
	})}
}

func servicesFailure(e *result.Error, requestID string) error {
	p := newFailure(e, requestID).Problem
	return &services.Failure{Status: group(e), RetryAfter: retryHeader(p.RetryAfterMS), Problem: &services.Problem{
		Code: p.Code, Name: p.Name, Type: p.Type, Message: p.Message, Ran: p.Ran, RetryAfterMs: p.RetryAfterMS, RequestID: p.RequestID,
	}}
}

func healthFailure(e *result.Error, requestID string) error {
	p := newFailure(e, requestID).Problem
	return &health.Failure{Status: group(e), RetryAfter: retryHeader(p.RetryAfterMS), Problem: &health.Problem{
		Code: p.Code, Name: p.Name, Type: p.Type, Message: p.Message, Ran: p.Ran, RetryAfterMs: p.RetryAfterMS, RequestID: p.RequestID,
	}}
}

// formatError gives every error of the generated servers the same JSON shape.
func formatError(ctx context.Context, err error) goahttp.Statuser {
	s := stateOf(ctx)
	f := formatFailure(s.requestID, err)
	s.code = result.Code(f.Problem.Code)
	return f
}

func formatFailure(id string, err error) *failure {
	var g *generation.Failure
	var s *services.Failure
	var h *health.Failure
	switch {
	case errors.As(err, &g):
		return formatted(g.Problem.Code, problem{g.Problem.Code, g.Problem.Name, g.Problem.Type, g.Problem.Message, g.Problem.Ran, g.Problem.RetryAfterMs, id})
	case errors.As(err, &s):
		return formatted(s.Problem.Code, problem{s.Problem.Code, s.Problem.Name, s.Problem.Type, s.Problem.Message, s.Problem.Ran, s.Problem.RetryAfterMs, id})
	case errors.As(err, &h):
		return formatted(h.Problem.Code, problem{h.Problem.Code, h.Problem.Name, h.Problem.Type, h.Problem.Message, h.Problem.Ran, h.Problem.RetryAfterMs, id})
	}
	return newFailure(decodeFailure(err), id)
}

func formatted(code int, p problem) *failure {
	return &failure{Problem: p, status: result.Code(code).Info().HTTP}
}

// decodeFailure gives errors found by the generated decoders a result code.
// The decoder's own errors carry one already.
func decodeFailure(err error) *result.Error {
	var known *result.Error
	if errors.As(err, &known) {
		return known
	}
	var g *goa.ServiceError
	if !errors.As(err, &g) {
		return result.From(err)
	}
	switch g.Name {
	case "missing_payload", "decode_payload":
		return result.New(result.MalformedBody, "%s", g.Message)
	}
	if g.Field != nil && headerFields[*g.Field] {
		return result.New(result.InvalidHeader, "%s", g.Message)
	}
	return result.New(result.InvalidField, "%s", g.Message)
}

// headerFields are the payload fields that come from headers.
var headerFields = map[string]bool{
	"idempotency_key": true, "class": true, "deadline_ms": true, "last_event_id": true, "request_id": true, "repeat": true,
}

// writeFailure answers outside of the generated servers.
func writeFailure(w http.ResponseWriter, e *result.Error, requestID string) {
	f := newFailure(e, requestID)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Request-Id", requestID)
	if f.Problem.RetryAfterMS > 0 {
		h.Set("Retry-After", strconv.FormatInt(retrySeconds(f.Problem.RetryAfterMS), 10))
	}
	w.WriteHeader(f.status)
	_ = json.NewEncoder(w).Encode(f)
}
