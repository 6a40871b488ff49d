// Package dispatch selects upstreams for requests and tracks the requests in flight there.
// It is built for loads that are limited by KV cache rather than by slots: a model server
// holds only a few long prompts at once, preempts streams beyond that, and slows down all
// its streams while it prefills a prompt. A Fleet has neither clock nor lock; it must be
// used by a single goroutine.
package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"heatherway.dev/core/breaker"
	"heatherway.dev/core/registration"
	"heatherway.dev/core/rollout"
	"heatherway.dev/core/routing"
	"heatherway.dev/core/signal"
	"heatherway.dev/core/throttle"
)

const (
	// priorityKVCacheStep is the share of an upstream's KV cache that each lower priority
	// leaves free. Under a flood of the least urgent class, this room lets the most urgent
	// class run without preempting streams.
	priorityKVCacheStep = 0.06
	// minKVCacheShare is the smallest share of the KV cache that any priority may fill.
	minKVCacheShare = 0.82
	// runningCostShare is the cost of one running stream for a new stream, as a share of
	// the typical prefill time. During a prefill the running stream slows to a quarter of
	// its speed. A stream that lasts longer is also more likely to be hit by the failure
	// of its upstream or the end of its gateway.
	runningCostShare = 0.15
	// crossZoneCallMS is the cost of sending a plain call to another availability zone: a
	// round trip and the price of traffic between zones.
	crossZoneCallMS = 12
	// crossZoneStreamShare is the cost of sending a stream to another availability zone,
	// as a share of the typical prefill time. Links between zones lose packets at times,
	// and each of the hundred events of a stream that is retransmitted arrives late. At a
	// third of the prefill time, a zone with more load still uses the others.
	crossZoneStreamShare = 0.35
	// costJitterMS spreads requests over upstreams of equal cost.
	costJitterMS = 6
	// maxReportAge is the age at which a load report no longer counts.
	maxReportAge = 2 * time.Second
)

// pathBreaker opens at the first failed connection: it is more often the upstream that is
// down than the network path, and other upstreams can take the work.
var pathBreaker = breaker.Settings{ConsecutiveFailures: 1, Pause: 400 * time.Millisecond, MaxPause: 4 * time.Second, ProbeTimeout: 3 * time.Second}

// Request describes a request to be placed.
type Request struct {
	Service string
	// Route is the name of the route.
	Route  string
	Stream bool
	// PromptTokens and OutputTokens are sizes in tokens, or zero if unknown.
	PromptTokens, OutputTokens int
	// Backup requests a second upstream to hold a copy of the KV cache.
	Backup bool
	// Tried lists the ids of upstreams that have already failed the request.
	Tried []string
	// Priority is the priority of the route or organisation; 0 is the most urgent.
	Priority int
	// Affinity is the key of the prompt, or empty. Requests with the same key go to the
	// same upstreams while these are not loaded, so that a caller that reconnects through
	// another gateway finds its prompt in the cache.
	Affinity string
	// CachedAt is the id of the upstream that holds the prompt in its cache, if known.
	CachedAt string
	// ID identifies the request in load reports.
	ID string
	// allowLost also admits upstreams in state lost: when all upstreams of a service are
	// lost, the control instances are more likely to have failed than the upstreams.
	allowLost bool
	// allowReplaced also admits the versions that a roll-out is about to replace.
	allowReplaced bool
	// Preferred is the id of the upstream that holds a backup of the request's KV cache,
	// if any.
	Preferred string
	// Version is the software version of the upstreams that may run the request, or empty for
	// any: what two versions write doesn't fit together in one stream.
	Version string
	// Organisation is the owner of the request, empty on public routes.
	Organisation string
	// Continues is set if the caller has already received a part of the answer. Limits of
	// upstreams treat the request as most urgent.
	Continues bool
	// MaxEventGap is the longest pause between two events of the stream that counts as on
	// time, zero if there is none.
	MaxEventGap time.Duration
	// WithoutAsking excludes the upstreams for which a grant would have to be asked.
	WithoutAsking bool
}

// Class returns the class for which grants are asked.
func (req *Request) Class() throttle.Class {
	c := throttle.Class{Priority: req.Priority, Organisation: req.Organisation}
	if req.Continues {
		c.Priority = 0
	}
	return c
}

// tokens returns the KV cache that the request takes. A request of unknown size counts as
// one of mean size.
func (req *Request) tokens(e *estimate) int {
	if !req.Stream {
		return 0
	}
	if req.PromptTokens == 0 {
		return int(e.meanPrompt)
	}
	return req.PromptTokens + req.OutputTokens
}

