package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// RPCPath is the path under which a process serves net/rpc on its internal listener.
const RPCPath = "/internal/rpc"

// DialTimeout is the timeout for connecting to another process and, separately, for
// the RPC handshake.
const DialTimeout = 250 * time.Millisecond

// ErrUnreachable is returned if no connection could be made, so that the peer
// certainly did not receive the call.
var ErrUnreachable = errors.New("peer is unreachable")

// Dial opens a connection to an address within DialTimeout.
func (s *Security) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	cfg, err := s.ClientConfig()
	if err != nil {
		return nil, err
	}
	if cfg == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}
	return (&tls.Dialer{Config: cfg}).DialContext(ctx, "tcp", addr)
}

// Client makes net/rpc calls to one address. It connects on first use and reconnects
// after a failure. It is safe for concurrent use.
type Client struct {
	addr string
	sec  *Security

	mu  sync.Mutex
	rpc *rpc.Client
	// opening is the connection attempt that all calls wait for, nil if there is none.
	opening *opening
}

// opening is an attempt to connect. client and err are set before done is closed.
type opening struct {
	done   chan struct{}
	client *rpc.Client
	err    error
}

// NewClient returns a client for the address.
func (s *Security) NewClient(addr string) *Client { return &Client{addr: addr, sec: s} }

// Addr returns the address of the peer.
func (c *Client) Addr() string { return c.addr }

// Call makes a call and waits until it returns or ctx is done. If the deadline of
// ctx passes, it closes the connection, since net/rpc can't tell a slow peer from a
// dead connection; the next call opens a new one. Long polls therefore use a client
// of their own. An error that the peer returned is a *result.Error with the peer's
// result code. An error that wraps ErrUnreachable means that the peer did not
// receive the call.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	cl, err := c.connect(ctx)
	if err != nil {
		return err
	}
	// An answer that arrives after ctx has ended is still decoded, when the caller may read reply.
	own := reflect.New(reflect.TypeOf(reply).Elem())
	call := cl.Go(method, args, own.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(own.Elem())
		}
		return c.handleError(cl, call.Error)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.discard(cl)
		}
		return ctx.Err()
	}
}

// handleError decodes an error that the peer returned. After any other error it
// discards the connection.
func (c *Client) handleError(cl *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return decodeError(string(remote))
	}
	c.discard(cl)
	return errors.Wrap(err, "rpc to "+c.addr)
}

// discard closes a connection, and makes the next call open a new one unless that
// has happened already.
func (c *Client) discard(cl *rpc.Client) {
	c.mu.Lock()
	if c.rpc == cl {
		c.rpc = nil
	}
	c.mu.Unlock()
	_ = cl.Close()
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	cl := c.rpc
	c.rpc, c.opening = nil, nil
	c.mu.Unlock()
	if cl != nil {
		_ = cl.Close()
	}
}

// connect returns the connection, or waits until ctx is done for one that is being opened.
func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	if cl := c.rpc; cl != nil {
		c.mu.Unlock()
		return cl, nil
	}
	o := c.opening
	if o == nil {
		o = &opening{done: make(chan struct{})}
		c.opening = o
		go c.open(o)
	}
	c.mu.Unlock()
	select {
	case <-o.done:
		return o.client, o.err
	case <-ctx.Done():
		return nil, errors.Join(ErrUnreachable, ctx.Err())
	}
}

// open opens a connection for all calls that wait for it. It does not end with the context of one
// of them; DialTimeout limits it.
func (c *Client) open(o *opening) {
	defer close(o.done)
	cl, err := c.sec.openRPC(c.addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := c.opening != o
	if !closed {
		c.rpc, c.opening = cl, nil
	}
	switch {
	case err != nil:
		o.err = errors.Join(ErrUnreachable, err)
	case closed:
		_ = cl.Close()
		o.err = errors.Join(ErrUnreachable, rpc.ErrShutdown)
	default:
		o.client = cl
	}
}

func (s *Security) openRPC(addr string) (*rpc.Client, error) {
	conn, err := s.Dial(context.Background(), addr)
	if err != nil {
		return nil, err
	}
	if err := handshake(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	limiter := newFrameLimiter(conn, s.newConnectionBudget(addr))
	return rpc.NewClientWithCodec(&clientCodec{newGobCodec(limiter)}), nil
}

// handshake sends the CONNECT request that opens the RPC connection and checks the
// response.
func handshake(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(DialTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, "CONNECT "+RPCPath+" HTTP/1.0\r\n\r\n"); err != nil {
		return err
	}
	res, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxHandshakeBytes)), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("rpc handshake refused: %s", res.Status)
	}
	return conn.SetDeadline(time.Time{})
}

// Handler serves the net/rpc services of a process to peers whose certificate
// carries one of Roles. Without TLS it serves every peer, with no roles.
type Handler struct {
	Security *Security
	Roles    []string
	// Services returns the receivers to register for a peer with the roles, by
	// service name.
	Services func(roles Roles) map[string]any
	// ServicesForPeer, if set, is called instead of Services. It also gets the common
	// name in the peer's certificate, for audit logs.
	ServicesForPeer func(roles Roles, name string) map[string]any
	// Unanswered, if set, is the number of calls that were read and whose responses have not
	// been written.
	Unanswered *atomic.Int64
}

func (h *Handler) services(roles Roles, name string) map[string]any {
	if h.ServicesForPeer != nil {
		return h.ServicesForPeer(roles, name)
	}
	return h.Services(roles)
}

// ServeHTTP hijacks the connection of a CONNECT request and serves net/rpc on it until the
// base context of the HTTP server ends. Closing the server does not end hijacked connections,
// and a peer that keeps one would go on calling a role that has stopped.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		http.Error(w, "want CONNECT", http.StatusMethodNotAllowed)
		return
	}
	roles, name := RolesOf(r.TLS), CommonName(r.TLS)
	if err := h.Security.Allow(roles, name, RPCPath, h.Roles...); err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer context.AfterFunc(r.Context(), func() { _ = conn.Close() })()
	srv := rpc.NewServer()
	for service, recv := range h.services(roles, name) {
		if err := srv.RegisterName(service, recv); err != nil {
			_ = conn.Close()
			return
		}
	}
	// Clear the deadline that the HTTP server may have set for reading the header.
	_ = conn.SetDeadline(time.Time{})
	if _, err := io.WriteString(conn, "HTTP/1.0 200 Connected\r\n\r\n"); err != nil {
		_ = conn.Close()
		return
	}
	unanswered := h.Unanswered
	if unanswered == nil {
		unanswered = new(atomic.Int64)
	}
	limiter := newFrameLimiter(conn, h.Security.newConnectionBudget(r.RemoteAddr))
	srv.ServeCodec(newCountingCodec(limiter, unanswered))
}
