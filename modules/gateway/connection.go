package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/internal/response"
	"heatherway.dev/kernel/buffers"
)

const (
	// dialTimeout limits the time to open a connection to an upstream. It is twenty
	// round trips between availability zones and less than half of the latency
	// objective of plain requests.
	dialTimeout = 40 * time.Millisecond
	// checkTimeout limits the connection attempt that checks a silent upstream. It is
	// longer than dialTimeout, since a stream leaves its upstream when the check fails.
	checkTimeout = 90 * time.Millisecond
	// stallTolerance is how late the timeout of a dial may fire. If it fires later, the
	// process itself was stalled, since timers are otherwise late by a few milliseconds
	// at most. A dial that timed out during a stall says nothing about the upstream and
	// is repeated once.
	stallTolerance = 10 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the upstream sends
	// no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout is the upper limit for keeping an idle connection.
	maxIdleTimeout = 30 * time.Second
	// atMostOnceIdleTimeout is how long an idle connection is reused for a request that
	// may run only once. Upstreams close idle connections without notice, and a request
	// that was sent on such a connection has to be treated as possibly run.
	atMostOnceIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is subtracted from the Keep-Alive timeout that an upstream
	// sends.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxIdlePerUpstream limits the idle connections to one upstream.
	maxIdlePerUpstream = 8
	// readBufferBytes is small, since thousands of connections may be open.
	readBufferBytes = 2048
	// asyncWriteBytes is the size from which on a request is written concurrently with
	// reading the response, since an upstream may respond before it has read a long
	// body.
	asyncWriteBytes = 4096
	// maxStrayResponses is the number of responses to other requests that are skipped
	// on a new connection before it is closed. On a reused connection, one more is
	// allowed for each earlier response, since a faulty upstream may send each of them
	// twice.
	maxStrayResponses = 2
)

// errNotSent is wrapped by errors of requests of which no byte was sent.
var errNotSent = errors.New("the request was not sent")

// connectionPool holds the idle connections to upstreams by address and upstream ID.
type connectionPool struct {
	metrics metrics
	// onResponse is called with every response, since each may say that the upstream is
	// leaving, asks for backoff or names a limit.
	onResponse func(u registration.Upstream, r receivedResponse)
	dialer     func(ctx context.Context, addr string) (net.Conn, error)
	mu         sync.Mutex
	idle       map[string][]*connection
	closed     bool
}

// receivedResponse is the head of a response.
type receivedResponse struct {
	status int
	header http.Header
	// sentAt is when the request on the connection was sent. matched is set if the response
	// belongs to it.
	sentAt  time.Time
	matched bool
}

func newConnectionPool(m metrics, onResponse func(registration.Upstream, receivedResponse)) *connectionPool {
	return &connectionPool{metrics: m, onResponse: onResponse, dialer: dialTCP, idle: map[string][]*connection{}}
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
}

// connection is a connection to an upstream; it is used by one request at a time.
type connection struct {
	net.Conn
	pool *connectionPool
	key  string
	// received reads from Conn.
	received *response.Conn
	limited  *limitedReader
	reader   *bufio.Reader
	lastUsed time.Time
	expires  time.Time
	// responses is the number of responses that were read completely on the connection.
	responses int
	// kept is set once the connection was taken out of the pool.
	kept bool
	// sentCopyCall is set once a call was sent on the connection whose response names a
	// KV cache copy.
	sentCopyCall bool
}

// get returns a connection that the request may be sent on. Connections are kept by
// upstream ID too, since another incarnation may take over the address.
func (c *connectionPool) get(ctx context.Context, addr, id string, o *outgoingRequest) (*connection, error) {
	key, maxIdle := addr+"/"+id, maxIdleTimeout
	if o.atMostOnce {
		maxIdle = atMostOnceIdleTimeout
	}
	for !o.newConnection {
		conn := c.pop(key)
		if conn == nil {
			break
		}
		now := time.Now()
		if o.copyCall && conn.sentCopyCall {
			// A late duplicate response to the earlier call would name the copy of another run.
			_ = conn.Close()
			continue
		}
		if now.Sub(conn.lastUsed) > maxIdle && now.Before(conn.expires) {
			c.push(conn) // the stack is ordered by last use, so the others are older
			break
		}
		if now.Before(conn.expires) && conn.isReusable() {
			conn.kept = true
			return conn, nil
		}
		_ = conn.Close()
	}
	conn, err := c.dial(ctx, addr, key, dialTimeout)
	if errors.Is(err, errProcessStalled) {
		conn, err = c.dial(ctx, addr, key, dialTimeout)
	}
	return conn, err
}

