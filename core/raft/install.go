package raft

// incomingSnapshot collects the chunks of a snapshot that is being received.
type incomingSnapshot struct {
	meta SnapshotMeta
	data []byte
}

// handleSnapshotChunk processes a chunk of a snapshot. Chunks may be lost, duplicated or
// reordered; the reply carries the offset that is expected next.
func (n *Node) handleSnapshotChunk(m Message) {
	if m.Snapshot.Index <= n.log.commit {
		n.incoming = incomingSnapshot{}
		n.send(Message{Kind: AppendReply, To: m.From, ToDisk: m.Disk, Index: n.log.commit})
		return
	}
	in := &n.incoming
	if in.meta.Index != m.Snapshot.Index || in.meta.Term != m.Snapshot.Term {
		*in = incomingSnapshot{meta: m.Snapshot}
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) < in.meta.Size {
		n.send(Message{Kind: SnapshotReply, To: m.From, ToDisk: m.Disk, Index: in.meta.Index, Offset: uint64(len(in.data))})
		return
	}
	n.restoreSnapshot(Snapshot{Meta: in.meta, Data: in.data})
	n.incoming = incomingSnapshot{}
	n.send(Message{Kind: AppendReply, To: m.From, ToDisk: m.Disk, Index: n.log.commit})
}

// restoreSnapshot replaces the log with a snapshot. If the log already contains the
// snapshot's last entry, it only advances the commit index.
func (n *Node) restoreSnapshot(s Snapshot) {
	if n.log.hasEntry(s.Meta.Index, s.Meta.Term) {
		n.commitTo(s.Meta.Index)
		return
	}
	n.log.reset(s.Meta)
	n.members = membershipHistory{{s.Meta.MembershipIndex, s.Meta.Membership}}
	n.pendingSnapshot = &s
}

func (n *Node) handleSnapshotReply(p *progress, m Message) {
	if p.mode != sendingSnapshot || m.Index != p.snapshot.Index {
		return
	}
	p.offset, p.waiting = m.Offset, false
}
