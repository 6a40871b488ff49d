package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"heatherway.dev/core/registration"
	"heatherway.dev/core/routing"
	"heatherway.dev/heatherway/modules/registry"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/recovery"
)

const (
	// watchTimeout limits one watch call: the longest time that a control instance
	// waits for changes, and a round trip.
	watchTimeout = registry.MaxWatch + 300*time.Millisecond
	// firstWatchTimeout limits the first call to an instance, which does not wait for
	// changes.
	firstWatchTimeout = 800 * time.Millisecond
	// followRetryDelay is the delay before the next instance is tried. It doubles up to
	// maxFollowRetryDelay while none responds, so that a fleet that has restarted does
	// not flood the control instances.
	followRetryDelay    = 50 * time.Millisecond
	maxFollowRetryDelay = 400 * time.Millisecond
	// confirmationTimeout is how long a starting gateway accepts only a configuration
	// that a majority of the control instances has confirmed. A running group confirms
	// within a few milliseconds. After the timeout the control plane is likely to be
	// down, and the gateway serves with the newest configuration that it has received.
	confirmationTimeout = 800 * time.Millisecond
	// rejectedRetryDelay is how long a configuration that this gateway cannot use is not
	// requested again. Instances answer at once while they have a newer configuration than
	// the gateway, so without the delay it would call them thousands of times a second.
	rejectedRetryDelay = 10 * time.Second
)

// follower keeps the gateway's configuration and upstream directory up to date.
type follower struct {
	g       *Gateway
	log     *slog.Logger
	started time.Time
	// current is the routing table of the configuration in force, nil before the first.
	current atomic.Pointer[routing.Table]
	// configured is closed when the first configuration is in force.
	configured chan struct{}
	// unconfirmed is the newest configuration received from any instance; a majority
	// may have a newer one. unconfirmedReceived is closed with the first.
	unconfirmed         atomic.Pointer[routing.Table]
	unconfirmedReceived chan struct{}
	upstreamCount       atomic.Int64
	// rolloutRevision is the revision of the newest state of the roll-outs that was received.
	rolloutRevision atomic.Uint64
	// rejected is the newest configuration that could not be used.
	rejected atomic.Pointer[rejectedConfiguration]
	// notifier tells streams that the incarnation they run on has been replaced.
	notifier *notifier

	mu        sync.Mutex
	directory *registration.Directory
	members   []string
	// seeds are the configured addresses. They are tried as well once failures, the number of
	// failed calls since the last reply, shows that no member can be reached.
	seeds     []string
	failures  int
	following map[string]bool
	// positions holds the position up to which each instance's changes were applied, so
	// that an instance that is followed again does not send its whole directory.
	positions map[string]position
	// subset selects the upstream records that are followed; an instance chooses its
	// initial size. After each reset every instance is asked for the whole subset again.
	subset         registration.Subset
	subsetChosen   bool
	resets         int
	lastAdjustment time.Time
	// hidden is set until the records that were hidden by ended ones have been requested
	// again, at the earliest recoverInterval after lastRecovery.
	hidden         bool
	lastRecovery   time.Time
	sourceSelector *registration.SourceSelector
}

// rejectedConfiguration is the version of a configuration that could not be used, and when
// it was received.
type rejectedConfiguration struct {
	version uint64
	at      time.Time
}

// position is a position in the change logs of one instance.
type position struct{ epoch, change, crash uint64 }

func newFollower(g *Gateway) *follower {
	f := &follower{
		g: g, log: g.log, started: time.Now(), notifier: newNotifier(),
		configured: make(chan struct{}), unconfirmedReceived: make(chan struct{}),
		subset:         registration.Subset{Zone: g.zone, Reader: g.id},
		sourceSelector: registration.NewSourceSelector(g.id, time.Now(), rand.Float64()),
		following:      map[string]bool{}, positions: map[string]position{},
	}
	f.directory = registration.NewReader(f.isNamed)
	f.addSeeds(peerAddresses(g.Seeds, g.PeerPort))
	return f
}

