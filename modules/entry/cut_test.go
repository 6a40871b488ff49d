package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// rawCaller is a caller with one connection, which it uses until the entry says that it
// closes it.
type rawCaller struct {
	t      *testing.T
	conn   *net.TCPConn
	reader *bufio.Reader
}

func (f *fixture) dial(t *testing.T) *rawCaller {
	t.Helper()
	c, err := net.Dial("tcp", f.module.publicListener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &rawCaller{t, c.(*net.TCPConn), bufio.NewReader(c)}
}

// callerHead is the header of a request with a valid key; a request adds the empty line.
func callerHead(method, target, proto string) string {
	return fmt.Sprintf("%s %s %s\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n", method, target, proto, testAPIKey)
}

func withBody(head, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

func (c *rawCaller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	assert.NilError(c.t, err)
}

// expect reads one whole response and checks its status.
func (c *rawCaller) expect(status int) (*http.Response, string) {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	b, err := io.ReadAll(res.Body)
	assert.NilError(c.t, err)
	assert.Equal(c.t, res.StatusCode, status, "%s", b)
	return res, string(b)
}

// newCutFixture returns an entry whose agent answers calls of the path /slow after 400 ms,
// others at once, and generations in pieces over 400 ms.
func newCutFixture(t *testing.T) *fixture {
	a := newFakeAgent(t, "agent-1", func(w *frameWriter, _ *wire.GenerateRequest) {
		for i := range 4 {
			time.Sleep(100 * time.Millisecond)
			w.sendTokens(i, i+1)
		}
		w.sendEnd(4)
	})
	a.call = func(args *wire.CallArgs, r *wire.CallReply) error {
		if args.Path == "/slow" {
			time.Sleep(400 * time.Millisecond)
		}
		r.Status, r.Body = http.StatusOK, []byte("answer")
		return nil
	}
	return newFixture(t, a)
}

const (
	slowCall = "/v1/services/orders/slow"
	fastCall = "/v1/services/orders/fast"
)

// Guards against requests that are dropped on a kept connection during a planned stop:
// http.Server.Shutdown closes connections that it takes for idle, and drops requests that
// it has read.
func TestStopServesKeptConnections(t *testing.T) {
	f := newCutFixture(t)
	f.module.Grace = 200 * time.Millisecond
	f.stopLimit = time.Minute // calls of 5 s may end within it
	arriving, streaming := f.dial(t), f.dial(t)
	arriving.send(callerHead("GET", fastCall, "HTTP/1.1") + "\r\n")
	arriving.expect(200)
	streaming.send(withBody(callerHead("POST", "/v1/completions", "HTTP/1.1"), streamingBody))
	time.Sleep(150 * time.Millisecond) // the header of the stream's response does not announce the stop
	go f.stop()
	time.Sleep(100 * time.Millisecond)
	arriving.send(callerHead("POST", fastCall, "HTTP/1.1")) // the rest follows after the listener has closed
	time.Sleep(200 * time.Millisecond)
	arriving.send("Content-Length: 4\r\n\r\nbody")
	res, _ := arriving.expect(200)
	assert.Assert(t, res.Close)
	res, _ = streaming.expect(200)
	assert.Assert(t, !res.Close)
	streaming.send(callerHead("GET", fastCall, "HTTP/1.1") + "\r\n")
	res, _ = streaming.expect(200)
	assert.Assert(t, res.Close)
}

// Guards against a whole request that ends without an answer because its caller has closed
// only its sending side.
func TestHalfClosedCallerGetsAnAnswer(t *testing.T) {
	f := newCutFixture(t)
	for name, request := range map[string]string{
		"call":                callerHead("GET", slowCall, "HTTP/1.1") + "\r\n",
		"call at most once":   withBody(callerHead("POST", slowCall, "HTTP/1.1"), "body"),
		"whole generation":    withBody(callerHead("POST", "/v1/completions", "HTTP/1.1"), `{"model":"letters","prompt":"p"}`),
		"streamed generation": withBody(callerHead("POST", "/v1/completions", "HTTP/1.1"), streamingBody),
	} {
		t.Run(name, func(t *testing.T) {
			c := f.dial(t)
			c.send(request)
			time.Sleep(50 * time.Millisecond)
			assert.NilError(t, c.conn.CloseWrite())
			_, body := c.expect(500) // the generated servers have no status 499
			assert.Equal(t, decodeProblem(t, body).Code, 4990)
		})
	}
	t.Run("stream that has begun", func(t *testing.T) {
		c := f.dial(t)
		c.send(withBody(callerHead("POST", "/v1/completions", "HTTP/1.1"), streamingBody))
		_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err := c.reader.Peek(1)
		assert.NilError(t, err)
		assert.NilError(t, c.conn.CloseWrite())
		_, body := c.expect(200)
		assert.Assert(t, strings.Contains(body, `"code":4990`), "%s", body)
	})
}

// Guards against an early answer that the caller cannot read because the connection is reset
// while the caller still sends its body.
func TestEarlyAnswerReachesCallerThatStillSends(t *testing.T) {
	const size = 12 << 20
	f := newCutFixture(t)
	for name, test := range map[string]struct {
		head   string
		status int
	}{
		"no route":    {callerHead("POST", "/none", "HTTP/1.1"), 404},
		"no key":      {strings.Replace(callerHead("POST", "/v1/completions", "HTTP/1.1"), "Bearer", "Basic", 1), 401},
		"unknown key": {strings.Replace(callerHead("POST", fastCall, "HTTP/1.1"), testAPIKey, "wrong", 1), 401},
		"too large":   {callerHead("POST", "/v1/completions", "HTTP/1.1"), 413},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " chunked=", chunked), func(t *testing.T) {
				t.Parallel()
				c := f.dial(t)
				if chunked {
					c.send(test.head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size))
				} else {
					c.send(test.head + fmt.Sprintf("Content-Length: %d\r\n\r\n", size))
				}
				piece := strings.Repeat("x", size/12)
				for range 12 { // slower than the 500 ms after which net/http closes
					time.Sleep(80 * time.Millisecond)
					c.send(piece)
				}
				if chunked {
					c.send("\r\n0\r\n\r\n")
				}
				c.expect(test.status)
			})
		}
	}
}

