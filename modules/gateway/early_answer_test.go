package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/routing"
)

const (
	// earlyAnswerSeed makes the bodies and delays of the tests reproducible.
	earlyAnswerSeed = 47
	// earlyAnswerRuns is how often each form is played. Which side of the connection gets the
	// error of a reset differs between runs.
	earlyAnswerRuns = 3
	// holdTime limits how long a fake upstream keeps a connection that it no longer reads.
	holdTime = 2 * time.Second
)

// uploadExchange is the connection of an upstream that has read only the header of a request.
type uploadExchange struct {
	*net.TCPConn
	// body is the part of the request that has not been read.
	body io.Reader
	// size is the length of the request's body.
	size int64
	rng  *rand.Rand
}

func (u *uploadExchange) reset() {
	_ = u.SetLinger(0)
	_ = u.Close()
}

func (u *uploadExchange) readAll() { _, _ = io.Copy(io.Discard, u.body) }

func (u *uploadExchange) pause() { time.Sleep(time.Duration(u.rng.IntN(8000)) * time.Microsecond) }

// earlyAnswer is a form of an answer that an upstream gives before it has read the request.
type earlyAnswer struct {
	// whole is set if the caller must get the answer, otherwise it must not look complete.
	whole bool
	// framing is the end of the header and the bytes of the body.
	framing func(body string) string
	// end ends the connection after the answer was written.
	end func(*uploadExchange)
}

func untilEnd(body string) string { return "\r\n" + body }

