// Package dispatch places requests on upstreams and accounts for the work that
// is under way there. It answers loads in which KV cache, not slots, is scarce:
// a model server takes few long prompts at once, preempts beyond that, and
// slows every stream beside a prompt that it reads. A Fleet holds no clock and
// no lock; one goroutine owns it.
package dispatch

import (
	"math/rand/v2"
	"time"

	"heatherway.dev/core/breaker"
	"heatherway.dev/core/registration"
	"heatherway.dev/core/routing"
	"heatherway.dev/core/signal"
)

const (
	// memoryStep is how much less of an upstream's KV cache each lower rank may
	// fill: what a flood of the least urgent class leaves free is there for the
	// most urgent one, which would have to preempt streams otherwise.
	priorityMemoryStep = 0.06
	// leastMemoryShare bounds the steps.
	minMemoryShare = 0.82
	// runningShare is the cost of one running stream beside a new one, as a share of the
	// time to read the usual prompt, which slows it to a quarter; a stream that lasts
	// longer is more likely to meet the loss of its upstream or the end of its gateway.
	runningCostShare = 0.15
	// otherZoneMS is the cost of leaving the availability zone with a plain call: a
	// round trip and the price of bytes between zones.
	crossZoneCallMS = 12
	// streamZoneShare is the cost of leaving the availability zone with a stream, as a
	// share of the time to read the usual prompt. Links between zones lose packets at
	// times, and each of the hundred events of a stream that is sent again arrives late; a
	// third of that time still lets a zone with more work use the others.
	crossZoneStreamShare = 0.35
	// jitterMS spreads choices among upstreams that look alike.
	costJitterMS = 6
	// loadTrust is how long a report of an upstream's load counts.
	maxReportAge = 2 * time.Second
)

// pathBreaker opens at the first failed connection: the upstream is down more
// often than the path, and others can take the work.
var pathBreaker = breaker.Settings{ConsecutiveFailures: 1, Pause: 400 * time.Millisecond, MaxPause: 4 * time.Second, ProbeTimeout: 3 * time.Second}

// Request is a request to be placed.
type Request struct {
	Service string
	Stream  bool
	// PromptTokens and OutputTokens are sizes in tokens; zero when unknown.
	PromptTokens, OutputTokens int
	// Backup asks for an upstream that is to hold a copy of the KV cache.
	Backup bool
	// Tried names the upstreams that have failed the request.
	Tried []string
	// Priority is the rank, 0 being the most urgent.
	Priority int
	// Affinity is the key of the prompt, empty for none. Requests with the same
	// key go to the same upstream as long as it is not loaded: a caller that
	// comes back through another gateway finds its prompt in the cache.
	Affinity string
	// CachedAt names the upstream that holds the prompt in its cache, if known.
	CachedAt string
	// ID names the request in reports.
	ID string
	// lost accepts upstreams that count as lost: when all of a service do, the
	// silence is more likely that of the control instances.
	allowLost bool
	// Preferred names the upstream that holds a copy for the request, if any.
	Preferred string
}

// tokens is the memory that the request takes; one that does not say is taken for a usual one.
func (req *Request) tokens(e *estimate) int {
	if !req.Stream {
		return 0
	}
	if req.PromptTokens == 0 {
		return int(e.meanPrompt)
	}
	return req.PromptTokens + req.OutputTokens
}

// Choice is where a request is placed.
type Choice struct {
	// Ticket names the placement until End.
	Ticket   uint64
	Upstream registration.Upstream
	// Backup is the upstream that is to hold a copy, if any.
	Backup registration.Upstream
	// ExpectedWait is the expected time until the first event.
	ExpectedWait time.Duration
	// Explanation says in numbers what decided, for logs.
	Explanation Explanation
}

// Explanation explains a choice.
type Explanation struct {
	Known, Eligible int
	CostMS          float64
	Running, Tokens int
	ReportAge       time.Duration
}

// Refusal tells why a request cannot be placed.
type Refusal struct {
	// Known is the number of upstreams of the service.
	Known int
	// RetryAfter is when another try may succeed.
	RetryAfter time.Duration
	// MemoryFull tells that upstreams are up but have no memory left.
	MemoryFull bool
	// AllBackingOff tells that none can take it before Retry: all that are up have
	// asked for backoff until then.
	AllBackingOff bool
}

