package entry

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
)

const streamBody = `{"model":"letters","prompt":"hi","stream":true,"custom":{"x":1}}`

// Guards against a stream that differs from the OpenAI form, and against
// fields unknown to the API being lost on the way to the engine.
func TestStreamsCompletion(t *testing.T) {
	a := newFakeAgent(t, "agent-1", func(w *frameWriter, r *wire.GenerateRequest) {
		w.send(wire.Frame{Kind: wire.FrameStarted, PromptTokens: 7})
		w.tokens(0, 5)
		w.end(5)
	})
	f := newFleet(t, a)
	r := f.do(http.MethodPost, "/v1/completions", streamBody)
	assert.Equal(t, r.status, http.StatusOK, r.body)
	assert.Equal(t, r.header.Get("Content-Type"), "text/event-stream")
	assert.Equal(t, textOf(t, r.body), wantText(0, 5))
	assert.Assert(t, strings.HasSuffix(r.body, "data: [DONE]\n\n"))
	req := a.seen()[0]
	assert.Assert(t, strings.Contains(string(req.Body), `"custom":{"x":1}`))
	assert.Assert(t, strings.Contains(string(req.Body), `"seed":`))
	for _, event := range strings.Split(strings.TrimSpace(r.body), "\n\n") {
		if strings.HasPrefix(event, ":") {
			continue
		}
		id, _, _ := strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
		_, err := wire.ParseEventID(id)
		assert.NilError(t, err, event)
	}
}
