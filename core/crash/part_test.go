package crash

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	plays     = flag.Uint64("crash.plays", 24, "number of random fleets that TestFleetsWithDeadlyParts plays")
	firstPlay = flag.Uint64("crash.first", 0, "seed of the first one")
	deadly    = flag.Int("crash.deadly", 1, "number of deadly parts")
	length    = flag.Float64("crash.length", 40, "seconds that a fleet is played")
)

func pick[T any](r *rand.Rand, list ...T) T { return list[r.IntN(len(list))] }

// randomPlan returns a fleet in which parts that were sound turn deadly, or new ones are.
func randomPlan(seed uint64) fleetPlan {
	r := rand.New(rand.NewPCG(seed, 7))
	p := fleetPlan{seed: seed, gateways: pick(r, 1, 4, 8), upstreams: pick(r, 8, 20, 40), zones: pick(r, 1, 3, 4), rate: pick(r, 5., 20, 40), share: pick(r, .05, .1, .3, .6, .9),
		deadly: *deadly, depth: r.IntN(3), appearAt: pick(r, 0., 8), turnsAt: 8, repairedAt: 1e6, length: *length, back: pick(r, 2., 3, 6, 11), delay: pick(r, .05, .1, .3), silent: pick(r, true, false), zoneLoss: pick(r, 0, 6.5)}
	if p.zones == 1 {
		p.zoneLoss = 0 // the whole fleet would be lost each time
	}
	return p
}

// hardPlays are the seeds of fleets in which an earlier version refused all sound requests
// or found a deadly part late: proofs older by chance, probes broken by the crash of
// another, requests with the deadly part that took all trials.
var hardPlays = []uint64{33, 50, 54, 63, 67, 108}

// Guards against deadly parts that are not found, or not at all gateways, against sound
// requests that are refused instead, and against a tracker without bound.
func TestFleetsWithDeadlyParts(t *testing.T) {
	seeds := slices.Clone(hardPlays)
	for seed := *firstPlay; seed < *firstPlay+*plays; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		f := playFleet(randomPlan(seed))
		calm, late := f.calmRan*max(f.lateSound, 1), f.lateRan*f.calmSound // shares with a common denominator
		if a, b := f.lateArrivals() <= 3, f.lateSound < 10 || 2*late >= calm; !a || !b {
			t.Errorf("seed %d: %d late arrivals; %d of %d sound requests ran, %d of %d before; %d refused; honest parts blocked: %v; %+v\n%v",
				seed, f.lateArrivals(), f.lateRan, f.lateSound, f.calmRan, f.calmSound, f.honestHeld, f.honestBlocked, f.fleetPlan, f.log)
		}
		assert.Assert(t, f.trackedMost <= maxRuns)
	}
}

// Guards against sound parts that stay contested with new deadly parts, whose crashes spend the late runs that could prove them sound.
func TestSoundPartsBesideSeveralNewDeadlyParts(t *testing.T) {
	for _, play := range []struct {
		seed   uint64
		deadly int
		length float64
	}{{424, 3, 40}, {445, 3, 40}, {521, 2, 40}, {813, 2, 800}, {818, 2, 800}} {
		p := randomPlan(play.seed)
		p.deadly, p.length = play.deadly, play.length
		f := playFleet(p)
		assert.Check(t, f.lateArrivals() <= 3 && 2*f.lateRan*f.calmSound >= f.calmRan*f.lateSound, "seed %d: %d late arrivals; %d of %d sound requests ran, %d of %d before",
			play.seed, f.lateArrivals(), f.lateRan, f.lateSound, f.calmRan, f.calmSound)
	}
}

