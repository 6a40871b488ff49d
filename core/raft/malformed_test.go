package raft

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a panic caused by a malformed message: entries out of order, a membership
// that can't be decoded, or offsets and indexes out of range.
func TestMalformedMessagesDoNotPanic(t *testing.T) {
	members := Membership{Members: []Member{{ID: "a", Disk: "da"}, {ID: "b", Disk: "db"}, {ID: "c", Disk: "dc"}}}
	rapid.Check(t, func(t *rapid.T) {
		stored := PersistentState{Hard: HardState{Term: 3, Commit: 6}, Snapshot: SnapshotMeta{Index: 4, Term: 2, Membership: members, MembershipIndex: 1}}
		for i := uint64(5); i <= 8; i++ {
			stored.Entries = append(stored.Entries, Entry{Index: i, Term: 2 + i/7, Kind: Normal, Data: []byte("x")})
		}
		n, err := New(Config{Self: "a", Disk: "da", Rand: rand.New(rand.NewPCG(1, 2))}, stored)
		assert.NilError(t, err)
		number := rapid.OneOf(rapid.Uint64Range(0, 12), rapid.SampledFrom([]uint64{1 << 40, 1<<64 - 1}))
		for range rapid.IntRange(1, 12).Draw(t, "messages") {
			from := rapid.SampledFrom(members.Members[1:]).Draw(t, "from")
			m := Message{
				Kind: MessageKind(rapid.IntRange(0, 12).Draw(t, "kind")), From: from.ID, To: "a", Disk: from.Disk, ToDisk: "da",
				Term: rapid.Uint64Range(2, 6).Draw(t, "term"), Index: number.Draw(t, "index"), LogTerm: rapid.Uint64Range(0, 4).Draw(t, "log term"),
				Commit: number.Draw(t, "commit"), Reject: rapid.Bool().Draw(t, "reject"), HintIndex: number.Draw(t, "hint"),
				HintTerm: number.Draw(t, "hint term"), Sequence: number.Draw(t, "sequence"), Offset: number.Draw(t, "offset"),
				Transfer: rapid.Bool().Draw(t, "transfer"),
				Snapshot: SnapshotMeta{Index: number.Draw(t, "snapshot"), Term: 3, Membership: members, Size: rapid.Uint64Range(0, 4).Draw(t, "size")},
				Data:     []byte("data")[:rapid.IntRange(0, 4).Draw(t, "data")],
			}
			for range rapid.IntRange(0, 3).Draw(t, "entries") {
				m.Entries = append(m.Entries, Entry{Index: number.Draw(t, "entry"), Term: number.Draw(t, "entry term"),
					Kind: EntryKind(rapid.IntRange(0, 3).Draw(t, "entry kind")), Data: []byte("{")})
			}
			_ = n.Step(m) // returns an error for malformed messages
			for range rapid.IntRange(0, 12).Draw(t, "ticks") {
				n.Tick()
			}
			_ = n.Ready()
		}
	})
}
