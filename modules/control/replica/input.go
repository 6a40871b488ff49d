package replica

import (
	"context"
	"time"

	"heatherway.dev/core/raft"
	"heatherway.dev/heatherway/modules/control/wal"
	"heatherway.dev/kernel/result"
)

// input is an event or request that the owner goroutine handles.
type input interface{ handle(*Replica) }

type proposal struct {
	group Group
	data  []byte
	done  chan outcome
}

type readRequest struct {
	group Group
	done  chan outcome
}

type changeRequest struct {
	group  Group
	change raft.Change
	done   chan outcome
}

type transferRequest struct {
	group Group
	to    raft.MemberID
	done  chan outcome
}

type statusRequest struct{ done chan Status }

type leadershipTransfer struct{ remaining chan int }

type receivedBatch struct{ messages []Envelope }

type snapshotWritten struct {
	group Group
	size  uint64
	err   error
}

type identityLearned struct{ identity identity }

// Lead describes the leader of a group.
type Lead struct {
	// ID is empty while no leader is known.
	ID   raft.MemberID
	Addr string
	Term uint64
	// Self is set if this instance is the leader.
	Self bool
}

// maxTickDelay is the number of ticks for which the owner may be held up. The other voters may
// elect another leader after it.
const maxTickDelay = raft.DefaultElectionTicks

// Leader returns the leader of a group as known to this instance. While the owner is held up for
// longer than maxTickDelay, as by a disk that hangs, no leader is known: this instance takes in
// no change, and may lead no more.
func (r *Replica) Leader(id Group) Lead {
	g := r.groups[id]
	if g == nil || r.isHeldUp() {
		return Lead{}
	}
	return *g.lead.Load()
}

// isHeldUp reports whether the owner has not ticked for longer than maxTickDelay.
func (r *Replica) isHeldUp() bool {
	sinceTick := time.Since(r.openedAt) - time.Duration(r.tickedAt.Load())
	return sinceTick > maxTickDelay*r.options.Tick
}

// proposalTimeout bounds a proposal, read or membership change whose context has no
// earlier deadline.
const proposalTimeout = 5 * time.Second

// Propose appends data to a group's log and waits until it is applied here. It
// returns the state machine's result and the entry's index. Code 5035 carries
// the leader's address and means that the proposal is not in the log. Code
// 5034 means that no quorum responded in time; its field Ran says whether
// the proposal may still be applied later.
func (r *Replica) Propose(ctx context.Context, id Group, data []byte) ([]byte, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	p := proposal{group: id, data: data, done: make(chan outcome, 1)}
	out := r.submit(ctx, id, p, p.done, result.Unknown)
	return out.value, out.index, out.err
}

// ReadIndex returns once this instance, as the leader, has applied every entry
// that was committed when the call was made, and a majority has confirmed
// after that time that this instance is still the leader.
func (r *Replica) ReadIndex(ctx context.Context, id Group) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	q := readRequest{group: id, done: make(chan outcome, 1)}
	out := r.submit(ctx, id, q, q.done, result.NotRun)
	return out.index, out.err
}

// ChangeMember makes one membership change and waits until it is committed.
// Code 4095 means that it was rejected, for example because another change is
// in progress.
func (r *Replica) ChangeMember(ctx context.Context, id Group, c raft.Change) error {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	q := changeRequest{group: id, change: c, done: make(chan outcome, 1)}
	return r.submit(ctx, id, q, q.done, result.Unknown).err
}

// TransferLeader transfers the leadership of a group from this instance to another
// voter. It returns once the transfer has started; Leader shows its outcome.
func (r *Replica) TransferLeader(ctx context.Context, id Group, to raft.MemberID) error {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	q := transferRequest{group: id, to: to, done: make(chan outcome, 1)}
	return r.submit(ctx, id, q, q.done, result.NotRun).err
}

// submit passes an input to the owner goroutine and waits for its outcome. ranOnTimeout
// is the field Ran of the error for an input that was queued but not completed in time.
func (r *Replica) submit(ctx context.Context, id Group, in input, done chan outcome, ranOnTimeout result.Ran) outcome {
	if r.groups[id] == nil {
		return outcome{err: result.New(result.ObjectUnknown, "no group %d", id)}
	}
	if err := r.enqueue(ctx, in); err != nil {
		return outcome{err: err}
	}
	select {
	case out := <-done:
		return out
	case <-r.ended:
		return outcome{err: result.New(result.ControlUnavailable, "this instance has stopped").WithRan(ranOnTimeout)}
	case <-ctx.Done():
		return outcome{err: result.New(result.ControlUnavailable, "group %d: no quorum in time", id).WithRan(ranOnTimeout)}
	}
}

