package httpconn

import (
	"bytes"
	"io"
	"math"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// lingerTime and lingerQuiet bound how long a closed connection is still read, in all and
// without a byte, while its caller may be sending the rest of a request that has its response
// already. A caller that pauses longer is taken for gone.
const (
	lingerTime  = 10 * time.Second
	lingerQuiet = 2 * time.Second
)

// longPast is a deadline that has passed.
var longPast = time.Unix(1, 0)

// phase is what a connection waits for.
type phase uint8

const (
	// fresh connections have not received the first byte of their first request.
	fresh phase = iota
	// inHeader connections have received at least one byte of a request, but not its header.
	inHeader
	// busy connections have received the header of a request that is not answered yet.
	busy
	// idle connections have sent a response and not received the first byte of the next
	// request.
	idle
)

// Conn is a connection that a Listener has accepted.
type Conn struct {
	*net.TCPConn
	listener *Listener

	mu     sync.Mutex
	closed bool
	// resetAtClose is set if Close resets the connection.
	resetAtClose bool
	closer       Closer
	phase        phase
	// idleSince is the start of the idle time, at first that of the connection, and
	// idleLimit the limit in force when the last request was read.
	idleSince time.Time
	idleLimit time.Duration
	// waiting is set while Read waits for the first byte of a request.
	waiting bool
	// idleDeadlineSet is set once the server has set its read deadline for the idle time.
	idleDeadlineSet bool
	// headerLines is the number of lines that were read for the header of the request.
	headerLines int
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if c.exceedsHeaderLines() {
		return 0, errHeaderLines
	}
	n, err := c.read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if c.phase == inHeader {
		c.headerLines += bytes.Count(b[:n], []byte{'\n'})
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

// exceedsHeaderLines reports whether a header that needs more bytes has too many lines
// already. The bytes behind a complete header may contain any number of lines.
func (c *Conn) exceedsHeaderLines() bool {
	limit := c.listener.limits.HeaderLines
	c.mu.Lock()
	defer c.mu.Unlock()
	return limit > 0 && c.phase == inHeader && c.headerLines > limit
}

// read reads from the connection. While the connection waits for a request, the idle limit
// takes the place of the read deadline. A deadline that has passed before the header is
// complete ends the connection only if no byte has arrived until now: a busy process may read
// late what was sent in time.
func (c *Conn) read(b []byte) (int, error) {
	if !c.startWaiting() {
		n, err := c.TCPConn.Read(b)
		if errors.Is(err, os.ErrDeadlineExceeded) && c.readsHeader() {
			n, err = c.readArrived(b, err)
			_ = c.setReadDeadline(longPast) // an error shows at the next read
		}
		return n, err
	}
	for {
		n, err := c.TCPConn.Read(b)
		expired := errors.Is(err, os.ErrDeadlineExceeded)
		if expired && c.extendIdleTime() {
			continue
		}
		if expired {
			n, err = c.readArrived(b, err)
		}
		c.endWaiting(n > 0, expired)
		return n, err
	}
}

// startWaiting reports whether the next byte is the first one of a request, and sets the
// deadline of an idle connection.
func (c *Conn) startWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == inHeader || c.phase == busy || c.closed {
		return false
	}
	c.waiting = true
	if c.phase == idle || c.listener.isDraining() {
		_ = c.TCPConn.SetReadDeadline(c.idleDeadline()) // an error shows at the next read
	}
	return true
}

// extendIdleTime reports whether an idle connection may stay open after its deadline, since
// the limit has been raised, and sets its new deadline.
func (c *Conn) extendIdleTime() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != idle || c.closed {
		return false
	}
	deadline := c.idleDeadline()
	if !deadline.IsZero() && !deadline.After(time.Now()) {
		return false
	}
	_ = c.TCPConn.SetReadDeadline(deadline) // an error shows at the next read
	return true
}

// readsHeader reports whether the header of a request is being read.
func (c *Conn) readsHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == inHeader && !c.closed
}

// endWaiting records whether the first byte of a request has arrived. The rest of its
// header is due within the header limit.
func (c *Conn) endWaiting(arrived, expired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if !arrived || c.closed {
		return
	}
	if c.phase == idle || expired || c.listener.isDraining() {
		_ = c.TCPConn.SetReadDeadline(deadlineAfter(c.listener.limits.Header)) // an error shows at the next read
	}
	c.phase = inHeader
}

// becomeBusy ends the idle time, also for a request that was read from the server's buffer,
// with the one before it. It records the limit for the idle time after the request, which may
// change before the response has arrived.
func (c *Conn) becomeBusy() {
	limit := c.listener.limits.Idle()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.idleLimit, c.headerLines = busy, limit, 0
}

// becomeIdle starts the idle time after a response.
func (c *Conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.idleSince, c.idleDeadlineSet = idle, time.Now(), false
}

// updateIdleDeadline sets the deadline of a connection that waits for a request at a drain.
func (c *Conn) updateIdleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && !c.closed {
		_ = c.TCPConn.SetReadDeadline(c.idleDeadline()) // an error shows at the next read
	}
}

// idleDeadline returns the end of the idle time, zero for none. The caller holds mu.
func (c *Conn) idleDeadline() time.Time {
	if draining := c.listener.drainIdle.Load(); draining >= 0 {
		return c.idleSince.Add(time.Duration(draining))
	}
	current := c.listener.limits.Idle()
	limit := max(c.idleLimit, current)
	if current <= 0 || limit > math.MaxInt64-c.listener.idleGrace {
		return time.Time{}
	}
	return c.idleSince.Add(limit + c.listener.idleGrace)
}

// readArrived reads the bytes that have arrived and does not wait for any. It returns
// deadlineErr if there are none.
func (c *Conn) readArrived(b []byte, deadlineErr error) (int, error) {
	if err := c.setReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	err = raw.Read(func(fd uintptr) bool {
		n, _ = syscall.Read(int(fd), b) // an error means that nothing has arrived
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

// SetReadDeadline implements net.Conn. net/http sets one deadline when it begins to wait for
// the next request, and the next one once it has the first bytes of that, which may have
// arrived with the request before.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	if c.phase == idle && c.idleDeadlineSet {
		c.phase = inHeader
	}
	c.idleDeadlineSet = true
	c.mu.Unlock()
	return c.setReadDeadline(t)
}

// setReadDeadline sets the read deadline of an open connection.
func (c *Conn) setReadDeadline(t time.Time) error {
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
	reset := c.resetAtClose
	c.mu.Unlock()
	if reset {
		_ = c.TCPConn.SetLinger(0) // an error means that the connection has ended already
		c.listener.remove(c, false)
		return c.TCPConn.Close()
	}
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

// deadlineAfter returns the deadline after a limit, none if the limit is zero.
func deadlineAfter(limit time.Duration) time.Time {
	if limit <= 0 {
		return time.Time{}
	}
	return time.Now().Add(limit)
}
