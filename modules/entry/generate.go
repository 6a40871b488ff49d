package entry

import (
	"context"
	"io"

	"heatherway.dev/api/gen/generation"
	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// generationService implements the generated service generation.
type generationService struct{ m *Module }

// Complete implements generation.Service.
func (g *generationService) Complete(ctx context.Context, p *generation.CompletionPayload) (*generation.Streamed, io.ReadCloser, error) {
	h := callerHeaders{key: p.IdempotencyKey, class: p.Class, lastEvent: p.LastEventID, deadlineMS: p.DeadlineMs}
	return g.generate(ctx, wire.Completion, p.Model, p.Stream, h)
}

// Chat implements generation.Service.
func (g *generationService) Chat(ctx context.Context, p *generation.ChatPayload) (*generation.Streamed, io.ReadCloser, error) {
	h := callerHeaders{key: p.IdempotencyKey, class: p.Class, lastEvent: p.LastEventID, deadlineMS: p.DeadlineMs}
	return g.generate(ctx, wire.Chat, p.Model, p.Stream, h)
}

// Models implements generation.Service.
func (g *generationService) Models(ctx context.Context, _ *generation.ModelsPayload) (*generation.ModelList, error) {
	s := stateFrom(ctx)
	if s.authError != nil {
		return nil, generationFailure(s.authError, s.requestID)
	}
	list := &generation.ModelList{Object: "list", Data: []*generation.Model{}}
	for _, name := range s.snap.models() {
		list.Data = append(list.Data, &generation.Model{ID: name, Object: "model", OwnedBy: "heatherway"})
	}
	return list, nil
}

func (g *generationService) generate(ctx context.Context, kind wire.Kind, model string, stream *bool, h callerHeaders) (*generation.Streamed, io.ReadCloser, error) {
	s := stateFrom(ctx)
	r, err := newGeneration(s, kind, model, stream != nil && *stream, h)
	if err == nil {
		if err = g.m.admit(ctx, r, len(r.body)); err != nil {
			g.m.checkEarlierGeneration(ctx, r, err)
		}
	}
	if err == nil {
		err = g.m.admitParts(ctx, r)
	}
	if err != nil {
		g.m.recordRefusal(s, r, err)
		return nil, nil, generationFailure(err, s.requestID)
	}
	d := newDriver(ctx, g.m, r)
	if err := d.runUntilHead(); err != nil {
		return nil, nil, generationFailure(err, s.requestID)
	}
	if r.stream {
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.Header().Set("X-Accel-Buffering", "no") // common proxies then stream the answer
	}
	res := &generation.Streamed{ContentType: d.output.contentType(), RequestID: s.requestID}
	return res, d, nil
}

func newGeneration(s *requestState, kind wire.Kind, model string, stream bool, h callerHeaders) (*request, *result.Error) {
	r, err := newRequest(s, h, config.Scope{Model: model}, "request.deadline")
	if err != nil {
		return r, err
	}
	r.kind, r.model, r.stream = kind, model, stream
	if err := r.setResume(h.lastEvent); err != nil {
		return r, err
	}
	raw := s.rawBody
	s.rawBody = nil
	return r, r.setBody(raw)
}