// Guards against lost requests in the less common forms, and against a read deadline that
// outlives the body: it would end a call that runs longer, or the next one on the connection.
func TestFormsOfRequests(t *testing.T) {
	f := newCutFixture(t)
	f.module.Limits.BodyTime = 200 * time.Millisecond
	c := f.dial(t)
	for _, target := range []string{slowCall, fastCall, "/v1/completions"} {
		head := callerHead("POST", target, "HTTP/1.1")
		c.send(head + fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(streamingBody)))
		line, err := c.reader.ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
		_, err = c.reader.ReadString('\n')
		assert.NilError(t, err)
		c.send(streamingBody)
		c.expect(200)
		c.send(head + fmt.Sprintf("Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", len(streamingBody), streamingBody))
		c.expect(200)
		time.Sleep(250 * time.Millisecond) // the deadline of the body passes
		c.send(withBody(head, streamingBody))
		c.expect(200)
		old := f.dial(t)
		old.send(withBody(callerHead("POST", target, "HTTP/1.0"), streamingBody))
		old.expect(200)
	}
	c.send(withBody(callerHead("GET", "/v1/models", "HTTP/1.1"), "not read"))
	c.expect(200)
	time.Sleep(250 * time.Millisecond)
	c.send(withBody(callerHead("POST", fastCall, "HTTP/1.1"), "body"))
	c.expect(200)
	c.send(callerHead("POST", fastCall, "HTTP/1.1") + "Content-Length: 9\r\n\r\npart")
	res, _ := c.expect(400)
	assert.Assert(t, res.Close)
}

// Guards against requests that are cut off without an answer at the end of a planned stop, among them
// calls that may not be repeated.
func TestStopLimitAnswersRunningRequests(t *testing.T) {
	for name, request := range map[string]string{
		"call":              callerHead("GET", slowCall, "HTTP/1.1") + "\r\n",
		"call at most once": withBody(callerHead("POST", slowCall, "HTTP/1.1"), "body"),
		"whole generation":  withBody(callerHead("POST", "/v1/completions", "HTTP/1.1"), `{"model":"letters","prompt":"p"}`),
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			a := newFakeAgent(t, "agent-1", func(w *frameWriter, _ *wire.GenerateRequest) { <-release })
			a.call = func(args *wire.CallArgs, r *wire.CallReply) error {
				if args.Path == "/slow" {
					<-release
				}
				r.Status, r.Body = http.StatusOK, []byte("answer")
				return nil
			}
			f := newFixture(t, a)
			f.module.Grace = 400 * time.Millisecond
			c := f.dial(t)
			c.send(callerHead("GET", fastCall, "HTTP/1.1") + "\r\n")
			c.expect(200)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			done := make(chan struct{})
			c.send(request)
			time.Sleep(150 * time.Millisecond)
			go func() { defer close(done); _ = f.module.Stop(ctx) }()
			res, body := c.expect(500)
			assert.Equal(t, decodeProblem(t, body).Code, int(result.OutcomeUnknown))
			assert.Assert(t, res.Close)
			<-done
			assert.Assert(t, ctx.Err() == nil, "the stop took longer than its limit")
		})
	}
}
