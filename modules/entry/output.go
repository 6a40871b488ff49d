package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"heatherway.dev/core/stream"
	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/failure"
	"heatherway.dev/kernel/result"
)

// output writes the answer in the form that the caller asked for.
type output interface {
	contentType() string
	// headReady tells that the status of the answer is certain.
	headReady() bool
	// attach sets where the answer goes; text accepted before is written then.
	attach(io.Writer)
	token(text string, id wire.EventID)
	flush()
	idle()
	finish(stream.Outcome)
}

func newOutput(d *driver) output {
	if d.r.stream {
		return newEvents(d)
	}
	return &whole{d: d}
}

// usage is the OpenAI count of tokens.
type usage struct {
	PromptTokens     uint32  `json:"prompt_tokens"`
	CompletionTokens uint64  `json:"completion_tokens"`
	TotalTokens      uint64  `json:"total_tokens"`
	Details          details `json:"prompt_tokens_details"`
}

type details struct {
	CachedTokens uint32 `json:"cached_tokens"`
}

func newUsage(o stream.Outcome) usage {
	return usage{o.PromptTokens, o.Tokens, uint64(o.PromptTokens) + o.Tokens, details{o.CachedTokens}}
}

// answer is the whole answer of either route.
type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Index        int      `json:"index"`
	Logprobs     *string  `json:"logprobs"`
	FinishReason string   `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// whole collects the answer and writes it at the end.
type whole struct {
	d *driver
	w io.Writer
}

func (o *whole) contentType() string        { return "application/json" }
func (o *whole) headReady() bool            { return false }
func (o *whole) attach(w io.Writer)         { o.w = w }
func (o *whole) token(string, wire.EventID) {}
func (o *whole) flush()                     {}
func (o *whole) idle()                      {}

func (o *whole) finish(out stream.Outcome) {
	text, _ := o.d.asm.Text()
	a := answer{ID: answerID(o.d.r), Object: "text_completion", Created: o.d.r.begun.Unix(), Model: o.d.r.model, Usage: newUsage(out)}
	c := choice{Text: &text, FinishReason: out.Finish}
	if o.d.r.kind == wire.Chat {
		a.Object = "chat.completion"
		c.Text, c.Message = nil, &message{Role: "assistant", Content: text}
	}
	a.Choices = []choice{c}
	b, err := json.Marshal(a)
	if err != nil {
		o.d.m.log.Error("cannot encode the answer", "error", err)
		return
	}
	o.d.write(o.w, controller(o.w), append(b, '\n'))
}

func answerID(r *request) string {
	if r.kind == wire.Chat {
		return "chatcmpl-" + string(r.generation)
	}
	return "cmpl-" + string(r.generation)
}

// events writes server-sent events.
type events struct {
	d   *driver
	w   io.Writer
	rc  *http.ResponseController
	buf []byte
	// head and tail enclose the text of a chunk.
	head, tail string
	opened     bool
	ready      bool
	dirty      bool
}

func newEvents(d *driver) *events { return &events{d: d} }

func (o *events) contentType() string { return "text/event-stream" }
func (o *events) headReady() bool     { return o.ready }

func (o *events) attach(w io.Writer) {
	o.w, o.rc = w, controller(w)
	if len(o.buf) == 0 {
		o.buf = append(o.buf, ": waiting\n\n"...)
	}
	o.send()
	o.flush()
}

// template makes the parts of a chunk that do not change.
func (o *events) template() {
	r := o.d.r
	model, _ := json.Marshal(r.model)
	object := "text_completion"
	if r.kind == wire.Chat {
		object = "chat.completion.chunk"
	}
	o.head = `data: {"id":"` + answerID(r) + `","object":"` + object + `","created":` + strconv.FormatInt(r.begun.Unix(), 10) +
		`,"model":` + string(model)
	o.tail = "}\n\n"
	if r.includeUsage {
		o.tail = `,"usage":null` + o.tail
	}
}

// open writes what comes before the first text.
func (o *events) open(id wire.EventID) {
	if o.opened {
		return
	}
	o.opened = true
	o.template()
	if o.d.r.kind == wire.Chat && o.d.r.resume == nil {
		id.Offset = 0
		o.chunk(id, `{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}`)
	}
}

func (o *events) id(id wire.EventID) {
	o.buf = append(o.buf, "id: "...)
	o.buf = append(o.buf, id.Generation...)
	o.buf = append(o.buf, '.')
	o.buf = strconv.AppendUint(o.buf, uint64(id.Attempt), 10)
	o.buf = append(o.buf, '.')
	o.buf = strconv.AppendUint(o.buf, id.Offset, 10)
	o.buf = append(o.buf, '.')
	o.buf = append(o.buf, id.Agent...)
	o.buf = append(o.buf, '\n')
}

func (o *events) chunk(id wire.EventID, choice string) {
	o.id(id)
	o.buf = append(o.buf, o.head...)
	o.buf = append(o.buf, `,"choices":[`...)
	o.buf = append(o.buf, choice...)
	o.buf = append(o.buf, ']')
	o.buf = append(o.buf, o.tail...)
}

func (o *events) token(text string, id wire.EventID) {
	o.open(id)
	o.ready = true
	o.id(id)
	o.buf = append(o.buf, o.head...)
	if o.d.r.kind == wire.Chat {
		o.buf = append(o.buf, `,"choices":[{"index":0,"delta":{"content":`...)
		o.buf = appendJSON(o.buf, text)
		o.buf = append(o.buf, `},"finish_reason":null}]`...)
	} else {
		o.buf = append(o.buf, `,"choices":[{"text":`...)
		o.buf = appendJSON(o.buf, text)
		o.buf = append(o.buf, `,"index":0,"logprobs":null,"finish_reason":null}]`...)
	}
	o.buf = append(o.buf, o.tail...)
	o.send()
}

// appendJSON appends a JSON string. Plain ASCII, the usual case, is copied.
func appendJSON(b []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			q, _ := json.Marshal(s) // strings always marshal
			return append(b, q...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// send moves the buffer to the connection's own buffer.
func (o *events) send() {
	if o.w == nil || len(o.buf) == 0 {
		return
	}
	o.d.write(o.w, o.rc, o.buf)
	o.buf = o.buf[:0]
	o.dirty = true
}

func (o *events) flush() {
	if !o.dirty || o.rc == nil {
		return
	}
	o.dirty = false
	if err := o.rc.Flush(); err != nil {
		o.d.writeFailed(err)
	}
}

func (o *events) idle() {
	o.buf = append(o.buf, ": waiting\n\n"...)
	o.send()
	o.flush()
}

func (o *events) finish(out stream.Outcome) {
	id := o.d.eventID()
	o.open(id)
	if out.Err != nil {
		o.failure(id, out.Err)
		return
	}
	o.chunk(id, o.lastChoice(out.Finish))
	if o.d.r.includeUsage {
		o.usage(id, out)
	}
	o.id(id)
	o.buf = append(o.buf, "data: [DONE]\n\n"...)
	o.send()
	o.flush()
}

func (o *events) lastChoice(finish string) string {
	reason, _ := json.Marshal(finish)
	if o.d.r.kind == wire.Chat {
		return `{"index":0,"delta":{},"finish_reason":` + string(reason) + `}`
	}
	return `{"text":"","index":0,"logprobs":null,"finish_reason":` + string(reason) + `}`
}

func (o *events) usage(id wire.EventID, out stream.Outcome) {
	b, _ := json.Marshal(newUsage(out)) // numbers always marshal
	o.id(id)
	o.buf = append(o.buf, o.head...)
	o.buf = append(o.buf, `,"choices":[],"usage":`...)
	o.buf = append(o.buf, b...)
	o.buf = append(o.buf, "}\n\n"...)
}

// failure ends the stream without [DONE], so that no client takes the text for
// the whole answer.
func (o *events) failure(id wire.EventID, e *result.Error) {
	b, _ := json.Marshal(failure.New(e, o.d.r.id)) // plain fields always marshal
	o.id(id)
	o.buf = append(o.buf, "data: "...)
	o.buf = append(o.buf, b...)
	o.buf = append(o.buf, "\n\n"...)
	o.send()
	o.flush()
}

// write sends bytes to the caller. The deadline moves with every write that
// makes progress.
func (d *driver) write(w io.Writer, rc *http.ResponseController, b []byte) {
	if d.ctx.Err() != nil {
		return
	}
	if rc != nil {
		d.extend(rc)
	}
	n, err := w.Write(b)
	d.written += int64(n)
	if err != nil {
		d.writeFailed(err)
	}
}

// extendEvery spares the cost of moving the write deadline at each token.
const extendEvery = time.Second

func (d *driver) extend(rc *http.ResponseController) {
	now := time.Now()
	if now.Sub(d.extended) < extendEvery {
		return
	}
	d.extended = now
	_ = rc.SetWriteDeadline(now.Add(d.m.Limits.WriteTime + extendEvery))
}

// writeFailed ends the generation, since the caller cannot be reached any more.
func (d *driver) writeFailed(err error) {
	if isTimeout(err) {
		d.m.metrics.slowReaders.Inc()
	}
	d.end()
}

// isTimeout tells a slow reader from one that has gone.
func isTimeout(err error) bool {
	for _, part := range []string{"i/o timeout", "deadline exceeded"} {
		if strings.Contains(err.Error(), part) {
			return true
		}
	}
	return false
}