// isNamed reports whether the newest configuration received names a service.
func (f *follower) isNamed(service string) bool {
	t := f.unconfirmed.Load()
	if t == nil {
		return false
	}
	_, named := t.Service(service)
	return named
}

// peerAddresses replaces the ports of the addresses by the peer port.
func peerAddresses(addrs []string, port int) []string {
	return registry.PeerAddresses(addrs, net.JoinHostPort("", strconv.Itoa(port)))
}

// addMembers adds addresses of control instances.
func (f *follower) addMembers(addrs []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = appendMissing(f.members, addrs)
}

// addSeeds adds configured addresses of control instances.
func (f *follower) addSeeds(addrs []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members, f.seeds = appendMissing(f.members, addrs), appendMissing(f.seeds, addrs)
}

// appendMissing returns list with the addresses that it lacks.
func appendMissing(list, addrs []string) []string {
	list = slices.Clone(list)
	for _, a := range addrs {
		if !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}

// failuresPerMember is the number of failed calls for each member after which the seeds are
// tried as well.
const failuresPerMember = 2

// table returns the configuration in force, or nil before the first one.
func (f *follower) table() *routing.Table { return f.current.Load() }

func (f *follower) knowsUpstreams() bool { return f.upstreamCount.Load() > 0 }

// startupPeriod is the time after its start in which a gateway may not know every
// running upstream yet: upstreams announce themselves about once a second, and control
// instances that were all lost restart with empty directories too.
const startupPeriod = 3 * time.Second

// startingUp reports whether the gateway is within its startup period.
func (f *follower) startingUp() bool { return time.Since(f.started) < startupPeriod }

func (f *follower) start() {
	for range registration.SourcesPerReader {
		f.g.spawn(func() { f.follow(f.g.ctx) })
	}
}

// follow watches one control instance after another.
func (f *follower) follow(ctx context.Context) {
	pause := followRetryDelay
	for ctx.Err() == nil {
		if addr, ok := f.claim(); ok {
			resetDelay := false
			// A panic on the content of a reply must not end the process.
			_ = recovery.Run(f.log, "control instance "+addr, func() { resetDelay = f.watch(ctx, addr) })
			if resetDelay {
				pause = followRetryDelay
			}
			f.release(addr)
		}
		f.g.sleep(pause/2 + rand.N(pause))
		pause = min(2*pause, maxFollowRetryDelay)
	}
}

// claim picks an instance that is not followed yet.
func (f *follower) claim() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := slices.Clone(f.members)
	if f.failures >= failuresPerMember*len(f.members) {
		candidates = appendMissing(candidates, f.seeds)
	}
	free := slices.DeleteFunc(candidates, func(a string) bool { return f.following[a] })
	addr := f.sourceSelector.Next(time.Now(), free)
	if addr != "" {
		f.following[addr] = true
	}
	return addr, addr != ""
}

// shouldSwitch reports whether to leave an instance for one with a higher rank.
func (f *follower) shouldSwitch(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sourceSelector.ShouldSwitch(time.Now(), addr, f.members, rand.Float64())
}

// recordFailure records that an instance is currently unusable.
func (f *follower) recordFailure(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures++
	f.sourceSelector.RecordFailure(time.Now(), addr, appendMissing(f.members, f.seeds))
}

// followed returns the addresses of the control instances that are currently followed.
func (f *follower) followed() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.following))
}

func (f *follower) release(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.following, addr)
}

