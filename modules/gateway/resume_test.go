package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const eventStreamHead = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"

// textEvents returns the bytes of the events from first to last.
func textEvents(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

// framings are the ways in which a body may be delimited. The last one leaves the
// response incomplete.
var framings = map[string]func(head, body string) string{
	"length": func(head, body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	},
	"chunks": func(head, body string) string {
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"
	},
	"neither": func(head, body string) string { return head + "\r\n" + body },
}

func chunk(body string) string {
	if body == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
}

// resumeTestID is the id of the caller's request in these tests. Upstreams ignore other
// requests: a port may have belonged to another test a moment ago.
var resumeTestID = fmt.Sprint("resume-", os.Getpid())

// startResumeServers starts upstreams that share a script: the first request of a caller
// is answered with first, each later one with next. Each response ends with its
// connection; ID in it is replaced. It returns the header of each request.
func startResumeServers(t *testing.T, count int, first, next string) (ups []*upstream, received func() []http.Header) {
	var mu sync.Mutex
	var headers []http.Header
	for i := range count {
		u := startRawUpstream(t, func(c net.Conn) {
			defer c.Close()
			r := bufio.NewReader(c)
			for {
				request, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				if strings.HasPrefix(request.URL.Path, "/v1/") {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(emptyReport), emptyReport)
					continue
				}
				if request.Header.Get("Attempt-Id") != resumeTestID {
					return
				}
				mu.Lock()
				text := next
				if len(headers) == 0 {
					text = first
				}
				headers = append(headers, request.Header)
				mu.Unlock()
				_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", request.Header.Get("Attempt-Id")))
				return
			}
		})
		u.ID, u.Service, u.Zone = fmt.Sprint("u", i), "model", fmt.Sprint("z", i%2)
		ups = append(ups, u)
	}
	return ups, func() []http.Header {
		mu.Lock()
		defer mu.Unlock()
		return append([]http.Header(nil), headers...)
	}
}

// brokenStream is a stream that breaks off after event 3.
var brokenStream = eventStreamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(textEvents(0, 3))

// testResumeIsCut plays a stream that breaks off and whose resume is answered with next.
// The caller must get the events before the break and a response that is incomplete.
func testResumeIsCut(t *testing.T, next string) {
	ups, _ := startResumeServers(t, 2, brokenStream, next)
	conf := configuration()
	conf.Routes[0].MaxAttempts = 2
	f := newFixture(t, conf, ups...)
	res := f.doStream("Attempt-Id", resumeTestID)
	assert.Equal(t, res.status, http.StatusOK)
	assert.Assert(t, res.err != nil, "the stream looks complete with the body %q", res.body)
	assert.Equal(t, strings.TrimSuffix(res.body, ": keep alive\n\n"), textEvents(0, 3))
}

// Guards against the text of an error, or an event in it, in the middle of a stream that
// broke off, and against a stream that looks complete because its resume was answered
// with a response that is no stream.
func TestResumeAnsweredWithoutEventStream(t *testing.T) {
	const errorText = "server error: secret text\n\n"
	heads := map[string]string{}
	for _, status := range []string{"201 Created", "202 Accepted", "206 Partial Content", "300 Multiple Choices", "301 Moved", "302 Found", "303 See Other", "307 Temporary Redirect",
		"308 Permanent Redirect", "400 Bad Request", "401 Unauthorized", "404 Not Found", "409 Conflict", "410 Gone", "418 Teapot", "422 Unprocessable", "429 Busy",
		"500 Error", "501 Not Implemented", "502 Bad Gateway", "503 Busy", "504 Timeout", "599 Other"} {
		heads[status] = "HTTP/1.1 " + status + "\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\nLocation: /letters/y\r\nContent-Type: text/plain\r\n"
		heads[status+" as events"] = "HTTP/1.1 " + status + "\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\nLocation: /letters/y\r\nContent-Type: text/event-stream\r\n"
	}
	for _, contentType := range []string{"", "Content-Type: text/plain\r\n", "Content-Type: application/json\r\n", "Content-Type: text/html; charset=utf-8\r\n"} {
		heads["200 with "+strings.TrimSpace(contentType)] = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\n" + contentType
	}
	heads["200 after 100"] = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n" + heads["200 with Content-Type: text/plain"]
	bodies := map[string]string{"text": errorText, "event without id": "event: error\ndata: secret text\n\n",
		"next event": "id: 4\ndata: secret text\n\n", "all events": textEvents(0, 9), "empty": ""}
	cases := map[string]string{}
	for status, head := range heads {
		for framing, frame := range framings {
			for body, text := range bodies {
				cases[status+", "+framing+", "+body] = frame(head, text)
			}
		}
	}
	for _, status := range []string{"204 No Content", "205 Reset Content", "304 Not Modified"} {
		cases[status] = "HTTP/1.1 " + status + "\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\n\r\n"
	}
	for name, next := range cases {
		t.Run(name, func(t *testing.T) { testResumeIsCut(t, next) })
	}
}

