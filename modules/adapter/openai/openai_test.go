package openai

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/settings"
)

func build(t *testing.T, job adapter.Job, resume string) (map[string]any, bool) {
	t.Helper()
	b, done, err := buildBody(&job, resume)
	assert.NilError(t, err)
	body := map[string]any{}
	if !done {
		assert.NilError(t, json.Unmarshal(b, &body))
	}
	return body, done
}

// Guards against a continuation that the engine treats as a new text, that exceeds the
// caller's token limit, or that loses fields of the caller's body.
func TestBuildBody(t *testing.T) {
	job := adapter.Job{
		Kind: wire.Completion, Class: wire.Batch, PrefixText: "abc", PrefixTokens: 3,
		Body: []byte(`{"prompt":"p","max_tokens":10,"seed":12345678901234567890,"stream":false,"own":{"a":1}}`),
	}
	body, _ := build(t, job, resumeFields)
	assert.Equal(t, body["resume_text"], "abc")
	assert.Equal(t, body["resume_tokens"], 3.0)
	assert.Equal(t, body["prompt"], "p")
	assert.Equal(t, body["max_tokens"], 10.0)
	assert.Equal(t, body["stream"], true)
	assert.Equal(t, body["priority"], 2.0)
	assert.DeepEqual(t, body["own"], map[string]any{"a": 1.0})
	b, _, _ := buildBody(&job, resumeFields)
	assert.Assert(t, strings.Contains(string(b), `"seed":12345678901234567890`))

	body, _ = build(t, job, resumeConcat)
	assert.Equal(t, body["prompt"], "pabc")
	assert.Equal(t, body["max_tokens"], 7.0)

	chat := job
	chat.Kind, chat.Body = wire.Chat, []byte(`{"messages":[{"role":"user","content":"q"}]}`)
	body, _ = build(t, chat, resumeConcat)
	messages := body["messages"].([]any)
	assert.DeepEqual(t, messages[1], map[string]any{"role": "assistant", "content": "abc"})
	assert.Equal(t, body["continue_final_message"], true)

	job.PrefixTokens = 10
	_, done := build(t, job, resumeConcat)
	assert.Assert(t, done)
}

// Guards against a truncated or malformed response that is accepted as complete.
func TestMalformedStreams(t *testing.T) {
	const token = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n"
	for body, code := range map[string]result.Code{
		token:                           result.UpstreamFailed,
		token + "data: [DONE]\n\n":      result.UpstreamFailed,
		token + "data: {\"choices\":\n": result.UpstreamMalformed,
		token + "data: {\"error\":{\"message\":\"x\"}}\n\n":          result.UpstreamFailed,
		token + "data: " + strings.Repeat("x", maxEventBytes) + "\n": result.UpstreamMalformed,
	} {
		var text string
		err := readStream(strings.NewReader(body), 0, func(ev adapter.Event) error { text += ev.Text; return nil })
		assert.Assert(t, result.Is(err, code), "%v", err)
		assert.Equal(t, text, "a")
	}
}

// Guards against tokens that are counted twice or not at all, with and without a
// cumulative count in the chunks.
func TestTokensAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counts := rapid.SliceOfN(rapid.Uint32Range(1, 4), 0, 20).Draw(t, "counts")
		running := len(counts) > 0 && rapid.Bool().Draw(t, "running")
		prefix := rapid.SampledFrom([]uint32{0, 50}).Draw(t, "prefix")
		included := rapid.SampledFrom([]uint32{0, prefix}).Draw(t, "included")
		var b strings.Builder
		want, sum := uint32(0), uint32(0)
		for _, n := range counts {
			c := map[string]any{"choices": []any{map[string]any{"text": "x"}}}
			sum += n
			want++
			if running {
				want = sum
				c["usage"] = map[string]any{"completion_tokens": included + sum, "prompt_tokens": 7}
			}
			line, _ := json.Marshal(c)
			b.WriteString(": comment\n\ndata: " + string(line) + "\r\n\r\n")
		}
		last := ""
		if rapid.Bool().Draw(t, "usage at the end") && !running {
			last = fmt.Sprintf(`,"usage":{"completion_tokens":%d}`, included+uint32(len(counts)))
		}
		b.WriteString("data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]" + last + "}\n\n")
		b.WriteString("data: {\"choices\":[],\"usage\":{\"completion_tokens\":99,\"prompt_tokens\":7}}\n\ndata: [DONE]\n\n")
		have, finish := uint32(0), ""
		err := readStream(strings.NewReader(b.String()), uint64(prefix), func(ev adapter.Event) error {
			have += ev.Tokens
			finish += ev.Finish
			return nil
		})
		assert.NilError(t, err)
		assert.Equal(t, have, want)
		assert.Equal(t, finish, "stop")
	})
}

