package plain

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/response/responsetest"
	"heatherway.dev/kernel/result"
)

// earlyAnswerRuns is how often each form is played. Which side of the connection gets the error
// of a reset differs between runs.
const earlyAnswerRuns = 3

func newService(t *testing.T, addr string) *Service {
	s := &Service{URL: "http://" + addr, Services: []string{"desk"}, Slots: 4, AnswerLimit: 1 << 10}
	assert.NilError(t, s.Validate())
	assert.NilError(t, s.Provision(nil))
	return s
}

// Guards against a response whose status is not a final one, or that is no response of HTTP/1,
// which becomes the answer of a call, or after which the call counts as not run.
func TestMalformedStatusIsNoAnswer(t *testing.T) {
	for line, valid := range responsetest.StatusLines {
		for _, framing := range []string{"Content-Length: 2\r\n", ""} {
			t.Run(fmt.Sprintf("%q%q", line, framing), func(t *testing.T) {
				var sent atomic.Int64
				s := newService(t, responsetest.Serve(t, func(c net.Conn) {
					r, err := http.ReadRequest(bufio.NewReader(c))
					if err != nil {
						return
					}
					sent.Add(1)
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = fmt.Fprintf(c, "%s\r\n%s\r\nok", line, framing)
				}))
				reply, err := s.Call(t.Context(), &wire.CallArgs{Method: "POST", Path: "/x", Body: []byte("x")})
				assert.Equal(t, sent.Load(), int64(1))
				if valid {
					assert.NilError(t, err)
					assert.Equal(t, string(reply.Body), "ok")
					return
				}
				assert.Assert(t, err != nil, "%+v", reply)
				assert.Assert(t, result.From(err).Ran != result.NotRun, "%v", err)
				assert.Assert(t, s.Probe(t.Context()) != nil)
			})
		}
	}
}

// Guards against a part of an answer without a length that counts as a complete one when the
// service answers a long upload early and its connection breaks, and against the loss of early
// answers that are complete.
func TestEarlyAnswersToUploads(t *testing.T) {
	for name, answer := range responsetest.EarlyAnswers(rand.New(rand.NewPCG(responsetest.Seed, 0))) {
		for _, size := range responsetest.Sizes {
			t.Run(fmt.Sprintf("%s/%d KB", name, size>>10), func(t *testing.T) {
				for range earlyAnswerRuns {
					s := newService(t, responsetest.Serve(t, func(c net.Conn) { answer.AnswerFirst(c, "HTTP/1.1 200 OK\r\n", "part") }))
					reply, err := s.Call(t.Context(), &wire.CallArgs{Method: "POST", Path: "/x", Body: bytes.Repeat([]byte("u"), size)})
					if answer.Whole {
						assert.NilError(t, err)
						assert.Equal(t, string(reply.Body), "part")
						continue
					}
					assert.Assert(t, err != nil, "%+v", reply)
					assert.Assert(t, result.From(err).Ran != result.NotRun, "%v", err)
				}
			})
		}
	}
}

// Guards against an answer without a length whose end arrives while the service takes no more of
// the upload: it must not look complete, and the call must not wait for its deadline.
func TestEarlyEndWhileUploadStalls(t *testing.T) {
	s := newService(t, responsetest.Serve(t, func(c net.Conn) { responsetest.StalledEnd().AnswerFirst(c, "HTTP/1.1 200 OK\r\n", "part") }))
	begin := time.Now()
	reply, err := s.Call(t.Context(), &wire.CallArgs{Method: "POST", Path: "/x", Body: make([]byte, 7<<20)})
	assert.Assert(t, err != nil, "%+v", reply)
	assert.Assert(t, time.Since(begin) < responsetest.HoldTime-500*time.Millisecond, "took %v", time.Since(begin))
}
