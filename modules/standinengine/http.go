package standinengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/heatherway/internal/tokentext"
)

const (
	// maxBodyBytes limits the size of a request body.
	maxBodyBytes = 32 << 20
	// defaultMaxTokens applies to requests without max_tokens.
	defaultMaxTokens = 16
	// maxPollWait limits how long a long poll for cache events waits.
	maxPollWait = 2 * time.Second
	// pollInterval is the time between checks for new cache events.
	pollInterval = 10 * time.Millisecond
)

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.generate(false))
	mux.HandleFunc("POST /v1/chat/completions", e.generate(true))
	mux.HandleFunc("GET /v1/models", e.listModels)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, struct{}{}) })
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.batch.load()) })
	mux.HandleFunc("GET /cache_events", e.cacheEvents)
	mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.orders.list()) })
	mux.HandleFunc("POST /orders", e.applyOrder)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client is gone if this fails
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]any{"error": map[string]any{"message": message, "code": status}})
}

func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	data := []model{}
	for _, id := range e.orders.loadedModels() {
		data = append(data, model{id, "model"})
	}
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": data})
}

func (e *Engine) applyOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "the body is not a JSON order")
		return
	}
	switch err := e.orders.apply(o); {
	case errors.Is(err, errStaleFence):
		writeError(w, http.StatusConflict, err.Error())
	case err != nil:
		writeError(w, http.StatusBadRequest, err.Error())
	default:
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		writeError(w, http.StatusBadRequest, "after must be a sequence number")
		return
	}
	events := e.batch.events(after, time.Now())
	for deadline := time.Now().Add(maxPollWait); len(events) == 0 && time.Now().Before(deadline); {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pollInterval):
		}
		events = e.batch.events(after, time.Now())
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	for _, event := range events {
		_ = enc.Encode(event) // the client is gone if this fails
	}
}

// generationRequest holds the fields of a completion or chat completion request
// that the engine uses.
type generationRequest struct {
	Model        string    `json:"model"`
	Prompt       string    `json:"prompt"`
	Messages     []message `json:"messages"`
	MaxTokens    int       `json:"max_tokens"`
	Seed         int64     `json:"seed"`
	Stream       bool      `json:"stream"`
	Priority     int       `json:"priority"`
	ResumeText   string    `json:"resume_text"`
	ResumeTokens int       `json:"resume_tokens"`
}

type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is the text of a message, sent either as a string or as a list of
// parts with text.
type content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *content) UnmarshalJSON(b []byte) error {
	var text string
	if json.Unmarshal(b, &text) == nil {
		*c = content(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(b, &parts); err != nil {
		return errors.Wrap(err, "content")
	}
	var joined strings.Builder
	for _, p := range parts {
		joined.WriteString(p.Text)
	}
	*c = content(joined.String())
	return nil
}

func (b *generationRequest) newJob(chat bool) *job {
	prompt := b.Prompt
	if chat {
		var messages []tokentext.Message
		for _, m := range b.Messages {
			messages = append(messages, tokentext.Message{Role: m.Role, Content: string(m.Content)})
		}
		prompt = tokentext.ChatPrompt(messages)
	}
	if b.MaxTokens == 0 {
		b.MaxTokens = defaultMaxTokens
	}
	j := &job{
		model: b.Model, prompt: prompt, seed: b.Seed, priority: b.Priority, maxTokens: b.MaxTokens,
		prefixText: b.ResumeText, prefixTokens: b.ResumeTokens,
	}
	j.prepare()
	return j
}

func (e *Engine) generate(chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var b generationRequest
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&b); err != nil {
			writeError(w, http.StatusBadRequest, "the body is not a JSON request")
			return
		}
		if b.MaxTokens < 0 || b.ResumeTokens < 0 {
			writeError(w, http.StatusBadRequest, "a count of tokens is negative")
			return
		}
		if !slices.Contains(e.orders.loadedModels(), b.Model) {
			writeError(w, http.StatusNotFound, "the model is not loaded")
			return
		}
		j := b.newJob(chat)
		e.batch.add(j)
		defer e.batch.cancel(j)
		rw := responseWriter{w: w, job: j, id: fmt.Sprintf("cmpl-%p", j), chat: chat, stream: b.Stream}
		rw.writeResponse(r, e.batch)
	}
}
