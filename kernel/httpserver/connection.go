package httpserver

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// phase is what a connection waits for.
type phase uint8

const (
	// fresh connections have not received the first byte of their first request.
	fresh phase = iota
	// busy connections have received at least one byte of a request that is not answered yet.
	busy
	// idle connections have sent a response and not received the first byte of the next
	// request.
	idle
)

// connection is a caller's connection. Only the goroutine that reads it ends its idle time.
type connection struct {
	net.Conn
	server *Server
	// closed is set once this process has closed the connection.
	closed atomic.Bool

	mu    sync.Mutex
	phase phase
	// idleSince is the start of the idle time, and idleLimit the limit in force when the
	// last request was handled.
	idleSince time.Time
	idleLimit time.Duration
	// waiting is set while Read waits for the first byte of a request.
	waiting bool
}

// Read implements net.Conn. While the connection waits for a request, the idle limit takes
// the place of the read deadline. A deadline that has passed ends the connection only if no
// byte has arrived until now: a busy process may read late what was sent in time.
func (c *connection) Read(p []byte) (int, error) {
	if !c.startWaiting() {
		return c.Conn.Read(p)
	}
	for {
		n, err := c.Conn.Read(p)
		expired := errors.Is(err, os.ErrDeadlineExceeded)
		if expired && c.extendIdleTime() {
			continue
		}
		if expired {
			n, err = c.readArrived(p, err)
		}
		c.endWaiting(n > 0, expired)
		return n, err
	}
}

// startWaiting reports whether the next byte is the first one of a request, and sets the
// deadline of an idle connection.
func (c *connection) startWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == busy {
		return false
	}
	c.waiting = true
	if c.phase == idle {
		c.setIdleDeadline()
	}
	return true
}

// extendIdleTime reports whether an idle connection may stay open after its deadline, since
// the limit has been raised, and sets its new deadline.
func (c *connection) extendIdleTime() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != idle || c.server.stopping.Load() {
		return false
	}
	deadline := c.idleDeadline()
	if !deadline.IsZero() && !deadline.After(time.Now()) {
		return false
	}
	c.setIdleDeadline()
	return true
}

// endWaiting records whether the first byte of a request has arrived. The rest of its
// header is due within the header timeout.
func (c *connection) endWaiting(arrived, expired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if !arrived {
		return
	}
	if c.phase == idle || expired {
		_ = c.SetReadDeadline(deadlineAfter(c.server.http.ReadHeaderTimeout)) // an error shows at the next Read
	}
	c.phase = busy
}

// noteIdleLimit records the limit for the idle time after the current request. The limit
// may change before the response has arrived.
func (c *connection) noteIdleLimit() {
	limit := c.server.idleLimit()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleLimit = limit
}

// becomeIdle starts the idle time after a response.
func (c *connection) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.idleSince = idle, time.Now()
}

// stopWaiting ends the wait of an idle connection for its next request.
func (c *connection) stopWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle && c.waiting {
		c.setIdleDeadline()
	}
}

// setIdleDeadline sets the read deadline to the end of the idle time; an error shows at the
// next Read. The caller holds mu.
func (c *connection) setIdleDeadline() {
	if c.server.stopping.Load() {
		_ = c.SetReadDeadline(time.Now())
		return
	}
	_ = c.SetReadDeadline(c.idleDeadline())
}

// idleDeadline returns the end of the idle time, zero for none. The caller holds mu.
func (c *connection) idleDeadline() time.Time {
	limit := max(c.idleLimit, c.server.idleLimit())
	if limit <= 0 {
		return time.Time{}
	}
	return c.idleSince.Add(limit + c.server.idleGrace)
}

// readArrived reads the bytes that have arrived and does not wait for any. It returns
// deadlineErr if there are none.
func (c *connection) readArrived(p []byte, deadlineErr error) (int, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, deadlineErr
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	err = raw.Read(func(fd uintptr) bool {
		n, _ = syscall.Read(int(fd), p) // an error means that nothing has arrived
		return true
	})
	if n > 0 {
		return n, nil
	}
	if err == nil {
		err = deadlineErr
	}
	return 0, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.closed.Store(true)
	err := c.Conn.Close()
	c.server.remove(c)
	return err
}

// CloseWrite closes the sending side, so that a caller which still sends a body reads the
// response before the connection is reset.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// deadlineAfter returns the deadline after a timeout, none if the timeout is zero.
func deadlineAfter(timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}
