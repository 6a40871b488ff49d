// Package wal stores the replicated logs of several groups in one segmented
// write-ahead log in a data folder.
//
// Layout: "identity.json" contains the IDs of the member and its disk, "wal/" the
// segments and "snapshots/" one file for each snapshot.
//
// Write order: Append only buffers; Sync writes the buffered records of all groups
// and syncs once. Nothing that depends on records that are not synced may leave the
// process. A new segment starts only between batches, after the previous
// segment is synced, so torn records can only be in the last batch of the last
// segment.
package wal

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/raft"
	"heatherway.dev/heatherway/internal/disk"
	"heatherway.dev/kernel/result"
)

// Group numbers a replicated log.
type Group uint32

// DefaultSegmentBytes is the size at which a new segment is started.
const DefaultSegmentBytes = 16 << 20

const (
	segmentFolder  = "wal"
	segmentSuffix  = ".log"
	snapshotFolder = "snapshots"
	filePermission = disk.FilePermission
	dirPermission  = 0o700
)

// Options configures a write-ahead log. Zero values are replaced by defaults.
type Options struct {
	SegmentBytes int64
	Files        disk.Files
}

// WAL is an open write-ahead log. Only one goroutine may write to it. Other goroutines
// may read snapshots and write snapshot files concurrently.
type WAL struct {
	folder       string
	files        disk.Files
	segmentBytes int64
	identity     Identity
	lock         *os.File

	segments []*segment
	// returned is the number of segments before the last one that was missing at the opening.
	returned int
	current  disk.File
	size     int64
	buffer   []byte
	unsynced []entryPosition
	failure  error

	groups map[Group]*groupState
	loaded map[Group]raft.PersistentState

	mu        sync.Mutex
	snapshots map[Group]raft.SnapshotMeta

	// SyncTime is the duration of the last Sync.
	SyncTime time.Duration
}

// segment describes one segment file. last holds the highest entry index of each group
// in it. A segment can be removed once snapshots cover all of them.
type segment struct {
	number uint64
	path   string
	salt   uint32
	// used is set if the segment has records behind its preamble. One without any is created
	// anew when the log is opened: its preamble may be incomplete, or its name not synced.
	used bool
	last map[Group]uint64
}

// entryPosition is the group and index of an entry in the unsynced buffer.
type entryPosition struct {
	group Group
	index uint64
}

// groupState is written at the start of each segment, so that older segments need not
// be kept for it.
type groupState struct {
	hard     raft.HardState
	snapshot snapshotMark
}

// Open opens the log of a member and creates it in an empty folder. A torn last
// batch is truncated. Open fails with result code 1010 if the log is damaged before
// it, with 1011 if the folder belongs to another member, and with 1006 if the folder
// is in use.
func Open(folder string, member raft.MemberID, o Options) (*WAL, error) {
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if o.Files == nil {
		o.Files = disk.OS
	}
	w := &WAL{folder: folder, files: o.Files, segmentBytes: o.SegmentBytes, groups: map[Group]*groupState{},
		snapshots: map[Group]raft.SnapshotMeta{}}
	for _, f := range []string{folder, filepath.Join(folder, segmentFolder), filepath.Join(folder, snapshotFolder)} {
		if err := disk.CreateFolder(o.Files, f, dirPermission); err != nil {
			return nil, result.Wrap(result.DataFolder, err, "cannot create "+f)
		}
	}
	if err := w.open(member); err != nil {
		w.closeFiles()
		return nil, err
	}
	return w, nil
}

func (w *WAL) open(member raft.MemberID) error {
	var err error
	if w.lock, err = lockFolder(w.folder); err != nil {
		return err
	}
	if err := w.removeTemporaryFiles(); err != nil {
		return err
	}
	replay, err := w.replaySegments()
	if err != nil {
		return err
	}
	hasSegment := len(w.segments) > 0
	if w.loaded, err = w.restoreGroups(replay); err != nil {
		return err
	}
	if err := w.checkIdentity(hasSegment, len(replay) > 0); err != nil {
		return err
	}
	if err := w.openCurrent(); err != nil {
		return err
	}
	return w.createIdentity(member)
}

// removeTemporaryFiles removes what a killed process has not finished writing. Other parts of
// the role may save files of their own in the folder meanwhile.
func (w *WAL) removeTemporaryFiles() error {
	for _, pattern := range []string{identityFile, filepath.Join(segmentFolder, "*"), filepath.Join(snapshotFolder, "*")} {
		paths, err := filepath.Glob(filepath.Join(w.folder, pattern+disk.TemporarySuffix))
		if err != nil {
			return result.Wrap(result.DataFolder, err, "cannot list temporary files")
		}
		for _, path := range paths {
			if err := w.files.Remove(path); err != nil {
				return result.Wrap(result.DataFolder, err, "cannot remove a temporary file")
			}
		}
	}
	return nil
}

// Identity returns the IDs of the member and disk that the folder belongs to.
func (w *WAL) Identity() Identity { return w.identity }

// Loaded returns the state that Open has read from disk. Only the first call returns
// it, since the log keeps no copy.
func (w *WAL) Loaded() map[Group]raft.PersistentState {
	l := w.loaded
	w.loaded = nil
	return l
}

// Append buffers entries and the hard state of a group. The entries are written before
// the hard state, so that its commit index is never beyond the last entry after a torn
// write.
func (w *WAL) Append(g Group, hard *raft.HardState, entries []raft.Entry) {
	for _, e := range entries {
		w.buffer = appendRecord(w.buffer, w.salt(), typeEntry, g, encodeEntry(e))
		w.unsynced = append(w.unsynced, entryPosition{g, e.Index})
	}
	if hard != nil {
		w.buffer = appendRecord(w.buffer, w.salt(), typeHardState, g, encodeHardState(*hard))
		w.group(g).hard = *hard
	}
}

