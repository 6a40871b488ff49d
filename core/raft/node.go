package raft

import (
	"math/rand/v2"

	"github.com/go-faster/errors"
)

// Defaults for Config, for ticks of 50 ms: heartbeats every 100 ms and election timeouts
// from 500 to 1000 ms.
const (
	DefaultHeartbeatTicks = 2
	DefaultElectionTicks  = 10
	// DefaultMaxMessageBytes limits the size of the entries or the snapshot chunk in one
	// message.
	DefaultMaxMessageBytes = 256 << 10
	// DefaultMaxEntryBytes limits the data of one entry.
	DefaultMaxEntryBytes = 4 << 20
	// DefaultMaxInFlight limits the unacknowledged Append messages to one follower.
	DefaultMaxInFlight = 32
	// DefaultMaxUncommittedBytes limits the proposals that a leader without a quorum
	// accepts.
	DefaultMaxUncommittedBytes = 32 << 20
)

// Config configures one member of a group. Limits and intervals that are zero get their
// defaults.
type Config struct {
	Self MemberID
	Disk DiskID
	// HeartbeatTicks is the heartbeat interval. ElectionTicks is the minimum election
	// timeout; the maximum is 2*ElectionTicks-1.
	HeartbeatTicks int
	ElectionTicks  int
	// Rand randomizes election timeouts.
	Rand *rand.Rand

	MaxMessageBytes     int
	MaxEntryBytes       int
	MaxInFlight         int
	MaxUncommittedBytes int

	faults faults
}

// faults disables individual safety checks. Only tests of this package can set it, to show
// that the simulation detects the violation that each check prevents.
type faults struct {
	// skipDiskCheck treats a member with another disk identity as the same member.
	skipDiskCheck bool
	// skipCatchUpCheck promotes learners that haven't caught up.
	skipCatchUpCheck bool
	// skipChangeCheck accepts a membership change before the previous one, or an entry of
	// the leader's term, is committed.
	skipChangeCheck bool
	// skipReadConfirmation answers reads without confirming the leadership.
	skipReadConfirmation bool
	// skipLogCheck grants votes to candidates whose log is not up-to-date.
	skipLogCheck bool
}

