// Package entry is the role that serves the caller API. It authenticates
// requests, chooses an upstream for each, relays a generation as one continuous
// answer even when an upstream is lost on the way, and runs calls of plain
// services at most once unless they are idempotent.
package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/drain"
	"heatherway.dev/core/pick"
	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/httpconn"
	"heatherway.dev/kernel"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/settings"
	"heatherway.dev/kernel/stats"
)

func init() {
	kernel.Register(kernel.ModuleInfo{ID: "role.entry", New: func() any { return New() }})
}

// Limits bound the requests that one entry accepts.
type Limits struct {
	// Streams is the maximum number of open requests.
	Streams int `yaml:"streams"`
	// Header is the maximum size of a request's headers in bytes.
	Header int `yaml:"header"`
	// Entries is an upper bound of the number of entries that run at the same
	// time. It bounds what all entries together admit without a lease.
	Entries int `yaml:"entries"`
	// BodyTime bounds how long a caller may take to send a request.
	BodyTime time.Duration `yaml:"body_time"`
	// WriteTime is how long a caller may read nothing before its answer is
	// aborted.
	WriteTime time.Duration `yaml:"write_time"`
}

// Settings are the settings of the role.
type Settings struct {
	// Listen is the address that callers connect to.
	Listen string `yaml:"listen"`
	// Internal is the address for net/rpc calls of other processes.
	Internal string `yaml:"internal"`
	// Control lists the internal addresses of control instances.
	Control []string `yaml:"control"`
	// Grace is how long the readiness check fails before the listener closes,
	// so that the load balancer stops sending requests first.
	Grace time.Duration `yaml:"grace"`
	// Limits bound the requests that the entry accepts.
	Limits Limits `yaml:"limits"`
	// Choice names the filters, scorers and picker of the upstream choice.
	Choice pick.Policy `yaml:"choice"`
}

// Module is the entry role.
type Module struct {
	Settings `yaml:",inline"`

	instance         kernel.Instance
	log              *slog.Logger
	security         *peer.Security
	publicListener   net.Listener
	callerConns      *httpconn.Listener
	internalListener net.Listener
	publicServer     *http.Server
	// cancelRequests ends the contexts of all callers' requests.
	cancelRequests context.CancelCauseFunc
	internalServer *http.Server

	owner   *owner
	pool    *connPool
	metrics *entryMetrics

	ready atomic.Bool
	// draining is set by operators, and for good by the stop signal.
	draining atomic.Bool
	stopping atomic.Bool
	// signalAt is the time of the stop signal, zero before ObserveStop. It belongs to the goroutine that stops the role.
	signalAt time.Time
	// stop is nil until the stop signal, and after it if the stop has no limit.
	stop         atomic.Pointer[drain.Stop]
	openRequests atomic.Int64
	// earlierRunLookups has an element for each lookup under way of a refused request's record.
	earlierRunLookups chan struct{}
	// lastControl is the index in Control of the instance that answered the
	// most recent call.
	lastControl atomic.Int32
	trialAsks   trialAsks
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
}

// Default settings.
const (
	defaultGrace    = 3 * time.Second
	defaultStreams  = 20000
	defaultHeader   = 16 << 10
	defaultEntries  = 16
	defaultBodyTime = 30 * time.Second
	// defaultWriteTime is the limit for slow readers; see docs/design.md,
	// section 10.
	defaultWriteTime = 10 * time.Second
)

// New returns the role with its default settings.
func New() *Module {
	return &Module{
		Settings: Settings{
			Grace:  defaultGrace,
			Limits: Limits{Streams: defaultStreams, Header: defaultHeader, Entries: defaultEntries, BodyTime: defaultBodyTime, WriteTime: defaultWriteTime},
			Choice: pick.DefaultPolicy(),
		},
	}
}