// Guards against invalid settings that are accepted until the first request.
func TestSettings(t *testing.T) {
	const head = "instance: {id: a, zone: z}\ntls: {off: true}\nroles:\n  - test:\n      upstream: {openai: "
	kernel.Register(kernel.ModuleInfo{ID: "role.test", New: func() any { return &role{} }})
	for text, wrong := range map[string]string{
		"{url: 'http://127.0.0.1:1', models: [m]}}":                 "",
		"{url: '127.0.0.1', models: [m]}}":                          "url",
		"{url: 'http://127.0.0.1:1'}}":                              "models",
		"{url: 'http://127.0.0.1:1', models: [m], slots: 0}}":       "slots",
		"{url: 'http://127.0.0.1:1', models: [m], resume: other}}":  "resume",
		"{url: 'http://127.0.0.1:1', models: [m], unknown_key: 1}}": "unknown",
	} {
		doc, err := settings.Parse("test.yaml", []byte(head+text))
		assert.NilError(t, err)
		err = kernel.Check(doc)
		if wrong == "" {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorContains(t, err, wrong)
	}
}

type role struct {
	Upstream settings.Plugin `yaml:"upstream"`
}

func (r *role) Plugins() map[string][]settings.Plugin {
	return map[string][]settings.Plugin{"adapter": {r.Upstream}}
}

// endlessReader is a body that repeats text without end and counts the bytes read.
type endlessReader struct {
	text string
	read int
}

// Read implements io.Reader.
func (r *endlessReader) Read(b []byte) (int, error) {
	n := 0
	for n < len(b) {
		c := copy(b[n:], r.text[r.read%len(r.text):])
		n += c
		r.read += c
	}
	return n, nil
}

// Guards against an engine that sends an endless body without output.
func TestStreamWithoutEnd(t *testing.T) {
	const part = `data: {"choices":[{"text":"a"}]}` + "\n\n"
	const last = `data: {"choices":[{"text":"","finish_reason":"stop"}]}` + "\n\n"
	for _, text := range []string{": ping\n", "x", "\n", "event: x\ndata: {\"choices\":[]}\n\n"} {
		for first, complete := range map[string]bool{"": false, part: false, part + last: true} {
			r := &endlessReader{text: text}
			err := readStream(io.MultiReader(strings.NewReader(first), r), 0, func(adapter.Event) error { return nil })
			// A line without end fails in the scanner even after a finish reason.
			assert.Equal(t, err == nil, complete, "%q after %q: %v", text, first, err)
			assert.Assert(t, r.read <= 3*maxBytesWithoutOutput, "%d bytes were read", r.read)
		}
	}
}

// Guards against output that is lost or counted twice because an event begins with a line that is
// no field of event streams, such as a new version of the weights.
func TestOtherFieldsOfEvents(t *testing.T) {
	const end = "data: {\"choices\":[{\"text\":\"c\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"
	const body = "weight-versions: 1\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n" +
		"weight-versions: 2\nweight-versions: 3\r\nid: 7\ndata: {\"choices\":[{\"text\":\"b\"}]}\n\nweight-versions: 4\n\nweight-versions: 5\n"
	var text string
	tokens := uint32(0)
	err := readStream(strings.NewReader(body+end), 0, func(ev adapter.Event) error { text += ev.Text; tokens += ev.Tokens; return nil })
	assert.NilError(t, err)
	assert.Equal(t, text, "abc")
	assert.Equal(t, tokens, uint32(3))
}
