package raft

import (
	"cmp"
	"fmt"
	"slices"
)

// Propose appends data to the leader's log and returns the entry's index and term. The
// proposal succeeded only if an entry with this index and term is applied.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	switch {
	case n.role != Leader:
		return 0, 0, ErrNotLeader
	case n.transferTarget != "":
		return 0, 0, ErrTransferring
	case len(data) > n.cfg.MaxEntryBytes:
		return 0, 0, ErrTooLarge
	case n.uncommitted > n.cfg.MaxUncommittedBytes:
		return 0, 0, ErrBusy
	}
	return n.appendAsLeader(Entry{Kind: Normal, Data: data}), n.term, nil
}

// ProposeChange appends a membership change to the leader's log. It is rejected until the
// previous change is committed and this leader has committed an entry of its term;
// otherwise two disjoint majorities could exist.
func (n *Node) ProposeChange(c Change) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.transferTarget != "" {
		return 0, 0, ErrTransferring
	}
	if err := n.checkChange(c); err != nil {
		return 0, 0, err
	}
	next, err := n.Membership().apply(c)
	if err != nil {
		return 0, 0, err
	}
	index = n.appendAsLeader(Entry{Kind: ChangeEntry, Data: next.encode()})
	return index, n.term, nil
}

func (n *Node) checkChange(c Change) error {
	if !n.cfg.faults.skipChangeCheck {
		if !n.changeCommitted() {
			return ErrChangePending
		}
		if !n.termCommitted() {
			return ErrTermUncommitted
		}
	}
	if c.Kind == Promote && !n.cfg.faults.skipCatchUpCheck && !n.CaughtUp(c.Member.ID) {
		return ErrNotCaughtUp
	}
	return nil
}

// CaughtUp reports whether a member has every committed entry on disk and has replied since
// the last quorum check.
func (n *Node) CaughtUp(id MemberID) bool {
	p := n.peers[id]
	return n.role == Leader && p != nil && p.active && p.match >= n.log.commit
}

func (n *Node) changeCommitted() bool { return n.members.newest().index <= n.log.commit }

func (n *Node) termCommitted() bool {
	t, ok := n.log.term(n.log.commit)
	return ok && t == n.term
}

func (n *Node) appendAsLeader(e Entry) uint64 {
	e.Index, e.Term = n.log.last()+1, n.term
	n.log.append(e)
	n.uncommitted += e.size()
	if err := n.recordMembership(e); err != nil {
		panic(err.Error()) // can't happen: this process encoded the entry
	}
	return e.Index
}

// replicate queues the messages that can be sent to each follower now. It runs once per
// Ready, so that proposals made in between are batched.
func (n *Node) replicate() {
	n.startReads()
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		for n.canSend(p) {
			n.sendNext(id, p)
		}
	}
}

// peerIDs returns the peers in a fixed order, so that simulations are reproducible from
// their seed.
func (n *Node) peerIDs() []MemberID {
	ids := make([]MemberID, 0, len(n.peers))
	for id := range n.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) canSend(p *progress) bool {
	if p.waiting {
		return false
	}
	if p.mode != pipelining {
		return true
	}
	hasNews := p.next <= n.log.last() || p.sentCommit < n.log.commit
	return hasNews && len(p.inFlight) < n.cfg.MaxInFlight
}

func (n *Node) sendNext(id MemberID, p *progress) {
	if p.mode == sendingSnapshot && p.snapshot.Index == n.log.compacted.Index {
		n.sendChunk(id, p)
		return
	}
	if p.next <= n.log.compacted.Index || p.mode == sendingSnapshot {
		p.startSnapshot(n.log.compacted)
		n.sendChunk(id, p)
		return
	}
	n.sendAppend(id, p)
}

func (n *Node) sendAppend(id MemberID, p *progress) {
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		p.startSnapshot(n.log.compacted)
		n.sendChunk(id, p)
		return
	}
	entries := n.log.limitedSlice(p.next, n.cfg.MaxMessageBytes)
	n.send(Message{Kind: Append, To: id, ToDisk: p.disk, Index: prev, LogTerm: term,
		Entries: entries, Commit: n.log.commit})
	p.sentCommit = n.log.commit
	if p.mode == probing {
		p.waiting = true
		return
	}
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.inFlight = append(p.inFlight, p.next-1)
	}
}

func (n *Node) sendChunk(id MemberID, p *progress) {
	n.send(Message{Kind: SnapshotChunk, To: id, ToDisk: p.disk, Snapshot: p.snapshot, Offset: p.offset})
	p.waiting = true
}

// MaxChunkBytes returns the maximum amount of data in a SnapshotChunk message.
func (n *Node) MaxChunkBytes() int { return n.cfg.MaxMessageBytes }

func (n *Node) broadcastHeartbeat() {
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		n.send(Message{Kind: Heartbeat, To: id, ToDisk: p.disk,
			Commit: min(p.match, n.log.commit), Sequence: n.reads.sequence})
	}
}

// handleLeaderMessage processes a message from the leader of the current term.
func (n *Node) handleLeaderMessage(m Message) {
	if n.role == Leader {
		return
	}
	if n.role != Follower {
		n.becomeFollower(m.Term, m.From)
	}
	n.leader, n.elapsed = m.From, 0
	switch m.Kind {
	case Append:
		n.handleAppend(m)
	case Heartbeat:
		n.commitTo(m.Commit)
		n.send(Message{Kind: HeartbeatReply, To: m.From, ToDisk: m.Disk, Sequence: m.Sequence})
	case SnapshotChunk:
		n.handleSnapshotChunk(m)
	}
}