// Guards against a fourth late run of a contested part: the crash of a trial soon after the fifth
// crash was taken for that of a run which had started before.
func TestCrashOfATrialSoonAfterTheFifthIsLate(t *testing.T) {
	for _, granted := range []bool{false, true} {
		tracker, key := New(), PartKey("contested")
		for i := range toleratedCrashes {
			crashPart(tracker, float64(i), fmt.Sprint("u", i), "contested") // the fifth at 4 s
		}
		if granted {
			tracker.addTrial(after(7.3), tracker.requests[key])
		}
		crashPart(tracker, 8.2, "trial", "contested")
		crashPart(tracker, 15, "later", "contested")
		req := tracker.requests[key]
		assert.Equal(t, req.lateRuns(req.crashes(after(16)), true), map[bool]int{false: 1, true: 2}[granted])
	}
	for _, seed := range []uint64{6124, 9044} {
		p := randomPlan(seed)
		p.deadly, p.length = 2, 40
		f := playFleet(p)
		assert.Check(t, f.lateArrivals() <= 3, "seed %d: %d late arrivals", seed, f.lateArrivals())
	}
}

// Guards against sound parts that are held because many runs with them break: zones that
// are lost in turn, a gateway that is cut off, and all gateways cut off for some seconds.
func TestFleetsWithSoundParts(t *testing.T) {
	for seed := range uint64(3) {
		for _, p := range []fleetPlan{{zones: 4, zoneLoss: 6.5}, {zones: 3, zoneLoss: 6.5, silent: true}, {zones: 4, zoneLoss: 6.5, silent: true}, {zones: 4, cut: 1, silent: true}} {
			p.seed, p.gateways, p.upstreams, p.rate, p.turnsAt, p.length, p.back, p.delay, p.cutFrom, p.cutTo = seed, 4, 20, 20, 1e6, 40, 3, .1, 10, 14
			f := playFleet(p)
			assert.Equal(t, f.honestHeld+len(f.honestBlocked), 0, "%+v: %v", p, f.log)
			p.cut, p.length = 4, 20 // six seconds after the cut
			f = playFleet(p)
			assert.Equal(t, len(f.honestBlocked), 0, "%+v: %v", p, f.log)
			for _, tracker := range f.trackers {
				assert.Equal(t, len(tracker.decideParts(f.time())), 0, "%+v: %v", p, f.log)
			}
		}
	}
}

// Guards against a part that stays blocked after it has become sound again.
func TestPartReturnsAfterRepair(t *testing.T) {
	for depth := range 3 {
		f := playFleet(fleetPlan{gateways: 4, upstreams: 20, zones: 4, rate: 20, share: .3, deadly: 1, depth: depth, turnsAt: 8, repairedAt: 30, length: 1000, back: 3, delay: .1})
		assert.Assert(t, f.answeredAfterRepair > 0, "depth %d: %d answered; %v", depth, f.answeredAfterRepair, f.log)
	}
}

// crashPart records a crash on parts, the first of which is the outermost, and the next
// incarnation of the upstream two seconds later.
func crashPart(t *Tracker, s float64, upstream string, parts ...string) {
	for depth, part := range parts {
		t.PartInterrupted(after(s), runAt(PartKey(part), upstream, "z"), depth, Interrupted)
	}
	t.UpstreamStarted(after(s+2), upstream+"-next", "addr of "+upstream, 2000)
}

func partVerdict(t *Tracker, s float64, parts ...string) (most Verdict) {
	for _, part := range parts {
		most = max(most, t.Verdict(after(s), PartKey(part)))
	}
	return most
}

