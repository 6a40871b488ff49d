package gateway

import (
	"context"
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
	// watchers is the number of control instances that a gateway follows at a
	// time; the second covers the loss or isolation of the first.
	watchers = 2
	// watchLimit bounds one call: the longest wait of the other end and a round
	// trip.
	watchLimit = registry.MaxWatch + 300*time.Millisecond
	// firstWatchLimit bounds the first call to an instance, which does not wait
	// for changes.
	firstWatchLimit = 800 * time.Millisecond
	// followRetry is the pause before the next instance is tried. It doubles up to
	// mostFollowRetry while none answers, so that a fleet that has restarted does
	// not flood the control instances.
	followRetry     = 50 * time.Millisecond
	mostFollowRetry = 400 * time.Millisecond
	// unconfirmedAfter is how long a gateway that starts insists on a
	// configuration that a majority confirms. Later it takes what an instance
	// holds: the leader of a running group confirms within a few milliseconds, and
	// during an outage of control serving goes on.
	unconfirmedAfter = 800 * time.Millisecond
)

// follower keeps the configuration and the upstreams of a gateway up to date.
type follower struct {
	g       *Gateway
	log     *slog.Logger
	started time.Time
	current atomic.Pointer[routing.Table]
	// configured is closed with the first configuration.
	configured chan struct{}
	// unconfirmed is the newest configuration that an instance holds; a majority
	// may have a newer one. seen is closed with the first.
	unconfirmed atomic.Pointer[routing.Table]
	seen        chan struct{}
	count       atomic.Int64
	// replaced tells streams that the incarnation they run on has ended.
	replaced *broadcast

	mu        sync.Mutex
	directory *registration.Directory
	members   []string
	following map[string]bool
	// positions says for each instance what has been taken over from it, so that
	// one which is followed again does not send its whole directory.
	positions map[string]position
	// subset says which records are followed, once an instance has chosen its size. Each
	// widening asks every instance for its whole part anew.
	subset   registration.Subset
	chosen   bool
	widened  int
	adjusted time.Time
	// failed is when each instance failed last, nextMove when this gateway may next leave one
	// that works.
	failed   map[string]time.Time
	nextMove time.Time
}

// position is the place in the changes of one instance.
type position struct{ epoch, change, crash uint64 }

func newFollower(g *Gateway) *follower {
	f := &follower{
		g: g, log: g.log, started: time.Now(), replaced: newBroadcast(),
		configured: make(chan struct{}), seen: make(chan struct{}),
		directory: registration.New(), subset: registration.Subset{Zone: g.zone, Reader: g.id}, nextMove: time.Now().Add(movePause()),
		following: map[string]bool{}, failed: map[string]time.Time{}, positions: map[string]position{},
	}
	f.members = peerAddresses(g.Seeds, g.PeerPort)
	return f
}

// peerAddresses replaces the ports of addresses.
func peerAddresses(addrs []string, port int) []string {
	return registry.PeerAddresses(addrs, net.JoinHostPort("", strconv.Itoa(port)))
}

// addMembers adds addresses at which control instances may be found.
func (f *follower) addMembers(addrs []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range addrs {
		if !slices.Contains(f.members, a) {
			f.members = append(f.members, a)
		}
	}
}

// table returns the configuration in force, nil before the first one.
func (f *follower) table() *routing.Table { return f.current.Load() }

func (f *follower) knowsUpstreams() bool { return f.count.Load() > 0 }

// settleTime is how long after its start a gateway may not yet know an upstream
// that runs: upstreams announce themselves every second or so, and after the
// loss of all control instances these start with an empty directory too.
const settleTime = 3 * time.Second

// settling tells whether the gateway has started a moment ago.
func (f *follower) settling() bool { return time.Since(f.started) < settleTime }

func (f *follower) start() {
	for range watchers {
		f.g.run(func() { f.follow(f.g.ctx) })
	}
}