func (n *Node) handleAppend(m Message) {
	reply := Message{Kind: AppendReply, To: m.From, ToDisk: m.Disk, Index: m.Index}
	switch {
	case m.Index < n.log.commit:
		// Entries up to the commit index are known to match the leader's log.
		reply.Index = n.log.commit
	case !n.log.hasEntry(m.Index, m.LogTerm):
		reply.Reject = true
		reply.HintIndex, reply.HintTerm = n.log.conflictHint(m.Index, m.LogTerm)
	default:
		reply.Index = n.mergeEntries(m)
		n.commitTo(min(m.Commit, reply.Index))
	}
	n.send(reply)
}

// mergeEntries appends the message's entries from the first one that conflicts or is
// missing, and returns the last index known to match the leader's log. Matching entries
// are kept: a delayed duplicate of an old message must not truncate newer entries.
func (n *Node) mergeEntries(m Message) uint64 {
	for i, e := range m.Entries {
		if n.log.hasEntry(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.last() {
			n.truncate(e.Index)
		}
		n.appendReceived(m.Entries[i:])
		break
	}
	return m.Index + uint64(len(m.Entries))
}

// truncate removes entries that conflict with the leader's log. Continuing without a
// committed entry would return wrong results to clients, so the process panics instead.
func (n *Node) truncate(from uint64) {
	if from <= n.log.commit {
		panic(fmt.Sprintf("raft: member %s would truncate committed entry %d, commit index %d", n.cfg.Self, from, n.log.commit))
	}
	n.log.truncate(from)
	n.members = n.members.truncate(from)
}

func (n *Node) appendReceived(entries []Entry) {
	n.log.append(entries...)
	for _, e := range entries {
		if err := n.recordMembership(e); err != nil {
			panic(err.Error()) // can't happen: Step has validated the entry
		}
	}
}

func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, min(index, n.log.last()))
}

func (n *Node) handleFollowerReply(m Message) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.active = true
	switch m.Kind {
	case AppendReply:
		n.handleAppendReply(p, m)
	case HeartbeatReply:
		n.handleHeartbeatReply(m.From, p, m)
	case SnapshotReply:
		n.handleSnapshotReply(p, m)
	}
}

func (n *Node) handleAppendReply(p *progress, m Message) {
	if m.Reject {
		n.handleRejectedAppend(p, m)
		return
	}
	p.acknowledge(min(m.Index, n.log.last()))
	if p.mode == probing || p.mode == sendingSnapshot && p.match >= p.snapshot.Index {
		p.probe(p.match + 1)
		p.mode = pipelining
	}
	n.advanceCommitIndex()
	if m.From == n.transferTarget {
		n.sendTimeoutNow()
	}
}

// handleRejectedAppend continues with the newest entry that can match, according to the
// follower's hint. A rejection is stale and ignored if its index is already acknowledged, or
// if it isn't the index of the last probe.
func (n *Node) handleRejectedAppend(p *progress, m Message) {
	if m.Index <= p.match || p.mode == sendingSnapshot || p.mode == probing && m.Index != p.next-1 {
		return
	}
	index, _ := n.log.conflictHint(m.HintIndex, m.HintTerm)
	p.probe(index + 1)
}

// handleHeartbeatReply also resends entries that may have been lost, since no lower layer
// retransmits messages. If the in-flight limit is reached, the oldest Append is taken for lost.
func (n *Node) handleHeartbeatReply(id MemberID, p *progress, m Message) {
	p.waiting = false
	if p.mode == pipelining && p.match < n.log.last() {
		if len(p.inFlight) >= n.cfg.MaxInFlight {
			p.inFlight = p.inFlight[1:]
		}
		n.sendAppend(id, p)
	}
	p.readSequence = max(p.readSequence, m.Sequence)
	n.confirmReads()
}

// advanceCommitIndex commits the newest entry that a majority has on disk if it is from the
// current term; entries of earlier terms are committed indirectly.
func (n *Node) advanceCommitIndex() {
	index := n.majorityMatch()
	if index <= n.log.commit {
		return
	}
	if t, ok := n.log.term(index); !ok || t != n.term {
		return
	}
	for _, e := range n.log.slice(n.log.commit+1, index) {
		n.uncommitted -= e.size()
	}
	n.log.commit = index
	// A leader that has been removed steps down once its removal is committed.
	if n.changeCommitted() && !n.isVoter() {
		n.becomeFollower(n.term, "")
	}
}

// majorityMatch returns the highest index that a majority of voters has on disk.
func (n *Node) majorityMatch() uint64 {
	var held []uint64
	for _, m := range n.Membership().Voters() {
		switch {
		case n.isSelf(m):
			held = append(held, n.log.synced)
		case n.peers[m.ID] != nil:
			held = append(held, n.peers[m.ID].match)
		default:
			held = append(held, 0)
		}
	}
	slices.SortFunc(held, func(a, b uint64) int { return cmp.Compare(b, a) })
	if len(held) == 0 {
		return 0
	}
	return held[len(held)/2]
}
