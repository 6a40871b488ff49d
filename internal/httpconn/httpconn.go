// Package httpconn ends the connections of an HTTP server without losing a request or a
// response. net/http reports a connection as idle until it has read the whole header of the
// next request, so whoever closes idle connections from outside, as http.Server.Shutdown
// does, can close one on which a request is arriving or has arrived. Here an idle connection
// is closed only by the goroutine that reads it, once that has found no byte of a further
// request. Shutdown also drops requests that it has read, and a connection that is closed
// with unread bytes is reset, which can destroy the response before them: see Conn.Close.
package httpconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// idleGrace is added to the idle limit, which callers count from the arrival of the
	// last response to the departure of their next request. It covers the way of both.
	idleGrace = 500 * time.Millisecond
	// maxLingering limits the closed connections of a listener that are still read; beyond
	// it they are closed at once.
	maxLingering = 256
	// drainPollInterval is the interval at which a draining listener looks at its connections.
	drainPollInterval = 10 * time.Millisecond
	// acceptTime limits how long a draining listener waits for its server to accept the
	// connections that the kernel has accepted, and acceptPollInterval is the interval at
	// which it looks. A server that has processor time takes well under a millisecond.
	acceptTime         = 500 * time.Millisecond
	acceptPollInterval = time.Millisecond
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

// Limits bounds how long a connection may wait for the bytes of a request.
type Limits struct {
	// Idle returns how long a caller may leave a connection idle, zero for no limit. A
	// shorter limit applies to a connection from its next request on, since its caller counts on
	// the limit that was in force when it got its last response; a longer one applies at once.
	Idle func() time.Duration
	// Header is how long the header of a request may take from its first byte on, zero for
	// no limit.
	Header time.Duration
	// HeaderLines is the number of lines that the header of a request may have, zero for no
	// limit. Above TLS it has no meaning, since the connection carries encrypted bytes.
	HeaderLines int
}

// MaxHeaderLines is the limit for the header lines of callers. net/http limits only the bytes
// of a header, and a parsed field takes a hundred bytes and more, however short its line is.
const MaxHeaderLines = 256

var errHeaderLines = errors.New("the header of a request has too many lines")

// FixedIdle returns an idle limit that does not change.
func FixedIdle(limit time.Duration) func() time.Duration {
	return func() time.Duration { return limit }
}

// Listener is a TCP listener that follows the connections it has accepted. Its server needs
// the hooks ConnState and ConnContext. Limits takes the place of its IdleTimeout.
type Listener struct {
	net.Listener
	limits    Limits
	idleGrace time.Duration
	closeOnce sync.Once
	// acceptEnded is closed once the server has been told that the listener is closed, and
	// so has got every connection before.
	acceptEnded     chan struct{}
	acceptEndedOnce sync.Once
	// drainIdle is how long a connection may be idle while the listener drains, in
	// nanoseconds; it is negative before.
	drainIdle atomic.Int64
	mu        sync.Mutex
	open      map[*Conn]struct{}
	lingering int
}

// NewListener returns a listener that accepts the connections of l.
func NewListener(l net.Listener, limits Limits) *Listener {
	if limits.Idle == nil {
		limits.Idle = func() time.Duration { return 0 }
	}
	wrapped := &Listener{Listener: l, limits: limits, idleGrace: idleGrace, open: map[*Conn]struct{}{}, acceptEnded: make(chan struct{})}
	wrapped.drainIdle.Store(-1)
	return wrapped
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		l.acceptEndedOnce.Do(func() { close(l.acceptEnded) })
	}
	if err != nil {
		return nil, err
	}
	tcp, ok := inner.(*net.TCPConn)
	if !ok {
		return inner, nil
	}
	c := &Conn{TCPConn: tcp, listener: l, phase: fresh, idleSince: time.Now()}
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

// ConnState is the hook of http.Server that tells in which phase a connection is.
func (l *Listener) ConnState(inner net.Conn, s http.ConnState) {
	c := unwrap(inner)
	switch {
	case c == nil:
	case s == http.StateActive:
		c.becomeBusy()
	case s == http.StateIdle:
		c.becomeIdle()
	case s == http.StateHijacked: // no longer a connection of the server
		l.remove(c, false)
	}
}

// Drain closes the listener and waits until no connection is open or ctx ends. The server
// goes on serving its connections, and its responses have to ask callers to close them.
// Connections that have been idle for maxIdle are closed, also those that have not received a byte.
func (l *Listener) Drain(ctx context.Context, maxIdle time.Duration) error {
	l.stopAccepting(ctx)
	l.drainIdle.Store(int64(maxIdle))
	l.mu.Lock()
	for c := range l.open {
		c.updateIdleDeadline()
	}
	l.mu.Unlock()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for l.openCount() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// stopAccepting closes the listener once the server has accepted the connections that are
// pending in the kernel. Closing the listener resets them, with the requests that have arrived
// on them; there can be many when the process was paused.
func (l *Listener) stopAccepting(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	for l.hasPending() && ctx.Err() == nil {
		time.Sleep(acceptPollInterval)
	}
	_ = l.Close()
	select {
	case <-l.acceptEnded:
	case <-ctx.Done():
	}
}

// hasPending reports whether the kernel holds connections that the server has not accepted.
func (l *Listener) hasPending() bool {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var set syscall.FdSet
		word, bits := int(fd)/64, len(set.Bits)
		if word >= bits {
			return // beyond what select can ask for; listeners have low numbers
		}
		set.Bits[word] |= 1 << (fd % 64)
		n, _ = syscall.Select(int(fd)+1, &set, nil, nil, &syscall.Timeval{}) // an error counts as none
	})
	return err == nil && n > 0
}

// isDraining reports whether Drain was called.
func (l *Listener) isDraining() bool { return l.drainIdle.Load() >= 0 }

func (l *Listener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
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

// ResetAtClose makes the end of the connection of the request with the given context a reset
// instead of a regular end, which a caller of HTTP/1.0 takes for the end of the response.
func ResetAtClose(ctx context.Context) {
	if c, ok := ctx.Value(contextKey{}).(*Conn); ok && c != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.resetAtClose = true
	}
}

// CloserOf says who ended the connection of the request with the given context.
func CloserOf(ctx context.Context) Closer {
	if c, ok := ctx.Value(contextKey{}).(*Conn); ok && c != nil {
		return c.Closer()
	}
	return CloserNone
}
