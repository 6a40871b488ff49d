// Package httpserver runs an http.Server for callers that keep their connections open.
// http.Server reports a connection as idle until it has read the header of the next
// request, so whoever closes idle connections from outside, as its Shutdown does, can close
// one on which a request is arriving or has arrived. A Server of this package closes an idle
// connection only from the goroutine that reads it, once that has found no byte of a
// further request.
package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// idleGrace is added to the idle limit, which callers count from the arrival of the last
// response to the departure of their next request. It covers the way of both.
const idleGrace = 500 * time.Millisecond

// Server is an http.Server that loses no request when it closes idle connections.
type Server struct {
	http      *http.Server
	idleLimit func() time.Duration
	idleGrace time.Duration
	stopping  atomic.Bool

	mu          sync.Mutex
	listeners   []net.Listener
	connections map[*connection]struct{}
	// drained is closed once the server is stopping and has no connection left.
	drained     chan struct{}
	drainedOnce sync.Once
}

// New returns a server that runs server, whose fields ConnState, ConnContext and Handler
// it takes over. idleLimit returns how long a caller may leave a connection idle, zero for
// no limit. A shorter limit applies to a connection from its next request on, since its caller
// counts on the limit that was in force when it got its last response; a longer one applies at once.
func New(server *http.Server, idleLimit func() time.Duration) *Server {
	s := &Server{http: server, idleLimit: idleLimit, idleGrace: idleGrace, connections: map[*connection]struct{}{}, drained: make(chan struct{})}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
			c.noteIdleLimit()
		}
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			unwrap(c).becomeIdle()
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, unwrap(c))
	}
	return s
}

// connectionKey is the key of a request's *connection in its context.
type connectionKey struct{}

// ClosedByServer reports whether this process has closed the connection of a request. If
// not, a request whose context has ended was given up by its caller.
func ClosedByServer(ctx context.Context) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	return ok && c.closed.Load()
}

// unwrap returns the connection below TLS.
func unwrap(c net.Conn) *connection {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	return c.(*connection)
}

// Serve serves the connections of a listener and returns http.ErrServerClosed after
// Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	return s.ServeWrapped(l, func(l net.Listener) net.Listener { return l })
}

// ServeWrapped is Serve for a listener that is wrapped by another, such as one of TLS.
func (s *Server) ServeWrapped(l net.Listener, wrap func(net.Listener) net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	if s.stopping.Load() {
		_ = l.Close() // Shutdown may have run before the listener was added
	}
	err := s.http.Serve(wrap(&listener{Listener: l, server: s}))
	if s.stopping.Load() {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown closes the listeners and the idle connections, makes each further response the
// last one on its connection, and waits until all connections are closed. It returns the
// error of ctx if that ends first; connections are then still open.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	s.mu.Lock()
	for _, l := range s.listeners {
		_ = l.Close() // its error would be that it is closed already
	}
	for c := range s.connections {
		c.stopWaiting()
	}
	s.checkDrained()
	s.mu.Unlock()
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes all listeners and connections at once.
func (s *Server) Close() error {
	s.stopping.Store(true)
	return s.http.Close()
}

func (s *Server) add(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[c] = struct{}{}
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
	s.checkDrained()
}

// checkDrained closes drained if no connection is left. The caller holds mu.
func (s *Server) checkDrained() {
	if s.stopping.Load() && len(s.connections) == 0 {
		s.drainedOnce.Do(func() { close(s.drained) })
	}
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
}

func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: conn, server: l.server}
	l.server.add(c)
	return c, nil
}