// Guards against a verdict that counts one incarnation twice, ignores a proof or takes a
// proof for crashes that came later, or rests on one failure or on upstreams that live on.
func TestPartVerdict(t *testing.T) {
	tracker := New()
	for i := range 6 {
		crashPart(tracker, float64(i), "same", "deadly")
	}
	assert.Equal(t, partVerdict(tracker, 9, "deadly"), Allowed)
	for i := range 4 {
		tracker.PartProved(after(2*float64(i)-1), PartKey("deadly")) // the run had begun before the crash
		crashPart(tracker, 2*float64(i), fmt.Sprint("u", i), "common", "deadly")
		tracker.PartProved(after(2*float64(i)+.2), PartKey("common"))
	}
	assert.Equal(t, partVerdict(tracker, 9, "deadly"), Allowed, "proved between the crashes")
	for i := range 4 {
		crashPart(tracker, 20+2*float64(i), fmt.Sprint("v", i), "common", "deadly")
		tracker.PartProved(after(20+2*float64(i)+.2), PartKey("common"))
	}
	tracker.PartProved(after(19.5), PartKey("deadly"))
	assert.Equal(t, partVerdict(tracker, 28, "common"), Allowed)
	assert.Equal(t, partVerdict(tracker, 28, "deadly"), Blocked)
	assert.Equal(t, partVerdict(tracker, 3600, "deadly"), Blocked, "the requests may go on for hours")
	assert.Equal(t, partVerdict(tracker, 7*3600, "deadly"), Allowed)

	burst, cutOff := New(), New()
	for i := range 8 {
		crashPart(burst, .3*float64(i), fmt.Sprint("u", i), "common")
		cutOff.PartInterrupted(after(float64(i)), runAt(PartKey("common"), fmt.Sprint("u", i), "z"), 0, Interrupted)
	}
	assert.Equal(t, partVerdict(burst, 1.8, "common"), Allowed, "proofs may arrive within a second")
	assert.Equal(t, partVerdict(burst, 5, "common"), Undecided, "one failure, of which some runs were found late")
	assert.Equal(t, partVerdict(cutOff, 9, "common"), Undecided, "no upstream is known to have ended")
}

// Guards against blame on the wider or the narrower of two parts that crash together.
func TestPartsBeyondOneCause(t *testing.T) {
	tracker := New()
	for i := range 9 {
		crashPart(tracker, 3*float64(i), fmt.Sprint("u", i), []string{"wide", "narrow", "own"}[:1+i%2]...)
	}
	assert.Equal(t, partVerdict(tracker, 40, "wide"), Blocked)
	assert.Equal(t, partVerdict(tracker, 40, "narrow"), Undecided, "explained by the wide part, and not proved sound")
	tracker.PartProved(after(40), PartKey("narrow"))
	assert.Equal(t, partVerdict(tracker, 41, "narrow"), Allowed)

	tracker = New()
	for i := range 12 { // two causes in turn
		crashPart(tracker, 3*float64(i), fmt.Sprint("u", i), "common", fmt.Sprint("deadly", i%2))
		tracker.PartProved(after(3*float64(i)+1), PartKey("common"))
	}
	assert.Equal(t, partVerdict(tracker, 40, "common"), Allowed)
	assert.Equal(t, min(partVerdict(tracker, 40, "deadly0"), partVerdict(tracker, 40, "deadly1")), Blocked)
}

// Guards against trials of a deadly part whose number grows with the time, also when a
// trial leaves no trace because its gateway stops, and when another process leads after it.
func TestTrialsOfPartsAreBounded(t *testing.T) {
	for _, traced := range []bool{true, false} {
		tracker, trials, key := New(), []float64(nil), PartKey("deadly")
		for i := range 5 {
			crashPart(tracker, 2*float64(i), fmt.Sprint("u", i), "deadly")
		}
		for s := 9.0; s < 5*3600; s++ {
			if partVerdict(tracker, s, "deadly") != Blocked || !tracker.AllowTrial(after(s), key) {
				continue
			}
			trials = append(trials, s)
			next := New()
			next.Merge(after(s), tracker.Entries(after(s)))
			tracker = next
			if traced {
				crashPart(tracker, s+1, fmt.Sprint("t", s), "deadly")
			}
		}
		assert.Assert(t, len(trials) == 3 && trials[0] >= 18 && trials[2] > 600, "%v", trials)
	}
}