// Guards against an upstream's own response before the first event that is not delivered
// as it was sent, with its seal, or that is delivered although it is incomplete.
func TestResponseWithoutEventStreamBeforeTheFirstEvent(t *testing.T) {
	for _, status := range []int{200, 201, 206, 302, 307, 400, 404, 418, 429, 500, 502, 503} {
		for _, contentType := range []string{"", "text/plain", "application/json", "text/event-stream"} {
			if status == http.StatusOK && contentType == "text/event-stream" {
				continue
			}
			for framing, frame := range framings {
				for _, body := range []string{"no stream", "a line\n\nid: 4\ndata: x\n\nrest", textEvents(0, 2), ""} {
					t.Run(fmt.Sprintf("%d %s, %s, %.5q", status, contentType, framing, body), func(t *testing.T) {
						head := fmt.Sprintf("HTTP/1.1 %d Status\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\nX-Own: x\r\n", status)
						if contentType != "" {
							head += "Content-Type: " + contentType + "\r\n"
						}
						text := "HTTP/1.1 103 Early Hints\r\nX-Own: y\r\n\r\n" + frame(head, body)
						ups, received := startResumeServers(t, 2, text, text)
						conf := configuration()
						conf.Routes[0].MaxAttempts = 2
						f := newFixture(t, conf, ups...)
						res := f.doStream("Attempt-Id", resumeTestID)
						assert.NilError(t, res.err)
						assert.Equal(t, res.status, status)
						assert.Equal(t, res.body, body)
						assert.Equal(t, res.header.Get("Response-Seal"), "s")
						assert.Equal(t, res.header.Get("Content-Type"), contentType)
						assert.DeepEqual(t, res.header.Values("X-Own"), []string{"x"})
						if status < 500 {
							assert.Equal(t, len(received()), 1)
						}
						if body == "" || framing == "neither" {
							return
						}
						// The same response, cut in its body.
						cut := text[:len(text)-len("0\r\n\r\n")-1]
						ups, _ = startResumeServers(t, 2, cut, cut)
						f = newFixture(t, conf, ups...)
						res = f.doStream("Attempt-Id", resumeTestID)
						assert.NilError(t, res.err)
						assert.Equal(t, res.status, http.StatusBadGateway)
						assert.Equal(t, res.header.Get("Response-Seal"), "")
					})
				}
			}
		}
	}
}

