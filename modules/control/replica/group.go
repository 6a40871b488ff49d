package replica

import (
	"sort"
	"sync/atomic"

	"github.com/go-faster/errors"

	"heatherway.dev/core/raft"
	"heatherway.dev/kernel/result"
)

// group is one replicated log with its state machine. Only the owner goroutine
// uses it, except for lead.
type group struct {
	id      Group
	replica *Replica
	node    *raft.Node
	machine StateMachine
	ready   raft.Ready
	// applied is the index of the last entry that the state machine holds.
	applied uint64
	// hasEntries is set once an entry or a snapshot has been applied to the state
	// machine.
	hasEntries bool

	// nominee is the instance that this one has nominated to bootstrap the group.
	nominee raft.MemberID
	// absentChecks is the number of consecutive checks at which no member had the group.
	absentChecks uint64

	// waiters are completed when the entry at their index is applied.
	waiters map[uint64]waiter
	// readers are completed by Reads or DroppedReads of a raft.Ready.
	readers map[uint64]chan outcome
	readID  uint64

	snapshot snapshotProgress
	watch    groupWatch
	// majoritySince is the tick since which this instance hears from a majority of the voters.
	majoritySince uint64
	// leadingSince is the tick at which this member became leader.
	leadingSince uint64
	lead         atomic.Pointer[Lead]
}

type waiter struct {
	term uint64
	done chan outcome
}

// outcome is the result of a proposal, read or membership change.
type outcome struct {
	value []byte
	index uint64
	err   error
}

