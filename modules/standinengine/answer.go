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
func (rw *responseWriter) writeResponse(r *http.Request, b *batch) {
	if rw.stream {
		rw.w.Header().Set("Content-Type", "text/event-stream")
		rw.w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(rw.w).Flush() // the client is gone if this fails
	}
	next := rw.job.prefixTokens
	for {
		p := b.progress(rw.job)
		if p.lost {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		if rw.stream {
			rw.writeTokens(next, p.produced)
		}
		next = p.produced
		if next >= rw.job.maxTokens {
			rw.writeEnd(p)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-rw.job.progressed:
		}
	}
}

func (rw *responseWriter) writeTokens(from, to int) {
	if from >= to {
		return
	}
	for i := from; i < to; i++ {
		rw.writeEvent(rw.newChunk(rw.job.source.At(i), nil, nil))
	}
	_ = http.NewResponseController(rw.w).Flush() // the client is gone if this fails
}

func (rw *responseWriter) writeEnd(p progress) {
	u := &usage{PromptTokens: rw.job.promptTokens, CompletionTokens: p.produced}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	u.Details.CachedTokens = p.cachedTokens
	reason := finishLength
	if rw.stream {
		rw.writeEvent(rw.newChunk("", &reason, u))
		fmt.Fprint(rw.w, "data: [DONE]\n\n")
		return
	}
	var text strings.Builder
	for i := rw.job.prefixTokens; i < p.produced; i++ {
		text.WriteString(rw.job.source.At(i))
	}
	writeJSON(rw.w, http.StatusOK, rw.newChunk(text.String(), &reason, u))
}

func (rw *responseWriter) writeEvent(c chunk) {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // can't happen: every field can be encoded as JSON
	}
	fmt.Fprintf(rw.w, "data: %s\n\n", b)
}

func (rw *responseWriter) newChunk(text string, finish *string, u *usage) chunk {
	c := chunk{ID: rw.id, Model: rw.job.model, Usage: u}
	ch := choice{Finish: finish}
	switch {
	case !rw.chat:
		c.Object, ch.Text = "text_completion", &text
	case rw.stream:
		c.Object, ch.Delta = "chat.completion.chunk", &delta{Content: text}
	default:
		c.Object, ch.Message = "chat.completion", &delta{Role: "assistant", Content: text}
	}
	c.Choices = []choice{ch}
	return c
}
