package entry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

const streamingBody = `{"model":"letters","prompt":"hi","stream":true,"custom":{"x":1}}`

// Guards against a stream that deviates from the OpenAI format, and against the
// loss of body fields that the API does not declare.
func TestStreamsCompletion(t *testing.T) {
	a := newFakeAgent(t, "agent-1", func(w *frameWriter, r *wire.GenerateRequest) {
		w.sendFrame(wire.Frame{Kind: wire.FrameStarted, PromptTokens: 7})
		w.sendTokens(0, 5)
		w.sendEnd(5)
	})
	f := newFixture(t, a)
	r := f.request(http.MethodPost, "/v1/completions", streamingBody)
	assert.Equal(t, r.status, http.StatusOK, r.body)
	assert.Equal(t, r.header.Get("Content-Type"), "text/event-stream")
	assert.Equal(t, decodeText(t, r.body), expectedText(0, 5))
	assert.Assert(t, strings.HasSuffix(r.body, "data: [DONE]\n\n"))
	req := a.receivedRequests()[0]
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

// generateTokens returns a script that sends the tokens up to n, from the end of
// the request's prefix on.
func generateTokens(n int) func(*frameWriter, *wire.GenerateRequest) {
	return func(w *frameWriter, r *wire.GenerateRequest) {
		w.sendFrame(wire.Frame{Kind: wire.FrameStarted, PromptTokens: 7})
		w.sendTokens(int(r.PrefixTokens), n)
		w.sendEnd(n)
	}
}

// Guards the OpenAI response formats: both routes, with and without streaming,
// and the usage chunk.
func TestAnswerForms(t *testing.T) {
	f := newFixture(t, newFakeAgent(t, "agent-1", generateTokens(3)))
	for _, c := range []struct{ path, body, want string }{
		{"/v1/completions", `{"model":"letters","prompt":"hi"}`,
			`"choices":[{"text":"t0 t1 t2 ","index":0,"logprobs":null,"finish_reason":"stop"}],"usage":{"prompt_tokens":7,"completion_tokens":3,"total_tokens":10`},
		{"/v1/chat/completions", `{"model":"letters","messages":[{"role":"user","content":"hi"}]}`,
			`"message":{"role":"assistant","content":"t0 t1 t2 "}`},
		{"/v1/chat/completions", `{"model":"letters","stream":true,"messages":[{"role":"user","content":"hi"}]}`,
			`"choices":[{"index":0,"delta":{"content":"t1 "},"finish_reason":null}]`},
		{"/v1/completions", `{"model":"letters","prompt":"hi","stream":true,"stream_options":{"include_usage":true}}`,
			`"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":3,"total_tokens":10`},
	} {
		r := f.request(http.MethodPost, c.path, c.body)
		assert.Equal(t, r.status, http.StatusOK, r.body)
		assert.Assert(t, strings.Contains(r.body, c.want), r.body)
	}
	models := f.request(http.MethodGet, "/v1/models", "")
	assert.Assert(t, strings.Contains(models.body, `"data":[{"id":"letters","object":"model"`), models.body)
}

// Guards against errors with another JSON format or without a result code,
// whichever layer detects them.
func TestErrorsHaveOneShape(t *testing.T) {
	f := newFixture(t, newFakeAgent(t, "agent-1", generateTokens(1)))
	for name, c := range map[string]struct {
		method, path, body string
		headers            []string
		status, code       int
	}{
		"no key":          {"POST", "/v1/completions", streamingBody, []string{"Authorization", ""}, 401, 4010},
		"unknown key":     {"POST", "/v1/completions", streamingBody, []string{"Authorization", "Bearer x"}, 401, 4011},
		"no body":         {"POST", "/v1/completions", "", nil, 400, 4000},
		"not JSON":        {"POST", "/v1/completions", "{", nil, 400, 4000},
		"wrong type":      {"POST", "/v1/completions", `{"model":7,"prompt":""}`, nil, 400, 4000},
		"missing field":   {"POST", "/v1/completions", `{"model":"letters"}`, nil, 400, 4001},
		"out of range":    {"POST", "/v1/completions", `{"model":"letters","prompt":"","n":2}`, nil, 400, 4001},
		"wrong header":    {"POST", "/v1/completions", streamingBody, []string{"X-Heatherway-Class", "soon"}, 400, 4002},
		"wrong deadline":  {"POST", "/v1/completions", streamingBody, []string{"X-Heatherway-Deadline-Ms", "0"}, 400, 4002},
		"oversized body":  {"POST", "/v1/completions", `{"prompt":"` + strings.Repeat("x", 5000) + `"}`, nil, 413, 4130},
		"unknown model":   {"POST", "/v1/completions", `{"model":"none","prompt":""}`, nil, 404, 4041},
		"bad event id":    {"POST", "/v1/completions", streamingBody, []string{"Last-Event-ID", "7"}, 400, 4003},
		"unknown route":   {"GET", "/v2/completions", "", nil, 404, 4040},
		"unknown method":  {"PATCH", "/v1/completions", "", nil, 404, 4040},
		"unknown service": {"GET", "/v1/services/none/x", "", nil, 404, 4042},
		"repeat header":   {"GET", "/v1/services/orders/x", "", []string{"X-Heatherway-Repeat", "maybe"}, 400, 4002},
	} {
		t.Run(name, func(t *testing.T) {
			r := f.request(c.method, c.path, c.body, c.headers...)
			assert.Equal(t, r.status, c.status, r.body)
			p := decodeProblem(t, r.body)
			assert.Equal(t, p.Code, c.code, r.body)
			assert.Equal(t, p.Ran, "not_run")
			assert.Assert(t, p.Message != "" && p.Type == p.Name && p.RequestID == r.header.Get("X-Request-Id"), r.body)
		})
	}
}

// Guards against a Retry-After header that is rounded down, so that callers
// retry too early.
func TestRetryAfterIsRoundedUp(t *testing.T) {
	f := newFixture(t, newFakeAgent(t, "agent-1", func(w *frameWriter, _ *wire.GenerateRequest) {
		w.sendFrame(wire.Frame{Kind: wire.FrameFail, Code: result.QueueFull, RetryMS: 1200})
	}))
	r := f.request(http.MethodPost, "/v1/completions", streamingBody)
	assert.Equal(t, r.status, http.StatusTooManyRequests, r.body)
	assert.Equal(t, r.header.Get("Retry-After"), "2")
	p := decodeProblem(t, r.body)
	assert.Equal(t, p.RetryAfterMS, int64(1200))
	assert.Equal(t, p.Ran, "not_run")
}

// Guards against a chunked body without end that occupies memory or a
// connection.
func TestOversizedChunkedBodyIsRejected(t *testing.T) {
	f := newFixture(t, newFakeAgent(t, "agent-1", generateTokens(1)))
	conn, err := net.Dial("tcp", f.module.publicListener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n", testAPIKey)
	for range 8 {
		fmt.Fprintf(conn, "400\r\n%s\r\n", strings.Repeat("x", 0x400))
	}
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusRequestEntityTooLarge)
}

// newAgentPair returns two agents. The first request to either of them runs
// first, later ones run second.
func newAgentPair(t *testing.T, first, second func(*frameWriter, *wire.GenerateRequest)) (*fakeAgent, *fakeAgent) {
	var asked atomic.Int32
	script := func(w *frameWriter, r *wire.GenerateRequest) {
		if asked.Add(1) == 1 {
			first(w, r)
			return
		}
		second(w, r)
	}
	return newFakeAgent(t, "agent-1", script), newFakeAgent(t, "agent-2", script)
}

// Guards I1 when an agent resets the connection: the second attempt gets exactly
// the delivered text as its prefix, and the caller receives the complete text.
func TestResumesOnOtherAgentAfterReset(t *testing.T) {
	a, b := newAgentPair(t, func(w *frameWriter, _ *wire.GenerateRequest) {
		w.sendTokens(0, 4)
		w.abortConnection()
	}, generateTokens(9))
	f := newFixture(t, a, b)
	begun := time.Now()
	r := f.request(http.MethodPost, "/v1/completions", streamingBody)
	assert.Equal(t, decodeText(t, r.body), expectedText(0, 9))
	assert.Assert(t, strings.HasSuffix(r.body, "data: [DONE]\n\n"))
	assert.Assert(t, time.Since(begun) < time.Second)
	second := append(a.receivedRequests(), b.receivedRequests()...)
	for _, req := range second {
		if req.Attempt == 2 {
			assert.Equal(t, req.PrefixTokens, uint64(4))
			assert.Equal(t, req.PrefixText, expectedText(0, 4))
			assert.DeepEqual(t, req.Body, second[0].Body)
			return
		}
	}
	t.Fatal("no second attempt")
}

// Guards against waiting on a silent connection while the agent is running: a
// new connection continues at the next offset.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a := newFakeAgent(t, "agent-1", func(w *frameWriter, r *wire.GenerateRequest) {
		if r.Attach {
			w.sendTokens(int(r.Offset), 6)
			w.sendEnd(6)
			return
		}
		w.sendTokens(0, 3)
		<-w.ctx.Done()
	})
	f := newFixture(t, a)
	begun := time.Now()
	r := f.request(http.MethodPost, "/v1/completions", streamingBody)
	assert.Equal(t, decodeText(t, r.body), expectedText(0, 6))
	assert.Assert(t, time.Since(begun) < 1500*time.Millisecond)
	assert.Equal(t, a.receivedRequests()[1].Offset, uint64(3))
	assert.Equal(t, a.receivedRequests()[1].Attempt, uint32(1))
}

