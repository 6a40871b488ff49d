package logs

import "time"

// summaryInterval bounds lines about events that come in bursts to one a second for each
// kind.
const summaryInterval = time.Second

// Summary counts events that come in bursts, so that one line tells of many. One goroutine
// uses it. Its zero value is ready.
type Summary struct {
	events, subjects int
	last             time.Time
}

// Add counts events and what they concern. If a line is due it returns the counts since
// the line before.
func (s *Summary) Add(now time.Time, events, subjects int) (allEvents, allSubjects int, due bool) {
	s.events += events
	s.subjects += subjects
	if s.events == 0 || now.Sub(s.last) < summaryInterval {
		return 0, 0, false
	}
	allEvents, allSubjects = s.events, s.subjects
	*s = Summary{last: now}
	return allEvents, allSubjects, true
}
