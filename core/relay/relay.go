// Package relay tracks how a gateway forwards one stream of events from upstreams
// to a caller: which event is due next, how long an upstream may stay silent
// before it is checked, and when the stream must resume on another upstream. It
// handles the failure of all model servers of an availability zone at once,
// half of the time without closing their connections. The package reads no
// clock. An entry, which reads frames from agents, uses package stream instead.
package relay

import (
	"slices"
	"time"
)

const (
	// minSilence is the least silence that triggers a check. It exceeds the
	// pauses that the prefill of other requests causes: a prompt chunk takes 25
	// ms and an event has 6 tokens.
	minSilence = 280 * time.Millisecond
	// silencePauseShare is the fraction of the longest permitted pause after
	// which a silent upstream is checked. The remainder is left for the check
	// and the resume.
	silencePauseShare = 0.42
	// falseAlarmFactor is how much the silence limit grows, as a fraction of
	// its base, with each check that was followed by an event, so that a slow
	// upstream is not checked at every event.
	falseAlarmFactor = 0.5
	// checkedFactor multiplies the silence limit of an upstream that accepts
	// connections but still sends nothing.
	checkedFactor = 3
	// defaultMaxPause applies to routes whose settings name no longest pause.
	defaultMaxPause = time.Second
	// firstEventFactor is the multiple of the expected wait that the first
	// event may take.
	firstEventFactor = 2
	// minFirstEvent is the least time allowed for the first event: the prefill
	// of a prompt of the usual size takes a second.
	minFirstEvent = 1200 * time.Millisecond
	// minPromptWork is the time after which an upstream counts as having a part
	// of the prompt in its cache. It reads a few hundred tokens in it, of prompts
	// of thousands.
	minPromptWork = 20 * time.Millisecond
)

// Verdict is the decision about an event.
type Verdict uint8

// The verdicts.
const (
	// Deliver forwards the event to the caller.
	Deliver Verdict = iota
	// Duplicate drops an event that the caller already has.
	Duplicate
	// Gap means that an event is missing, so the attempt must be abandoned.
	Gap
)

// Stream is the state of one forwarded stream.
type Stream struct {
	maxPause  time.Duration
	lastEvent int64
	hasLast   bool
	// falseAlarms counts the checks of the attempt that were followed by an
	// event.
	falseAlarms int
	lastEventAt time.Time
	// expectedFirst is the expected time until the first event of the attempt.
	expectedFirst time.Duration
	// started is set once the attempt has sent an event; checks counts the checks
	// that its upstream has passed since the last event. It is 1 after a check at
	// which the upstream reported progress.
	started bool
	checks  int
	// drops counts the consecutive checks that found the attempt dropped.
	drops int
	// confirmedAt is when the upstream last reported progress on the attempt,
	// initially the start of the attempt; workCounter is the Report.WorkCounter
	// of the last report, initially -1.
	confirmedAt time.Time
	workCounter int
	// resumed is set when the attempt starts after an event that the caller
	// already has; received counts the events of the attempt.
	resumed  bool
	received int
	// highestEvent is the highest event id of the attempt; nonProgress counts
	// the bytes received since then that were no new event.
	highestEvent int64
	nonProgress  int
	// reconnected lists the upstreams that the stream has reconnected to after
	// a broken connection.
	reconnected []string
	// deliveredAt is when the caller received the last event; longestPause is
	// the longest pause between two events delivered to it.
	deliveredAt  time.Time
	longestPause time.Duration
}

// New returns the state of a stream that continues after the event last, or
// starts at the first event if last is negative. maxGap is the longest pause
// between events that is still on time; zero selects a default.
func New(maxPause time.Duration, last int64) *Stream {
	if maxPause <= 0 {
		maxPause = defaultMaxPause
	}
	return &Stream{maxPause: maxPause, lastEvent: last, hasLast: last >= 0}
}

// StartAttempt starts an attempt whose first event is expected after the given
// time.
func (s *Stream) StartAttempt(now time.Time, expected time.Duration) {
	s.lastEventAt, s.expectedFirst, s.started, s.checks, s.drops, s.falseAlarms = now, expected, false, 0, 0, 0
	s.confirmedAt, s.workCounter, s.resumed, s.received = now, -1, s.hasLast, 0
	s.highestEvent, s.nonProgress = -1, 0
}

// maxNonProgress bounds the bytes that an attempt may send between two new
// events. Keep-alive comments have a few bytes each; a faulty upstream may send
// them without end.
const maxNonProgress = 64 << 10