// Choice is the result of a placement.
type Choice struct {
	// Ticket identifies the placement until End.
	Ticket   uint64
	Upstream registration.Upstream
	// Backup is the upstream that is to hold the backup, if any.
	Backup registration.Upstream
	// Version is the software version of Upstream, or empty if no upstream of the service
	// states one.
	Version string
	// ExpectedWait is the estimated time until the first event.
	ExpectedWait time.Duration
	// Explanation holds the figures behind the choice, for logs.
	Explanation Explanation
}

// Explanation holds the figures behind a choice.
type Explanation struct {
	// Known is the number of upstreams of the service, Eligible the number of those whose
	// costs were compared.
	Known, Eligible int
	// CostMS is the cost of the chosen upstream. It is negative if gains outweigh the costs.
	CostMS float64
	// Running is the number of this gateway's requests in flight at the upstream, and
	// Tokens the KV cache reserved for them, both with the new request.
	Running, Tokens int
	// ReportAge is the age of the last load report, or zero if there is none.
	ReportAge time.Duration
}

// Refusal tells why a request cannot be placed.
type Refusal struct {
	// Known is the number of upstreams of the service.
	Known int
	// RetryAfter is the estimated time until another attempt may succeed.
	RetryAfter time.Duration
	// MemoryFull is set if upstreams are up but have no KV cache left.
	MemoryFull bool
	// AllBackingOff is set if no upstream can take the request before RetryAfter, because
	// all that are up have asked for backoff.
	AllBackingOff bool
	// AllLimited is set if no upstream can take the request before RetryAfter, because all
	// that are up have no request left of the limits that they have named, or have asked for
	// backoff.
	AllLimited bool
	// VersionGone is set if no upstream of the software version that the request needs is ready
	// or may come back.
	VersionGone bool
	// Reason says why Assign cannot use an upstream, for logs.
	Reason string
	// Ask is what to ask the owner of the limits for before the request is placed again. It
	// is empty if the refusal is final.
	Ask []throttle.Want
}

type upstream struct {
	registration.Upstream
	engineSettings *routing.Engine // nil for a plain service
	estimate       *estimate       // shared by the upstreams of its service
	inFlight       map[uint64]*placement
	tokens         int // of this gateway's requests
	backupTokens   int
	breaker        *breaker.Breaker
	// others is the load that other gateways cause, according to the last report.
	others     otherLoad
	reportedAt time.Time
	// fullReportAt is the time of the last full report, unreachableAt that of the last
	// failed query for one.
	fullReportAt, unreachableAt time.Time
	// failureRate is a moving average of the share of failed answers, as of answeredAt.
	failureRate float64
	answeredAt  time.Time
	// backoff is the time for which the upstream has asked this gateway to send nothing.
	backoff signal.Backoff
	// limit is the limit that the upstream has named.
	limit throttle.Limit
	// slow and unevenShare are the results of slowness and uneven, as of slownessAt; slow is
	// zero before the first.
	slow, unevenShare float64
	// prefilledAt is the time of the last first event of a stream of this gateway.
	prefilledAt time.Time
	slownessAt  time.Time
}

// otherLoad is the load that other gateways cause at an upstream.
type otherLoad struct {
	requests int
	// prefillTokens is the part of their prompts that is not prefilled yet, kvTokens the
	// KV cache that they take.
	prefillTokens, kvTokens int
}

type placement struct {
	id           string
	upstream     *upstream
	backup       *upstream
	tokens       int
	promptTokens int
	sentAt       time.Time
	prefilled    bool // the first event of the stream, or the answer of the call, has arrived
	stream       bool
	// uncontended is set if no other request was known to wait or to be prefilled at the
	// upstream, so that the time to the answer measures the upstream's own speed.
	uncontended bool
	// beside is the number of prompts that were known to be prefilled before it. cached is set
	// if its own prompt may have been in the cache.
	beside int
	cached bool
	// besideKnown is set if beside contains the prompts of other gateways.
	besideKnown bool
	permit      breaker.Permit
	route       string
	// warmingUp is set if the upstream announced that it was still warming up.
	warmingUp bool
}

