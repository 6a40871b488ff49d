// Package httpconn closes the connections of an HTTP server without losing a request or a
// response. http.Server.Shutdown does both: it closes connections that it takes for idle
// although a request is arriving, drops requests that it has read since, and closes
// connections with unread bytes, which resets them and can destroy the response before them.
package httpconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// lingerTime and lingerQuiet bound how long a closed connection is still read, in all
	// and without a byte, while its caller may be sending the rest of a request that has its
	// response already. A caller that pauses longer is taken for gone.
	lingerTime  = 10 * time.Second
	lingerQuiet = 2 * time.Second
	// maxLingering limits the closed connections of a listener that are still read; beyond
	// it they are closed at once.
	maxLingering = 256
	// drainPollInterval is the interval at which a draining listener looks at its connections.
	drainPollInterval = 10 * time.Millisecond
)

// Closer says who ended a connection.
type Closer string

const (
	// CloserNone stands for a connection that is open.
	CloserNone Closer = ""
	// CloserCaller stands for a caller that has closed the connection, or only its sending
	// side; the two look the same until something is sent.
	CloserCaller Closer = "caller"
	// CloserReset stands for a connection that was reset by the caller or the network.
	CloserReset Closer = "reset"
	// CloserSelf stands for a connection that this process has closed.
	CloserSelf Closer = "self"
)

// Listener is a TCP listener that follows the connections it has accepted.
type Listener struct {
	net.Listener
	closeOnce sync.Once
	mu        sync.Mutex
	open      map[*Conn]struct{}
	lingering int
}

// NewListener returns a listener that accepts the connections of l.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, open: map[*Conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := inner.(*net.TCPConn)
	if !ok {
		return inner, nil
	}
	c := &Conn{TCPConn: tcp, listener: l, idleSince: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener. It may be called more than once.
func (l *Listener) Close() (err error) {
	l.closeOnce.Do(func() { err = l.Listener.Close() })
	return err
}

// ConnState is the hook of http.Server that tells which connections are idle.
func (l *Listener) ConnState(inner net.Conn, s http.ConnState) {
	c := unwrap(inner)
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince = (time.Time{}); s == http.StateNew || s == http.StateIdle {
		c.idleSince = time.Now()
	}
}

// Drain closes the listener and waits until no connection is open or ctx ends. The server
// goes on serving its connections, and its responses have to ask callers to close them.
// Connections that have been idle for maxIdle are closed unless bytes are waiting on them.
func (l *Listener) Drain(ctx context.Context, maxIdle time.Duration) error {
	_ = l.Close()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for l.closeIdle(time.Now().Add(-maxIdle)) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// closeIdle closes the connections that have been idle since before the given time, and
// returns the number of those that were open.
func (l *Listener) closeIdle(before time.Time) int {
	l.mu.Lock()
	open := make([]*Conn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		if c.isIdleSince(before) && !c.hasUnreadBytes() {
			_ = c.Close()
		}
	}
	return len(open)
}

// startLinger reports whether one more closed connection may still be read.
func (l *Listener) startLinger() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lingering >= maxLingering {
		return false
	}
	l.lingering++
	return true
}

// remove forgets a connection.
func (l *Listener) remove(c *Conn, lingered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	if lingered {
		l.lingering--
	}
}

// Conn is a connection that a Listener has accepted.
type Conn struct {
	*net.TCPConn
	listener *Listener
	mu       sync.Mutex
	closed   bool
	closer   Closer
	// idleSince is zero while a request is read or served.
	idleSince time.Time
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.idleSince = time.Time{}
	}
	switch {
	case err == nil || c.closer != CloserNone || errors.Is(err, os.ErrDeadlineExceeded):
	case errors.Is(err, io.EOF):
		c.closer = CloserCaller
	default:
		c.closer = CloserReset
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed { // the deadline is that of linger
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close implements net.Conn. It ends the sending side and reads, in the background, what the
// caller still sends, since closing a connection with unread bytes resets it.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	callerClosed := c.closer != CloserNone
	if !callerClosed {
		c.closer = CloserSelf
	}
	c.mu.Unlock()
	if callerClosed || c.TCPConn.CloseWrite() != nil || !c.listener.startLinger() {
		c.listener.remove(c, false)
		return c.TCPConn.Close()
	}
	_ = c.TCPConn.SetReadDeadline(time.Now()) // ends a read of the server
	go c.linger()
	return nil
}

// linger reads and drops bytes until the caller closes the connection or a limit is reached.
func (c *Conn) linger() {
	defer c.listener.remove(c, true)
	defer c.TCPConn.Close()
	buf := make([]byte, 4096)
	_, _ = c.TCPConn.Read(buf) // the deadline has passed: waits only for a read of the server to end
	for end := time.Now().Add(lingerTime); time.Now().Before(end); {
		if c.TCPConn.SetReadDeadline(time.Now().Add(lingerQuiet)) != nil {
			return
		}
		if _, err := c.TCPConn.Read(buf); err != nil {
			return
		}
	}
}

// Closer says who ended the connection, or CloserNone while it is open.
func (c *Conn) Closer() Closer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closer
}

func (c *Conn) isIdleSince(before time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && !c.idleSince.IsZero() && c.idleSince.Before(before)
}

// hasUnreadBytes reports whether bytes of the caller have arrived that were not read.
func (c *Conn) hasUnreadBytes() bool {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	// Control does not wait for the server's pending read, as Read would.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// unwrap returns the Conn below a TLS connection, or nil if there is none.
func unwrap(inner net.Conn) *Conn {
	if t, ok := inner.(interface{ NetConn() net.Conn }); ok {
		inner = t.NetConn()
	}
	c, _ := inner.(*Conn)
	return c
}

type contextKey struct{}

// ConnContext is the hook of http.Server that makes CloserOf work.
func ConnContext(ctx context.Context, inner net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, unwrap(inner))
}

// CloserOf says who ended the connection of the request with the given context.
func CloserOf(ctx context.Context) Closer {
	if c, ok := ctx.Value(contextKey{}).(*Conn); ok && c != nil {
		return c.Closer()
	}
	return CloserNone
}
