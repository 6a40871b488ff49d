package dispatch

import (
	"cmp"
	"slices"
	"time"

	"heatherway.dev/core/throttle"
)

// This file keeps requests within the limits that upstreams name for all gateways together.
// A request is placed at a limited upstream only with a grant of the owner of the limits, for
// which the gateway asks when that upstream is the best choice. While other upstreams have
// room, what exceeds the limit goes there; otherwise it is refused at once.

// maxWants is the number of upstreams for which a request asks at once if there is no other.
// A refused question costs a round trip, so several are asked for together.
const maxWants = 4

// withinLimit reports whether the limit of an upstream lets a request through, or may do so
// once the owner has been asked.
func (f *Fleet) withinLimit(now time.Time, u *upstream, req *Request) bool {
	if u.limit.Available(now, f.contact) {
		return true
	}
	return !req.WithoutAsking && !now.Before(u.limit.AskAt(now, f.contact, req.Class()))
}

// wants returns what to ask the owner for: the best upstream and, if all that could take the
// request need a grant, the next best ones.
func (f *Fleet) wants(now time.Time, req *Request, best *upstream, list []*upstream) []throttle.Want {
	type candidate struct {
		*upstream
		cost float64
	}
	var others []candidate
	for _, u := range f.sample(req, list, nil) {
		if u == best || !f.eligible(now, req, u) || req.Stream && slices.Contains(req.Tried, u.ID) {
			continue
		}
		if u.limit.Available(now, f.contact) {
			others = nil
			break
		}
		others = append(others, candidate{u, f.cost(now, req, u, baseline{})})
	}
	slices.SortFunc(others, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	out := []throttle.Want{best.limit.Want(now, best.key())}
	for _, c := range others[:min(len(others), maxWants-1)] {
		out = append(out, c.limit.Want(now, c.key()))
	}
	return out
}

func (u *upstream) key() throttle.Key { return throttle.Key{ID: u.ID, StartedMS: u.StartedMS} }

// LimitChange is a changed limit of an upstream, for the log.
type LimitChange struct {
	ID, Service, Addr string
	// Rate is the limit in requests per second; it is the last one if Ended is set.
	Rate  float64
	Ended bool
	// Told is set if the owner of the limits knew of the change before this gateway.
	Told bool
}

// ObserveLimit records what the answer to a request that was sent at a time says about the
// limit of an incarnation, nil if it names none.
func (f *Fleet) ObserveLimit(sentAt, now time.Time, id string, startedMS int64, limit *float64) (LimitChange, bool) {
	u := f.incarnation(id, startedMS)
	if u == nil || !u.limit.Observe(sentAt, now, limit) {
		return LimitChange{}, false
	}
	return u.limitChange(false), true
}

func (u *upstream) limitChange(told bool) LimitChange {
	s := u.limit.Statement()
	if s == nil {
		return LimitChange{ID: u.ID, Service: u.Service, Addr: u.Addr, Ended: true, Told: told}
	}
	return LimitChange{u.ID, u.Service, u.Addr, s.Rate, s.Ended, told}
}

// Limited reports whether requests to an incarnation need a grant.
func (f *Fleet) Limited(now time.Time, id string, startedMS int64) bool {
	u := f.incarnation(id, startedMS)
	return u != nil && u.limit.Limited(now)
}

// ApplyGrant applies the answer of the owner of the limits to a question that was sent at a
// time, and returns the limits that have changed.
func (f *Fleet) ApplyGrant(askedAt, now time.Time, req *Request, g throttle.Grant) (changes []LimitChange) {
	f.contact.Reached(now, g.Gateways)
	for _, a := range g.Answers {
		u := f.incarnation(a.Key.ID, a.Key.StartedMS)
		if u != nil && u.limit.Apply(askedAt, now, req.Class(), a) {
			changes = append(changes, u.limitChange(true))
		}
	}
	return changes
}

// OwnerFailed records that the owner of the limits has not answered. Until it is asked again,
// this gateway keeps to a small share of each limit.
func (f *Fleet) OwnerFailed(now time.Time) { f.contact.Failed(now) }
