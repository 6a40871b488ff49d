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

func answering(n int) func(*frameWriter, *wire.GenerateRequest) {
	return func(w *frameWriter, r *wire.GenerateRequest) {
		w.send(wire.Frame{Kind: wire.FrameStarted, PromptTokens: 7})
		w.tokens(int(r.PrefixTokens), n)
		w.end(n)
	}
}

// Guards the four OpenAI answer forms and the usage chunk.
func TestAnswerForms(t *testing.T) {
	f := newFleet(t, newFakeAgent(t, "agent-1", answering(3)))
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
		r := f.do(http.MethodPost, c.path, c.body)
		assert.Equal(t, r.status, http.StatusOK, r.body)
		assert.Assert(t, strings.Contains(r.body, c.want), r.body)
	}
	models := f.do(http.MethodGet, "/v1/models", "")
	assert.Assert(t, strings.Contains(models.body, `"data":[{"id":"letters","object":"model"`), models.body)
}

// Guards against a failure that has another JSON shape or no numbered code,
// whichever layer finds it.
func TestFailuresHaveOneShape(t *testing.T) {
	f := newFleet(t, newFakeAgent(t, "agent-1", answering(1)))
	for name, c := range map[string]struct {
		method, path, body string
		headers            []string
		status, code       int
	}{
		"no key":          {"POST", "/v1/completions", streamBody, []string{"Authorization", ""}, 401, 4010},
		"unknown key":     {"POST", "/v1/completions", streamBody, []string{"Authorization", "Bearer x"}, 401, 4011},
		"no body":         {"POST", "/v1/completions", "", nil, 400, 4000},
		"not JSON":        {"POST", "/v1/completions", "{", nil, 400, 4000},
		"wrong type":      {"POST", "/v1/completions", `{"model":7,"prompt":""}`, nil, 400, 4000},
		"missing field":   {"POST", "/v1/completions", `{"model":"letters"}`, nil, 400, 4001},
		"out of range":    {"POST", "/v1/completions", `{"model":"letters","prompt":"","n":2}`, nil, 400, 4001},
		"wrong header":    {"POST", "/v1/completions", streamBody, []string{"X-Heatherway-Class", "soon"}, 400, 4002},
		"wrong deadline":  {"POST", "/v1/completions", streamBody, []string{"X-Heatherway-Deadline-Ms", "0"}, 400, 4002},
		"oversized body":  {"POST", "/v1/completions", `{"prompt":"` + strings.Repeat("x", 5000) + `"}`, nil, 413, 4130},
		"unknown model":   {"POST", "/v1/completions", `{"model":"none","prompt":""}`, nil, 404, 4041},
		"bad event id":    {"POST", "/v1/completions", streamBody, []string{"Last-Event-ID", "7"}, 400, 4003},
		"unknown route":   {"GET", "/v2/completions", "", nil, 404, 4040},
		"unknown method":  {"PATCH", "/v1/completions", "", nil, 404, 4040},
		"unknown service": {"GET", "/v1/services/none/x", "", nil, 404, 4042},
		"repeat header":   {"GET", "/v1/services/orders/x", "", []string{"X-Heatherway-Repeat", "maybe"}, 400, 4002},
	} {
		t.Run(name, func(t *testing.T) {
			r := f.do(c.method, c.path, c.body, c.headers...)
			assert.Equal(t, r.status, c.status, r.body)
			p := problemOf(t, r.body)
			assert.Equal(t, p.Code, c.code, r.body)
			assert.Equal(t, p.Ran, "not_run")
			assert.Assert(t, p.Message != "" && p.Type == p.Name && p.RequestID == r.header.Get("X-Request-Id"), r.body)
		})
	}
}

// Guards against a Retry-After that lets callers return too early.
func TestRetryAfterIsRoundedUp(t *testing.T) {
	f := newFleet(t, newFakeAgent(t, "agent-1", func(w *frameWriter, _ *wire.GenerateRequest) {
		w.send(wire.Frame{Kind: wire.FrameFail, Code: result.QueueFull, RetryMS: 1200})
	}))
	r := f.do(http.MethodPost, "/v1/completions", streamBody)
	assert.Equal(t, r.status, http.StatusTooManyRequests, r.body)
	assert.Equal(t, r.header.Get("Retry-After"), "2")
	p := problemOf(t, r.body)
	assert.Equal(t, p.RetryAfterMS, int64(1200))
	assert.Equal(t, p.Ran, "not_run")
}

// Guards against an endless body that holds memory or a connection.
func TestEndlessBodyIsCut(t *testing.T) {
	f := newFleet(t, newFakeAgent(t, "agent-1", answering(1)))
	conn, err := net.Dial("tcp", f.m.public.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n", testKey)
	for range 8 {
		fmt.Fprintf(conn, "400\r\n%s\r\n", strings.Repeat("x", 0x400))
	}
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusRequestEntityTooLarge)
}

