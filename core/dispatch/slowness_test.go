package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/routing"
)

// unevenLoad is a load of streams through one gateway at upstreams of different speeds, which
// prefill one prompt after the other, at a share of their prefill capacity together.
type unevenLoad struct {
	seed    uint64
	speeds  []float64
	share   float64
	streams int
	// liar is the index of an upstream that states that its work takes no time; -1 is none.
	liar int
}

// unevenResult is what the second half of the streams, after the gateway has learned, saw.
type unevenResult struct {
	p99 time.Duration // of the times to the first event
	// busiest is the work at the busiest upstream by its speed, relative to the mean, and load
	// the share of the tokens that each upstream got.
	busiest float64
	load    []float64
}

func (l unevenLoad) simulate() unevenResult {
	const prompt = 8000
	rng := rand.New(rand.NewPCG(l.seed, 11))
	f := New("z0", rand.New(rand.NewPCG(l.seed, 12)))
	f.SetEngines([]routing.Service{{Name: "model", Engine: &routing.Engine{MemoryTokens: 400_000}}})
	engines := map[string]*simulatedEngine{}
	work, index := make([]float64, len(l.speeds)), map[string]int{}
	total := 0.0
	for i, speed := range l.speeds {
		u := upstreamRecord("model", 0, i)
		f.SetUpstream(u)
		engines[u.ID], index[u.ID] = &simulatedEngine{tokensPerMS: priorTokensPerMS * speed}, i
		total += speed
	}
	perSecond := l.share * total * priorTokensPerMS * 1000 / prompt
	type event struct {
		at    time.Duration
		apply func(now time.Time)
	}
	var events []event
	schedule := func(at time.Duration, apply func(time.Time)) {
		e := event{at, apply}
		place, _ := slices.BinarySearchFunc(events, e, func(a, b event) int { return cmp.Compare(a.at, b.at) })
		events = slices.Insert(events, place, e)
	}
	var waits []time.Duration
	now := time.Duration(0)
	for n := range l.streams {
		now += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		for len(events) > 0 && events[0].at <= now {
			events[0].apply(start.Add(events[0].at))
			events = events[1:]
		}
		req := &Request{Service: "model", Stream: true, PromptTokens: prompt/2 + rng.IntN(prompt), OutputTokens: 800, ID: fmt.Sprint(n)}
		c, refusal := f.Place(start.Add(now), req)
		if refusal != nil {
			waits = append(waits, time.Minute)
			continue
		}
		i := index[c.Upstream.ID]
		run := engines[c.Upstream.ID].send(now, req.ID, req.PromptTokens)
		perEvent := 30 * time.Millisecond
		perEvent = time.Duration(float64(perEvent) / l.speeds[i])
		schedule(run.start, func(t time.Time) {
			f.RecordStarted(t, c.Ticket)
			if i == l.liar {
				f.RecordStatedSlowness(t, c.Ticket, 0.1)
			}
		})
		for k := range 8 {
			schedule(run.start+time.Duration(16*(k+1))*perEvent, func(t time.Time) { f.RecordSpacing(t, c.Ticket, perEvent) })
		}
		schedule(run.start+130*perEvent, func(t time.Time) { f.End(t, c.Ticket) })
		if n >= l.streams/2 {
			waits = append(waits, run.start-now)
			work[i] += float64(req.PromptTokens)
		}
	}
	out := unevenResult{load: slices.Clone(work)}
	sum, all := 0.0, 0.0
	for i := range work {
		all += work[i]
		work[i] /= l.speeds[i]
		sum += work[i]
	}
	for i := range out.load {
		out.load[i] /= all
	}
	out.busiest = slices.Max(work) / (sum / float64(len(work)))
	slices.Sort(waits)
	out.p99 = waits[len(waits)*99/100]
	return out
}

// evenly returns speeds from low to high.
func evenly(count int, low, high float64) (out []float64) {
	for i := range count {
		out = append(out, low+(high-low)*float64(i)/float64(count-1))
	}
	return out
}

// Load: streams at 0.85 of the prefill capacity of 20 upstreams at 0.55 to 1.2 of the nominal
// speed. The load by speed of the busiest may be 1.1 of the mean, and the 99th percentile of
// the first events 1.3 of that of an even fleet of the same sum. Guards against slow upstreams
// that get as much as fast ones.
func TestLoadFollowsSpeed(t *testing.T) {
	for name, speeds := range map[string][]float64{
		"spread":         evenly(20, 0.55, 1.2),
		"a quarter slow": slices.Concat(evenly(5, 0.55, 0.551), evenly(15, 1.199, 1.2)),
	} {
		sum := 0.0
		for _, speed := range speeds {
			sum += speed
		}
		mean := sum / float64(len(speeds))
		busiest, uneven, even := 0.0, 0.0, 0.0
		const runs = 5
		for seed := range uint64(runs) {
			load := unevenLoad{seed: seed, speeds: speeds, share: 0.85, streams: 6000, liar: -1}
			r := load.simulate()
			load.speeds = evenly(20, mean, mean)
			e := load.simulate()
			assert.Check(t, r.busiest <= 1.1, "%s, seed %d: %.3f", name, seed, r.busiest)
			busiest, uneven, even = busiest+r.busiest/runs, uneven+milliseconds(r.p99)/runs, even+milliseconds(e.p99)/runs
		}
		t.Logf("%s: busiest to mean %.3f, p99 %.0f ms, %.2f of the even fleet", name, busiest, uneven, uneven/even)
		assert.Check(t, uneven <= 1.3*even, "%s", name)
	}
}

