package breaker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func recordFailures(b *Breaker, now time.Time, n int) {
	for range n {
		p, _ := b.Allow(now)
		b.Record(now, p, RequestFailed)
	}
}

// Guards against a breaker that opens too late or too early, or probes without a pause.
func TestOpensAndDoublesPause(t *testing.T) {
	b, now := New(Settings{}), start
	recordFailures(b, now, DefaultConsecutiveFailures-1)
	assert.Equal(t, b.State(now), Closed)
	recordFailures(b, now, 1)
	for _, pause := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		assert.Equal(t, b.RetryAt(now), now.Add(pause*time.Second))
		now = now.Add(pause * time.Second)
		assert.Equal(t, b.State(now.Add(-1)), Open)
		recordFailures(b, now, 1)
	}
}

// Guards against a breaker that never opens for an upstream that fails every other
// request.
func TestOpensAtHalfOfWindow(t *testing.T) {
	b := New(Settings{})
	for i := range DefaultWindow {
		assert.Equal(t, b.State(start), Closed, "after %d outcomes", i)
		p, _ := b.Allow(start)
		b.Record(start, p, Outcome(i%2)) // Succeeded, RequestFailed, ...
	}
	assert.Equal(t, b.State(start), Open)
}

// Guards against a single successful probe that resets the pause of a failing upstream.
func TestPauseKeepsDoublingAfterOneSuccess(t *testing.T) {
	b := New(Settings{})
	recordFailures(b, start, DefaultConsecutiveFailures)
	now := start.Add(DefaultPause)
	p, ok := b.Allow(now)
	assert.Assert(t, ok && p.Probe)
	b.Record(now, p, Succeeded)
	recordFailures(b, now, DefaultConsecutiveFailures)
	assert.Equal(t, b.RetryAt(now), now.Add(2*DefaultPause))
}

// Guards, for any order of events, against two simultaneous probes, against silent
// connections or cancelled calls that open the breaker, and against late outcomes of
// earlier work that close or reopen it.
func TestProbesAndLateOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := New(Settings{ConsecutiveFailures: 3, Window: 4}), start
		var open, late []Permit
		var probe Permit
		probeUntil := time.Time{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			before := b.State(now)
			if rapid.Bool().Draw(t, "send") {
				p, ok := b.Allow(now)
				assert.Assert(t, !ok || before != Open, "work let through while open")
				if ok && p.Probe {
					assert.Assert(t, !now.Before(probeUntil), "second probe while one is active")
					probe, probeUntil = p, now.Add(DefaultProbeTimeout)
				}
				if ok {
					open = append(open, p)
				}
				continue
			}
			from := &open
			if len(late) > 0 && rapid.Bool().Draw(t, "late") {
				from = &late
			}
			if len(*from) == 0 {
				continue
			}
			i := rapid.IntRange(0, len(*from)-1).Draw(t, "which")
			p := (*from)[i]
			*from = append((*from)[:i], (*from)[i+1:]...)
			o := Outcome(rapid.IntRange(0, int(Abandoned)).Draw(t, "outcome"))
			b.Record(now, p, o)
			after := b.State(now)
			if from == &late || before != Closed && !p.Probe || o == ConnectionSilent || o == Abandoned {
				assert.Equal(t, after, before, "outcome %d of probe %v", o, p.Probe)
			}
			if p.Probe && p == probe {
				probeUntil = now
			}
			if before == Closed && after != Closed {
				late, open = append(late, open...), nil
			}
		}
	})
}
