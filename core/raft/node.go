package raft

import (
	"math/rand/v2"

	"github.com/go-faster/errors"
)

// Defaults of Config for a tick of 50 ms: heartbeats every 100 ms and election
// timeouts from 500 to 1000 ms.
const (
	DefaultHeartbeatTicks = 2
	DefaultElectionTicks  = 10
	// DefaultMaxMessageBytes bounds the entries or the chunk in one message.
	DefaultMaxMessageBytes = 256 << 10
	// DefaultMaxEntryBytes bounds one entry.
	DefaultMaxEntryBytes = 4 << 20
	// DefaultMaxInFlight bounds unanswered Append messages to one follower.
	DefaultMaxInFlight = 32
	// DefaultMaxUncommittedBytes bounds what a leader without a quorum takes in.
	DefaultMaxUncommittedBytes = 32 << 20
)

// Config describes one member of one group. Zero limits get their defaults.
type Config struct {
	Self MemberID
	Disk DiskID
	// HeartbeatTicks is the time between heartbeats, ElectionTicks the shortest
	// election timeout; the longest is one tick short of twice as long.
	HeartbeatTicks int
	ElectionTicks  int
	// Rand spreads election timeouts.
	Rand *rand.Rand

	MaxMessageBytes     int
	MaxEntryBytes       int
	MaxInFlight         int
	MaxUncommittedBytes int

	faults faults
}

// faults takes single guards out. Only tests of this package can set it; they
// show that a property fails without its guard.
type faults struct {
	ignoreDisk     bool
	promoteEarly   bool
	changeEarly    bool
	readUnverified bool
	grantStale     bool
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

// Node is one member of one group. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	log     entryLog
	members membershipHistory

	role           Role
	term           uint64
	vote           MemberID
	voteDisk       DiskID
	leader         MemberID
	savedHardState HardState

	// elapsed counts ticks since the leader was heard, or since the leader's
	// last quorum check; timeout is the randomised election timeout.
	elapsed          int
	timeout          int
	heartbeatElapsed int

	// Leader and candidate state.
	votes          map[MemberID]bool
	peers          map[MemberID]*progress
	uncommitted    int
	transferTarget MemberID
	transferTicks  int
	reads          readQueue

	incoming     incomingSnapshot
	messages     []Message
	install      *Snapshot
	readStates   []ReadState
	droppedReads []uint64
}

