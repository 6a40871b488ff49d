package rollout

import (
	"math/rand/v2"
	"time"
)

// Gateway is what a gateway knows of the roll-outs: which versions may get requests, the permits that it
// holds, and what it has counted.
type Gateway struct {
	id  string
	run uint64
	rng *rand.Rand
	// view is the newest view that was received.
	view     View
	seq      uint64
	canaries map[string]*canary // by service, for the roll-outs that run
}

// canary is the state of a roll-out that runs.
type canary struct {
	id     uint64
	routes map[string]RouteCounts
	used   int64
	grant  Grant
	until  time.Time
	// openUntil is until when the target gets all new requests, in the phase Shifting. A gateway that has lost the
	// leader goes back to the old version, as the target may have been reverted.
	openUntil time.Time
}

// NewGateway returns the state of a gateway that has heard nothing.
func NewGateway(id string, rng *rand.Rand) *Gateway {
	return &Gateway{id: id, run: rng.Uint64(), rng: rng, canaries: map[string]*canary{}}
}

// Revision returns that of the view that the gateway follows, zero if there is none.
func (g *Gateway) Revision() uint64 { return g.view.Revision }

// Adopt takes in a view, unless a newer one is known. It returns the services whose roll-out has changed.
func (g *Gateway) Adopt(v View) (changed []Rollout) {
	if v.Revision <= g.view.Revision {
		return nil
	}
	for name, s := range v.Services {
		old := g.view.Services[name].Rollout
		if r := s.Rollout; r != nil && (old == nil || old.ID != r.ID || old.Phase != r.Phase) {
			changed = append(changed, *r)
		}
		r := s.Running()
		switch c := g.canaries[name]; {
		case r == nil:
			delete(g.canaries, name)
		case c == nil || c.id != r.ID:
			g.canaries[name] = &canary{id: r.ID, routes: map[string]RouteCounts{}}
		case r.Phase != Canary:
			c.grant = Grant{}
		}
	}
	g.view = v
	return changed
}

// Knows reports whether the versions of a service are known. If they are not, no version was trusted and none was ordered
// as far as this gateway has heard.
func (g *Gateway) Knows(service string) bool {
	s, ok := g.view.Services[service]
	return ok && (len(s.Trusted) > 0 || s.Rollout != nil)
}

// Purpose is what a request wants of a version.
type Purpose uint8

// Purposes.
const (
	// Begin is a request that any version may run.
	Begin Purpose = iota
	// BeginAnywhere is the same when no trusted upstream can take it: until old upstreams stop, they may.
	BeginAnywhere
	// GoOn is a request that is bound to the version, as it began there or was drawn for it.
	GoOn
)

// Admits reports whether a version of a service may get a request now.
func (g *Gateway) Admits(now time.Time, service, version string, p Purpose) bool {
	s := g.view.Services[service]
	r := s.Running()
	if r == nil {
		return s.trusts(version)
	}
	target := version == r.Target
	switch {
	case r.Phase == Canary && target:
		c := g.canaries[service]
		return p == GoOn && c.grant.Permits > 0 && now.Before(c.until)
	case r.Phase == Canary:
		return s.trusts(version)
	}
	open := now.Before(g.canaries[service].openUntil)
	if target {
		return open
	}
	return (!open || p != Begin) && s.trusts(version)
}

// Denies reports whether a version of a service gets no requests until it is ordered or trusted.
func (g *Gateway) Denies(service, version string) bool {
	s := g.view.Services[service]
	r := s.Running()
	return !s.trusts(version) && (r == nil || r.Target != version)
}

// Draw decides whether a request of a route is to be sent to the target of a roll-out, and returns the version.
func (g *Gateway) Draw(now time.Time, service, route string) (version string, drawn bool) {
	c, r := g.canaries[service], g.view.Services[service].Running()
	if c == nil || r.Phase != Canary || c.grant.Permits <= 0 || !now.Before(c.until) {
		return "", false
	}
	share, named := c.grant.Shares[route]
	if !named {
		share = c.grant.Shares[""]
	}
	return r.Target, g.rng.Float64() < share
}

// Sent records that a request is sent to an upstream of a version, and takes the permit for it. first is set for the first
// attempt of a caller's request.
func (g *Gateway) Sent(service, route, version string, first bool) {
	c := g.canaries[service]
	if c == nil {
		return
	}
	if first {
		c.update(route, func(t *RouteCounts) { t.Requests++ })
	}
	if r := g.view.Services[service].Running(); r.Phase == Canary && version == r.Target {
		c.grant.Permits--
		c.used++
	}
}

// Answered records an answer of an upstream. A time of zero says nothing about the speed of the version.
func (g *Gateway) Answered(service, route, version string, failed bool, took time.Duration) {
	c := g.canaries[service]
	if c == nil {
		return
	}
	target := g.view.Services[service].Running().Target
	c.update(route, func(t *RouteCounts) {
		if version == target {
			t.Target.add(failed, took)
		} else {
			t.Other.add(failed, took)
		}
	})
}

func (c *canary) update(route string, change func(*RouteCounts)) {
	if _, known := c.routes[route]; !known && len(c.routes) >= MaxRoutes {
		route = ""
	}
	t := c.routes[route]
	change(&t)
	c.routes[route] = t
}

// Report returns the next report, and gives all permits back. There is none while no roll-out runs.
// otherRunning returns the number of requests that run at other versions of a service than one.
func (g *Gateway) Report(now time.Time, otherRunning func(service, version string) int) (Report, bool) {
	if len(g.canaries) == 0 {
		return Report{}, false
	}
	g.seq++
	out := Report{Gateway: g.id, Run: g.run, Seq: g.seq, Revision: g.view.Revision}
	for service, c := range g.canaries {
		c.grant = Grant{}
		target := g.view.Services[service].Running().Target
		out.Rollouts = append(out.Rollouts, RolloutReport{Service: service, ID: c.id, Used: c.used,
			OtherRunning: otherRunning(service, target), Open: now.Before(c.openUntil), Routes: cloneRoutes(c.routes)})
	}
	return out, true
}

// cloneRoutes returns a copy that another goroutine may read.
func cloneRoutes(routes map[string]RouteCounts) map[string]RouteCounts {
	out := make(map[string]RouteCounts, len(routes))
	for route, t := range routes {
		t.Target, t.Other = t.Target.clone(), t.Other.clone()
		out[route] = t
	}
	return out
}

// Granted takes in the answer to the report that was sent at a time, unless a later one was sent meanwhile.
func (g *Gateway) Granted(askedAt time.Time, seq uint64, a Answer) {
	if seq != g.seq {
		return
	}
	for _, grant := range a.Grants {
		c := g.canaries[grant.Service]
		switch {
		case c == nil || c.id != grant.ID:
		case grant.Open:
			c.openUntil = askedAt.Add(Lease)
		default:
			c.grant, c.until = grant, askedAt.Add(Lease)
		}
	}
}
