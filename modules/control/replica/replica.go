// Package replica runs the replicated log groups of one control instance: it
// connects core/raft to the write-ahead log and the network, and applies
// committed entries to state machines.
//
// One goroutine owns all groups. Each of its rounds keeps the write order:
// append entries and hard states of all groups, sync once, send messages, apply
// entries, complete requests.
package replica

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"heatherway.dev/core/raft"
	"heatherway.dev/core/reconfig"
	"heatherway.dev/heatherway/internal/disk"
	"heatherway.dev/heatherway/modules/control/wal"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/stats"
)

// Group numbers a replicated log.
type Group = wal.Group

// StateMachine applies the entries of a group. Its methods are called by one
// goroutine, in log order.
type StateMachine interface {
	// Apply applies a committed entry and returns the result for its proposer. It
	// must depend only on this entry and the ones before it.
	Apply(index uint64, entry []byte) []byte
	// Snapshot returns the encoded state. The slice must not be changed afterwards.
	Snapshot() []byte
	// Restore replaces the state by a decoded snapshot.
	Restore([]byte) error
}

// Freezer is a StateMachine that can capture its state without encoding it. The state
// is then encoded in another goroutine, so that a large one does not delay heartbeats.
type Freezer interface{ Freeze() (encode func() []byte) }

// Peer is the ID and address of a control instance.
type Peer struct {
	ID raft.MemberID
	// Addr is the address of the internal listener that serves net/rpc.
	Addr string
}

// Defaults of Options.
const (
	// DefaultTick results in heartbeats every 100 ms and election timeouts from 500
	// to 1000 ms.
	DefaultTick = 50 * time.Millisecond
	// DefaultCompactEntries is the number of applied entries after which a
	// group's log is compacted.
	DefaultCompactEntries = 10_000
	// DefaultSegments is the number of log segments at which groups that pin the
	// oldest segment are compacted.
	DefaultSegments = 4
)

// ReopenDelay is the delay before a Replica that has failed is opened again. A full or
// unresponsive disk recovers within seconds.
const ReopenDelay = 500 * time.Millisecond

// Options configures a Replica. Zero values from Tick to SegmentBytes, and of Log and
// Stats, are replaced by defaults.
type Options struct {
	Self raft.MemberID
	// Peers are the control instances in the settings, including this one. They
	// become members automatically. The one with the lowest ID bootstraps the groups.
	Peers []Peer
	// Discovery is used instead of Peers if the instances are not known in advance.
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
	// Files are the file operations of the log, by default those of the operating system.
	Files disk.Files
	// Previous is the closed Replica whose log is opened again with the same state machines.
	// They hold what it has applied.
	Previous *Replica
	// KeepLeaders disables the balancing of leadership over the members.
	KeepLeaders bool

	// SyncEach syncs once for each input instead of once for a batch. Benchmarks
	// set it to measure the effect of group commit.
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
	// inputs queues proposals and requests, messages the raft messages of other
	// instances. The queues are separate so that many proposals do not displace
	// the acknowledgements that would commit them.
	inputs        chan input
	messages      chan receivedBatch
	groups        map[Group]*group
	orderedGroups []*group
	links         map[raft.MemberID]*link
	metrics       metrics
	ticks         uint64
	// tickedAt is the time of the last tick, as the duration since openedAt.
	tickedAt atomic.Int64
	openedAt time.Time
	limits   reconfig.Limits
	// leaving is set once the other instances are told that this one ends.
	leaving bool

	// known holds the reported identities of other instances. Only the owner
	// goroutine uses it.
	known map[raft.MemberID]identity
	// contacts tells when the disks of other instances were last heard.
	contacts contacts
	// publishedMembers are the members as visible to other goroutines.
	publishedMembers atomic.Pointer[[]Peer]

	// linkContext stops the links when it is cancelled.
	linkContext context.Context
	cancel      context.CancelFunc
	wait        sync.WaitGroup
	ended       chan struct{}
	failure     atomic.Pointer[error]
}

const (
	// maxQueuedInputs bounds proposals and requests waiting for the owner.
	maxQueuedInputs = 4096
	// maxQueuedBatches bounds batches of messages waiting for the owner.
	maxQueuedBatches = 256
)