// Guards against text that is no event, or an event that cannot be the next one, in the
// middle of a stream that broke off, and against a stream that looks complete because the
// response to its resume ended without being the rest of it.
func TestResumeAnsweredWithAnotherStream(t *testing.T) {
	const errorText = "server error: secret text\n\n"
	cases := map[string]string{}
	for framing, frame := range framings {
		cases["events: text, "+framing] = frame(eventStreamHead, errorText)
		cases["events: JSON, "+framing] = frame(eventStreamHead, "{\"error\": \"secret text\"}\n\n")
		cases["events: HTML, "+framing] = frame(eventStreamHead, "<html>secret text</html>\r\n\r\n")
		cases["events: another head, "+framing] = frame(eventStreamHead, "HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\nContent-Length: 11\r\n\r\nsecret text")
		cases["events: an error event without id, "+framing] = frame(eventStreamHead, "event: error\ndata: secret text\n\n")
		cases["events: data without id, "+framing] = frame(eventStreamHead, "data: secret text\n\n")
		cases["events: a partial event, "+framing] = frame(eventStreamHead, "id: 4\ndata: secret text\n")
		cases["events: ids anew, "+framing] = frame(eventStreamHead, textEvents(0, 2))
		cases["events: a gap, "+framing] = frame(eventStreamHead, "id: 5\ndata: secret text\n\n")
		cases["events: an error event with id 0, "+framing] = frame(eventStreamHead, "id: 0\nevent: error\ndata: secret text\n\n")
	}
	cases["events: head only, connection ends"] = eventStreamHead + "\r\n"
	cases["events: comments only, connection ends"] = eventStreamHead + "\r\n: keep alive\n\n"
	cases["events: head only, chunks do not end"] = eventStreamHead + "Transfer-Encoding: chunked\r\n\r\n"
	cases["events: head only, shorter than its length"] = eventStreamHead + "Content-Length: 100\r\n\r\n"
	cases["events: a part of the head"] = eventStreamHead
	cases["nothing"] = ""
	for name, next := range cases {
		t.Run(name, func(t *testing.T) { testResumeIsCut(t, next) })
	}
}

// Guards against a resume that is refused although it is the rest of the stream, and
// against data without an id that is repeated in the middle of the stream.
func TestResumeAnsweredWithTheRest(t *testing.T) {
	for framing, frame := range framings {
		for name, c := range map[string]struct{ rest, want string }{
			"next events":                {textEvents(4, 6), textEvents(0, 6)},
			"all events":                 {textEvents(0, 6), textEvents(0, 6)},
			"the same last event":        {textEvents(0, 3), textEvents(0, 3)},
			"keep-alive, next events":    {": keep alive\n\nretry: 10\n\n" + textEvents(4, 6), textEvents(0, 3) + ": keep alive\n\nretry: 10\n\n" + textEvents(4, 6)},
			"preamble, next events":      {"event: role\ndata: x\n\n" + textEvents(4, 6), textEvents(0, 6)},
			"next events, end marker":    {textEvents(4, 6) + "data: [DONE]\n\n", textEvents(0, 6) + "data: [DONE]\n\n"},
			"carriage returns, no space": {"id:4\r\ndata:x\r\n\r\n", textEvents(0, 3) + "id:4\r\ndata:x\r\n\r\n"},
			"long lines": {"id: 4\ndata: " + strings.Repeat("x", readBufferBytes-6) + "\ndata: " + strings.Repeat("y", readBufferBytes-6) + "id: 9\n\n" + textEvents(5, 6),
				textEvents(0, 3) + "id: 4\ndata: " + strings.Repeat("x", readBufferBytes-6) + "\ndata: " + strings.Repeat("y", readBufferBytes-6) + "id: 9\n\n" + textEvents(5, 6)},
			"new weights at the first event": {"weight-versions: 2\n" + textEvents(4, 6), textEvents(0, 3) + "weight-versions: 2\n" + textEvents(4, 6)},
			"new weights, all events":        {textEvents(0, 3) + "weight-versions: 2\n" + textEvents(4, 6), textEvents(0, 3) + "weight-versions: 2\n" + textEvents(4, 6)},
			"new weights at known events":    {"weight-versions: 2\n" + textEvents(0, 6), textEvents(0, 6)},
			"nothing":                        {"", textEvents(0, 3)},
		} {
			if framing == "neither" && name == "nothing" {
				continue // cannot be told from an upstream that stopped after the head
			}
			t.Run(name+", "+framing, func(t *testing.T) {
				ups, received := startResumeServers(t, 2, brokenStream, frame(eventStreamHead, c.rest))
				f := newFixture(t, configuration(), ups...)
				res := f.doStream("Attempt-Id", resumeTestID)
				assert.NilError(t, res.err)
				assert.Equal(t, res.body, c.want)
				assert.Equal(t, res.header.Get("Response-Seal"), "s")
				assert.Equal(t, len(received()), 2)
				assert.Equal(t, received()[1].Get("Last-Event-Id"), "3")
			})
		}
	}
}

