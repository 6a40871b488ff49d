package registration

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Plays the target size of 1,000 gateways, each of which follows the two best of nine
// control instances: no instance may have more than a fifth more than its share, before and
// after the loss of one, which must move its own followers only.
func TestRankSpreadsReaders(t *testing.T) {
	const readers, followed = 1000, 2
	var names []string
	for i := range 9 {
		names = append(names, fmt.Sprintf("10.%d.0.14:7140", i))
	}
	for _, left := range [][]string{names, names[1:]} {
		load := map[string]int{}
		for r := range readers {
			best := Rank(fmt.Sprint("front-", r), left)[:followed]
			for _, n := range best {
				load[n]++
			}
			if before := Rank(fmt.Sprint("front-", r), names)[:followed]; !slices.Contains(before, names[0]) {
				assert.DeepEqual(t, best, before)
			}
		}
		for _, n := range left {
			assert.Assert(t, load[n]*10 < 12*followed*readers/len(left), "%s has %d", n, load[n])
		}
	}
}

// Guards against an order that depends on the order in which instances are named.
func TestRankIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfDistinct(rapid.String(), rapid.ID).Draw(t, "names")
		shuffled := rapid.Permutation(names).Draw(t, "shuffled")
		reader := rapid.String().Draw(t, "reader")
		assert.DeepEqual(t, Rank(reader, names), Rank(reader, shuffled))
		assert.Equal(t, len(Rank(reader, names)), len(names))
	})
}
