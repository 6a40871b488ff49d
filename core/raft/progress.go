package raft

// flow tells how a leader sends entries to one follower.
type replicationMode uint8

const (
	// probing sends one message and waits for its answer, since the match is
	// not known.
	probing replicationMode = iota
	// streaming sends ahead of the answers, up to the in-flight limit.
	pipelining
	// installing sends the chunks of a snapshot, one at a time.
	sendingSnapshot
)

// progress is what a leader knows about one member under one disk identity.
type progress struct {
	disk  DiskID
	match uint64
	next  uint64
	mode  replicationMode
	// waiting is set while a probe or a chunk is unanswered; a heartbeat
	// answer clears it, so that a lost message is repeated.
	waiting bool
	// flights are the last indexes of unanswered Append messages.
	inFlight []uint64
	// commit is the newest committed index sent.
	sentCommit uint64
	// active is set by any answer since the last quorum check.
	active bool
	// sequence is the newest confirmed read sequence.
	readSequence uint64
	// snapshot and offset say which chunk is next.
	snapshot SnapshotMeta
	offset   uint64
}

func (p *progress) probe(next uint64) {
	p.mode, p.next = probing, max(next, p.match+1)
	p.waiting, p.inFlight = false, nil
}

// acknowledge records that the follower's log matches up to index.
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