// enqueue queues an input for the owner goroutine. After an error the input has not been
// queued.
func (r *Replica) enqueue(ctx context.Context, in input) error {
	select {
	case r.inputs <- in:
		return nil
	case <-r.ended:
		return result.New(result.ControlUnavailable, "this instance has stopped").WithRan(result.NotRun)
	case <-ctx.Done():
		return result.New(result.ControlUnavailable, "the log takes no more proposals now").WithRan(result.NotRun)
	}
}

func (p proposal) handle(r *Replica) {
	g := r.groups[p.group]
	if g.node.Role() == raft.Leader && !g.hasEnoughVoters() {
		p.done <- outcome{err: result.New(result.ControlUnavailable, "group %d is being formed", g.id).WithRan(result.NotRun)}
		return
	}
	index, term, err := g.node.Propose(p.data)
	if err != nil {
		p.done <- outcome{err: g.toResultError(err)}
		return
	}
	g.addWaiter(index, term, p.done)
}

// addWaiter registers a proposal that waits for its entry to be applied. An older
// proposal at the same index was truncated from this log by another leader, but may be
// in another member's log and still be committed.
func (g *group) addWaiter(index, term uint64, done chan outcome) {
	if old, ok := g.waiters[index]; ok {
		old.done <- outcome{err: result.New(result.ControlUnavailable, "leadership was lost; the outcome is not known")}
	}
	g.waiters[index] = waiter{term, done}
}

func (q readRequest) handle(r *Replica) {
	g := r.groups[q.group]
	g.readID++
	if err := g.node.Read(g.readID); err != nil {
		q.done <- outcome{err: g.toResultError(err)}
		return
	}
	g.readers[g.readID] = q.done
}

func (q changeRequest) handle(r *Replica) {
	g := r.groups[q.group]
	index, term, err := g.node.ProposeChange(q.change)
	if err != nil {
		q.done <- outcome{err: g.toResultError(err)}
		return
	}
	g.addWaiter(index, term, q.done)
}

func (q transferRequest) handle(r *Replica) {
	g := r.groups[q.group]
	if err := g.node.Transfer(q.to); err != nil {
		q.done <- outcome{err: g.toResultError(err)}
		return
	}
	q.done <- outcome{}
}

func (in receivedBatch) handle(r *Replica) {
	for _, e := range in.messages {
		r.hear(e.Message.Disk)
		if g := r.groups[e.Group]; g != nil {
			if err := g.node.Step(e.Message); err != nil {
				r.log.Error("raft message rejected", "group", e.Group, "from", e.Message.From, "error", err)
			}
		}
	}
}

func (in snapshotWritten) handle(r *Replica) {
	g := r.groups[in.group]
	if in.err != nil {
		r.log.Warn("cannot write a snapshot; retrying", "group", g.id, "error", in.err, "retry_ms", (snapshotRetryTicks * r.options.Tick).Milliseconds())
		g.snapshot = snapshotProgress{notBefore: r.ticks + snapshotRetryTicks}
		return
	}
	g.snapshot.written = true
	g.snapshot.meta.Size = in.size
	g.snapshot.deadline = r.ticks + compactDelayTicks
}

// GroupStatus is the state of a group on this instance.
type GroupStatus struct {
	Group Group
	raft.Status
}

// Status is the state of this instance's groups.
type Status struct {
	Identity wal.Identity
	Groups   []GroupStatus
	Segments int
}

// Status returns the state of all groups. It is empty after the groups have stopped.
func (r *Replica) Status() Status {
	q := statusRequest{done: make(chan Status, 1)}
	if r.enqueue(context.Background(), q) != nil {
		return Status{}
	}
	select {
	case s := <-q.done:
		return s
	case <-r.ended:
		return Status{}
	}
}

func (q statusRequest) handle(r *Replica) {
	s := Status{Identity: r.wal.Identity(), Segments: r.wal.Segments()}
	for _, g := range r.orderedGroups {
		s.Groups = append(s.Groups, GroupStatus{g.id, g.node.Status()})
	}
	q.done <- s
}

func (in leadershipTransfer) handle(r *Replica) {
	remaining := 0
	for _, g := range r.orderedGroups {
		if g.node.Role() != raft.Leader {
			continue
		}
		s := g.node.Status()
		if to, ok := successor(s); ok {
			remaining++
			if !s.Transferring {
				_ = g.node.Transfer(to) // retried at the next poll
			}
		}
	}
	in.remaining <- remaining
}

// successor returns the voter with the longest log among those that respond.
func successor(s raft.Status) (raft.MemberID, bool) {
	var best raft.MemberID
	for _, m := range s.Membership.Voters() {
		p, ok := s.Peers[m.ID]
		if ok && p.Active && (best == "" || p.Match > s.Peers[best].Match) {
			best = m.ID
		}
	}
	return best, best != ""
}
