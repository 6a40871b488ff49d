package registration

import (
	"cmp"
	"slices"
	"time"

	"heatherway.dev/core/internal/rendezvous"
)

// Rank sorts names by their rendezvous hash for a reader, highest first. Every reader has
// its own order, so readers that take the first names are spread evenly over them, and
// adding or removing a name affects only the readers that take it.
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
	// recentFailurePeriod is how long a source ranks after the others once it has failed. A
	// source that was killed is usually back after a second or two.
	recentFailurePeriod = 2 * time.Second
	// failureFreePeriod is how long a source must not have failed before a reader switches to
	// it from a working one. A source that stays down is removed from the members sooner.
	failureFreePeriod = 30 * time.Second
	// switchInterval is the mean delay before a reader switches from a working source to one
	// that ranks higher. It is jittered so that readers don't switch at the same time, because
	// the new source must send the complete state to each of them.
	switchInterval = 10 * time.Second
	// SourcesPerReader is the number of sources that a reader follows at the same time, so
	// that the loss of one doesn't delay updates.
	SourcesPerReader = 2
)

// SourceSelector selects the sources, that is the control instances, that a reader follows.
// Readers start with only a few seed addresses. Without the selector most of them would
// keep following the seeds, and after the loss of one they would all stay on the rest.
type SourceSelector struct {
	reader string
	// lastFailure holds the time of the last failure of each source.
	lastFailure map[string]time.Time
	// nextSwitch is the earliest time of the next switch away from a working source.
	nextSwitch time.Time
}

// NewSourceSelector returns a selector for a reader that starts now. Jitter is a random
// number between 0 and 1.
func NewSourceSelector(reader string, now time.Time, jitter float64) *SourceSelector {
	return &SourceSelector{reader: reader, lastFailure: map[string]time.Time{}, nextSwitch: now.Add(switchDelay(jitter))}
}

func switchDelay(jitter float64) time.Duration {
	return switchInterval/2 + time.Duration(jitter*float64(switchInterval))
}

// Next returns the highest-ranked of the free sources. Sources that failed recently come
// last, in order of their failures. It returns an empty string if no source is free.
func (s *SourceSelector) Next(now time.Time, free []string) string {
	list := Rank(s.reader, free)
	slices.SortStableFunc(list, func(a, b string) int { return s.recentFailure(now, a).Compare(s.recentFailure(now, b)) })
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

// recentFailure returns the time of a source's last failure, or zero if it hasn't failed
// recently.
func (s *SourceSelector) recentFailure(now time.Time, source string) time.Time {
	if at := s.lastFailure[source]; now.Sub(at) < recentFailurePeriod {
		return at
	}
	return time.Time{}
}

// RecordFailure records that a source failed. It also discards earlier failures of sources
// that are not in members, the names of the current control instances.
func (s *SourceSelector) RecordFailure(now time.Time, source string, members []string) {
	for other := range s.lastFailure {
		if !slices.Contains(members, other) {
			delete(s.lastFailure, other)
		}
	}
	s.lastFailure[source] = now
}

// ShouldSwitch reports whether the reader should leave a working source for one of the
// members that ranks higher, and if so sets the earliest time of the next switch. Members
// are the names of the current control instances; jitter is a random number between 0 and 1.
func (s *SourceSelector) ShouldSwitch(now time.Time, source string, members []string, jitter float64) bool {
	if now.Before(s.nextSwitch) {
		return false
	}
	reliable := slices.DeleteFunc(Rank(s.reader, members), func(n string) bool { return now.Sub(s.lastFailure[n]) < failureFreePeriod })
	if len(reliable) <= SourcesPerReader || slices.Contains(reliable[:SourcesPerReader], source) {
		return false
	}
	s.nextSwitch = now.Add(switchDelay(jitter))
	return true
}
