// Package gateway implements the role that forwards callers' requests to upstreams byte
// for byte. It matches the route, checks the key, selects an upstream, and resumes a
// stream at another upstream when one fails.
package gateway

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
	"heatherway.dev/heatherway/internal/httpconn"
	"heatherway.dev/heatherway/modules/dialect"
	"heatherway.dev/heatherway/modules/registry"
	"heatherway.dev/kernel"
	"heatherway.dev/kernel/buffers"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/settings"
	"heatherway.dev/kernel/stats"
)

func init() {
	kernel.Register(kernel.ModuleInfo{ID: "role.gateway", New: func() any { return newGateway() }})
}

const (
	// defaultGrace is enough for streams of a few seconds.
	defaultGrace = 8 * time.Second
	// defaultDrainDelay covers two failed readiness checks one second apart and the
	// duration of a check, after which the load balancer sends no new connections.
	defaultDrainDelay = 2500 * time.Millisecond
	// defaultObjectiveShare is the users' service-level target for quiet days.
	defaultObjectiveShare = 0.95
	// graceReserve is the part of the grace period that is kept for the shutdown of the
	// process.
	graceReserve = 300 * time.Millisecond
	// finalAnswerTime is the part of graceReserve in which requests that still run are refused.
	finalAnswerTime = 150 * time.Millisecond
	// stopIdleTime is how long a connection may stay idle once the drain delay is over. It
	// covers the way of a response, whose header may not have announced the stop, to the
	// caller and that of the caller's next request.
	stopIdleTime = time.Second
	// readHeaderTimeout limits the time in which a caller has to send its header.
	readHeaderTimeout = 3 * time.Second
	// readyIdleTimeout is how long a connection for readiness checks may be idle; checks are
	// seconds apart.
	readyIdleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the size of a caller's header.
	maxHeaderBytes = 64 << 10
)

// Settings are the settings of the role.
type Settings struct {
	// Listen is the address for callers.
	Listen string `yaml:"listen"`
	// ReadyListen is the address of the readiness check.
	ReadyListen string `yaml:"ready_listen"`
	// PeerPort is the port of the control instances' peer listener.
	PeerPort int `yaml:"peer_port"`
	// Seeds are the addresses of some control instances; PeerPort replaces their ports.
	Seeds []string `yaml:"seeds"`
	// Grace is the time from the stop signal to the end of the process. A reload changes it.
	Grace time.Duration `yaml:"grace"`
	// DrainDelay is how long new connections are accepted after the stop signal, while
	// the load balancer takes the gateway out. A delay that would last to the end of the
	// grace period is cut to half of that. A reload changes it.
	DrainDelay time.Duration `yaml:"drain_delay"`
	// ObjectiveShare is the share of requests that should meet the objective of their
	// route; the report on error budget burn is computed from it.
	ObjectiveShare float64 `yaml:"objective_share"`
	// BufferBytes limits the bytes of request and response bodies and of long response heads held in memory.
	BufferBytes int64 `yaml:"buffer_bytes"`
	// UpstreamSpeeds makes placements tell the upstreams of a service apart by their speed, and keeps
	// plain calls in their availability zone while slots are free there. A dialect may switch it on
	// for a deployment.
	UpstreamSpeeds bool `yaml:"upstream_speeds"`
	// Queue are the settings of the queues of streams.
	Queue registry.QueueSettings `yaml:"queue"`
	// Rollouts enables roll-outs that an operator orders. It is the same at all instances.
	Rollouts registry.RolloutSettings `yaml:"rollouts"`
	// Dialect is the protocol spoken with callers and upstreams.
	Dialect settings.Plugin `yaml:"dialect"`
}