// follow watches one control instance after the other.
func (f *follower) follow(ctx context.Context) {
	pause := followRetry
	for ctx.Err() == nil {
		if addr, ok := f.claim(); ok {
			useful := false
			// What an instance sends must not end the process.
			_ = recovery.Run(f.log, "control instance "+addr, func() { useful = f.watch(ctx, addr) })
			if useful {
				pause = followRetry
			}
			f.release(addr)
		}
		f.g.sleep(pause/2 + rand.N(pause))
		pause = min(2*pause, mostFollowRetry)
	}
}

const (
	// failedMemory is how long an instance that has failed comes after the others. One that
	// has been killed is back after a second or two.
	failedMemory = 2 * time.Second
	// moveMemory is how long it must not have failed before a gateway leaves another one for
	// it. One that stays away is no member any more by then.
	moveMemory = 30 * time.Second
	// moveInterval is the mean pause before a gateway leaves an instance that works for one
	// that ranks higher. The new one sends all that is followed, so gateways do not move
	// together.
	moveInterval = 10 * time.Second
)

// claim picks the instance that ranks highest for this gateway and is not followed yet;
// those that have just failed come last, the one that failed first before the others.
func (f *follower) claim() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	free := slices.DeleteFunc(registration.Rank(f.g.id, f.members), func(a string) bool { return f.following[a] })
	slices.SortStableFunc(free, func(a, b string) int { return f.failure(now, a).Compare(f.failure(now, b)) })
	if len(free) == 0 {
		return "", false
	}
	f.following[free[0]] = true
	return free[0], true
}

// failure is when an instance has failed, zero if it has not lately.
func (f *follower) failure(now time.Time, addr string) time.Time {
	if at := f.failed[addr]; now.Sub(at) < failedMemory {
		return at
	}
	return time.Time{}
}

// moves tells whether a gateway that follows an instance is to leave it for one that ranks
// higher: most start at the few seeds, and after the loss of an instance at the others.
func (f *follower) moves(now time.Time, addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Before(f.nextMove) {
		return false
	}
	sound := slices.DeleteFunc(registration.Rank(f.g.id, f.members), func(a string) bool { return now.Sub(f.failed[a]) < moveMemory })
	if len(sound) <= watchers || slices.Contains(sound[:watchers], addr) {
		return false
	}
	f.nextMove = now.Add(movePause())
	return true
}

func movePause() time.Duration { return moveInterval/2 + rand.N(moveInterval) }

// followed returns the control instances that are followed now.
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

// fail notes that an instance is of no use now.
func (f *follower) fail(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.failed, func(a string, _ time.Time) bool { return !slices.Contains(f.members, a) })
	f.failed[addr] = time.Now()
}

// watch follows one instance until it fails or knows no leader. It tells whether
// the next instance may be tried at once. While none knows a leader, hundreds of
// gateways that go round at once would keep the instances from electing one.
func (f *follower) watch(ctx context.Context, addr string) (useful bool) {
	client := f.g.security.NewClient(addr)
	defer client.Close()
	at := f.position(addr)
	args := &registry.WatchArgs{Epoch: at.epoch, Change: at.change, Crash: at.crash}
	widened := f.asks(args)
	for first := true; ctx.Err() == nil; first = false {
		if now := f.asks(args); now != widened {
			widened, args.Epoch = now, 0
		}
		args.Version = f.newest()
		args.Confirm = f.version() == 0 && args.Version > 0
		reply, err := f.call(ctx, client, args, first)
		if err != nil {
			// An instance that was not followed yet is tried again many times a second.
			level := slog.LevelDebug
			if !first {
				level = slog.LevelWarn
			}
			f.fail(addr)
			f.log.Log(ctx, level, "control instance lost", "address", addr, "version", args.Version, "error", err)
			return useful
		}
		if reply.Relay {
			f.addMembers(reply.Members)
			f.fail(addr)
			return true
		}
		f.take(addr, reply)
		if first && reply.Epoch != at.epoch {
			f.g.tellCrashes(ctx, client)
		}
		args.Epoch, args.Change, args.Crash = reply.Epoch, reply.Change, reply.Crash
		if args.Choose && !f.adopted(reply.Halvings) {
			args.Epoch = 0 // another instance has chosen another size before
		}
		if first {
			f.log.Info("control instance followed", "address", addr, "version", reply.Version, "upstreams", len(reply.Upstreams), "led", reply.Led)
		}
		if !reply.Led && f.version() > 0 {
			f.log.Warn("control instance knows no leader", "address", addr)
			f.fail(addr)
			return false
		}
		useful = reply.Led
		if f.moves(time.Now(), addr) {
			f.log.Info("control instance left for one that ranks higher", "address", addr)
			return true
		}
	}
	return useful
}

