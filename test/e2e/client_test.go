package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"heatherway.dev/heatherway/internal/tokentext"
)

// generation is one streamed generation as its caller sees it.
type generation struct {
	key    string
	class  string
	prompt string
	// messages are sent as a chat; without any, the prompt is sent as a completion.
	messages []tokentext.Message
	tokens   int
	// headers are added to each request.
	headers map[string]string

	text        strings.Builder
	received    int
	lastEventID string
	firstToken  time.Duration
	tokenGaps   []time.Duration
	complete    bool
	rejection   *apiError
}

// apiError is the error object of a refused request.
type apiError struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
	RetryMS int64  `json:"retry_after_ms"`
}

func (p *apiError) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", p.Code, p.Name, p.Ran, p.Message)
}

// samplingSeed makes the sampling deterministic, so that the expected text is
// known in advance.
const samplingSeed = 7

type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *apiError `json:"error"`
}

// stream requests the generation from the entry at addr, or the rest of it if
// part of it has been received, and reads the stream to its end. onToken stops
// reading early by returning false.
func (g *generation) stream(ctx context.Context, addr string, onToken func(n int) bool) error {
	fields := map[string]any{"model": "letters", "max_tokens": g.tokens, "seed": samplingSeed, "temperature": 0.7, "stream": true}
	path := "/v1/completions"
	if len(g.messages) > 0 {
		path, fields["messages"] = "/v1/chat/completions", g.messages
	} else {
		fields["prompt"] = g.prompt
	}
	body, _ := json.Marshal(fields)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	g.setHeaders(req)
	start := time.Now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return g.readError(res.Body)
	}
	return g.read(res.Body, start, onToken)
}

func (g *generation) setHeaders(req *http.Request) {
	key := g.key
	if key == "" {
		key = "demo"
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if g.class != "" {
		req.Header.Set("X-Heatherway-Class", g.class)
	}
	if g.lastEventID != "" {
		req.Header.Set("Last-Event-ID", g.lastEventID)
	}
	for name, value := range g.headers {
		req.Header.Set(name, value)
	}
}

func (g *generation) readError(r io.Reader) error {
	var response struct{ Error *apiError }
	if err := json.NewDecoder(r).Decode(&response); err != nil || response.Error == nil {
		return fmt.Errorf("request refused without an error object: %v", err)
	}
	g.rejection = response.Error
	return response.Error
}

func (g *generation) read(r io.Reader, start time.Time, onToken func(int) bool) error {
	previous := start
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	id := ""
	for lines.Scan() {
		line := lines.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id = v
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			g.complete = true
			return nil
		}
		var event chunk
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return fmt.Errorf("event %q: %w", data, err)
		}
		if event.Error != nil {
			g.rejection = event.Error
			return event.Error
		}
		if len(event.Choices) == 0 {
			continue
		}
		text := event.Choices[0].Text + event.Choices[0].Delta.Content // one of them is empty
		if text == "" {
			continue
		}
		now := time.Now()
		if g.received == 0 {
			g.firstToken = now.Sub(start)
		}
		g.tokenGaps = append(g.tokenGaps, now.Sub(previous))
		previous = now
		g.text.WriteString(text)
		g.received += strings.Count(text, " ")
		g.lastEventID = id
		if onToken != nil && !onToken(g.received) {
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// expectedText returns the full text that the generation must produce.
func (g *generation) expectedText() string {
	var b strings.Builder
	for i := range g.tokens {
		b.WriteString(tokentext.At(g.prompt, samplingSeed, i))
	}
	return b.String()
}

// verify checks that the generation is complete and that its text matches.
func (g *generation) verify() error {
	if !g.complete {
		return fmt.Errorf("incomplete answer: received %d of %d tokens", g.received, g.tokens)
	}
	if got, want := g.text.String(), g.expectedText(); got != want {
		return fmt.Errorf("text differs at byte %d of %d (received %d bytes)", firstDifference(got, want), len(want), len(got))
	}
	return nil
}

func firstDifference(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}
