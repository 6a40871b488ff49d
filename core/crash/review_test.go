package crash

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

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

// Guards against a deadly part whose crashes do not count because its runs on the same incarnations were cut off earlier.
func TestCrashAfterASurvivedInterruptionCounts(t *testing.T) {
	tracker := New()
	for i := range 8 {
		u := fmt.Sprint("u", i)
		tracker.PartInterrupted(start, runAt(PartKey("deadly"), u, "z"), 0, Interrupted) // all gateways were cut off
		tracker.UpstreamAnnounced(after(6), u, 1000, 6)
		tracker.UpstreamAnnounced(after(7), u, 1000, 7)
	}
	assert.Equal(t, partVerdict(tracker, 8, "deadly"), Allowed)
	for i := range 8 {
		crashPart(tracker, 10+3*float64(i), fmt.Sprint("u", i), "deadly")
	}
	assert.Equal(t, partVerdict(tracker, 40, "deadly"), Blocked)
}

// Guards against a proven part that is blocked again by a control instance which returns with an old file.
func TestOldFileDoesNotBlockAProvenPart(t *testing.T) {
	stopped, running := New(), New()
	for i := range 5 {
		crashPart(running, 3*float64(i), fmt.Sprint("u", i), "repaired")
	}
	stopped.Merge(after(20), running.Entries(after(20)))
	running.Merge(after(30), []Entry{{Run: Run{Fingerprint: PartKey("repaired")}, Outcome: Cleared}})
	for s := 31.0; s < 3600; s += 10 {
		running.Expire(after(s))
	}
	old := stopped.Entries(after(3600))
	running.Merge(after(3600), old)
	gateway := New() // has started since
	gateway.Merge(after(3601), running.EntriesSince(after(3601), 0))
	assert.Equal(t, partVerdict(gateway, 3602, "repaired"), Allowed)
}

// Guards against trials of two parts that always come together whose number grows with the time.
func TestTrialsOfContestedPartsAreBounded(t *testing.T) {
	tracker, trials := New(), []float64(nil)
	keys := []string{PartKey("deadly"), PartKey("twin")}
	for i := range 5 {
		crashPart(tracker, 2*float64(i), fmt.Sprint("u", i), "deadly", "twin")
	}
	for s := 12.0; s < 5*3600; s++ {
		verdict, held := tracker.PartVerdict(after(s), keys)
		if verdict != Allowed && (len(held) == 0 || !tracker.AllowTrials(after(s), held)) {
			continue
		}
		trials = append(trials, s)
		crashPart(tracker, s+.5, fmt.Sprint("t", s), "deadly", "twin")
	}
	assert.Assert(t, len(trials) <= 3, "%d: %v", len(trials), trials)
}

// Guards against a trial that is forgotten by the next leader because the trace of another one stands for it.
func TestTrialsWithAndWithoutTraceAddUp(t *testing.T) {
	tracker := New()
	for i := range 5 {
		crashPart(tracker, 2*float64(i), fmt.Sprint("u", i), "deadly")
	}
	key := PartKey("deadly")
	assert.Assert(t, tracker.AllowTrial(after(20), key)) // its gateway stops, so that nobody reports the crash
	crashPart(tracker, 110, "t1", "deadly")              // granted by a leader that stopped before it shared the trial
	trials := 2
	for s := 112.0; s < 5*3600; s++ {
		if tracker.AllowTrial(after(s), key) {
			trials++
		}
	}
	assert.Assert(t, trials <= 3, "%d", trials)
}

// Guards against a deadly part that is evicted by the one-off parts of the runs that crash with it.
func TestDeadlyPartAmongManyOneOffParts(t *testing.T) {
	for _, others := range []int{100, 1000, 2000, 4000} {
		tracker := New()
		for i := range 5 {
			crashPart(tracker, 3*float64(i), fmt.Sprint("u", i), "deadly")
			for k := range others {
				tracker.PartInterrupted(after(3*float64(i)+.1), runAt(PartKey(fmt.Sprint(i, "-", k)), fmt.Sprint("u", i), "z"), 1, Interrupted)
			}
		}
		assert.Check(t, partVerdict(tracker, 16, "deadly") != Allowed, "%d other parts in each crash", others)
	}
}

// Guards against a decision whose time grows with the square of the number of parts, and against a flood that hides a deadly part from it.
func TestManySuspectsAreLimited(t *testing.T) {
	tracker := New()
	for i := range 4 {
		crashPart(tracker, 3*float64(i), fmt.Sprint("u", i), "deadly")
	}
	for i := range 700 {
		for k := range 5 {
			tracker.PartInterrupted(after(15), runAt(PartKey(fmt.Sprint("other ", i)), fmt.Sprint("v", i, "-", k), "z"), 1, Interrupted)
		}
	}
	assert.Equal(t, partVerdict(tracker, 17, "deadly"), Blocked)
	assert.Assert(t, tracker.decidedSuspects <= 256, "%d", tracker.decidedSuspects)
}

// Measures a decision on many parts that have no crash in common.
func BenchmarkPartVerdictOfUnrelatedParts(b *testing.B) {
	for _, upstreams := range []int{150, 600, 3800} {
		b.Run(fmt.Sprint(upstreams, " incarnations"), func(b *testing.B) {
			tracker, r := New(), rand.New(rand.NewPCG(1, 1))
			for part := range 900 {
				for k := range 4 {
					u := (part*4 + k) % upstreams
					if upstreams < 3800 {
						u = r.IntN(upstreams)
					}
					tracker.PartInterrupted(after(float64(k)*3), runAt(PartKey(fmt.Sprint(part)), fmt.Sprint("u", u), "z"), 1, Interrupted)
				}
			}
			for i := range b.N {
				tracker.decisions = nil
				tracker.decideParts(after(20).Add(time.Duration(i)))
			}
		})
	}
}
