package control

import (
	"net"
	"sync"
)

// trackedListener can close all of its connections. An HTTP server does not
// track connections that net/rpc has hijacked, and a peer that keeps one would
// go on calling an instance that has stopped.
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

// closeAll closes all connections, and any that are accepted later.
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