// Guards the end of a stream that cannot continue: an error event without
// [DONE].
func TestErrorAfterStreamStarted(t *testing.T) {
	f := newFixture(t, newFakeAgent(t, "agent-1", func(w *frameWriter, _ *wire.GenerateRequest) {
		w.sendTokens(0, 2)
		w.sendFrame(wire.Frame{Kind: wire.FrameFail, Offset: 2, Code: result.AnswerTooLarge, Ran: result.DidRun})
	}))
	r := f.request(http.MethodPost, "/v1/completions", streamingBody)
	assert.Equal(t, r.status, http.StatusOK)
	assert.Assert(t, !strings.Contains(r.body, "[DONE]"), r.body)
	last := r.body[strings.LastIndex(r.body, "data: ")+len("data: "):]
	assert.Equal(t, decodeProblem(t, last).Code, int(result.AnswerTooLarge))
}

// Guards the resume after the loss of an entry: the request attaches to the
// agent in the event id, at the caller's offset.
func TestLastEventIDAttaches(t *testing.T) {
	a := newFakeAgent(t, "agent-1", func(w *frameWriter, r *wire.GenerateRequest) {
		if !r.Attach {
			t.Error("the generation was started again")
		}
		w.sendTokens(int(r.Offset), 8)
		w.sendEnd(8)
	})
	f := newFixture(t, a)
	id := wire.EventID{Generation: wire.NewID(), Agent: "agent-1", Attempt: 2, Offset: 5}
	r := f.request(http.MethodPost, "/v1/completions", streamingBody, "Last-Event-ID", id.String())
	assert.Equal(t, decodeText(t, r.body), expectedText(5, 8))
	req := a.receivedRequests()[0]
	assert.Equal(t, req.Generation, id.Generation)
	assert.Equal(t, req.Attempt, uint32(2))
	assert.Assert(t, req.Fingerprint != "")
}