type upstream struct {
	registration.Upstream
	engine       *routing.Engine
	estimate     *estimate // of its service
	work         map[uint64]*placement
	tokens       int // of own work and copies
	backupTokens int
	breaker      *breaker.Breaker
	// others is the load of other gateways in the last report.
	others     otherLoad
	reportedAt time.Time
	// observed is the time of the last whole report, unreachable that of the last one
	// that was asked for in vain.
	fullReportAt, unreachableAt time.Time
	// failing is the recent share of failed answers, as a moving average at the
	// time of the last answer.
	failureRate float64
	answeredAt  time.Time
	// backoff is the time for which the upstream has asked this gateway to stay away.
	backoff signal.Backoff
}

// foreign is the work of other gateways at an upstream.
type otherLoad struct {
	requests int
	// prompt is the part of their prompts that is not read yet, memory what they
	// take of the KV cache, both in tokens.
	prefillTokens, kvTokens int
}

type placement struct {
	id       string
	upstream *upstream
	backup   *upstream
	tokens   int
	prompt   int
	sent     time.Time
	started  bool
	stream   bool
	// alone is set if nothing else was known to wait or to be read there, so that the time
	// to the answer tells what the upstream does.
	uncontended bool
	permit      breaker.Permit
}

// Fleet is what one gateway knows about the upstreams.
type Fleet struct {
	zone string
	rng  *rand.Rand
	byID map[string]*upstream
	// service holds the upstreams of each service in order of address, zones the
	// names of their availability zones in order, and groups those of one zone.
	service    map[string][]*upstream
	zones      map[string][]string
	groups     map[groupKey]*group
	engines    map[string]*routing.Engine
	estimates  map[string]*estimate // by service
	tickets    map[uint64]*placement
	lastTicket uint64
	// duration is the moving average of the duration of streams.
	streamDuration time.Duration
}

// New returns an empty fleet for a gateway in an availability zone.
func New(zone string, rng *rand.Rand) *Fleet {
	return &Fleet{zone: zone, rng: rng, byID: map[string]*upstream{}, service: map[string][]*upstream{}, zones: map[string][]string{},
		groups: map[groupKey]*group{}, engines: map[string]*routing.Engine{}, estimates: map[string]*estimate{}, tickets: map[uint64]*placement{}}
}

// SetEngines takes over what the configuration says of the services.
func (f *Fleet) SetEngines(services []routing.Service) {
	clear(f.engines)
	for i := range services {
		f.engines[services[i].Name] = services[i].Engine
	}
	for _, u := range f.byID {
		u.engine = f.engines[u.Service]
	}
}

// SetUpstream takes over a record of the directory. Upstreams that have left
// get no work; what runs there goes on.
func (f *Fleet) SetUpstream(r registration.Upstream) {
	u := f.byID[r.ID]
	if u != nil && u.StartedMS != r.StartedMS {
		f.remove(u) // the same id after a restart knows nothing of before
		u = nil
	}
	if r.State == registration.Left {
		if u != nil {
			f.remove(u)
		}
		return
	}
	if u == nil {
		u = &upstream{work: map[uint64]*placement{}, breaker: breaker.New(pathBreaker)}
		f.byID[r.ID] = u
	} else {
		r.Leaving = r.Leaving || u.Leaving // known here before the directory has it
		f.removeFromLists(u)
	}
	u.Upstream, u.engine, u.estimate = r, f.engines[r.Service], f.estimate(r.Service)
	f.addToLists(u)
}

// estimate returns what has been learned of a service.
func (f *Fleet) estimate(service string) *estimate {
	e := f.estimates[service]
	if e == nil {
		e = newEstimate()
		f.estimates[service] = e
	}
	return e
}

func (f *Fleet) remove(u *upstream) {
	delete(f.byID, u.ID)
	f.removeFromLists(u)
}

// Len returns the number of upstreams that may get work.
func (f *Fleet) Len() int { return len(f.byID) }

