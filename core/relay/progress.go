package relay

// Progress is what an upstream says of its work on an attempt that is silent.
type Progress uint8

const (
	// Unknown means that it was not asked, or that the answer does not tell.
	Unknown Progress = iota
	// Working means that the attempt runs or waits there. To send it elsewhere would
	// waste what has been read, and add to the load that makes it slow.
	Working
	// Lost means that nothing more will arrive: events were made that have not come,
	// the upstream does not know the attempt, or it has stopped working.
	Lost
)

func (p Progress) String() string { return [...]string{"unknown", "working", "lost"}[p] }

// Report is what an upstream says of an attempt and of its other work, as of a few
// hundred milliseconds ago. Suspicion takes longer than that.
type Report struct {
	// HasEvents tells whether the attempt has made events there, Events is their number.
	HasEvents bool
	Events    int
	// RequestsWithoutEvents is the number of requests there without an event: those that wait, and
	// those whose prompt is being read.
	RequestsWithoutEvents int
	// WorkCounter changes with any work that is done there.
	WorkCounter int
}

// EvaluateReport tells from a report how the attempt stands. It answers overload, in which
// prompts wait for seconds, as well as upstreams that hang and connections that are
// silent for good.
func (s *Stream) EvaluateReport(r Report) Progress {
	before := s.workCounter
	s.workCounter = r.WorkCounter
	switch {
	case !r.HasEvents && (s.started || r.RequestsWithoutEvents == 0):
		return Lost
	case r.WorkCounter == before:
		return Lost
	case s.resumed && r.Events > 0:
		return Unknown // whether the events before the resume count is not said
	case r.HasEvents && r.Events > s.received:
		return Lost
	}
	return Working
}
