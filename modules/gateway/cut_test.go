package gateway

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

	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/modules/dialect"
	"heatherway.dev/heatherway/platform"
)

// rawCaller is a caller with one connection, which it uses until the gateway says that it
// closes it.
type rawCaller struct {
	t      *testing.T
	conn   *net.TCPConn
	reader *bufio.Reader
}

func (f *fixture) dial() *rawCaller {
	f.t.Helper()
	c, err := net.Dial("tcp", f.addr)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	return &rawCaller{f.t, c.(*net.TCPConn), bufio.NewReader(c)}
}

// callerHead is the header of a request with a valid key; a request adds the empty line.
func callerHead(method, target, proto, id string) string {
	return fmt.Sprintf("%s %s %s\r\nHost: h\r\nAttempt-Id: %s\r\nAuthorization: Bearer secret\r\nDeadline-Ms: 20000\r\nToken-Count: 800,200\r\nPrompt-Prefix: aa:800\r\n",
		method, target, proto, id)
}

func (c *rawCaller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	assert.NilError(c.t, err)
}

// receive reads one whole response.
func (c *rawCaller) receive() (res *http.Response, body string, err error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if res, err = http.ReadResponse(c.reader, nil); err != nil {
		return nil, "", err
	}
	b, err := io.ReadAll(res.Body)
	return res, string(b), err
}

// expect reads one whole response and checks its status.
func (c *rawCaller) expect(status int) *http.Response {
	c.t.Helper()
	res, body, err := c.receive()
	assert.NilError(c.t, err)
	assert.Equal(c.t, res.StatusCode, status, "%s", body)
	return res
}

// startDesk and startLetters start an upstream of the plain service and one whose streams
// have ten events in the given time.
func startDesk(t *testing.T) *upstream {
	return startUpstream(t, "desk-1", "desk", "z0", func(w http.ResponseWriter, r *http.Request, _ int) {
		time.Sleep(3 * time.Millisecond)
		_, _ = io.WriteString(w, "answer to "+r.Header.Get("Attempt-Id"))
	})
}

func startLetters(t *testing.T, duration time.Duration) *upstream {
	return startUpstream(t, "model-1", "model", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) {
		for i := range 10 {
			writeEvent(w, i)
			time.Sleep(duration / 10)
		}
	})
}

// stopInBackground stops the gateway and returns a channel that is closed at the end.
func (f *fixture) stopInBackground() chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Stop(context.Background())
	}()
	return done
}

// Guards against requests that are dropped on a kept connection during a planned stop:
// http.Server.Shutdown closes connections that it takes for idle, and drops requests that
// it has read.
func TestStopServesKeptConnections(t *testing.T) {
	f := newFixture(t, configuration(), startDesk(t), startLetters(t, 1500*time.Millisecond))
	f.Grace, f.DrainDelay = 3*time.Second, 300*time.Millisecond
	idle, arriving, streaming := f.dial(), f.dial(), f.dial()
	idle.send(callerHead("GET", "/look/x", "HTTP/1.1", "k1") + "\r\n")
	idle.expect(200)
	arriving.send(callerHead("GET", "/look/x", "HTTP/1.1", "k2") + "\r\n")
	arriving.expect(200)
	streaming.send(callerHead("POST", "/letters/x", "HTTP/1.1", "k3") + "Content-Length: 6\r\n\r\nprompt")
	time.Sleep(50 * time.Millisecond) // the header of the stream's response does not announce the stop
	f.stopInBackground()
	time.Sleep(200 * time.Millisecond)
	arriving.send(callerHead("POST", "/look/x", "HTTP/1.1", "k4")) // the rest follows after the drain delay
	time.Sleep(400 * time.Millisecond)
	arriving.send("Content-Length: 4\r\n\r\nbody")
	assert.Assert(t, arriving.expect(200).Close)
	idle.send(callerHead("GET", "/look/x", "HTTP/1.1", "k5") + "\r\n")
	assert.Assert(t, idle.expect(200).Close)
	assert.Assert(t, !streaming.expect(200).Close)
	streaming.send(callerHead("GET", "/look/x", "HTTP/1.1", "k6") + "\r\n")
	assert.Assert(t, streaming.expect(200).Close)
}

