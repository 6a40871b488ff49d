// Package agent implements the role that runs beside each upstream. It announces
// the upstream to the control instances, queues and schedules requests for it,
// runs them through an adapter, and retains the output of generations so that
// they can be resumed.
package agent

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/httpconn"
	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/settings"
	"heatherway.dev/kernel/stats"
)

func init() {
	kernel.Register(kernel.ModuleInfo{ID: "role.agent", New: func() any {
		return &Agent{Retention: Retention{Time: defaultRetentionTime, Bytes: defaultRetainedBytes}}
	}})
}

const (
	// roleEntry is the role in the certificates of entry instances.
	roleEntry            = "entry"
	defaultRetentionTime = 60 * time.Second
	defaultRetainedBytes = 32 << 20
	// eventQueueSize is the number of events that may wait for the owner's goroutine.
	eventQueueSize = 256
	// idleTimeout closes a keep-alive connection without a request.
	idleTimeout = 60 * time.Second
)

// Retention limits the output that is kept for generations without a reader.
type Retention struct {
	// Time is how long a generation is kept after its reader has disconnected.
	Time time.Duration `yaml:"time"`
	// Bytes bounds the retained output in total. Above it, the generations that
	// have been without a reader longest are dropped first.
	Bytes int `yaml:"bytes"`
}

// Agent is the agent role with its settings.
type Agent struct {
	// ID identifies the upstream in the fleet and defaults to the instance's id.
	// It must be set when one process runs several agents.
	ID string `yaml:"id"`
	// Listen is the address of the internal listener.
	Listen string `yaml:"listen"`
	// Advertise is the address at which other instances reach the listener. It
	// defaults to the bound address.
	Advertise string `yaml:"advertise"`
	// Control lists the addresses of the control instances.
	Control []string `yaml:"control"`
	// Upstream names the adapter and holds its settings.
	Upstream settings.Plugin `yaml:"upstream"`
	// Retention limits the output that is kept for resuming generations.
	Retention Retention `yaml:"retention"`

	instance    kernel.Instance
	incarnation wire.Incarnation
	// parts is the list of suspected parts, and partProofs those that runs here have proved.
	parts      atomic.Pointer[wire.PartList]
	partProofs partProofs
	log        *slog.Logger
	metrics    metrics
	security   *peer.Security
	upstream   adapter.Upstream
	listener   net.Listener
	conns      *httpconn.Listener
	server     *http.Server
	control    *controlClient
	orders     chan orderList

	events   chan event
	snapshot atomic.Pointer[snapshot]
	// recordsRetryAt is the time, in Unix nanoseconds, before which claims fail
	// without a call to control.
	recordsRetryAt atomic.Int64
	baseCtx        context.Context
	cancel         context.CancelFunc
	// callCtx is the parent of the contexts of calls to plain services.
	callCtx     context.Context
	cancelCalls context.CancelCauseFunc
	// stopping is set once the agent is told to stop.
	stopping   atomic.Bool
	goroutines sync.WaitGroup // background goroutines
	activeWork atomic.Int64   // unfinished streams, runs and calls
	unanswered atomic.Int64   // net/rpc calls whose responses have not been written
}

// Plugins implements kernel.Nested.
func (a *Agent) Plugins() map[string][]settings.Plugin {
	return map[string][]settings.Plugin{"adapter": {a.Upstream}}
}

// Validate implements kernel.Validator.
func (a *Agent) Validate() error {
	if a.Listen == "" {
		return settings.Field("listen", "must be set")
	}
	if a.Upstream.Empty() {
		return settings.Field("upstream", "must name an adapter")
	}
	return settings.First(
		settings.DurationInRange("retention.time", a.Retention.Time, time.Second, time.Hour),
		settings.InRange("retention.bytes", a.Retention.Bytes, 0, 1<<30),
	)
}

// Provision implements kernel.Provisioner.
func (a *Agent) Provision(c *kernel.Context) error {
	m, err := c.Load("adapter", a.Upstream)
	if err != nil {
		return err
	}
	up, ok := m.(adapter.Upstream)
	if !ok {
		return settings.Field("upstream", "%s is not an upstream adapter", a.Upstream.Name)
	}
	l, err := c.Listen(a.Listen)
	if err != nil {
		return err
	}
	a.instance, a.log, a.security = c.Instance, c.Log, c.TLS
	if a.ID != "" {
		a.instance.ID = a.ID
	}
	a.prepare(up, l, c.Stats)
	return nil
}

func (a *Agent) prepare(up adapter.Upstream, l net.Listener, registry *stats.Registry) {
	a.upstream, a.listener = up, l
	if a.Advertise == "" {
		a.Advertise = l.Addr().String()
	}
	a.metrics = newMetrics(registry)
	a.incarnation = wire.NewIncarnation(time.Now())
	a.control = newControlClient(a.security, a.Control)
	a.events = make(chan event, eventQueueSize)
	a.parts.Store(&wire.PartList{})
	a.partProofs.wake = make(chan struct{}, 1)
	a.orders = make(chan orderList, 1)
	if s, ok := up.(adapter.SignalSource); ok {
		s.OnSignal(a.receiveSignal)
	}
}