// Gateway is the module of the gateway role.
type Gateway struct {
	Settings `yaml:",inline"`

	id, zone string
	log      *slog.Logger
	security *peer.Security
	dialect  dialect.Dialect
	metrics  metrics

	callerListener *httpconn.Listener
	readyListener  net.Listener
	server         *http.Server
	readyServer    *http.Server

	follower    *follower
	owner       *stateOwner
	connections *connectionPool
	buffers     *buffers.Budget
	// stopSettingsMu guards Grace and DrainDelay, which a reload changes.
	stopSettingsMu sync.Mutex
	// stop is nil until the gateway is told to stop.
	stop          atomic.Pointer[drain.Stop]
	openRequests  atomic.Int64
	crashReporter *crashReporter
	// controlClients keeps connections to control instances for short calls. limitOwner is
	// the address of the instance that owned the limits of upstreams when it last answered.
	controlClients *peer.Clients
	limitOwner     atomic.Pointer[string]
	// originOwner is the same for the ledger of the software versions that began streams.
	originOwner atomic.Pointer[string]
	// queue is nil if the queues of streams are off. pollClients keeps the connections of its calls
	// that wait; queuedStreams is the number of streams that wait in a queue.
	queue         *queueClient
	pollClients   *peer.Clients
	queuedStreams atomic.Int64
	// rolloutOwner is the same for the permits of roll-outs.
	rolloutOwner atomic.Pointer[string]
	// trackedRequests is the number of requests with broken runs. While it is zero, the
	// crash tracker is not told about completed requests and changed upstreams.
	// suspectRequests and suspectParts are the numbers of requests and of parts of prompts
	// that may be blocked. While both are zero, requests are not checked against the crash
	// tracker.
	trackedRequests, suspectRequests, suspectParts atomic.Int64

	// requests is the parent of the contexts of all requests.
	requests       context.Context
	cancelRequests context.CancelCauseFunc

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newGateway() *Gateway {
	return &Gateway{Settings: Settings{Grace: defaultGrace, DrainDelay: defaultDrainDelay, ObjectiveShare: defaultObjectiveShare,
		BufferBytes: defaultBufferBytes}}
}

// Validate implements kernel.Validator.
func (g *Gateway) Validate() error {
	switch {
	case g.Listen == "":
		return settings.Field("listen", "must be set")
	case g.ReadyListen == "":
		return settings.Field("ready_listen", "must be set")
	case len(g.Seeds) == 0:
		return settings.Field("seeds", "must name at least one control instance")
	case g.Dialect.Empty():
		return settings.Field("dialect", "must be set")
	}
	return settings.First(
		settings.InRange("peer_port", g.PeerPort, 1, 65535),
		settings.DurationInRange("grace", g.Grace, time.Second, 10*time.Minute),
		settings.DurationInRange("drain_delay", g.DrainDelay, 0, 10*time.Minute),
		settings.InRange("buffer_bytes", g.BufferBytes, 1<<20, 1<<40),
		settings.InRange("objective_share", g.ObjectiveShare, 0.01, 0.99999),
		g.Rollouts.Validate(),
	)
}

// Plugins implements kernel.Nested.
func (g *Gateway) Plugins() map[string][]settings.Plugin {
	return map[string][]settings.Plugin{dialect.Namespace: {g.Dialect}}
}

// Provision implements kernel.Provisioner.
func (g *Gateway) Provision(ctx *kernel.Context) error {
	g.log, g.security, g.id, g.zone = ctx.Log, ctx.TLS, ctx.Instance.ID, ctx.Instance.Zone
	g.metrics = newMetrics(ctx.Stats)
	var err error
	if g.dialect, err = dialect.Load(ctx, g.Dialect); err != nil {
		return err
	}
	callerListener, err := ctx.Listen(g.Listen)
	if err != nil {
		return err
	}
	g.callerListener = httpconn.NewListener(callerListener, httpconn.Limits{Idle: g.idleLimit, Header: readHeaderTimeout, HeaderLines: httpconn.MaxHeaderLines})
	if g.readyListener, err = ctx.Listen(g.ReadyListen); err != nil {
		return err
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.initState()
	ctx.Report("/slo", http.HandlerFunc(g.serveSLOReport))
	return nil
}

// initState creates the components that hold the state of the gateway.
func (g *Gateway) initState() {
	g.buffers = buffers.New(g.BufferBytes)
	g.connections = newConnectionPool(g.metrics, g.handleResponseSignals)
	g.owner = newStateOwner(g.ctx, g.log, g.zone, g.ObjectiveShare)
	if g.Rollouts.Enabled() {
		g.owner.state.enableRollouts(g.id)
	}
	if !g.UpstreamSpeeds && !g.dialect.Features().UpstreamSpeeds {
		g.owner.state.fleet.TreatAsEqual()
	}
	g.crashReporter = newCrashReporter(g)
	g.controlClients, g.pollClients = g.security.NewClients(), g.security.NewClients()
	g.follower = newFollower(g)
	if g.Queue.Enabled || g.dialect.Features().SharedQueue {
		g.queue = newQueueClient(g)
	}
}

// idleLimit returns how long callers may leave a connection idle, as the configuration in
// force says, or zero while there is none.
func (g *Gateway) idleLimit() time.Duration {
	if t := g.follower.table(); t != nil {
		return t.Limits.IdleTimeout
	}
	return 0
}

// Start implements kernel.Runner.
func (g *Gateway) Start(context.Context) error {
	g.log.Info("gateway starts", "address", g.Listen, "seeds", g.Seeds, "grace_ms", g.Grace.Milliseconds())
	g.spawn(g.owner.run)
	g.spawn(g.crashReporter.run)
	if g.Rollouts.Enabled() {
		g.spawn(g.reportRollouts)
	}
	g.follower.start()
	if g.queue != nil {
		g.spawn(g.queue.run)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(g.dialect.Endpoints().Ready, g.serveReady)
	g.requests, g.cancelRequests = context.WithCancelCause(context.Background())
	g.readyServer = peer.NewServer(context.Background(), mux)
	g.readyServer.ReadTimeout, g.readyServer.IdleTimeout = peer.ReadHeaderTimeout, readyIdleTimeout // requests have no body
	g.server = &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: g.callerListener.ConnState, ConnContext: httpconn.ConnContext, DisableGeneralOptionsHandler: true,
		BaseContext: func(net.Listener) context.Context { return g.requests },
	}
	g.spawn(func() { g.serveListener(g.readyServer, g.readyListener) })
	g.spawn(func() { g.serveListener(g.server, g.callerListener) })
	return nil
}

func (g *Gateway) spawn(f func()) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		f()
	}()
}

