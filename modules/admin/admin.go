// Package admin implements the role that serves the administration API to
// operators. It forwards every call to a control instance, which decides on it and
// writes the audit log.
package admin

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/heatherway/internal/httpconn"
	"heatherway.dev/kernel"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/settings"
)

func init() {
	kernel.Register(kernel.ModuleInfo{ID: "role.admin", New: func() any { return &Module{} }})
}

// Settings holds the settings of the role.
type Settings struct {
	// Listen is the address that operators connect to. Without TLS it must be a
	// loopback address.
	Listen string `yaml:"listen"`
	// Control lists the internal addresses of control instances.
	Control []string `yaml:"control"`
}

// Module is the admin role.
type Module struct {
	Settings `yaml:",inline"`

	log      *slog.Logger
	audit    *slog.Logger
	security *peer.Security
	listener net.Listener
	conns    *httpconn.Listener
	server   *http.Server
	stopping atomic.Bool
	// cancelCalls ends the contexts of all calls of operators.
	cancelCalls context.CancelFunc
	clients     []*peer.Client
	// lastAnswered is the index in clients of the control instance that answered last.
	lastAnswered atomic.Int32
}

// Timeouts of the HTTP server and of calls to control.
const (
	// readTimeout is the timeout for reading a request.
	readTimeout = 10 * time.Second
	// writeTimeout is the timeout for handling a request and writing its response.
	writeTimeout = 30 * time.Second
	idleTimeout  = 2 * time.Minute
	// maxHeaderBytes limits the headers of a request.
	maxHeaderBytes = 64 << 10
	// callTimeout is the timeout of a call to one control instance. It is longer than
	// the 3 s that control allows for a command, so that the response arrives.
	callTimeout = 4 * time.Second
)

// Validate implements kernel.Validator.
func (m *Module) Validate() error {
	if m.Listen == "" {
		return settings.Field("listen", "must be set")
	}
	if len(m.Control) == 0 {
		return settings.Field("control", "must name at least one address")
	}
	return nil
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(c *kernel.Context) error {
	if c.TLS.Off() && !isLoopback(m.Listen) {
		return settings.Field("listen", "%s is not a loopback address, as tls.off requires", m.Listen)
	}
	m.log, m.security = c.Log, c.TLS
	m.audit = slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("instance", c.Instance.ID)
	for _, addr := range m.Control {
		m.clients = append(m.clients, c.TLS.NewClient(addr))
	}
	var err error
	m.listener, err = c.Listen(m.Listen)
	return err
}

// isLoopback reports whether the host of an address is a loopback IP address.
func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// Start implements kernel.Runner.
func (m *Module) Start(context.Context) error {
	m.conns = httpconn.NewListener(m.listener, httpconn.Limits{Idle: httpconn.FixedIdle(idleTimeout), Header: readTimeout})
	calls, cancelCalls := context.WithCancel(context.Background())
	m.cancelCalls = cancelCalls
	m.server = &http.Server{
		BaseContext:       func(net.Listener) context.Context { return calls },
		ConnState:         m.conns.ConnState,
		Handler:           m.handler(),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		WriteTimeout:      writeTimeout,
		ErrorLog:          newHTTPErrorLog(m),
	}
	go m.serve()
	return nil
}

func (m *Module) serve() {
	err := m.server.Serve(m.security.NewListener(m.conns))
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !m.stopping.Load() {
		m.log.Error("listener of the administration API failed", "address", m.Listen, "error", err)
	}
}

// drainIdle is how long a stopping process keeps an idle connection of an operator open. A tool
// that sends its calls on one connection sends the next one within that time.
const drainIdle = time.Second

// answerReserve is the part of the stop limit that is kept for answers to the calls that still run
// at its end.
const answerReserve = 300 * time.Millisecond

// Stop implements kernel.Runner. Open connections are served until they have been idle for
// drainIdle or the limit of ctx is near, each until its next response. The calls that still run
// then end with an answer.
func (m *Module) Stop(ctx context.Context) error {
	m.stopping.Store(true)
	err := m.drainCalls(ctx)
	_ = m.server.Close()
	for _, c := range m.clients {
		c.Close()
	}
	if err != nil {
		return errors.Wrap(err, "calls were still running at the stop limit")
	}
	return nil
}

func (m *Module) drainCalls(ctx context.Context) error {
	defer m.cancelCalls()
	limit := ctx
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		limit, cancel = context.WithDeadline(ctx, deadline.Add(-answerReserve))
		defer cancel()
	}
	err := m.conns.Drain(limit, drainIdle)
	if err == nil {
		return nil
	}
	m.cancelCalls()
	answered, cancel := context.WithTimeout(context.Background(), answerReserve/2)
	defer cancel()
	_ = m.conns.Drain(answered, 0) // connections without a whole call are cut off
	return err
}
