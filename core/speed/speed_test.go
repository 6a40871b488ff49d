package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

const (
	// tolerance is the difference that placement ignores.
	tolerance = 0.15
	// tokensPerMS and eventMS describe an upstream of nominal speed.
	tokensPerMS = 8
	eventMS     = 26
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// neighbours simulates the other users of a machine: part of the time, in spells that last for
// some hundred milliseconds, all work takes longer.
type neighbours struct {
	rng               *rand.Rand
	share, slowdown   float64
	spell             time.Duration
	until, quietUntil time.Time
}

func newNeighbours(seed uint64) *neighbours {
	return &neighbours{rng: rand.New(rand.NewPCG(seed, 3)), share: 0.15, slowdown: 2.5, spell: 600 * time.Millisecond}
}

// factor returns how much longer than usual work takes at a time. Times must not decrease.
func (n *neighbours) factor(now time.Time) float64 {
	for !now.Before(n.quietUntil) {
		quiet := time.Duration(n.rng.ExpFloat64() * float64(n.spell) * (1 - n.share) / n.share)
		n.until = n.quietUntil.Add(time.Duration(n.rng.ExpFloat64() * float64(n.spell)))
		if n.quietUntil.IsZero() {
			n.until = now
		}
		n.quietUntil = n.until.Add(quiet)
	}
	if now.Before(n.until) {
		return n.slowdown
	}
	return 1
}

// fleet simulates upstreams of given speeds that share their machines with others.
type fleet struct {
	e          *Estimator
	rng        *rand.Rand
	speeds     []float64
	neighbours []*neighbours
}

func newFleet(seed uint64, speeds ...float64) *fleet {
	f := &fleet{e: New(Settings{MaxClaim: 1.5}), rng: rand.New(rand.NewPCG(seed, 1)), speeds: speeds}
	for i := range speeds {
		f.neighbours = append(f.neighbours, newNeighbours(seed*1000+uint64(i)))
	}
	return f
}

func name(i int) string { return fmt.Sprint("u", i) }

// stream plays one stream at an upstream: its first event and the spacing of its events.
func (f *fleet) stream(now time.Time, i int) {
	slowness := f.neighbours[i].factor(now) / f.speeds[i]
	tokens := 4000 + f.rng.IntN(8000)
	took := float64(tokens) / tokensPerMS * slowness
	if f.rng.Float64() < 0.15 {
		took *= 1 + 2*f.rng.Float64() // contended by a prompt that is not known of
	}
	f.e.FirstEvent(now, name(i), tokens, ms(took), 0)
	f.e.Spacing(now, name(i), ms(eventMS*slowness*(0.9+0.2*f.rng.Float64())), 1+f.rng.IntN(6))
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// play plays streams at all upstreams in turn for some seconds.
func (f *fleet) play(from, seconds, perSecond float64) {
	steps := int(seconds * perSecond)
	for n := range steps {
		f.stream(at(from+float64(n)/perSecond), n%len(f.speeds))
	}
}

// Load: a customer's model servers, a quarter at 0.55 and the others at 1.2 of the nominal
// speed, on shared machines, with a stream at each every 1.5 seconds. Guards against slow
// machines that are not found, and against sound ones that neighbours make look slow.
func TestSlowMachinesAreToldFromNoise(t *testing.T) {
	const upstreams = 20
	for seed := range uint64(20) {
		var speeds []float64
		for i := range upstreams {
			if i%4 == 0 {
				speeds = append(speeds, 0.55)
			} else {
				speeds = append(speeds, 1.2)
			}
		}
		f := newFleet(seed, speeds...)
		f.play(0, 30, upstreams/1.5)
		now := at(30)
		for i, speed := range speeds {
			got := f.e.Relative(now, name(i))
			if speed < 1 {
				assert.Check(t, got < 0.65, "seed %d: a machine at 0.46 of the median is taken for %.2f", seed, got)
			} else {
				assert.Check(t, got > 1-tolerance && got < 1+tolerance, "seed %d: a sound machine is taken for %.2f", seed, got)
			}
		}
	}
}

// Guards against a slow machine that is found late: six streams, one every 1.5 seconds, must be
// enough in nine of ten cases, and must not condemn a sound machine in more than one of fifty.
func TestSlowMachineIsFoundWithinSixStreams(t *testing.T) {
	found, wrong, cases := 0, 0, 0
	for seed := range uint64(100) {
		f := newFleet(seed, 1, 1, 1, 1, 1, 0.5)
		for step := range 6 {
			for i := range f.speeds {
				f.stream(at(1.5*float64(step)), i)
			}
		}
		now := at(9)
		if f.e.Relative(now, name(5)) < 0.75 {
			found++
		}
		for i := range 5 {
			cases++
			if math.Abs(math.Log(f.e.Relative(now, name(i)))) > tolerance {
				wrong++
			}
		}
	}
	t.Logf("found %d of 100; %d of %d sound machines judged wrongly", found, wrong, cases)
	assert.Assert(t, found >= 90, "%d", found)
	assert.Assert(t, wrong*50 <= cases, "%d of %d", wrong, cases)
}

// Load: equal upstreams on shared machines for five minutes. Guards against differences that
// exist only in the noise, which would unbalance an even fleet.
func TestEqualUpstreamsStayEqual(t *testing.T) {
	const upstreams = 12
	for seed := range uint64(10) {
		f := newFleet(seed, make([]float64, upstreams)...)
		for i := range f.speeds {
			f.speeds[i] = 1
		}
		for second := range 300 {
			f.play(float64(second), 1, 8)
			for i := range upstreams {
				got := f.e.Relative(at(float64(second+1)), name(i))
				assert.Check(t, math.Abs(math.Log(got)) < tolerance, "seed %d, second %d: %.2f", seed, second, got)
			}
		}
	}
}

// Guards against one spell of a neighbour's noise that counts as often as the upstream is used:
// a hundred streams within the spell are one sample.
func TestBurstWithinOneSpellCountsOnce(t *testing.T) {
	f := newFleet(1, 1, 1, 1)
	f.play(0, 9, 3)
	for n := range 100 {
		f.e.FirstEvent(at(9+0.006*float64(n)), name(0), 8000, 5*time.Second, 0)
	}
	assert.Equal(t, f.e.Relative(at(9.6), name(0)), 1.0)
}

// Guards against prompts that wait behind others and make their upstream look slow.
func TestKnownContentionDoesNotCount(t *testing.T) {
	e := New(Settings{})
	for n := range 40 {
		now := at(float64(n))
		for i := range 4 {
			e.FirstEvent(now, name(i), 8000, time.Second, 0)
		}
		e.FirstEvent(now, name(4), 8000, 3*time.Second, 2)
		e.FirstEvent(now, name(5), 8000, 9*time.Second, 2) // a third of the speed, after two others
		e.FirstEvent(now, name(6), 8000, 500*time.Millisecond, 2)
	}
	assert.Equal(t, e.Relative(at(40), name(4)), 1.0)
	assert.Assert(t, e.Relative(at(40), name(5)) < 0.4)
	assert.Assert(t, e.Relative(at(40), name(6)) > 1.8)
}

// Guards against a machine that was slow once and is shunned forever: without samples it
// returns to the median, and with samples of its new speed sooner.
func TestSlownessIsForgotten(t *testing.T) {
	f := newFleet(3, 1, 1, 1, 1, 0.5)
	f.play(0, 30, 5)
	assert.Assert(t, f.e.Relative(at(30), name(4)) < 0.65)
	f.speeds[4] = 1
	f.play(30, 20, 5)
	assert.Assert(t, f.e.Relative(at(50), name(4)) > 1-tolerance, "%v", f.e.Relative(at(50), name(4)))

	f = newFleet(3, 1, 1, 1, 1, 0.5)
	f.e = New(Settings{Forget: time.Minute})
	f.play(0, 30, 5)
	last := 0.0
	for _, minutes := range []float64{0.5, 1, 2, 4} {
		got := f.e.Relative(at(60*minutes), name(4))
		assert.Check(t, got >= last, "%v after %v minutes", got, minutes)
		last = got
	}
	assert.Equal(t, last, 1.0)
}

// Guards against a new upstream, or one that has restarted, that is judged by another's
// samples.
func TestNewUpstreamStartsAtTheMedian(t *testing.T) {
	f := newFleet(4, 1, 1, 1, 0.5)
	f.play(0, 30, 8)
	assert.Equal(t, f.e.Relative(at(30), "new"), 1.0)
	f.e.Forget(name(3))
	assert.Equal(t, f.e.Relative(at(30), name(3)), 1.0)
	assert.Equal(t, len(f.e.Snapshot(at(30)).Upstreams), 3)
}

// Guards against times of the service that are not learned: prefill, calls and spacing, which
// depends on the batch.
func TestTimesAreLearned(t *testing.T) {
	e := New(Settings{})
	assert.Equal(t, e.SpacingMS(start, "a", 1), 0.0)
	near := func(got, want float64) {
		t.Helper()
		assert.Assert(t, math.Abs(got/want-1) < 0.1, "%v, want %v", got, want)
	}
	near(e.PrefillMS(start, "a", 8000), 8000.0/priorTokensPerMS)
	for n := range 300 {
		now, id := at(float64(n)/5), name(n%5)
		e.FirstEvent(now, id, 8000, 4*time.Second, 0)
		e.Call(now, id, 45*time.Millisecond)
		e.Spacing(now, id, 20*time.Millisecond, 1)
		e.Spacing(now, id, 60*time.Millisecond, 16)
	}
	now := at(60)
	near(e.PrefillMS(now, "a", 4000), 2000)
	near(e.CallMS(now, "a"), 45)
	near(e.SpacingMS(now, "a", 1), 20)
	near(e.SpacingMS(now, "a", 100), 60)
	near(e.SpacingMS(now, "a", 12), 60) // of the known batches, the larger neighbour
}

// Guards against upstreams that are told apart by what they serve: a long batch is no slow
// machine, and an upstream measured by calls alone compares with one measured by streams.
func TestLargeBatchIsNotSlow(t *testing.T) {
	e := New(Settings{})
	for n := range 200 {
		now := at(float64(n) / 4)
		for i := range 6 {
			batch := 1
			if i >= 3 {
				batch = 32
			}
			if n < 20 {
				batch = 33 - batch // both sizes have been seen at all upstreams
			}
			e.Spacing(now, name(i), ms(20+float64(batch)), batch)
		}
	}
	for i := range 6 {
		got := e.Relative(at(50), name(i))
		assert.Check(t, math.Abs(math.Log(got)) < tolerance, "%s: %.2f", name(i), got)
	}
}

// Failure: a server states false figures of how long its work takes. Guards against a gain of
// more than a tenth, and against a figure that measurements contradict.
func TestFalseStatementsGainLittle(t *testing.T) {
	e := New(Settings{})
	e.Stated(start, "liar", 1)
	assert.Assert(t, e.CallMS(start, "liar") >= minStatedSlowness*priorCallMS)
	rng := rand.New(rand.NewPCG(9, 9))
	for n := range 600 {
		now := at(float64(n) / 20)
		for i := range 4 {
			e.Call(now, name(i), ms(15*(0.9+0.2*rng.Float64())))
		}
		e.Stated(now, "liar", []float64{0.001, 100, 40}[n%3])
		e.Call(now, "liar", ms(30*(0.9+0.2*rng.Float64())))
	}
	now := at(30)
	e.Stated(now, "liar", 0.001)
	assert.Equal(t, e.StatedSlowness(now, "liar"), 1.0, "contradicted by every measurement")
	assert.Assert(t, e.CallMS(now, "liar") > 1.7*e.CallMS(now, name(0)), "%v %v", e.CallMS(now, "liar"), e.CallMS(now, name(0)))
}

// Guards against a true figure that is not used for the moments that it describes, and against
// one that is used for longer.
func TestTrueStatementsCountBriefly(t *testing.T) {
	e := New(Settings{})
	n := newNeighbours(2)
	for step := range 2000 {
		now := at(float64(step) / 50)
		f := n.factor(now)
		e.Stated(now, "a", 100*f)
		e.Call(now, "a", ms(15*f))
		e.Call(now, "b", 15*time.Millisecond)
		e.Call(now, "c", 15*time.Millisecond)
	}
	now := at(40)
	e.Stated(now, "a", 250)
	assert.Assert(t, e.StatedSlowness(now, "a") > 1.5, "%v", e.StatedSlowness(now, "a"))
	assert.Equal(t, e.StatedSlowness(now.Add(statedLife), "a"), 1.0)
	assert.Assert(t, math.Abs(math.Log(e.Relative(now, "a"))) < tolerance)
}

// Guards against a figure that never changes: measurements already contain it.
func TestConstantStatementLosesItsEffect(t *testing.T) {
	e := New(Settings{})
	for step := range 20 * 60 {
		e.Stated(at(float64(step)/20), "a", 40)
	}
	assert.Assert(t, e.StatedSlowness(at(60), "a") > 0.95, "%v", e.StatedSlowness(at(60), "a"))
}

// Load: a quarter of the upstreams state 55 as their usual figure and the others 120, before any
// measurement. Guards against a figure that is not used while nothing else is known, and against
// one that is believed in full.
func TestUsualStatementCountsUntilMeasured(t *testing.T) {
	e := New(Settings{MaxClaim: 1.5})
	now := start
	for n := range 6 {
		now = at(1.2 * float64(n))
		for i := range 8 {
			figure := 120.0
			if i%4 == 0 {
				figure = 55
			}
			if (n+i)%6 == 0 {
				figure *= 2.5 // a neighbour's noise
			}
			e.Stated(now, name(i), figure)
		}
		if n == 0 {
			for i := range 8 {
				e.Relative(now.Add(refreshInterval), name(i))
				assert.Check(t, i%4 == 0 || e.Relative(now.Add(refreshInterval), name(i)) == 1, "one high figure may be noise")
			}
		}
	}
	now = now.Add(refreshInterval)
	for i := range 8 {
		got := e.Relative(now, name(i))
		assert.Check(t, i%4 == 0 && got > 1.3 && got < 1.51 || i%4 != 0 && math.Abs(math.Log(got)) < tolerance, "%s: %.2f", name(i), got)
	}
	for range 8 {
		now = now.Add(1200 * time.Millisecond)
		for i := range 8 {
			took := 1.2
			if i%4 == 0 {
				took = 0.55
			}
			e.FirstEvent(now, name(i), 8000, ms(1000*took), 0)
		}
	}
	assert.Assert(t, math.Abs(e.Relative(now, name(0))/(1.2/0.55)-1) < 0.05, "%v", e.Relative(now, name(0)))
}

// Failure: a server states that it is always fast, and is as slow as the others, or slower. Guards
// against a claim that outlives the measurements which contradict it.
func TestContradictedClaimIsIgnored(t *testing.T) {
	for _, speed := range []float64{1, 0.5} {
		f := newFleet(6, 1, 1, 1, 1, 1, speed)
		for n := range 20 {
			now := at(1.5 * float64(n))
			for i := range f.speeds {
				figure := 100.0
				if i == 5 {
					figure = 20
				}
				f.e.Stated(now, name(i), figure)
				f.stream(now, i)
			}
			if n > 6 {
				assert.Check(t, f.e.Relative(now, name(5)) < 1.1*max(speed, 0.65), "speed %v, stream %d: %.2f", speed, n, f.e.Relative(now, name(5)))
			}
		}
	}
}

// Load: equal upstreams on shared machines that state the noise of their neighbours, for five
// minutes. Guards against differences that exist only in the noise.
func TestEqualUpstreamsWithStatementsStayEqual(t *testing.T) {
	const upstreams = 12
	wrong, all := 0, 0
	for seed := range uint64(10) {
		f := newFleet(seed, make([]float64, upstreams)...)
		for i := range f.speeds {
			f.speeds[i] = 1
		}
		for second := range 300 {
			for i := range upstreams {
				now := at(float64(second) + float64(i)/upstreams)
				f.e.Stated(now, name(i), 100*f.neighbours[i].factor(now))
				f.stream(now, i)
			}
			all++
			if math.Log(f.e.Spread(at(float64(second+1)))) > tolerance {
				wrong++
			}
		}
	}
	t.Logf("uneven in %d of %d seconds", wrong, all)
	assert.Assert(t, wrong*100 <= all, "%d of %d", wrong, all)
}

// Guards against input that no clock or upstream should produce and that would make costs NaN,
// infinite or negative, or memory grow without bound.
func TestOddInput(t *testing.T) {
	e := New(Settings{TokensPerMS: math.NaN(), CallMS: math.Inf(1), Forget: -1})
	figures := []float64{math.NaN(), math.Inf(1), math.Inf(-1), 0, -1, 1e300, 1e-300, 100}
	times := []time.Duration{math.MinInt64, -1, 0, 1, time.Second, math.MaxInt64}
	counts := []int{math.MinInt, -1, 0, 1, 1000, math.MaxInt}
	rng := rand.New(rand.NewPCG(5, 5))
	moments := []time.Time{{}, start.Add(-time.Hour), start, start.Add(time.Millisecond), start.Add(1000 * time.Hour)}
	for n := range 20_000 {
		now := moments[rng.IntN(len(moments))]
		id := []string{"", "a", "b", fmt.Sprint(n)}[rng.IntN(4)]
		took, count := times[rng.IntN(len(times))], counts[rng.IntN(len(counts))]
		switch rng.IntN(4) {
		case 0:
			e.FirstEvent(now, id, count, took, counts[rng.IntN(len(counts))])
		case 1:
			e.Spacing(now, id, took, count)
		case 2:
			e.Call(now, id, took)
		case 3:
			e.Stated(now, id, figures[rng.IntN(len(figures))])
		}
		r := e.Relative(now, id)
		assert.Assert(t, r >= MinRelative-1e-9 && r <= MaxRelative+1e-9, "%v", r)
		for _, v := range []float64{e.CallMS(now, id), e.SpacingMS(now, id, count), e.PrefillMS(now, id, figures[rng.IntN(len(figures))])} {
			assert.Assert(t, v >= 0 && !math.IsInf(v, 0), "%v", v)
		}
	}
	assert.Assert(t, len(e.upstreams) <= maxUpstreams)
	e.Snapshot(start)
}

// Guards against upstreams that are remembered after they have gone without notice.
func TestStaleUpstreamsAreDropped(t *testing.T) {
	e := New(Settings{})
	for i := range 2 * maxUpstreams {
		e.Call(at(float64(i)/1000), name(i), time.Millisecond)
	}
	assert.Equal(t, len(e.upstreams), maxUpstreams)
	later := at(60).Add(staleAfter * defaultForget)
	e.Call(later, "late", time.Millisecond)
	e.Relative(later.Add(2*time.Second), "late")
	assert.Equal(t, len(e.upstreams), 1)
}

// Measures what one decision over 300 upstreams asks for.
func BenchmarkRelative(b *testing.B) {
	e := New(Settings{})
	var ids []string
	for i := range 300 {
		ids = append(ids, name(i))
		for n := range maxSamples {
			e.Call(at(float64(n)), name(i), ms(10+float64(i%7)))
		}
	}
	n := 0
	for b.Loop() {
		n++
		now := at(30 + float64(n)/1000)
		for _, id := range ids {
			e.Relative(now, id)
		}
	}
}
