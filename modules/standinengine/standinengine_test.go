package standinengine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/heatherway/internal/fault"
	"heatherway.dev/heatherway/internal/tokentext"
	"heatherway.dev/kernel"
	"heatherway.dev/kernel/settings"
	"heatherway.dev/kernel/stats"
)

// requestTimeout bounds every request, so that a hanging engine fails the test.
const requestTimeout = 10 * time.Second

func startEngine(t *testing.T, change func(*Settings)) (*Engine, string) {
	t.Helper()
	e := New()
	e.Step, e.PrefillPerToken = time.Millisecond, 0
	change(&e.Settings)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e.Bind(l, slog.New(slog.DiscardHandler), stats.New())
	assert.NilError(t, e.Start(t.Context()))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = e.Stop(ctx)
	})
	return e, "http://" + e.Addr()
}

func post(t *testing.T, url, body string) *http.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

type streamResult struct {
	text  string
	count int
	usage *usage
	done  bool
	err   error
}

func readStream(r io.Reader, maxTokens int) streamResult {
	var result streamResult
	lines := bufio.NewScanner(r)
	for result.count < maxTokens && lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.done = true
			continue
		}
		var c chunk
		if result.err = json.Unmarshal([]byte(data), &c); result.err != nil {
			return result
		}
		if c.Usage != nil {
			result.usage = c.Usage
			continue
		}
		if c.Choices[0].Text != nil {
			result.text += *c.Choices[0].Text
		} else {
			result.text += c.Choices[0].Delta.Content
		}
		result.count++
	}
	result.err = lines.Err()
	return result
}

const noTokenLimit = 1 << 20

// Guards against a resumed generation that repeats, skips or changes a token.
func TestResumeContinuesTheSameText(t *testing.T) {
	_, url := startEngine(t, func(*Settings) {})
	want := tokentext.New("dear reader", 7)
	first := readStream(post(t, url+"/v1/completions", `{"model":"letters","prompt":"dear reader","seed":7,"max_tokens":40,"stream":true}`).Body, 15)
	assert.Equal(t, first.text, want.Prefix(15))
	body := fmt.Sprintf(`{"model":"letters","prompt":"dear reader","seed":7,"max_tokens":40,"stream":true,"resume_text":%q,"resume_tokens":15}`, first.text)
	rest := readStream(post(t, url+"/v1/completions", body).Body, noTokenLimit)
	assert.Equal(t, first.text+rest.text, want.Prefix(40))
	assert.Assert(t, rest.done)
	assert.Equal(t, rest.usage.CompletionTokens, 40)
}

// Guards against a resume that continues with the original text although the
// prefix belongs to another generation.
func TestForeignPrefixChangesTheText(t *testing.T) {
	_, url := startEngine(t, func(*Settings) {})
	rest := readStream(post(t, url+"/v1/completions", `{"model":"letters","prompt":"a","max_tokens":2,"stream":true,"resume_text":" wrong","resume_tokens":1}`).Body, noTokenLimit)
	assert.Assert(t, rest.text != tokentext.At("a", 0, 1))
}

// Guards against chat and non-streamed responses whose text differs from the
// streamed one, and against a usage object without the cached tokens.
func TestWholeChatAnswerAndPrefixCache(t *testing.T) {
	_, url := startEngine(t, func(*Settings) {})
	long := strings.Repeat("x", 3*blockChars)
	body := fmt.Sprintf(`{"model":"letters","messages":[{"role":"user","content":%q}],"max_tokens":5}`, long)
	for _, cached := range []int{0, 3 * blockChars / charsPerToken} {
		var c chunk
		assert.NilError(t, json.NewDecoder(post(t, url+"/v1/chat/completions", body).Body).Decode(&c))
		assert.Equal(t, c.Choices[0].Message.Content, tokentext.New("user"+long, 0).Prefix(5))
		assert.Equal(t, c.Usage.Details.CachedTokens, cached)
	}
	var e Event
	resp, err := http.Get(url + "/cache_events?after=2")
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&e))
	assert.Equal(t, e.Seq, uint64(3))
	assert.Equal(t, e.Block, BlockHashes("user" + long)[1])
}

// Guards against an urgent request that waits behind less urgent ones that
// arrived earlier, and against a cancelled request that keeps its slot.
func TestPriorityAndCancel(t *testing.T) {
	b := newBatch(Settings{Slots: 1})
	jobs := make([]*job, 3)
	for i, priority := range []int{5, 5, 1} {
		jobs[i] = &job{maxTokens: 100, priority: priority}
		jobs[i].prepare()
		b.add(jobs[i])
		b.step(time.Now())
	}
	assert.Equal(t, b.load().Waiting, 2)
	b.cancel(jobs[0])
	b.step(time.Now())
	assert.Equal(t, jobs[2].produced, 1)
	assert.Equal(t, jobs[1].produced, 0)
}