// Guards against a stop that waits for the whole grace period although no connection is open.
func TestStopEndsWithTheLastConnection(t *testing.T) {
	f := newFixture(t, configuration(), startDesk(t))
	f.Grace, f.DrainDelay = 8*time.Second, 100*time.Millisecond
	c := f.dial()
	c.send(callerHead("GET", "/look/x", "HTTP/1.1", "e1") + "\r\n")
	c.expect(200)
	begin, done := time.Now(), f.stopInBackground()
	time.Sleep(200 * time.Millisecond)
	c.send(callerHead("GET", "/look/x", "HTTP/1.1", "e2") + "\r\n")
	c.expect(200)
	_ = c.conn.Close()
	<-done
	assert.Assert(t, time.Since(begin) < 2*time.Second)
}

// Guards against a whole request that ends without an answer because its caller has closed
// only its sending side.
func TestHalfClosedCallerGetsAnAnswer(t *testing.T) {
	release := make(chan struct{})
	hold := func(_ http.ResponseWriter, r *http.Request, _ int) {
		select {
		case <-r.Context().Done():
		case <-release:
		}
	}
	f := newFixture(t, configuration(), startUpstream(t, "desk-1", "desk", "z0", hold), startUpstream(t, "model-1", "model", "z0", hold))
	for i, target := range []string{"/book/x", "/look/x", "/letters/x"} {
		c := f.dial()
		c.send(callerHead("POST", target, "HTTP/1.1", fmt.Sprint("h", i)) + "Content-Length: 4\r\n\r\nbody")
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, c.conn.CloseWrite())
		c.expect(499)
	}
	close(release)
}

