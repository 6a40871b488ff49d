package wal

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"heatherway.dev/core/raft"
	"heatherway.dev/heatherway/internal/disk"
)

// snapshotMagic is at the start of each snapshot file. It is followed by the CRC32C
// over the rest of the file, the length of the metadata, the metadata and the data.
const snapshotMagic = "HWSNAP\x00\x01"

const (
	snapshotChecksumOffset = len(snapshotMagic)
	snapshotLengthOffset   = snapshotChecksumOffset + 4
	snapshotMetaOffset     = snapshotLengthOffset + 4
	snapshotSuffix         = ".snap"
)

func (w *WAL) snapshotPath(g Group, index uint64) string {
	return filepath.Join(w.folder, snapshotFolder, fmt.Sprintf("%08x-%016x%s", uint32(g), index, snapshotSuffix))
}

// WriteSnapshot writes a snapshot file: it writes, syncs and renames a temporary file
// and then syncs the folder. The snapshot takes effect only after Compact or Install
// and a Sync.
func (w *WAL) WriteSnapshot(g Group, s raft.Snapshot) error {
	meta, err := json.Marshal(s.Meta)
	if err != nil {
		return errors.Wrap(err, "encode snapshot metadata")
	}
	b := make([]byte, snapshotMetaOffset, snapshotMetaOffset+len(meta)+len(s.Data))
	copy(b, snapshotMagic)
	binary.LittleEndian.PutUint32(b[snapshotLengthOffset:], uint32(len(meta)))
	b = append(append(b, meta...), s.Data...)
	binary.LittleEndian.PutUint32(b[snapshotChecksumOffset:], crc32.Checksum(b[snapshotLengthOffset:], castagnoli))
	return disk.Replace(w.files, w.snapshotPath(g, s.Meta.Index), b)
}

// Compact buffers a record that a written snapshot covers the log up to its index.
// After the next Sync, RemoveObsolete removes the files that are no longer needed.
func (w *WAL) Compact(g Group, meta raft.SnapshotMeta) { w.addSnapshotMark(g, meta, false) }

// Install buffers a record that a written snapshot replaces the whole log.
func (w *WAL) Install(g Group, meta raft.SnapshotMeta) { w.addSnapshotMark(g, meta, true) }

func (w *WAL) addSnapshotMark(g Group, meta raft.SnapshotMeta, install bool) {
	m := snapshotMark{meta.Index, meta.Term, install}
	w.buffer = appendRecord(w.buffer, w.salt(), typeSnapshotMark, g, encodeSnapshotMark(m))
	w.group(g).snapshot = m
	w.mu.Lock()
	w.snapshots[g] = meta
	w.mu.Unlock()
}

// RemoveObsolete removes the oldest segments as long as snapshots cover all their
// entries, and snapshot files that were replaced. It must be called after a Sync. Until the
// folder is synced, a loss of power may bring back any of the removed segments.
func (w *WAL) RemoveObsolete() error {
	removed := false
	for len(w.segments) > 1 && w.coveredBySnapshots(w.segments[0]) {
		if err := w.files.Remove(w.segments[0].path); err != nil && !os.IsNotExist(err) {
			return errors.Wrap(err, "remove segment")
		}
		w.segments, removed = w.segments[1:], true
	}
	if removed {
		if err := w.files.SyncFolder(filepath.Join(w.folder, segmentFolder)); err != nil {
			return errors.Wrap(err, "sync the folder of removed segments")
		}
	}
	return w.removeReplacedSnapshots()
}

func (w *WAL) coveredBySnapshots(s *segment) bool {
	for g, last := range s.last {
		if last > w.group(g).snapshot.index {
			return false
		}
	}
	return true
}

// PinningGroups returns the groups whose entries prevent the removal of the oldest
// segment, if there are at least the given number of segments. A group with few
// writes rarely reaches the number of entries at which it is compacted, and would
// keep all later segments.
func (w *WAL) PinningGroups(segments int) []Group {
	if len(w.segments) < segments {
		return nil
	}
	var out []Group
	for g, last := range w.segments[0].last {
		if last > w.group(g).snapshot.index {
			out = append(out, g)
		}
	}
	return out
}

