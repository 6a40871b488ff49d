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

func generationFailure(e *result.Error, requestID string) error {
	p := failure.New(e, requestID).Problem
	return &generation.Failure{Status: failure.ErrorName(e), RetryAfter: failure.RetryAfterHeader(p.RetryAfterMS), Problem: &generation.Problem{
		Code: p.Code, Name: p.Name, Type: p.Type, Message: p.Message, Ran: p.Ran, RetryAfterMs: p.RetryAfterMS, RequestID: p.RequestID,
	}}
}

func servicesFailure(e *result.Error, requestID string) error {
	p := failure.New(e, requestID).Problem
	return &services.Failure{Status: failure.ErrorName(e), RetryAfter: failure.RetryAfterHeader(p.RetryAfterMS), Problem: &services.Problem{
		Code: p.Code, Name: p.Name, Type: p.Type, Message: p.Message, Ran: p.Ran, RetryAfterMs: p.RetryAfterMS, RequestID: p.RequestID,
	}}
}

func healthFailure(e *result.Error, requestID string) error {
	p := failure.New(e, requestID).Problem
	return &health.Failure{Status: failure.ErrorName(e), RetryAfter: failure.RetryAfterHeader(p.RetryAfterMS), Problem: &health.Problem{
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
