// Package registry implements the role of the control instances of a gateway fleet. It
// stores the routing configuration in a replicated log and the directory of
// upstreams as soft state, and serves both to the gateways.
package registry

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/raft"
	"heatherway.dev/heatherway/internal/disk"
	"heatherway.dev/heatherway/internal/httpconn"
	"heatherway.dev/heatherway/modules/control/replica"
	"heatherway.dev/heatherway/modules/dialect"
	"heatherway.dev/kernel"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/settings"
	"heatherway.dev/kernel/stats"
)

func init() {
	kernel.Register(kernel.ModuleInfo{ID: "role.registry", New: func() any { return &Registry{Settings: Settings{Catchup: defaultCatchup}} }})
}

const (
	// group is the replicated log of the configuration.
	group replica.Group = 0
	// originGroup is the group of the log that holds the software versions of streams. It is a
	// group of its own, so that its snapshots do not contain the configuration and a release
	// that does not know it ignores it.
	originGroup replica.Group = 1
	// rolloutGroup is the group of the log that holds the roll-outs. It exists only where they are enabled.
	rolloutGroup replica.Group = 2
	// dataFolder is the folder of the log within the instance's data folder.
	dataFolder = "registry"
	// compactEntries bounds the log between snapshots: a configuration with
	// hundreds of routes has 100 KB and the disks of control instances 64 MB.
	compactEntries = 64
	// segmentBytes is small enough for such a disk to hold the segments that
	// accumulate before a compaction.
	segmentBytes = 4 << 20
	// readHeaderTimeout bounds how long a caller may take to send its headers.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds how long a caller may take to send a whole request. Operators
	// and upstreams try another instance long before.
	readTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept open. Upstreams announce
	// themselves about every second.
	idleTimeout = 2 * time.Minute
	// defaultCatchup is long enough for a small fleet to add an instance.
	defaultCatchup = 4 * time.Second
	// minCatchup is the shortest accepted setting. One below replica.ReplacementTime is kept
	// only if no further leader is lost while an instance is replaced.
	minCatchup = time.Second
	// maxHeaderBytes bounds the headers of a caller.
	maxHeaderBytes = 64 << 10
)

// Settings are the settings of the role.
type Settings struct {
	// Listen is the address that operators and upstreams call.
	Listen string `yaml:"listen"`
	// PeerListen is the address for gateways and other control instances. It is
	// also the ID of this instance.
	PeerListen string `yaml:"peer_listen"`
	// Seeds are addresses of a few control instances. Their port is replaced by
	// that of peer_listen.
	Seeds []string `yaml:"seeds"`
	// Bootstrap is true at the first start of the whole system, with empty disks.
	Bootstrap bool `yaml:"bootstrap"`
	// Losses is the number of control instances whose simultaneous loss is tolerated.
	Losses int `yaml:"losses"`
	// Catchup is the time after which an instance that has started no longer counts as lost. An
	// instance that it replaces must have no vote any more by then.
	Catchup time.Duration `yaml:"catchup"`
	// AnnounceInterval is the interval at which an upstream announces itself.
	AnnounceInterval time.Duration `yaml:"announce_interval"`
	// Queue are the settings of the queues of streams.
	Queue QueueSettings `yaml:"queue"`
	// Rollouts enables roll-outs that an operator orders. It is the same at all instances.
	Rollouts RolloutSettings `yaml:"rollouts"`
	// Dialect selects the protocol of operators and upstreams.
	Dialect settings.Plugin `yaml:"dialect"`
}

