// Package relay decides how one stream of events passes from upstreams to a
// caller: which event is next, when silence is suspicious, and when the stream
// goes on at another upstream. It answers loads in which all model servers of an
// availability zone stop together, half of the time without closing their
// connections. It holds no clock.
package relay

import (
	"slices"
	"time"
)

const (
	// minSilence keeps the pauses that prompts of other requests cause from
	// being taken for a failure: a chunk of a prompt takes 25 ms and an event
	// has 6 tokens.
	minSilence = 280 * time.Millisecond
	// silenceGapShare is the part of the longest pause that still counts as on
	// time after which silence is suspicious; the rest is for the check and the
	// resume.
	silenceGapShare = 0.42
	// falseAlarmFactor is by how much each check that was followed by an event
	// lengthens the patience, so that a slow upstream is not checked at every
	// event.
	falseAlarmFactor = 0.5
	// checkedFactor multiplies the patience with an upstream that accepts
	// connections and still sends nothing.
	checkedFactor = 3
	// defaultMaxGap is used where a route declares no longest pause.
	defaultMaxGap = time.Second
	// firstEventFactor is how many times the expected wait the first event may take.
	firstEventFactor = 2
	// minFirstEvent is the least patience before the first event: a prompt of the
	// usual size takes a second to read.
	minFirstEvent = 1200 * time.Millisecond
)

// Verdict is what happens with an event.
type Verdict uint8

// The verdicts.
const (
	// Deliver gives the event to the caller.
	Deliver Verdict = iota
	// Duplicate drops an event that the caller has.
	Duplicate
	// Gap means that an event is missing; the attempt is of no more use.
	Gap
)

// Stream is the state of one stream.
type Stream struct {
	maxGap  time.Duration
	last    int64
	hasLast bool
	// falseAlarms counts the checks of the attempt that an event followed.
	falseAlarms int
	lastEventAt time.Time
	// expectedFirst is the expected time until the expectedFirst event of the attempt.
	expectedFirst time.Duration
	started       bool
	checks        int
	// confirmedAt is when the upstream last said that it works on the attempt, pulse
	// what it had done for all its work by then.
	confirmedAt time.Time
	workCounter int
	// resumed is set when the attempt begins behind an event, received counts its
	// events.
	resumed  bool
	received int
	// highestEvent is the highest event of the attempt, filler the bytes that it has sent
	// since its last new event without one.
	highestEvent int64
	nonProgress  int
	// reconnected names the upstreams that the stream has gone back to.
	reconnected []string
	// deliveredAt is when the caller got the last event, longest the longest pause
	// between two of its events.
	deliveredAt  time.Time
	longestPause time.Duration
}

// New returns a stream behind the event last, or from the start if last is
// negative. maxGap is the longest pause that counts as on time, zero for none
// declared.
func New(maxGap time.Duration, last int64) *Stream {
	if maxGap <= 0 {
		maxGap = defaultMaxGap
	}
	return &Stream{maxGap: maxGap, last: last, hasLast: last >= 0}
}

// StartAttempt begins an attempt that is expected to send its first event after a
// time.
func (s *Stream) StartAttempt(now time.Time, expected time.Duration) {
	s.lastEventAt, s.expectedFirst, s.started, s.checks, s.falseAlarms = now, expected, false, 0, 0
	s.confirmedAt, s.workCounter, s.resumed, s.received = now, -1, s.hasLast, 0
	s.highestEvent, s.nonProgress = -1, 0
}

// maxNonProgress bounds what an attempt may send between two events: comments that keep a
// connection open have a few bytes. An upstream in trouble may send them without end.
const maxNonProgress = 64 << 10

// RecordNonProgress takes bytes in that are no event, or one that the attempt has sent before.
// They do not count as progress. It returns false when the attempt is to be given up.
func (s *Stream) RecordNonProgress(bytes int) bool {
	s.nonProgress += bytes
	return s.nonProgress <= maxNonProgress
}

// LastEvent returns the last event that the caller has; false when it has none.
func (s *Stream) LastEvent() (int64, bool) { return s.last, s.hasLast }

// Received returns the number of events of the current attempt, those that the
// caller has among them. Only an event ends the silence of an upstream.
func (s *Stream) Received() int { return s.received }

// LongestPause returns the longest pause between two events of the caller.
func (s *Stream) LongestPause() time.Duration { return s.longestPause }

// ReceiveEvent takes an event of the current attempt in.
func (s *Stream) ReceiveEvent(now time.Time, id int64) Verdict {
	if id <= s.highestEvent {
		return Duplicate
	}
	s.highestEvent, s.nonProgress = id, 0
	if s.checks > 0 {
		s.falseAlarms++
	}
	s.lastEventAt, s.started, s.checks = now, true, 0
	s.received++
	switch {
	case s.hasLast && id <= s.last:
		return Duplicate
	case s.hasLast && id > s.last+1:
		return Gap
	}
	if !s.deliveredAt.IsZero() {
		s.longestPause = max(s.longestPause, now.Sub(s.deliveredAt))
	}
	s.last, s.hasLast, s.deliveredAt = id, true, now
	return Deliver
}

// TimeUntilCheck returns how long the attempt may stay silent from now on before it
// is checked by a new connection.
func (s *Stream) TimeUntilCheck(now time.Time) time.Duration {
	limit := s.silenceLimit()
	if s.checks > 0 {
		limit *= time.Duration(s.checks * checkedFactor)
	}
	last := s.lastEventAt
	if s.confirmedAt.After(last) {
		last = s.confirmedAt
	}
	return max(last.Add(limit).Sub(now), 0)
}

func (s *Stream) silenceLimit() time.Duration {
	if !s.started {
		return max(minFirstEvent, firstEventFactor*s.expectedFirst)
	}
	base := max(minSilence, time.Duration(silenceGapShare*float64(s.maxGap)))
	return min(time.Duration(float64(base)*(1+falseAlarmFactor*float64(s.falseAlarms))), max(s.maxGap, minSilence))
}

// recentEventAge is the age up to which an event shows that its upstream is alive.
const recentEventAge = 100 * time.Millisecond

// HasRecentEvent tells whether the attempt has just sent an event.
func (s *Stream) HasRecentEvent(now time.Time) bool {
	return s.started && now.Sub(s.lastEventAt) < recentEventAge
}

// maxChecks is the number of passed checks after which a silent attempt is
// given up nevertheless, if the upstream does not say that it works on it: an open
// connection may be silent for good, and a server may hang.
const maxChecks = 1

// RecordCheck records that the upstream accepted a new connection while the stream
// was silent, and what it said of its work. It returns false when the attempt is to
// be given up.
func (s *Stream) RecordCheck(now time.Time, p Progress) bool {
	if s.TimeUntilCheck(now) > 0 {
		return true // an early check because of an alarm says nothing about this silence
	}
	switch p {
	case Working:
		s.confirmedAt = now
		if s.started {
			s.checks = 1
		}
		return true
	case Lost:
		return false
	}
	s.checks++
	return s.checks <= maxChecks
}

// ReconnectOnce tells whether a stream goes on at the upstream whose connection has
// broken. One that is alive has the prompt in its cache, and one that has crashed
// refuses the next connection at once. Each has this chance once; a copy of the
// KV cache elsewhere is as good and does not depend on it.
func (s *Stream) ReconnectOnce(id string, copied bool) bool {
	if copied || slices.Contains(s.reconnected, id) {
		return false
	}
	s.reconnected = append(s.reconnected, id)
	return true
}
