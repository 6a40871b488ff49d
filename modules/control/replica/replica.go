// Package replica runs the replicated log groups of one control instance: it
// drives core/raft over the write-ahead log and the network, and applies
// committed entries to state machines.
//
// One goroutine owns all groups. Each of its rounds keeps the write order:
// append entries and hard states of all groups, sync once, send, apply, answer.
package replica

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"heatherway.dev/core/raft"
	"heatherway.dev/heatherway/modules/control/wal"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/stats"
)

// Group numbers a replicated log.
type Group = wal.Group

// StateMachine is what a group's entries are applied to. Its methods are
// called by one goroutine, in log order.
type StateMachine interface {
	// Apply takes a committed entry and returns the answer for its proposer. It
	// must depend on nothing but the entries before.
	Apply(index uint64, entry []byte) []byte
	// Snapshot returns the whole state; the slice is not changed afterwards.
	Snapshot() []byte
	// Restore replaces the whole state.
	Restore([]byte) error
}

// Freezer is a StateMachine that can capture its state at once and encode it
// in another goroutine, so that a large one does not hold up heartbeats.
type Freezer interface{ Freeze() (encode func() []byte) }

// Peer is a control instance named in the settings.
type Peer struct {
	ID raft.MemberID
	// Addr is the internal listener that serves net/rpc.
	Addr string
}

// Defaults of Options.
const (
	// DefaultTick gives heartbeats every 100 ms and election timeouts from 500
	// to 1000 ms.
	DefaultTick = 50 * time.Millisecond
	// DefaultCompactEntries is the number of applied entries after which a
	// group's log is compacted.
	DefaultCompactEntries = 10_000
	// DefaultSegments is the number of log segments from which on groups that
	// keep the oldest one are compacted.
	DefaultSegments = 4
)

// Options configures a Replica. Zero values of the last part get defaults.
type Options struct {
	Self raft.MemberID
	// Peers are the control instances of the settings, with this one. They
	// become members by themselves; the one with the lowest id starts the groups.
	Peers []Peer
	// Discovery replaces Peers where the instances are not known in advance.
	Discovery *Discovery
	Folder    string
	Machines  map[Group]StateMachine
	Security  *peer.Security
	Log       *slog.Logger
	Stats     *stats.Registry

	Tick           time.Duration
	CompactEntries uint64
	Segments       int
	SegmentBytes   int64
	// KeepLeaders stops the spreading of leaders over the members.
	KeepLeaders bool

	// SyncEach syncs once for each input instead of once for a batch. Benchmarks
	// set it to measure what group commit gains.
	SyncEach bool
}

