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
	tokens int
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
		Text string `json:"text"`
	} `json:"choices"`
	Error *apiError `json:"error"`
}

// stream requests the generation from the entry at addr, or the rest of it if
// part of it has been received, and reads the stream to its end. onToken stops
// reading early by returning false.
func (c *generation) stream(ctx context.Context, addr string, onToken func(n int) bool) error {
	body, _ := json.Marshal(map[string]any{
		"model": "letters", "prompt": c.prompt, "max_tokens": c.tokens, "seed": samplingSeed, "temperature": 0.7, "stream": true,
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	c.setHeaders(req)
	began := time.Now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return c.readError(res.Body)
	}
	return c.read(res.Body, began, onToken)
}

func (c *generation) setHeaders(req *http.Request) {
	key := c.key
	if key == "" {
		key = "demo"
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if c.class != "" {
		req.Header.Set("X-Heatherway-Class", c.class)
	}
	if c.lastEventID != "" {
		req.Header.Set("Last-Event-ID", c.lastEventID)
	}
	for k, v := range c.headers {
		req.Header.Set(k, v)
	}
}

func (c *generation) readError(r io.Reader) error {
	var response struct{ Error *apiError }
	if err := json.NewDecoder(r).Decode(&response); err != nil || response.Error == nil {
		return fmt.Errorf("request refused without an error object: %v", err)
	}
	c.rejection = response.Error
	return response.Error
}

func (c *generation) read(r io.Reader, began time.Time, onToken func(int) bool) error {
	last := began
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
			c.complete = true
			return nil
		}
		var ch chunk
		if err := json.Unmarshal([]byte(data), &ch); err != nil {
			return fmt.Errorf("event %q: %w", data, err)
		}
		if ch.Error != nil {
			c.rejection = ch.Error
			return ch.Error
		}
		if len(ch.Choices) == 0 || ch.Choices[0].Text == "" {
			continue
		}
		now := time.Now()
		if c.received == 0 {
			c.firstToken = now.Sub(began)
		}
		c.tokenGaps = append(c.tokenGaps, now.Sub(last))
		last = now
		c.text.WriteString(ch.Choices[0].Text)
		c.received += strings.Count(ch.Choices[0].Text, " ")
		c.lastEventID = id
		if onToken != nil && !onToken(c.received) {
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// expectedText returns the full text that the generation must produce.
func (c *generation) expectedText() string {
	var b strings.Builder
	for i := range c.tokens {
		b.WriteString(tokentext.At(c.prompt, samplingSeed, i))
	}
	return b.String()
}

// verify checks that the generation is complete and that its text matches.
func (c *generation) verify() error {
	if !c.complete {
		return fmt.Errorf("incomplete answer: received %d of %d tokens", c.received, c.tokens)
	}
	if got, want := c.text.String(), c.expectedText(); got != want {
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