func (g *Gateway) serveListener(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !g.isStopping() {
		g.log.Error("HTTP server stopped unexpectedly", "address", l.Addr().String(), "error", err)
	}
}

func (g *Gateway) isStopping() bool { return g.stop.Load() != nil }

// isReady reports whether the gateway can serve: it has a configuration, knows
// upstreams, and is not stopping.
func (g *Gateway) isReady() bool {
	return !g.isStopping() && g.follower.table() != nil && g.follower.knowsUpstreams()
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ObserveSignal implements kernel.SignalObserver. From now on the readiness check fails, responses close
// their connections, and no request is begun until ObserveStop.
func (g *Gateway) ObserveSignal(at time.Time) { g.stop.CompareAndSwap(nil, drain.Pending(at)) }

// ObserveStop implements kernel.StopObserver. From now on requests that may outlast the grace period are refused unless an upstream
// has them. The grace period ends with the stop limit at the latest.
func (g *Gateway) ObserveStop(signal kernel.StopSignal) {
	if stop := g.stop.Load(); stop != nil && !stop.IsPending() {
		return
	}
	g.stopSettingsMu.Lock()
	grace := g.Grace
	g.stopSettingsMu.Unlock()
	end := signal.At.Add(grace)
	if !signal.Deadline.IsZero() && signal.Deadline.Before(end) {
		end = signal.Deadline
	}
	g.stop.Store(&drain.Stop{SignalAt: signal.At, CutAt: end.Add(-graceReserve)})
	g.log.Info("draining", "open_requests", g.openRequests.Load(), "grace_ms", end.Sub(signal.At).Milliseconds())
}

// Stop implements kernel.Runner. New connections are accepted until the load balancer has
// noticed that the readiness check fails. The connections that are open then are
// served until the grace period ends: each is closed with its next response, or when it has
// been idle for stopIdleTime. Requests that run when the signal comes and still run at the end are cut off.
func (g *Gateway) Stop(limit context.Context) error {
	deadline, _ := limit.Deadline()
	g.ObserveStop(kernel.StopSignal{At: time.Now(), Deadline: deadline}) // no effect if the kernel has told of the signal
	stop := g.stop.Load()
	g.sleep(time.Until(g.acceptUntil(stop)))
	ctx, cancel := context.WithDeadline(context.Background(), stop.CutAt)
	defer cancel()
	if g.callerListener.Drain(ctx, stopIdleTime) != nil && g.openRequests.Load() > 0 {
		g.log.Warn("requests cut off at the end of the grace period", "open_requests", g.openRequests.Load())
		g.endRunning()
	}
	g.cancelRequests(errGraceOver)
	g.cancel()
	return errors.Join(g.server.Close(), g.readyServer.Close())
}

// acceptUntil returns when a stopping gateway ceases to accept connections. Time is left to
// serve those that are open then.
func (g *Gateway) acceptUntil(stop *drain.Stop) time.Time {
	g.stopSettingsMu.Lock()
	delay := g.DrainDelay
	g.stopSettingsMu.Unlock()
	if available := stop.CutAt.Sub(stop.SignalAt); delay >= available {
		delay = available / 2
	}
	return stop.SignalAt.Add(delay)
}

// errGraceOver is the cause with which the contexts of requests end after the grace period.
var errGraceOver = errors.New("the grace period of this gateway is over")

// endRunning ends the requests that still run, and waits until their callers have the
// error responses.
func (g *Gateway) endRunning() {
	g.cancelRequests(errGraceOver)
	ctx, cancel := context.WithTimeout(context.Background(), finalAnswerTime)
	defer cancel()
	_ = g.callerListener.Drain(ctx, 0) // connections without a whole request are cut off
}

// closeIfStopping makes a response the last one on its connection if the gateway is
// stopping.
func (g *Gateway) closeIfStopping(h http.Header) {
	if g.isStopping() {
		h.Set("Connection", "close")
	}
}

func (g *Gateway) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-g.ctx.Done():
	}
}