// watch follows one instance until it fails, knows no leader or is replaced by one with a
// higher rank. It reports whether the delay before the next instance starts again at its
// minimum. While no instance knows a leader,
// hundreds of gateways that switch immediately would overload the instances and prevent
// an election.
func (f *follower) watch(ctx context.Context, addr string) (resetDelay bool) {
	client := f.g.security.NewClient(addr)
	defer client.Close()
	last := f.position(addr)
	args := &registry.WatchArgs{Epoch: last.epoch, Change: last.change, Crash: last.crash}
	resets := f.setSubset(args)
	for first := true; ctx.Err() == nil; first = false {
		if current := f.setSubset(args); current != resets {
			resets, args.Epoch = current, 0
		}
		args.Version = f.receivedVersion()
		args.FollowRollouts, args.Rollouts = f.g.Rollouts.Enabled(), f.rolloutRevision.Load()
		// A starting gateway cannot tell a stale configuration from the newest one.
		args.Confirm = f.version() == 0 && f.newestVersion() > 0
		reply, err := f.call(ctx, client, args, first)
		if err != nil {
			// Failed first calls repeat many times a second, so they are logged at debug level.
			level := slog.LevelDebug
			if !first {
				level = slog.LevelWarn
			}
			f.recordFailure(addr)
			f.log.Log(ctx, level, "control instance lost", "address", addr, "version", args.Version, "error", err)
			return resetDelay
		}
		if reply.Relay { // the instance holds no log; one of reply.Members must be watched
			f.addMembers(reply.Members)
			f.recordFailure(addr)
			return true
		}
		f.applyReply(addr, reply)
		if first && reply.Epoch != last.epoch {
			f.g.sendCrashes(ctx, client)
		}
		args.Epoch, args.Change, args.Crash = reply.Epoch, reply.Change, reply.Crash
		if args.Choose && !f.adoptSubset(reply.Halvings) {
			args.Epoch = 0 // another instance chose a different size before
		}
		if first {
			f.log.Info("control instance followed", "address", addr, "version", reply.Version, "upstreams", len(reply.Upstreams), "led", reply.Led)
		}
		if !reply.Led && f.version() > 0 { // the instance receives no changes
			f.log.Warn("control instance knows no leader", "address", addr)
			f.recordFailure(addr)
			return false
		}
		resetDelay = reply.Led
		if f.shouldSwitch(addr) {
			f.log.Info("switching to a control instance with a higher rank", "address", addr)
			return true
		}
	}
	return resetDelay
}

func (f *follower) position(addr string) position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.positions[addr]
}