// Guards the resume from an event id whose engine or agent has been lost.
func TestLastEventIDAfterEngineOrAgentLoss(t *testing.T) {
	attachThenFail := func(w *frameWriter, r *wire.GenerateRequest) {
		if !r.Attach {
			generateTokens(8)(w, r)
			return
		}
		if !r.Prefix {
			t.Error("the entry did not request the text before the offset")
		}
		w.sendFrame(wire.Frame{Kind: wire.FrameQueued, Tokens: uint32(r.Offset), Text: expectedText(0, int(r.Offset))})
		w.sendTokens(int(r.Offset), 6)
		w.sendFrame(wire.Frame{Kind: wire.FrameFail, Offset: 6, Code: result.UpstreamFailed, Ran: result.DidRun})
	}
	f := newFixture(t, newFakeAgent(t, "agent-1", attachThenFail), newFakeAgent(t, "agent-2", attachThenFail))
	id := wire.EventID{Generation: wire.NewID(), Agent: "agent-1", Attempt: 1, Offset: 5}
	r := f.request(http.MethodPost, "/v1/completions", streamingBody, "Last-Event-ID", id.String())
	assert.Equal(t, decodeText(t, r.body), expectedText(5, 8), r.body)

	id.Agent = "agent-gone"
	r = f.request(http.MethodPost, "/v1/completions", streamingBody, "Last-Event-ID", id.String())
	assert.Equal(t, r.status, http.StatusGone, r.body)
	p := decodeProblem(t, r.body)
	assert.Equal(t, p.Code, int(result.GenerationLost))
	assert.Equal(t, p.Ran, "ran")
}

// Guards the comments by which a caller can tell a waiting stream from a dead
// connection.
func TestIdleStreamSendsComments(t *testing.T) {
	f := newFixture(t, newFakeAgent(t, "agent-1", func(w *frameWriter, _ *wire.GenerateRequest) {
		for range 10 {
			w.sendFrame(wire.Frame{Kind: wire.FrameHeartbeat})
			time.Sleep(250 * time.Millisecond)
		}
		w.sendTokens(0, 1)
		w.sendEnd(1)
	}))
	r := f.request(http.MethodPost, "/v1/completions", streamingBody)
	assert.Equal(t, decodeText(t, r.body), expectedText(0, 1))
	assert.Assert(t, strings.Count(r.body, ": waiting\n\n") >= 2, r.body)
}