func sortedGroups(m map[Group]StateMachine) []Group {
	out := make([]Group, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// open creates the raft node and restores the state machine from the stored snapshot.
func (g *group) open(s raft.PersistentState) error {
	node, err := raft.New(g.replica.raftConfig(), s)
	if err != nil {
		return result.Wrap(result.LogDamaged, err, "cannot restore the raft state of a group")
	}
	g.node, g.applied = node, s.Snapshot.Index
	g.waiters, g.readers = map[uint64]waiter{}, map[uint64]chan outcome{}
	g.lead.Store(&Lead{})
	if p := g.replica.options.Previous; p != nil {
		previous := p.groups[g.id]
		g.applied, g.hasEntries = max(g.applied, previous.applied), previous.hasEntries
		if previous.applied >= s.Snapshot.Index {
			return nil // the state machine is at least as new
		}
	}
	if s.Snapshot.Index == 0 {
		return nil
	}
	snapshot, err := g.replica.wal.Snapshot(g.id)
	if err != nil {
		return err
	}
	return g.restore(snapshot.Data)
}

func (g *group) restore(data []byte) error {
	g.hasEntries = true
	if err := g.machine.Restore(data); err != nil {
		return result.Wrap(result.LogDamaged, err, "cannot restore the state machine from a snapshot")
	}
	return nil
}

func (g *group) tick() {
	g.node.Tick()
	g.tickSnapshot()
	g.tickMembers()
}

// save buffers the records that the round must sync. A snapshot file is synced
// separately, before the record that refers to it.
func (g *group) save() error {
	r := &g.ready
	if r.Install != nil {
		if err := g.replica.wal.WriteSnapshot(g.id, *r.Install); err != nil {
			return result.Wrap(result.DataFolder, err, "write snapshot")
		}
		g.replica.wal.Install(g.id, r.Install.Meta)
	}
	g.replica.wal.Append(g.id, r.Hard, r.Entries)
	return nil
}

func (g *group) markSynced() {
	if n := len(g.ready.Entries); n > 0 {
		last := g.ready.Entries[n-1]
		g.node.Synced(last.Index, last.Term)
		g.replica.metrics.entries.Add(int64(n))
	}
}

func (g *group) send() {
	for _, m := range g.ready.Messages {
		l := g.replica.links[m.To]
		if l == nil {
			continue
		}
		if m.Kind == raft.SnapshotChunk && !g.fillChunk(&m) {
			continue
		}
		l.enqueue(Envelope{Group: g.id, Message: m})
	}
}

// fillChunk reads the data of a snapshot chunk. After a failure core/raft requests the
// chunk again, as it does for a lost message.
func (g *group) fillChunk(m *raft.Message) bool {
	data, err := g.replica.wal.SnapshotChunk(g.id, m.Snapshot, m.Offset, g.node.MaxChunkBytes())
	if err != nil {
		g.replica.log.Warn("cannot read a snapshot chunk; it will be requested again", "group", g.id, "error", err)
		return false
	}
	m.Data = data
	return true
}

func (g *group) apply() error {
	if s := g.ready.Install; s != nil && s.Meta.Index > g.applied {
		if err := g.restore(s.Data); err != nil {
			return err
		}
		g.applied = s.Meta.Index
		g.failCoveredWaiters(s.Meta.Index)
	}
	changed := false
	for _, e := range g.ready.Apply {
		if e.Index > g.applied { // a state machine of a log that was opened again may be ahead
			g.applyEntry(e)
		}
		changed = changed || e.Kind == raft.ChangeEntry
	}
	g.completeReads()
	g.publishLead()
	if changed && g.node.Role() == raft.Leader {
		g.reconcileMembers() // the next change is often due, and a loss between the two may be final
	}
	return nil
}

func (g *group) applyEntry(e raft.Entry) {
	var value []byte
	if e.Kind == raft.Normal {
		g.hasEntries = true
		value = g.machine.Apply(e.Index, e.Data)
	}
	g.applied = e.Index
	w, ok := g.waiters[e.Index]
	if !ok {
		return
	}
	delete(g.waiters, e.Index)
	if w.term != e.Term {
		// Another leader's entry is at this index, so the proposal is not in the log.
		w.done <- outcome{err: g.notLeader()}
		return
	}
	w.done <- outcome{value: value, index: e.Index}
}

// failCoveredWaiters fails the proposals whose index an installed snapshot covers: it
// is unknown whether the snapshot contains them.
func (g *group) failCoveredWaiters(index uint64) {
	for i, w := range g.waiters {
		if i <= index {
			delete(g.waiters, i)
			w.done <- outcome{err: result.New(result.ControlUnavailable, "leadership was lost; the outcome is not known")}
		}
	}
}

// completeReads runs after the entries of the same Ready are applied. A confirmed index
// is never above the commit index, so its entry has been applied.
func (g *group) completeReads() {
	for _, s := range g.ready.Reads {
		if done, ok := g.readers[s.ID]; ok {
			delete(g.readers, s.ID)
			done <- outcome{index: s.Index}
		}
	}
	for _, id := range g.ready.DroppedReads {
		if done, ok := g.readers[id]; ok {
			delete(g.readers, id)
			done <- outcome{err: g.notLeader()}
		}
	}
}

// notLeader returns an error with the leader's address, or one that there is no leader.
func (g *group) notLeader() error {
	l := g.currentLead()
	if l.ID == "" || l.Self {
		return result.New(result.ControlUnavailable, "group %d has no leader", g.id).WithRan(result.NotRun)
	}
	return result.New(result.NotLeader, "%s", l.Addr)
}

func (g *group) currentLead() Lead {
	id := g.node.Leader()
	l := Lead{ID: id, Term: g.node.Term(), Self: id == g.replica.options.Self}
	if m, ok := g.node.Membership().Find(id); ok {
		l.Addr = m.Addr
	}
	if id != "" && l.Addr == "" {
		l.Addr = g.replica.memberAddr(id)
	}
	return l
}

// publishLead makes the current leader visible to other goroutines.
func (g *group) publishLead() {
	previous := g.lead.Load()
	current := g.currentLead()
	if *previous == current {
		return
	}
	g.lead.Store(&current)
	if previous.Self != current.Self {
		g.leadingSince = g.replica.ticks
		g.replica.metrics.setLeading(g.id, current.Self)
	}
	g.replica.log.Info("leader changed", "group", g.id, "leader", current.ID, "term", current.Term)
}

// hasEnoughVoters reports whether the group may accept proposals. A new group needs a
// majority of the configured instances as voters, or MinVoters with Discovery, since
// an entry on a single disk could be lost. With Discovery a group that has entries
// continues with fewer voters while a lost one is replaced.
func (g *group) hasEnoughVoters() bool {
	voters := len(g.node.Membership().Voters())
	if d := g.replica.options.Discovery; d != nil {
		return g.hasEntries || voters >= d.MinVoters
	}
	return voters > len(g.replica.options.Peers)/2
}

// toResultError converts an error of core/raft to an error with a result code.
func (g *group) toResultError(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrTransferring):
		return g.notLeader()
	case errors.Is(err, raft.ErrBusy):
		return result.Wrap(result.ControlUnavailable, err, "proposal refused").WithRan(result.NotRun)
	case errors.Is(err, raft.ErrTooLarge):
		return result.Wrap(result.BodyTooLarge, err, "proposal refused")
	default:
		return result.Wrap(result.ChangeRefused, err, "membership change refused")
	}
}

