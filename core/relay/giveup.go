package relay

import "time"

// Continuation describes how a stream could go on if its silent attempt were given up.
type Continuation struct {
	// AttemptsLeft is set if one more attempt may send the request, OtherReady if another upstream
	// has room for it.
	AttemptsLeft, OtherReady bool
	// Trial is set for the trial of a request that may crash upstreams: it has one attempt, whose
	// outcome other requests wait for.
	Trial bool
}

// MayGiveUp reports whether an attempt that has failed a check may be given up. A stream that can go
// on elsewhere loses what its upstream has read; one that can't would lose its answer, although the
// upstream may only have preempted it, hang, or report late. Such a stream waits for an event, for
// the end of its connection, or until the upstream reports maxDrops times that it has dropped the
// attempt, and is checked again.
//
// It does not apply to streams that must not be sent twice, which are never checked.
func (s *Stream) MayGiveUp(c Continuation) bool {
	return c.Trial || c.AttemptsLeft && c.OtherReady || s.drops >= maxDrops
}

// maxDrops is the number of consecutive reports that show an attempt as dropped after which no
// event is awaited. The first may be older than the attempt's last change.
const maxDrops = 2

// Postpone schedules the next check of an attempt that has failed one and is not given up.
func (s *Stream) Postpone(now time.Time) { s.confirmedAt, s.checks = now, 1 }
