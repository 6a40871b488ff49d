package member

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a member that is never lost, because the digest of another instance states
// an age below zero or out of range.
func TestOddAgesInDigests(t *testing.T) {
	for _, age := range []int64{-1, -1_000_000, math.MinInt64, math.MaxInt64} {
		table := NewTable(0)
		table.Announce(1000, validUpstream(), 1)
		content := table.DigestEntriesSince(0, 1000)[0].Content
		table.Merge(1000, Digest{Heard: []DigestEntry{{Content: content, Seq: 2, AgeMS: age}}})
		other := validUpstream()
		other.ID = "b"
		table.Merge(1000, Digest{Full: []Announcement{{Upstream: other, Seq: 1, AgeMS: age}}})
		table.Expire(1000 + LostAfterMS)
		assert.Check(t, len(table.Members()) == 0, "age %d: %d members after the silence", age, len(table.Members()))
		table.Expire(1000 + RetentionMS)
		assert.Check(t, len(table.Incarnations()) == 0, "age %d: %d records", age, len(table.Incarnations()))
	}
}