// Guards against a simulated crash that leaves connections open, and against an
// engine that can't be resumed after it.
func TestDieResetsAndResumeRestarts(t *testing.T) {
	e, url := startEngine(t, func(s *Settings) { s.CrashOn = "poison" })
	runningStream := post(t, url+"/v1/completions", `{"model":"letters","prompt":"a","max_tokens":100000,"stream":true}`)
	assert.Equal(t, readStream(runningStream.Body, 3).count, 3)
	_, err := http.Post(url+"/v1/completions", "", strings.NewReader(`{"model":"letters","prompt":"poison"}`))
	assert.Assert(t, err != nil)
	assert.ErrorContains(t, readStream(runningStream.Body, noTokenLimit).err, "reset")
	_, err = http.Get(url + "/health")
	assert.ErrorContains(t, err, "refused")
	e.Fault(fault.Resume)
	assert.Equal(t, readStream(post(t, url+"/v1/completions", `{"model":"letters","prompt":"a","stream":true}`).Body, noTokenLimit).count, defaultMaxTokens)
}

// Guards against the silence fault passing bytes on old connections or blocking
// new ones, and against a paused engine that still answers.
func TestSilenceAndPause(t *testing.T) {
	e, url := startEngine(t, func(*Settings) {})
	body := `{"model":"letters","prompt":"a","max_tokens":200,"stream":true}`
	oldStream := post(t, url+"/v1/completions", body)
	assert.Equal(t, readStream(oldStream.Body, 3).count, 3)
	e.Fault(fault.Silence)
	silentResult := make(chan streamResult, 1)
	go func() { silentResult <- readStream(oldStream.Body, noTokenLimit) }()
	http.DefaultClient.CloseIdleConnections()
	assert.Assert(t, readStream(post(t, url+"/v1/completions", body).Body, noTokenLimit).done)
	select {
	case <-silentResult:
		t.Fatal("the stream on the silenced connection ended")
	case <-time.After(50 * time.Millisecond):
	}
	e.Fault(fault.Pause)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/health", nil)
	assert.NilError(t, err)
	_, err = http.DefaultClient.Do(req)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	post(t, url+"/fault", `{"kind":"resume"}`)
	assert.Assert(t, (<-silentResult).done)
}

// Guards against an engine that applies an order of a former lease holder
// although checks_fence is set.
func TestOrdersCheckFence(t *testing.T) {
	for _, checks := range []bool{true, false} {
		_, url := startEngine(t, func(s *Settings) { s.ChecksFence = checks })
		post(t, url+"/orders", `{"fence":5,"action":"load","model":"notes"}`)
		stale := post(t, url+"/orders", `{"fence":4,"action":"unload","model":"notes"}`)
		assert.Equal(t, stale.StatusCode == http.StatusConflict, checks)
		response := post(t, url+"/v1/completions", `{"model":"notes","prompt":"a"}`)
		assert.Equal(t, response.StatusCode == http.StatusOK, checks)
	}
}

// Guards against event_lag, event_loss or load_lag being ignored, so that
// cache events or the load are reported without delay or loss.
func TestLagAndLoss(t *testing.T) {
	b := newBatch(Settings{Slots: 1, PrefixCacheBlocks: 1, EventLag: time.Second, EventLoss: 0.5, LoadLag: time.Second})
	j := &job{maxTokens: 1, prompt: strings.Repeat("x", 50*blockChars)}
	j.prepare()
	start := time.Now()
	b.step(start)
	b.add(j)
	b.step(start.Add(time.Millisecond))
	assert.Equal(t, len(b.events(0, start.Add(500*time.Millisecond))), 0)
	kept := len(b.events(0, start.Add(2*time.Second)))
	assert.Assert(t, kept > 0 && kept < 99, "%d of 99 cache events were kept, want some of them lost", kept)
	assert.Equal(t, b.load().Running, 0)
	b.step(start.Add(2 * time.Second))
	assert.Equal(t, b.load().Running, 1)
}

// Guards against inlined fault settings that the strict YAML decoder rejects as
// unknown keys.
func TestSettingsDecode(t *testing.T) {
	text := `
instance: {id: a, zone: z}
tls: {off: true}
roles:
  - standin-engine: {listen: "127.0.0.1:0", restart_after: 1s, models: [letters], step: 5ms}
`
	doc, err := settings.Parse("test", []byte(text))
	assert.NilError(t, err)
	assert.NilError(t, kernel.Check(doc))
	doc, err = settings.Parse("test", []byte(strings.Replace(text, "5ms", "0s", 1)))
	assert.NilError(t, err)
	assert.ErrorContains(t, kernel.Check(doc), "test:5:")
}