// New returns a member as its disk describes it. A member with an empty disk
// has no membership: it takes part once a leader sends it the log.
func New(cfg Config, s PersistentState) (*Node, error) {
	if cfg.Self == "" || cfg.Disk == "" || cfg.Rand == nil {
		return nil, errors.New("raft: config needs self, disk and rand")
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
	// After a start the first pre-vote comes sooner: when all members have ended
	// together nobody leads, and where one leads the others refuse it.
	n.timeout = n.cfg.HeartbeatTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
	if voters := n.Membership().Voters(); len(voters) == 1 && n.isVoter() {
		n.timeout = 1 // a sole voter has nobody to wait for
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

// self returns this member's own entry. It is unknown under another disk
// identity, so a member with an empty disk never campaigns.
func (n *Node) self() (Member, bool) {
	m, ok := n.Membership().Find(n.cfg.Self)
	return m, ok && (m.Disk == n.cfg.Disk || n.cfg.faults.ignoreDisk)
}

func (n *Node) isVoter() bool {
	m, ok := n.self()
	return ok && !m.Learner
}

// quorum tells whether the voters that satisfy the condition are a majority.
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

// isSelf tells whether a member entry stands for this member and its disk.
func (n *Node) isSelf(m Member) bool {
	return m.ID == n.cfg.Self && (m.Disk == n.cfg.Disk || n.cfg.faults.ignoreDisk)
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

// retryPreVote shortens the timer of an undecided pre-vote. Another member may
// have heard the dead leader a little later and ignored the request; asking
// again soon costs no term, and a whole election timeout more would be lost.
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

// checkQuorum makes a leader step down that no majority has answered for an
// election timeout; it could not commit, and another leader may exist.
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

// Step takes one message in. Messages for another disk identity are dropped:
// what this member knew under that identity is lost. A malformed message is dropped
// too and reported, before it changes anything.
func (n *Node) Step(m Message) error {
	if err := m.validate(); err != nil {
		return err
	}
	if m.ToDisk != n.cfg.Disk && !n.cfg.faults.ignoreDisk {
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

// counts tells whether a reply comes from a member under the disk identity
// that the membership names.
func (n *Node) fromCurrentDisk(m Message) bool {
	from, ok := n.Membership().Find(m.From)
	return ok && (from.Disk == m.Disk || n.cfg.faults.ignoreDisk)
}

// stepTerm settles a difference of terms and tells whether the message is to
// be handled further.
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

// refuseOlderTerm tells a leader or candidate of an older term that it is
// behind, so that it steps down or catches up.
func (n *Node) rejectOlderTerm(m Message) {
	switch m.Kind {
	case Append, Heartbeat, SnapshotChunk:
		n.send(Message{Kind: AppendReply, To: m.From, ToDisk: m.Disk, Index: m.Index, Reject: true})
	case PreVote:
		n.send(Message{Kind: PreVoteReply, To: m.From, ToDisk: m.Disk, Reject: true})
	}
}

// hearsLeader tells whether a leader was heard within the shortest election
// timeout; until then votes are refused, so that a returning member cannot
// disturb a working leader.
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

// send queues a message under this member's identity. Its term is the current
// one unless set.
func (n *Node) send(m Message) {
	m.From, m.Disk = n.cfg.Self, n.cfg.Disk
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// Synced tells that every entry of an earlier Ready up to (index, term) is on
// disk. Only then does a leader count its own copy.
func (n *Node) Synced(index, term uint64) {
	if !n.log.matches(index, term) {
		return
	}
	n.log.synced = max(n.log.synced, min(index, n.log.emitted))
	if n.role == Leader {
		n.advanceCommitIndex()
	}
}

// Compact drops the log up to an applied index, of which the caller has a
// synced snapshot with size bytes of data. It returns the snapshot's
// description.
func (n *Node) Compact(index, size uint64) (SnapshotMeta, error) {
	meta, err := n.SnapshotMetaAt(index, size)
	if err != nil {
		return meta, err
	}
	n.log.compact(meta)
	n.members = n.members.compact(index)
	return meta, nil
}

// SnapshotMetaAt returns the description of a snapshot at an applied index.
func (n *Node) SnapshotMetaAt(index, size uint64) (SnapshotMeta, error) {
	if index <= n.log.compacted.Index || index > n.log.applied || index > n.log.synced {
		return SnapshotMeta{}, errors.Errorf("raft: cannot compact at %d, applied %d, compacted %d",
			index, n.log.applied, n.log.compacted.Index)
	}
	term, _ := n.log.term(index)
	m := n.members.at(index)
	return SnapshotMeta{Index: index, Term: term, Membership: m.value, MembershipIndex: m.index, Size: size}, nil
}

// Ready returns what there is to do and counts it as handed out.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		n.replicate()
	}
	r := Ready{Install: n.install, Messages: n.messages, Reads: n.readStates, DroppedReads: n.droppedReads}
	n.install, n.messages, n.readStates, n.droppedReads = nil, nil, nil, nil
	r.Entries = n.log.slice(n.log.emitted+1, n.log.last())
	n.log.emitted = n.log.last()
	r.Hard = n.hardStateToSave(len(r.Entries) > 0 || r.Install != nil)
	r.Apply = n.log.slice(n.log.applied+1, n.log.commit)
	n.log.applied = n.log.commit
	return r
}

// changedHard returns the hard state if it must be saved. A new commit index
// alone is only saved along with entries, since it costs a sync and a member
// learns it again from the leader.
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

// PeerStatus is what a leader knows about a member.
type PeerStatus struct {
	Match  uint64
	Active bool
}

// Status describes a member.
type Status struct {
	Self       MemberID
	Disk       DiskID
	Role       Role
	Term       uint64
	Leader     MemberID
	Last       uint64
	Commit     uint64
	Applied    uint64
	Compacted  uint64
	Membership Membership
	// MembershipCommitted is unset while a change is under way.
	MembershipCommitted bool
	// TermCommitted is set once a leader has committed an entry of its term.
	TermCommitted bool
	Transferring  bool
	// Peers is set on a leader.
	Peers map[MemberID]PeerStatus
}

// Status returns the member's state.
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

// Role returns the member's role; Leader returns the leader it knows.
func (n *Node) Role() Role { return n.role }

// Leader returns the id of the known leader, or an empty id.
func (n *Node) Leader() MemberID { return n.leader }

// CompactedIndex returns the index that the newest snapshot covers.
func (n *Node) CompactedIndex() uint64 { return n.log.compacted.Index }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }
