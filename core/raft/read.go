package raft

// readRequest waits until a majority has confirmed the leader's term after the
// request came in.
type readRequest struct {
	id       uint64
	index    uint64
	sequence uint64
}

// readQueue holds the reads of a leader. New requests wait until an entry of
// the leader's term is committed, since older terms may hold committed entries
// that the leader does not count as committed yet.
type readQueue struct {
	waiting []uint64
	pending []readRequest
	// sequence numbers the confirmation rounds.
	sequence uint64
}

func (q *readQueue) clear() []uint64 {
	out := q.waiting
	for _, r := range q.pending {
		out = append(out, r.id)
	}
	q.waiting, q.pending = nil, nil
	return out
}

// Read asks for an index at which a read sees every write acknowledged before
// this call. The answer comes in Ready.Reads, or the id in Ready.DroppedReads.
func (n *Node) Read(id uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.cfg.faults.readUnverified {
		n.readStates = append(n.readStates, ReadState{id, n.log.commit})
		return nil
	}
	n.reads.waiting = append(n.reads.waiting, id)
	return nil
}

// startReads opens one confirmation round for all waiting reads.
func (n *Node) startReads() {
	q := &n.reads
	if len(q.waiting) == 0 || !n.termCommitted() {
		return
	}
	q.sequence++
	for _, id := range q.waiting {
		q.pending = append(q.pending, readRequest{id, n.log.commit, q.sequence})
	}
	q.waiting = nil
	n.broadcastHeartbeat()
	n.confirmReads()
}

// confirmReads answers the reads whose round a majority has confirmed.
func (n *Node) confirmReads() {
	q := &n.reads
	for len(q.pending) > 0 {
		r := q.pending[0]
		confirmed := n.isMajority(func(m Member) bool {
			return n.isSelf(m) || n.peers[m.ID] != nil && n.peers[m.ID].readSequence >= r.sequence
		})
		if !confirmed {
			return
		}
		n.readStates = append(n.readStates, ReadState{r.id, r.index})
		q.pending = q.pending[1:]
	}
}
