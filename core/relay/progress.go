package relay

// Progress is what an upstream reports about an attempt that is silent.
type Progress uint8

const (
	// Unknown means that the upstream was not asked or that its answer is
	// inconclusive.
	Unknown Progress = iota
	// Working means that the attempt is running or queued there. Moving it
	// would waste the prefill done so far and add to the load that makes the
	// upstream slow.
	Working
	// Lost means that no more events are expected: the upstream has produced events
	// that did not arrive, does not list the attempt, or has stopped working.
	Lost
	// Dropped means that the upstream has no request that the attempt could be: it lists others
	// only, and none waits or is in prefill.
	Dropped
)

func (p Progress) String() string { return [...]string{"unknown", "working", "lost", "dropped"}[p] }

// Report describes an attempt and the other work of an upstream as of a few
// hundred milliseconds ago. The silence limits are longer than this delay.
type Report struct {
	// HasEvents is set when the upstream has produced events for the attempt;
	// Events is their number.
	HasEvents bool
	Events    int
	// RequestsWithoutEvents is the number of requests there that have no event
	// yet: those in the queue and those in prefill.
	RequestsWithoutEvents int
	// WorkCounter changes whenever the upstream does any work.
	WorkCounter int
}

// EvaluateReport derives the progress of the attempt from a report. It covers
// overload, in which prompts wait for seconds, as well as upstreams that hang
// and connections that stay silent.
func (s *Stream) EvaluateReport(r Report) Progress {
	before := s.workCounter
	s.workCounter = r.WorkCounter
	switch {
	case !r.HasEvents && r.RequestsWithoutEvents == 0:
		return Dropped
	case !r.HasEvents && s.started:
		return Lost // one of those that wait, if it was preempted
	case r.WorkCounter == before:
		return Lost // no work since the last report
	case s.resumed && r.Events > 0:
		return Unknown // the report does not tell whether Events includes those before the resume
	case r.HasEvents && r.Events > s.received:
		return Lost // the connection has not delivered events that the upstream has produced
	}
	return Working
}
