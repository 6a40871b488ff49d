package standinengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// responseWriter writes the tokens of a job to the client: one event per token
// for a streamed request, otherwise a single JSON body at the end.
type responseWriter struct {
	w      http.ResponseWriter
	job    *job
	id     string
	chat   bool
	stream bool
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index   int     `json:"index"`
	Text    *string `json:"text,omitempty"`
	Delta   *delta  `json:"delta,omitempty"`
	Message *delta  `json:"message,omitempty"`
	Finish  *string `json:"finish_reason"`
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// finishLength is the only finish reason that the engine reports, because every
// generation runs up to max_tokens.
const finishLength = "length"

// writeResponse writes the response until it is complete or the client
// disconnects. It aborts the connection if the job is lost in a crash.
func (a *responseWriter) writeResponse(r *http.Request, b *batch) {
	if a.stream {
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(a.w).Flush() // the client is gone if this fails
	}
	next := a.job.prefixTokens
	for {
		p := b.progress(a.job)
		if p.lost {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		if a.stream {
			a.writeTokens(next, p.produced)
		}
		next = p.produced
		if next >= a.job.maxTokens {
			a.writeEnd(p)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-a.job.progressed:
		}
	}
}

func (a *responseWriter) writeTokens(from, to int) {
	if from >= to {
		return
	}
	for i := from; i < to; i++ {
		a.writeEvent(a.newChunk(a.job.source.At(i), nil, nil))
	}
	_ = http.NewResponseController(a.w).Flush() // the client is gone if this fails
}

func (a *responseWriter) writeEnd(p progress) {
	u := &usage{PromptTokens: a.job.promptTokens, CompletionTokens: p.produced}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	u.Details.CachedTokens = p.cachedTokens
	reason := finishLength
	if a.stream {
		a.writeEvent(a.newChunk("", &reason, u))
		fmt.Fprint(a.w, "data: [DONE]\n\n")
		return
	}
	var text strings.Builder
	for i := a.job.prefixTokens; i < p.produced; i++ {
		text.WriteString(a.job.source.At(i))
	}
	writeJSON(a.w, http.StatusOK, a.newChunk(text.String(), &reason, u))
}

func (a *responseWriter) writeEvent(c chunk) {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // can't happen: every field can be encoded as JSON
	}
	fmt.Fprintf(a.w, "data: %s\n\n", b)
}

func (a *responseWriter) newChunk(text string, finish *string, u *usage) chunk {
	c := chunk{ID: a.id, Model: a.job.model, Usage: u}
	ch := choice{Finish: finish}
	switch {
	case !a.chat:
		c.Object, ch.Text = "text_completion", &text
	case a.stream:
		c.Object, ch.Delta = "chat.completion.chunk", &delta{Content: text}
	default:
		c.Object, ch.Message = "chat.completion", &delta{Role: "assistant", Content: text}
	}
	c.Choices = []choice{ch}
	return c
}
