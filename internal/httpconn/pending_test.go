package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against connections that are reset, with the requests on them, because a process that
// was paused or short of processor time closes its listener before it has accepted them.
func TestDrainAcceptsPendingConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := NewListener(inner, Limits{})
	var callers []net.Conn
	for range 20 {
		c, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		callers = append(callers, c)
	}
	done := make(chan error, 1)
	go func() { done <- l.Drain(t.Context(), time.Second) }()
	time.Sleep(20 * time.Millisecond)
	server := &http.Server{ConnState: l.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
	})}
	go func() { _ = server.Serve(l) }()
	for _, c := range callers {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, 200)
		_ = c.Close()
	}
	assert.NilError(t, <-done)
}

// Guards against a process that was paused and closes a connection whose header arrived in time
// but was not read before the deadline, or answers 400 to the part that it had read.
func TestHeaderThatArrivedBeforeItsDeadlineIsRead(t *testing.T) {
	l := NewListener(nil, Limits{Header: 50 * time.Millisecond})
	server, client := pair(t)
	c := &Conn{TCPConn: server.(*net.TCPConn), listener: l, phase: fresh}
	_, err := io.WriteString(client, "GET / HT")
	assert.NilError(t, err)
	p := make([]byte, 64)
	n, err := c.Read(p)
	assert.NilError(t, err)
	assert.Equal(t, string(p[:n]), "GET / HT")
	_, err = io.WriteString(client, "TP/1.1\r\n")
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond) // the bytes are in the socket before the deadline is looked at
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(-time.Second)))
	n, err = c.Read(p)
	assert.NilError(t, err)
	assert.Equal(t, string(p[:n]), "TP/1.1\r\n")
	_, err = c.Read(p) // the rest is due within the header limit
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	// The deadline of a body is kept, also with bytes that have arrived.
	c.becomeBusy()
	_, err = io.WriteString(client, "body")
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(-time.Second)))
	_, err = c.Read(p)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