func (f *follower) call(ctx context.Context, client *peer.Client, args *registry.WatchArgs, first bool) (*registry.WatchReply, error) {
	limit := watchTimeout
	if first {
		limit = firstWatchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply := &registry.WatchReply{}
	return reply, client.Call(ctx, registry.ServiceName+".Watch", args, reply)
}

func (f *follower) version() uint64 {
	if t := f.table(); t != nil {
		return t.Version
	}
	return 0
}

// receivedVersion returns the version after which control instances are asked for a newer
// one: the newest version received, or the one that was rejected a short time ago.
func (f *follower) receivedVersion() uint64 {
	newest := f.newestVersion()
	if r := f.rejected.Load(); r != nil && time.Since(r.at) < rejectedRetryDelay {
		return max(newest, r.version)
	}
	return newest
}

// newestVersion returns the newest usable version received, confirmed or not.
func (f *follower) newestVersion() uint64 {
	if t := f.unconfirmed.Load(); t != nil {
		return t.Version
	}
	return 0
}

// applyReply applies the changes that an instance has sent.
func (f *follower) applyReply(addr string, reply *registry.WatchReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = 0
	if len(reply.Members) > 1 { // an instance that knows no others lists only itself
		f.members = reply.Members
	}
	if len(reply.Runs) > 0 {
		_ = recovery.Run(f.log, "broken runs", func() { f.g.mergeCrashes(reply.Runs) })
	}
	if reply.Rollouts != nil { // before the upstreams whose versions it decides about
		f.adoptRollouts(*reply.Rollouts)
	}
	now, complete := time.Now(), true
	for _, u := range reply.Upstreams {
		if u.State == registration.Lost && !reply.Led {
			complete = false
			continue // a partitioned instance hears from no upstream
		}
		// A panic over one record must not hold back the others or the configuration.
		_ = recovery.Run(f.log, "record of an upstream", func() { f.observe(now, u) })
	}
	if complete {
		f.positions[addr] = position{reply.Epoch, reply.Change, reply.Crash}
	}
	f.adjustSubset(now)
	f.upstreamCount.Store(int64(f.directory.Len()))
	// Upstreams first, since requests that wait for a configuration need them too.
	if len(reply.Body) > 0 && reply.Version > f.newestVersion() {
		f.receiveConfiguration(reply)
	}
	if f.newestVersion() > f.version() && (f.version() > 0 || reply.Confirmed || time.Since(f.started) >= confirmationTimeout) {
		f.activateNewest()
	}
}

// receiveConfiguration stores a configuration that may not be the newest one.
func (f *follower) receiveConfiguration(reply *registry.WatchReply) {
	var configuration *routing.Configuration
	var err error
	if panicked := recovery.Run(f.log, "configuration", func() {
		if configuration, err = f.g.dialect.Configuration(reply.Body); err == nil {
			err = configuration.Validate()
		}
	}); panicked != nil {
		err = panicked
	}
	if err != nil {
		f.rejected.Store(&rejectedConfiguration{reply.Version, time.Now()})
		f.log.Error("received configuration is invalid and was ignored", "version", reply.Version, "error", fmt.Sprintf("%.256s", err))
		return
	}
	f.setUnconfirmed(configuration)
}

func (f *follower) setUnconfirmed(configuration *routing.Configuration) {
	first := f.newestVersion() == 0
	f.unconfirmed.Store(routing.NewTable(configuration))
	f.g.owner.post(func(s *state) { s.fleet.SetEngines(configuration.Services) })
	if first {
		close(f.unconfirmedReceived)
	}
}

// activateNewest puts the newest configuration received in force.
func (f *follower) activateNewest() {
	previous, t := f.version(), f.unconfirmed.Load()
	f.current.Store(t)
	if previous == 0 {
		close(f.configured)
	}
	routes, services, organisations := t.Size()
	f.log.Info("configuration in force", "version", t.Version, "previous", previous, "routes", routes,
		"services", services, "organisations", organisations)
}

// subscribe subscribes to an incarnation that a stream has been placed on. The incarnation may
// have ended since the placement, when nobody subscribed to it, so the directory is read once more.
func (f *follower) subscribe(u registration.Upstream) *subscription {
	s := f.notifier.subscribe(u)
	f.mu.Lock()
	now, known := f.directory.Get(u.ID)
	f.mu.Unlock()
	switch {
	case known && now.StartedMS > u.StartedMS:
		f.notifier.publishReplaced(u)
	case known && now.StartedMS == u.StartedMS && now.Replaced:
		f.g.spawn(func() { f.g.checkReplaced(f.g.ctx, now) })
	}
	return s
}

// isLeaving reports whether an upstream has announced that it is about to stop.
func (f *follower) isLeaving(u registration.Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, ok := f.directory.Get(u.ID)
	return ok && now.StartedMS == u.StartedMS && (now.State == registration.Draining || now.Leaving)
}

// observe applies a record of the directory, unless another instance has already sent a
// newer one.
func (f *follower) observe(now time.Time, u registration.Upstream) {
	lastChange := f.directory.LastChange()
	switch f.directory.Observe(now, u) {
	case registration.Changed:
	case registration.Malformed:
		f.log.Warn("malformed upstream record ignored", "upstream", fmt.Sprintf("%.64s", u.ID), "state", int(u.State), "error", u.Validate())
		return
	default:
		return
	}
	for _, c := range f.directory.ChangedSince(lastChange) {
		f.g.owner.post(func(s *state) { s.fleet.SetUpstream(c) })
		f.log.Info("upstream changed", "upstream", c.ID, "service", c.Service, "address", c.Addr, "upstream_zone", c.Zone, "upstream_version", c.Version,
			"state", c.State.String(), "started_ms", c.StartedMS, "seq", c.Seq, "replaced", c.Replaced, "returned", c.Returned)
		switch {
		case c.State < registration.Lost:
			f.notifier.publishIncarnation(c)
		case c.Replaced && f.notifier.isWatched(c):
			f.g.spawn(func() { f.g.checkReplaced(f.g.ctx, c) })
		}
		if f.g.trackedRequests.Load() == 0 {
			continue
		}
		addr := ""
		if f.directory.IsAloneAt(c) {
			addr = c.Addr
		}
		f.g.trackUpstreamChange(c, addr)
	}
}
