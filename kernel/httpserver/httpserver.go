// Package httpserver tells a request whose connection this process has closed from one
// that its caller has given up.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Prepare sets the ConnContext of a server, and returns the listener to serve.
func Prepare(server *http.Server, l net.Listener) net.Listener {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	return &listener{l}
}

// connectionKey is the key of a request's *connection in its context.
type connectionKey struct{}

// ClosedByServer reports whether this process has closed the connection of a request. If
// not, a request whose context has ended was given up by its caller.
func ClosedByServer(ctx context.Context) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	return ok && c.closed.Load()
}

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn}, nil
}

// connection is a caller's connection.
type connection struct {
	net.Conn
	// closed is set once this process has closed the connection.
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// CloseWrite closes the sending side, so that a caller which still sends a body reads the
// response before the connection is reset.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
