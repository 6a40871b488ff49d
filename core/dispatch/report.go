package dispatch

import (
	"slices"
	"time"

	"heatherway.dev/core/registration"
)

// RecordLoad takes the load that an upstream names in an answer.
func (f *Fleet) RecordLoad(now time.Time, ticket uint64, running, waiting int) {
	p := f.tickets[ticket]
	if p == nil {
		return
	}
	u := p.upstream
	u.others.requests = max(running+waiting-len(u.work), 0)
	u.others.prompt = int(u.unread(now)) // the answer does not tell it
	u.reported = now
}

// unread is the part of the prompts of other gateways that is still to be read, in
// tokens.
func (u *upstream) unread(now time.Time) float64 {
	if u.reported.IsZero() {
		return 0
	}
	return max(float64(u.others.prompt)-u.learned.read(now.Sub(u.reported)), 0)
}

// DecodingRequest is a request in a report that has made an event.
type DecodingRequest struct {
	ID string
	// Tokens is its part of the KV cache.
	Tokens int
}

// LoadReport is the state of an upstream as of a few hundred milliseconds ago.
type LoadReport struct {
	// Queued is the number of requests that wait, Running that of the others.
	Queued, Running int
	// UsedTokens is the part of the KV cache that is taken, BackupTokens the part of it that holds
	// copies, in tokens.
	UsedTokens, BackupTokens int
	// Decoding are the running requests whose prompts have been read.
	Decoding []DecodingRequest
}

// RecordReport takes a report of an upstream. What this gateway has sent there is known
// better and is left out.
func (f *Fleet) RecordReport(now time.Time, id string, r LoadReport) {
	u := f.byID[id]
	if u == nil {
		return
	}
	own := make(map[string]*placement, len(u.work))
	for _, p := range u.work {
		own[p.id] = p
	}
	others := foreign{memory: r.UsedTokens}
	reading := r.UsedTokens - r.BackupTokens // what prompts that are being read have taken so far
	for _, run := range r.Decoding {
		reading -= run.Tokens
		if own[run.ID] != nil {
			others.memory -= run.Tokens
			delete(own, run.ID)
			continue
		}
		others.requests++
	}
	unlisted := r.Queued + max(r.Running-len(r.Decoding), 0)
	foreignUnlisted := max(unlisted-len(own), 0)
	if unlisted > 0 {
		foreignReading := max(reading, 0) * foreignUnlisted / unlisted
		others.prompt = max(foreignUnlisted*int(u.learned.prompt)-foreignReading, 0)
		others.memory += others.prompt - max(reading, 0) + foreignReading
	}
	others.requests += foreignUnlisted
	others.memory = max(others.memory-u.copies, 0)
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
	// MaxReportRounds bounds how often upstreams are asked before one request is placed:
	// the homes of its prompt, then the next best when these turn out to be loaded.
	MaxReportRounds = 3
	// freshReport is the age up to which a report is not asked for again; the state
	// it tells is older by the upstream's own lag of a few hundred milliseconds.
	freshReport = 50 * time.Millisecond
)

// ReportCandidates returns the upstreams that are to be asked for a report before a request
// is placed, most at most, best first. There are none when the best upstream has
// just reported, or there is no choice.
func (f *Fleet) ReportCandidates(now time.Time, w *Request, most int) []registration.Upstream {
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
