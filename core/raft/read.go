package raft

// readRequest is a read that waits until a majority has confirmed the leader's term after
// the request was received.
type readRequest struct {
	id       uint64
	index    uint64
	sequence uint64
}

// readQueue holds the outstanding reads of a leader. New requests wait until an entry of
// the leader's term is committed, because entries of earlier terms may be committed without
// the leader knowing it yet.
type readQueue struct {
	waiting []uint64
	pending []readRequest
	// sequence is the number of the last confirmation round.
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

// Read requests an index at which a read sees every write acknowledged before this call.
// The result is returned in Ready.Reads, or the ID in Ready.DroppedReads if the read fails.
func (n *Node) Read(id uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.cfg.faults.skipReadConfirmation {
		n.readStates = append(n.readStates, ReadState{id, n.log.commit})
		return nil
	}
	n.reads.waiting = append(n.reads.waiting, id)
	return nil
}

// startReads starts one confirmation round for all waiting reads.
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
	n.confirmReads() // a single voter needs no replies
}

// confirmReads completes the reads whose round a majority has confirmed.
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
