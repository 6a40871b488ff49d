package raft

// entryLog holds the log entries after the last compacted one.
// Invariants: applied <= commit <= last; synced <= emitted <= last.
type entryLog struct {
	compacted SnapshotMeta
	entries   []Entry
	commit    uint64
	applied   uint64
	// emitted is the last index returned in Ready for persisting; synced is the last
	// index known to be on disk.
	emitted uint64
	synced  uint64
}

func newLog(s PersistentState) entryLog {
	l := entryLog{compacted: s.Snapshot, entries: s.Entries}
	l.commit = min(max(s.Hard.Commit, s.Snapshot.Index), l.last())
	l.applied = s.Snapshot.Index
	l.emitted, l.synced = l.last(), l.last()
	return l
}

func (l *entryLog) last() uint64 { return l.compacted.Index + uint64(len(l.entries)) }

// term returns the term of the entry at an index, or false if the entry is compacted or
// beyond the end of the log.
func (l *entryLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.compacted.Index:
		return l.compacted.Term, true
	case i < l.compacted.Index || i > l.last():
		return 0, false
	default:
		return l.entries[i-l.compacted.Index-1].Term, true
	}
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

func (l *entryLog) hasEntry(i, term uint64) bool {
	t, ok := l.term(i)
	return ok && t == term
}

// upToDate reports whether a log that ends at (index, term) is at least as up-to-date as
// this one, as defined by Raft's election restriction.
func (l *entryLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// slice returns the entries in the inclusive range from..to, as a slice that is unaffected
// by later truncation.
func (l *entryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	a, b := from-l.compacted.Index-1, to-l.compacted.Index
	return l.entries[a:b:b]
}

// limitedSlice returns entries starting at an index, up to limit bytes in total but at
// least one entry.
func (l *entryLog) limitedSlice(from uint64, limit int) []Entry {
	all := l.slice(from, l.last())
	size := 0
	for i, e := range all {
		size += e.size()
		if i > 0 && size > limit {
			return all[:i:i]
		}
	}
	return all
}

func (l *entryLog) append(e ...Entry) { l.entries = append(l.entries, e...) }

// truncate removes all entries from an index on. The array is copied because queued
// messages still refer to the old one.
func (l *entryLog) truncate(from uint64) {
	keep := from - l.compacted.Index - 1
	l.entries = append([]Entry(nil), l.entries[:keep]...)
	l.emitted = min(l.emitted, from-1)
	l.synced = min(l.synced, from-1)
}

// conflictHint returns the index and term of the newest entry at or before index whose
// term is at most term. A follower sends it with a rejection, and the leader applies it to
// the hint to skip the entries that can't match.
func (l *entryLog) conflictHint(index, term uint64) (uint64, uint64) {
	i := min(index, l.last())
	for ; i > l.compacted.Index; i-- {
		if t, ok := l.term(i); ok && t <= term {
			return i, t
		}
	}
	t, _ := l.term(i)
	if i > 0 && t > term {
		// The last compacted entry conflicts too, so the follower needs a snapshot.
		return i - 1, 0
	}
	return i, t
}

// compact removes the entries up to and including the snapshot's index.
func (l *entryLog) compact(meta SnapshotMeta) {
	l.entries = append([]Entry(nil), l.entries[meta.Index-l.compacted.Index:]...)
	l.compacted = meta
}

// reset replaces the whole log with a snapshot.
func (l *entryLog) reset(meta SnapshotMeta) {
	*l = entryLog{compacted: meta, commit: meta.Index, applied: meta.Index, emitted: meta.Index, synced: meta.Index}
}
