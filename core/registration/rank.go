package registration

import (
	"cmp"
	"slices"
	"time"

	"heatherway.dev/core/internal/rendezvous"
)

// Rank orders names by how well they suit a reader, the best first. Each reader has an
// order of its own, so that readers which take the best spread evenly, and one name more or
// less moves only the readers concerned (rendezvous hashing).
func Rank(reader string, names []string) []string {
	type ranked struct {
		name   string
		weight uint64
	}
	list := make([]ranked, 0, len(names))
	for _, n := range names {
		list = append(list, ranked{n, rendezvous.Weight(reader, n)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	out := make([]string, 0, len(list))
	for _, r := range list {
		out = append(out, r.name)
	}
	return out
}

const (
	// failedMemory is how long a source that has failed comes after the others. One that has
	// been killed is back after a second or two.
	recentFailurePeriod = 2 * time.Second
	// moveMemory is how long a source must not have failed before a reader leaves another one
	// for it. One that stays away is no member any more by then.
	failureFreePeriod = 30 * time.Second
	// moveInterval is the mean pause before a reader leaves a source that works for one that
	// ranks higher. The new one sends all that is followed, so readers do not move together.
	switchInterval = 10 * time.Second
	// SourcesPerReader is the number of sources that a reader follows at a time, so that the
	// loss of one does not hold changes up.
	SourcesPerReader = 2
)

// SourceSelector decides which control instances a reader follows. Most readers know a few seeds
// when they start; without it they would stay there, and after the loss of an instance with
// the others.
type SourceSelector struct {
	reader string
	// failed is when each source failed last.
	lastFailure map[string]time.Time
	// nextMove is when the reader may next leave a source that works.
	nextSwitch time.Time
}

// NewSourceSelector returns the sources of a reader that starts now. Jitter is between 0 and 1.
func NewSourceSelector(reader string, now time.Time, jitter float64) *SourceSelector {
	return &SourceSelector{reader: reader, lastFailure: map[string]time.Time{}, nextSwitch: now.Add(switchDelay(jitter))}
}

func switchDelay(jitter float64) time.Duration {
	return switchInterval/2 + time.Duration(jitter*float64(switchInterval))
}

// Next returns the one of the free sources that ranks highest; those that have just failed
// come last, the one that failed first before the others. It is empty if none is free.
func (s *SourceSelector) Next(now time.Time, free []string) string {
	list := Rank(s.reader, free)
	slices.SortStableFunc(list, func(a, b string) int { return s.recentFailure(now, a).Compare(s.recentFailure(now, b)) })
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

// failure is when a source has failed, zero if it has not lately.
func (s *SourceSelector) recentFailure(now time.Time, name string) time.Time {
	if at := s.lastFailure[name]; now.Sub(at) < recentFailurePeriod {
		return at
	}
	return time.Time{}
}

// RecordFailure notes that a source is of no use now. Members are all that are left.
func (s *SourceSelector) RecordFailure(now time.Time, name string, members []string) {
	for other := range s.lastFailure {
		if !slices.Contains(members, other) {
			delete(s.lastFailure, other)
		}
	}
	s.lastFailure[name] = now
}

// ShouldSwitch tells whether the reader is to leave a source that works for one that ranks higher.
func (s *SourceSelector) ShouldSwitch(now time.Time, name string, members []string, jitter float64) bool {
	if now.Before(s.nextSwitch) {
		return false
	}
	reliable := slices.DeleteFunc(Rank(s.reader, members), func(n string) bool { return now.Sub(s.lastFailure[n]) < failureFreePeriod })
	if len(reliable) <= SourcesPerReader || slices.Contains(reliable[:SourcesPerReader], name) {
		return false
	}
	s.nextSwitch = now.Add(switchDelay(jitter))
	return true
}