func (c *connectionPool) dial(ctx context.Context, addr, key string, limit time.Duration) (*connection, error) {
	conn, err := c.dialWithTimeout(ctx, addr, limit)
	if err != nil {
		c.metrics.dialFailures.Inc()
		return nil, errors.Join(errNotSent, err)
	}
	received := &response.Conn{Conn: conn}
	limited := &limitedReader{source: received}
	return &connection{Conn: conn, pool: c, key: key, received: received, limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes)}, nil
}

// errProcessStalled is wrapped by errors of dials that timed out while the process
// itself was stalled.
var errProcessStalled = errors.New("the process was stalled")

// dialWithTimeout opens a connection within a time limit.
func (c *connectionPool) dialWithTimeout(ctx context.Context, addr string, limit time.Duration) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c.metrics.dials.Inc()
	start := time.Now()
	conn, err := c.dialer(dialCtx, addr)
	if err != nil && ctx.Err() == nil && time.Since(start) > limit+stallTolerance {
		c.metrics.stalledDials.Inc()
		return nil, errors.Join(errProcessStalled, err)
	}
	return conn, err
}

// check verifies that an upstream accepts connections, and keeps the new connection for
// later use.
func (c *connectionPool) check(ctx context.Context, addr, id string) error {
	c.metrics.upstreamChecks.Inc()
	conn, err := c.dial(ctx, addr, addr+"/"+id, checkTimeout)
	if err != nil {
		return err
	}
	conn.lastUsed = time.Now()
	conn.expires = conn.lastUsed.Add(defaultIdleTimeout)
	c.push(conn)
	return nil
}

func (c *connectionPool) pop(key string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[key]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	if len(list) == 1 {
		delete(c.idle, key)
	} else {
		c.idle[key] = list[:len(list)-1]
	}
	return conn
}

func (c *connectionPool) push(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[conn.key]) >= maxIdlePerUpstream {
		_ = conn.Close()
		return
	}
	c.idle[conn.key] = append(c.idle[conn.key], conn)
}

// closeIdle closes the idle connections to an incarnation.
func (c *connectionPool) closeIdle(addr, id string) {
	key := addr + "/" + id
	c.mu.Lock()
	list := c.idle[key]
	delete(c.idle, key)
	c.mu.Unlock()
	for _, conn := range list {
		_ = conn.Close()
	}
}

func (c *connectionPool) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for key, list := range c.idle {
		for _, conn := range list {
			_ = conn.Close()
		}
		delete(c.idle, key)
	}
}

