package dispatch

import (
	"slices"
	"time"
)

// This file decides when plain calls leave their availability zone. The cost of a call at an
// upstream counts each call there, which spreads calls over the upstreams of a zone. Between
// zones it would send calls away as soon as one runs at home, although it delays no other while
// the upstream has free slots.

// homeRoomShare is the share of an upstream's slots up to which calls there stay without effect
// between zones. From there on they count more and more, in full when all slots are taken:
// gateways learn of each other's calls from the next answer, so they must not wait for the last
// slot.
const homeRoomShare = 0.5

// overdueFactor is the time, as a multiple of that of a usual call, after which an unanswered
// call shows that its upstream may be down. Calls then leave the zone as soon as one runs there,
// so that few are lost with it.
const overdueFactor = 4

// calls returns the number of calls at the upstream, as far as known.
func (u *upstream) calls(now time.Time) float64 {
	return float64(len(u.inFlight)) + float64(u.others.requests)*u.reportWeight(now)
}

// homeRoomMS returns the part of the cost of the least loaded upstream of the gateway's own zone
// that stands for no wait, because slots are free. It is zero without an upstream there that can
// take the call, and for upstreams that state no slots.
func (f *Fleet) homeRoomMS(now time.Time, req *Request, list []*upstream, untriedOnly bool) float64 {
	if f.equal {
		return 0
	}
	var home *upstream
	for _, u := range list {
		if u.Zone == f.zone && f.eligible(now, req, u) && !(untriedOnly && slices.Contains(req.Tried, u.ID)) && (home == nil || u.calls(now) < home.calls(now)) {
			home = u
		}
	}
	if home == nil || home.Slots <= 0 || home.overdue(now) {
		return 0
	}
	calls := home.calls(now)
	free := (1 - calls/float64(home.Slots)) / (1 - homeRoomShare)
	return home.callMS(now) * calls * min(max(free, 0), 1)
}

// overdue reports whether a call that this gateway has sent to the upstream is unanswered for
// much longer than usual.
func (u *upstream) overdue(now time.Time) bool {
	limit := overdueFactor * u.callMS(now)
	for _, p := range u.inFlight {
		if !p.stream && milliseconds(now.Sub(p.sentAt)) > limit {
			return true
		}
	}
	return false
}
