// Package failure encodes failed requests as JSON, in the same form for the
// caller API and the administration API.
package failure

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	goa "goa.design/goa/v3/pkg"

	"heatherway.dev/kernel/result"
)

// Problem is the error object of every failed request. OpenAI clients read
// message and type.
type Problem struct {
	Code         int    `json:"code"`
	Name         string `json:"name"`
	Type         string `json:"type"`
	Message      string `json:"message"`
	Ran          string `json:"ran"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	RequestID    string `json:"request_id"`
}

// Failure is the JSON body of every failed request.
type Failure struct {
	Problem Problem `json:"error"`
	status  int
}

// StatusCode implements goahttp.Statuser.
func (f *Failure) StatusCode() int { return f.status }

// New returns the body for a result.
func New(e *result.Error, requestID string) *Failure {
	info := e.Code.Info()
	return &Failure{status: info.HTTP, Problem: Problem{
		Code: int(e.Code), Name: info.Name, Type: info.Name, Message: e.Message,
		Ran: e.Ran.String(), RetryAfterMS: retryAfterMS(e), RequestID: requestID,
	}}
}

// DefaultRetryAfter is the least delay sent to callers when a retry may succeed
// but the result names no delay. A random factor of 1 to 2 spreads the retries.
const DefaultRetryAfter = time.Second

// retryAfterMS returns the delay to send to the caller, or zero if a retry would
// fail as well.
func retryAfterMS(e *result.Error) int64 {
	if e.RetryAfter > 0 {
		return max(e.RetryAfter.Milliseconds(), 1)
	}
	if e.Code.Info().Retry {
		return int64(float64(DefaultRetryAfter.Milliseconds()) * (1 + rand.Float64()))
	}
	return 0
}

// ceilSeconds rounds up, so that the header never names an earlier time than
// the body.
func ceilSeconds(ms int64) int64 { return (ms + 999) / 1000 }

// errorNames maps HTTP statuses to the names that the API designs give their
// errors.
var errorNames = map[int]string{
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

// ErrorName returns the name that the API designs give the HTTP status of a
// result.
func ErrorName(e *result.Error) string {
	if g, ok := errorNames[e.Code.Info().HTTP]; ok {
		return g
	}
	return errorNames[http.StatusInternalServerError]
}

// RetryAfterHeader returns the value of the header Retry-After in seconds, or nil if the
// header is not to be sent. A refusal of an instance that stops is rounded down, since
// another instance can serve the request at once.
func RetryAfterHeader(p *Problem) *int64 {
	if p.RetryAfterMS == 0 {
		return nil
	}
	s := ceilSeconds(p.RetryAfterMS)
	if p.Code == int(result.Leaving) {
		s = p.RetryAfterMS / time.Second.Milliseconds()
	}
	return &s
}

// FromProblem returns the body for a problem whose fields are all set.
func FromProblem(code result.Code, p Problem) *Failure {
	return &Failure{Problem: p, status: code.Info().HTTP}
}

// FromDecodeError gives errors of the generated request decoders a result code.
// Errors that already carry one keep it. Headers names the payload fields that
// come from headers.
func FromDecodeError(err error, headers map[string]bool) *result.Error {
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
	if g.Field != nil && headers[*g.Field] {
		return result.New(result.InvalidHeader, "%s", g.Message)
	}
	return result.New(result.InvalidField, "%s", g.Message)
}

// Write sends an error response outside of the generated servers. A Retry-After
// header that is already set stays, since some protocols use fractions of a
// second.
func Write(w http.ResponseWriter, e *result.Error, requestID string) {
	f := New(e, requestID)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Request-Id", requestID)
	if seconds := RetryAfterHeader(&f.Problem); seconds != nil && h.Get("Retry-After") == "" {
		h.Set("Retry-After", strconv.FormatInt(*seconds, 10))
	}
	w.WriteHeader(f.status)
	_ = json.NewEncoder(w).Encode(f)
}
