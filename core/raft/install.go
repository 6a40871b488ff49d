package raft

// incoming collects the chunks of one snapshot.
type incomingSnapshot struct {
	meta SnapshotMeta
	data []byte
}

// handleChunk takes the next chunk of a snapshot. Chunks may be lost, repeated
// or reordered; the answer names the offset that is wanted next.
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

// restore replaces the log by a snapshot, or only commits if the log already
// holds the snapshot's last entry.
func (n *Node) restoreSnapshot(s Snapshot) {
	if n.log.matches(s.Meta.Index, s.Meta.Term) {
		n.commitTo(s.Meta.Index)
		return
	}
	n.log.reset(s.Meta)
	n.members = membershipHistory{{s.Meta.MembershipIndex, s.Meta.Membership}}
	n.install = &s
}

func (n *Node) handleSnapshotReply(p *progress, m Message) {
	if p.mode != sendingSnapshot || m.Index != p.snapshot.Index {
		return
	}
	p.offset, p.waiting = m.Offset, false
}
