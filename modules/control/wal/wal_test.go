package wal

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/core/raft"
	"heatherway.dev/kernel/result"
)

const member = raft.MemberID("control-1")

func mustOpen(t testing.TB, folder string, o Options) *WAL {
	t.Helper()
	w, err := Open(folder, member, o)
	assert.NilError(t, err)
	return w
}

func makeEntries(first, last, term uint64) []raft.Entry {
	var out []raft.Entry
	for i := first; i <= last; i++ {
		out = append(out, raft.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "%d/%d", i, term)})
	}
	return out
}

func segmentFiles(t testing.TB, folder string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, segmentFolder, "*.log"))
	assert.NilError(t, err)
	return files
}

// Guards against a torn record that prevents opening the log or causes earlier records to
// be lost. The file is truncated at every length within the last batch.
func TestTornLastRecordIsTruncated(t *testing.T) {
	folder := t.TempDir()
	w := mustOpen(t, folder, Options{})
	w.Append(1, &raft.HardState{Term: 1}, makeEntries(1, 3, 1))
	assert.NilError(t, w.Sync())
	syncedSize := w.size
	w.Append(1, nil, makeEntries(4, 4, 1))
	assert.NilError(t, w.Sync())
	assert.NilError(t, w.Close())
	path := segmentFiles(t, folder)[0]
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	for n := syncedSize; n < int64(len(b)); n++ {
		assert.NilError(t, os.WriteFile(path, b[:n], filePermission))
		w := mustOpen(t, folder, Options{})
		assert.Equal(t, len(w.Loaded()[1].Entries), 3, "truncated at %d", n)
		w.Append(1, nil, makeEntries(4, 5, 2))
		assert.NilError(t, w.Sync())
		assert.NilError(t, w.Close())
		w = mustOpen(t, folder, Options{})
		assert.DeepEqual(t, w.Loaded()[1].Entries, append(makeEntries(1, 3, 1), makeEntries(4, 5, 2)...))
		assert.NilError(t, w.Close())
	}
}

// Guards against a member that cannot start after a power loss in which the end of its
// last write reached the disk but a part before it did not.
func TestHoleInLastBatch(t *testing.T) {
	folder := t.TempDir()
	w := mustOpen(t, folder, Options{})
	w.Append(1, &raft.HardState{Term: 1}, makeEntries(1, 3, 1))
	assert.NilError(t, w.Sync())
	syncedSize := w.size
	w.Append(1, &raft.HardState{Term: 1, Commit: 3}, makeEntries(4, 9, 1))
	assert.NilError(t, w.Sync())
	assert.NilError(t, w.Close())
	path := segmentFiles(t, folder)[0]
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	for at := int(syncedSize); at+10 < len(b); at += 7 {
		torn := append([]byte(nil), b...)
		clear(torn[at : at+10])
		assert.NilError(t, os.WriteFile(path, torn, filePermission))
		w := mustOpen(t, folder, Options{})
		assert.Assert(t, len(w.Loaded()[1].Entries) >= 3, "hole at %d", at)
		assert.NilError(t, w.Close())
	}
}

// Guards against opening a log in which synced records are damaged.
func TestDamageBeforeLastRecord(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "log")
		assert.NilError(t, err)
		w := mustOpen(t, folder, Options{SegmentBytes: 200})
		for i := uint64(1); i <= 20; i++ {
			w.Append(1, nil, makeEntries(i, i, 1))
			assert.NilError(t, w.Sync())
		}
		assert.NilError(t, w.Close())
		files := segmentFiles(t, folder)
		assert.Assert(rt, len(files) > 2)
		n := rapid.IntRange(0, len(files)-1).Draw(rt, "file")
		b, err := os.ReadFile(files[n])
		assert.NilError(rt, err)
		limit := len(b)
		if n == len(files)-1 {
			limit -= recordHeaderBytes + len(encodeEntry(makeEntries(20, 20, 1)[0])) // the last record counts as torn
		}
		if limit < segmentHeaderBytes {
			rt.Skip("the newest segment holds no record")
		}
		at := rapid.IntRange(0, limit-1).Draw(rt, "offset")
		b[at] ^= byte(rapid.IntRange(1, 255).Draw(rt, "flip"))
		assert.NilError(rt, os.WriteFile(files[n], b, filePermission))
		_, err = Open(folder, member, Options{})
		assert.Assert(rt, result.Is(err, result.LogDamaged), "%v", err)
		assert.Assert(rt, strings.Contains(err.Error(), files[n]) && strings.Contains(err.Error(), "offset"), "%v", err)
	})
}

