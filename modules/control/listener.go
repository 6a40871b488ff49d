package control

import (
	"net"
	"sync"
)

// trackedListener closes its connections with itself. An HTTP server forgets
// connections that net/rpc has taken over, and a peer that keeps one would go
// on asking an instance that has stopped.
type trackedListener struct {
	net.Listener
	mu     sync.Mutex
	conns  map[*trackedConn]bool
	closed bool
}

type trackedConn struct {
	net.Conn
	listener *trackedListener
}

func newTrackedListener(l net.Listener) *trackedListener {
	return &trackedListener{Listener: l, conns: map[*trackedConn]bool{}}
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &trackedConn{c, l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	l.conns[t] = true
	return t, nil
}

// closeAll closes every connection, and those still to come.
func (l *trackedListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		_ = c.Conn.Close()
	}
	clear(l.conns)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