// Guards against an early answer that the caller cannot read because the connection is reset
// while the caller still sends its body.
func TestEarlyAnswerReachesCallerThatStillSends(t *testing.T) {
	const size = 12 << 20
	for name, test := range map[string]struct {
		head   string
		status int
		limit  int64
		stop   bool
	}{
		"no route":            {callerHead("POST", "/none", "HTTP/1.1", "s1"), 404, 0, false},
		"unknown key":         {strings.Replace(callerHead("POST", "/book/x", "HTTP/1.1", "s2"), "secret", "wrong", 1), 401, 0, false},
		"too large":           {callerHead("POST", "/book/x", "HTTP/1.1", "s3"), 413, 1 << 16, false},
		"too large to buffer": {callerHead("POST", "/book/x", "HTTP/1.1", "s4"), 413, 0, false},
		"while stopping":      {callerHead("POST", "/none", "HTTP/1.1", "s5"), 404, 0, true},
		"buffers full":        {callerHead("POST", "/book/x", "HTTP/1.1", "full"), 503, 0, false},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " chunked=", chunked), func(t *testing.T) {
				t.Parallel()
				conf := configuration()
				conf.Limits.BodyBytes = test.limit
				for i := range conf.Routes {
					conf.Routes[i].Timeout = 10 * time.Second // the body takes a second and more to arrive
				}
				f := newFixture(t, conf, startDesk(t))
				f.Grace, f.DrainDelay = 4*time.Second, time.Second
				if test.status == http.StatusServiceUnavailable {
					assert.Assert(t, f.buffers.NewReservation().Reserve(f.buffers.Limit()))
				}
				if test.stop {
					f.stopInBackground()
					time.Sleep(20 * time.Millisecond)
				}
				c := f.dial()
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

// Guards against a response that is lost in a reset because the caller has sent its next
// request already when a stopping gateway closes the connection.
func TestStopWithPipelinedRequests(t *testing.T) {
	f := newFixture(t, configuration(), startDesk(t))
	f.Grace, f.DrainDelay = 3*time.Second, time.Second
	f.stopInBackground()
	time.Sleep(20 * time.Millisecond)
	for i := range 50 {
		c := f.dial()
		head := callerHead("POST", "/look/x", "HTTP/1.1", fmt.Sprint("p", i)) + "Content-Length: 4\r\n\r\nbody"
		c.send(head + strings.Repeat(head, 20))
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, c.expect(200).Close)
	}
}

// Guards against lost requests in the less common forms of a request, on kept connections.
func TestFormsOfRequests(t *testing.T) {
	f := newFixture(t, configuration(), startDesk(t), startLetters(t, 20*time.Millisecond))
	c := f.dial()
	for i, target := range []string{"/look/x", "/book/x", "/letters/x"} {
		head := callerHead("POST", target, "HTTP/1.1", fmt.Sprint("f", i))
		c.send(head + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		line, err := c.reader.ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
		_, err = c.reader.ReadString('\n')
		assert.NilError(t, err)
		c.send("body")
		c.expect(200)
		c.send(strings.Replace(head, fmt.Sprint("f", i), fmt.Sprint("g", i), 1) + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\nX-Sum: 1\r\n\r\n")
		c.expect(200)
		old := f.dial()
		old.send(strings.Replace(callerHead("POST", target, "HTTP/1.0", fmt.Sprint("o", i)), "Host", "Connection: keep-alive\r\nHost", 1) + "Content-Length: 4\r\n\r\nbody")
		old.expect(200)
	}
}

// Guards against a read deadline that outlives its request and ends the next one on the
// connection, and against a late body without an answer.
func TestReadDeadlineEndsWithItsRequest(t *testing.T) {
	conf := configuration()
	conf.Limits.BodyBytes = 100
	f := newFixture(t, conf, startDesk(t))
	for i, test := range []struct {
		headers, body string
		status        int
	}{
		{"Deadline-Ms: 150\r\nContent-Length: 4\r\n\r\n", "body", 200},
		{"Deadline-Ms: 150\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n", 200},
		{"Deadline-Ms: 150\r\nContent-Length: 200\r\n\r\n", strings.Repeat("x", 200), 413},
		{"Deadline-Ms: 150\r\nContent-Length: 9\r\n\r\n", "part", 504},
		{"Deadline-Ms: 150\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", 504},
		{"Deadline-Ms: 150\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\nzz\r\n", 400},
		{"Deadline-Ms: 150\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\n", 504},
	} {
		c := f.dial()
		head := strings.Replace(callerHead("POST", "/look/x", "HTTP/1.1", fmt.Sprint("d", i)), "Deadline-Ms: 20000\r\n", "", 1)
		c.send(head + test.headers + test.body)
		if c.expect(test.status).Close {
			continue
		}
		time.Sleep(250 * time.Millisecond) // the deadline of the first request passes
		c.send(callerHead("POST", "/look/x", "HTTP/1.1", fmt.Sprint("e", i)) + "Content-Length: 4\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		c.send("body")
		c.expect(200)
	}
}

// startByteUpstream starts an upstream that sends the given bytes, in which %s is the request's
// ID, and then closes the connection or leaves it open.
func startByteUpstream(t *testing.T, id, service, response string, keepOpen bool) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, q.Body)
					_, _ = io.WriteString(c, strings.ReplaceAll(response, "%s", q.Header.Get("Attempt-Id")))
					if !keepOpen {
						return
					}
				}
			}()
		}
	}()
	return &upstream{Upstream: registration.Upstream{ID: id, Service: service, Zone: "z0", Addr: l.Addr().String(), Slots: 8, StartedMS: 1000, Seq: 1}}
}