func (f *follower) position(addr string) position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.positions[addr]
}

// asks sets the subset that a call asks for. It returns how often that was widened.
func (f *follower) asks(args *registry.WatchArgs) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	args.Subset, args.Choose = f.subset, !f.chosen
	return f.widened
}

// adopted takes over the size of the subset that an instance has chosen, or tells whether
// it is the one in force.
func (f *follower) adopted(halvings map[string]int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.chosen {
		f.subset.Halvings, f.chosen = halvings, true
		if len(halvings) > 0 {
			f.log.Info("part of the upstreams followed", "halvings", halvings)
		}
	}
	return maps.Equal(f.subset.Halvings, halvings)
}

// adjustInterval is the pause between two looks at the size of the subset. A fleet grows
// or shrinks by half in minutes.
const adjustInterval = time.Second

// endedMemory is how long an upstream that has ended is remembered. Control instances
// forget it after a minute; a late record of it must not come back here before.
const endedMemory = 10 * time.Minute

// forget takes upstreams from the placements; what runs there goes on.
func (f *follower) forget(list []registration.Upstream) {
	for _, u := range list {
		u.State = registration.Left
		f.g.owner.tell(func(s *state) { s.fleet.SetUpstream(u) })
	}
}

// adjust keeps the number of upstreams that are known within its bounds.
func (f *follower) adjust(now time.Time) {
	if now.Sub(f.adjusted) < adjustInterval {
		return
	}
	f.adjusted = now
	f.forget(f.directory.DropEnded(now, endedMemory))
	if !f.chosen {
		return
	}
	before := f.subset.Halvings
	dropped, more := f.directory.Adjust(&f.subset)
	f.forget(dropped)
	if more {
		f.widened++
		clear(f.positions)
	}
	if !maps.Equal(before, f.subset.Halvings) {
		f.log.Info("part of the upstreams followed", "halvings", f.subset.Halvings, "before", before, "dropped", len(dropped), "known", f.directory.Len())
	}
}

