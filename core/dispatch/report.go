package dispatch

import (
	"slices"
	"time"

	"heatherway.dev/core/registration"
)

// Report takes the load that an upstream names in an answer.
func (f *Fleet) Report(now time.Time, ticket uint64, running, waiting int) {
	p := f.tickets[ticket]
	if p == nil {
		return
	}
	u := p.upstream
	u.others = foreign{requests: max(running+waiting-len(u.work), 0), prompt: u.others.prompt, memory: u.others.memory}
	u.reported = now
}

// Run is a request in a report.
type Run struct {
	ID string
	// Tokens is its part of the KV cache, Started tells whether it has sent an
	// event.
	Tokens  int
	Started bool
}

// Observe takes a report of an upstream, which is a few hundred milliseconds
// old. What this gateway has sent there is known better and is left out.
func (f *Fleet) Observe(now time.Time, id string, queued, used int, runs []Run) {
	u := f.byID[id]
	if u == nil {
		return
	}
	own := make(map[string]*placement, len(u.work))
	for _, p := range u.work {
		own[p.id] = p
	}
	others := foreign{memory: used}
	for _, r := range runs {
		if p := own[r.ID]; p != nil {
			others.memory -= r.Tokens
			delete(own, r.ID)
			continue
		}
		others.requests++
		if !r.Started {
			left := max(unknownTokens-r.Tokens, 0)
			others.prompt += left
			others.memory += left
		}
	}
	waiting := 0
	for _, p := range own {
		if !p.started {
			waiting++
		}
	}
	queued = max(queued-waiting, 0)
	others.requests += queued
	others.prompt += queued * unknownTokens
	others.memory = max(others.memory+queued*unknownTokens-u.copies, 0)
	u.others, u.reported = others, now
}

// trust is the weight of the last report.
func (u *upstream) trust(now time.Time) float64 {
	if u.reported.IsZero() {
		return 0
	}
	return max(1-float64(now.Sub(u.reported))/float64(loadTrust), 0)
}

// Candidates returns the upstreams among which Place would choose, best first,
// so that the caller can ask them for reports.
func (f *Fleet) Candidates(now time.Time, w *Work, most int) []registration.Upstream {
	var out []registration.Upstream
	tried := *w
	tried.Tried = slices.Clone(w.Tried)
	homes := f.homes(now, w)
	list := f.sample(w, f.service[w.Service], homes)
	for len(out) < most {
		u, _ := f.best(now, &tried, list, homes, true)
		if u == nil {
			break
		}
		out = append(out, u.Upstream)
		tried.Tried = append(tried.Tried, u.ID)
	}
	return out
}