// Guards against requests without a whole response when an upstream's response has no length
// or no body, ends early or falls silent. Only the response of a stream that has begun may
// break off, and the connection must then end.
func TestFormsOfUpstreamResponses(t *testing.T) {
	const signed = "Attempt-Id: %s\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"
	for name, test := range map[string]struct {
		response string
		method   string
		keepOpen bool
		plain    int
		stream   int // 0: the response breaks off
	}{
		"until the end":         {"HTTP/1.1 200 OK\r\n" + signed + "\r\nid: 0\ndata: x\n\n", "POST", false, 200, 200},
		"old protocol":          {"HTTP/1.0 200 OK\r\n" + signed + "\r\nid: 0\ndata: x\n\n", "POST", false, 200, 200},
		"short of its length":   {"HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 90\r\n\r\nid: 0\ndata: x\n\n", "POST", false, 502, 0},
		"short of its chunk":    {"HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n90\r\nid: 0\ndata: x\n\n", "POST", false, 502, 0},
		"no last chunk":         {"HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 0\ndata: x\n\n\r\n", "POST", false, 502, 0},
		"silent before headers": {"HTTP/1.1 200 OK\r\n", "POST", true, 504, 504},
		"silent without length": {"HTTP/1.1 200 OK\r\n" + signed + "\r\n", "POST", true, 504, 504},
		"silent in its length":  {"HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 90\r\n\r\nid: 0\ndata: x\n\n", "POST", true, 504, 0},
		"no content":            {"HTTP/1.1 204 No Content\r\n" + signed + "\r\n", "POST", true, 204, 204},
		"not modified":          {"HTTP/1.1 304 Not Modified\r\n" + signed + "Content-Length: 9\r\n\r\n", "POST", true, 304, 304},
		"head":                  {"HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 9\r\n\r\n", "HEAD", true, 200, 200},
		"informational":         {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + signed + "Content-Length: 16\r\n\r\nid: 0\ndata: xy\n\n", "POST", true, 200, 200},
		"switch of protocols":   {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", "POST", true, 502, 502},
		"nothing":               {"", "POST", false, 502, 502},
		"not HTTP":              {"hello\r\n\r\n", "POST", false, 502, 502},
		"no signature":          {"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 1\r\n\r\nx", "POST", true, 502, 502},
		"encoded":               {"HTTP/1.1 200 OK\r\n" + signed + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx", "POST", true, 502, 502},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conf := configuration()
			conf.Routes[0].Timeout = time.Second
			conf.Routes[0].MaxAttempts = 1
			for target, status := range map[string]int{"/book/x": test.plain, "/look/x": test.plain, "/letters/x": test.stream} {
				f := newFixture(t, conf, startByteUpstream(t, "d", "desk", test.response, test.keepOpen), startByteUpstream(t, "m", "model", test.response, test.keepOpen))
				c := f.dial()
				for _, last := range []bool{false, true} {
					head := callerHead(test.method, target, "HTTP/1.1", fmt.Sprint("u-", last, target[1:5]))
					c.send(head + "Content-Length: 4\r\n\r\nbody")
					_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
					res, err := http.ReadResponse(c.reader, &http.Request{Method: test.method})
					assert.NilError(t, err, "%s", target)
					body, err := io.ReadAll(res.Body)
					if status == 0 {
						assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
						break
					}
					assert.NilError(t, err, "%s", target)
					if last { // the upstream may be excluded from placement after its first failure
						break
					}
					assert.Equal(t, res.StatusCode, status, "%s: %s", target, body)
				}
			}
		})
	}
}

// Guards against counts that cannot tell a request cut by the gateway from a caller who left.
func TestCutRequestsAreCountedApart(t *testing.T) {
	hold := func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }
	f := newFixture(t, configuration(), startUpstream(t, "desk-1", "desk", "z0", hold))
	f.Grace, f.DrainDelay = 500*time.Millisecond, 0
	conf := configuration()
	conf.Version, conf.Routes[1].Timeout = 2, 10*time.Second
	f.setConfiguration(conf)
	left, cut := f.dial(), f.dial()
	left.send(callerHead("GET", "/book/x", "HTTP/1.1", "l1") + "\r\n")
	cut.send(callerHead("GET", "/book/x", "HTTP/1.1", "l2") + "\r\n")
	time.Sleep(100 * time.Millisecond)
	_ = left.conn.Close()
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, f.metrics.aborted.Value(), int64(1))
	assert.Equal(t, f.metrics.cutRequests.Value(), int64(0))
	assert.NilError(t, f.Stop(context.Background()))
	for end := time.Now().Add(time.Second); f.openRequests.Load() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, f.metrics.aborted.Value(), int64(1))
	assert.Equal(t, f.metrics.cutRequests.Value(), int64(1))
}

// Guards against a request that ends because the idle time of its connection passes while it
// runs: one that arrives together with the request before it is read from the server's buffer.
func TestPipelinedRequestOutlastsTheIdleTimeout(t *testing.T) {
	u := startUpstream(t, "desk-1", "desk", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) {
		time.Sleep(900 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	})
	conf := configuration()
	conf.Limits.IdleTimeout = 100 * time.Millisecond
	conf.Routes[1].Timeout = 5 * time.Second
	f := newFixture(t, conf, u)
	c := f.dial()
	c.send(callerHead("GET", "/book/x", "HTTP/1.1", "q1") + "\r\n" + callerHead("GET", "/book/x", "HTTP/1.1", "q2") + "\r\n")
	c.expect(200)
	c.expect(200)
}

