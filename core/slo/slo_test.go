package slo

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func drawCounts(t *rapid.T) Counts {
	var c Counts
	c.Late = rapid.Uint64Max(100).Draw(t, "late")
	for _, code := range []result.Code{result.QueueFull, result.UpstreamFailed, result.NoUpstream} {
		if n := rapid.Uint64Max(3).Draw(t, "failed"); n > 0 {
			c.fail(code, n)
		}
	}
	c.Total = c.Bad() + rapid.Uint64Max(1000).Draw(t, "good")
	return c
}

func drawSnapshot(t *rapid.T) Snapshot {
	s := Snapshot{Layout: LayoutVersion, AtMS: rapid.Int64Range(0, 1e12).Draw(t, "at")}
	for _, class := range wire.Classes() {
		for _, organisation := range []string{"a", "b", "c"} {
			if !rapid.Bool().Draw(t, "present") {
				continue
			}
			e := Series{Class: class.String(), Organisation: organisation, Counts: drawCounts(t)}
			e.Objective.Share = rapid.SampledFrom([]float64{0.9, 0.99}).Draw(t, "share")
			e.Objective.Target = rapid.SampledFrom([]time.Duration{1, 2}).Draw(t, "target")
			for w := range e.Windows {
				e.Windows[w] = drawCounts(t)
			}
			e.Latency[rapid.IntRange(0, BucketCount-1).Draw(t, "bucket")] = 3
			s.Series = append(s.Series, e)
		}
	}
	s.sort()
	return s
}

// Guards against a merged report that depends on the order of the entries, and against a
// snapshot that changes when it is encoded and decoded.
func TestMergeIsAssociativeAndCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawSnapshot(t), drawSnapshot(t), drawSnapshot(t)
		assert.DeepEqual(t, Merge(a, b), Merge(b, a))
		assert.DeepEqual(t, Merge(Merge(a, b), c), Merge(a, Merge(b, c)))
		text, err := Merge(a, b).Encode()
		assert.NilError(t, err)
		back, err := Decode(text)
		assert.NilError(t, err)
		assert.DeepEqual(t, back, Merge(a, b))
	})
}

// Guards against a burn rate that does not show when the budget is exhausted: a rate of 1
// over the whole window spends exactly the budget.
func TestBurnRateOneSpendsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(1, 20).Draw(t, "budget")
		perBad := rapid.SampledFrom([]int{2, 10, 20, 100}).Draw(t, "requests for each bad one")
		spent := rapid.IntRange(0, 2*budget).Draw(t, "spent")
		total := max(budget*perBad, spent)
		o := Objective{Target: time.Second, Share: 1 - float64(budget)/float64(total)}
		r := NewRecorder(start, func(SeriesKey) Objective { return o })
		now := start
		for i := range total {
			now = start.Add(time.Duration(i+1) * windows[ThreeDays] / time.Duration(total+1))
			r.Record(now, Sample{Organisation: "a", FirstToken: latencyOf(i < spent)})
		}
		row := BuildReport(r.Snapshot(now), 1).Classes[0]
		want := float64(spent) / float64(budget)
		assert.Assert(t, math.Abs(row.Burn[ThreeDays]-want) < 1e-9, "burn %v, want %v", row.Burn, want)
		assert.Assert(t, math.Abs(row.BudgetLeft-(1-want)) < 1e-9, "budget left %v", row.BudgetLeft)
	})
}

func latencyOf(bad bool) time.Duration {
	if bad {
		return time.Minute
	}
	return time.Millisecond
}

// Guards against a window that drops requests too early, or keeps them after a pause.
func TestWindowsStartOnStepBoundaries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRecorder(start, func(SeriesKey) Objective { return Objective{time.Second, 0.9} })
		now := start
		var times []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			longest := rapid.SampledFrom([]time.Duration{time.Second, time.Minute, time.Hour, 24 * time.Hour}).Draw(t, "scale")
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(longest)).Draw(t, "gap")))
			r.Record(now, Sample{Organisation: "a", FirstToken: 1})
			times = append(times, now)
		}
		for _, e := range r.Snapshot(now).Series {
			for w := range windows {
				assert.Equal(t, e.Windows[w].Total, countSince(times, now, windows[w]), "%s", WindowName(w))
			}
		}
	})
}

// countSince counts the times since the last step boundary before the window.
func countSince(times []time.Time, now time.Time, window time.Duration) uint64 {
	from := start
	if before := now.Add(-window).Sub(start); before > 0 {
		step := window / stepsPerWindow
		from = start.Add(before / step * step)
	}
	return uint64(len(slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return at.Before(from) })))
}

// Guards against quantiles below the true value, or above it by more than one bucket.
func TestQuantileIsWithinABucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Histogram
		all := rapid.SliceOfN(rapid.Int64Range(int64(firstBound), int64(time.Hour)), 1, 50).Draw(t, "latencies")
		for _, d := range all {
			h.Observe(time.Duration(d))
		}
		slices.Sort(all)
		q := rapid.SampledFrom([]float64{0.5, 0.95, 0.99, 1}).Draw(t, "quantile")
		truth := float64(all[int(math.Ceil(q*float64(len(all))))-1])
		have := float64(h.Quantile(q))
		assert.Assert(t, have >= truth && have <= truth*math.Exp2(1.0/bucketsPerDoubling)+1, "%v for %v", have, truth)
	})
}

// Guards against caller errors that spend the budget, and against causes and offenders
// that name the wrong series.
func TestOffendersAndCauses(t *testing.T) {
	r := NewRecorder(start, func(k SeriesKey) Objective { return Objective{time.Second, 0.9} })
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Second)
		r.Record(now, Sample{Class: wire.Urgent, Organisation: "good", FirstToken: time.Millisecond})
		r.Record(now, Sample{Class: wire.Urgent, Organisation: "wrong", Code: result.InvalidField})
		r.Record(now, Sample{Class: wire.Urgent, Organisation: "refused", Code: result.QueueFull})
	}
	r.Record(start.Add(time.Minute), Sample{Class: wire.Batch, Organisation: "late", FirstToken: time.Minute})
	out := BuildReport(r.Snapshot(start.Add(time.Minute)), 10)
	assert.Equal(t, len(out.Organisations), 3)
	assert.Equal(t, len(out.Offenders), 2)
	assert.Equal(t, out.Offenders[0].Organisation, "refused")
	assert.DeepEqual(t, out.Offenders[0].Causes.Failed, []CodeCount{{result.QueueFull, 20}})
	assert.Equal(t, out.Offenders[1].Causes.Late, uint64(1))
	assert.Equal(t, out.Classes[0].Bad, uint64(20))
	assert.Equal(t, out.Classes[0].Level, SlowBurn)
}

// Guards against a recorder whose memory grows with the number of organisations.
func TestSeriesAreBounded(t *testing.T) {
	r := NewRecorder(start, func(SeriesKey) Objective { return Objective{time.Second, 0.9} })
	for i := range MaxSeries + 100 {
		r.Record(start, Sample{Organisation: time.Duration(i).String(), FirstToken: 1})
	}
	assert.Equal(t, len(r.series), MaxSeries+1)
	assert.Equal(t, r.series[SeriesKey{Organisation: OtherOrganisations}].counts.Total, uint64(100))
	for day := range 10 {
		r.advance(start.Add(time.Duration(day) * 24 * time.Hour))
	}
	assert.Equal(t, len(r.series), 0)
}