// Validate implements kernel.Validator.
func (m *Module) Validate() error {
	if m.Listen == "" {
		return settings.Field("listen", "must be set")
	}
	if m.Internal == "" {
		return settings.Field("internal", "must be set")
	}
	if len(m.Control) == 0 {
		return settings.Field("control", "must name at least one address")
	}
	return settings.First(
		settings.DurationInRange("grace", m.Grace, 0, 10*time.Minute),
		settings.InRange("limits.streams", m.Limits.Streams, 1, 1<<20),
		settings.InRange("limits.header", m.Limits.Header, 1<<10, 1<<20),
		settings.InRange("limits.entries", m.Limits.Entries, 1, 100000),
		settings.DurationInRange("limits.body_time", m.Limits.BodyTime, 100*time.Millisecond, 10*time.Minute),
		settings.DurationInRange("limits.write_time", m.Limits.WriteTime, 100*time.Millisecond, 10*time.Minute),
	)
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(c *kernel.Context) error {
	m.instance = c.Instance
	if err := m.prepare(c.Log, c.TLS, c.Stats); err != nil {
		return err
	}
	var err error
	if m.publicListener, err = c.Listen(m.Listen); err != nil {
		return err
	}
	m.internalListener, err = c.Listen(m.Internal)
	return err
}

// prepare creates the parts of the role that need no listener.
func (m *Module) prepare(log *slog.Logger, security *peer.Security, reg *stats.Registry) error {
	m.log, m.security = log, security
	m.metrics = newEntryMetrics(reg)
	m.pool = newConnPool(security)
	m.earlierRunLookups = make(chan struct{}, maxEarlierRunLookups)
	var err error
	m.owner, err = newOwner(m)
	return err
}

// Start implements kernel.Runner. It does not wait for the first
// configuration; the readiness check fails until it has arrived.
func (m *Module) Start(ctx context.Context) error {
	ctx, m.cancel = context.WithCancel(ctx)
	m.callerConns = httpconn.NewListener(m.publicListener, httpconn.Limits{Idle: httpconn.FixedIdle(idleTimeout), Header: m.Limits.BodyTime, HeaderLines: httpconn.MaxHeaderLines})
	requests, cancelRequests := context.WithCancelCause(context.Background())
	m.cancelRequests = cancelRequests
	m.publicServer = m.newServer()
	m.publicServer.BaseContext = func(net.Listener) context.Context { return requests }
	m.publicServer.ConnState = m.callerConns.ConnState
	m.internalServer = peer.NewServer(ctx, m.internalHandler())
	m.internalServer.ReadHeaderTimeout = peer.DialTimeout * 4
	m.spawn(func() { m.owner.run(ctx) })
	m.spawn(func() { m.owner.watchAlways(ctx) })
	m.spawn(func() { m.serve(m.publicServer, m.callerConns) })
	m.spawn(func() { m.serve(m.internalServer, m.security.NewListener(m.internalListener)) })
	return nil
}

// spawn runs fn in a goroutine that Stop waits for.
func (m *Module) spawn(fn func()) {
	m.tasks.Add(1)
	go func() {
		defer m.tasks.Done()
		fn()
	}()
}

func (m *Module) serve(srv *http.Server, l net.Listener) {
	if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !m.draining.Load() {
		m.log.Error("listener failed", "address", l.Addr().String(), "error", err)
	}
}

func (m *Module) newServer() *http.Server {
	return &http.Server{
		Handler:           m.publicHandler(),
		ReadHeaderTimeout: m.Limits.BodyTime,
		MaxHeaderBytes:    m.Limits.Header,
		ErrorLog:          slog.NewLogLogger(m.log.Handler(), slog.LevelDebug),
	}
}

// idleTimeout is how long a caller connection may stay open without a request.
const idleTimeout = 2 * time.Minute

// ObserveSignal implements kernel.SignalObserver. From now on the readiness check fails, and no request is begun
// until ObserveStop.
func (m *Module) ObserveSignal(at time.Time) {
	m.stop.CompareAndSwap(nil, drain.Pending(at))
	m.stopping.Store(true)
	m.draining.Store(true)
}

// ObserveStop implements kernel.StopObserver. From now on requests that may outlast the stop limit are refused.
func (m *Module) ObserveStop(signal kernel.StopSignal) {
	if !m.signalAt.IsZero() {
		return
	}
	m.signalAt = signal.At
	m.ObserveSignal(signal.At) // no effect if the kernel has told of the signal
	var stop *drain.Stop
	if !signal.Deadline.IsZero() {
		stop = &drain.Stop{SignalAt: signal.At, CutAt: signal.Deadline.Add(-answerReserve)}
	}
	m.stop.Store(stop)
	m.log.Info("stopping; readiness check fails, open requests may finish", "open", m.openRequests.Load())
}

// Stop implements kernel.Runner. The readiness check fails for the grace
// period; then the listener closes, and open connections are served until ctx
// ends. Each ends with its next answer, or after a second grace period without
// a request.
func (m *Module) Stop(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	m.ObserveStop(kernel.StopSignal{At: time.Now(), Deadline: deadline}) // no effect if the kernel has told of the signal
	err := m.drainCallers(ctx)
	_ = m.publicServer.Close()
	m.cancelRequests(errStopLimit)
	if err != nil {
		m.awaitHandlers()
	}
	_ = m.internalServer.Close()
	m.cancel()
	m.tasks.Wait()
	m.pool.close()
	if err != nil {
		return errors.Wrap(err, "stop limit reached; open requests were aborted")
	}
	return nil
}

// answerReserve is the part of the stop limit that is kept for answers to the requests that still run
// at its end.
const answerReserve = 300 * time.Millisecond

// drainCallers serves the open connections until the stop limit is near, and then ends the requests
// that still run with an answer.
func (m *Module) drainCallers(ctx context.Context) error {
	limit := ctx
	if stop := m.stop.Load(); stop != nil {
		var cancel context.CancelFunc
		limit, cancel = context.WithDeadline(ctx, stop.CutAt)
		defer cancel()
	}
	sleep(limit, time.Until(m.signalAt.Add(m.Grace)))
	err := m.callerConns.Drain(limit, m.Grace)
	if err == nil {
		return nil
	}
	m.cancelRequests(errStopLimit)
	answered, cancel := context.WithTimeout(context.Background(), answerReserve/2)
	defer cancel()
	_ = m.callerConns.Drain(answered, 0) // connections without a whole request are cut off
	return err
}

// handlerTimeout bounds the wait for handlers to return after their connections
// were closed.
const handlerTimeout = time.Second

func (m *Module) awaitHandlers() {
	for end := time.Now().Add(handlerTimeout); m.openRequests.Load() > 0 && time.Now().Before(end); {
		sleep(context.Background(), handlerTimeout/100)
	}
}

func (m *Module) isReady() bool { return m.ready.Load() && !m.draining.Load() }

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// internalHandler serves net/rpc calls of other processes.
func (m *Module) internalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.RPCPath, m.rpcHandler())
	return mux
}

func (m *Module) rpcHandler() http.Handler {
	return &peer.Handler{
		Security: m.security,
		Roles:    []string{"control", "operator"},
		Services: func(peer.Roles) map[string]any { return map[string]any{wire.EntryService: &rpcService{m}} },
	}
}
