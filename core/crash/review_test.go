package crash

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an entry whose age overflows, which would be in the future and hide all crashes until then.
func TestAgeOfAnEntryDoesNotOverflow(t *testing.T) {
	for _, age := range []int64{1e13, math.MaxInt64, math.MaxInt64/1_000_000 + 1, math.MinInt64, -1} {
		tracker, ended := New(), after(30)
		tracker.Merge(start, []Entry{{Run: Run{Fingerprint: PartKey("deadly")}, Outcome: Cleared, AgeMS: age}, {Run: Run{Fingerprint: "poison"}, Outcome: Cleared, AgeMS: age}})
		for i := range 5 {
			crashPart(tracker, 1+3*float64(i), fmt.Sprint("u", i), "deadly")
			recordCrash(tracker, 1+3*float64(i), "poison", fmt.Sprint("v", i), "z")
		}
		assert.Equal(t, tracker.Verdict(ended, PartKey("deadly")), Blocked, "age %d", age)
		assert.Equal(t, tracker.Verdict(ended, "poison"), Blocked, "age %d", age)
	}
	tracker := New()
	tracker.Merge(start, []Entry{{Run: runAt("old", "u", "z"), Outcome: UpstreamEnded, AgeMS: 1e13}})
	assert.Equal(t, tracker.RequestCount(), 0)
}
