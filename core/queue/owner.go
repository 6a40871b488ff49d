package queue

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Queue holds the waiting and placed requests of one service.
type Queue struct {
	settings Settings
	rng      *rand.Rand
	speeds   Speeds
	seq      uint64
	epoch    time.Time // when the queue was started
	requests map[Key]*request
	classes  [priorities]*class
	// waitingOf counts the waiting requests of each gateway, overBound names those beyond its bound.
	waitingOf map[string]int
	overBound []Key
	// waitingPrompts counts the requests in classes.
	waitingPrompts sizeCounts
	resumes        []*request // waiting ones, in order of arrival
	// unsuited are waiting requests that no upstream suits.
	unsuited  []*request
	upstreams map[string]*upstream
	// list holds the listed upstreams by ID.
	list       []*upstream
	zones      map[string]*zone
	meanPrompt float64
	prompts    float64 // number of samples of meanPrompt, bounded
	nextSweep  time.Time
	nextLost   time.Time // when requests whose end is lost are searched again
	lost       int       // dropped ones
	// measured is set once the time to a first event is known.
	measured bool
	rates    rates
	// usedTokens is the KV cache taken by requests, copyTokens that by the copies of each class.
	usedTokens int
	copyTokens [priorities]int
	// fresh are the new requests that may still be refused for their aim, unseen those that have
	// not been reviewed once.
	fresh, unseen []*request
	refusals      map[returnKey]refusal
	refusalsOf    map[string]int // number of refusals of each organisation
	refusalOrder  []refusalEntry
	refusalSeq    uint64
	// calmFrom is when copies may be made for running streams.
	calmFrom time.Time
	// overloadFrom is since when more arrives than can be started, or zero.
	overloadFrom time.Time
	decisions    []Decision
	// free are the upstreams that may be given a prompt. The list holds until freeUntil, unless
	// freeStale is set.
	free      []*upstream
	freeUntil time.Duration // from the start of the queue
	freeStale bool
	held      []*upstream // of the last pass
	resumable []*upstream // scratch
	aside     []*request  // scratch
	order     []place     // scratch
}

const (
	// priorPromptTokens is the assumed size of a prompt until there are samples.
	priorPromptTokens = 8000
	// priorCallMS is the assumed time of a call of a plain service.
	priorCallMS = 15
	// minPromptWeight is the lowest weight of the newest sample in the mean prompt size.
	minPromptWeight = 0.02
	// sweepInterval is the interval at which estimates of all upstreams are refreshed and idle
	// organisations are removed.
	sweepInterval = 100 * time.Millisecond
)

// New returns an empty queue. The random source spreads equal upstreams and RetryAfter.
func New(now time.Time, s Settings, rng *rand.Rand) *Queue {
	q := &Queue{epoch: now, settings: s.withDefaults(), rng: rng, speeds: s.Speeds, requests: map[Key]*request{}, waitingOf: map[string]int{}, upstreams: map[string]*upstream{},
		zones: map[string]*zone{}, meanPrompt: priorPromptTokens, nextSweep: now, refusals: map[returnKey]refusal{}, refusalsOf: map[string]int{}, rates: rates{holdMS: priorHoldMS, expectedHoldMS: priorHoldMS}}
	if q.speeds == nil {
		q.speeds = newSpeeds()
	}
	for c := range q.classes {
		q.classes[c] = newClass()
	}
	return q
}

// SetUpstreams replaces the list of upstreams. One that has restarted loses its account; the
// requests there end by the events of their gateways. One that is missing gets nothing more but keeps
// its account until these have ended, since a new or partitioned leader may give an incomplete list.
func (q *Queue) SetUpstreams(now time.Time, list []Upstream) {
	named := make(map[string]bool, len(list))
	for _, in := range list {
		named[in.ID] = true
		q.setUpstream(now, in)
	}
	q.list = q.list[:0]
	for id, u := range q.upstreams {
		switch {
		case named[id]:
			q.list = append(q.list, u)
		case u.listed:
			u.listed = false
			q.dropUnlisted(u)
		}
	}
	slices.SortFunc(q.list, func(a, b *upstream) int { return strings.Compare(a.ID, b.ID) })
	q.nextSweep, q.freeStale = now, true
}

func (q *Queue) setUpstream(now time.Time, in Upstream) {
	in.Slots, in.MemoryTokens = max(in.Slots, 0), max(in.MemoryTokens, 0)
	u := q.upstream(in.ID)
	if u.known && u.StartedMS != in.StartedMS {
		q.releaseUpstream(u)
		u.failures, u.pausedUntil = 0, time.Time{}
	}
	u.Upstream, u.listed, u.known, u.zone = in, true, true, q.zone(in.Zone)
	q.refreshSpeed(now, u)
}