// Guards against the text of an error that an upstream writes into its stream, at first or
// after a resume, and against such a stream that looks complete.
func TestErrorTextWithinAStream(t *testing.T) {
	const errorHead = "HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\nContent-Length: 11\r\n\r\nsecret text"
	for name, text := range map[string]string{
		"head":                    errorHead,
		"head, empty line":        errorHead + "\n\n",
		"head within an event":    "id: 6\ndata: pie" + errorHead + "\n\n",
		"head after an event":     "id: 6\ndata: piece 6\n" + errorHead + "\n\n",
		"text":                    "server error: secret text\n\n",
		"text within an event":    "id: 6\nsecret text\n\n",
		"JSON":                    "{\"error\": \"secret text\"}\n\n",
		"head that names weights": "Weight-Versions: 2\r\nContent-Type: text/plain\r\n\r\nsecret text",
		"weights without number":  "weight-versions: secret text\n\n",
		"a part of the weights":   "weight-versions: 2\nid: 6",
		"head after the weights":  "weight-versions: 2\n" + errorHead + "\n\n",
		"long text":               strings.Repeat("secret text ", 1000) + "\n\n",
		"a part of an event":      "id: 6\ndata: secret text\n",
		"a part of a line":        "id: 6\ndata: secr",
		"a part of the first one": "id: ",
	} {
		for framing, frame := range framings {
			t.Run(name+", "+framing, func(t *testing.T) {
				first := frame(eventStreamHead, textEvents(0, 5)+text)
				ups, received := startResumeServers(t, 2, first, frame(eventStreamHead, textEvents(6, 9)))
				f := newFixture(t, configuration(), ups...)
				res := f.doStream("Attempt-Id", resumeTestID)
				assert.NilError(t, res.err)
				assert.Equal(t, res.body, textEvents(0, 9))
				assert.Equal(t, received()[1].Get("Last-Event-Id"), "5")

				ups, _ = startResumeServers(t, 2, brokenStream, frame(eventStreamHead, textEvents(4, 5)+text))
				conf := configuration()
				conf.Routes[0].MaxAttempts = 2
				f = newFixture(t, conf, ups...)
				res = f.doStream("Attempt-Id", resumeTestID)
				assert.Assert(t, res.err != nil, "the stream looks complete with the body %q", res.body)
				assert.Equal(t, res.body, textEvents(0, 5))
			})
		}
	}
	t.Run("head in place of a chunk", func(t *testing.T) {
		ups, _ := startResumeServers(t, 2, brokenStream+errorHead, eventStreamHead+"Transfer-Encoding: chunked\r\n\r\n"+chunk(textEvents(4, 5))+errorHead)
		conf := configuration()
		conf.Routes[0].MaxAttempts = 2
		f := newFixture(t, conf, ups...)
		res := f.doStream("Attempt-Id", resumeTestID)
		assert.Assert(t, res.err != nil, "the stream looks complete with the body %q", res.body)
		assert.Equal(t, res.body, textEvents(0, 5))
	})
}

// Guards against a stream that broke off and looks complete to a caller of HTTP/1.0, whose
// response has neither length nor chunks and ends with its connection.
func TestBrokenStreamToHTTP10Caller(t *testing.T) {
	for name, next := range map[string]string{"broken": "HTTP/1.1 500 Error\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\nContent-Length: 11\r\n\r\nsecret text",
		"complete": eventStreamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(textEvents(4, 5)) + "0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			ups, _ := startResumeServers(t, 2, brokenStream, next)
			conf := configuration()
			conf.Routes[0].MaxAttempts = 2
			f := newFixture(t, conf, ups...)
			c, err := net.Dial("tcp", f.addr)
			assert.NilError(t, err)
			defer c.Close()
			_, err = fmt.Fprintf(c, "POST /letters/x HTTP/1.0\r\nHost: h\r\nAttempt-Id: %s\r\nAuthorization: Bearer secret\r\nToken-Count: 8000,800\r\nContent-Length: 1\r\n\r\nx", resumeTestID)
			assert.NilError(t, err)
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if name == "complete" {
				assert.NilError(t, err)
				body, err := io.ReadAll(res.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), textEvents(0, 5))
				return
			}
			if err == nil { // a reset may overtake the response
				_, err = io.ReadAll(res.Body)
			}
			assert.Assert(t, err != nil, "the stream looks complete")
		})
	}
}

