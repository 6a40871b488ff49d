package httpconn

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against the idle limit and a stop that cut off a request whose first bytes arrived with
// the request before it.
func TestPartOfPipelinedRequestIsNotIdle(t *testing.T) {
	const rest = 200 * time.Millisecond
	for name, limit := range map[string]time.Duration{"idle limit": 50 * time.Millisecond, "stop": time.Minute} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, limit, 0)
			c := s.dial(t)
			_, err := io.WriteString(c, "GET /?id=a HTTP/1.1\r\nHost: h\r\n\r\nGET /?id=b HTTP/1.1\r\n")
			assert.NilError(t, err)
			_, err = c.response()
			assert.NilError(t, err)
			if name == "stop" {
				go func() { _ = s.listener.Drain(t.Context(), rest/2) }()
			}
			time.Sleep(rest)
			_, err = io.WriteString(c, "Host: h\r\n\r\n")
			assert.NilError(t, err)
			res, err := c.response()
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, http.StatusOK)
		})
	}
}

// Guards against a caller that holds a connection beyond the header limit with a part of a
// pipelined request.
func TestPartOfPipelinedRequestIsDueWithinTheHeaderLimit(t *testing.T) {
	s := startServer(t, time.Minute, 0)
	c := s.dial(t)
	_, err := io.WriteString(c, "GET /?id=a HTTP/1.1\r\nHost: h\r\n\r\nGET /?id=b HTTP/1.1\r\n")
	assert.NilError(t, err)
	_, err = c.response()
	assert.NilError(t, err)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second)) // the header limit is 1 s
	_, err = c.r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against a process that was paused beyond the header limit and drops a request whose
// rest arrived meanwhile, and against a caller that extends that limit byte by byte.
func TestHeaderThatArrivedBeforeTheDeadlineIsRead(t *testing.T) {
	for name, before := range map[string]phase{"first request": fresh, "next request": idle} {
		t.Run(name, func(t *testing.T) {
			l := NewListener(nil, Limits{Idle: FixedIdle(time.Minute), Header: 20 * time.Millisecond})
			server, client := pair(t)
			c := &Conn{TCPConn: server.(*net.TCPConn), listener: l, phase: before, idleSince: time.Now()}
			p := make([]byte, 4)
			_, err := io.WriteString(client, "GET ")
			assert.NilError(t, err)
			_, err = io.ReadFull(c, p)
			assert.NilError(t, err)
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
			_, err = io.WriteString(client, "/ HTTP/1")
			assert.NilError(t, err)
			time.Sleep(60 * time.Millisecond) // the rest is in the socket and the deadline has passed
			for _, want := range []string{"/ HT", "TP/1"} {
				_, err = io.ReadFull(c, p)
				assert.NilError(t, err)
				assert.Equal(t, string(p), want)
			}
			_, err = c.Read(p)
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		})
	}
}

// Guards against a pipelined request over TLS that is taken for idle because the TLS connection
// holds its first bytes.
func TestPartOfPipelinedRequestOverTLS(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := NewListener(inner, Limits{Idle: FixedIdle(50 * time.Millisecond), Header: time.Second})
	l.idleGrace = 0
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond) // the next bytes arrive while the server watches the connection
		_, _ = io.WriteString(w, "ok")
	}))
	_ = s.Listener.Close()
	s.Listener, s.Config.ConnState, s.Config.ReadHeaderTimeout = l, l.ConnState, time.Second
	s.StartTLS()
	defer s.Close()
	conn, err := tls.Dial("tcp", inner.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	assert.NilError(t, err)
	defer conn.Close()
	c := &caller{conn, bufio.NewReader(conn)}
	for _, piece := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\n"} {
		_, err = io.WriteString(c, piece)
		assert.NilError(t, err)
		time.Sleep(10 * time.Millisecond)
	}
	_, err = c.response()
	assert.NilError(t, err)
	time.Sleep(200 * time.Millisecond)
	_, err = io.WriteString(c, "Host: h\r\n\r\n")
	assert.NilError(t, err)
	_, err = c.response()
	assert.NilError(t, err)
}
