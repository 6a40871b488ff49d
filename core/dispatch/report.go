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
	u.others.prefillTokens = int(u.otherPrefillTokens(now)) // the answer does not tell it
	u.reportedAt = now
}

// unread is the part of the prompts of other gateways that is still to be read, in
// tokens.
func (u *upstream) otherPrefillTokens(now time.Time) float64 {
	if u.reportedAt.IsZero() {
		return 0
	}
	return max(float64(u.others.prefillTokens)-u.estimate.prefillTokens(now.Sub(u.reportedAt)), 0)
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
	others := otherLoad{kvTokens: r.UsedTokens}
	prefilled := r.UsedTokens - r.BackupTokens // what prompts that are being read have taken so far
	for _, d := range r.Decoding {
		prefilled -= d.Tokens
		if own[d.ID] != nil {
			others.kvTokens -= d.Tokens
			delete(own, d.ID)
			continue
		}
		others.requests++
	}
	unlisted := r.Queued + max(r.Running-len(r.Decoding), 0)
	otherUnlisted := max(unlisted-len(own), 0)
	if unlisted > 0 {
		otherPrefilled := max(prefilled, 0) * otherUnlisted / unlisted
		others.prefillTokens = max(otherUnlisted*int(u.estimate.meanPrompt)-otherPrefilled, 0)
		others.kvTokens += others.prefillTokens - max(prefilled, 0) + otherPrefilled
	}
	others.requests += otherUnlisted
	others.kvTokens = max(others.kvTokens-u.backupTokens, 0)
	u.others, u.reportedAt, u.fullReportAt = others, now, now
}

// trust is the weight of the last report.
func (u *upstream) reportWeight(now time.Time) float64 {
	if u.reportedAt.IsZero() {
		return 0
	}
	return max(1-float64(now.Sub(u.reportedAt))/float64(maxReportAge), 0)
}

const (
	// MaxReportRounds bounds how often upstreams are asked before one request is placed:
	// the homes of its prompt, then the next best when these turn out to be loaded.
	MaxReportRounds = 3
	// freshReport is the age up to which a report is not asked for again; the state
	// it tells is older by the upstream's own lag of a few hundred milliseconds.
	freshReportAge = 50 * time.Millisecond
)

// ReportCandidates returns the upstreams that are to be asked for a report before a request
// is placed, most at most, best first. There are none when the best upstream has
// just reported, or there is no choice.
func (f *Fleet) ReportCandidates(now time.Time, req *Request, limit int) []registration.Upstream {
	var out []registration.Upstream
	tried := *req
	tried.Tried = slices.Clone(req.Tried)
	affinity := f.affinityTargets(now, req)
	list := f.sample(req, f.service[req.Service], affinity)
	for range limit {
		u, explanation := f.best(now, &tried, list, affinity, true)
		if u == nil || len(out) == 0 && (explanation.Eligible < 2 || now.Sub(u.fullReportAt) < freshReportAge) {
			break
		}
		if now.Sub(u.fullReportAt) >= freshReportAge {
			out = append(out, u.Upstream)
		}
		tried.Tried = append(tried.Tried, u.ID)
	}
	return out
}
