package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/tokentext"
)

const (
	// maxReconnects bounds the connections of a request after the first one.
	maxReconnects = 20
	// minReconnectDelay is the least delay before the next connection.
	minReconnectDelay = 50 * time.Millisecond
	// maxReconnectDelay bounds the delay that an answer asks for.
	maxReconnectDelay = 5 * time.Second
	// maxAnswerBytes bounds an answer that is not streamed.
	maxAnswerBytes = 64 << 20
)

// call sends one request and reconnects until it ends.
type call struct {
	run     *run
	request request
	arrival time.Time
	out     outcome
	checker textChecker
	last    time.Time // of the last event with tokens
	eventID string
	// onTokens is called with the number of tokens in each event.
	onTokens func(int)
}

func (c *call) do(ctx context.Context) {
	q := c.request
	c.out = outcome{kind: q.kind, class: q.class, organisation: q.organisation.Name}
	c.checker.source = tokentext.New(q.prompt, q.seed)
	for attempt := 0; ; attempt++ {
		c.out.reconnects = attempt
		r := c.attempt(ctx, c.run.url(q.index+attempt))
		c.out.faults = c.checker.faults
		switch {
		case r == nil:
			c.out.finished = true
			return
		case ctx.Err() != nil:
			c.out.interrupted = true
			return
		case !r.retry || attempt == maxReconnects:
			c.out.refusal = r.label
			return
		}
		if !sleep(ctx, min(max(r.after, minReconnectDelay), maxReconnectDelay)) {
			c.out.interrupted = true
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// attempt sends the request once. It returns nil when the answer is complete.
func (c *call) attempt(ctx context.Context, url string) *refusal {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := c.newRequest(ctx, url)
	if err != nil {
		return &refusal{label: err.Error()}
	}
	onLine, stop := c.watchSilence(cancel)
	defer stop()
	resp, err := c.run.client.Do(req)
	if err != nil {
		return c.connectionFailed(labelUnreachable)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return c.refused(resp)
	}
	switch {
	case c.request.kind != Generation:
		return c.readPlainAnswer(resp.Body)
	case c.run.Stream:
		return c.readStream(resp.Body, onLine)
	default:
		return c.readWholeAnswer(resp.Body)
	}
}

// connectionFailed returns the refusal for a connection that failed. Unless the
// run is direct, the request is continued at the next URL.
func (c *call) connectionFailed(label string) *refusal {
	return &refusal{label: label, retry: !c.run.Direct}
}

// refused reads an error answer. Only a generation that has received tokens is
// sent again: other refusals are part of what the run measures.
func (c *call) refused(resp *http.Response) *refusal {
	var p problem
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&p) // a body that is not JSON has no code
	r := p.refusal(resp.StatusCode)
	r.retry = r.retry && c.eventID != ""
	return &r
}

func (c *call) newRequest(ctx context.Context, url string) (*http.Request, error) {
	q := c.request
	method, path, body := http.MethodPost, "/v1/completions", c.body()
	switch q.kind {
	case Order:
		path = "/v1/services/" + c.run.Service + "/orders"
	case Lookup:
		method, path, body = http.MethodGet, fmt.Sprintf("/v1/services/%s/lookup/%d", c.run.Service, q.index), nil
	}
	req, err := http.NewRequestWithContext(ctx, method, url+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if !c.run.Direct {
		c.setHeaders(req.Header)
	}
	return req, nil
}

func (c *call) setHeaders(h http.Header) {
	q := c.request
	h.Set("Authorization", "Bearer "+q.organisation.Key)
	h.Set("X-Heatherway-Class", q.class.String())
	name := fmt.Sprintf("load-%s-%d", c.run.name, q.index)
	h.Set("X-Request-Id", name)
	if q.kind == Order {
		h.Set("Idempotency-Key", name)
	}
	if c.eventID != "" {
		h.Set("Last-Event-ID", c.eventID)
	}
}

func (c *call) body() []byte {
	q := c.request
	var v any = map[string]any{
		"model": c.run.Model, "prompt": q.prompt, "seed": q.seed,
		"max_tokens": q.tokens, "stream": c.run.Stream,
	}
	if q.kind == Order {
		v = map[string]any{"item": q.index}
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // can't happen: every value can be encoded
	}
	return b
}

// answer is the part of an event or of a complete answer that is checked.
type answer struct {
	problem
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func (a answer) text() string {
	if len(a.Choices) == 0 {
		return ""
	}
	return a.Choices[0].Text
}

// watchSilence calls cancel when a stream has sent no line for SilenceTimeout.
// Direct streams are excluded, since an engine sends nothing while a request is
// queued.
func (c *call) watchSilence(cancel func()) (onLine, stop func()) {
	if c.run.SilenceTimeout == 0 || c.run.Direct || !c.run.Stream || c.request.kind != Generation {
		return func() {}, func() {}
	}
	t := time.AfterFunc(c.run.SilenceTimeout, cancel)
	return func() { t.Reset(c.run.SilenceTimeout) }, func() { t.Stop() }
}

func (c *call) readStream(r io.Reader, onLine func()) *refusal {
	events := newEventReader(r, onLine)
	for {
		e, err := events.next()
		if err != nil {
			return c.connectionFailed(labelBroken)
		}
		if e.data == "[DONE]" {
			c.checker.checkEnd(c.request.tokens)
			return nil
		}
		if r := c.handleEvent(e); r != nil {
			return r
		}
	}
}

func (c *call) handleEvent(e event) *refusal {
	var a answer
	if err := json.Unmarshal([]byte(e.data), &a); err != nil {
		return &refusal{label: labelMalformed}
	}
	if a.Error != nil {
		r := a.refusal(http.StatusOK)
		r.retry = r.retry && c.eventID != ""
		return &r
	}
	c.recordText(a.text())
	if e.id == "" {
		return nil
	}
	id, err := wire.ParseEventID(e.id)
	if err != nil {
		c.checker.faults.Wrong++
		return nil
	}
	c.checker.checkOffset(id.Offset)
	c.eventID = e.id
	return nil
}

// recordText checks the text of one event and records its time.
func (c *call) recordText(text string) {
	n := c.checker.checkText(text)
	if n == 0 {
		return
	}
	now := time.Now()
	if c.out.tokens == 0 {
		c.out.first = now.Sub(c.arrival)
	} else {
		c.out.gaps = append(c.out.gaps, now.Sub(c.last))
	}
	c.last = now
	c.out.tokens += n
	c.onTokens(n)
}

func (c *call) readWholeAnswer(r io.Reader) *refusal {
	b, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes))
	if err != nil {
		return c.connectionFailed(labelBroken)
	}
	var a answer
	if err := json.Unmarshal(b, &a); err != nil {
		return &refusal{label: labelMalformed}
	}
	c.recordText(a.text())
	c.checker.checkEnd(c.request.tokens)
	return nil
}

func (c *call) readPlainAnswer(r io.Reader) *refusal {
	if _, err := io.Copy(io.Discard, io.LimitReader(r, maxAnswerBytes)); err != nil {
		return c.connectionFailed(labelBroken)
	}
	c.out.first = time.Since(c.arrival)
	return nil
}
