package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/raft"
	"heatherway.dev/heatherway/internal/disk"
	"heatherway.dev/heatherway/internal/disk/disktest"
	"heatherway.dev/kernel/result"
)

const (
	busyGroup = Group(1)
	// idleGroup gets a vote, entries and a snapshot at the beginning only, so that later
	// segments hold its state in their preambles alone.
	idleGroup = Group(2)
)

// writer writes to a log on a disk that fails, and knows what has been acknowledged.
type writer struct {
	*testing.T
	folder string
	disk   *disktest.Disk
	// files, if set, takes the place of disk.
	files  disk.Files
	wal    *WAL
	last   map[Group]uint64
	synced map[Group]uint64
	hard   map[Group]raft.HardState
	// compacted holds the index of each group's newest snapshot that took effect.
	compacted map[Group]uint64
	reopened  int
}

func newWriter(t *testing.T, folder string) *writer {
	return &writer{T: t, folder: folder, disk: &disktest.Disk{}, last: map[Group]uint64{}, synced: map[Group]uint64{},
		hard: map[Group]raft.HardState{}, compacted: map[Group]uint64{}}
}

func (w *writer) options() Options {
	if w.files != nil {
		return Options{SegmentBytes: 600, Files: w.files}
	}
	return Options{SegmentBytes: 600, Files: w.disk}
}

// open opens the log. After a failure it is tried again while the disk is full, and once
// more when it has room.
func (w *writer) open() {
	w.Helper()
	var err error
	if w.wal, err = Open(w.folder, member, w.options()); err == nil {
		w.verify()
		return
	}
	w.reopen()
}

func (w *writer) reopen() {
	w.Helper()
	w.reopened++
	if w.wal != nil {
		_ = w.wal.Close()
	}
	for range 2 {
		other, err := Open(w.folder, member, w.options())
		if err == nil {
			assert.NilError(w, other.Close())
			continue
		}
		assert.Assert(w, !result.Is(err, result.LogDamaged) && !result.Is(err, result.DiskIdentity), "after %s: %v", w.disk.Failed(), err)
	}
	w.disk.SetFull(false)
	var err error
	w.wal, err = Open(w.folder, member, w.options())
	assert.NilError(w, err, "after %s", w.disk.Failed())
	w.verify()
	w.checkNoTemporaryFiles()
}

func entry(g Group, index uint64) raft.Entry {
	return raft.Entry{Index: index, Term: 1, Data: fmt.Appendf(nil, "%d/%d %s", g, index, strings.Repeat("x", 40))}
}

// verify checks that the opened log has all that was acknowledged.
func (w *writer) verify() {
	w.Helper()
	loaded := w.wal.Loaded()
	for _, g := range []Group{busyGroup, idleGroup} {
		s := loaded[g]
		assert.Assert(w, s.Snapshot.Index >= w.compacted[g], "group %d: snapshot %d, was %d, after %s", g, s.Snapshot.Index, w.compacted[g], w.disk.Failed())
		last := s.Snapshot.Index
		for _, e := range s.Entries {
			last++
			assert.DeepEqual(w, e, entry(g, last))
		}
		assert.Assert(w, last >= w.synced[g], "group %d ends at %d, not %d, after %s", g, last, w.synced[g], w.disk.Failed())
		if want, ok := w.hard[g]; ok {
			assert.Equal(w, s.Hard, want, "group %d after %s", g, w.disk.Failed())
		}
		w.last[g], w.compacted[g] = last, s.Snapshot.Index
		snapshot, err := w.wal.Snapshot(g)
		assert.NilError(w, err)
		assert.Equal(w, snapshot.Meta.Index, s.Snapshot.Index)
	}
}

func (w *writer) checkNoTemporaryFiles() {
	w.Helper()
	assert.NilError(w, filepath.WalkDir(w.folder, func(path string, _ os.DirEntry, err error) error {
		assert.Check(w, !strings.HasSuffix(path, ".tmp"), "%s is left after %s", path, w.disk.Failed())
		return err
	}))
}

// sync acknowledges what is written, or opens the log anew.
func (w *writer) sync() bool {
	w.Helper()
	if w.wal.Sync() != nil {
		w.reopen()
		return false
	}
	for g, last := range w.last {
		w.synced[g] = last
	}
	return true
}

func (w *writer) append(g Group) {
	w.Helper()
	w.last[g]++
	w.wal.Append(g, nil, []raft.Entry{entry(g, w.last[g])})
	w.sync()
}

func (w *writer) vote(g Group) {
	w.Helper()
	hard := raft.HardState{Term: 1, Vote: "control-2", VoteDisk: "disk"}
	for w.hard[g] != hard {
		w.wal.Append(g, &hard, nil)
		if w.sync() {
			w.hard[g] = hard
		}
	}
}

