package openai

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/response/responsetest"
	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/result"
)

func newEngine(t *testing.T, addr string) *Engine {
	e := &Engine{URL: "http://" + addr, Models: []string{"m"}, Slots: 4, Resume: resumeFields}
	assert.NilError(t, e.Validate())
	assert.NilError(t, e.Provision(nil))
	return e
}

// Guards against a response whose status is not a final one, or that is no response of HTTP/1,
// which becomes an answer of the engine, a list of models, the result of an order or a sign of
// health.
func TestMalformedStatusIsNoAnswer(t *testing.T) {
	stream := fmt.Sprintf(finishedText, 1)
	for line, valid := range responsetest.StatusLines {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			e := newEngine(t, responsetest.Serve(t, func(c net.Conn) {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				body := stream
				if r.URL.Path == "/v1/models" {
					body = `{"data":[{"id":"other"}]}`
				}
				_, _ = fmt.Fprintf(c, "%s\r\nContent-Type: text/event-stream\r\n\r\n%s", line, body)
			}))
			text, err := generate(t, e)
			_, refreshErr := e.Refresh(t.Context())
			orderErr := e.Order(t.Context(), wire.Order{Kind: wire.LoadModel, Model: "m"})
			probeErr := e.Probe(t.Context())
			if valid && strings.Contains(line, " 200") {
				assert.NilError(t, err)
				assert.Equal(t, text, "1")
				assert.NilError(t, refreshErr)
				assert.NilError(t, orderErr)
				assert.NilError(t, probeErr)
				return
			}
			assert.Assert(t, err != nil && refreshErr != nil && probeErr != nil, "%v, %v, %v", err, refreshErr, probeErr)
			assert.Equal(t, text, "")
			if !valid {
				assert.Assert(t, orderErr != nil)
				assert.Assert(t, result.From(err).Ran != result.NotRun, "%v", err)
			}
		})
	}
}

// Guards against a part of a stream that counts as a complete one when the engine answers a long
// prompt early and its connection breaks, and against the loss of complete early streams.
func TestEarlyAnswersToUploads(t *testing.T) {
	for name, answer := range responsetest.EarlyAnswers(rand.New(rand.NewPCG(responsetest.Seed, 0))) {
		for _, size := range responsetest.Sizes {
			t.Run(fmt.Sprintf("%s/%d KB", name, size>>10), func(t *testing.T) {
				body := "data: {\"choices\":[{\"text\":\"1\"}]}\n\n"
				if answer.Whole {
					body = fmt.Sprintf(finishedText, 1)
				}
				e := newEngine(t, responsetest.Serve(t, func(c net.Conn) {
					answer.AnswerFirst(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", body)
				}))
				prompt, err := json.Marshal(map[string]string{"prompt": strings.Repeat("u", size)})
				assert.NilError(t, err)
				text := ""
				err = e.Generate(t.Context(), &adapter.Job{Kind: wire.Completion, Body: prompt}, func(ev adapter.Event) error { text += ev.Text; return nil })
				if answer.Whole {
					assert.NilError(t, err)
					assert.Equal(t, text, "1")
					return
				}
				assert.Assert(t, err != nil, "%q", text)
				assert.Assert(t, result.From(err).Ran != result.NotRun, "%v", err)
			})
		}
	}
}
