package openai

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/result"
)

// startEngine starts a raw TCP engine. handle writes the response to request number n of
// the engine; first is set for the first request on its connection.
func startEngine(t *testing.T, handle func(c net.Conn, r *http.Request, n int64, first bool)) *Engine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for first := true; ; first = false {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					handle(c, request, requests.Add(1), first)
				}
			}()
		}
	}()
	e := &Engine{URL: "http://" + l.Addr().String(), Models: []string{"m"}, Slots: 4, Resume: resumeFields}
	assert.NilError(t, e.Validate())
	assert.NilError(t, e.Provision(nil))
	return e
}

const finishedText = "data: {\"choices\":[{\"text\":\"%d\"}]}\n\ndata: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"

func engineResponse(status, contentType, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: %s\r\nLocation: /other\r\nContent-Length: %d\r\n\r\n%s", status, contentType, len(body), body)
}

func generate(t *testing.T, e *Engine) (text string, err error) {
	err = e.Generate(t.Context(), &adapter.Job{Kind: wire.Completion, Body: json.RawMessage(`{"prompt":"p"}`)},
		func(ev adapter.Event) error { text += ev.Text; return nil })
	return text, err
}

// Guards against the response to an earlier request that is taken for the response to the
// next one: a refusal is then reported as not run while the engine runs the request, and
// a text goes to another caller. The responses of engines do not name their request.
func TestRepeatedResponses(t *testing.T) {
	for name, earlier := range map[string]string{
		"refusal 503": engineResponse("503 Busy", "text/plain", "busy"),
		"refusal 429": engineResponse("429 Busy", "text/plain", "busy"),
		"refusal 404": engineResponse("404 Not Found", "text/plain", "no model"),
		"text":        engineResponse("200 OK", "text/event-stream", fmt.Sprintf(finishedText, 1)),
	} {
		t.Run(name, func(t *testing.T) {
			e := startEngine(t, func(c net.Conn, _ *http.Request, n int64, first bool) {
				if n == 1 {
					_, _ = io.WriteString(c, earlier)
					return
				}
				if !first {
					_, _ = io.WriteString(c, earlier)
				}
				time.Sleep(2 * time.Millisecond)
				_, _ = io.WriteString(c, engineResponse("200 OK", "text/event-stream", fmt.Sprintf(finishedText, n)))
			})
			_, _ = generate(t, e)
			for n := 2; n < 6; n++ {
				text, err := generate(t, e)
				assert.NilError(t, err)
				assert.Equal(t, text, fmt.Sprint(n))
			}
		})
	}
}

// Guards against a request that runs at another address, or a text or a list of models
// from there, because the engine answers with a redirect.
func TestRedirectsAreNotFollowed(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			var followed atomic.Int64
			e := startEngine(t, func(c net.Conn, r *http.Request, n int64, _ bool) {
				if r.URL.Path == "/other" {
					followed.Add(1)
					_, _ = io.WriteString(c, engineResponse("200 OK", "text/event-stream", fmt.Sprintf(finishedText, n)))
					return
				}
				_, _ = io.WriteString(c, engineResponse(fmt.Sprint(status, " Moved"), "text/plain", "moved"))
			})
			text, err := generate(t, e)
			assert.Assert(t, result.Is(err, result.UpstreamFailed), "%v", err)
			assert.Equal(t, text, "")
			assert.Assert(t, e.Order(t.Context(), wire.Order{Kind: wire.LoadModel}) != nil)
			_, err = e.Refresh(t.Context())
			assert.Assert(t, err != nil)
			assert.Equal(t, followed.Load(), int64(0))
		})
	}
}

