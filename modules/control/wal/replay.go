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

// damaged names the place of the first unreadable record.
func damaged(path string, offset int64, format string, args ...any) error {
	return result.New(result.LogDamaged, "%s at offset %d: %s", path, offset, fmt.Sprintf(format, args...))
}

// replayed is the log of one group as far as it has been read.
type replayed struct {
	hard    raft.HardState
	mark    mark
	entries []raft.Entry
	// gapPath and gapOffset are where entries start that do not follow the
	// previous ones; a later snapshot may cover the gap.
	gapPath   string
	gapOffset int64
}

func (r *replayed) last() uint64 {
	if n := len(r.entries); n > 0 {
		return r.entries[n-1].Index
	}
	return r.mark.index
}

// entry adds an entry. One at a lower index replaces all from there on.
func (r *replayed) entry(e raft.Entry, path string, offset int64) {
	switch {
	case e.Index > r.last()+1:
		r.entries = nil
		r.gapPath, r.gapOffset = path, offset
	case len(r.entries) > 0 && e.Index <= r.last():
		first := r.entries[0].Index
		r.entries = r.entries[:max(e.Index, first)-first]
	}
	r.entries = append(r.entries, e)
}

func (r *replayed) setMark(m mark) {
	r.mark = m
	if m.install {
		r.entries = nil
		return
	}
	keep := sort.Search(len(r.entries), func(i int) bool { return r.entries[i].Index > m.index })
	r.entries = r.entries[keep:]
}

// replaySegments reads all segments in order.
func (w *WAL) replaySegments() (map[Group]*replayed, error) {
	paths, err := filepath.Glob(filepath.Join(w.folder, segmentFolder, "*.log"))
	if err != nil {
		return nil, result.Wrap(result.DataFolder, err, "cannot list segments")
	}
	sort.Strings(paths)
	groups := map[Group]*replayed{}
	for i, path := range paths {
		var number uint64
		if _, err := fmt.Sscanf(filepath.Base(path), "%016x.log", &number); err != nil {
			return nil, damaged(path, 0, "not the name of a segment")
		}
		if i > 0 && number != w.segments[i-1].number+1 {
			return nil, damaged(path, 0, "segment %d is missing", w.segments[i-1].number+1)
		}
		s := &segment{number: number, path: path, last: map[Group]uint64{}}
		w.segments = append(w.segments, s)
		if err := w.replaySegment(s, groups, i == len(paths)-1); err != nil {
			return nil, err
		}
	}
	return groups, nil
}

func (w *WAL) replaySegment(s *segment, groups map[Group]*replayed, newest bool) error {
	b, err := os.ReadFile(s.path)
	if err != nil {
		return result.Wrap(result.DataFolder, err, "cannot read "+s.path)
	}
	salt, ok := parseSegmentStart(b)
	if !ok && newest && len(b) <= segmentStart {
		s.torn = true
		return nil
	}
	if !ok {
		return damaged(s.path, 0, "not the start of a segment of this version")
	}
	s.salt = salt
	offset := int64(segmentStart)
	for offset < int64(len(b)) {
		rec, ok := parseRecord(b[offset:], s.salt)
		if !ok {
			return cutTorn(s, b, offset, newest)
		}
		if rec.kind != typeBatch {
			if err := takeRecord(rec, s, groups, offset); err != nil {
				return damaged(s.path, offset, "%v", err)
			}
		}
		offset += rec.size
	}
	return nil
}

// cutTorn removes an incomplete last batch from its first unreadable record on.
// A batch that starts after it shows that the record had been synced whole and
// was damaged later.
func cutTorn(s *segment, b []byte, offset int64, newest bool) error {
	if !newest || anyBatch(b[offset+1:], s.salt) {
		return damaged(s.path, offset, "unreadable record before the end of the log")
	}
	f, err := os.OpenFile(s.path, os.O_WRONLY, filePermission)
	if err != nil {
		return result.Wrap(result.DataFolder, err, "cannot cut off a torn record")
	}
	err = errors.Join(f.Truncate(offset), f.Sync(), f.Close())
	if err != nil {
		return result.Wrap(result.DataFolder, err, "cannot cut off a torn record")
	}
	return nil
}

func takeRecord(rec record, s *segment, groups map[Group]*replayed, offset int64) error {
	g := groups[rec.group]
	if g == nil {
		g = &replayed{}
		groups[rec.group] = g
	}
	switch rec.kind {
	case typeEntry:
		e, err := decodeEntry(rec.payload)
		if err != nil {
			return err
		}
		g.entry(e, s.path, offset)
		s.last[rec.group] = max(s.last[rec.group], e.Index)
	case typeHard:
		h, err := decodeHard(rec.payload)
		if err != nil {
			return err
		}
		g.hard = h
	case typeMark:
		m, err := decodeMark(rec.payload)
		if err != nil {
			return err
		}
		g.setMark(m)
	}
	return nil
}

// restoreGroups checks that each group's entries follow its snapshot without a
// gap, and drops snapshot files that no record names.
func (w *WAL) restoreGroups(groups map[Group]*replayed) (map[Group]raft.PersistentState, error) {
	out := make(map[Group]raft.PersistentState, len(groups))
	for g, r := range groups {
		stored := raft.PersistentState{Hard: r.hard, Entries: r.entries}
		if len(r.entries) > 0 && r.entries[0].Index != r.mark.index+1 {
			return nil, damaged(r.gapPath, r.gapOffset, "entries of group %d from %d to %d are missing",
				g, r.mark.index+1, r.entries[0].Index-1)
		}
		if r.mark.index > 0 {
			s, err := w.readSnapshot(g, r.mark.index)
			if err != nil {
				return nil, err
			}
			stored.Snapshot = s.Meta
			w.snapshots[g] = s.Meta
		}
		w.groups[g] = &groupState{hard: r.hard, mark: r.mark}
		out[g] = stored
	}
	return out, w.dropStaleSnapshots()
}