func (f *follower) call(ctx context.Context, client *peer.Client, args *registry.WatchArgs, first bool) (*registry.WatchReply, error) {
	limit := watchLimit
	if first {
		limit = firstWatchLimit
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

// newest returns the newest version seen, confirmed or not.
func (f *follower) newest() uint64 {
	if t := f.unconfirmed.Load(); t != nil {
		return t.Version
	}
	return 0
}

// take takes over what an instance has sent.
func (f *follower) take(addr string, reply *registry.WatchReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(reply.Members) > 1 {
		f.members = reply.Members
	}
	if len(reply.Runs) > 0 {
		f.g.takeCrashes(reply.Runs)
	}
	now, whole := time.Now(), true
	for _, u := range reply.Upstreams {
		if u.State == registration.Lost && !reply.Led {
			whole = false
			continue // an instance that is cut off hears of no upstream
		}
		f.announce(now, u)
	}
	if whole {
		f.positions[addr] = position{reply.Epoch, reply.Change, reply.Crash}
	}
	f.adjust(now)
	f.count.Store(int64(f.directory.Len()))
	// Requests that wait for a configuration need the upstreams too.
	if len(reply.Body) > 0 && reply.Version > f.newest() {
		f.see(reply)
	}
	if f.newest() > f.version() && (f.version() > 0 || reply.Confirmed || time.Since(f.started) >= unconfirmedAfter) {
		f.confirm()
	}
}

// see takes over a configuration that may not be the newest one.
func (f *follower) see(reply *registry.WatchReply) {
	c, err := f.g.dialect.Configuration(reply.Body)
	if err == nil {
		err = c.Validate()
	}
	if err != nil {
		f.log.Error("configuration not taken over", "version", reply.Version, "error", err)
		return
	}
	f.setUnconfirmed(c)
}

func (f *follower) setUnconfirmed(c *routing.Configuration) {
	first := f.newest() == 0
	f.unconfirmed.Store(routing.NewTable(c))
	f.g.owner.tell(func(s *state) { s.fleet.SetEngines(c.Services) })
	if first {
		close(f.seen)
	}
}

// confirm puts the newest configuration seen in force.
func (f *follower) confirm() {
	previous, t := f.version(), f.unconfirmed.Load()
	f.current.Store(t)
	if previous == 0 {
		close(f.configured)
	}
	routes, services, organisations := t.Size()
	f.log.Info("configuration in force", "version", t.Version, "previous", previous, "routes", routes,
		"services", services, "organisations", organisations)
}

// leaving tells whether an upstream has said that it is about to stop.
func (f *follower) leaving(u registration.Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, ok := f.directory.Get(u.ID)
	return ok && now.StartedMS == u.StartedMS && (now.State == registration.Draining || now.Leaving)
}

// announce takes a record of the directory over, unless the other instance has
// named a newer one.
func (f *follower) announce(now time.Time, u registration.Upstream) {
	before := f.directory.Changes()
	switch f.directory.Observe(now, u) {
	case registration.Changed:
	case registration.Malformed:
		f.log.Warn("record not taken over", "upstream", u.ID, "state", int(u.State))
		return
	default:
		return
	}
	for _, c := range f.directory.Since(before) {
		f.g.owner.tell(func(s *state) { s.fleet.SetUpstream(c) })
		f.log.Info("upstream changed", "upstream", c.ID, "service", c.Service, "address", c.Addr, "upstream_zone", c.Zone,
			"state", c.State.String(), "started_ms", c.StartedMS, "seq", c.Seq)
		if c.State < registration.Lost {
			f.replaced.publish(incarnation{c.Addr, c.ID, c.StartedMS})
		}
		f.g.upstreamChanged(c)
	}
}

// incarnation is an upstream that has announced itself at an address.
type incarnation struct {
	addr      string
	id        string
	startedMS int64
}

// replaces tells whether another incarnation at the same address has ended.
func (i incarnation) replaces(u registration.Upstream) bool {
	return i.addr == u.Addr && i.startedMS > u.StartedMS
}

// broadcast passes incarnations on to the streams under way.
type broadcast struct {
	mu   sync.Mutex
	subs map[*subscription]bool
}

type subscription struct {
	of      *broadcast
	watched registration.Upstream
	ended   chan struct{}
	// suspect carries alarms.
	suspect chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{subs: map[*subscription]bool{}} }

// watch returns a subscription whose channel is closed when the upstream's
// incarnation is known to have ended.
func (b *broadcast) watch(u registration.Upstream) *subscription {
	s := &subscription{of: b, watched: u, ended: make(chan struct{}), suspect: make(chan struct{}, 1)}
	b.mu.Lock()
	b.subs[s] = true
	b.mu.Unlock()
	return s
}

func (s *subscription) close() {
	s.of.mu.Lock()
	delete(s.of.subs, s)
	s.of.mu.Unlock()
}

// alarm asks the streams on other upstreams of an availability zone to check
// theirs: the upstreams of a zone stop together.
func (b *broadcast) alarm(u registration.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.subs {
		if s.watched.Zone != u.Zone || s.watched.Service != u.Service || s.watched.ID == u.ID {
			continue
		}
		select {
		case s.suspect <- struct{}{}:
		default: // an alarm is waiting already
		}
	}
}

func (b *broadcast) publish(i incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.subs {
		if i.replaces(s.watched) {
			close(s.ended)
			delete(b.subs, s)
		}
	}
}