// Guards against streams that are mixed with other text, have a gap or look complete
// although they are not, in a random mix of responses that break off, errors, refusals and
// wrong streams.
func TestStreamsAmongBrokenResponses(t *testing.T) {
	const last = 11
	whole := textEvents(0, last)
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var mu sync.Mutex
			rng := rand.New(rand.NewPCG(seed, 2))
			random := func(n int) int { mu.Lock(); defer mu.Unlock(); return rng.IntN(n) }
			respond := func(c net.Conn, r *http.Request) {
				next := 0
				if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &next); err == nil {
					next++
				}
				rest := textEvents(next, last)
				framing := []string{"length", "chunks", "neither"}[random(3)]
				frame, head, reset := framings[framing], eventStreamHead, false
				var text string
				switch random(10) {
				case 0, 1, 2:
					text = frame(head, rest)
				case 3, 4: // breaks off
					text = frame(head, rest)
					text = text[:random(len(text))]
					reset = framing == "neither" || random(2) == 0
				case 5: // an error within the stream
					text = frame(head, textEvents(next, min(next+random(3), last))+"HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n\r\nsecret text\n\n")
				case 6:
					status := []string{"206 Partial", "302 Found", "404 No", "429 Busy", "500 Error", "503 Busy", "504 Late"}[random(7)]
					text = frame("HTTP/1.1 "+status+"\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\nContent-Type: text/plain\r\n", "secret text\n\n")
				case 7:
					text = refusal("ID")
				case 8: // ids anew, which end before the last event of the caller
					if text = frame(head, rest); next > 1 {
						text = frame(head, textEvents(0, random(next-1)))
					}
				case 9:
					text = frame(strings.Replace(head, "event-stream", "plain", 1), rest)
				}
				_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Attempt-Id")))
				if reset {
					time.Sleep(time.Duration(random(3)) * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}
			var ups []*upstream
			for i := range 6 {
				u := startRawUpstream(t, func(c net.Conn) {
					defer c.Close()
					r := bufio.NewReader(c)
					for {
						request, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, request.Body)
						if strings.HasPrefix(request.URL.Path, "/v1/") {
							_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(emptyReport), emptyReport)
							continue
						}
						respond(c, request)
						return
					}
				})
				u.ID, u.Service, u.Zone = fmt.Sprint("u", i), "model", fmt.Sprint("z", i%2)
				ups = append(ups, u)
			}
			conf := configuration()
			conf.Routes[0].Objective, conf.Routes[0].Timeout = 400*time.Millisecond, 2*time.Second
			f := newFixture(t, conf, ups...)
			var wg sync.WaitGroup
			var complete atomic.Int64
			for i := range 160 {
				r := f.request("POST", "/letters/x", fmt.Sprint("prompt ", i), "Attempt-Id", fmt.Sprint("mix-", i), "Token-Count", "80,8")
				wg.Add(1)
				go func() {
					defer wg.Done()
					res := f.do(r)
					if res.status != http.StatusOK || res.header.Get("Content-Type") != "text/event-stream" {
						return
					}
					if !strings.HasPrefix(whole, res.body) || res.body != "" && !strings.HasSuffix(res.body, "\n\n") {
						t.Errorf("request %d: the stream is not a part of the whole one: %q", i, res.body)
					}
					if res.err == nil && res.body != whole {
						t.Errorf("request %d: the stream looks complete: %q", i, res.body)
					}
					if res.err == nil {
						complete.Add(1)
					}
				}()
				if i%8 == 7 {
					wg.Wait()
				}
			}
			wg.Wait()
			assert.Assert(t, complete.Load() > 0, "no stream was complete")
		})
	}
}
