// Package pick selects, in an entry, an upstream for a request. Filters exclude upstreams
// that cannot serve it, scorers estimate in milliseconds what each remaining
// one would cost it, and a picker selects one of those. All three are plug-ins
// that are registered by name and listed in a Policy. The package reads no
// clock and takes no lock; a Table must be used by one goroutine only.
package pick

import (
	"fmt"
	"math/rand"
	"strings"
	"time"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// Request holds the properties of a request that selection depends on.
type Request struct {
	// Model and Adapter, or Service, name what the upstream must serve; an
	// empty field imposes no requirement.
	Model   string
	Adapter string
	Service string
	Class   wire.Class
	// Blocks is the hash chain of the prompt (see BlockHashes).
	Blocks []uint64
	// Suspect is set when the request is suspected of crashing upstreams.
	Suspect bool
	// Tried lists the ids of the upstreams on which this request has failed.
	Tried []string
	// Zone and Region locate the entry.
	Zone   string
	Region string
}

// Candidate is an upstream and what the entry knows about it.
type Candidate struct {
	wire.Upstream
	// Load is the last load report, and Age the time since it arrived. Before the
	// first report, Load is zero and Age is many years.
	Load wire.Load
	Age  time.Duration
	// MeanLoad is the mean number of requests per slot over the recent reports
	// of all upstreams.
	MeanLoad float64
	// SentSinceReport is the number of requests from this entry that the report
	// cannot include yet. EndedSinceReport is the number of requests from this
	// entry that the report includes but that have ended since.
	SentSinceReport, EndedSinceReport int
	// ServiceTime is the mean time for which a request occupies a slot.
	ServiceTime time.Duration
	// Ready is false while the circuit breaker rejects requests.
	Ready bool
	// Suspects is the number of suspect requests from this entry that run
	// there.
	Suspects int
	// CachedBlocks is the number of leading blocks of the request's prompt that are cached.
	CachedBlocks int
}

// Scored is a candidate that passed every filter.
type Scored struct {
	*Candidate
	// Cost is the weighted sum of the scores, in milliseconds.
	Cost float64
	// ScorerCosts holds the weighted cost by each scorer, in the order of the
	// policy.
	ScorerCosts []float64
}

// Choice is the selected upstream and the reason for selecting it.
type Choice struct {
	Upstream wire.Upstream
	// CachedBlocks is the number of leading prompt blocks expected in its prefix cache.
	CachedBlocks int
	Explanation  Explanation
}

// Explanation describes a choice for logs and tests.
type Explanation struct {
	// Known and Eligible count the upstreams before and after the filters.
	Known, Eligible int
	// Rejected counts the upstreams that each filter of the policy rejected.
	Rejected []Rejection
	// Cost is the cost of the selected upstream, and ScorerCosts its share by
	// scorer.
	Cost        float64
	ScorerCosts []ScorerCost
	// RunnerUp is the upstream that the picker compared the selected one with,
	// if any.
	RunnerUp     string
	RunnerUpCost float64
}

// Rejection is the number of upstreams that a filter rejected.
type Rejection struct {
	Filter string
	Count  int
}

// ScorerCost is the contribution of one scorer to a cost, in milliseconds.
type ScorerCost struct {
	Scorer string
	Cost   float64
}

// String formats the explanation as one line for logs.
func (e Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "known=%d left=%d cost=%.1f", e.Known, e.Eligible, e.Cost)
	for _, c := range e.ScorerCosts {
		fmt.Fprintf(&b, " %s=%.1f", c.Scorer, c.Cost)
	}
	if e.RunnerUp != "" {
		fmt.Fprintf(&b, " rival=%s:%.1f", e.RunnerUp, e.RunnerUpCost)
	}
	for _, r := range e.Rejected {
		if r.Count > 0 {
			fmt.Fprintf(&b, " -%s=%d", r.Filter, r.Count)
		}
	}
	return b.String()
}

// Chooser selects upstreams according to a policy.
type Chooser struct {
	filters []namedPlugin[Filter]
	scorers []weightedScorer
	picker  Picker
}

type namedPlugin[T any] struct {
	name   string
	plugin T
}

type weightedScorer struct {
	namedPlugin[Scorer]
	weight float64
}

// Choose selects the upstream for a request. If none is eligible, the error's
// code tells whether any known upstream serves what the request asks for.
func (c *Chooser) Choose(rng *rand.Rand, r *Request, known []Candidate) (Choice, error) {
	explanation := Explanation{Known: len(known), Rejected: make([]Rejection, len(c.filters))}
	eligible := c.filter(r, known, &explanation)
	if len(eligible) == 0 {
		return Choice{Explanation: explanation}, noCandidateError(r, known, explanation)
	}
	c.score(r, eligible)
	chosen, runnerUp := c.picker.Pick(rng, r, eligible)
	best := eligible[chosen]
	explanation.Cost = best.Cost
	for i, s := range c.scorers {
		explanation.ScorerCosts = append(explanation.ScorerCosts, ScorerCost{s.name, best.ScorerCosts[i]})
	}
	if runnerUp >= 0 {
		explanation.RunnerUp, explanation.RunnerUpCost = eligible[runnerUp].ID, eligible[runnerUp].Cost
	}
	return Choice{Upstream: best.Upstream, CachedBlocks: best.CachedBlocks, Explanation: explanation}, nil
}

func (c *Chooser) filter(r *Request, known []Candidate, explanation *Explanation) []Scored {
	eligible := make([]Scored, 0, len(known))
	for i := range known {
		if f := c.firstRejecting(r, &known[i]); f >= 0 {
			explanation.Rejected[f].Count++
			continue
		}
		eligible = append(eligible, Scored{Candidate: &known[i]})
	}
	for i, f := range c.filters {
		explanation.Rejected[i].Filter = f.name
	}
	explanation.Eligible = len(eligible)
	return eligible
}

func (c *Chooser) firstRejecting(r *Request, u *Candidate) int {
	for i, f := range c.filters {
		if !f.plugin(r, u) {
			return i
		}
	}
	return -1
}

func (c *Chooser) score(r *Request, eligible []Scored) {
	costs := make([]float64, len(eligible)*len(c.scorers))
	for i := range eligible {
		s := &eligible[i]
		s.ScorerCosts, costs = costs[:len(c.scorers):len(c.scorers)], costs[len(c.scorers):]
		for j, w := range c.scorers {
			s.ScorerCosts[j] = w.weight * w.plugin(r, s.Candidate)
			s.Cost += s.ScorerCosts[j]
		}
	}
}

func noCandidateError(r *Request, known []Candidate, explanation Explanation) error {
	offered := func(f Filter) bool {
		for i := range known {
			if f(r, &known[i]) {
				return true
			}
		}
		return false
	}
	switch {
	case len(known) == 0:
		return result.New(result.NoUpstream, "no upstream is known")
	case !offered(hasModel) || !offered(hasAdapter):
		return result.New(result.ModelUnknown, "no known upstream serves model %q with adapter %q", r.Model, r.Adapter)
	case !offered(hasService):
		return result.New(result.ServiceUnknown, "no known upstream offers service %q", r.Service)
	}
	return result.New(result.NoUpstream, "no upstream can take the request now: %s", explanation)
}