// Failure: an upstream states that its work takes a thousandth of the usual time. It may get a
// tenth more than its share of the load by that, beside what chance gives each upstream.
func TestLiarGainsLittleLoad(t *testing.T) {
	speeds := evenly(20, 1, 1)
	speeds[7] = 0.6
	for seed := range uint64(3) {
		load := unevenLoad{seed: seed, speeds: speeds, share: 0.8, streams: 4000, liar: -1}
		honest := load.simulate()
		load.liar = 7
		lying := load.simulate()
		t.Logf("seed %d: share of the load %.4f, %.4f when lying", seed, honest.load[7], lying.load[7])
		assert.Check(t, lying.load[7] <= 1.1*honest.load[7])
	}
}

// Guards against estimates for single upstreams that change the placement of an even fleet:
// every choice must be the one that is made without them.
func TestEvenFleetIsServedAsBefore(t *testing.T) {
	place := func(measured bool) (out []string) {
		f := newTestFleet(3, 8)
		rng := rand.New(rand.NewPCG(4, 4))
		now := start
		for n := range 2000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * 40 * float64(time.Millisecond)))
			req := streamRequest()
			req.Backup = false
			c, refusal := f.Place(now, req)
			assert.Assert(t, refusal == nil)
			out = append(out, c.Upstream.ID)
			took := time.Duration((900 + 300*rng.Float64()) * float64(time.Millisecond))
			f.RecordStarted(now.Add(took), c.Ticket)
			if measured {
				f.RecordSpacing(now.Add(took), c.Ticket, time.Duration((25+10*rng.Float64())*float64(time.Millisecond)))
			} else {
				rng.Float64()
				for _, u := range f.byID {
					f.estimate("model").speeds.Forget(u.ID)
				}
			}
			if n%3 > 0 {
				f.End(now.Add(2*took), c.Ticket)
			}
			if n > 60 {
				f.End(now, uint64(n-40))
			}
		}
		return out
	}
	assert.DeepEqual(t, place(true), place(false))
}

// Guards against small differences between upstreams that are taken for their speed, and
// against an estimate that jumps at the tolerance.
func TestSmallDifferencesDoNotCount(t *testing.T) {
	for ratio, want := range map[float64]float64{1: 0, 1.14: 0, 1 / 1.14: 0, 2: 1, 0.5: 1} {
		assert.Check(t, math.Abs(countedShare(ratio)-want) < 1e-9, "%v: %v", ratio, countedShare(ratio))
	}
	last := countedShare(0.5)
	for ratio := 0.5; ratio < 2; ratio += 0.001 {
		got := countedShare(ratio)
		assert.Check(t, math.Abs(got-last) < 0.02, "%v at %v after %v", got, ratio, last)
		last = got
	}
}

// Guards against streams that are sent where their events are expected to come too far apart,
// and against plain calls that ignore how slow an upstream is now.
func TestSlowUpstreamIsAvoided(t *testing.T) {
	f := newTestFleet(1, 4)
	slow := f.byService["model"][0]
	for n := range 12 {
		now := start.Add(time.Duration(n) * 1500 * time.Millisecond)
		for _, u := range f.byService["model"] {
			perEvent := 100 * time.Millisecond
			if u == slow {
				perEvent = 200 * time.Millisecond
			}
			u.estimate.speeds.Spacing(now, u.ID, perEvent, 1)
		}
	}
	now := start.Add(20 * time.Second)
	assert.Assert(t, !slow.keepsPauses(now, 700*time.Millisecond))
	assert.Assert(t, slow.keepsPauses(now, 0))
	assert.Assert(t, f.byService["model"][1].keepsPauses(now, 700*time.Millisecond))

	f = newTestFleet(1, 0)
	for i := range 3 {
		f.SetUpstream(upstreamRecord("desk", 0, i))
	}
	req := &Request{Service: "desk"}
	now = start
	for range 40 { // they confirm their statements
		now = now.Add(300 * time.Millisecond)
		c, _ := f.Place(now, req)
		now = now.Add(15 * time.Millisecond)
		f.RecordStatedSlowness(now, c.Ticket, 100)
		f.RecordAnswer(now, c.Ticket, true)
		f.End(now, c.Ticket)
	}
	c, _ := f.Place(now, req)
	f.RecordStatedSlowness(now, c.Ticket, 400)
	f.End(now, c.Ticket)
	for range 20 {
		other, _ := f.Place(now, req)
		assert.Check(t, other.Upstream.ID != c.Upstream.ID, "%s has just stated that it is slow", c.Upstream.ID)
		f.End(now, other.Ticket)
	}
	f.SetUpstream(upstreamRecord("desk", 0, 1))
	gone := f.byID[c.Upstream.ID].Upstream
	gone.StartedMS++
	f.SetUpstream(gone)
	assert.Equal(t, f.byID[c.Upstream.ID].statedSlowness(now), 1.0, "it has restarted")
}