func (c Config) withDefaults() Config {
	set := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	set(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	set(&c.ElectionTicks, DefaultElectionTicks)
	set(&c.MaxMessageBytes, DefaultMaxMessageBytes)
	set(&c.MaxEntryBytes, DefaultMaxEntryBytes)
	set(&c.MaxInFlight, DefaultMaxInFlight)
	set(&c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	return c
}

// Node is one member of a group. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	log     entryLog
	members membershipHistory

	role           Role
	term           uint64
	vote           MemberID
	voteDisk       DiskID
	leader         MemberID
	savedHardState HardState // last returned in Ready

	// elapsed counts the ticks since the last message from the leader or, on a leader,
	// since the last quorum check. timeout is the randomized election timeout.
	elapsed          int
	timeout          int
	heartbeatElapsed int

	// Leader and candidate state.
	votes          map[MemberID]bool
	peers          map[MemberID]*progress
	uncommitted    int // bytes of the uncommitted entries
	transferTarget MemberID
	transferTicks  int
	reads          readQueue

	incoming incomingSnapshot

	// The fields below are returned by the next Ready.
	messages        []Message
	pendingSnapshot *Snapshot
	readStates      []ReadState
	droppedReads    []uint64
}

// New returns a member that starts from its persistent state. A member with an empty disk
// has no membership; it participates once a leader has sent it the log.
func New(cfg Config, s PersistentState) (*Node, error) {
	if cfg.Self == "" || cfg.Disk == "" || cfg.Rand == nil {
		return nil, errors.New("raft: Config.Self, Config.Disk and Config.Rand must be set")
	}
	n := &Node{cfg: cfg.withDefaults(), log: newLog(s), savedHardState: s.Hard}
	n.term, n.vote, n.voteDisk = s.Hard.Term, s.Hard.Vote, s.Hard.VoteDisk
	n.members = membershipHistory{{s.Snapshot.MembershipIndex, s.Snapshot.Membership}}
	for _, e := range s.Entries {
		if err := n.recordMembership(e); err != nil {
			return nil, err
		}
	}
	n.resetTimer()
	// The first pre-vote after startup uses a shorter timeout. If all members were
	// restarted together, there is no leader to wait for; if there is a leader, the other
	// members ignore the pre-vote.
	n.timeout = n.cfg.HeartbeatTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
	if voters := n.Membership().Voters(); len(voters) == 1 && n.isVoter() {
		n.timeout = 1 // a single voter can elect itself immediately
	}
	return n, nil
}

func (n *Node) recordMembership(e Entry) error {
	if e.Kind != ChangeEntry {
		return nil
	}
	m, err := decodeMembership(e.Data)
	if err != nil {
		return err
	}
	n.members = append(n.members, indexedMembership{e.Index, m})
	n.trackPeers()
	return nil
}

// Membership returns the newest membership in the log, committed or not.
func (n *Node) Membership() Membership { return n.members.newest().value }

// self returns this member's entry in the membership. An entry with another disk identity
// doesn't count, so a member with an empty disk never campaigns.
func (n *Node) self() (Member, bool) {
	m, ok := n.Membership().Find(n.cfg.Self)
	return m, ok && (m.Disk == n.cfg.Disk || n.cfg.faults.skipDiskCheck)
}

func (n *Node) isVoter() bool {
	m, ok := n.self()
	return ok && !m.Learner
}

// isMajority reports whether the voters that satisfy a condition are a majority.
func (n *Node) isMajority(satisfies func(Member) bool) bool {
	voters, count := 0, 0
	for _, m := range n.Membership().Members {
		if m.Learner {
			continue
		}
		voters++
		if satisfies(m) {
			count++
		}
	}
	return count > voters/2
}

// isSelf reports whether a membership entry refers to this member and its disk.
func (n *Node) isSelf(m Member) bool {
	return m.ID == n.cfg.Self && (m.Disk == n.cfg.Disk || n.cfg.faults.skipDiskCheck)
}

func (n *Node) resetTimer() {
	n.elapsed = 0
	n.timeout = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

// Tick advances time by one tick.
func (n *Node) Tick() {
	n.elapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.timeout {
		n.resetTimer()
		n.campaign(PreCandidate, false)
		n.retryPreVote()
	}
}

// retryPreVote shortens the timeout of an undecided pre-vote. Another member may have heard
// from the failed leader slightly later and ignored the request. Retrying soon doesn't
// increase the term and saves waiting for another full election timeout.
func (n *Node) retryPreVote() {
	if n.role == PreCandidate {
		n.timeout = n.cfg.HeartbeatTicks + n.cfg.Rand.IntN(n.cfg.HeartbeatTicks+1)
	}
}

func (n *Node) tickLeader() {
	if n.elapsed >= n.cfg.ElectionTicks {
		n.elapsed = 0
		if !n.checkQuorum() {
			return
		}
	}
	if n.transferTarget != "" {
		n.tickTransfer()
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.broadcastHeartbeat()
	}
}

// checkQuorum makes the leader step down if it has not received replies from a majority
// within an election timeout: it could not commit anything, and another leader may exist.
func (n *Node) checkQuorum() bool {
	reached := n.isMajority(func(m Member) bool { return n.isSelf(m) || n.peers[m.ID] != nil && n.peers[m.ID].active })
	for _, p := range n.peers {
		p.active = false
	}
	if !reached {
		n.becomeFollower(n.term, "")
	}
	return reached
}

// Step processes a message. Messages for another disk identity are ignored, because the
// state that this member had under that identity is lost. For a malformed message it
// returns an error and leaves the state unchanged.
func (n *Node) Step(m Message) error {
	if err := m.validate(); err != nil {
		return err
	}
	if m.ToDisk != n.cfg.Disk && !n.cfg.faults.skipDiskCheck {
		return nil
	}
	if m.Kind.isReply() && !n.fromCurrentDisk(m) {
		return nil
	}
	if !n.stepTerm(m) {
		return nil
	}
	switch m.Kind {
	case PreVote, Vote:
		n.handleVote(m)
	case PreVoteReply, VoteReply:
		n.handleVoteReply(m)
	case Append, Heartbeat, SnapshotChunk:
		n.handleLeaderMessage(m)
	case AppendReply, HeartbeatReply, SnapshotReply:
		n.handleFollowerReply(m)
	case TimeoutNow:
		n.campaign(Candidate, true)
	}
	return nil
}

// fromCurrentDisk reports whether the sender of a reply is a member and its disk identity
// matches the membership.
func (n *Node) fromCurrentDisk(m Message) bool {
	from, ok := n.Membership().Find(m.From)
	return ok && (from.Disk == m.Disk || n.cfg.faults.skipDiskCheck)
}

// stepTerm compares the message's term with the current one, updates the state if they
// differ, and reports whether the message must be processed further.
func (n *Node) stepTerm(m Message) bool {
	switch {
	case m.Term > n.term:
		return n.stepNewerTerm(m)
	case m.Term < n.term:
		n.rejectOlderTerm(m)
		return false
	default:
		return true
	}
}

// stepNewerTerm adopts the newer term of a message, and reports whether the message must be
// processed further. Pre-vote requests and granted pre-votes carry the term of an election
// that has not started yet, so they don't change the current term. A vote request is ignored
// while the leader is working.
func (n *Node) stepNewerTerm(m Message) bool {
	switch {
	case m.Kind == PreVote, m.Kind == PreVoteReply && !m.Reject:
		return true
	case m.Kind == Vote && !m.Transfer && n.heardFromLeader():
		return false
	case m.Kind == Append, m.Kind == Heartbeat, m.Kind == SnapshotChunk:
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, "")
	}
	return true
}

// rejectOlderTerm notifies a leader or pre-candidate with an older term, so that it steps
// down or catches up.
func (n *Node) rejectOlderTerm(m Message) {
	switch m.Kind {
	case Append, Heartbeat, SnapshotChunk:
		n.send(Message{Kind: AppendReply, To: m.From, ToDisk: m.Disk, Index: m.Index, Reject: true})
	case PreVote:
		n.send(Message{Kind: PreVoteReply, To: m.From, ToDisk: m.Disk, Reject: true})
	}
}

// heardFromLeader reports whether there was a message from a leader within the minimum
// election timeout. Until it has passed, vote requests are ignored so that a member that
// reconnects can't disrupt a working leader.
func (n *Node) heardFromLeader() bool { return n.leader != "" && n.elapsed < n.cfg.ElectionTicks }

func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if term > n.term {
		n.term, n.vote, n.voteDisk = term, "", ""
	}
	n.role, n.leader = Follower, leader
	n.votes, n.peers, n.transferTarget = nil, nil, ""
	n.droppedReads = append(n.droppedReads, n.reads.clear()...)
	n.resetTimer()
}

