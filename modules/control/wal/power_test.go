package wal

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/heatherway/internal/disk"
	"heatherway.dev/heatherway/internal/disk/disktest"
	"heatherway.dev/kernel/result"
)

// maxUndone bounds the changes of names of which all subsets are played.
const maxUndone = 6

// checkPowerLoss opens copies of the folder as a loss of power may leave it now: any of the renames
// and removals that are not synced may be undone. Each must open with all that was acknowledged, and
// once more after it has been written to.
func (w *writer) checkPowerLoss(names *disktest.Names) {
	w.Helper()
	undone := min(names.Pending(), maxUndone)
	for changes := range uint(1) << undone {
		folder := filepath.Join(w.TempDir(), "copy")
		assert.NilError(w, os.CopyFS(folder, os.DirFS(w.folder)))
		assert.NilError(w, os.Remove(filepath.Join(folder, lockFile)))
		assert.NilError(w, names.Undo(changes, w.folder, folder))
		after := &writer{T: w.T, folder: folder, disk: &disktest.Disk{}, last: map[Group]uint64{}, synced: maps.Clone(w.synced),
			hard: maps.Clone(w.hard), compacted: maps.Clone(w.compacted)}
		for range 2 {
			var err error
			after.wal, err = Open(folder, member, after.options())
			assert.NilError(w, err, "changes %b of %d undone", changes, names.Pending())
			after.verify()
			after.append(busyGroup)
			after.compact(busyGroup)
			assert.NilError(w, after.wal.Close())
		}
		assert.NilError(w, os.RemoveAll(folder))
	}
}

// Guards against an instance that refuses its log for good after a loss of power: segments that were
// removed came back one by one, and the gap between them was taken for damage. All files of the log are played,
// at each of their operations.
func TestPowerLossAtEachOperation(t *testing.T) {
	for _, batch := range []int{3, 20, 45} {
		t.Run(fmt.Sprint(batch, " entries between snapshots"), func(t *testing.T) {
			t.Parallel()
			w := newWriter(t, filepath.Join(t.TempDir(), "log"))
			names := &disktest.Names{Files: disk.OS}
			w.files = names
			w.open()
			names.Changed = func() { w.checkPowerLoss(names) }
			w.vote(busyGroup)
			w.vote(idleGroup)
			w.append(idleGroup)
			w.compact(idleGroup)
			for range 3 {
				for range batch {
					w.append(busyGroup)
				}
				w.compact(busyGroup)
			}
			assert.NilError(t, w.wal.Close())
		})
	}
}

// Guards against a log that an earlier release has left with returned segments and gaps, and is
// refused by this one.
func TestReturnedSegments(t *testing.T) {
	const entries = 60
	folder := t.TempDir()
	w := newWriter(t, filepath.Join(folder, "log"))
	names := &disktest.Names{Files: disk.OS}
	w.files = names
	w.open()
	for range entries {
		w.append(busyGroup)
	}
	all := map[string][]byte{}
	for _, path := range segmentFiles(t, w.folder) {
		b, err := os.ReadFile(path)
		assert.NilError(t, err)
		all[path] = b
	}
	w.compact(busyGroup)
	left := len(segmentFiles(t, w.folder))
	assert.NilError(t, w.wal.Close())
	removed := len(all) - left
	assert.Assert(t, removed >= 4, "%d segments removed", removed)
	for returned := range 1 << min(removed, maxUndone) {
		copied := filepath.Join(folder, fmt.Sprint("copy-", returned))
		assert.NilError(t, os.CopyFS(copied, os.DirFS(w.folder)))
		for i := range min(removed, maxUndone) {
			path := w.wal.segmentPath(uint64(i + 1))
			if returned&(1<<i) != 0 {
				assert.NilError(t, os.WriteFile(filepath.Join(copied, segmentFolder, filepath.Base(path)), all[path], filePermission))
			}
		}
		log, err := Open(copied, member, Options{})
		assert.NilError(t, err, "returned %b of %d", returned, removed)
		loaded := log.Loaded()[busyGroup]
		assert.Equal(t, loaded.Snapshot.Index+uint64(len(loaded.Entries)), uint64(entries))
		assert.NilError(t, log.Close())
	}
}

// Guards against a missing segment whose entries are needed and that is taken for a removed one,
// wherever it is.
func TestNeededSegmentIsMissing(t *testing.T) {
	w := newWriter(t, filepath.Join(t.TempDir(), "log"))
	w.open()
	for range 20 {
		w.append(busyGroup)
	}
	w.compact(busyGroup)
	for range 40 {
		w.append(busyGroup)
	}
	assert.NilError(t, w.wal.Close())
	files := segmentFiles(t, w.folder)
	assert.Assert(t, len(files) >= 5, "%d segments", len(files))
	for _, path := range files[:len(files)-1] {
		b, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.NilError(t, os.Remove(path))
		log, err := Open(w.folder, member, Options{})
		if err == nil {
			loaded := log.Loaded()[busyGroup]
			assert.Equal(t, loaded.Snapshot.Index+uint64(len(loaded.Entries)), w.synced[busyGroup], "without %s", path)
			assert.NilError(t, log.Close())
		} else {
			assert.Assert(t, result.Is(err, result.LogDamaged), "%v", err)
		}
		assert.NilError(t, os.WriteFile(path, b, filePermission))
	}
}
