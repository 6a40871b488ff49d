package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
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