func (o Options) withDefaults() Options {
	if o.Tick == 0 {
		o.Tick = DefaultTick
	}
	if o.CompactEntries == 0 {
		o.CompactEntries = DefaultCompactEntries
	}
	if o.Segments == 0 {
		o.Segments = DefaultSegments
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.Stats == nil {
		o.Stats = stats.New()
	}
	return o
}

// Replica runs the groups of one control instance.
type Replica struct {
	options Options
	log     *slog.Logger
	wal     *wal.WAL
	disk    raft.DiskID
	// inputs carries proposals and requests, mail the messages of other
	// instances. They are apart, so that a flood of proposals does not crowd out
	// the acknowledgements that would commit them.
	inputs        chan input
	messages      chan receivedBatch
	groups        map[Group]*group
	orderedGroups []*group
	links         map[raft.MemberID]*link
	metrics       metrics
	ticks         uint64

	// known is what other instances said about themselves; the owner goroutine
	// alone uses it.
	known map[raft.MemberID]identity
	// answered is the tick at which each member last answered this leader.
	lastAnswer map[raft.MemberID]uint64
	// published are the members as other goroutines see them.
	publishedMembers atomic.Pointer[[]Peer]

	// linkContext ends the links.
	linkContext context.Context
	cancel      context.CancelFunc
	wait        sync.WaitGroup
	ended       chan struct{}
	failure     atomic.Pointer[error]
}

const (
	// queuedInputs bounds proposals and requests waiting for the owner.
	maxQueuedInputs = 4096
	// queuedMail bounds batches of messages waiting for the owner.
	maxQueuedBatches = 256
)

// Open opens the log and restores the state machines. Nothing is sent or
// received before Start.
func Open(o Options) (*Replica, error) {
	o = o.withDefaults()
	if err := checkOptions(o); err != nil {
		return nil, err
	}
	w, err := wal.Open(o.Folder, o.Self, wal.Options{SegmentBytes: o.SegmentBytes})
	if err != nil {
		return nil, err
	}
	r := &Replica{
		options: o, log: o.Log, wal: w, disk: w.Identity().Disk,
		inputs: make(chan input, maxQueuedInputs), messages: make(chan receivedBatch, maxQueuedBatches),
		groups: map[Group]*group{}, links: map[raft.MemberID]*link{},
		known: map[raft.MemberID]identity{}, lastAnswer: map[raft.MemberID]uint64{}, ended: make(chan struct{}),
		metrics: newMetrics(o.Stats),
	}
	if err := r.openGroups(); err != nil {
		_ = w.Close()
		return nil, err
	}
	return r, nil
}

func checkOptions(o Options) error {
	if o.Self == "" || len(o.Machines) == 0 || o.Security == nil {
		return result.New(result.SettingInvalid, "control: id, groups and TLS settings are needed")
	}
	if o.Discovery != nil {
		return nil
	}
	for _, p := range o.Peers {
		if p.ID == o.Self {
			return nil
		}
	}
	return result.New(result.SettingInvalid, "control: peers do not name this instance, %q", o.Self)
}

func (r *Replica) openGroups() error {
	stored := r.wal.Loaded()
	for id := range stored {
		if r.options.Machines[id] == nil {
			return result.New(result.SettingInvalid, "control: the log holds group %d, which the settings do not", id)
		}
	}
	for _, id := range sortedGroups(r.options.Machines) {
		g := &group{id: id, replica: r, machine: r.options.Machines[id]}
		if err := g.open(stored[id]); err != nil {
			return err
		}
		r.groups[id] = g
		r.orderedGroups = append(r.orderedGroups, g)
	}
	return nil
}

func (r *Replica) raftConfig() raft.Config {
	return raft.Config{Self: r.options.Self, Disk: r.disk, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// Identity returns this instance's member and disk identity.
func (r *Replica) Identity() wal.Identity { return r.wal.Identity() }

// Start begins to serve. Service must be reachable for the other instances.
func (r *Replica) Start(ctx context.Context) error {
	ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	r.linkContext = ctx
	for _, p := range r.options.Peers {
		r.addLink(p)
	}
	r.linkSeeds()
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		r.run(ctx)
	}()
	return nil
}

// stopTransferLimit bounds how long Stop waits for others to take over.
const stopTransferTimeout = time.Second

// Stop hands over leadership, ends the groups and closes the log.
func (r *Replica) Stop(ctx context.Context) error {
	r.transferLeadership(ctx)
	return r.Kill()
}

// Kill ends the groups at once, without handing over leadership, and closes
// the log.
func (r *Replica) Kill() error {
	if r.cancel != nil {
		r.cancel()
	}
	r.wait.Wait()
	for _, l := range r.links {
		l.client.Close()
	}
	return r.wal.Close()
}

// Ended is closed when the groups no longer run; Err then tells why, if it was
// not Stop. A log that cannot be synced ends them, since nothing written after
// that can be trusted.
func (r *Replica) Ended() <-chan struct{} { return r.ended }

// Err returns the failure that ended the groups.
func (r *Replica) Err() error {
	if p := r.failure.Load(); p != nil {
		return *p
	}
	return nil
}

func (r *Replica) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTransferTimeout)
	defer cancel()
	for {
		in := leadershipTransfer{remaining: make(chan int, 1)}
		if r.enqueue(ctx, in) != nil {
			return
		}
		select {
		case n := <-in.remaining:
			if n == 0 {
				return
			}
		case <-ctx.Done():
			return
		case <-r.ended:
			return
		}
		if sleep(ctx, r.options.Tick) != nil {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// own is the loop of the owner goroutine.
func (r *Replica) run(ctx context.Context) {
	defer close(r.ended)
	ticker := time.NewTicker(r.options.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.tick()
		case in := <-r.messages:
			in.handle(r)
			r.drainQueues()
		case in := <-r.inputs:
			in.handle(r)
			r.drainQueues()
		}
		if err := r.runRounds(); err != nil {
			r.failure.Store(&err)
			r.log.Error("control groups ended", "error", err)
			return
		}
	}
}

// maxBatch bounds the inputs of one round, so that ticks are not held up.
const maxInputsPerRound = 1024

// enterQueued takes in what arrived during the last sync, which then shares
// the next one.
func (r *Replica) drainQueues() {
	if r.options.SyncEach {
		return
	}
	for range maxInputsPerRound {
		select {
		case in := <-r.messages:
			in.handle(r)
			continue
		default:
		}
		select {
		case in := <-r.inputs:
			in.handle(r)
		default:
			return
		}
	}
}

func (r *Replica) tick() {
	r.ticks++
	r.linkMembers()
	for _, g := range r.orderedGroups {
		g.tick()
	}
}

// work runs rounds until no group has anything left to do. A round that was
// synced may let a leader commit, which gives the next round its entries.
func (r *Replica) runRounds() error {
	for {
		busy, err := r.round()
		if err != nil || !busy {
			return err
		}
	}
}

func (r *Replica) round() (bool, error) {
	busy := false
	for _, g := range r.orderedGroups {
		g.ready = g.node.Ready()
		busy = busy || !g.ready.Empty()
		if err := g.save(); err != nil {
			return false, err
		}
	}
	if !busy {
		return false, nil
	}
	if err := r.sync(); err != nil {
		return false, err
	}
	for _, g := range r.orderedGroups {
		g.markSynced()
		g.send()
	}
	for _, g := range r.orderedGroups {
		if err := g.apply(); err != nil {
			return false, err
		}
		g.ready = raft.Ready{}
	}
	return true, nil
}

func (r *Replica) sync() error {
	before := r.wal.SyncTime
	r.wal.SyncTime = 0
	if err := r.wal.Sync(); err != nil {
		return result.Wrap(result.DataFolder, err, "write-ahead log")
	}
	if r.wal.SyncTime == 0 {
		r.wal.SyncTime = before
		return nil
	}
	r.metrics.sync.Observe(r.wal.SyncTime.Microseconds())
	return nil
}