// Start implements kernel.Runner.
func (a *Agent) Start(ctx context.Context) error {
	a.baseCtx, a.cancel = context.WithCancel(ctx)
	a.callCtx, a.cancelCalls = context.WithCancelCause(a.baseCtx)
	o := newOwner(a, time.Now())
	o.publish(time.Now())
	a.background(o.loop)
	a.background(a.announceLoop)
	a.background(a.watchLoop)
	a.background(a.healthLoop)
	a.background(a.orderLoop)
	a.background(a.reportProofs)
	a.conns = httpconn.NewListener(a.listener, httpconn.Limits{Idle: httpconn.FixedIdle(idleTimeout), Header: peer.ReadHeaderTimeout})
	a.server = peer.NewServer(a.baseCtx, a.handler())
	a.server.ConnState = a.conns.ConnState
	a.background(func(context.Context) { _ = a.server.Serve(a.security.NewListener(a.conns)) })
	return nil
}

func (a *Agent) background(fn func(context.Context)) {
	a.goroutines.Add(1)
	go func() {
		defer a.goroutines.Done()
		fn(a.baseCtx)
	}()
}

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.RPCPath, &peer.Handler{
		Security: a.security,
		Roles:    []string{roleEntry, "control", "operator", "admin"},
		ServicesForPeer: func(roles peer.Roles, name string) map[string]any {
			return map[string]any{wire.AgentService: &service{a: a, roles: roles, name: name}}
		},
		Unanswered: &a.unanswered,
	})
	mux.HandleFunc("POST "+wire.GeneratePath, a.serveGenerate)
	return mux
}

// Stop implements kernel.Runner. Until its turn the agent serves an entry of its own process, which stops before it and
// still has requests. Stop refuses new work at once and waits until the
// running work is done or the limit of ctx is near. It then ends the remaining streams with a
// code that makes the entries resume them at other agents, and answers the remaining calls.
// Requests that arrive on open connections meanwhile are refused.
func (a *Agent) Stop(ctx context.Context) error {
	a.stopping.Store(true)
	a.drain(true)
	work, cancel := withReserve(ctx, stopReserve)
	defer cancel()
	if !a.waitIdle(work) {
		a.handOver(ctx)
	}
	a.drainConnections(ctx)
	a.waitAnswered(ctx)
	a.cancel()
	err := a.server.Close()
	a.goroutines.Wait()
	a.control.close()
	return err
}

const (
	// stopReserve is the part of the stop limit that is kept for what follows the wait for
	// running work, at most half of the limit.
	stopReserve = 2 * time.Second
	// handOverTimeout bounds how long streams may take to send their final frame.
	handOverTimeout = 2 * time.Second
	// leastHandOverTime is the least time for that. An agent that stops after other roles of its
	// process may have used up the limit.
	leastHandOverTime = 100 * time.Millisecond
)

// withReserve returns a context that ends before ctx by reserve, or by half of the time that
// is left if that is less.
func withReserve(ctx context.Context, reserve time.Duration) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-min(reserve, time.Until(deadline)/2)))
}

// withShare returns a context that ends after most, or after half of the time that ctx
// leaves if that is less.
func withShare(ctx context.Context, most time.Duration) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		most = min(most, time.Until(deadline)/2)
	}
	return context.WithTimeout(ctx, most)
}

// errStopLimit is the cause with which the contexts of calls end near the limit of a stop.
var errStopLimit = errors.New("the stop limit of this agent is reached")

func (a *Agent) handOver(ctx context.Context) {
	a.log.Warn("work handed over at the stop limit", "running", a.activeWork.Load())
	a.post(handOverEvent{})
	a.cancelCalls(errStopLimit)
	ctx, cancel := withShare(ctx, handOverTimeout)
	defer cancel()
	a.waitIdle(ctx)
	least, cancelLeast := context.WithTimeout(a.baseCtx, leastHandOverTime)
	defer cancelLeast()
	a.waitIdle(least)
}

// drainIdle is how long a connection may stay idle at a stop, and drainTimeout bounds the wait
// for connections to end. An entry that does not know of the stop yet may send a request.
const (
	drainIdle    = 300 * time.Millisecond
	drainTimeout = time.Second
)

func (a *Agent) drainConnections(ctx context.Context) {
	ctx, cancel := withShare(ctx, drainTimeout)
	defer cancel()
	if a.conns.Drain(ctx, drainIdle) != nil {
		a.log.Warn("connections of entries cut off at the stop")
	}
}

// answerTimeout bounds how long a stopping agent waits for entries to take the responses to
// their calls.
const answerTimeout = time.Second

// waitAnswered waits until the responses to all calls have been written.
func (a *Agent) waitAnswered(ctx context.Context) {
	ctx, cancel := withShare(ctx, answerTimeout)
	defer cancel()
	for a.unanswered.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, idlePollInterval)
	}
}

// idlePollInterval is how often a stopping agent checks whether its work is done.
const idlePollInterval = 20 * time.Millisecond

// waitIdle waits until no work is left. It returns false if ctx ends first.
func (a *Agent) waitIdle(ctx context.Context) bool {
	for a.activeWork.Load() > 0 {
		if ctx.Err() != nil {
			return false
		}
		sleep(ctx, idlePollInterval)
	}
	return true
}

// drain makes the agent stop accepting work, or accept it again, and announces
// the change.
func (a *Agent) drain(leave bool) {
	ev := drainEvent{leave: leave, done: make(chan struct{}, 1)}
	ask(a, ev, ev.done)
	a.control.announceNow()
}