// snapshotProgress is the state of a snapshot that is being written.
type snapshotProgress struct {
	running bool
	// written is set once the file is synced. The log is compacted when the
	// followers have the covered entries, or at the deadline.
	written  bool
	meta     raft.SnapshotMeta
	deadline uint64
	// notBefore is the tick before which no snapshot is started, after one that failed.
	notBefore uint64
}

// snapshotRetryTicks is the delay before a snapshot that could not be written is tried
// again, so that an instance on a full disk does not encode its state at every tick.
const snapshotRetryTicks = 20

// compactDelayTicks is how long a leader waits for lagging followers before it
// compacts its log. A follower that lags longer receives the snapshot instead.
const compactDelayTicks = 40

func (g *group) tickSnapshot() {
	s := &g.snapshot
	if s.written && (g.followersReached(s.meta.Index) || g.replica.ticks >= s.deadline) {
		g.compact()
	}
	if s.running || g.replica.ticks < s.notBefore {
		return
	}
	due := g.applied-g.node.CompactedIndex() >= g.replica.options.CompactEntries
	if due || g.pinsOldestSegment() {
		g.startSnapshot()
	}
}

// pinsOldestSegment reports whether entries of this group keep the oldest segment of the
// write-ahead log from being removed.
func (g *group) pinsOldestSegment() bool {
	for _, id := range g.replica.wal.PinningGroups(g.replica.options.Segments) {
		if id == g.id {
			return true
		}
	}
	return false
}

// startSnapshot captures the state in the owner goroutine and writes the file in
// another one, so that the sync of a large file does not block the owner.
func (g *group) startSnapshot() {
	encode := g.captureState()
	meta, err := g.node.SnapshotMetaAt(g.applied, 0)
	if err != nil {
		return
	}
	g.snapshot = snapshotProgress{running: true, meta: meta}
	r := g.replica
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		data := encode()
		meta.Size = uint64(len(data))
		err := r.wal.WriteSnapshot(g.id, raft.Snapshot{Meta: meta, Data: data})
		select {
		case r.inputs <- snapshotWritten{group: g.id, size: meta.Size, err: err}:
		case <-r.ended:
		}
	}()
}

// captureState captures the state in the owner goroutine and returns a function that
// encodes it.
func (g *group) captureState() func() []byte {
	if f, ok := g.machine.(Freezer); ok {
		return f.Freeze()
	}
	data := g.machine.Snapshot()
	return func() []byte { return data }
}

// followersReached reports whether all responding members have the log up to index.
func (g *group) followersReached(index uint64) bool {
	for _, p := range g.node.Status().Peers {
		if p.Active && p.Match < index {
			return false
		}
	}
	return true
}

// compact truncates the log up to the written snapshot. The node rejects it if a newer
// snapshot has been installed; the file is then removed as obsolete.
func (g *group) compact() {
	meta, err := g.node.Compact(g.snapshot.meta.Index, g.snapshot.meta.Size)
	g.snapshot = snapshotProgress{}
	if err != nil {
		return
	}
	w := g.replica.wal
	w.Compact(g.id, meta)
	if err := w.Sync(); err != nil {
		return // the next round gets the same error and stops
	}
	if err := w.RemoveObsolete(); err != nil {
		g.replica.log.Warn("cannot remove obsolete log files", "error", err)
	}
}