// send queues a message from this member. Its term defaults to the current term.
func (n *Node) send(m Message) {
	m.From, m.Disk = n.cfg.Self, n.cfg.Disk
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// Synced notifies the node that all entries from earlier Readys up to (index, term) are on
// disk. A leader counts its own copy towards the majority only after that.
func (n *Node) Synced(index, term uint64) {
	if !n.log.hasEntry(index, term) {
		return
	}
	n.log.synced = max(n.log.synced, min(index, n.log.emitted))
	if n.role == Leader {
		n.advanceCommitIndex()
	}
}

// Compact removes the log up to an applied index for which the caller has a synced snapshot
// with size bytes of data. It returns the snapshot's metadata.
func (n *Node) Compact(index, size uint64) (SnapshotMeta, error) {
	meta, err := n.SnapshotMetaAt(index, size)
	if err != nil {
		return meta, err
	}
	n.log.compact(meta)
	n.members = n.members.compact(index)
	return meta, nil
}

// SnapshotMetaAt returns the metadata of a snapshot at an applied index.
func (n *Node) SnapshotMetaAt(index, size uint64) (SnapshotMeta, error) {
	if index <= n.log.compacted.Index || index > n.log.applied || index > n.log.synced {
		return SnapshotMeta{}, errors.Errorf("raft: can't take a snapshot at index %d: it must be synced, at most the applied index %d and above the last snapshot's index %d",
			index, n.log.applied, n.log.compacted.Index)
	}
	term, _ := n.log.term(index)
	m := n.members.at(index)
	return SnapshotMeta{Index: index, Term: term, Membership: m.value, MembershipIndex: m.index, Size: size}, nil
}

// Ready returns the pending work, which is not returned again by later calls.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		n.replicate()
	}
	r := Ready{Install: n.pendingSnapshot, Messages: n.messages, Reads: n.readStates, DroppedReads: n.droppedReads}
	n.pendingSnapshot, n.messages, n.readStates, n.droppedReads = nil, nil, nil, nil
	r.Entries = n.log.slice(n.log.emitted+1, n.log.last())
	n.log.emitted = n.log.last()
	r.Hard = n.hardStateToSave(len(r.Entries) > 0 || r.Install != nil)
	r.Apply = n.log.slice(n.log.applied+1, n.log.commit)
	n.log.applied = n.log.commit
	return r
}

