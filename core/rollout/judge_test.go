package rollout

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	worldCount = flag.Int("rollout.worlds", 20, "worlds of each kind in TestJudgement")
	allWorlds  = flag.Bool("rollout.all", false, "also play the rates and durations at which the sample is too small, without a bound on the errors")
)

// answerFunc is what an upstream of the target or of the old version does with a request on a route.
type answerFunc func(w *world, route int, target bool) (failed bool, took time.Duration)

// elapsedShare returns the part of the roll-out's duration that has passed.
func elapsedShare(w *world) float64 { return float64(w.now.Sub(w.ordered)) / float64(w.order.Duration) }

// inBurst reports whether one of the disturbances runs that hit both versions alike: 1.5 s of each 5 s.
func inBurst(w *world) bool {
	at := w.now.Sub(w.ordered) % (5 * time.Second)
	return at > 2*time.Second && at < 3500*time.Millisecond
}

// worldKinds are versions, and disturbances of both versions alike.
var worldKinds = []struct {
	name   string
	bad    bool
	answer answerFunc
}{
	{"good", false, usual},
	{"good, one answer in seven fails everywhere", false, func(w *world, route int, target bool) (bool, time.Duration) {
		failed, took := usual(w, route, target)
		return failed || w.rng.Float64() < 1.0/7, took
	}},
	{"good, bursts and lossy links", false, func(w *world, route int, target bool) (bool, time.Duration) {
		failed, took := usual(w, route, target)
		if inBurst(w) {
			return failed || w.rng.Float64() < 0.15, 3 * took
		}
		return failed, took
	}},
	{"good, a tenth of the instances of both is slow", false, func(w *world, route int, target bool) (bool, time.Duration) {
		failed, took := usual(w, route, target)
		if w.rng.Float64() < 0.1 {
			took *= 5
		}
		return failed, took
	}},
	{"fails one in ten on a route with a tenth", true, func(w *world, route int, target bool) (bool, time.Duration) {
		failed, took := usual(w, route, target)
		return failed || target && route == w.routes-1 && w.rng.Float64() < 0.1, took
	}},
	{"three times slower on a route with a tenth", true, func(w *world, route int, target bool) (bool, time.Duration) {
		failed, took := usual(w, route, target)
		if target && route == w.routes-1 {
			took *= 3
		}
		return failed, took
	}},
	{"fails three in ten later", true, func(w *world, route int, target bool) (bool, time.Duration) {
		failed, took := usual(w, route, target)
		return failed || target && elapsedShare(w) > 0.4 && w.rng.Float64() < 0.3, took
	}},
	{"fails three in ten in bursts", true, func(w *world, route int, target bool) (bool, time.Duration) {
		failed, took := usual(w, route, target)
		return failed || target && inBurst(w) && w.rng.Float64() < 0.3, took
	}},
}

// Guards against a judgement that reverts a good version or trusts a bad one in more than one world of 200, and one that
// remains open. The rates and durations are those whose sample is large enough for all kinds.
func TestJudgement(t *testing.T) {
	for _, c := range []struct {
		rate     float64
		duration time.Duration
		enough   bool
	}{
		{500, 40 * time.Second, true}, {1000, 40 * time.Second, true},
		{30, 40 * time.Second, false}, {130, 12 * time.Second, false}, {130, 40 * time.Second, false}, {500, 12 * time.Second, false},
	} {
		if !c.enough && !*allWorlds {
			continue
		}
		for _, k := range worldKinds {
			t.Run(fmt.Sprintf("%v a second, %v, %s", c.rate, c.duration, k.name), func(t *testing.T) {
				t.Parallel()
				wrong, canary, took, example := 0, 0, time.Duration(0), ""
				for seed := range *worldCount {
					w := newWorld(uint64(seed), 8, c.rate, c.duration)
					w.answer = k.answer
					w.run()
					assert.Assert(t, !w.rollout().Phase.Running(), "undecided at the deadline")
					if w.reverted.IsZero() == k.bad {
						wrong++
						example = w.reason
					}
					if k.bad && !w.reverted.IsZero() {
						took += w.reverted.Sub(w.ordered)
					}
					canary += w.canary
				}
				t.Logf("%v a second, %v, %s: %d of %d worlds wrong, %d canary requests, reverted after %v on average; %s", c.rate, c.duration, k.name, wrong, *worldCount, canary / *worldCount,
					(took / time.Duration(*worldCount)).Round(10*time.Millisecond), example)
				if c.enough {
					assert.Assert(t, wrong*200 <= *worldCount, "%d of %d worlds wrong", wrong, *worldCount)
				}
			})
		}
	}
}

// Guards against bursts that begin and end between two reports and are taken for a change of the version.
func TestJudgeComparesTheSameTime(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	j := NewJudge()
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		share := 0.01
		if math.Mod(at.Seconds(), 3) < 0.5 {
			share = 0.5
		}
		counts := func(n int) (c Counts) {
			for range n {
				c.add(rng.Float64() < share, 0)
			}
			return c
		}
		j.Observe(at, "r", counts(10), counts(90))
		f := j.Now()
		assert.Assert(t, !f.Bad, "%v", f)
	}
}

// Guards against a target that is trusted although it has answered nothing.
func TestTargetWithoutAnswers(t *testing.T) {
	j := NewJudge()
	j.Observe(time.Second, "r", Counts{}, Counts{Answers: 1000})
	assert.Assert(t, !j.Now().Bad)
	assert.Assert(t, j.Due().Bad)
}
