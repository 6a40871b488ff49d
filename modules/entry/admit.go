package entry

import (
	"context"
	"time"

	"heatherway.dev/core/limit"
	"heatherway.dev/core/slo"
	"heatherway.dev/core/stream"
	"heatherway.dev/kernel/result"
)

// admit decides whether a request may run at all.
func (m *Module) admit(ctx context.Context, r *request, size int) *result.Error {
	if err := r.quarantined(); err != nil {
		return err
	}
	return m.admitRate(ctx, r, size)
}

// settle charges the output tokens of a generation.
func (m *Module) settle(r *request, o *stream.Outcome) {
	l := r.limitOf()
	if o.Tokens == 0 || l.Unlimited() {
		return
	}
	m.owner.send(settle{organisation: r.organisation, limit: l, more: limit.Amount{Tokens: float64(o.Tokens)}})
}

// summary is what is logged about a finished request.
type summary struct {
	upstream   string
	attempts   int
	tokens     uint64
	err        *result.Error
	firstToken time.Duration
}

// refuse records a request that was not sent to any upstream.
func (m *Module) refuse(s *state, r *request, err *result.Error) {
	if r == nil {
		r = &request{id: s.requestID, organisation: s.organisation, begun: s.begun}
	}
	m.finish(r, summary{err: err})
}

// finish records and logs one finished request. Prompts and keys are never
// logged.
func (m *Module) finish(r *request, s summary) {
	code := result.Code(0)
	if s.err != nil {
		code = s.err.Code
	}
	took := time.Since(r.begun)
	if r.service != "" && s.err == nil {
		s.firstToken = took
	}
	if r.organisation != "" {
		m.owner.send(finished{slo.Sample{Class: r.class, Organisation: r.organisation, FirstToken: s.firstToken, Code: code}})
	}
	m.log.Info("request",
		"request_id", r.id, "organisation", r.organisation, "class", r.class.String(),
		"model", r.model, "service", r.service, "upstream", s.upstream, "attempts", s.attempts,
		"tokens", s.tokens, "code", int(code), "first_token_ms", s.firstToken.Milliseconds(),
		"duration_ms", took.Milliseconds())
}
