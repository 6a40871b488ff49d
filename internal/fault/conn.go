package fault

import (
	"net"
	"os"
	"sync"

	"github.com/go-faster/errors"
)

// gate blocks its waiters while it is closed. The zero value is open.
type gate struct {
	mu sync.Mutex
	ch chan struct{}
}

var closedChannel = func() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}()

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ch == nil {
		g.ch = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ch != nil {
		close(g.ch)
		g.ch = nil
	}
}

// opened returns a channel that is closed while the gate is open.
func (g *gate) opened() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ch == nil {
		return closedChannel
	}
	return g.ch
}

type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, server: l.server, closed: make(chan struct{})}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	if l.server.dead {
		_ = raw.Close()
	}
	l.server.conns[c] = struct{}{}
	return c, nil
}

// conn is a connection whose writes can be blocked.
type conn struct {
	net.Conn
	server      *Server
	silenceGate gate
	once        sync.Once
	closed      chan struct{}
}

// Read implements net.Conn. A read error also ends a blocked write, since
// net/http closes a connection only after its handler has returned.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.once.Do(func() { close(c.closed) })
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	for _, g := range []*gate{&c.silenceGate, &c.server.pauseGate} {
		select {
		case <-g.opened():
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection with a TCP RST.
func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // if this fails, the connection closes with a FIN
	}
	_ = c.Close()
}