// Guards against a missing segment that is not detected, which would lose its entries.
func TestMissingSegment(t *testing.T) {
	folder := t.TempDir()
	w := mustOpen(t, folder, Options{SegmentBytes: 200})
	for i := uint64(1); i <= 20; i++ {
		w.Append(1, nil, makeEntries(i, i, 1))
		assert.NilError(t, w.Sync())
	}
	assert.NilError(t, w.Close())
	files := segmentFiles(t, folder)
	for _, f := range []string{files[0], files[1]} {
		b, err := os.ReadFile(f)
		assert.NilError(t, err)
		assert.NilError(t, os.Remove(f))
		_, err = Open(folder, member, Options{})
		assert.Assert(t, result.Is(err, result.LogDamaged), "%v", err)
		assert.NilError(t, os.WriteFile(f, b, filePermission))
	}
}

// groupModel is the expected content of a group's log.
type groupModel struct {
	stored raft.PersistentState
	data   []byte
}

func (m *groupModel) lastIndex() uint64 {
	return m.stored.Snapshot.Index + uint64(len(m.stored.Entries))
}

// Guards against a sequence of appends, overwrites, compactions, installed snapshots and
// restarts after which the log of a group differs from what was written.
func TestReadsBackAsWritten(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "log")
		assert.NilError(t, err)
		w := mustOpen(t, folder, Options{SegmentBytes: 300})
		groups := map[Group]*groupModel{0: {}, 1: {}, 2: {}}
		term := uint64(1)
		pick := func() (Group, *groupModel) {
			g := Group(rapid.IntRange(0, 2).Draw(rt, "group"))
			return g, groups[g]
		}
		rt.Repeat(map[string]func(*rapid.T){
			"append": func(rt *rapid.T) {
				g, m := pick()
				term++
				base := m.stored.Snapshot.Index
				first := rapid.Uint64Range(base+1, m.lastIndex()+1).Draw(rt, "first")
				add := makeEntries(first, first+rapid.Uint64Range(0, 4).Draw(rt, "count"), term)
				hard := raft.HardState{Term: term, Vote: "control-2", VoteDisk: "d2", Commit: base}
				w.Append(g, &hard, add)
				assert.NilError(t, w.Sync())
				m.stored.Hard = hard
				m.stored.Entries = append(m.stored.Entries[:first-base-1:first-base-1], add...)
			},
			"compact": func(rt *rapid.T) {
				g, m := pick()
				if len(m.stored.Entries) == 0 {
					rt.Skip("nothing to compact")
				}
				keep := rapid.IntRange(1, len(m.stored.Entries)).Draw(rt, "entries")
				last := m.stored.Entries[keep-1]
				m.snapshot(t, w, g, last.Index, last.Term, false)
				m.stored.Entries = m.stored.Entries[keep:]
			},
			"install": func(rt *rapid.T) {
				g, m := pick()
				m.snapshot(t, w, g, m.lastIndex()+rapid.Uint64Range(1, 9).Draw(rt, "ahead"), term, true)
				m.stored.Entries = nil
			},
			"reopen": func(rt *rapid.T) {
				w.Append(0, nil, makeEntries(groups[0].lastIndex()+1, groups[0].lastIndex()+1, term)) // not synced, so it must be lost
				assert.NilError(t, w.Close())
				w = mustOpen(t, folder, Options{SegmentBytes: 300})
				loaded := w.Loaded()
				for g, m := range groups {
					m.check(t, w, g, loaded[g])
				}
			},
		})
		assert.NilError(t, w.Close())
	})
}

