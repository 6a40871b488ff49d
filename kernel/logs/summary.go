package logs

import "time"

// summaryInterval is the shortest interval between two log lines about events of one
// kind, which come in bursts.
const summaryInterval = time.Second

// Summary aggregates events that come in bursts, so that one log line covers many of them.
// It is not safe for concurrent use. The zero value is ready to use.
type Summary struct {
	events, subjects int
	last             time.Time
}

// Add counts events and the subjects that they concern. If a log line is due, it returns
// the counts since the previous line and resets them.
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