// Open opens the log and restores the state machines. Nothing is sent or
// received before Start.
func Open(o Options) (*Replica, error) {
	o = o.withDefaults()
	if err := checkOptions(o); err != nil {
		return nil, err
	}
	w, err := wal.Open(o.Folder, o.Self, wal.Options{SegmentBytes: o.SegmentBytes, Files: o.Files})
	if err != nil {
		return nil, err
	}
	r := &Replica{
		options: o, log: o.Log, wal: w, disk: w.Identity().Disk,
		inputs: make(chan input, maxQueuedInputs), messages: make(chan receivedBatch, maxQueuedBatches),
		groups: map[Group]*group{}, links: map[raft.MemberID]*link{},
		known: map[raft.MemberID]identity{}, contacts: contacts{}, ended: make(chan struct{}),
		metrics: newMetrics(o.Stats), limits: o.memberLimits(), openedAt: time.Now(),
	}
	err = r.checkPrevious()
	if err == nil {
		err = r.openGroups()
	}
	if err != nil {
		_ = w.Close()
		return nil, err
	}
	r.options.Previous = nil
	return r, nil
}

// checkPrevious returns an error if the state machines hold entries of another folder's log,
// which this log may not have.
func (r *Replica) checkPrevious() error {
	if p := r.options.Previous; p != nil && p.disk != r.disk {
		return result.New(result.DiskIdentity, "%s was replaced while the process ran; restart it", r.options.Folder)
	}
	return nil
}

func checkOptions(o Options) error {
	if o.Self == "" || len(o.Machines) == 0 || o.Security == nil {
		return result.New(result.SettingInvalid, "control: instance ID, groups and TLS settings must be set")
	}
	if o.Discovery != nil {
		return nil
	}
	for _, p := range o.Peers {
		if p.ID == o.Self {
			return nil
		}
	}
	return result.New(result.SettingInvalid, "control: the peers do not include this instance, %q", o.Self)
}

func (r *Replica) openGroups() error {
	stored := r.wal.Loaded()
	for id := range stored {
		if r.options.Machines[id] == nil {
			return result.New(result.SettingInvalid, "control: the log contains group %d, which is not in the settings", id)
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

// Start starts the groups. The other instances must be able to reach Service.
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

// stopTransferTimeout bounds how long Stop waits for leadership transfers.
const stopTransferTimeout = time.Second

// Stop transfers leadership, gives up this instance's vote where the others are enough, stops
// the groups and closes the log.
func (r *Replica) Stop(ctx context.Context) error {
	r.transferLeadership(ctx)
	r.leave(ctx)
	return r.Kill()
}

// Kill stops the groups immediately, without transferring leadership, and closes
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

// Ended is closed when the groups no longer run. Err then returns the reason unless
// they were stopped. A failed sync of the log stops them, since nothing written
// afterwards is known to be durable.
func (r *Replica) Ended() <-chan struct{} { return r.ended }

// Err returns the error that stopped the groups.
func (r *Replica) Err() error {
	if p := r.failure.Load(); p != nil {
		return *p
	}
	return nil
}

// transferLeadership polls until this instance leads no group for which there is a
// successor, or until stopTransferTimeout.
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

// run is the loop of the owner goroutine.
func (r *Replica) run(ctx context.Context) {
	defer r.end()
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
			r.log.Error("replicated groups stopped after a failure", "error", err)
			return
		}
	}
}

// end marks the groups as ended. This instance then leads none of them and knows no leader.
func (r *Replica) end() {
	for _, g := range r.orderedGroups {
		g.lead.Store(&Lead{})
		r.metrics.setLeading(g.id, false)
	}
	close(r.ended)
}

// maxInputsPerRound bounds the inputs of one round, so that ticks are not delayed.
const maxInputsPerRound = 1024

// drainQueues handles the inputs that arrived during the last sync, so that they share
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
	r.tickedAt.Store(int64(time.Since(r.openedAt)))
	r.linkMembers()
	for _, g := range r.orderedGroups {
		g.tick()
	}
}

// runRounds runs rounds until no group has any work left. The sync of a round may let a
// leader commit entries, which the next round then applies.
func (r *Replica) runRounds() error {
	for {
		busy, err := r.round()
		if err != nil || !busy {
			return err
		}
	}
}

// round saves, syncs, sends and applies what the groups have ready. It reports whether
// there was anything.
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
		return result.Wrap(result.DataFolder, err, "cannot sync the write-ahead log")
	}
	if r.wal.SyncTime == 0 {
		r.wal.SyncTime = before
		return nil
	}
	r.metrics.sync.Observe(r.wal.SyncTime.Microseconds())
	return nil
}
