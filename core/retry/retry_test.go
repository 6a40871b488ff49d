package retry

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/kernel/result"
)

var start = time.Unix(1_000_000, 0)

func countAfter(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) {
			n++
		}
	}
	return n
}

// Guards against retries beyond the budget in any window, for instance across the boundary
// of a bucket.
func TestBudgetLimitsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := NewBudget(Settings{}), start
		var first, extra []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 10).Draw(t, "first") {
				b.AddAttempt(now)
				first = append(first, now)
			}
			for range rapid.IntRange(0, 3).Draw(t, "retries") {
				if !b.AllowRetry(now) {
					continue
				}
				extra = append(extra, now)
				from := now.Add(-DefaultWindow)
				allowed := DefaultShare*float64(countAfter(first, from)) + DefaultReserve
				assert.Assert(t, float64(countAfter(extra, from)) <= allowed)
			}
		}
	})
}

// Guards against a budget that is too small: steady traffic with 5% failures must get all
// of its retries.
func TestBudgetCoversLowFailureRate(t *testing.T) {
	b := NewBudget(Settings{})
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		b.AddAttempt(now)
		assert.Assert(t, i%20 != 0 || b.AllowRetry(now), "request %d", i)
	}
}

// Guards against generations of a lost zone that cannot resume because retries of other
// requests have used up the budget, and against endless resumes.
func TestResumesHaveTheirOwnBudget(t *testing.T) {
	b := NewBudget(Settings{})
	for b.AllowRetry(start) {
	}
	const running = 300
	for range running + DefaultResumeReserve {
		_, ok := b.AllowResume(start, running)
		assert.Assert(t, ok)
	}
	wait, ok := b.AllowResume(start, running)
	assert.Assert(t, !ok && wait > 0)
	_, ok = b.AllowResume(start.Add(2*DefaultWindow), running)
	assert.Assert(t, ok)
}

// Guards against a second run of a call that may already have run, and against attempts
// that only add load.
func TestDecideNeverRepeatsWhatMayHaveRun(t *testing.T) {
	for _, info := range result.All() {
		for _, ran := range []result.Ran{result.NotRun, result.DidRun, result.Unknown} {
			f := Failure{Code: info.Code, Ran: ran, Attempts: 1, MaxAttempts: 3}
			if ran != result.NotRun || !info.Retry {
				assert.Equal(t, Decide(f), Stop, "%s %s", info.Name, ran)
			}
			f.Idempotent = true
			want := Decide(f)
			f.Attempts = 3
			assert.Equal(t, Decide(f), Stop)
			f.Attempts, f.HasDeadline = 1, true
			assert.Equal(t, Decide(f), Stop, "no time left")
			f.TimeLeft = time.Second
			assert.Equal(t, Decide(f), want)
		}
	}
	assert.Equal(t, Decide(Failure{Code: result.Leaving, MaxAttempts: 2, Attempts: 1}), RetryElsewhere)
	assert.Equal(t, Decide(Failure{Code: result.Quarantined, MaxAttempts: 2, Attempts: 1, Idempotent: true}), Stop)
}

// Guards against hedges based on too few or stale samples, and against a wrong quantile.
func TestHedgeDelay(t *testing.T) {
	var l LatencyTracker
	for i := range 100 {
		_, known := l.P95Delay(start)
		assert.Equal(t, known, i >= minSamples)
		l.Observe(start, time.Duration(i+1)*time.Millisecond)
	}
	d, _ := l.P95Delay(start.Add(time.Second))
	assert.Equal(t, d, 95*time.Millisecond)
	_, known := l.P95Delay(start.Add(2 * maxSampleAge))
	assert.Assert(t, !known)
}

// Guards against callers that are told to return too early or all at the same time.
func TestRetryAfterSpreadsCallers(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	const callers, estimate, parts = 10_000, 4 * time.Second, 10
	var count [parts]int
	for range callers {
		d := RetryAfter(estimate, rng)
		assert.Assert(t, d >= estimate && d < 2*estimate)
		assert.Assert(t, time.Duration(HeaderSeconds(d))*time.Second >= d)
		count[int((d-estimate)*parts/estimate)]++
	}
	for _, n := range count {
		assert.Assert(t, n < callers/parts*5/4, "%v", count)
	}
}

// TestRetryLoadFactor prints the load factor of an entry whose upstreams fail every
// attempt: go test ./core/retry -run TestRetryLoadFactor -v
func TestRetryLoadFactor(t *testing.T) {
	const perSecond, attempts, length = 26, 3, 10 * time.Minute
	load := func(allow func(b *Budget, now time.Time) bool) float64 {
		b, sent, first := NewBudget(Settings{}), 0, 0
		for at := time.Duration(0); at < length; at += time.Second / perSecond {
			now := start.Add(at)
			b.AddAttempt(now)
			first++
			sent++
			for n := 1; n < attempts && allow(b, now); n++ {
				sent++
			}
		}
		return float64(sent) / float64(first)
	}
	unlimited := load(func(*Budget, time.Time) bool { return true })
	budget := load((*Budget).AllowRetry)
	fmt.Printf("load factor at 100%% failure, %d/s, %d attempts: without budget %.3f, with budget %.3f\n",
		perSecond, attempts, unlimited, budget)
	assert.Assert(t, budget <= 1+DefaultShare+DefaultReserve/(perSecond*DefaultWindow.Seconds()))
}

// Simulates lookups of services with usual latencies between 2 and 200 ms, each with its
// own objective: fewer than one in ten may be hedged, even before anything is known about
// the service. With one fixed delay for all services, every lookup of a service of 60 ms
// was hedged.
func TestHedgesAreFewForAnyServiceTime(t *testing.T) {
	for _, work := range []time.Duration{2, 15, 30, 60, 200} {
		work *= time.Millisecond
		objective := 5 * work
		rng := rand.New(rand.NewSource(int64(work)))
		var l LatencyTracker
		now, hedged := start, 0
		const lookups = 2000
		for range lookups {
			now = now.Add(10 * time.Millisecond)
			took := time.Duration((0.6 + 0.8*rng.Float64()) * float64(work))
			if took > l.HedgeDelay(now, objective) {
				hedged++
			}
			l.Observe(now, took)
		}
		assert.Assert(t, hedged*10 < lookups, "work %v: %d of %d", work, hedged, lookups)
	}
	var unknown *LatencyTracker
	assert.Equal(t, unknown.HedgeDelay(start, 100*time.Millisecond), 45*time.Millisecond)
}
