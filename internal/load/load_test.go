package load

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/tokentext"
)

// Guards against a missing, repeated, foreign or split token that isn't counted.
func TestCheckerFindsEveryFault(t *testing.T) {
	s, other := tokentext.New("a", 1), tokentext.New("b", 1)
	for name, c := range map[string]struct {
		texts []string
		want  Faults
	}{
		"right":    {[]string{s.Prefix(3), s.At(3)}, Faults{}},
		"missing":  {[]string{s.Prefix(1), s.At(3)}, Faults{Missing: 2}},
		"short":    {[]string{s.Prefix(3)}, Faults{Missing: 1}},
		"repeated": {[]string{s.Prefix(3), s.At(2), s.At(3)}, Faults{Repeated: 1}},
		"mixed":    {[]string{s.Prefix(2), other.At(2), s.At(3)}, Faults{Wrong: 1}},
		"torn":     {[]string{s.Prefix(3), s.At(3)[:2], s.At(3)[2:]}, Faults{Wrong: 3, Repeated: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			checker := textChecker{source: s}
			for _, text := range c.texts {
				checker.checkText(text)
			}
			checker.checkEnd(4)
			assert.Equal(t, checker.faults, c.want)
		})
	}
}

const tokensPerConnection = 7

// newBreakingEntry returns an entry that breaks each stream off after
// tokensPerConnection tokens and resumes after Last-Event-ID, skipping the given
// number of tokens.
func newBreakingEntry(skip int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var b struct {
			Prompt string `json:"prompt"`
			Seed   int64  `json:"seed"`
			Max    int    `json:"max_tokens"`
		}
		if json.NewDecoder(r.Body).Decode(&b) != nil || b.Prompt == "" {
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = io.WriteString(w, `{"error":{"code":4290,"retry_after_ms":100}}`)
			return
		}
		from := 0
		if id, err := wire.ParseEventID(r.Header.Get("Last-Event-ID")); err == nil {
			from = int(id.Offset) + skip
		}
		for i := from; i < b.Max; i++ {
			if i == from+tokensPerConnection {
				panic(http.ErrAbortHandler)
			}
			id := wire.EventID{Generation: wire.ID(strings.Repeat("a", 32)), Agent: "x", Attempt: 1, Offset: uint64(i + 1)}
			fmt.Fprintf(w, ": comment\nid: %s\ndata: {\"choices\":[{\"text\":%q}]}\n\n", id, tokentext.At(b.Prompt, b.Seed, i))
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
}

func options(url string) Options {
	return Options{
		URLs: []string{url}, Model: "letters", Concurrency: 4, Requests: 20, Drain: 10 * time.Second,
		Classes:       []Weighted[wire.Class]{{wire.Urgent, 1}, {wire.Batch, 1}},
		Organisations: []Weighted[Organisation]{{Organisation{"a", "k"}, 1}, {Organisation{"b", "l"}, 3}},
		PromptChars:   Range{50, 100}, SharedPrefixChars: 20, OutputTokens: Range{10, 20}, Stream: true,
	}
}

// Guards against a broken stream that isn't resumed after its last event, and
// against refusals that aren't counted by their code.
func TestFollowsBrokenStreams(t *testing.T) {
	srv := httptest.NewServer(newBreakingEntry(0))
	defer srv.Close()
	o := options(srv.URL)
	o.ServiceShare, o.Requests, o.Service = 0.5, 40, "orders"
	r, err := Run(t.Context(), o, io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, r.Total.Faults, Faults{})
	assert.Equal(t, r.Total.Finished, r.Total.Requests)
	assert.Assert(t, r.Total.Reconnects >= r.Total.Requests)
	var plain, refused int64
	for _, row := range r.Plain {
		plain += row.Requests
		refused += row.Refusals["4290 queue_full"]
	}
	assert.Equal(t, plain+r.Total.Requests, int64(40))
	assert.Equal(t, refused, plain)
	assert.Assert(t, plain > 0)
}

// Guards against a resume that skips a token and isn't reported.
func TestReportsSkippedToken(t *testing.T) {
	srv := httptest.NewServer(newBreakingEntry(1))
	defer srv.Close()
	r, err := Run(t.Context(), options(srv.URL), io.Discard)
	assert.NilError(t, err)
	assert.Assert(t, r.Total.Missing >= 20, "%d missing", r.Total.Missing)
}

// Guards against two runs with the same seed that send different requests.
func TestPlanIsRepeatable(t *testing.T) {
	o := options("")
	assert.Equal(t, o.plan(3), o.plan(3))
	assert.Assert(t, o.plan(3).prompt != o.plan(4).prompt)
}
