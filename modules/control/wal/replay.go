package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"github.com/go-faster/errors"

	"heatherway.dev/core/raft"
	"heatherway.dev/kernel/result"
)

// damageError returns an error with the position of the damage.
func damageError(path string, offset int64, format string, args ...any) error {
	return result.New(result.LogDamaged, "%s at offset %d: %s", path, offset, fmt.Sprintf(format, args...))
}

// replayedGroup is the log of one group as far as it has been replayed.
type replayedGroup struct {
	hard     raft.HardState
	snapshot snapshotMark
	entries  []raft.Entry
	// gapPath and gapOffset are the position of an entry that does not follow the
	// previous one. A later snapshot mark may cover the gap.
	gapPath   string
	gapOffset int64
}

func (r *replayedGroup) lastIndex() uint64 {
	if n := len(r.entries); n > 0 {
		return r.entries[n-1].Index
	}
	return r.snapshot.index
}

// addEntry appends an entry. If entries exist at its index or after it, it replaces them.
func (r *replayedGroup) addEntry(e raft.Entry, path string, offset int64) {
	switch {
	case e.Index > r.lastIndex()+1:
		r.entries = nil
		r.gapPath, r.gapOffset = path, offset
	case len(r.entries) > 0 && e.Index <= r.lastIndex():
		first := r.entries[0].Index
		r.entries = r.entries[:max(e.Index, first)-first]
	}
	r.entries = append(r.entries, e)
}

func (r *replayedGroup) applySnapshotMark(m snapshotMark) {
	r.snapshot = m
	if m.install {
		r.entries = nil
		return
	}
	keep := sort.Search(len(r.entries), func(i int) bool { return r.entries[i].Index > m.index })
	r.entries = r.entries[keep:]
}

// replaySegments reads all segments in order. A segment that is missing between others was removed,
// while an older one that was removed with it has come back after a loss of power: a segment is
// removed only after all older ones, once snapshots cover it.
func (w *WAL) replaySegments() (map[Group]*replayedGroup, error) {
	paths, err := filepath.Glob(filepath.Join(w.folder, segmentFolder, "*"+segmentSuffix))
	if err != nil {
		return nil, result.Wrap(result.DataFolder, err, "cannot list segments")
	}
	sort.Strings(paths)
	groups := map[Group]*replayedGroup{}
	for i, path := range paths {
		var number uint64
		if _, err := fmt.Sscanf(filepath.Base(path), "%016x"+segmentSuffix, &number); err != nil {
			return nil, damageError(path, 0, "invalid segment file name")
		}
		if i > 0 && number != w.segments[i-1].number+1 {
			w.returned = i
		}
		s := &segment{number: number, path: path, last: map[Group]uint64{}}
		w.segments = append(w.segments, s)
		if err := w.replaySegment(s, groups, i == len(paths)-1); err != nil {
			return nil, err
		}
	}
	return groups, nil
}

func (w *WAL) replaySegment(s *segment, groups map[Group]*replayedGroup, newest bool) error {
	b, err := os.ReadFile(s.path)
	if err != nil {
		return result.Wrap(result.DataFolder, err, "cannot read "+s.path)
	}
	salt, ok := parseSegmentHeader(b)
	if !ok && newest && len(b) <= segmentHeaderBytes {
		return nil // an earlier release was interrupted while it created the segment
	}
	if !ok {
		return damageError(s.path, 0, "invalid segment header or unsupported format version")
	}
	s.salt = salt
	offset := int64(segmentHeaderBytes)
	for offset < int64(len(b)) {
		rec, ok := parseRecord(b[offset:], s.salt)
		if !ok {
			return w.truncateTornBatch(s, b, offset, newest)
		}
		s.used = s.used || !rec.inPreamble()
		if rec.kind != typeBatch {
			if err := applyRecord(rec, s, groups, offset); err != nil {
				return damageError(s.path, offset, "%v", err)
			}
		}
		offset += rec.size
	}
	return nil
}

// truncateTornBatch truncates an incomplete last batch at its first unreadable record.
// If a batch starts after that record, the record had been synced and was damaged later.
func (w *WAL) truncateTornBatch(s *segment, b []byte, offset int64, newest bool) error {
	if !newest || containsBatch(b[offset+1:], s.salt) {
		return damageError(s.path, offset, "unreadable record before the end of the log")
	}
	f, err := w.files.OpenFile(s.path, os.O_WRONLY, filePermission)
	if err != nil {
		return result.Wrap(result.DataFolder, err, "cannot open a segment to truncate a torn record")
	}
	err = errors.Join(f.Truncate(offset), f.Sync(), f.Close())
	if err != nil {
		return result.Wrap(result.DataFolder, err, "cannot truncate a torn record")
	}
	return nil
}

func applyRecord(rec record, s *segment, groups map[Group]*replayedGroup, offset int64) error {
	g := groups[rec.group]
	if g == nil {
		g = &replayedGroup{}
		groups[rec.group] = g
	}
	switch rec.kind {
	case typeEntry:
		e, err := decodeEntry(rec.payload)
		if err != nil {
			return err
		}
		g.addEntry(e, s.path, offset)
		s.last[rec.group] = max(s.last[rec.group], e.Index)
	case typeHardState:
		h, err := decodeHardState(rec.payload)
		if err != nil {
			return err
		}
		g.hard = h
	case typeSnapshotMark:
		m, err := decodeSnapshotMark(rec.payload)
		if err != nil {
			return err
		}
		g.applySnapshotMark(m)
	}
	return nil
}

// checkReturned checks that snapshots cover the segments before the last missing one, which have
// been removed before it. Otherwise the missing one was lost with entries that are needed.
func (w *WAL) checkReturned(groups map[Group]*replayedGroup) error {
	for _, s := range w.segments[:w.returned] {
		for g, last := range s.last {
			if snapshot := groups[g].snapshot.index; last > snapshot {
				return damageError(w.segments[w.returned].path, 0, "segment %d is missing, and group %d needs entry %d of segment %d before it",
					w.segments[w.returned].number-1, g, snapshot+1, s.number)
			}
		}
	}
	return nil
}

// restoreGroups checks that each group's entries follow its snapshot without a
// gap, and removes snapshot files that no record refers to.
func (w *WAL) restoreGroups(groups map[Group]*replayedGroup) (map[Group]raft.PersistentState, error) {
	if err := w.checkReturned(groups); err != nil {
		return nil, err
	}
	out := make(map[Group]raft.PersistentState, len(groups))
	for g, r := range groups {
		stored := raft.PersistentState{Hard: r.hard, Entries: r.entries}
		if last := r.lastIndex(); r.hard.Commit > last {
			return nil, damageError(w.folder, 0, "entries of group %d from %d to %d are missing at the end", g, last+1, r.hard.Commit)
		}
		if len(r.entries) > 0 && r.entries[0].Index != r.snapshot.index+1 {
			return nil, damageError(r.gapPath, r.gapOffset, "entries of group %d from %d to %d are missing",
				g, r.snapshot.index+1, r.entries[0].Index-1)
		}
		if r.snapshot.index > 0 {
			s, err := w.readSnapshot(g, r.snapshot.index)
			if err != nil {
				return nil, err
			}
			stored.Snapshot = s.Meta
			w.snapshots[g] = s.Meta
		}
		w.groups[g] = &groupState{hard: r.hard, snapshot: r.snapshot}
		out[g] = stored
	}
	return out, w.removeUnreferencedSnapshots()
}
