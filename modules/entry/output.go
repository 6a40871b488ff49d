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

// output writes the answer in the format that the caller asked for.
type output interface {
	contentType() string
	// headReady reports whether the HTTP status of the answer is certain.
	headReady() bool
	// attach sets the writer of the answer and writes the text buffered so far.
	attach(io.Writer)
	token(text string, id wire.EventID)
	flush()
	idle()
	finish(stream.Outcome)
}

func newOutput(d *driver) output {
	if d.request.stream {
		return newEventOutput(d)
	}
	return &wholeOutput{driver: d}
}

// usage is the token usage in the OpenAI format.
type usage struct {
	PromptTokens     uint32        `json:"prompt_tokens"`
	CompletionTokens uint64        `json:"completion_tokens"`
	TotalTokens      uint64        `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens uint32 `json:"cached_tokens"`
}

func newUsage(o stream.Outcome) usage {
	return usage{o.PromptTokens, o.Tokens, uint64(o.PromptTokens) + o.Tokens, promptDetails{o.CachedTokens}}
}

// completionResponse is the response of either generation route without
// streaming.
type completionResponse struct {
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

// wholeOutput writes the answer without streaming, once it is complete.
type wholeOutput struct {
	driver *driver
	w      io.Writer
}

func (o *wholeOutput) contentType() string        { return "application/json" }
func (o *wholeOutput) headReady() bool            { return false }
func (o *wholeOutput) attach(w io.Writer)         { o.w = w }
func (o *wholeOutput) token(string, wire.EventID) {}
func (o *wholeOutput) flush()                     {}
func (o *wholeOutput) idle()                      {}

func (o *wholeOutput) finish(out stream.Outcome) {
	text, _ := o.driver.assembler.Text()
	a := completionResponse{ID: answerID(o.driver.request), Object: "text_completion", Created: o.driver.request.startedAt.Unix(), Model: o.driver.request.model, Usage: newUsage(out)}
	c := choice{Text: &text, FinishReason: out.Finish}
	if o.driver.request.kind == wire.Chat {
		a.Object = "chat.completion"
		c.Text, c.Message = nil, &message{Role: "assistant", Content: text}
	}
	a.Choices = []choice{c}
	b, err := json.Marshal(a)
	if err != nil {
		o.driver.module.log.Error("cannot encode the response", "error", err)
		return
	}
	o.driver.write(o.w, responseController(o.w), append(b, '\n'))
}

func answerID(r *request) string {
	if r.kind == wire.Chat {
		return "chatcmpl-" + string(r.generation)
	}
	return "cmpl-" + string(r.generation)
}

// eventOutput streams the answer as server-sent events.
type eventOutput struct {
	driver *driver
	w      io.Writer
	rc     *http.ResponseController
	buf    []byte
	// head and tail enclose the choices of a chunk.
	head, tail string
	started    bool
	hasToken   bool
	unflushed  bool
}

func newEventOutput(d *driver) *eventOutput { return &eventOutput{driver: d} }

func (o *eventOutput) contentType() string { return "text/event-stream" }
func (o *eventOutput) headReady() bool     { return o.hasToken }

func (o *eventOutput) attach(w io.Writer) {
	o.w, o.rc = w, responseController(w)
	if len(o.buf) == 0 {
		o.buf = append(o.buf, ": waiting\n\n"...)
	}
	o.send()
	o.flush()
}

// buildTemplate builds the parts that all chunks of the answer share.
func (o *eventOutput) buildTemplate() {
	r := o.driver.request
	model, _ := json.Marshal(r.model)
	object := "text_completion"
	if r.kind == wire.Chat {
		object = "chat.completion.chunk"
	}
	o.head = `data: {"id":"` + answerID(r) + `","object":"` + object + `","created":` + strconv.FormatInt(r.startedAt.Unix(), 10) +
		`,"model":` + string(model)
	o.tail = "}\n\n"
	if r.includeUsage {
		o.tail = `,"usage":null` + o.tail
	}
}

// writeOpening writes the chunk that precedes the first text of a chat.
func (o *eventOutput) writeOpening(id wire.EventID) {
	if o.started {
		return
	}
	o.started = true
	o.buildTemplate()
	if o.driver.request.kind == wire.Chat && o.driver.request.resume == nil {
		id.Offset = 0
		o.appendChunk(id, `{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}`)
	}
}

func (o *eventOutput) appendID(id wire.EventID) {
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

func (o *eventOutput) appendChunk(id wire.EventID, choice string) {
	o.appendID(id)
	o.buf = append(o.buf, o.head...)
	o.buf = append(o.buf, `,"choices":[`...)
	o.buf = append(o.buf, choice...)
	o.buf = append(o.buf, ']')
	o.buf = append(o.buf, o.tail...)
}

func (o *eventOutput) token(text string, id wire.EventID) {
	o.writeOpening(id)
	o.hasToken = true
	o.appendID(id)
	o.buf = append(o.buf, o.head...)
	if o.driver.request.kind == wire.Chat {
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

// appendJSON appends s as a JSON string. Printable ASCII without characters to
// escape, the usual case, is copied.
func appendJSON(b []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			q, _ := json.Marshal(s) // never fails for a string
			return append(b, q...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// send writes the buffered events to the response, which buffers them until
// flush.
func (o *eventOutput) send() {
	if o.w == nil || len(o.buf) == 0 {
		return
	}
	o.driver.write(o.w, o.rc, o.buf)
	o.buf = o.buf[:0]
	o.unflushed = true
}

func (o *eventOutput) flush() {
	if !o.unflushed || o.rc == nil {
		return
	}
	o.unflushed = false
	if err := o.rc.Flush(); err != nil {
		o.driver.handleWriteError(err)
	}
}

func (o *eventOutput) idle() {
	o.buf = append(o.buf, ": waiting\n\n"...)
	o.send()
	o.flush()
}

func (o *eventOutput) finish(out stream.Outcome) {
	id := o.driver.eventID()
	o.writeOpening(id)
	if out.Err != nil {
		o.writeFailure(id, out.Err)
		return
	}
	o.appendChunk(id, o.finalChoice(out.Finish))
	if o.driver.request.includeUsage {
		o.appendUsage(id, out)
	}
	o.appendID(id)
	o.buf = append(o.buf, "data: [DONE]\n\n"...)
	o.send()
	o.flush()
}

func (o *eventOutput) finalChoice(finish string) string {
	reason, _ := json.Marshal(finish)
	if o.driver.request.kind == wire.Chat {
		return `{"index":0,"delta":{},"finish_reason":` + string(reason) + `}`
	}
	return `{"text":"","index":0,"logprobs":null,"finish_reason":` + string(reason) + `}`
}

func (o *eventOutput) appendUsage(id wire.EventID, out stream.Outcome) {
	b, _ := json.Marshal(newUsage(out)) // never fails for numbers
	o.appendID(id)
	o.buf = append(o.buf, o.head...)
	o.buf = append(o.buf, `,"choices":[],"usage":`...)
	o.buf = append(o.buf, b...)
	o.buf = append(o.buf, "}\n\n"...)
}

// writeFailure ends the stream with an error event and without [DONE], so that
// no client mistakes the text for a complete answer.
func (o *eventOutput) writeFailure(id wire.EventID, e *result.Error) {
	b, _ := json.Marshal(failure.New(e, o.driver.request.id)) // never fails for strings and numbers
	o.appendID(id)
	o.buf = append(o.buf, "data: "...)
	o.buf = append(o.buf, b...)
	o.buf = append(o.buf, "\n\n"...)
	o.send()
	o.flush()
}

// write writes b to the caller. The write deadline is extended as the answer
// proceeds, so that only a write without progress times out.
//
// A caller that has closed only its sending side ends the context too, but can still read how
// the answer ends, so the end is written unless a write has failed.
func (d *driver) write(w io.Writer, rc *http.ResponseController, b []byte) {
	if d.writeFailed || d.ctx.Err() != nil && d.outcome == nil {
		return
	}
	if rc != nil {
		d.extendWriteDeadline(rc)
	}
	n, err := w.Write(b)
	d.bytesWritten += int64(n)
	if err != nil {
		d.handleWriteError(err)
	}
}

// writeDeadlineInterval is the interval at which the write deadline is extended,
// which avoids the cost of doing so for each token.
const writeDeadlineInterval = time.Second

func (d *driver) extendWriteDeadline(rc *http.ResponseController) {
	now := time.Now()
	if now.Sub(d.deadlineSetAt) < writeDeadlineInterval {
		return
	}
	d.deadlineSetAt = now
	_ = rc.SetWriteDeadline(now.Add(d.module.Limits.WriteTime + writeDeadlineInterval))
}

// handleWriteError ends the generation, since the caller cannot be reached any
// more, and counts callers that read too slowly.
func (d *driver) handleWriteError(err error) {
	if isTimeout(err) {
		d.module.metrics.slowReaders.Inc()
	}
	d.writeFailed = true
	d.cancel()
}

// isTimeout reports whether a write failed because the caller reads too slowly,
// as opposed to having disconnected.
func isTimeout(err error) bool {
	for _, part := range []string{"i/o timeout", "deadline exceeded"} {
		if strings.Contains(err.Error(), part) {
			return true
		}
	}
	return false
}
