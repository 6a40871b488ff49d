package pick_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/internal/picktrace"
	"heatherway.dev/core/pick"
	"heatherway.dev/core/wire"
)

func lowestCost(rng *rand.Rand, _ *pick.Request, s []pick.Scored) (int, int) {
	from := rng.Intn(len(s)) // ties are broken at random
	best := from
	for i := range s {
		if at := (from + i) % len(s); s[at].Cost < s[best].Cost {
			best = at
		}
	}
	return best, -1
}

func init() { pick.RegisterPicker("lowest-cost", pick.PickerFunc(lowestCost)) }

type variant struct {
	name, picker string
	scorers      []pick.WeightedScorer
	corrected    bool
}

var (
	random      = variant{"random", "random", nil, true}
	reported    = variant{"least-reported-load", "least-reported-load", nil, true}
	entryPolicy = variant{"ours", "best-of-two", pick.DefaultPolicy().Scorers, true}
	variants    = []variant{
		random, reported,
		{"lowest cost of all", "lowest-cost", entryPolicy.scorers, true},
		{"ours, reports not corrected", "best-of-two", entryPolicy.scorers, false},
		{"ours without prefix score", "best-of-two", []pick.WeightedScorer{{"wait", 1}, {"zone", 1}}, true},
		entryPolicy,
	}
)

func (v variant) run(t testing.TB, entries int) picktrace.Outcome {
	c, err := pick.New(pick.Policy{Filters: pick.RequiredFilters(), Scorers: v.scorers, Picker: v.picker})
	assert.NilError(t, err)
	return picktrace.Run(c, entries, v.corrected)
}

// Guards against a change of scorers or weights that makes the policy wait
// longer, or hit the prefix cache less often, than the baselines on the same
// trace.
func TestPolicyBeatsBaselines(t *testing.T) {
	o := entryPolicy.run(t, 20)
	for _, v := range []variant{random, reported} {
		base := v.run(t, 20)
		assert.Assert(t, o.MeanWait() < base.MeanWait() && o.Hits > base.Hits, "%s: %s; ours: %s", v.name, base.Row(), o.Row())
	}
}

// BenchmarkPolicies prints a table that compares the policies on one trace:
// go test ./core/pick -run NONE -bench Policies -benchtime 1x
func BenchmarkPolicies(b *testing.B) {
	for b.Loop() {
		fmt.Println("\n| entries | policy | wait mean ms | p50 | p99 | cache hits | max/mean load | picks on the most loaded |")
		fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, entries := range []int{5, 20, 100} {
			for _, v := range variants {
				o := v.run(b, entries)
				fmt.Printf("| %d | %s | %s |\n", entries, v.name, o.Row())
			}
		}
	}
}

// BenchmarkChoose measures one selection, including the list of candidates:
// go test ./core/pick -run NONE -bench Choose -benchmem
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := pick.NewTable(pick.Settings{})
			c, err := pick.New(pick.DefaultPolicy())
			assert.NilError(b, err)
			now, list := time.Unix(1_000_000, 0), picktrace.Upstreams(n)
			table.SetUpstreams(list)
			rng, r := rand.New(rand.NewSource(picktrace.Seed)), &pick.Request{Model: "m", Region: "r", Zone: "z0"}
			for i := range uint64(picktrace.PromptBlocks) {
				r.Blocks = append(r.Blocks, i)
			}
			for i, u := range list {
				table.RequestSent(now, u.ID, uint64(i), &pick.Request{Blocks: r.Blocks[:i%picktrace.PromptBlocks]})
				table.ApplyReport(now, u.ID, uint64(i), wire.Load{Slots: 8, Running: uint32(i % 8)})
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Choose(rng, r, table.Candidates(now, r)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