// Fleet is one gateway's view of the upstreams of all services.
type Fleet struct {
	zone string
	rng  *rand.Rand
	byID map[string]*upstream
	// byService holds the upstreams of each service, sorted by address; zones holds the
	// names of their availability zones, sorted; groups holds the upstreams of each
	// service in one zone.
	byService      map[string][]*upstream
	zones          map[string][]string
	groups         map[groupKey]*group
	engineSettings map[string]*routing.Engine
	estimates      map[string]*estimate // by service
	tickets        map[uint64]*placement
	lastTicket     uint64
	// statedVersions counts the upstreams of each service that state their software version.
	statedVersions map[string]int
	// streamDuration is a moving average of the duration of streams.
	streamDuration time.Duration
	// contact is what is known about the owner of the limits that upstreams name.
	contact *throttle.Contact
	// equal is set if the upstreams of a service count as equally fast.
	equal bool
	// rollouts is nil if roll-outs are not enabled.
	rollouts *rollout.Gateway
	// commonVersions holds the most common version of a service until its upstreams change.
	commonVersions map[string]string
}

// New returns an empty fleet for a gateway in the given availability zone.
func New(zone string, rng *rand.Rand) *Fleet {
	return &Fleet{zone: zone, rng: rng, byID: map[string]*upstream{}, byService: map[string][]*upstream{}, zones: map[string][]string{},
		groups: map[groupKey]*group{}, engineSettings: map[string]*routing.Engine{}, statedVersions: map[string]int{}, estimates: map[string]*estimate{}, tickets: map[uint64]*placement{}, contact: throttle.NewContact(rng)}
}

// SetEngines applies the services' engine settings from the configuration.
func (f *Fleet) SetEngines(services []routing.Service) {
	clear(f.engineSettings)
	for i := range services {
		f.engineSettings[services[i].Name] = services[i].Engine
	}
	for _, u := range f.byID {
		u.engineSettings = f.engineSettings[u.Service]
	}
}

// SetUpstream applies a directory record. An upstream that has left gets no new work;
// requests that run there continue.
func (f *Fleet) SetUpstream(r registration.Upstream) {
	u := f.byID[r.ID]
	if u != nil && u.StartedMS != r.StartedMS {
		f.remove(u) // a restarted upstream with the same id has lost all its state
		u = nil
	}
	if r.State == registration.Left {
		if u != nil {
			f.remove(u)
		}
		return
	}
	if u == nil {
		u = &upstream{inFlight: map[uint64]*placement{}, breaker: breaker.New(pathBreaker)}
		f.byID[r.ID] = u
	} else {
		r.Leaving = r.Leaving || u.Leaving // may be known here before the directory has it
		f.removeFromLists(u)
	}
	u.Upstream, u.engineSettings, u.estimate = r, f.engineSettings[r.Service], f.estimate(r.Service)
	f.addToLists(u)
}

// estimate returns the estimates for a service.
func (f *Fleet) estimate(service string) *estimate {
	e := f.estimates[service]
	if e == nil {
		e = newEstimate()
		e.equal = f.equal
		f.estimates[service] = e
	}
	return e
}

func (f *Fleet) remove(u *upstream) {
	delete(f.byID, u.ID)
	f.removeFromLists(u)
	u.estimate.speeds.Forget(u.ID)
}

// Len returns the number of upstreams that may get work.
func (f *Fleet) Len() int { return len(f.byID) }

const (
	// minRetryAfter is the shortest time after which another attempt makes sense.
	minRetryAfter = 50 * time.Millisecond
	// defaultRetryAfter is used when it is unknown when an upstream will be free.
	defaultRetryAfter = time.Second
	// maxLimitRetryAfter bounds the time after which a caller whom only limits of upstreams
	// keep out is told to retry.
	maxLimitRetryAfter = 5 * time.Second
	// streamDurationWeight is the weight of the newest stream in the moving average of
	// stream durations.
	streamDurationWeight = 0.1
)

func (f *Fleet) refusal(now time.Time, req *Request, list []*upstream) *Refusal {
	r := &Refusal{Known: len(list), RetryAfter: defaultRetryAfter}
	backingOff, limited, others := false, false, false
	limitWait := maxLimitRetryAfter
	r.VersionGone = req.Version != "" && !slices.ContainsFunc(list, func(u *upstream) bool {
		return f.hasVersion(u, req.Version) && !f.denies(u) && u.State != registration.Draining && !u.Leaving
	})
	for _, u := range list {
		if u.State != registration.Ready || u.Leaving || !f.hasVersion(u, req.Version) {
			continue
		}
		if left := u.backoff.Remaining(now); left > 0 {
			backingOff = true
			r.RetryAfter = min(r.RetryAfter, left)
			continue
		}
		if u.breaker.Ready(now) && !f.withinLimit(now, u, req) {
			limited = true
			limitWait = min(limitWait, u.limit.RetryAt(now, f.contact, req.Class()).Sub(now))
			continue
		}
		others = true
		if u.breaker.Ready(now) && !u.fits(now, req) {
			r.MemoryFull = true
			r.RetryAfter = min(r.RetryAfter, u.nextStreamEnd(now, f.streamDuration))
			continue
		}
		r.RetryAfter = min(r.RetryAfter, u.breaker.RetryAt(now).Sub(now))
	}
	switch {
	case limited && !others && !backingOff:
		r.RetryAfter = limitWait
	case limited:
		r.RetryAfter = min(r.RetryAfter, limitWait)
	}
	r.RetryAfter = max(r.RetryAfter, minRetryAfter)
	r.AllBackingOff = backingOff && !limited && !others
	r.AllLimited = limited && !others
	return r
}