// isReusable reports whether an idle connection is open and has no unread data; data
// that arrived between two requests belongs to neither.
func (c *connection) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = n <= 0 && errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// outgoingRequest is a request in the form in which it is sent.
type outgoingRequest struct {
	// atMostOnce marks a request that may run only once, copyCall a call whose response
	// names a KV cache copy.
	atMostOnce, copyCall bool
	// newConnection marks a request that is not sent on a kept connection, since an
	// earlier response of the upstream could be taken for the response to it.
	newConnection        bool
	method, target, host string
	header               http.Header
	body                 []byte
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

func (o *outgoingRequest) encode() []byte {
	var b bytes.Buffer
	b.WriteString(o.method + " " + o.target + " HTTP/1.1\r\nHost: " + o.host + "\r\n")
	// Writing to a buffer cannot fail.
	_ = o.header.Write(&b)
	if len(o.body) > 0 || o.method == http.MethodPost || o.method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(o.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(o.body)
	return b.Bytes()
}

// exchange is a request that was sent, together with its response.
type exchange struct {
	conn     *connection
	upstream registration.Upstream
	sentAt   time.Time
	res      *http.Response
	upload   *response.Upload
	// stopContextWatch keeps the connection open when the context ends. It returns false
	// if the context has already closed it.
	stopContextWatch func() bool
}

// send sends a request and reads the header of its response. The connection is closed
// when ctx ends. An error that wraps errNotSent means that nothing was sent; after any
// other error the request may have run. matches reports whether a response belongs to
// the request; its argument first is true for the first response on the connection. The
// memory of a long header is taken from the reservation.
func (c *connectionPool) send(ctx context.Context, u registration.Upstream, o *outgoingRequest, r *buffers.Reservation, matches func(h http.Header, first bool) bool) (*exchange, error) {
	conn, err := c.get(ctx, u.Addr, u.ID, o)
	if err != nil {
		return nil, err
	}
	conn.sentCopyCall = conn.sentCopyCall || o.copyCall
	x := &exchange{conn: conn, upstream: u, sentAt: time.Now(), upload: response.NewUpload()}
	conn.received.Begin(x.upload)
	x.stopContextWatch = context.AfterFunc(ctx, func() { _ = conn.Close() })
	x.write(o.encode())
	if err := x.readHeader(o.method, r, matches); err != nil {
		x.abandon()
		return nil, err
	}
	return x, nil
}

func (x *exchange) write(b []byte) {
	if len(b) <= asyncWriteBytes {
		_, err := x.conn.Write(b)
		x.upload.End(err)
		return
	}
	go func() {
		_, err := x.conn.Write(b)
		x.upload.End(err)
	}()
}

func (x *exchange) readHeader(method string, r *buffers.Reservation, matches func(http.Header, bool) bool) error {
	skipped := int64(0)
	for i := range maxStrayResponses + x.conn.responses + 1 {
		x.conn.limited.setHeaderLimit(r)
		res, err := x.readFinalResponse(method)
		if err != nil {
			return err
		}
		x.conn.limited.clearLimit()
		matched := matches(res.Header, i == 0 && !x.conn.kept)
		x.conn.pool.onResponse(x.upstream, receivedResponse{res.StatusCode, res.Header, x.sentAt, matched})
		if matched {
			x.res = res
			return nil
		}
		x.conn.limited.setLimit(maxSkippedBytes - skipped)
		n, err := io.Copy(io.Discard, res.Body)
		if err != nil {
			return err
		}
		if skipped += n; skipped >= maxSkippedBytes {
			return errors.New("responses to other requests on the connection exceed their size limit")
		}
	}
	return errors.New("the connection delivered only responses to other requests")
}

// readFinalResponse reads the next response, skipping informational (1xx) ones.
func (x *exchange) readFinalResponse(method string) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := response.Check(res); err != nil {
			return nil, err
		}
		if response.IsFinal(res.StatusCode) {
			return res, nil
		}
	}
}

// finish returns the connection to the pool after the body was read to its end.
func (x *exchange) finish() {
	if !x.stopContextWatch() || x.res.Close || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	if !x.upload.Succeeded() {
		_ = x.conn.Close() // the upstream responded before it had read the body
		return
	}
	x.conn.responses++
	x.conn.lastUsed = time.Now()
	x.conn.expires = x.conn.lastUsed.Add(reuseTimeout(x.res.Header))
	x.conn.pool.push(x.conn)
}

// abandon closes the connection, on which most upstreams cancel the request.
func (x *exchange) abandon() {
	x.stopContextWatch()
	_ = x.conn.Close()
}

// reuseTimeout returns how long the connection may stay idle before reuse, from the
// Keep-Alive header of a response.
func reuseTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(v); err == nil {
			s = min(s, int(maxIdleTimeout/time.Second)+1) // a larger one would overflow below
			return min(maxIdleTimeout, time.Duration(s)*time.Second-idleTimeoutMargin)
		}
	}
	return defaultIdleTimeout
}
