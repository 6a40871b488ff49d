package origin

import "time"

// incarnationWait is how long the upstream of an attempt is asked for its start time. Its answer
// takes a few milliseconds; the rest covers lost packets.
const incarnationWait = time.Second

// Verdict says whether the events of an attempt may be relayed as those of the version that the
// upstream has announced.
type Verdict uint8

// Verdicts.
const (
	// AskAgain means that the upstream is to be asked once more.
	AskAgain Verdict = iota
	// SameIncarnation means that the incarnation that has announced the version serves the attempt.
	SameIncarnation
	// OtherIncarnation means that another incarnation, whose version is not known, serves it.
	OtherIncarnation
	// NoAnswer means that the upstream did not answer for incarnationWait.
	NoAnswer
	// CannotAsk means that the upstream states no start time or may not be asked. Its ID alone
	// identifies it then.
	CannotAsk
)

// MayBegin reports whether events may be relayed.
func (v Verdict) MayBegin() bool { return v == SameIncarnation || v == CannotAsk }

// IncarnationCheck decides whether an attempt runs at the incarnation whose announcement named the
// version: an upstream may restart under its ID at another version, and its answers name neither.
// The upstream is asked for its start time after the head of the attempt's response has arrived,
// so no later incarnation can answer as the announced one.
type IncarnationCheck struct {
	announcedMS int64
	until       time.Time
}

// NewIncarnationCheck returns a check against the announced start time in Unix milliseconds, zero
// if unknown.
func NewIncarnationCheck(now time.Time, announcedMS int64) IncarnationCheck {
	return IncarnationCheck{announcedMS, now.Add(incarnationWait)}
}

// Answered returns the verdict on an answer, which states the start time of the incarnation, or
// zero if it states none.
func (c IncarnationCheck) Answered(startedMS int64) Verdict {
	switch {
	case c.announcedMS == 0 || startedMS == 0:
		return CannotAsk
	case startedMS == c.announcedMS:
		return SameIncarnation
	}
	return OtherIncarnation
}

// Failed returns the verdict after a question that got no answer.
func (c IncarnationCheck) Failed(now time.Time) Verdict {
	if now.Before(c.until) {
		return AskAgain
	}
	return NoAnswer
}
