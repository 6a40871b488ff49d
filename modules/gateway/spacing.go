package gateway

import (
	"slices"
	"time"
)

const (
	// spacingEvents is the number of gaps between events that make one sample of an upstream's
	// speed: several samples for a stream of a few seconds, and few messages to the owner.
	spacingEvents = 16
	// minGapShare is the median gap, as a share of the mean, below which events have arrived
	// in groups, so that neither is the time that the upstream takes for one. Pauses of a
	// quarter of the events, each of 30 times the median, are still above it.
	minGapShare = 0.1
)

// spacingMeter measures the time between the events of an attempt.
type spacingMeter struct {
	lastAt time.Time
	gaps   []time.Duration
}

// add records an event and returns the median gap after every spacingEvents gaps. Pauses in
// which the upstream reads another prompt do not count in a median.
func (m *spacingMeter) add(at time.Time) (perEvent time.Duration, ok bool) {
	if !m.lastAt.IsZero() {
		m.gaps = append(m.gaps, at.Sub(m.lastAt))
	}
	m.lastAt = at
	if len(m.gaps) < spacingEvents {
		return 0, false
	}
	total := time.Duration(0)
	for _, gap := range m.gaps {
		total += gap
	}
	slices.Sort(m.gaps)
	perEvent = m.gaps[len(m.gaps)/2]
	m.gaps = m.gaps[:0]
	return perEvent, float64(perEvent) >= minGapShare*float64(total)/spacingEvents
}

// recordSpacing reports the spacing of the events of an attempt to the fleet state.
func (s *streamRequest) recordSpacing(a *attempt, readAt time.Time) {
	perEvent, ok := a.spacing.add(readAt)
	if !ok {
		return
	}
	ticket := a.choice.Ticket
	s.g.owner.post(func(st *state) { st.fleet.RecordSpacing(readAt, ticket, perEvent) })
}