// Guards against the text of an error that becomes part of an answer, and against a
// response that is no stream, or is incomplete, and counts as a complete answer. Only
// refusals are reported as not run.
func TestResponsesThatAreNoAnswer(t *testing.T) {
	const event = "data: {\"choices\":[{\"text\":\"1\"}]}\n\n"
	const finish = "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n"
	cases := map[string]string{"nothing": "", "a part of the head": "HTTP/1.1 200 OK\r\nContent", "no response": "busy\r\n\r\n"}
	for name, body := range map[string]string{"text": "secret text\n\n", "JSON": "{\"error\":{\"message\":\"secret text\"}}\n\n", "event": event + finish, "empty": ""} {
		for _, status := range []string{"201 Created", "202 Accepted", "206 Partial", "300 Choices", "400 Bad", "401 No", "404 No", "409 Conflict", "429 Busy", "500 Error", "502 Bad", "503 Busy", "504 Late"} {
			cases[status+", "+name] = engineResponse(status, "text/event-stream", body)
			cases[status+", "+name+", 1xx first"] = "HTTP/1.1 103 Early Hints\r\n\r\n" + engineResponse(status, "text/plain", body)
		}
		cases["200 of another type, "+name] = engineResponse("200 OK", "text/html", body)
		if name != "event" {
			cases["200, "+name] = engineResponse("200 OK", "text/event-stream", body)
			cases["200 to the end of the connection, "+name] = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + body
		}
	}
	cases["204"] = "HTTP/1.1 204 No Content\r\n\r\n"
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, rest := range map[string]string{
		"no finish reason": "", "marker without finish reason": "data: [DONE]\n\n", "a partial event": "data: {\"choices\":[{\"text\":\"secret",
		"an error event": "event: error\ndata: {\"error\":\"secret text\"}\n\n", "a head": "HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n\r\nsecret text",
		"a head within an event": "data: {\"choices\":[{\"text\":\"HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n\r\nsecret text", "text": "secret text\n\n",
	} {
		cases["one event, "+name] = head + event + rest
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			e := startEngine(t, func(c net.Conn, _ *http.Request, _ int64, _ bool) {
				_, _ = io.WriteString(c, text)
				_ = c.Close()
			})
			answer, err := generate(t, e)
			assert.Assert(t, err != nil, "the answer %q looks complete", answer)
			assert.Assert(t, answer == "" || answer == "1", "answer %q", answer)
			refused := strings.HasPrefix(name, "4") || strings.HasPrefix(name, "503")
			assert.Equal(t, result.From(err).Ran == result.NotRun, refused, "%v", err)
		})
	}
}

// Guards against a generation that is reported as not run although the engine ran it, and
// against the text of another one, in a random mix of refusals and repeated responses under
// concurrent requests.
func TestGenerationsAmongStrayResponses(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var mu sync.Mutex
			rng := rand.New(rand.NewPCG(seed, 3))
			random := func(n int) int { mu.Lock(); defer mu.Unlock(); return rng.IntN(n) }
			var responses []string // sent before, on any connection
			runs := map[string]bool{}
			e := startEngine(t, func(c net.Conn, r *http.Request, _ int64, first bool) {
				prompt := r.Header.Get("Prompt")
				response := engineResponse("503 Busy", "text/plain", "busy")
				if random(3) > 0 {
					response = engineResponse("200 OK", "text/event-stream", strings.ReplaceAll(finishedText, "%d", prompt))
				}
				mu.Lock()
				runs[prompt] = strings.Contains(response, "200 OK")
				earlier := append([]string(nil), responses...)
				responses = append(responses, response)
				mu.Unlock()
				if !first && len(earlier) > 0 && random(2) == 0 {
					_, _ = io.WriteString(c, earlier[random(len(earlier))])
					time.Sleep(time.Duration(random(3)) * time.Millisecond)
				}
				_, _ = io.WriteString(c, response)
				if stray := earlier; len(stray) > 0 && random(3) == 0 {
					text := stray[random(len(stray))]
					_, _ = io.WriteString(c, text[:random(len(text)+1)])
				}
			})
			var wg sync.WaitGroup
			for i := range 200 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					prompt, text := fmt.Sprint("prompt-", i), ""
					transport := promptHeader{e.client.Transport, prompt}
					own := &Engine{URL: e.URL, Resume: e.Resume, client: &http.Client{Transport: transport}}
					err := own.Generate(t.Context(), &adapter.Job{Kind: wire.Completion, Body: json.RawMessage(`{"prompt":"p"}`)},
						func(ev adapter.Event) error { text += ev.Text; return nil })
					mu.Lock()
					ran := runs[prompt]
					mu.Unlock()
					if err == nil && text != prompt {
						t.Errorf("%s: the text is %q", prompt, text)
					}
					if err != nil && result.From(err).Ran == result.NotRun && ran {
						t.Errorf("%s: reported as not run, but it ran: %v", prompt, err)
					}
				}()
				if i%8 == 7 {
					wg.Wait()
				}
			}
			wg.Wait()
		})
	}
}

// promptHeader tells the test's engine which request it receives.
type promptHeader struct {
	http.RoundTripper
	prompt string
}

// RoundTrip implements http.RoundTripper.
func (h promptHeader) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Prompt", h.prompt)
	return h.RoundTripper.RoundTrip(r)
}

// Guards against a generation that ends as complete after an engine has stopped in the middle of its
// response's head, for each place at which it may stop.
func TestEngineStopsWithinItsHead(t *testing.T) {
	for _, framing := range []string{"Content-Length: 16\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + framing + "X-Last: 1\r\n\r\n"
		for cut := range len(head) {
			e := startEngine(t, func(c net.Conn, _ *http.Request, _ int64, _ bool) {
				_, _ = io.WriteString(c, head[:cut])
				_ = c.Close()
			})
			text, err := generate(t, e)
			assert.Check(t, err != nil, "%q after %q", text, head[:cut])
		}
	}
}