// upstream returns the account of an upstream, which may not be listed yet: a new owner hears
// of placements before it has the list.
func (q *Queue) upstream(id string) *upstream {
	u := q.upstreams[id]
	if u == nil {
		u = &upstream{Upstream: Upstream{ID: id}, zone: &zone{}, msPerToken: 1.0 / priorTokensPerMS}
		q.upstreams[id] = u
	}
	return u
}

func (q *Queue) zone(name string) *zone {
	z := q.zones[name]
	if z == nil {
		z = &zone{}
		q.zones[name] = z
	}
	return z
}

// releaseUpstream drops the account of an upstream that has restarted; its requests end by the events
// of their gateways.
func (q *Queue) releaseUpstream(u *upstream) {
	q.usedTokens -= u.usedTokens
	for _, r := range q.requests {
		if r.at == u {
			r.at = nil
		}
	}
	for len(u.copies) > 0 {
		q.detachCopy(u.copies[0])
	}
	u.unread = nil
	u.requests, u.unreadTokens, u.usedTokens, u.copyTokens = 0, 0, 0, 0
}

// refreshSpeed caches the reading speed of an upstream; comparing all upstreams must not ask
// the estimator for each.
func (q *Queue) refreshSpeed(now time.Time, u *upstream) {
	tokens := max(q.meanPrompt, 1)
	ms := q.speeds.PrefillMS(now, u.ID, tokens)
	if u.parallel() && !q.measured {
		ms = priorCallMS
	}
	if ms > 0 && ms < milliseconds(maxDuration) {
		u.msPerToken = ms / tokens
	}
}

// sweep refreshes what changes slowly, and reports whether it was due.
func (q *Queue) sweep(now time.Time) bool {
	if now.Before(q.nextSweep) {
		return false
	}
	q.nextSweep = now.Add(sweepInterval)
	for _, u := range q.list {
		q.refreshSpeed(now, u)
	}
	for _, c := range q.classes {
		c.removeIdleFlows()
	}
	q.sweepRates(now)
	q.noticeOverload(now)
	q.forgetRefusals(now)
	q.dropLost(now)
	return true
}

// RemoveGateway ends all requests of a gateway: its connections are gone.
func (q *Queue) RemoveGateway(now time.Time, gateway string) {
	var gone []*request
	for key, r := range q.requests {
		if key.Gateway == gateway {
			gone = append(gone, r)
		}
	}
	slices.SortFunc(gone, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	for _, r := range gone {
		q.forget(now, r)
	}
}

// forget removes a request in any state.
func (q *Queue) forget(now time.Time, r *request) {
	q.freeStale = q.freeStale || r.at != nil || r.copyAt != nil
	q.unqueue(r)
	at, copyAt := r.at, r.copyAt
	q.detach(now, r)
	q.detachCopy(r)
	q.dropUnlisted(at)
	q.dropUnlisted(copyAt)
	q.setState(r, ended)
	delete(q.requests, r.key)
}

// dropUnlisted forgets an upstream that is not listed and has no account.
func (q *Queue) dropUnlisted(u *upstream) {
	if u != nil && !u.listed && u.requests == 0 && len(u.copies) == 0 && q.upstreams[u.ID] == u {
		delete(q.upstreams, u.ID)
		q.speeds.Forget(u.ID)
	}
}

// enqueue adds a request to those that wait.
func (q *Queue) enqueue(now time.Time, r *request) {
	q.setState(r, waiting)
	if r.Continues || q.preferred(now, r) != nil {
		at, _ := slices.BinarySearchFunc(q.resumes, r, earlier)
		q.resumes = slices.Insert(q.resumes, at, r)
		return
	}
	c := q.classes[r.priority()]
	if c.count == 0 {
		c.waitingFrom = now
	}
	q.push(r, q.levelOf(now, r))
}

// preferred returns the preferred upstream of a request if it accepts work.
func (q *Queue) preferred(now time.Time, r *request) *upstream {
	if r.Preferred == "" {
		return nil
	}
	if u := q.upstreams[r.Preferred]; u != nil && u.listed && u.accepts(now) && u.suits(r) {
		return u
	}
	return nil
}

// unqueue removes a request from those that wait.
func (q *Queue) unqueue(r *request) {
	if r.state != waiting {
		return
	}
	if r.flow != nil {
		q.remove(r)
		return
	}
	same := func(o *request) bool { return o == r }
	q.resumes = slices.DeleteFunc(q.resumes, same)
	q.unsuited = slices.DeleteFunc(q.unsuited, same)
}

// levelOf returns the level that a request belongs to now.
func (q *Queue) levelOf(now time.Time, r *request) levelIndex {
	switch {
	case r.returned:
		return returned
	case !r.due.IsZero() && !r.due.After(now):
		return late
	}
	return onTime
}
