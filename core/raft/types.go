// Package raft decides the replicated log of one group as a pure step
// function. Time is counted in ticks, randomness comes from a seeded source,
// and all input and output goes through Node: the caller feeds ticks, messages,
// proposals and sync notices, and carries out what Ready returns.
//
// Write order: the caller saves Ready.Install, Ready.Entries and Ready.Hard,
// syncs them, calls Synced, sends Ready.Messages, applies Ready.Apply and only
// then answers. A vote or acknowledgement that leaves before the sync can be
// forgotten in a crash, and then a committed entry can be lost.
package raft

import (
	"github.com/go-faster/errors"
)

// MemberID names a member; a member that loses its disk keeps its id.
type MemberID string

// DiskID names the disk that a member's log is on. A member that returns with
// an empty disk has another DiskID.
type DiskID string

// Member is one entry of the membership.
type Member struct {
	ID   MemberID `json:"id"`
	Disk DiskID   `json:"disk"`
	Addr string   `json:"addr"`
	// Learner members receive the log and have no vote.
	Learner bool `json:"learner,omitempty"`
}

// EntryKind tells what an entry holds.
type EntryKind uint8

// Kinds of entry.
const (
	// Normal entries carry data of the state machine.
	Normal EntryKind = iota
	// Empty entries open a leader's term.
	Empty
	// ChangeEntry entries carry the whole new membership as JSON.
	ChangeEntry
)

// Entry is one position of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// entryOverhead is the approximate size of an entry without its data.
const entryOverhead = 24

func (e Entry) size() int { return entryOverhead + len(e.Data) }

// HardState must be on disk before any message that depends on it leaves.
type HardState struct {
	Term uint64
	// Vote and VoteDisk name the candidate that got this member's vote in Term.
	// The disk is part of the vote, so that a candidate which lost its disk
	// cannot collect a vote that was given to its previous disk.
	Vote     MemberID
	VoteDisk DiskID
	// Commit is a lower bound of the committed index.
	Commit uint64
}

// SnapshotMeta describes a snapshot of the state machine after Index.
type SnapshotMeta struct {
	Index      uint64
	Term       uint64
	Membership Membership
	// MembershipIndex is the position of the entry that set Membership.
	MembershipIndex uint64
	// Size is the length of the state machine's data in bytes.
	Size uint64
}

// Snapshot is a complete snapshot.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// PersistentState is what a member finds on its disk at start.
type PersistentState struct {
	Hard     HardState
	Snapshot SnapshotMeta
	Entries  []Entry
}

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// Kinds of message.
const (
	PreVote MessageKind = iota
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Heartbeat
	HeartbeatReply
	SnapshotChunk
	SnapshotReply
	TimeoutNow
)

// reply tells whether the sender acknowledges something, so that its disk
// identity must be the one that the membership names.
func (k MessageKind) isReply() bool {
	switch k {
	case PreVoteReply, VoteReply, AppendReply, HeartbeatReply, SnapshotReply:
		return true
	default:
		return false
	}
}

// Message is sent from one member to another.
type Message struct {
	Kind MessageKind
	From MemberID
	To   MemberID
	// Disk is the sender's disk identity, ToDisk the one that the sender's
	// membership names for the receiver.
	Disk   DiskID
	ToDisk DiskID
	Term   uint64
	// Index and LogTerm are the entry before Entries in Append, the last entry
	// in Vote and PreVote, the matched or refused index in AppendReply, and the
	// installed index in SnapshotReply.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	Reject  bool
	// HintIndex and HintTerm are the newest entry at or before a refused Index
	// that can still match the leader's log.
	HintIndex uint64
	HintTerm  uint64
	// Sequence ties heartbeats to the reads that they confirm.
	Sequence uint64
	// Transfer marks a vote that a leader asked for; the lease of that leader
	// does not hold it up.
	Transfer bool
	// Snapshot, Offset and Data carry one chunk of a snapshot. The core leaves
	// Data empty in Ready.Messages; the caller reads the chunk from the disk.
	Snapshot SnapshotMeta
	Offset   uint64
	Data     []byte
}

// ReadState answers a read request: the state machine may serve the read once
// it has applied Index.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Ready is what the caller must carry out, in the order of the package comment.
type Ready struct {
	// Install replaces the log and the state machine.
	Install *Snapshot
	// Hard is set when the hard state has changed.
	Hard *HardState
	// Entries replace every stored entry from the first one's index on.
	Entries []Entry
	// Messages may be sent only after the above is synced.
	Messages []Message
	// Apply holds committed entries in log order.
	Apply []Entry
	// Reads may be served once their index is applied.
	Reads []ReadState
	// DroppedReads lists reads that this member can no longer confirm.
	DroppedReads []uint64
}

// MustSync tells whether there is anything to save before messages leave.
func (r *Ready) MustSync() bool {
	return r.Install != nil || r.Hard != nil || len(r.Entries) > 0
}

// Empty tells whether there is nothing to do.
func (r *Ready) Empty() bool {
	return !r.MustSync() && len(r.Messages) == 0 && len(r.Apply) == 0 &&
		len(r.Reads) == 0 && len(r.DroppedReads) == 0
}

// Role is the part that a member plays in its term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name shown to operators.
func (r Role) String() string {
	switch r {
	case PreCandidate:
		return "pre_candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	default:
		return "follower"
	}
}

// Refusals of input.
var (
	ErrNotLeader       = errors.New("raft: not the leader")
	ErrTransferring    = errors.New("raft: leadership is being transferred")
	ErrBusy            = errors.New("raft: too many uncommitted bytes")
	ErrTooLarge        = errors.New("raft: entry exceeds the size limit")
	ErrChangePending   = errors.New("raft: a membership change is not committed yet")
	ErrTermUncommitted = errors.New("raft: no entry of this term is committed yet")
	ErrNotCaughtUp     = errors.New("raft: the learner has not caught up")
	ErrUnknownMember   = errors.New("raft: no such member")
	ErrInvalidChange   = errors.New("raft: the change is not valid")
)