// Segments returns the number of segment files.
func (w *WAL) Segments() int { return len(w.segments) }

// removeUnreferencedSnapshots removes snapshot files that no synced record refers to.
func (w *WAL) removeUnreferencedSnapshots() error {
	return w.removeSnapshots(func(g Group, index uint64) bool { return index != w.snapshots[g].Index })
}

// removeReplacedSnapshots removes older snapshot files. It keeps newer ones, whose
// records may not have been written yet.
func (w *WAL) removeReplacedSnapshots() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.removeSnapshots(func(g Group, index uint64) bool { return index < w.snapshots[g].Index })
}

func (w *WAL) removeSnapshots(stale func(Group, uint64) bool) error {
	files, err := os.ReadDir(filepath.Join(w.folder, snapshotFolder))
	if err != nil {
		return errors.Wrap(err, "list snapshots")
	}
	for _, f := range files {
		var g uint32
		var index uint64
		_, err := fmt.Sscanf(f.Name(), "%08x-%016x"+snapshotSuffix, &g, &index)
		if err == nil && !stale(Group(g), index) {
			continue
		}
		if err := w.files.Remove(filepath.Join(w.folder, snapshotFolder, f.Name())); err != nil && !os.IsNotExist(err) {
			return errors.Wrap(err, "remove snapshot")
		}
	}
	return nil
}

// Snapshot reads the newest snapshot of a group. Its index is zero if there is none.
func (w *WAL) Snapshot(g Group) (raft.Snapshot, error) {
	w.mu.Lock()
	meta := w.snapshots[g]
	w.mu.Unlock()
	if meta.Index == 0 {
		return raft.Snapshot{}, nil
	}
	return w.readSnapshot(g, meta.Index)
}

func (w *WAL) readSnapshot(g Group, index uint64) (raft.Snapshot, error) {
	path := w.snapshotPath(g, index)
	b, err := os.ReadFile(path)
	if err != nil {
		return raft.Snapshot{}, damageError(path, 0, "%v", err)
	}
	if len(b) < snapshotMetaOffset || string(b[:len(snapshotMagic)]) != snapshotMagic {
		return raft.Snapshot{}, damageError(path, 0, "invalid snapshot header or unsupported format version")
	}
	if crc32.Checksum(b[snapshotLengthOffset:], castagnoli) != binary.LittleEndian.Uint32(b[snapshotChecksumOffset:]) {
		return raft.Snapshot{}, damageError(path, int64(snapshotChecksumOffset), "checksum does not match")
	}
	end := snapshotMetaOffset + int(binary.LittleEndian.Uint32(b[snapshotLengthOffset:]))
	var s raft.Snapshot
	if end > len(b) {
		return s, damageError(path, int64(snapshotLengthOffset), "metadata is longer than the file")
	}
	if err := json.Unmarshal(b[snapshotMetaOffset:end], &s.Meta); err != nil {
		return s, damageError(path, int64(snapshotMetaOffset), "%v", err)
	}
	s.Data = b[end:]
	return s, nil
}

// SnapshotChunk reads a part of a snapshot's data. It fails if the snapshot has been
// replaced in the meantime.
func (w *WAL) SnapshotChunk(g Group, meta raft.SnapshotMeta, offset uint64, limit int) ([]byte, error) {
	f, err := os.Open(w.snapshotPath(g, meta.Index))
	if err != nil {
		return nil, errors.Wrap(err, "open snapshot")
	}
	defer func() { _ = f.Close() }()
	st, err := f.Stat()
	if err != nil {
		return nil, errors.Wrap(err, "stat snapshot")
	}
	if offset > meta.Size || uint64(st.Size()) < meta.Size {
		return nil, errors.Errorf("offset %d is outside the snapshot", offset)
	}
	b := make([]byte, min(uint64(limit), meta.Size-offset))
	start := uint64(st.Size()) - meta.Size + offset
	if _, err := f.ReadAt(b, int64(start)); err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.Wrap(err, "read snapshot")
	}
	return b, nil
}