const (
	// minRetry is the least time after which another try makes sense.
	minRetryAfter = 50 * time.Millisecond
	// unknownRetry is told when nothing says when an upstream will be free.
	defaultRetryAfter = time.Second
	// durationShare is the weight of the newest stream in the moving average of
	// their duration.
	streamDurationWeight = 0.1
)

func (f *Fleet) refusal(now time.Time, req *Request, list []*upstream) *Refusal {
	r := &Refusal{Known: len(list), RetryAfter: defaultRetryAfter}
	backingOff, others := false, false
	for _, u := range list {
		if u.State != registration.Ready || u.Leaving {
			continue
		}
		if left := u.backoff.Remaining(now); left > 0 {
			backingOff = true
			r.RetryAfter = min(r.RetryAfter, left)
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
	r.RetryAfter = max(r.RetryAfter, minRetryAfter)
	r.AllBackingOff = backingOff && !others
	return r
}

// nextEnd estimates the time until a stream at the upstream ends.
func (u *upstream) nextStreamEnd(now time.Time, duration time.Duration) time.Duration {
	next := defaultRetryAfter
	for _, p := range u.work {
		if p.stream && duration > 0 {
			next = min(next, max(duration-now.Sub(p.sent), 0))
		}
	}
	return next
}

// RecordStarted records the first sign of work on a request.
func (f *Fleet) RecordStarted(now time.Time, ticket uint64) {
	if p := f.tickets[ticket]; p != nil {
		if p.uncontended && p.stream && !p.started {
			p.upstream.estimate.addFirstEvent(p.prompt, now.Sub(p.sent))
		}
		p.started = true
		p.upstream.breaker.Record(now, p.permit, breaker.Succeeded)
	}
}

// failingShare is the weight of the newest answer in the moving average.
const failureSampleWeight = 0.15

// RecordAnswer records whether the upstream answered a request with success.
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
	if !p.stream && ok {
		u.estimate.retryDelays.recordAnswer(now)
		if p.uncontended {
			u.estimate.addCall(now.Sub(p.sent))
		}
	}
	u.failureRate = u.failureRateAt(now)
	u.failureRate += failureSampleWeight * (sample - u.failureRate)
	u.answeredAt = now
}

// RecordFailure records that the path to the upstream broke or fell silent, so that it
// gets no work for a while and the others of its availability zone get less.
func (f *Fleet) RecordFailure(now time.Time, ticket uint64) {
	if p := f.tickets[ticket]; p != nil {
		p.upstream.breaker.Record(now, p.permit, breaker.ConnectFailed)
		f.groups[p.upstream.group()].recordFailure(now)
	}
}

// ReleaseBackup frees what a copy was charged, for example once it has been used.
func (f *Fleet) ReleaseBackup(ticket uint64) {
	if p := f.tickets[ticket]; p != nil && p.backup != nil {
		p.backup.backupTokens -= p.tokens
		p.backup = nil
	}
}

// ReplaceBackup chooses another holder for the copy of a request, after the former one
// has been lost. It returns false when there is none.
func (f *Fleet) ReplaceBackup(now time.Time, ticket uint64, req *Request) (registration.Upstream, bool) {
	p := f.tickets[ticket]
	if p == nil {
		return registration.Upstream{}, false
	}
	f.ReleaseBackup(ticket)
	b := f.chooseBackup(now, req, p.upstream, f.service[req.Service])
	if b == nil {
		return registration.Upstream{}, false
	}
	p.backup = b
	b.backupTokens += p.tokens
	return b.Upstream, true
}

// End frees what a request was charged.
func (f *Fleet) End(now time.Time, ticket uint64) {
	p := f.tickets[ticket]
	if p == nil {
		return
	}
	if p.stream && p.started {
		took := now.Sub(p.sent)
		if f.streamDuration == 0 {
			f.streamDuration = took
		}
		f.streamDuration += time.Duration(streamDurationWeight * float64(took-f.streamDuration))
	}
	f.ReleaseBackup(ticket)
	delete(f.tickets, ticket)
	delete(p.upstream.work, ticket)
	p.upstream.tokens -= p.tokens
}
