package entry

import (
	"context"
	"errors"

	goahttp "goa.design/goa/v3/http"

	"heatherway.dev/api/gen/generation"
	"heatherway.dev/api/gen/health"
	"heatherway.dev/api/gen/services"
	"heatherway.dev/heatherway/internal/failure"
	"heatherway.dev/kernel/result"
)

// errStopLimit is the cause with which the contexts of requests end at the limit of a stop.
var errStopLimit = errors.New("the stop limit of this entry is reached")

// endedError returns the error of a request whose context ended before its deadline: its caller has
// left, or the entry has reached the limit of its stop.
func endedError(ctx context.Context) *result.Error {
	if errors.Is(context.Cause(ctx), errStopLimit) {
		return result.New(result.OutcomeUnknown, "this entry has stopped before the answer; the request may have run")
	}
	return result.New(result.CallerGone, "the caller closed its connection")
}

func generationFailure(e *result.Error, requestID string) error {
	p := failure.New(e, requestID).Problem
	return &generation.Failure{Status: failure.ErrorName(e), RetryAfter: failure.RetryAfterHeader(&p), Problem: &generation.Problem{
		Code: p.Code, Name: p.Name, Type: p.Type, Message: p.Message, Ran: p.Ran, RetryAfterMs: p.RetryAfterMS, RequestID: p.RequestID,
	}}
}

func servicesFailure(e *result.Error, requestID string) error {
	p := failure.New(e, requestID).Problem
	return &services.Failure{Status: failure.ErrorName(e), RetryAfter: failure.RetryAfterHeader(&p), Problem: &services.Problem{
		Code: p.Code, Name: p.Name, Type: p.Type, Message: p.Message, Ran: p.Ran, RetryAfterMs: p.RetryAfterMS, RequestID: p.RequestID,
	}}
}

func healthFailure(e *result.Error, requestID string) error {
	p := failure.New(e, requestID).Problem
	return &health.Failure{Status: failure.ErrorName(e), RetryAfter: failure.RetryAfterHeader(&p), Problem: &health.Problem{
		Code: p.Code, Name: p.Name, Type: p.Type, Message: p.Message, Ran: p.Ran, RetryAfterMs: p.RetryAfterMS, RequestID: p.RequestID,
	}}
}

// formatError gives every error of the generated servers the same JSON format.
func formatError(ctx context.Context, err error) goahttp.Statuser {
	s := stateFrom(ctx)
	f := formatFailure(s.requestID, err)
	s.code = result.Code(f.Problem.Code)
	return f
}

func formatFailure(id string, err error) *failure.Failure {
	var g *generation.Failure
	var s *services.Failure
	var h *health.Failure
	switch {
	case errors.As(err, &g):
		return formatted(id, *g.Problem)
	case errors.As(err, &s):
		return formatted(id, generation.Problem(*s.Problem))
	case errors.As(err, &h):
		return formatted(id, generation.Problem(*h.Problem))
	}
	return failure.New(failure.FromDecodeError(err, headerFields), id)
}

// formatted converts the problem of any of the services. Their generated problem
// types have the same fields, so they convert to generation.Problem.
func formatted(id string, p generation.Problem) *failure.Failure {
	return failure.FromProblem(result.Code(p.Code), failure.Problem{
		Code: p.Code, Name: p.Name, Type: p.Type, Message: p.Message,
		Ran: p.Ran, RetryAfterMS: p.RetryAfterMs, RequestID: id,
	})
}

// headerFields are the payload fields that are read from headers.
var headerFields = map[string]bool{
	"idempotency_key": true, "class": true, "deadline_ms": true, "last_event_id": true, "request_id": true, "repeat": true,
}
