// Package raft implements the Raft consensus algorithm for one replication group as a
// deterministic state machine without I/O. Time is counted in ticks, randomness comes from
// a seeded source, and all input and output goes through Node: the caller passes in ticks,
// messages, proposals and sync notifications, and carries out what Ready returns.
//
// Write order: the caller persists Ready.Install, Ready.Entries and Ready.Hard, syncs
// them, calls Synced, sends Ready.Messages, applies Ready.Apply and only then replies to
// clients. A vote or acknowledgement sent before the sync can be forgotten in a crash, and
// a committed entry can then be lost.
package raft

import (
	"github.com/go-faster/errors"
)

// MemberID identifies a member. A member that loses its disk keeps its ID.
type MemberID string

// DiskID identifies the disk that holds a member's log. A member that restarts with an
// empty disk has a new DiskID.
type DiskID string

// Member describes one member of the group.
type Member struct {
	ID   MemberID `json:"id"`
	Disk DiskID   `json:"disk"`
	Addr string   `json:"addr"`
	// Learner is set for members that receive the log but don't vote.
	Learner bool `json:"learner,omitempty"`
}

// EntryKind is the type of a log entry.
type EntryKind uint8

// Entry kinds.
const (
	// Normal entries carry commands for the state machine.
	Normal EntryKind = iota
	// Empty entries are appended by a new leader at the start of its term.
	Empty
	// ChangeEntry entries carry the complete new membership as JSON.
	ChangeEntry
)

// Entry is one log entry.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// entryOverhead is the approximate size in bytes of an entry without its data.
const entryOverhead = 24

func (e Entry) size() int { return entryOverhead + len(e.Data) }

// HardState must be on disk before any message that depends on it is sent.
type HardState struct {
	Term uint64
	// Vote and VoteDisk identify the candidate that received this member's vote in Term.
	// The disk is part of the vote so that a candidate that lost its disk can't claim a
	// vote given to its previous disk.
	Vote     MemberID
	VoteDisk DiskID
	// Commit is a lower bound of the commit index.
	Commit uint64
}

// SnapshotMeta describes a snapshot of the state machine after applying Index.
type SnapshotMeta struct {
	Index      uint64
	Term       uint64
	Membership Membership
	// MembershipIndex is the index of the entry that set Membership.
	MembershipIndex uint64
	// Size is the size of the state machine's data in bytes.
	Size uint64
}

// Snapshot is a complete snapshot of the state machine.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// PersistentState is the state that a member loads from its disk at startup.
type PersistentState struct {
	Hard     HardState
	Snapshot SnapshotMeta
	Entries  []Entry
}

// MessageKind is the type of a message.
type MessageKind uint8

// Message kinds.
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

// isReply reports whether the message acknowledges a request. The sender's disk identity
// must then match the membership.
func (k MessageKind) isReply() bool {
	switch k {
	case PreVoteReply, VoteReply, AppendReply, HeartbeatReply, SnapshotReply:
		return true
	default:
		return false
	}
}

// Message is a message between two members.
type Message struct {
	Kind MessageKind
	From MemberID
	To   MemberID
	// Disk is the sender's disk identity. ToDisk is the receiver's disk identity
	// according to the sender's membership.
	Disk   DiskID
	ToDisk DiskID
	Term   uint64
	// Index and LogTerm identify the entry before Entries in Append and the last entry in
	// Vote and PreVote. Index is the matched or rejected index in AppendReply, and the
	// snapshot's index in SnapshotReply.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	Reject  bool
	// HintIndex and HintTerm identify the newest entry at or before a rejected Index that
	// can still match the leader's log.
	HintIndex uint64
	HintTerm  uint64
	// Sequence associates heartbeats with the reads that they confirm.
	Sequence uint64
	// Transfer marks a vote request caused by a leadership transfer. Members don't ignore
	// it if they have heard from the leader recently.
	Transfer bool
	// Snapshot, Offset and Data carry one chunk of a snapshot. Data is empty in
	// Ready.Messages; the caller reads the chunk from disk. In SnapshotReply, Offset
	// is the offset that the receiver expects next.
	Snapshot SnapshotMeta
	Offset   uint64
	Data     []byte
}

// ReadState is the result of a read request: the state machine may serve the read once it
// has applied Index.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Ready is the work that the caller must carry out, in the order given in the package
// comment.
type Ready struct {
	// Install is a received snapshot that replaces the log and the state machine.
	Install *Snapshot
	// Hard is set if the hard state must be persisted.
	Hard *HardState
	// Entries replace all persisted entries from the index of the first one on.
	Entries []Entry
	// Messages may be sent only after Install, Hard and Entries are synced.
	Messages []Message
	// Apply holds committed entries in log order.
	Apply []Entry
	// Reads may be served once their index is applied.
	Reads []ReadState
	// DroppedReads lists the IDs of reads that this member can no longer confirm.
	DroppedReads []uint64
}

// MustSync reports whether anything must be persisted before messages are sent.
func (r *Ready) MustSync() bool {
	return r.Install != nil || r.Hard != nil || len(r.Entries) > 0
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return !r.MustSync() && len(r.Messages) == 0 && len(r.Apply) == 0 &&
		len(r.Reads) == 0 && len(r.DroppedReads) == 0
}

// Role is a member's role in its current term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name as shown to operators.
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

// Errors returned for rejected requests.
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