// Registry is the module that implements the role.
type Registry struct {
	Settings `yaml:",inline"`

	log      *slog.Logger
	stats    *stats.Registry
	security *peer.Security
	dialect  dialect.Dialect
	folder   string
	// files are the file operations of all saved state.
	files disk.Files
	// introducer is set on an instance without a disk, which holds no log and forwards
	// calls to instances that do.
	introducer *replica.Introducer

	operators net.Listener
	// operatorConns holds the connections of operators and upstreams.
	operatorConns *httpconn.Listener
	// cancelCalls ends the contexts of the calls of operators and upstreams.
	cancelCalls context.CancelFunc
	peers       net.Listener
	servers     []*http.Server
	stopping    atomic.Bool

	configuration *configuration
	directory     *directory
	changes       *changeNotifier
	confirmations *confirmationMerger
	limits        *limitOwner
	origins       *originLedger
	// queues is nil if the queues of streams are off.
	queues *queueOwner
	// rollouts is nil if they are not enabled.
	rollouts *rollouts
	clients  *peer.Clients

	mu      sync.Mutex
	replica *replica.Replica
	// logStopping is set once Stop closes the log.
	logStopping bool
	// logFailed is set from a failure of the log until it knows a leader again.
	logFailed atomic.Bool
	// lastMembers are the members of the log when it was last open.
	lastMembers atomic.Pointer[[]replica.Peer]

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// Validate implements kernel.Validator.
func (r *Registry) Validate() error {
	switch {
	case r.Listen == "":
		return settings.Field("listen", "must be set")
	case r.PeerListen == "":
		return settings.Field("peer_listen", "must be set")
	case r.Dialect.Empty():
		return settings.Field("dialect", "must be set")
	}
	return settings.First(
		settings.InRange("losses", r.Losses, 0, 4),
		settings.DurationInRange("catchup", r.Catchup, minCatchup, time.Minute),
		settings.DurationInRange("announce_interval", r.AnnounceInterval, 100*time.Millisecond, time.Minute),
		r.Rollouts.Validate(),
	)
}

// Plugins implements kernel.Nested.
func (r *Registry) Plugins() map[string][]settings.Plugin {
	return map[string][]settings.Plugin{dialect.Namespace: {r.Dialect}}
}

// Provision implements kernel.Provisioner.
func (r *Registry) Provision(ctx *kernel.Context) error {
	r.log, r.stats, r.security = ctx.Log, ctx.Stats, ctx.TLS
	var err error
	if r.dialect, err = dialect.Load(ctx, r.Dialect); err != nil {
		return err
	}
	if ctx.Instance.Data != "" {
		r.folder = filepath.Join(ctx.Instance.Data, dataFolder)
	}
	if r.peers, err = ctx.Listen(r.PeerListen); err != nil {
		return err
	}
	if r.operators, err = ctx.Listen(r.Listen); err != nil {
		return err
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.initState()
	ctx.Report(QueuesPath, http.HandlerFunc(r.serveQueues))
	return nil
}

// initState creates the components that hold the state of the registry.
func (r *Registry) initState() {
	if r.files == nil {
		r.files = disk.OS
	}
	r.clients = r.security.NewClients()
	r.changes = newChangeNotifier()
	r.confirmations = &confirmationMerger{confirmOnce: r.confirmOnce}
	r.configuration = newConfiguration(r.log, r.changes.notify)
	r.directory = newDirectory(r)
	r.limits = newLimitOwner()
	r.origins = newOriginLedger(r)
	if r.Queue.Enabled || r.dialect.Features().SharedQueue {
		r.queues = newQueueOwner(r)
	}
	if r.Rollouts.Enabled() {
		r.rollouts = newRollouts(r, r.Rollouts)
	}
	if r.folder == "" {
		r.introducer = replica.NewIntroducer(r.PeerListen, slices.Sorted(maps.Keys(r.machines())), replica.Discovery{Seeds: r.seedAddresses(), Bootstrap: r.Bootstrap}, r.clients)
	}
}

// Start implements kernel.Runner.
func (r *Registry) Start(context.Context) error {
	r.log.Info("registry starts", "peer_address", r.PeerListen, "seeds", r.Seeds, "bootstrap", r.Bootstrap, "losses", r.Losses, "relay", r.folder == "")
	if t := replica.ReplacementTime(r.Losses); r.Catchup < t {
		r.log.Warn("a replacement can take longer than catchup if other leaders are lost meanwhile", "catchup_ms", r.Catchup.Milliseconds(), "replacement_ms", t.Milliseconds())
	}
	if r.introducer != nil {
		r.runInBackground(func() { r.introducer.Run(r.ctx) })
	} else {
		r.runInBackground(r.superviseLog)
		r.runInBackground(func() { r.directory.saver.run(r.ctx) })
		r.runInBackground(func() { r.directory.crashesSaver.run(r.ctx) })
		r.runInBackground(func() { r.directory.departuresSaver.run(r.ctx) })
	}
	r.runInBackground(func() { r.directory.run(r.ctx) })
	r.runInBackground(func() { r.limits.run(r.ctx, r.log) })
	r.runInBackground(func() { r.origins.run(r.ctx) })
	if r.queues != nil {
		r.runInBackground(func() { r.queues.run(r.ctx) })
	}
	if r.rollouts != nil && r.introducer == nil {
		r.runInBackground(func() { r.rollouts.run(r.ctx) })
	}
	mux := http.NewServeMux()
	mux.Handle(peer.RPCPath, &peer.Handler{Security: r.security, Services: r.services})
	r.serve(r.peers, &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return r.ctx }})
	r.operatorConns = httpconn.NewListener(r.operators, httpconn.Limits{Idle: httpconn.FixedIdle(idleTimeout), Header: readHeaderTimeout, HeaderLines: httpconn.MaxHeaderLines})
	calls, cancelCalls := context.WithCancel(context.Background())
	r.cancelCalls = cancelCalls
	r.serve(r.operatorConns, &http.Server{Handler: httpconn.CloseWhen(r.stopping.Load, r.operatorMux()), ConnState: r.operatorConns.ConnState,
		BaseContext: func(net.Listener) context.Context { return calls }})
	return nil
}

