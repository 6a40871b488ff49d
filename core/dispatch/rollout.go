package dispatch

import (
	"cmp"
	"time"

	"heatherway.dev/core/rollout"
)

// This file keeps requests within what roll-outs allow: versions that are not trusted get none, or a limited share.

// SetRollouts makes placements keep to the versions that roll-outs allow.
func (f *Fleet) SetRollouts(g *rollout.Gateway) {
	f.rollouts, f.commonVersions = g, map[string]string{}
}

// admits reports whether the version of an upstream may get a request.
func (f *Fleet) admits(now time.Time, u *upstream, req *Request) bool {
	if f.rollouts == nil {
		return true
	}
	if !f.rollouts.Knows(u.Service) {
		return u.Version == f.mostCommonVersion(u.Service)
	}
	purpose := rollout.Begin
	switch {
	case req.Version != "":
		purpose = rollout.GoOn
	case req.allowReplaced:
		purpose = rollout.BeginAnywhere
	}
	return f.rollouts.Admits(now, u.Service, u.Version, purpose)
}

// denies reports whether the version of an upstream gets no requests until an operator orders it.
func (f *Fleet) denies(u *upstream) bool {
	return f.rollouts != nil && f.rollouts.Knows(u.Service) && f.rollouts.Denies(u.Service, u.Version)
}

// mostCommonVersion returns the version that most upstreams of a service state. It stands for the trusted one
// while nothing has been heard of the service's versions.
func (f *Fleet) mostCommonVersion(service string) (version string) {
	if f.statedVersions[service] == 0 {
		return ""
	}
	if known, ok := f.commonVersions[service]; ok {
		return known
	}
	counts := map[string]int{}
	for _, u := range f.byService[service] {
		counts[u.Version]++
	}
	best := 0
	for v, n := range counts {
		if cmp.Or(cmp.Compare(n, best), cmp.Compare(version, v)) > 0 {
			version, best = v, n
		}
	}
	f.commonVersions[service] = version
	return version
}

// DrawVersion returns the version under trial that a request is drawn for, if any.
func (f *Fleet) DrawVersion(now time.Time, req *Request) (version string, ok bool) {
	if f.rollouts == nil || req.Version != "" || len(req.Tried) > 0 || req.Continues {
		return "", false
	}
	return f.rollouts.Draw(now, req.Service, req.Route)
}

// drawn returns the upstream of a version under trial for a request that is drawn for one, if any.
func (f *Fleet) drawn(now time.Time, req *Request, list []*upstream) (*upstream, Explanation) {
	version, ok := f.DrawVersion(now, req)
	if !ok {
		return nil, Explanation{}
	}
	bound := *req
	bound.Version = version
	return f.best(now, &bound, list, nil, true)
}

// bestReplaced returns the best upstream if those of the versions that a roll-out replaces are admitted too.
func (f *Fleet) bestReplaced(now time.Time, req *Request, list []*upstream) (*upstream, Explanation) {
	if f.rollouts == nil {
		return nil, Explanation{}
	}
	relaxed := *req
	relaxed.allowReplaced = true
	return f.best(now, &relaxed, list, nil, true)
}

// countSent counts a request that is sent, and takes the permit for it if it needs one.
func (f *Fleet) countSent(req *Request, u *upstream) {
	if f.rollouts != nil {
		f.rollouts.Sent(u.Service, req.Route, u.Version, len(req.Tried) == 0 && req.Preferred == "")
	}
}

// countAnswer counts the answer of an upstream. An upstream that warms up says nothing about the speed
// of its version.
func (f *Fleet) countAnswer(now time.Time, p *placement, failed bool) {
	if f.rollouts == nil {
		return
	}
	took := now.Sub(p.sentAt)
	if p.warmingUp {
		took = 0
	}
	f.rollouts.Answered(p.upstream.Service, p.route, p.upstream.Version, failed, took)
}

// RecordFailedResponse records that an upstream answered a stream with the status of a failure.
func (f *Fleet) RecordFailedResponse(now time.Time, ticket uint64) {
	if p := f.tickets[ticket]; p != nil && !p.prefilled {
		f.countAnswer(now, p, true)
	}
}

// RunningAtOthers returns the number of requests that run at other versions of a service than one.
func (f *Fleet) RunningAtOthers(service, version string) (n int) {
	for _, p := range f.tickets {
		if p.upstream.Service == service && p.upstream.Version != version {
			n++
		}
	}
	return n
}