// Reload implements kernel.Reloader. The seeds, the grace period and the drain delay can change
// while the process runs, until it is told to stop; a change of the other settings requires a restart.
func (g *Gateway) Reload(next any) {
	reloaded, ok := next.(*Gateway)
	if !ok {
		return
	}
	g.follower.addSeeds(peerAddresses(reloaded.Seeds, reloaded.PeerPort))
	g.stopSettingsMu.Lock()
	defer g.stopSettingsMu.Unlock()
	if g.Grace == reloaded.Grace && g.DrainDelay == reloaded.DrainDelay {
		return
	}
	g.log.Info("grace period changed", "from_ms", g.Grace.Milliseconds(), "to_ms", reloaded.Grace.Milliseconds(),
		"drain_delay_ms", reloaded.DrainDelay.Milliseconds())
	g.Grace, g.DrainDelay = reloaded.Grace, reloaded.DrainDelay
}

// Cleanup implements kernel.Cleaner.
func (g *Gateway) Cleanup() error {
	if g.cancel != nil {
		g.cancel()
		g.connections.close()
		g.controlClients.Close()
		g.pollClients.Close()
	}
	return nil
}

// metrics holds the counters and histograms of a gateway.
type metrics struct {
	requests, refused, failed, aborted                  stats.Counter
	retries, hedges, resumes, repeatedEvents            stats.Counter
	dials, dialFailures, upstreamChecks, silentAttempts stats.Counter
	copies, reports, stalledDials                       stats.Counter
	cutRequests, undelivered                            stats.Counter
	brokenRuns, suspectsHeld, partsHeld                 stats.Counter
	grantFailures, rolloutReportFailures                stats.Counter
	answerMS, firstEventMS, resumeMS, grantMS           stats.Histogram
	queueMetrics
	// registry registers the metrics whose labels are known at run time only.
	registry *stats.Registry
}

func newMetrics(r *stats.Registry) metrics {
	return metrics{
		registry: r,
		requests: r.Counter("gateway_requests_total"), refused: r.Counter("gateway_refused_total"),
		failed: r.Counter("gateway_failed_total"), aborted: r.Counter("gateway_aborted_total"),
		retries: r.Counter("gateway_retries_total"), hedges: r.Counter("gateway_hedges_total"),
		resumes: r.Counter("gateway_resumes_total"), repeatedEvents: r.Counter("gateway_repeated_events_total"),
		dials: r.Counter("gateway_upstream_dials_total"), dialFailures: r.Counter("gateway_upstream_dial_failures_total"),
		upstreamChecks: r.Counter("gateway_upstream_checks_total"), silentAttempts: r.Counter("gateway_silent_attempts_total"),
		answerMS: r.Histogram("gateway_answer_ms"), firstEventMS: r.Histogram("gateway_first_event_ms"),
		copies: r.Counter("gateway_copies_total"), reports: r.Counter("gateway_reports_total"),
		stalledDials: r.Counter("gateway_stalled_dials_total"), cutRequests: r.Counter("gateway_cut_requests_total"), undelivered: r.Counter("gateway_undelivered_total"),
		brokenRuns: r.Counter("gateway_broken_runs_total"), suspectsHeld: r.Counter("gateway_suspects_held_total"),
		partsHeld: r.Counter("gateway_parts_held_total"),
		resumeMS:  r.Histogram("gateway_resume_ms"),
		grantMS:   r.Histogram("gateway_grant_ms"), grantFailures: r.Counter("gateway_grant_failures_total"),
		queueMetrics:          newQueueMetrics(r),
		rolloutReportFailures: r.Counter("gateway_rollout_report_failures_total"),
	}
}