// compact does as a replica: a failed snapshot or removal is tried again with the next one.
func (w *writer) compact(g Group) {
	w.Helper()
	meta := raft.SnapshotMeta{Index: w.synced[g], Term: 1, Size: 200}
	if w.wal.WriteSnapshot(g, raft.Snapshot{Meta: meta, Data: make([]byte, meta.Size)}) != nil {
		w.checkNoTemporaryFiles()
		w.disk.SetFull(false)
		return
	}
	w.wal.Compact(g, meta)
	if !w.sync() {
		return
	}
	w.compacted[g] = meta.Index
	if w.wal.RemoveObsolete() != nil {
		w.disk.SetFull(false)
	}
}

func (w *writer) run() {
	w.Helper()
	w.open()
	w.vote(busyGroup)
	w.vote(idleGroup)
	for range 3 {
		w.append(idleGroup)
	}
	w.compact(idleGroup)
	for i := range 24 {
		w.append(busyGroup)
		if i%3 == 2 {
			w.compact(busyGroup)
			w.restart()
		}
	}
	w.disk.SetFull(false)
	w.restart()
	w.checkNoTemporaryFiles()
	assert.Assert(w, w.wal.Segments() < 10, "%d segments", w.wal.Segments())
	assert.NilError(w, w.wal.Close())
}

func (w *writer) restart() {
	w.Helper()
	_ = w.wal.Close() // of a log that has failed it returns an error
	w.open()
}

// Guards against a log that cannot be opened again, has lost something acknowledged or left
// half-written files, after any one of its file operations has failed.
func TestEachFileOperationFails(t *testing.T) {
	for name, fault := range map[string]disktest.Fault{"full": disktest.Full, "short write": disktest.Short, "once": disktest.Once} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sound := newWriter(t, t.TempDir())
			sound.run()
			places := map[string]bool{}
			for n := 1; n <= sound.disk.Count(); n++ {
				w := newWriter(t, filepath.Join(t.TempDir(), fmt.Sprint(n)))
				w.disk.FailAt(n, fault)
				w.run()
				places[strings.Fields(w.disk.Failed() + " none")[0]] = true
			}
			t.Logf("%d operations of kinds %v", sound.disk.Count(), places)
		})
	}
}

// Guards against half-written files of a process that was killed, which no later opening
// removes.
func TestTemporaryFilesAreRemovedAtTheOpening(t *testing.T) {
	w := newWriter(t, t.TempDir())
	w.open()
	w.append(busyGroup)
	w.compact(busyGroup)
	assert.NilError(t, w.wal.Close())
	for _, path := range []string{w.wal.segmentPath(1), w.wal.segmentPath(2), w.wal.snapshotPath(busyGroup, 1), w.wal.snapshotPath(busyGroup, 9), w.wal.snapshotPath(5, 1)} {
		assert.NilError(t, os.WriteFile(path+disk.TemporarySuffix, make([]byte, 100), filePermission))
	}
	w.open()
	w.checkNoTemporaryFiles()
	assert.NilError(t, w.wal.Close())
}

// Guards against records whose sync failed and that the log takes for durable when it is
// opened again: they may be in memory only and go with the next power loss.
func TestUnsyncedBatchIsDropped(t *testing.T) {
	for n, place := range []string{"write", "sync"} {
		w := newWriter(t, t.TempDir())
		w.open()
		w.append(busyGroup)
		w.wal.Append(busyGroup, nil, []raft.Entry{entry(busyGroup, 2)})
		w.disk.FailAt(n+1, disktest.Once)
		assert.Assert(t, w.wal.Sync() != nil)
		assert.Equal(t, strings.Fields(w.disk.Failed())[0], place)
		_ = w.wal.Close()
		w.open()
		assert.Equal(t, w.last[busyGroup], uint64(1), place)
		assert.NilError(t, w.wal.Close())
	}
}

// Guards against a log that relies on a batch which a killed process has written, but not
// synced.
func TestOpeningSyncsTheLastBatch(t *testing.T) {
	w := newWriter(t, t.TempDir())
	w.open()
	w.append(busyGroup)
	assert.NilError(t, w.wal.Close())
	for n := 1; ; n++ {
		w.disk.FailAt(n, disktest.Once)
		other, err := Open(w.folder, member, w.options())
		if w.disk.Failed() == "" {
			assert.NilError(t, other.Close())
			t.Fatal("the segment is not synced")
		}
		if err == nil {
			assert.NilError(t, other.Close())
		}
		if strings.HasPrefix(w.disk.Failed(), "sync 0") {
			assert.Assert(t, err != nil)
			return
		}
	}
}