func (r *Registry) runInBackground(f func()) {
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		f()
	}()
}

// serve sets the limits of a server and runs it on a listener.
func (r *Registry) serve(l net.Listener, s *http.Server) {
	s.ReadHeaderTimeout, s.ReadTimeout, s.IdleTimeout, s.MaxHeaderBytes = readHeaderTimeout, readTimeout, idleTimeout, maxHeaderBytes
	r.servers = append(r.servers, s)
	r.runInBackground(func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !r.stopping.Load() {
			r.log.Error("HTTP server stopped unexpectedly", "address", l.Addr().String(), "error", err)
		}
	})
}

// services returns the net/rpc services of the peer listener.
func (r *Registry) services(peer.Roles) map[string]any {
	return map[string]any{ServiceName: &Service{r}, replica.ServiceName: &raftService{r}}
}

// superviseLog runs the replicated log and opens it again after a failure, so that
// an instance with a full disk recovers without intervention once the disk has space.
func (r *Registry) superviseLog() {
	for r.ctx.Err() == nil {
		rep, err := r.openLog()
		if err != nil {
			r.log.Error("cannot open the replicated log; retrying", "error", err, "retry_ms", replica.ReopenDelay.Milliseconds())
		} else if stopped := r.runLog(rep); stopped {
			return
		}
		select {
		case <-time.After(replica.ReopenDelay):
		case <-r.ctx.Done():
		}
	}
}

// machines returns the state machine of each group of the log.
func (r *Registry) machines() map[replica.Group]replica.StateMachine {
	m := map[replica.Group]replica.StateMachine{group: r.configuration, originGroup: r.origins}
	if r.rollouts != nil {
		m[rolloutGroup] = r.rollouts
	}
	return m
}

func (r *Registry) openLog() (*replica.Replica, error) {
	rep, err := replica.Open(replica.Options{
		Self: raft.MemberID(r.PeerListen), Folder: r.folder, Security: r.security, Log: r.log, Stats: r.stats,
		Machines: r.machines(),
		Discovery: &replica.Discovery{
			Seeds: r.seedAddresses(), Bootstrap: r.Bootstrap, MinVoters: 2*r.Losses + 1, Catchup: r.Catchup,
		},
		CompactEntries: compactEntries, SegmentBytes: segmentBytes, Files: r.files, KeepLeaders: true,
	})
	if err != nil {
		return nil, err
	}
	return rep, rep.Start(r.ctx)
}