// salt returns the salt of the segment to which the buffer will be written. Sync starts
// a new segment only after a batch, never between Append and the write.
func (w *WAL) salt() uint32 { return w.segments[len(w.segments)-1].salt }

func (w *WAL) group(g Group) *groupState {
	s := w.groups[g]
	if s == nil {
		s = &groupState{}
		w.groups[g] = s
	}
	return s
}

// Sync writes the buffered records of all groups and syncs once. After a failure every
// later call fails too: the kernel may have dropped the dirty pages, so a successful
// retry would not prove that the data is durable.
func (w *WAL) Sync() error {
	if w.failure != nil {
		return w.failure
	}
	if len(w.buffer) == 0 {
		return nil
	}
	w.failure = w.writeBuffer()
	if w.failure == nil && w.size >= w.segmentBytes {
		w.failure = w.startNextSegment()
	}
	return w.failure
}

// writeBuffer writes and syncs the buffer as one batch. A batch that fails is cut off again,
// since nothing proves that it is durable, and a part of it takes up room.
func (w *WAL) writeBuffer() error {
	n, err := w.writeBatch()
	if err != nil {
		return errors.Wrap(errors.Join(err, w.current.Truncate(w.size)), "write to "+w.segments[len(w.segments)-1].path)
	}
	w.size += int64(n)
	last := w.segments[len(w.segments)-1].last
	for _, p := range w.unsynced {
		last[p.group] = max(last[p.group], p.index)
	}
	w.unsynced = w.unsynced[:0]
	if cap(w.buffer) > maxRetainedBuffer {
		w.buffer = nil
	}
	w.buffer = w.buffer[:0]
	return nil
}

func (w *WAL) writeBatch() (int, error) {
	batch := appendRecord(make([]byte, 0, recordHeaderBytes+len(w.buffer)), w.salt(), typeBatch, 0, nil)
	n, err := w.current.Write(append(batch, w.buffer...))
	if err != nil {
		return n, err
	}
	start := time.Now()
	if err := w.current.Sync(); err != nil {
		return n, errors.Wrap(err, "sync")
	}
	w.SyncTime = time.Since(start)
	return n, nil
}

// maxRetainedBuffer bounds the buffer that is kept between batches.
const maxRetainedBuffer = 4 << 20

// startNextSegment starts a new segment. All records in the previous one must be synced.
func (w *WAL) startNextSegment() error {
	if err := w.current.Close(); err != nil {
		return errors.Wrap(err, "close segment")
	}
	return w.createSegment(w.segments[len(w.segments)-1].number + 1)
}

func (w *WAL) segmentPath(number uint64) string {
	return filepath.Join(w.folder, segmentFolder, fmt.Sprintf("%016x%s", number, segmentSuffix))
}

// createSegment creates a segment that starts with the state of every group, so
// that older segments are needed only for their entries. It appears under its name only
// once that state is synced: with a part of it, groups would lose their votes and snapshots
// when the older segments are removed.
func (w *WAL) createSegment(number uint64) error {
	path := w.segmentPath(number)
	s := &segment{number: number, path: path, salt: rand.Uint32(), last: map[Group]uint64{}}
	preamble := w.segmentPreamble(s.salt)
	if err := disk.Replace(w.files, path, preamble); err != nil {
		return errors.Wrap(err, "create segment")
	}
	f, err := w.files.OpenFile(path, os.O_WRONLY|os.O_APPEND, filePermission)
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	w.current, w.size = f, int64(len(preamble))
	if n := len(w.segments); n > 0 && w.segments[n-1].number == number {
		w.segments = w.segments[:n-1]
	}
	w.segments = append(w.segments, s)
	return nil
}

func (w *WAL) segmentPreamble(salt uint32) []byte {
	b := appendSegmentHeader(nil, salt)
	for g, s := range w.groups {
		if s.snapshot.index > 0 {
			m := snapshotMark{index: s.snapshot.index, term: s.snapshot.term}
			b = appendRecord(b, salt, typeSnapshotMark, g, encodeSnapshotMark(m))
		}
		b = appendRecord(b, salt, typeHardState, g, encodeHardState(s.hard))
	}
	return b
}

// openCurrent opens the last segment for writing and creates it if necessary.
func (w *WAL) openCurrent() error {
	if len(w.segments) == 0 {
		return w.createSegment(1)
	}
	s := w.segments[len(w.segments)-1]
	if !s.used {
		return w.createSegment(s.number)
	}
	f, err := w.files.OpenFile(s.path, os.O_WRONLY|os.O_APPEND, filePermission)
	if err != nil {
		return result.Wrap(result.DataFolder, err, "cannot open the last segment")
	}
	w.current = f
	if err := f.Sync(); err != nil { // a killed process may have written a batch without syncing it
		return result.Wrap(result.DataFolder, err, "cannot sync the last segment")
	}
	st, err := os.Stat(s.path)
	if err != nil {
		return result.Wrap(result.DataFolder, err, "cannot read the last segment")
	}
	w.size = st.Size()
	return nil
}

// Close closes the files. Buffered records that were not synced are discarded.
func (w *WAL) Close() error {
	if w.failure == nil {
		w.failure = errors.New("write-ahead log is closed")
	}
	return w.closeFiles()
}

func (w *WAL) closeFiles() error {
	var errs []error
	if w.current != nil {
		errs = append(errs, w.current.Close())
	}
	if w.lock != nil {
		errs = append(errs, w.lock.Close())
	}
	return errors.Join(errs...)
}
