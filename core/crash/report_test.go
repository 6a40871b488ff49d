package crash

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"
)

// stateOfRuns returns what a tracker knows about the runs of a part, in the order of upstreams.
func stateOfRuns(t *Tracker, part string) string {
	var list []string
	for _, r := range t.ensureRequest(PartKey(part)).runs {
		list = append(list, fmt.Sprint(r.Upstream, r.outcome, r.knownReports()))
	}
	slices.Sort(list)
	return strings.Join(list, "\n")
}

// Guards against trackers that differ although they know the same reports, of several gateways and interruptions of one incarnation, and proofs between.
func TestReportsOfOneIncarnationJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Entry
		now := after(100)
		for range rapid.IntRange(4, 24).Draw(t, "entries") {
			e := Entry{Run: Run{Fingerprint: PartKey("a")}, Outcome: Cleared, AgeMS: 700 * rapid.Int64Range(0, 40).Draw(t, "age")}
			e.AtMS = now.UnixMilli() - e.AgeMS
			if rapid.IntRange(0, 9).Draw(t, "proof") > 0 {
				e.Run = runAt(e.Fingerprint, fmt.Sprint("u", rapid.IntRange(0, 4).Draw(t, "upstream")), "z")
				e.Outcome = Outcome(rapid.IntRange(int(Interrupted), int(UpstreamAlive)).Draw(t, "outcome"))
			}
			all = append(all, e)
		}
		one, two, three := New(), New(), New()
		one.Merge(now, all)
		for _, i := range rapid.Permutation(indexes(len(all))).Draw(t, "order") {
			two.Merge(now, []Entry{all[i]})
			two.Merge(now, []Entry{all[i]})
		}
		saved, err := json.Marshal(two.Entries(now))
		assert.NilError(t, err)
		var list []Entry
		assert.NilError(t, json.Unmarshal(saved, &list))
		slices.Reverse(list)
		for i := range list {
			list[i].AgeMS -= 3000 // as of an earlier message, which was delayed for so long
		}
		three.Merge(now, list)
		assert.Equal(t, len(one.Merge(now, three.Entries(now))), 0, "it knows all of them")
		for _, other := range []*Tracker{two, three} {
			assert.DeepEqual(t, one.decideParts(now), other.decideParts(now))
			a, b := New(), New()
			a.Merge(now, one.Entries(now))
			b.Merge(now, other.Entries(now))
			assert.Equal(t, stateOfRuns(a, "a"), stateOfRuns(b, "a"))
			assert.Equal(t, stateOfRuns(a, "a"), stateOfRuns(one, "a"))
		}
	})
}

// Guards against an entry that is dated by a clock which was stepped, or overflows.
func TestTimeOfAnEntry(t *testing.T) {
	now := after(1000)
	at := now.UnixMilli()
	for _, c := range []struct{ ageMS, atMS, wantMS int64 }{
		{100, 0, 100},                      // from the previous release
		{100, at - 100, 100},               // at once
		{100, at - 5100, 5100},             // delayed for five seconds
		{100, at - 60_000, 15_100},         // the sender's clock is a minute behind
		{100, at + 60_000, 100},            // or ahead
		{100, 1, 15_100},                   // or unset
		{100, -1 << 63, 100},               // malformed
		{1 << 62, 1, 24*3600_000 + 15_000}, // malformed
		{-5, at, 0},                        // malformed
		{13_000, at - 13_000, 13_000},      // restored from a file ten seconds later
	} {
		assert.Equal(t, now.Sub(timeOf(Entry{AgeMS: c.ageMS, AtMS: c.atMS}, now)).Milliseconds(), c.wantMS, "%+v", c)
	}
}

// Guards against trackers that differ about the position of a part, which decides between parts
// with as many crashes: when two requests had it at different positions on one incarnation, or
// the run with the larger position came before a proof.
func TestPositionOfAPartDoesNotDependOnTheOrderOfReports(t *testing.T) {
	now := after(30)
	report := func(s float64, part, upstream string, depth int, outcome Outcome) Entry {
		e := Entry{Run: Run{Fingerprint: PartKey(part)}, Outcome: outcome, AgeMS: now.Sub(after(s)).Milliseconds(), AtMS: after(s).UnixMilli(), Depth: depth}
		if outcome != Cleared {
			e.Run = runAt(e.Fingerprint, upstream, "z")
		}
		return e
	}
	// Parts a and b have five crashes each, three in common. Judged first, a is contested with b,
	// and b is blocked.
	var crashes []Entry
	for _, part := range []struct {
		name string
		own  []float64
	}{{"a", []float64{1, 1.5}}, {"b", []float64{5, 9}}} {
		for i, s := range part.own {
			crashes = append(crashes, report(s, part.name, fmt.Sprint(part.name, i), 0, UpstreamEnded))
		}
		for i := range 3 {
			crashes = append(crashes, report(13, part.name, fmt.Sprint("common", i), 0, UpstreamEnded))
		}
	}
	rest := append(crashes, report(0, "a", "", 0, Cleared), report(0, "b", "", 0, Cleared))
	for _, c := range []struct {
		name   string
		deeper Entry
	}{
		{"another request on the same incarnation", report(13, "b", "common0", 1, UpstreamEnded)},
		{"a run before the proof", report(-1, "b", "early", 1, UpstreamEnded)},
		{"a proof, without the runs before it", report(0, "b", "", 1, Cleared)},
	} {
		first, last, exchanged := New(), New(), New()
		first.Merge(now, append([]Entry{c.deeper}, rest...))
		last.Merge(now, rest)
		exchanged.Merge(now, rest)
		change := last.LastChange()
		news := last.Merge(now, []Entry{c.deeper})
		exchanged.Merge(now, last.EntriesSince(now, change))
		want := first.decideParts(now)
		assert.Check(t, want[PartKey("b")].Verdict == Blocked, c.name)
		assert.Check(t, cmp.DeepEqual(want, last.decideParts(now)), c.name)
		assert.Check(t, cmp.DeepEqual(want, exchanged.decideParts(now)), "%s: learned from another tracker", c.name)
		assert.Check(t, len(news) == 1 && len(last.Merge(now, []Entry{c.deeper})) == 0, "%s: news once", c.name)
	}
}
