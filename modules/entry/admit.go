package entry

import (
	"context"
	"time"

	"heatherway.dev/kernel/result"
)

// admit decides whether a request may run at all.
func (m *Module) admit(_ context.Context, r *request) *result.Error {
	s, ok := r.snap.suspects[r.fingerprint]
	if !ok || !s.quarantined {
		return nil
	}
	if left := time.Until(s.until); left > 0 {
		return result.New(result.Quarantined, "the request has crashed upstreams").After(left)
	}
	return nil
}

// choose picks an upstream for a request.
func (m *Module) choose(r *request, avoid map[string]bool) (*upstream, *result.Error) {
	snap := m.owner.current()
	q := query{model: r.model, service: r.service, class: r.class, zone: m.instance.Zone, avoid: avoid}
	if u, ok := m.chooser.choose(snap, q); ok {
		return u, nil
	}
	for _, u := range snap.upstreams {
		if u.offers(q) {
			return nil, result.New(result.NoUpstream, "no upstream can take the request now")
		}
	}
	if r.service != "" {
		return nil, result.New(result.ServiceUnknown, "no upstream offers service %q", r.service)
	}
	return nil, result.New(result.ModelUnknown, "no upstream serves model %q", r.model)
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
	code := 0
	if s.err != nil {
		code = int(s.err.Code)
	}
	d := time.Since(r.begun)
	m.slo.Record(finished{
		organisation: r.organisation, class: r.class, code: code,
		firstToken: s.firstToken, duration: d, tokens: s.tokens,
	})
	m.log.Info("request",
		"request_id", r.id, "organisation", r.organisation, "class", r.class.String(),
		"model", r.model, "service", r.service, "upstream", s.upstream, "attempts", s.attempts,
		"tokens", s.tokens, "code", code, "first_token_ms", s.firstToken.Milliseconds(),
		"duration_ms", d.Milliseconds())
}