// runLog waits until the log ends, and reports whether Stop closes it.
func (r *Registry) runLog(rep *replica.Replica) (stopped bool) {
	r.mu.Lock()
	r.replica = rep
	r.mu.Unlock()
	select {
	case <-rep.Ended():
		if err := rep.Err(); err != nil { // a planned stop ends the log without an error
			r.logFailed.Store(true)
			r.log.Error("replicated log stopped after a failure", "error", err)
		}
	case <-r.ctx.Done():
	}
	r.mu.Lock()
	stopped = r.logStopping
	if !stopped {
		r.replica = nil
	}
	r.mu.Unlock()
	if stopped {
		return true
	}
	if err := rep.Kill(); err != nil {
		r.log.Warn("cannot close the replicated log", "error", err)
	}
	return false
}

// currentReplica returns the open log, or nil if there is none.
func (r *Registry) currentReplica() *replica.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica
}

// seedAddresses returns the peer addresses of the seeds.
func (r *Registry) seedAddresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return PeerAddresses(r.Seeds, r.PeerListen)
}

// PeerAddresses returns addrs with their ports replaced by that of portSource. Addresses
// without a port are left out.
func PeerAddresses(addrs []string, portSource string) []string {
	_, port, err := net.SplitHostPort(portSource)
	if err != nil {
		return nil
	}
	out := make([]string, 0, len(addrs))
	for _, a := range addrs {
		host, _, err := net.SplitHostPort(a)
		if err != nil {
			continue
		}
		out = append(out, net.JoinHostPort(host, port))
	}
	return out
}

// maxDrainIdle limits how long a stopping instance keeps an idle connection of an operator or
// an upstream open. Upstreams announce themselves on a kept connection, so the time is one and
// a half of their intervals; with five, the instance would save them as lost.
const maxDrainIdle = 1500 * time.Millisecond

// Stop implements kernel.Runner. It first answers the calls of operators and upstreams that
// are under way or arrive on open connections, since they need the log.
func (r *Registry) Stop(ctx context.Context) error {
	r.stopping.Store(true)
	drainIdle := min(r.AnnounceInterval*3/2, maxDrainIdle)
	limit := readTimeout // no call takes longer to arrive
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline)/2) // the rest is for the transfer of leadership
	}
	r.drainCalls(ctx, limit, drainIdle)
	var err error
	r.mu.Lock()
	rep := r.replica
	r.logStopping = rep != nil
	r.mu.Unlock()
	if rep != nil {
		// The log answers the other instances until it has given up its leadership and its vote.
		err = rep.Stop(ctx)
		r.mu.Lock()
		r.replica = nil
		r.mu.Unlock()
	}
	r.cancel()
	for _, s := range r.servers {
		err = errors.Join(err, s.Close())
	}
	r.clients.Close()
	return errors.Join(err, r.waitBackground(ctx))
}

// answerTime is the part of the time for calls in which those that still run are answered. They
// wait for a majority, which answers other instances.
const answerTime = 150 * time.Millisecond

// drainCalls serves the open connections of operators and upstreams for at most limit, and answers
// the calls that still run then.
func (r *Registry) drainCalls(ctx context.Context, limit, maxIdle time.Duration) {
	serve, cancel := context.WithTimeout(ctx, limit-answerTime)
	defer cancel()
	err := r.operatorConns.Drain(serve, maxIdle)
	r.cancelCalls()
	if err == nil {
		return
	}
	answer, cancelAnswer := context.WithTimeout(ctx, answerTime)
	defer cancelAnswer()
	if r.operatorConns.Drain(answer, 0) != nil {
		r.log.Warn("connections of operators or upstreams cut off at the stop")
	}
}

// waitBackground waits for the background goroutines to end. They must not write files after
// another process has opened the folder.
func (r *Registry) waitBackground(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		r.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "background goroutines have not ended")
	}
}

// Reload implements kernel.Reloader. Only the seeds may change at run time; other
// settings need a restart.
func (r *Registry) Reload(next any) {
	n, ok := next.(*Registry)
	if !ok {
		return
	}
	r.mu.Lock()
	r.Seeds = n.Seeds
	rep := r.replica
	r.mu.Unlock()
	if rep != nil {
		rep.AddSeeds(PeerAddresses(n.Seeds, r.PeerListen))
	}
}

// Cleanup implements kernel.Cleaner.
func (r *Registry) Cleanup() error {
	if r.cancel != nil {
		r.cancel()
	}
	return nil
}
