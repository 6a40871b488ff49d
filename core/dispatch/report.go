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
	u.others.requests = max(running+waiting-len(u.work), 0)
	u.others.prompt = u.unread(now) // the answer does not tell it
	u.reported = now
}

// unread is the part of the prompts of other gateways that is still to be read, in
// tokens.
func (u *upstream) unread(now time.Time) int {
	if u.reported.IsZero() {
		return 0
	}
	return max(u.others.prompt-int(now.Sub(u.reported).Milliseconds())*prefillTokensPerMS, 0)
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
	u.others, u.reported, u.observed = others, now, now
}

// trust is the weight of the last report.
func (u *upstream) trust(now time.Time) float64 {
	if u.reported.IsZero() {
		return 0
	}
	return max(1-float64(now.Sub(u.reported))/float64(loadTrust), 0)
}

const (
	// AskRounds bounds how often upstreams are asked before one request is placed:
	// the homes of its prompt, then the next best when these turn out to be loaded.
	AskRounds = 3
	// freshReport is the age up to which a report is not asked for again; the state
	// it tells is older by the upstream's own lag of a few hundred milliseconds.
	freshReport = 50 * time.Millisecond
)

// Unasked returns the upstreams that are to be asked for a report before a request
// is placed, most at most, best first. There are none when the best upstream has
// just reported, or there is no choice.
func (f *Fleet) Unasked(now time.Time, w *Work, most int) []registration.Upstream {
	var out []registration.Upstream
	tried := *w
	tried.Tried = slices.Clone(w.Tried)
	homes := f.homes(now, w)
	list := f.sample(w, f.service[w.Service], homes)
	for range most {
		u, why := f.best(now, &tried, list, homes, true)
		if u == nil || len(out) == 0 && (why.Eligible < 2 || now.Sub(u.observed) < freshReport) {
			break
		}
		if now.Sub(u.observed) >= freshReport {
			out = append(out, u.Upstream)
		}
		tried.Tried = append(tried.Tried, u.ID)
	}
	return out
}
