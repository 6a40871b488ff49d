package httpconn

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testServer is a running server that notes the requests it runs.
type testServer struct {
	listener *Listener
	http     *http.Server
	addr     string
	limit    atomic.Int64 // idle limit in nanoseconds
	mu       sync.Mutex
	ran      map[string]bool
	slow     chan struct{} // requests to /slow wait for it
}

func startServer(t *testing.T, limit, grace time.Duration) *testServer {
	t.Helper()
	s := &testServer{ran: map[string]bool{}, slow: make(chan struct{})}
	s.limit.Store(int64(limit))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.addr = l.Addr().String()
	s.listener = NewListener(l, Limits{Idle: func() time.Duration { return time.Duration(s.limit.Load()) }, Header: time.Second})
	s.listener.idleGrace = grace
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: time.Second, ConnState: s.listener.ConnState}
	go func() { _ = s.http.Serve(s.listener) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s
}

func (s *testServer) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.ran[r.URL.Query().Get("id")] = true
	s.mu.Unlock()
	if r.URL.Path == "/slow" {
		<-s.slow
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, "ok")
}

// caller is one connection to a server.
type caller struct {
	net.Conn
	r *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &caller{c, bufio.NewReader(c)}
}

// do sends a request and reads the whole response.
func (c *caller) do(target string) (*http.Response, error) {
	if _, err := io.WriteString(c, "GET "+target+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return nil, err
	}
	return c.response()
}

func (c *caller) response() (*http.Response, error) {
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res, err
}

// Guards against a request that runs although its connection is closed as idle at the same
// moment. Requests that arrive after the close may go unanswered, but must not run.
func TestConnectionClosedAsIdleRunsNoRequest(t *testing.T) {
	const callers, seed, limit = 64, 28, 5 * time.Millisecond
	s := startServer(t, limit, 0)
	var unanswered sync.Map
	var answered, closed atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(2 * time.Second)
	for i := range callers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for n := 0; time.Now().Before(end); {
				conn, err := net.Dial("tcp", s.addr)
				if err != nil {
					return
				}
				for c := (&caller{conn, bufio.NewReader(conn)}); ; {
					id := strconv.Itoa(i) + "-" + strconv.Itoa(n)
					n++
					if _, err := c.do("/?id=" + id); err != nil {
						unanswered.Store(id, true)
						closed.Add(1)
						break
					}
					answered.Add(1)
					time.Sleep(limit - time.Millisecond + time.Duration(rng.Int64N(int64(2*time.Millisecond))))
				}
				_ = conn.Close()
			}
		})
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := 0
	unanswered.Range(func(id, _ any) bool {
		if s.ran[id.(string)] {
			lost++
		}
		return true
	})
	t.Logf("%d answered, %d connections closed first", answered.Load(), closed.Load())
	assert.Assert(t, closed.Load() > 0)
	assert.Equal(t, lost, 0)
}

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (server, client net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	server, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = server.Close(), client.Close() })
	return server, client
}

// Guards against a busy process that closes a connection whose next request arrived in
// time but was not read before the deadline, and against a wait without end if none came.
func TestRequestThatArrivedBeforeTheDeadlineIsRead(t *testing.T) {
	for name, draining := range map[string]time.Duration{"idle limit": -1, "stop": 0} {
		t.Run(name, func(t *testing.T) {
			l := NewListener(nil, Limits{Idle: func() time.Duration { return time.Millisecond }, Header: time.Second})
			l.drainIdle.Store(int64(draining))
			server, client := pair(t)
			c := &Conn{TCPConn: server.(*net.TCPConn), listener: l, phase: idle, idleSince: time.Now().Add(-time.Minute)}
			_, err := c.Read(make([]byte, 8))
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
			_, err = io.WriteString(client, "GET")
			assert.NilError(t, err)
			time.Sleep(20 * time.Millisecond) // the bytes are in the socket before the deadline is looked at
			p := make([]byte, 8)
			n, err := c.Read(p)
			assert.NilError(t, err)
			assert.Equal(t, string(p[:n]), "GET")
			go func() { _, _ = io.WriteString(client, " /") }()
			n, err = c.Read(p) // the rest is due within the header timeout
			assert.NilError(t, err)
			assert.Equal(t, string(p[:n]), " /")
		})
	}
}

// Guards against callers who are cut off because the limit changes while they are idle:
// they may know the old limit or the new one.
func TestChangedIdleLimit(t *testing.T) {
	for name, limits := range map[string][2]time.Duration{"shorter": {time.Minute, 20 * time.Millisecond}, "longer": {20 * time.Millisecond, time.Minute}} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, limits[0], 10*time.Millisecond)
			c := s.dial(t)
			_, err := c.do("/")
			assert.NilError(t, err)
			s.limit.Store(int64(limits[1]))
			time.Sleep(100 * time.Millisecond)
			_, err = c.do("/")
			assert.NilError(t, err)
		})
	}
}

// Guards against a drain that waits for idle connections, cuts off a running request, or
// does not end with the last connection.
func TestDrain(t *testing.T) {
	s := startServer(t, 0, 0)
	idleCaller, busyCaller := s.dial(t), s.dial(t)
	for _, c := range []*caller{idleCaller, busyCaller} {
		_, err := c.do("/")
		assert.NilError(t, err)
	}
	_, err := io.WriteString(busyCaller, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, s.listener.Drain(short, 0), context.DeadlineExceeded)
	_, err = idleCaller.r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	done := make(chan error, 1)
	go func() { done <- s.listener.Drain(t.Context(), 0) }()
	close(s.slow)
	_, err = busyCaller.response()
	assert.NilError(t, err)
	_, err = busyCaller.r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	_, _ = idleCaller.Close(), busyCaller.Close() // a closed connection is read until its caller has closed it
	assert.NilError(t, <-done)
	_, err = net.Dial("tcp", s.addr)
	assert.Assert(t, err != nil)
}

// Guards against a drain that waits for the header limit of a connection on which nothing has
// arrived, and against one that cuts off a first request.
func TestDrainEndsConnectionsWithoutAByte(t *testing.T) {
	s := startServer(t, 0, 0) // the header limit is 1 s
	silent, begun := s.dial(t), s.dial(t)
	_, err := io.WriteString(begun, "GET /slow ")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- s.listener.Drain(t.Context(), 100*time.Millisecond) }()
	_ = silent.SetReadDeadline(time.Now().Add(800 * time.Millisecond))
	_, err = silent.r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	close(s.slow)
	_, err = io.WriteString(begun, "HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	_, err = begun.response()
	assert.NilError(t, err)
	_, _ = silent.Close(), begun.Close()
	assert.NilError(t, <-done)
}
