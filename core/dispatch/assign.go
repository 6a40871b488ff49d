package dispatch

import (
	"time"

	"heatherway.dev/core/registration"
	"heatherway.dev/core/throttle"
)

// This file carries out placements that the owner of a queue across gateways has decided. The
// owner knows the load of all gateways; what only this gateway knows is checked here: breakers,
// backoffs, limits and departures that the directory does not have yet.

// Assign places a request at the given upstream, with its backup at the given holder if any. It
// returns a refusal if this gateway cannot use the upstream; a holder that it cannot use is left out.
func (f *Fleet) Assign(now time.Time, req *Request, upstreamID, holderID string) (Choice, *Refusal) {
	u := f.byID[upstreamID]
	refusal := &Refusal{Known: len(f.byService[req.Service]), RetryAfter: minRetryAfter, Reason: "unknown"}
	if u == nil || u.Service != req.Service {
		return Choice{}, refusal
	}
	if refusal.Reason = f.obstacle(now, req, u); refusal.Reason != "" {
		return Choice{}, refusal
	}
	if !u.limit.Available(now, f.contact) {
		refusal.Reason, refusal.Ask = "limit not granted", []throttle.Want{u.limit.Want(now, u.key())}
		return Choice{}, refusal
	}
	c, ok := f.take(now, req, u, Explanation{Eligible: 1})
	if !ok {
		refusal.Reason = "circuit breaker open"
		return Choice{}, refusal
	}
	if holder := f.holder(now, req, u, holderID); holder != nil {
		f.reserveBackup(&c, holder)
	}
	return c, nil
}

// obstacle says why this gateway cannot send a request to an upstream now, whatever its load. It is
// empty if it can.
func (f *Fleet) obstacle(now time.Time, req *Request, u *upstream) string {
	switch {
	case u.State != registration.Ready && u.State != registration.Lost:
		return u.State.String()
	case !f.hasVersion(u, req.Version):
		return "other software version"
	case !f.admits(now, u, req):
		return "version not admitted by a roll-out"
	case u.Leaving:
		return "leaving"
	case !u.acceptsWork(now):
		return "backoff"
	case !u.breaker.Ready(now):
		return "circuit breaker open"
	case !f.withinLimit(now, u, req):
		return "limit"
	}
	return ""
}

func (f *Fleet) reachable(now time.Time, req *Request, u *upstream) bool {
	return f.obstacle(now, req, u) == ""
}

// holder returns the upstream that is to hold a copy for a request at another one, or nil if this
// gateway cannot use it.
func (f *Fleet) holder(now time.Time, req *Request, primary *upstream, id string) *upstream {
	h := f.byID[id]
	if h == nil || h == primary || h.Service != primary.Service || !f.hasVersion(h, f.version(primary)) || !f.reachable(now, req, h) {
		return nil
	}
	return h
}

// AssignBackup reserves the KV cache for the backup of a placed request at the given holder, in
// place of an earlier one. It returns false if this gateway cannot use the holder.
func (f *Fleet) AssignBackup(now time.Time, ticket uint64, req *Request, holderID string) (registration.Upstream, bool) {
	p := f.tickets[ticket]
	if p == nil {
		return registration.Upstream{}, false
	}
	holder := f.holder(now, req, p.upstream, holderID)
	if holder == nil {
		return registration.Upstream{}, false
	}
	f.ReleaseBackup(ticket)
	p.backup = holder
	holder.backupTokens += p.tokens
	return holder.Upstream, true
}

// Unusable returns the IDs of the upstreams of a service that are up but that this gateway cannot
// send the request to now, and the number of those that it can.
func (f *Fleet) Unusable(now time.Time, req *Request) (ids []string, usable int) {
	for _, u := range f.byService[req.Service] {
		switch {
		case f.reachable(now, req, u):
			usable++
		case u.State == registration.Ready || u.State == registration.Lost:
			ids = append(ids, u.ID)
		}
	}
	return ids, usable
}

// AffinityIDs returns the IDs of the upstreams where gateways look for the prompt of a request when
// its caller comes back.
func (f *Fleet) AffinityIDs(now time.Time, req *Request) (ids []string) {
	for _, u := range f.affinityTargetsOutside(now, req, "") {
		ids = append(ids, u.ID)
	}
	return ids
}