func withLength(body string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func inChunks(body string) string {
	return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

func earlyAnswers() map[string]earlyAnswer {
	noBody := func(string) string { return "\r\n" }
	return map[string]earlyAnswer{
		"head, reset":               {false, noBody, (*uploadExchange).reset},
		"part, reset":               {false, untilEnd, (*uploadExchange).reset},
		"part, delay, reset":        {false, untilEnd, func(u *uploadExchange) { u.pause(); u.reset() }},
		"part, half read, reset":    {false, untilEnd, func(u *uploadExchange) { _, _ = io.CopyN(io.Discard, u.body, u.size/2); u.reset() }},
		"part, close unread":        {false, untilEnd, func(u *uploadExchange) { u.pause(); _ = u.Close() }},
		"part of a length, reset":   {false, func(b string) string { return withLength(b + "more")[:len(withLength(b+"more"))-4] }, (*uploadExchange).reset},
		"part of the chunks, reset": {false, func(b string) string { return strings.TrimSuffix(inChunks(b), "0\r\n\r\n") }, (*uploadExchange).reset},

		"length, reset":            {true, withLength, func(u *uploadExchange) { u.pause(); u.reset() }},
		"chunks, reset":            {true, inChunks, func(u *uploadExchange) { u.pause(); u.reset() }},
		"read, then end":           {true, untilEnd, func(u *uploadExchange) { u.readAll(); _ = u.Close() }},
		"end, then read":           {true, untilEnd, func(u *uploadExchange) { _ = u.CloseWrite(); u.readAll(); _ = u.Close() }},
		"end, delay, then read":    {true, untilEnd, func(u *uploadExchange) { _ = u.CloseWrite(); u.pause(); u.readAll(); _ = u.Close() }},
		"length, read on, kept":    {true, withLength, (*uploadExchange).readAll},
		"read in parts, then end":  {true, untilEnd, func(u *uploadExchange) { readSlowly(u); _ = u.Close() }},
		"chunks, read in the rest": {true, inChunks, readSlowly},
	}
}

// readSlowly reads the rest of the request with pauses.
func readSlowly(u *uploadExchange) {
	for range 4 {
		_, _ = io.CopyN(io.Discard, u.body, u.size/4+1)
		time.Sleep(2 * time.Millisecond)
	}
}

// startEarlyUpstream starts an upstream that answers uploads in the given form. It answers
// reports and requests whose path ends with warm as usual.
func startEarlyUpstream(t *testing.T, service string, rng *rand.Rand, answer earlyAnswer) *upstream {
	seeds := make(chan uint64, 64)
	for range cap(seeds) {
		seeds <- rng.Uint64()
	}
	u := startRawUpstream(t, func(c net.Conn) {
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(holdTime))
		for r := bufio.NewReader(c); ; {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if request.URL.Path == "/v1/report" || strings.HasSuffix(request.URL.Path, "warm") {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(c, strings.Replace(modelResponse(request), "text/event-stream", "text/plain", 1))
				continue
			}
			body := "part of the answer"
			if service == "model" {
				body = "id: 0\ndata: x\n\nid: 1\ndata: x\n\n"
			}
			head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.Header.Get("Attempt-Id") + "\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"
			_, _ = io.WriteString(c, head+answer.framing(body))
			seed := uint64(earlyAnswerSeed)
			select {
			case seed = <-seeds:
			default:
			}
			answer.end(&uploadExchange{c.(*net.TCPConn), request.Body, request.ContentLength, rand.New(rand.NewPCG(seed, 0))})
		}
	})
	u.Service = service
	return u
}

// uploadConfiguration allows long bodies.
func uploadConfiguration() *routing.Configuration {
	conf := configuration()
	conf.Limits.BodyBytes = 8 << 20
	conf.Routes[0].Timeout = 2 * time.Second
	return conf
}

// Guards against a part of an answer without a length that is passed on as a complete one when
// the upstream answers a long upload early and its connection breaks, and against the loss of
// early answers that are complete.
func TestEarlyAnswersToUploads(t *testing.T) {
	for name, answer := range earlyAnswers() {
		for _, size := range []int{64 << 10, 900 << 10, 4 << 20} {
			for path, service := range map[string]string{"/book/": "desk", "/look/": "desk", "/letters/": "model"} {
				for _, kept := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%d KB%s/kept=%v", name, size>>10, path, kept), func(t *testing.T) {
						t.Parallel()
						rng := rand.New(rand.NewPCG(earlyAnswerSeed, uint64(size)))
						for range earlyAnswerRuns {
							f := newFixture(t, uploadConfiguration(), startEarlyUpstream(t, service, rng, answer))
							if kept {
								assert.Equal(t, f.do(f.request("POST", path+"warm", "x", "Token-Count", "800,80")).status, 200)
							}
							res := f.do(f.request("POST", path+"x", strings.Repeat("u", size), "Token-Count", "800,80"))
							if answer.whole {
								assert.NilError(t, res.err)
								assert.Equal(t, res.status, 200, "%s", res.body)
								continue
							}
							assert.Assert(t, res.err != nil || res.status == 502 || res.status == 504, "status %d, body %q", res.status, res.body)
						}
					})
				}
			}
		}
	}
}

// Guards against an answer without a length whose end arrives while the upstream takes no more
// of the upload: it must not look complete, and the caller must not wait for its deadline.
func TestEarlyEndWhileUploadStalls(t *testing.T) {
	stalled := earlyAnswer{false, untilEnd, func(u *uploadExchange) { _ = u.CloseWrite(); time.Sleep(holdTime); u.reset() }}
	for path, service := range map[string]string{"/book/": "desk", "/look/": "desk", "/letters/": "model"} {
		t.Run(path, func(t *testing.T) {
			conf := uploadConfiguration()
			for i := range conf.Routes {
				conf.Routes[i].Timeout, conf.Routes[i].MaxAttempts = 4*time.Second, 1
			}
			f := newFixture(t, conf, startEarlyUpstream(t, service, rand.New(rand.NewPCG(earlyAnswerSeed, 0)), stalled))
			res := f.do(f.request("POST", path+"x", strings.Repeat("u", 7<<20), "Token-Count", "800,80"))
			assert.Assert(t, res.err != nil || res.status == 502, "status %d, body %q", res.status, res.body)
			assert.Assert(t, res.took < holdTime-500*time.Millisecond, "took %v", res.took)
		})
	}
}