// hardStateToSave returns the hard state if it must be persisted. A new commit index alone
// is persisted only together with entries, because it would cost a sync and a restarted
// member learns it from the leader.
func (n *Node) hardStateToSave(withEntries bool) *HardState {
	now := HardState{Term: n.term, Vote: n.vote, VoteDisk: n.voteDisk, Commit: n.log.commit}
	same := n.savedHardState
	same.Commit = now.Commit
	if now == same && (!withEntries || now.Commit == n.savedHardState.Commit) {
		return nil
	}
	n.savedHardState = now
	return &now
}

// PeerStatus is a leader's view of another member.
type PeerStatus struct {
	// Match is the last index known to match the leader's log.
	Match uint64
	// Active is set if there was a reply since the last quorum check.
	Active bool
}

// Status is a snapshot of a member's state.
type Status struct {
	Self   MemberID
	Disk   DiskID
	Role   Role
	Term   uint64
	Leader MemberID
	// Last, Commit and Applied are the indexes of the last entry, the last committed one
	// and the last one returned in Ready.Apply. Compacted is the index of the last snapshot.
	Last       uint64
	Commit     uint64
	Applied    uint64
	Compacted  uint64
	Membership Membership
	// MembershipCommitted is false while a membership change is in progress.
	MembershipCommitted bool
	// TermCommitted is set once an entry of the current term is committed.
	TermCommitted bool
	Transferring  bool
	// Peers is set only on a leader.
	Peers map[MemberID]PeerStatus
}

// Status returns the member's current state.
func (n *Node) Status() Status {
	s := Status{
		Self: n.cfg.Self, Disk: n.cfg.Disk, Role: n.role, Term: n.term, Leader: n.leader,
		Last: n.log.last(), Commit: n.log.commit, Applied: n.log.applied, Compacted: n.log.compacted.Index,
		Membership: n.Membership(), MembershipCommitted: n.changeCommitted(),
		TermCommitted: n.termCommitted(), Transferring: n.transferTarget != "",
	}
	if n.role == Leader {
		s.Peers = make(map[MemberID]PeerStatus, len(n.peers))
		for id, p := range n.peers {
			s.Peers[id] = PeerStatus{Match: p.match, Active: p.active}
		}
	}
	return s
}

// Role returns the member's current role.
func (n *Node) Role() Role { return n.role }

// Leader returns the ID of the current leader, or an empty ID if it is unknown.
func (n *Node) Leader() MemberID { return n.leader }

// CompactedIndex returns the last index covered by the newest snapshot.
func (n *Node) CompactedIndex() uint64 { return n.log.compacted.Index }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }
