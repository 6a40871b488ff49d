package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// reserve is kept before the deadline for elections of leaders, which take about a second each, and for a slow disk. It is at
	// most reserveShare of the duration.
	reserve      = 3 * time.Second
	reserveShare = 0.125
	// shiftShare is the part of the duration in which the target gets all new requests before old upstreams may
	// stop, between minShift and maxShift: streams under way end in it, and gateways hear of it. A version that
	// turns bad in it reaches more callers, so it is short.
	shiftShare         = 0.125
	minShift, maxShift = 500 * time.Millisecond, 10 * time.Second
	// quietTime is how long the target must have had all new requests before the roll-out completes early.
	quietTime = 500 * time.Millisecond
)

func (o Order) reserve() time.Duration {
	return min(reserve, time.Duration(reserveShare*float64(o.Duration)))
}

// decisionDue returns the time since the order at which the canary phase ends.
func (o Order) decisionDue() time.Duration {
	shift := min(max(time.Duration(shiftShare*float64(o.Duration)), minShift), maxShift)
	return max(o.Duration-o.reserve()-shift, o.Duration/4)
}

// Decide returns the changes of phases that are due. ready returns the number of upstreams of a version that take
// requests.
func (o *Owner) Decide(elapsed func(*Rollout) time.Duration, ready func(service, version string) int) (out []Command) {
	for _, id := range slices.Sorted(maps.Keys(o.rollouts)) {
		s := o.rollouts[id]
		if to, reason := s.next(elapsed(s.Rollout), ready(s.Service, s.Target)); to != s.Phase {
			out = append(out, Command{Move: &Move{Service: s.Service, ID: s.ID, From: s.Phase, To: to, Reason: reason}})
		}
	}
	return out
}

// next returns the phase that the roll-out should have, and why.
func (s *owned) next(at time.Duration, ready int) (Phase, string) {
	if f := s.judge.Now(); f.Bad {
		return Reverted, f.String()
	}
	due := at >= s.decisionDue()
	// A leader that has just been elected has heard no gateway yet.
	mayHear := s.judge.answers == 0 && at < s.Duration-s.reserve()/2
	switch {
	case s.Phase == Canary && due && ready == 0:
		return Reverted, "no upstream of the target version takes requests"
	case s.Phase == Canary && due && !mayHear:
		f := s.judge.Due()
		if f.Bad {
			return Reverted, f.String()
		}
		return Shifting, f.String()
	case s.Phase == Shifting && at >= s.Duration-s.reserve():
		return Complete, s.judge.Now().String()
	case s.Phase == Shifting && at >= s.decisionDue()+quietTime && s.isShifted(at):
		return Complete, s.judge.Now().String()
	}
	return s.Phase, ""
}

// isShifted reports whether no gateway that has been heard from has a request at another version
// than the target, or may begin one.
func (s *owned) isShifted(at time.Duration) bool {
	heard := false
	for _, g := range s.runs {
		if at-g.heardAt > heardFor {
			continue
		}
		if heard = true; g.revision < s.PhaseAt || !g.open || g.otherRunning > 0 {
			return false
		}
	}
	return heard
}

// Status describes a roll-out for operators.
func (o *Owner) Status(id uint64) string {
	s := o.rollouts[id]
	if s == nil {
		return ""
	}
	return fmt.Sprintf("%d of %d permits used or held; %v", s.charged(), s.budget(o.settings), s.judge.Now())
}

// Clock keeps how long ago orders were accepted by the monotonic clock of this instance, so that a step of its wall clock
// changes no decision. Only an order that is replayed after a restart is dated by the wall clock.
type Clock struct{ since map[uint64]time.Time }

// NewClock returns a clock that knows of no order.
func NewClock() *Clock { return &Clock{map[uint64]time.Time{}} }

// replayed is the age beyond which an entry was not applied when it was written. Below it, the age is the
// difference of two instances' clocks.
const replayed = 2 * time.Second

// Update takes in the state of the log.
func (c *Clock) Update(now time.Time, v View) {
	known := map[uint64]bool{}
	for _, s := range v.Services {
		r := s.Running()
		if r == nil {
			continue
		}
		known[r.ID] = true
		if _, ok := c.since[r.ID]; ok {
			continue
		}
		age := time.Duration(now.UnixMilli()-r.AcceptedMS) * time.Millisecond
		if age < replayed {
			age = 0
		}
		c.since[r.ID] = now.Add(-min(age, r.Duration))
	}
	maps.DeleteFunc(c.since, func(id uint64, _ time.Time) bool { return !known[id] })
}

// Elapsed returns the time since a roll-out was accepted.
func (c *Clock) Elapsed(now time.Time, r *Rollout) time.Duration {
	if since, ok := c.since[r.ID]; ok {
		return max(now.Sub(since), 0)
	}
	return 0
}
