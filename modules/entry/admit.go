package entry

import (
	"context"
	"time"

	"heatherway.dev/core/drain"
	"heatherway.dev/core/limit"
	"heatherway.dev/core/slo"
	"heatherway.dev/core/stream"
	"heatherway.dev/kernel/result"
)

// admit checks a request against the stop of this entry, the quarantine and the rate limit of its
// organisation. size is the size of its body in bytes.
func (m *Module) admit(ctx context.Context, r *request, size int) *result.Error {
	if err := m.leavingError(r); err != nil {
		return err
	}
	if err := r.quarantineError(); err != nil {
		return err
	}
	return m.admitRate(ctx, r, size)
}

// leavingError returns the error of a request that has to go to another entry, since this one stops and may do so
// before the request has ended, or nil. It concerns requests of which no agent has delivered anything.
func (m *Module) leavingError(r *request) *result.Error {
	if m.stop.Load().Admits(r.deadline) {
		return nil
	}
	return result.New(result.Leaving, "this entry stops before the deadline of the request").After(drain.RetryAfter)
}

// chargeOutput charges the output tokens of a generation to the rate limit.
func (m *Module) chargeOutput(r *request, o *stream.Outcome) {
	rate := r.rateLimit()
	if o.Tokens == 0 || rate.Unlimited() {
		return
	}
	m.owner.send(outputCharge{organisation: r.organisation, limit: rate, amount: limit.Amount{Tokens: float64(o.Tokens)}})
}

// requestSummary holds the outcome of a request as it is logged and recorded.
type requestSummary struct {
	upstream   string
	attempts   int
	tokens     uint64
	err        *result.Error
	firstToken time.Duration
}

// recordRefusal records a request that was refused before any attempt. r is nil
// if the request could not be parsed.
func (m *Module) recordRefusal(s *requestState, r *request, err *result.Error) {
	if r == nil {
		r = &request{id: s.requestID, organisation: s.organisation, startedAt: s.receivedAt}
	}
	m.recordFinished(r, requestSummary{err: err})
}

// recordFinished logs a finished request and records it in the service-level
// counts. Prompts and keys are never logged.
func (m *Module) recordFinished(r *request, s requestSummary) {
	code := result.Code(0)
	if s.err != nil {
		code = s.err.Code
	}
	took := time.Since(r.startedAt)
	if r.service != "" && s.err == nil {
		s.firstToken = took
	}
	if r.organisation != "" {
		m.owner.send(requestFinished{slo.Sample{Class: r.class, Organisation: r.organisation, FirstToken: s.firstToken, Code: code}})
	}
	m.log.Info("request",
		"request_id", r.id, "organisation", r.organisation, "class", r.class.String(),
		"model", r.model, "service", r.service, "upstream", s.upstream, "attempts", s.attempts,
		"tokens", s.tokens, "code", int(code), "first_token_ms", s.firstToken.Milliseconds(),
		"duration_ms", took.Milliseconds())
}
