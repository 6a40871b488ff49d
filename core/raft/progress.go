package raft

// replicationMode is the way a leader sends entries to a follower.
type replicationMode uint8

const (
	// probing sends one message at a time and waits for the reply, because the matching
	// index is unknown.
	probing replicationMode = iota
	// pipelining sends without waiting for replies, up to the in-flight limit.
	pipelining
	// sendingSnapshot sends the chunks of a snapshot, one at a time.
	sendingSnapshot
)

// progress is a leader's replication state for one member and disk identity.
type progress struct {
	disk DiskID
	// match is the last index known to match the leader's log; next is the index of the
	// next entry to send.
	match uint64
	next  uint64
	mode  replicationMode
	// waiting is set while a probe or a snapshot chunk awaits its reply. A heartbeat
	// reply clears it, so that a lost message is resent.
	waiting bool
	// inFlight holds the last index of each unacknowledged Append message.
	inFlight []uint64
	// sentCommit is the last commit index sent in an Append.
	sentCommit uint64
	// active is set if there was a reply since the last quorum check.
	active bool
	// readSequence is the newest read sequence that the member has confirmed.
	readSequence uint64
	// snapshot and offset identify the next chunk to send.
	snapshot SnapshotMeta
	offset   uint64
}

func (p *progress) probe(next uint64) {
	p.mode, p.next = probing, max(next, p.match+1)
	p.waiting, p.inFlight = false, nil
}

// acknowledge records that the follower's log matches the leader's up to index.
func (p *progress) acknowledge(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	done := 0
	for done < len(p.inFlight) && p.inFlight[done] <= index {
		done++
	}
	p.inFlight = p.inFlight[done:]
}

func (p *progress) startSnapshot(meta SnapshotMeta) {
	p.mode, p.snapshot, p.offset, p.waiting, p.inFlight = sendingSnapshot, meta, 0, false, nil
}