// twoAgents returns agents of which whichever is asked first runs first, and
// the other second.
func twoAgents(t *testing.T, first, second func(*frameWriter, *wire.GenerateRequest)) (*fakeAgent, *fakeAgent) {
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

// Guards I1 when an agent breaks off: the second attempt gets exactly the
// delivered text as prefix, and the caller sees no seam.
func TestResumesElsewhereAfterReset(t *testing.T) {
	a, b := twoAgents(t, func(w *frameWriter, _ *wire.GenerateRequest) {
		w.tokens(0, 4)
		w.reset()
	}, answering(9))
	f := newFleet(t, a, b)
	begun := time.Now()
	r := f.do(http.MethodPost, "/v1/completions", streamBody)
	assert.Equal(t, textOf(t, r.body), wantText(0, 9))
	assert.Assert(t, strings.HasSuffix(r.body, "data: [DONE]\n\n"))
	assert.Assert(t, time.Since(begun) < time.Second)
	second := append(a.seen(), b.seen()...)
	for _, req := range second {
		if req.Attempt == 2 {
			assert.Equal(t, req.PrefixTokens, uint64(4))
			assert.Equal(t, req.PrefixText, wantText(0, 4))
			assert.DeepEqual(t, req.Body, second[0].Body)
			return
		}
	}
	t.Fatal("no second attempt")
}

// Guards against waiting on a connection that has gone silent while the agent
// lives: a new connection reads on at the next offset.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a := newFakeAgent(t, "agent-1", func(w *frameWriter, r *wire.GenerateRequest) {
		if r.Attach {
			w.tokens(int(r.Offset), 6)
			w.end(6)
			return
		}
		w.tokens(0, 3)
		<-w.ctx.Done()
	})
	f := newFleet(t, a)
	begun := time.Now()
	r := f.do(http.MethodPost, "/v1/completions", streamBody)
	assert.Equal(t, textOf(t, r.body), wantText(0, 6))
	assert.Assert(t, time.Since(begun) < 1500*time.Millisecond)
	assert.Equal(t, a.seen()[1].Offset, uint64(3))
	assert.Equal(t, a.seen()[1].Attempt, uint32(1))
}

// Guards the end of a stream that cannot go on: an error event, no [DONE].
func TestFailureAfterTheStreamHasBegun(t *testing.T) {
	f := newFleet(t, newFakeAgent(t, "agent-1", func(w *frameWriter, _ *wire.GenerateRequest) {
		w.tokens(0, 2)
		w.send(wire.Frame{Kind: wire.FrameFail, Offset: 2, Code: result.AnswerTooLarge, Ran: result.DidRun})
	}))
	r := f.do(http.MethodPost, "/v1/completions", streamBody)
	assert.Equal(t, r.status, http.StatusOK)
	assert.Assert(t, !strings.Contains(r.body, "[DONE]"), r.body)
	last := r.body[strings.LastIndex(r.body, "data: ")+len("data: "):]
	assert.Equal(t, problemOf(t, last).Code, int(result.AnswerTooLarge))
}

// Guards the resume after the loss of an entry: the request attaches to the
// agent that the event id names, at the offset the caller has.
func TestLastEventIDAttaches(t *testing.T) {
	a := newFakeAgent(t, "agent-1", func(w *frameWriter, r *wire.GenerateRequest) {
		if !r.Attach {
			t.Error("the generation was started again")
		}
		w.tokens(int(r.Offset), 8)
		w.end(8)
	})
	f := newFleet(t, a)
	id := wire.EventID{Generation: wire.NewID(), Agent: "agent-1", Attempt: 2, Offset: 5}
	r := f.do(http.MethodPost, "/v1/completions", streamBody, "Last-Event-ID", id.String())
	assert.Equal(t, textOf(t, r.body), wantText(5, 8))
	req := a.seen()[0]
	assert.Equal(t, req.Generation, id.Generation)
	assert.Equal(t, req.Attempt, uint32(2))
	assert.Assert(t, req.Fingerprint != "")
}

// Guards the outcomes of a resume point whose engine or agent is lost.
func TestLastEventIDAfterLosses(t *testing.T) {
	held := func(w *frameWriter, r *wire.GenerateRequest) {
		if !r.Attach {
			answering(8)(w, r)
			return
		}
		if !r.Prefix {
			t.Error("the entry did not ask for the text that it lacks")
		}
		w.send(wire.Frame{Kind: wire.FrameQueued, Tokens: uint32(r.Offset), Text: wantText(0, int(r.Offset))})
		w.tokens(int(r.Offset), 6)
		w.send(wire.Frame{Kind: wire.FrameFail, Offset: 6, Code: result.UpstreamFailed, Ran: result.DidRun})
	}
	f := newFleet(t, newFakeAgent(t, "agent-1", held), newFakeAgent(t, "agent-2", held))
	id := wire.EventID{Generation: wire.NewID(), Agent: "agent-1", Attempt: 1, Offset: 5}
	r := f.do(http.MethodPost, "/v1/completions", streamBody, "Last-Event-ID", id.String())
	assert.Equal(t, textOf(t, r.body), wantText(5, 8), r.body)

	id.Agent = "agent-gone"
	r = f.do(http.MethodPost, "/v1/completions", streamBody, "Last-Event-ID", id.String())
	assert.Equal(t, r.status, http.StatusGone, r.body)
	p := problemOf(t, r.body)
	assert.Equal(t, p.Code, int(result.GenerationLost))
	assert.Equal(t, p.Ran, "ran")
}

// Guards the comment that tells a waiting caller from a silent connection.
func TestIdleStreamCarriesComments(t *testing.T) {
	f := newFleet(t, newFakeAgent(t, "agent-1", func(w *frameWriter, _ *wire.GenerateRequest) {
		for range 10 {
			w.send(wire.Frame{Kind: wire.FrameHeartbeat})
			time.Sleep(250 * time.Millisecond)
		}
		w.tokens(0, 1)
		w.end(1)
	}))
	r := f.do(http.MethodPost, "/v1/completions", streamBody)
	assert.Equal(t, textOf(t, r.body), wantText(0, 1))
	assert.Assert(t, strings.Count(r.body, ": waiting\n\n") >= 2, r.body)
}