// RecordNonProgress counts bytes that are not an event, or that repeat an event
// of this attempt. It returns false when the attempt must be abandoned.
func (s *Stream) RecordNonProgress(bytes int) bool {
	s.nonProgress += bytes
	return s.nonProgress <= maxNonProgress
}

// LastEvent returns the id of the last event delivered to the caller, and false
// if there was none.
func (s *Stream) LastEvent() (int64, bool) { return s.lastEvent, s.hasLast }

// Received returns the number of events of the current attempt, including those
// that the caller already had. Only an event ends the silence of an upstream.
func (s *Stream) Received() int { return s.received }

// EndedEarly reports whether the current attempt has sent events, but none as
// late as the last one that the caller has. Its end is not the end of the
// stream then.
func (s *Stream) EndedEarly() bool { return s.received > 0 && s.highestEvent < s.lastEvent }

// LongestPause returns the longest pause between two events delivered to the
// caller.
func (s *Stream) LongestPause() time.Duration { return s.longestPause }

// ReceiveEvent records an event of the current attempt and decides what to do
// with it.
func (s *Stream) ReceiveEvent(now time.Time, id int64) Verdict {
	if id <= s.highestEvent {
		return Duplicate
	}
	s.highestEvent, s.nonProgress = id, 0
	if s.checks > 0 {
		s.falseAlarms++
	}
	s.lastEventAt, s.started, s.checks, s.drops = now, true, 0, 0
	s.received++
	switch {
	case s.hasLast && id <= s.lastEvent:
		return Duplicate
	case s.hasLast && id > s.lastEvent+1:
		return Gap
	}
	if !s.deliveredAt.IsZero() {
		s.longestPause = max(s.longestPause, now.Sub(s.deliveredAt))
	}
	s.lastEvent, s.hasLast, s.deliveredAt = id, true, now
	return Deliver
}

// TimeUntilCheck returns how much longer the attempt may stay silent before the
// upstream is checked with a new connection.
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
	base := max(minSilence, time.Duration(silencePauseShare*float64(s.maxPause)))
	return min(time.Duration(float64(base)*(1+falseAlarmFactor*float64(s.falseAlarms))), max(s.maxPause, minSilence))
}

// recentEventAge is the maximum age at which an event proves that its upstream
// is alive.
const recentEventAge = 100 * time.Millisecond

// HasRecentEvent reports whether the attempt has just sent an event.
func (s *Stream) HasRecentEvent(now time.Time) bool {
	return s.started && now.Sub(s.lastEventAt) < recentEventAge
}

// maxChecks is the number of passed checks after which a silent attempt is
// abandoned unless the upstream reports progress on it: an open connection may
// stay silent forever, and a server may hang.
const maxChecks = 1

// RecordCheck records that the upstream accepted a new connection while the
// stream was silent, together with the progress that it reported. It returns
// false when the attempt must be abandoned.
func (s *Stream) RecordCheck(now time.Time, p Progress) bool {
	if s.TimeUntilCheck(now) > 0 {
		return true // a check that ran early says nothing about this silence
	}
	if p != Dropped {
		s.drops = 0
	}
	switch p {
	case Working:
		s.confirmedAt = now
		// The next limit is checkedFactor times as long, and a following event counts
		// as a false alarm.
		if s.started {
			s.checks = 1
		}
		return true
	case Lost:
		return false
	case Dropped:
		s.drops++
		return false
	}
	s.checks++
	return s.checks <= maxChecks
}

// Disconnect describes an attempt whose connection to the upstream broke.
type Disconnect struct {
	// Upstream is the ID of the upstream, After the time that the attempt had lasted.
	Upstream string
	After    time.Duration
	// HasPrompt is set if the upstream has responded or had the prompt in its cache before.
	HasPrompt bool
	// CacheCopied is set if another upstream has a copy of the KV cache.
	CacheCopied bool
	// OtherReady is set if another upstream can take the stream.
	OtherReady bool
}

// ReconnectOnce reports whether the stream should resume on the upstream whose
// connection broke. It returns true at most once for each upstream. An upstream
// that is still alive has the prompt in its cache, unless the connection was cut
// at once; something may accept connections for one that has crashed, and each of
// them costs a retry. If there is a copy of the KV cache, the stream resumes there,
// because that does not depend on this upstream being alive.
func (s *Stream) ReconnectOnce(d Disconnect) bool {
	hasPrompt := d.HasPrompt || d.After >= minPromptWork
	if d.CacheCopied || !hasPrompt && d.OtherReady || slices.Contains(s.reconnected, d.Upstream) {
		return false
	}
	s.reconnected = append(s.reconnected, d.Upstream)
	return true
}
