package dispatch

import (
	"slices"
	"time"

	"heatherway.dev/core/registration"
)

// RecordLoad records the load that an upstream reported with an answer.
func (f *Fleet) RecordLoad(now time.Time, ticket uint64, running, waiting int) {
	p := f.tickets[ticket]
	if p == nil {
		return
	}
	u := p.upstream
	u.others.requests = max(running+waiting-len(u.inFlight), 0)
	u.others.prefillTokens = int(u.otherPrefillTokens(now)) // answers do not report it
	u.reportedAt = now
}

// otherPrefillTokens returns the tokens of other gateways' prompts that are not prefilled
// yet.
func (u *upstream) otherPrefillTokens(now time.Time) float64 {
	if u.reportedAt.IsZero() {
		return 0
	}
	return max(float64(u.others.prefillTokens)-u.prefillTokens(now, now.Sub(u.reportedAt)), 0)
}

// DecodingRequest is a running request that has produced its first event.
type DecodingRequest struct {
	ID string
	// Tokens is the KV cache that it takes.
	Tokens int
}

// LoadReport is the load of an upstream a few hundred milliseconds ago.
type LoadReport struct {
	// Queued is the number of waiting requests, Running that of all others.
	Queued, Running int
	// UsedTokens is the occupied part of the KV cache, and BackupTokens the part of it
	// that holds backups, in tokens.
	UsedTokens, BackupTokens int
	// Decoding lists the running requests whose prompts are prefilled.
	Decoding []DecodingRequest
}

// RecordReport records a load report of an upstream. Requests of this gateway are left
// out, since their state is known more exactly here.
func (f *Fleet) RecordReport(now time.Time, id string, r LoadReport) {
	u := f.byID[id]
	if u == nil {
		return
	}
	// own holds this gateway's requests; those that are decoding are removed below.
	own := make(map[string]*placement, len(u.inFlight))
	for _, p := range u.inFlight {
		own[p.id] = p
	}
	others := otherLoad{kvTokens: r.UsedTokens}
	prefilled := r.UsedTokens - r.BackupTokens // without the decoding requests: the KV cache of partly prefilled prompts
	for _, d := range r.Decoding {
		prefilled -= d.Tokens
		if own[d.ID] != nil {
			others.kvTokens -= d.Tokens
			delete(own, d.ID)
			continue
		}
		others.requests++
	}
	// Requests that wait or are being prefilled are not listed by id.
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

// reportWeight returns the weight of the last report, which falls with its age.
func (u *upstream) reportWeight(now time.Time) float64 {
	if u.reportedAt.IsZero() {
		return 0
	}
	return max(1-float64(now.Sub(u.reportedAt))/float64(maxReportAge), 0)
}

const (
	// MaxReportRounds bounds the rounds of queries for load reports before one request is
	// placed: first the affinity upstreams of its prompt, then the next best ones if these
	// turn out to be loaded.
	MaxReportRounds = 3
	// freshReportAge is the age up to which a report is not requested again. The state in
	// it is older by the upstream's own delay of a few hundred milliseconds.
	freshReportAge = 50 * time.Millisecond
)

// ReportCandidates returns the upstreams to query for a load report before a request is
// placed, best first and at most limit. It excludes those already listed the way requests
// exclude the upstreams that they have tried. It returns none when the best upstream has just
// reported or only one upstream is eligible.
func (f *Fleet) ReportCandidates(now time.Time, req *Request, limit int) []registration.Upstream {
	var out []registration.Upstream
	excluding := *req
	excluding.Tried = slices.Clone(req.Tried)
	affinity := f.affinityTargets(now, req)
	list := f.sample(req, f.byService[req.Service], affinity)
	for range limit {
		u, explanation := f.best(now, &excluding, list, affinity, true)
		if u == nil || len(out) == 0 && (explanation.Eligible < 2 || now.Sub(u.fullReportAt) < freshReportAge) {
			break
		}
		if now.Sub(u.fullReportAt) >= freshReportAge && !u.limit.Limited(now) { // a query would use up a request
			out = append(out, u.Upstream)
		}
		excluding.Tried = append(excluding.Tried, u.ID)
	}
	return out
}
