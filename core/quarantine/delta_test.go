package quarantine

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/core/wire"
)

// Guards against a process that applies deltas and ends up with another list than one that
// receives the whole list.
func TestCombinedDeltasYieldTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := [][]wire.Suspect{nil}
		var steps []Delta
		for n := range uint64(rapid.IntRange(1, 8).Draw(t, "changes")) {
			var next []wire.Suspect
			for i := range 6 {
				if rapid.Bool().Draw(t, "listed") {
					next = append(next, wire.Suspect{Fingerprint: fmt.Sprint("f", i), Crashes: uint32(rapid.IntRange(1, 2).Draw(t, "crashes"))})
				}
			}
			updated, removed := Diff(lists[n], next)
			steps = append(steps, Delta{From: n, To: n + 1, Updated: updated, Removed: removed})
			lists = append(lists, next)
		}
		want := lists[len(lists)-1]
		for from, list := range lists[:len(lists)-1] {
			s, ok := CombineDeltas(steps, uint64(from))
			assert.Assert(t, ok && s.To == uint64(len(steps)))
			got := ApplyReply(list, &wire.WatchReply{SuspectsChanged: true, SuspectsDelta: true, Suspect: s.Updated, Cleared: s.Removed})
			assert.Equal(t, fmt.Sprint(got), fmt.Sprint(want))
		}
	})
}