// fragileDialect panics on requests with a certain header.
type fragileDialect struct{ *platform.Platform }

// Request implements dialect.Dialect.
func (d fragileDialect) Request(h http.Header) dialect.Request {
	if h.Get("X-Fragile") != "" {
		panic("fragile")
	}
	return d.Platform.Request(h)
}

// Guards against a request without an answer because the gateway fails unexpectedly on its header.
func TestUnexpectedFailureOnHeaderIsAnswered(t *testing.T) {
	f := newFixture(t, configuration(), startDesk(t))
	f.dialect = fragileDialect{&platform.Platform{}}
	c := f.dial()
	for range 2 {
		c.send(callerHead("POST", "/look/x", "HTTP/1.1", "x1") + "X-Fragile: 1\r\nContent-Length: 4\r\n\r\nbody")
		c.expect(500)
	}
	c.send(callerHead("POST", "/look/x", "HTTP/1.1", "x2") + "Content-Length: 4\r\n\r\nbody")
	c.expect(200)
}

// Guards against a part of a stream that looks complete to a caller of HTTP/1.0, for whom the end
// of the connection is the end of the response.
func TestBrokenStreamIsIncompleteForOldProtocol(t *testing.T) {
	u := startUpstream(t, "model-1", "model", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) {
		writeEvent(w, 0)
		time.Sleep(20 * time.Millisecond)
		abort()
	})
	conf := configuration()
	conf.Routes[0].MaxAttempts = 1
	f := newFixture(t, conf, u)
	c := f.dial()
	c.send(callerHead("POST", "/letters/x", "HTTP/1.0", "b1") + "Content-Length: 6\r\n\r\nprompt")
	res, body, err := c.receive()
	assert.Equal(t, res.StatusCode, 200)
	assert.Assert(t, err != nil, "%q looks complete", body)
}

// Guards against a success with an empty or short body after an upstream has stopped in the middle
// of its response's head, for each place at which it may stop.
func TestUpstreamStopsWithinItsHead(t *testing.T) {
	for _, framing := range []string{"Content-Length: 16\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n", "Content-Length: 0\r\n", ""} {
		t.Run(fmt.Sprintf("%q", framing), func(t *testing.T) {
			t.Parallel()
			head := "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n" + framing + "X-Last: 1\r\n\r\n"
			conf := configuration()
			conf.Routes[0].MaxAttempts = 1
			for cut := range len(head) {
				ups := []*upstream{startByteUpstream(t, "d", "desk", head[:cut], false), startByteUpstream(t, "m", "model", head[:cut], false)}
				for _, target := range []string{"/book/x", "/look/x", "/letters/x"} {
					f := newFixture(t, conf, ups...) // the upstreams get no work for a while after a failure
					res := f.do(f.request("POST", target, "body"))
					assert.Check(t, res.err != nil || res.status >= http.StatusInternalServerError, "%s: %d %q after %q", target, res.status, res.body, head[:cut])
					_ = f.Cleanup()
				}
			}
		})
	}
}

// Guards against a stream that ends as complete after it went on at an upstream that stopped in the
// middle of its response's head.
func TestResumeStopsWithinItsHead(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n"
	conf := configuration()
	conf.Routes[0].MaxAttempts = 2
	for cut := range len(head) {
		began := "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 900\r\n\r\nid: 0\ndata: x\n\n"
		first := startByteUpstream(t, "m1", "model", began, false)
		f := newFixture(t, conf, first)
		second := startByteUpstream(t, "m2", "model", head[:cut], false)
		second.State = registration.Lost // until the stream has begun at the other one
		f.announce(second.Upstream)
		second.State, second.Seq = registration.Ready, 2
		f.announce(second.Upstream)
		res := f.doStream()
		assert.Check(t, res.err != nil || res.status >= http.StatusInternalServerError, "%d %q after %q", res.status, res.body, head[:cut])
		_ = f.Cleanup()
	}
}