// Guards against trackers that reach different verdicts because entries about parts arrive
// in another order, late, twice or from a restored tracker.
func TestTrackersConvergeOnParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Entry
		for i := range rapid.IntRange(4, 40).Draw(t, "entries") {
			part := rapid.IntRange(0, 2).Draw(t, "part")
			e := Entry{Run: Run{Fingerprint: PartKey(fmt.Sprint(part))}, Outcome: Cleared, AgeMS: int64(10_000 + 700*i), Depth: part}
			if rapid.IntRange(0, 9).Draw(t, "proof") > 0 {
				e.Run = runAt(e.Fingerprint, fmt.Sprint("u", i), "z")
				e.Outcome = Outcome(rapid.IntRange(int(Interrupted), int(UpstreamAlive)).Draw(t, "outcome"))
			}
			all = append(all, e)
		}
		now := after(100)
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
		three.Merge(now, list)
		for s := range 3 {
			now := now.Add(time.Duration(s) * time.Second)
			assert.DeepEqual(t, one.decideParts(now), two.decideParts(now))
			assert.DeepEqual(t, one.decideParts(now), three.decideParts(now))
		}
	})
}

// Guards against a flood of sound parts that evicts a deadly one, and against unbounded
// memory.
func TestPartsAreBounded(t *testing.T) {
	tracker := New()
	for i := range 4 {
		crashPart(tracker, 2*float64(i), fmt.Sprint("u", i), "deadly")
	}
	for i := range 3 * maxRuns {
		tracker.PartProved(after(9), PartKey(fmt.Sprint("sound ", i)))
		tracker.PartInterrupted(after(10), runAt(PartKey(fmt.Sprint("long prompt ", i%2999)), fmt.Sprint("v", i%5), "z"), 1, Interrupted)
	}
	for i := range 2 * maxRuns {
		tracker.AllowTrial(after(10), PartKey(fmt.Sprint("unknown ", i)))
	}
	assert.Equal(t, partVerdict(tracker, 12, "deadly"), Blocked)
	assert.Assert(t, tracker.runCount <= maxRuns && len(tracker.requests) <= maxRuns)
	assert.Assert(t, len(tracker.proofs.current) <= maxProofs && len(tracker.proofs.previous) <= maxProofs)
}

// Guards against a proof that stays with the gateway that knows it, and against one that
// drifts with each message until it hides later crashes.
func TestProofsAreShared(t *testing.T) {
	knows, other := New(), New()
	knows.PartProved(after(5), PartKey("common"))
	crashPart(other, 4, "u0", "common")
	crashPart(other, 4.1, "u1", "common")
	assert.Equal(t, len(knows.Merge(after(5.1), other.EntriesSince(after(5.1), 0))), 0, "it was proved since")
	keys := knows.TakeUnsharedProofs()
	assert.DeepEqual(t, keys, []string{PartKey("common")})
	assert.Equal(t, len(other.Merge(after(5.2), knows.EntriesOf(after(5.2), keys))), 1)
	assert.Equal(t, other.runCount, 0)
	crashPart(other, 5.4, "u2", "common")
	for i := range 20 {
		s := 6 + .2*float64(i)
		knows.Merge(after(s+.1), other.EntriesOf(after(s), keys))
		other.Merge(after(s+.2), knows.EntriesOf(after(s+.1), keys))
	}
	assert.Assert(t, other.requests[PartKey("common")].clearedAt.Sub(after(5)) <= proofTolerance)
	assert.Equal(t, other.runCount, 1)
}

// Measures a decision with a full tracker.
func BenchmarkPartVerdict(b *testing.B) {
	tracker, r := New(), rand.New(rand.NewPCG(1, 1))
	for range 3800 {
		u := r.IntN(150)
		tracker.PartInterrupted(after(float64(u)/10), runAt(PartKey(fmt.Sprint(r.IntN(400))), fmt.Sprint("u", u), "z"), 1, Interrupted)
	}
	for i := range b.N {
		tracker.decisions = nil
		tracker.decideParts(after(20).Add(time.Duration(i)))
	}
}