// nextStreamEnd estimates the time until the next stream at the upstream ends.
func (u *upstream) nextStreamEnd(now time.Time, duration time.Duration) time.Duration {
	next := defaultRetryAfter
	for _, p := range u.inFlight {
		if p.stream && duration > 0 {
			next = min(next, max(duration-now.Sub(p.sentAt), 0))
		}
	}
	return next
}

// RecordStarted records the first event of a stream, which means that its prompt is
// prefilled, or the complete answer of a plain call. The breaker counts it as a success.
func (f *Fleet) RecordStarted(now time.Time, ticket uint64) {
	if p := f.tickets[ticket]; p != nil {
		if p.stream && !p.prefilled {
			p.recordFirstEvent(now)
		}
		if p.stream && !p.prefilled {
			f.countAnswer(now, p, false)
		}
		p.prefilled = true
		p.upstream.breaker.Record(now, p.permit, breaker.Succeeded)
	}
}

// failureSampleWeight is the weight of the newest answer in the moving average of the
// failure rate.
const failureSampleWeight = 0.15

// RecordAnswer records whether the upstream answered a request successfully.
func (f *Fleet) RecordAnswer(now time.Time, ticket uint64, ok bool) {
	p := f.tickets[ticket]
	if p == nil {
		return
	}
	sample := 1.0
	if ok {
		sample = 0
	}
	u := p.upstream
	if !p.stream && p.prefilled {
		f.countAnswer(now, p, !ok)
	}
	if !p.stream && ok {
		u.estimate.retryDelays.recordAnswer(now)
		p.recordCall(now)
	}
	u.failureRate = u.failureRateAt(now)
	u.failureRate += failureSampleWeight * (sample - u.failureRate)
	u.answeredAt = now
}

// RecordFailure records that the connection to the upstream broke or fell silent, or that
// another process answered at its address. All of these count as ConnectFailed, so the
// breaker opens and the upstream gets no work during its pause; the others of its
// availability zone get less.
func (f *Fleet) RecordFailure(now time.Time, ticket uint64) {
	if p := f.tickets[ticket]; p != nil {
		p.upstream.breaker.Record(now, p.permit, breaker.ConnectFailed)
		f.groups[p.upstream.groupKey()].recordFailure(now)
	}
}

// ReleaseBackup releases the KV cache reserved for a backup, for example once the backup
// has been used.
func (f *Fleet) ReleaseBackup(ticket uint64) {
	if p := f.tickets[ticket]; p != nil && p.backup != nil {
		p.backup.backupTokens -= p.tokens
		p.backup = nil
	}
}

// ReplaceBackup chooses another upstream for the backup of a request after the previous
// one has been lost. It returns false if there is none.
func (f *Fleet) ReplaceBackup(now time.Time, ticket uint64, req *Request) (registration.Upstream, bool) {
	p := f.tickets[ticket]
	if p == nil {
		return registration.Upstream{}, false
	}
	f.ReleaseBackup(ticket)
	b := f.chooseBackup(now, req, p.upstream, f.byService[req.Service])
	if b == nil {
		return registration.Upstream{}, false
	}
	p.backup = b
	b.backupTokens += p.tokens
	return b.Upstream, true
}

// End releases the resources reserved for a request.
func (f *Fleet) End(now time.Time, ticket uint64) {
	p := f.tickets[ticket]
	if p == nil {
		return
	}
	if p.stream && p.prefilled {
		took := now.Sub(p.sentAt)
		if f.streamDuration == 0 {
			f.streamDuration = took
		}
		f.streamDuration += time.Duration(streamDurationWeight * float64(took-f.streamDuration))
	}
	f.ReleaseBackup(ticket)
	delete(f.tickets, ticket)
	delete(p.upstream.inFlight, ticket)
	p.upstream.tokens -= p.tokens
}
