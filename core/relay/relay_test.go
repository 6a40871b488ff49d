package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// Guards against an answer in which an event is missing or comes twice, whatever
// the attempts send.
func TestEventsPassOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(700*time.Millisecond, -1)
		var passed []int64
		for range rapid.IntRange(1, 5).Draw(t, "attempts") {
			s.StartAttempt(start, 0)
			next := rapid.Int64Range(0, 4).Draw(t, "from")
			for range rapid.IntRange(0, 8).Draw(t, "events") {
				v := s.ReceiveEvent(start, next)
				if v == Gap {
					break
				}
				if v == Deliver {
					passed = append(passed, next)
				}
				next += rapid.Int64Range(1, 2).Draw(t, "step")
			}
		}
		for i := 1; i < len(passed); i++ {
			assert.Equal(t, passed[i], passed[i-1]+1)
		}
	})
}

// Guards against a stream of a caller that comes back and gets events again
// that it has.
func TestCallerReconnects(t *testing.T) {
	s := New(0, 12)
	s.StartAttempt(start, 0)
	assert.Equal(t, s.ReceiveEvent(start, 12), Duplicate)
	assert.Equal(t, s.ReceiveEvent(start, 13), Deliver)
	assert.Equal(t, s.ReceiveEvent(start, 15), Gap)
}

// Guards against silence that is noticed too late for a resume within the
// longest pause on time, and against usual pauses that count as silence.
func TestSilenceIsNoticedWithinTheGap(t *testing.T) {
	const gap = 700 * time.Millisecond
	s := New(gap, -1)
	s.StartAttempt(start, time.Second)
	assert.Assert(t, s.TimeUntilCheck(start) >= time.Second, "a prompt of a second is read")
	now := start
	for id := range int64(20) {
		now = now.Add(60 * time.Millisecond)
		s.ReceiveEvent(now, id)
	}
	const checkAndResume = 250 * time.Millisecond // a connection that hangs, and a resume from a copy
	assert.Assert(t, s.TimeUntilCheck(now) <= gap-checkAndResume)
	assert.Assert(t, s.TimeUntilCheck(now) >= 250*time.Millisecond, "four usual pauses")
}

// Guards against a slow upstream that is checked at every event, or given up.
func TestSlowUpstream(t *testing.T) {
	s := New(700*time.Millisecond, -1)
	s.StartAttempt(start, 0)
	now, checks := start, 0
	for id := range int64(40) {
		next := now.Add(450 * time.Millisecond)
		for at := now.Add(s.TimeUntilCheck(now)); id > 0 && at.Before(next); at = at.Add(s.TimeUntilCheck(at)) {
			checks++
			assert.Assert(t, s.RecordCheck(at, Unknown), "given up at event %d", id)
		}
		now = next
		s.ReceiveEvent(now, id)
	}
	assert.Assert(t, checks <= 3, "%d checks", checks)
}

// Guards against a stream that waits for good on a connection that is silent
// while the upstream takes new ones, and against early checks that use up the
// patience.
func TestSilentConnectionIsGivenUp(t *testing.T) {
	s := New(700*time.Millisecond, -1)
	s.StartAttempt(start, 0)
	s.ReceiveEvent(start, 0)
	assert.Assert(t, s.RecordCheck(start.Add(50*time.Millisecond), Unknown), "an alarm")
	now := start.Add(s.TimeUntilCheck(start))
	assert.Assert(t, s.RecordCheck(now, Unknown))
	now = now.Add(s.TimeUntilCheck(now))
	assert.Assert(t, !s.RecordCheck(now, Unknown))
	assert.Assert(t, now.Sub(start) < 2*time.Second, "before the caller gives up")
}

// Guards against a prompt that is read anew although its upstream is alive, and
// against a stream that goes back to a failing upstream for good.
func TestReconnectsOnceToEachUpstream(t *testing.T) {
	s := New(0, -1)
	assert.Assert(t, !s.ReconnectOnce("a", true), "a copy elsewhere is used")
	assert.Assert(t, s.ReconnectOnce("a", false))
	assert.Assert(t, !s.ReconnectOnce("a", false))
	assert.Assert(t, s.ReconnectOnce("b", false))
}

// Plays an overloaded upstream at which a prompt waits for eight seconds: the
// attempt must not be given up, since the prompt would be read anew elsewhere, as 74
// of 1,300 were on a day of floods (wieniec-router-grown). Once the upstream stops
// working, it must be given up within seconds.
func TestOverloadedUpstreamIsNotGivenUp(t *testing.T) {
	s := New(700*time.Millisecond, -1)
	s.StartAttempt(start, time.Second)
	now := start
	for done := 0; now.Sub(start) < 8*time.Second; done++ {
		now = now.Add(s.TimeUntilCheck(now))
		report := Report{RequestsWithoutEvents: 3, WorkCounter: done}
		assert.Assert(t, s.RecordCheck(now, s.EvaluateReport(report)), "given up after %v", now.Sub(start))
	}
	hangs := now
	report := Report{RequestsWithoutEvents: 3, WorkCounter: 100}
	for s.RecordCheck(now, s.EvaluateReport(report)) {
		now = now.Add(s.TimeUntilCheck(now))
		assert.Assert(t, now.Sub(hangs) < 5*time.Second)
	}
}

// Guards against a pause beyond what is on time because a connection that is silent
// for good is noticed only by time: the upstream says that it has made events.
func TestSilentConnectionIsNoticedByTheReport(t *testing.T) {
	for _, r := range []Report{{HasEvents: true, Events: 9, WorkCounter: 5}, {WorkCounter: 5}} {
		s := New(700*time.Millisecond, -1)
		s.StartAttempt(start, 0)
		s.ReceiveEvent(start, 0)
		now := start.Add(s.TimeUntilCheck(start))
		assert.Assert(t, !s.RecordCheck(now, s.EvaluateReport(r)))
		assert.Assert(t, now.Sub(start) < 400*time.Millisecond)
	}
}