func (m *groupModel) snapshot(t testing.TB, w *WAL, g Group, index, term uint64, install bool) {
	t.Helper()
	m.data = fmt.Appendf(nil, "state at %d", index)
	meta := raft.SnapshotMeta{Index: index, Term: term, Size: uint64(len(m.data))}
	assert.NilError(t, w.WriteSnapshot(g, raft.Snapshot{Meta: meta, Data: m.data}))
	w.addSnapshotMark(g, meta, install)
	assert.NilError(t, w.Sync())
	assert.NilError(t, w.RemoveObsolete())
	m.stored.Snapshot = meta
}

func (m *groupModel) check(t testing.TB, w *WAL, g Group, got raft.PersistentState) {
	t.Helper()
	assert.DeepEqual(t, got.Hard, m.stored.Hard)
	assert.DeepEqual(t, got.Snapshot, m.stored.Snapshot)
	assert.Equal(t, len(got.Entries), len(m.stored.Entries))
	for i, e := range m.stored.Entries {
		assert.DeepEqual(t, got.Entries[i], e)
	}
	s, err := w.Snapshot(g)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(s.Data, m.data))
	if s.Meta.Index > 0 {
		part, err := w.SnapshotChunk(g, s.Meta, 3, 4)
		assert.NilError(t, err)
		assert.Equal(t, string(part), string(m.data[3:7]))
	}
}

// Guards against a compaction that removes no segments.
func TestCompactionRemovesSegments(t *testing.T) {
	w := mustOpen(t, t.TempDir(), Options{SegmentBytes: 300})
	m := &groupModel{}
	for i := uint64(1); i <= 200; i++ {
		w.Append(1, nil, makeEntries(i, i, 1))
		assert.NilError(t, w.Sync())
	}
	assert.Assert(t, w.Segments() > 10)
	assert.DeepEqual(t, w.PinningGroups(4), []Group{1})
	m.snapshot(t, w, 1, 200, 1, false)
	assert.Assert(t, w.Segments() <= 2, "%d segments are left", w.Segments())
	assert.NilError(t, w.Close())
}

// Guards against a damaged snapshot that is restored.
func TestDamagedSnapshot(t *testing.T) {
	folder := t.TempDir()
	w := mustOpen(t, folder, Options{})
	(&groupModel{}).snapshot(t, w, 1, 9, 1, true)
	assert.NilError(t, w.Close())
	path := w.snapshotPath(1, 9)
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	b[len(b)-1] ^= 1
	assert.NilError(t, os.WriteFile(path, b, filePermission))
	_, err = Open(folder, member, Options{})
	assert.Assert(t, result.Is(err, result.LogDamaged), "%v", err)
}

// Guards against a member that opens the log of another member, a folder of which a part
// is missing, or a folder that another process uses.
func TestIdentity(t *testing.T) {
	folder := t.TempDir()
	w := mustOpen(t, folder, Options{})
	first := w.Identity()
	w.Append(1, nil, makeEntries(1, 1, 1))
	assert.NilError(t, w.Sync())
	_, err := Open(folder, member, Options{})
	assert.Assert(t, result.Is(err, result.DataFolder), "%v", err)
	assert.NilError(t, w.Close())

	_, err = Open(folder, "control-2", Options{})
	assert.Assert(t, result.Is(err, result.DiskIdentity), "%v", err)
	w = mustOpen(t, folder, Options{})
	assert.Equal(t, w.Identity(), first)
	assert.NilError(t, w.Close())

	assert.NilError(t, os.Rename(filepath.Join(folder, identityFile), filepath.Join(folder, "kept")))
	_, err = Open(folder, member, Options{})
	assert.Assert(t, result.Is(err, result.DiskIdentity), "%v", err)
	assert.NilError(t, os.Rename(filepath.Join(folder, "kept"), filepath.Join(folder, identityFile)))
	assert.NilError(t, os.RemoveAll(filepath.Join(folder, segmentFolder)))
	_, err = Open(folder, member, Options{})
	assert.Assert(t, result.Is(err, result.DiskIdentity), "%v", err)

	assert.NilError(t, os.RemoveAll(folder))
	w = mustOpen(t, folder, Options{})
	assert.Assert(t, w.Identity().Disk != first.Disk)
	assert.NilError(t, w.Close())
}
