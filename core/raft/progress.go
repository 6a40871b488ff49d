package raft

// flow tells how a leader sends entries to one follower.
type flow uint8

const (
	// probing sends one message and waits for its answer, since the match is
	// not known.
	probing flow = iota
	// streaming sends ahead of the answers, up to the in-flight limit.
	streaming
	// installing sends the chunks of a snapshot, one at a time.
	installing
)

// progress is what a leader knows about one member under one disk identity.
type progress struct {
	disk  DiskID
	match uint64
	next  uint64
	flow  flow
	// waiting is set while a probe or a chunk is unanswered; a heartbeat
	// answer clears it, so that a lost message is repeated.
	waiting bool
	// flights are the last indexes of unanswered Append messages.
	flights []uint64
	// commit is the newest committed index sent.
	commit uint64
	// active is set by any answer since the last quorum check.
	active bool
	// sequence is the newest confirmed read sequence.
	sequence uint64
	// snapshot and offset say which chunk is next.
	snapshot SnapshotMeta
	offset   uint64
}

func (p *progress) probe(next uint64) {
	p.flow, p.next = probing, max(next, p.match+1)
	p.waiting, p.flights = false, nil
}

// acknowledge records that the follower's log matches up to index.
func (p *progress) acknowledge(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	done := 0
	for done < len(p.flights) && p.flights[done] <= index {
		done++
	}
	p.flights = p.flights[done:]
}

func (p *progress) install(meta SnapshotMeta) {
	p.flow, p.snapshot, p.offset, p.waiting, p.flights = installing, meta, 0, false, nil
}
