// Package dispatch places requests on upstreams and accounts for the work that
// is under way there. It answers loads in which KV cache, not slots, is scarce:
// a model server takes few long prompts at once, preempts beyond that, and
// slows every stream beside a prompt that it reads. A Fleet holds no clock and
// no lock; one goroutine owns it.
package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherway.dev/core/breaker"
	"heatherway.dev/core/registration"
	"heatherway.dev/core/routing"
)

const (
	// prefillTokensPerMS is the prefill rate of the model servers, from the
	// data sheet of the deployments.
	prefillTokensPerMS = 8
	// unknownTokens is taken as the size of a request that does not say; it is
	// the mean of the deployments' prompts.
	unknownTokens = 8000
	// memoryStep is how much less of an upstream's KV cache each lower rank may
	// fill: what a flood of the least urgent class leaves free is there for the
	// most urgent one, which would have to preempt streams otherwise.
	memoryStep = 0.06
	// leastMemoryShare bounds the steps.
	leastMemoryShare = 0.82
	// runningMS is the cost of one running request beside a new stream: its
	// prompt may still be read.
	runningMS = 40
	// callMS is the cost of one call ahead of a plain call, from the mean work of
	// the deployments' calls.
	callMS = 15
	// otherZoneMS is the cost of leaving the availability zone: a round trip and
	// the price of bytes between zones.
	otherZoneMS = 12
	// jitterMS spreads choices among upstreams that look alike.
	jitterMS = 6
	// loadTrust is how long a report of an upstream's load counts.
	loadTrust = 2 * time.Second
)

// pathBreaker opens at the first failed connection: the upstream is down more
// often than the path, and others can take the work.
var pathBreaker = breaker.Settings{Consecutive: 1, Pause: 400 * time.Millisecond, MaxPause: 4 * time.Second, ProbeLimit: 3 * time.Second}

// Work is a request to be placed.
type Work struct {
	Service string
	Stream  bool
	// Prompt and Output are sizes in tokens; zero when unknown.
	Prompt, Output int
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
	// ID names the request in reports.
	ID string
	// lost accepts upstreams that count as lost: when all of a service do, the
	// silence is more likely that of the control instances.
	lost bool
	// Prefer names the upstream that holds a copy for the request, if any.
	Prefer string
}

func (w *Work) tokens() int {
	if !w.Stream {
		return 0
	}
	if w.Prompt == 0 {
		return unknownTokens
	}
	return w.Prompt + w.Output
}

// Choice is where a request is placed.
type Choice struct {
	// Ticket names the placement until End.
	Ticket   uint64
	Upstream registration.Upstream
	// Backup is the upstream that is to hold a copy, if any.
	Backup registration.Upstream
	// Wait is the expected time until the first event.
	Wait time.Duration
	// Why says in numbers what decided, for logs.
	Why Why
}

// Why explains a choice.
type Why struct {
	Known, Eligible int
	CostMS          float64
	Running, Tokens int
	ReportAge       time.Duration
}

// Refusal tells why a request cannot be placed.
type Refusal struct {
	// Known is the number of upstreams of the service.
	Known int
	// Retry is when another try may succeed.
	Retry time.Duration
	// Full tells that upstreams are up but have no memory left.
	Full bool
}

type upstream struct {
	registration.Upstream
	engine  *routing.Engine
	work    map[uint64]*placement
	tokens  int // of own work and copies
	copies  int
	breaker *breaker.Breaker
	// others is the load of other gateways in the last report.
	others   foreign
	reported time.Time
	// failing is the recent share of failed answers, as a moving average at the
	// time of the last answer.
	failing  float64
	answered time.Time
}

// foreign is the work of other gateways at an upstream.
type foreign struct {
	requests int
	// prompt is the part of their prompts that is not read yet, memory what they
	// take of the KV cache, both in tokens.
	prompt, memory int
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
	permit   breaker.Permit
}

// Fleet is what one gateway knows about the upstreams.
type Fleet struct {
	zone string
	rng  *rand.Rand
	byID map[string]*upstream
	// service holds the upstreams of each service in order of address.
	service map[string][]*upstream
	engines map[string]*routing.Engine
	tickets map[uint64]*placement
	last    uint64
	// duration is the moving average of the duration of streams.
	duration time.Duration
}

// New returns an empty fleet for a gateway in an availability zone.
func New(zone string, rng *rand.Rand) *Fleet {
	return &Fleet{zone: zone, rng: rng, byID: map[string]*upstream{}, service: map[string][]*upstream{},
		engines: map[string]*routing.Engine{}, tickets: map[uint64]*placement{}}
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
		f.unlist(u)
	}
	u.Upstream, u.engine = r, f.engines[r.Service]
	f.list(u)
}

func (f *Fleet) list(u *upstream) {
	list := f.service[u.Service]
	at, _ := slices.BinarySearchFunc(list, u, func(a, b *upstream) int { return strings.Compare(a.Addr, b.Addr) })
	f.service[u.Service] = slices.Insert(list, at, u)
}

func (f *Fleet) remove(u *upstream) {
	delete(f.byID, u.ID)
	f.unlist(u)
}

func (f *Fleet) unlist(u *upstream) {
	f.service[u.Service] = slices.DeleteFunc(f.service[u.Service], func(o *upstream) bool { return o == u })
}

// Len returns the number of upstreams that may get work.
func (f *Fleet) Len() int { return len(f.byID) }

// Place chooses the upstream of a request. The caller reports what comes of it
// with Started, Report, Fail and End.
func (f *Fleet) Place(now time.Time, w *Work) (Choice, *Refusal) {
	list := f.service[w.Service]
	best, why := f.best(now, w, f.sample(w, list), true)
	if best == nil {
		best, why = f.best(now, w, list, true)
	}
	if best == nil && !w.Stream {
		best, why = f.best(now, w, list, false)
	}
	if best == nil && !slices.ContainsFunc(list, func(u *upstream) bool { return u.State == registration.Ready }) {
		desperate := *w
		desperate.lost = true
		best, why = f.best(now, &desperate, list, true)
	}
	if best == nil {
		return Choice{}, f.refuse(now, w, list)
	}
	permit, ok := best.breaker.Allow(now)
	if !ok {
		return Choice{}, f.refuse(now, w, list)
	}
	f.last++
	p := &placement{id: w.ID, upstream: best, tokens: w.tokens(), prompt: w.Prompt, sent: now, stream: w.Stream, permit: permit}
	best.work[f.last] = p
	best.tokens += p.tokens
	f.tickets[f.last] = p
	why.Known, why.Running, why.Tokens = len(list), len(best.work), best.tokens
	if !best.reported.IsZero() {
		why.ReportAge = now.Sub(best.reported)
	}
	c := Choice{Ticket: f.last, Upstream: best.Upstream, Why: why, Wait: best.prefill(now)}
	if b := f.backup(now, w, best, list); b != nil {
		p.backup = b
		b.copies += p.tokens
		c.Backup = b.Upstream
	}
	return c, nil
}

// best returns the upstream with the lowest cost, untried ones only if fresh is
// set.
func (f *Fleet) best(now time.Time, w *Work, list []*upstream, fresh bool) (*upstream, Why) {
	var best *upstream
	var why Why
	home, usual := home(w, f.service[w.Service]), usualFailing(now, list)
	for _, u := range list {
		if !u.eligible(now, w) || fresh && slices.Contains(w.Tried, u.ID) {
			continue
		}
		why.Eligible++
		cost := f.cost(now, w, u, usual)
		if u == home {
			cost -= affinityMS
		}
		if best == nil || cost < why.CostMS {
			best, why.CostMS = u, cost
		}
	}
	return best, why
}

// sampledUpstreams bounds the upstreams that one placement looks at, so that
// its cost does not grow with the fleet; the better of a few random choices is
// nearly as good as the best.
const sampledUpstreams = 24

// sample returns the upstreams that a placement looks at: all of a small
// service, else random ones, the home of the request and the holder of its copy.
func (f *Fleet) sample(w *Work, list []*upstream) []*upstream {
	if len(list) <= sampledUpstreams {
		return list
	}
	out := make([]*upstream, 0, sampledUpstreams+2)
	for range sampledUpstreams {
		if u := list[f.rng.IntN(len(list))]; !slices.Contains(out, u) {
			out = append(out, u)
		}
	}
	for _, u := range []*upstream{home(w, list), f.byID[w.Prefer]} {
		if u != nil && u.Service == w.Service && !slices.Contains(out, u) {
			out = append(out, u)
		}
	}
	return out
}

// homeTries is how many places of the list are tried for a home that is up.
const homeTries = 4

// home is the upstream that requests with the same key go to, by a hash over
// the list in order of address, which outlasts the incarnations and is the same
// at every gateway.
func home(w *Work, list []*upstream) *upstream {
	if w.Affinity == "" || len(list) == 0 {
		return nil
	}
	for try := range homeTries {
		at := xxhash.Sum64String(w.Affinity+"#"+strconv.Itoa(try)) % uint64(len(list))
		if u := list[at]; u.State == registration.Ready {
			return u
		}
	}
	return nil
}

func (u *upstream) eligible(now time.Time, w *Work) bool {
	return (u.State == registration.Ready || w.lost && u.State == registration.Lost) && u.breaker.Ready(now) && u.fits(now, w)
}

// fits tells whether a request has room beside the work and the copies placed.
func (u *upstream) fits(now time.Time, w *Work) bool {
	if u.engine == nil || u.engine.MemoryTokens == 0 {
		return true
	}
	used := u.used(now)
	share := max(1-memoryStep*float64(w.Priority), leastMemoryShare)
	return used == 0 || used+float64(w.tokens()) <= share*float64(u.engine.MemoryTokens)
}

// used is the part of the KV cache that is taken, in tokens.
func (u *upstream) used(now time.Time) float64 {
	return float64(u.tokens+u.copies) + float64(u.others.memory)*u.trust(now)
}

// cost estimates in milliseconds what an upstream would cost the request; usual
// is the share of answers that fail in the service.
func (f *Fleet) cost(now time.Time, w *Work, u *upstream, usual float64) float64 {
	cost := f.rng.Float64() * jitterMS
	if u.Zone != f.zone {
		cost += otherZoneMS
	}
	if w.Prefer == u.ID {
		cost -= preferMS
	}
	each := float64(callMS)
	if w.Stream {
		each = runningMS
		cost += float64(u.prefill(now)) / float64(time.Millisecond)
		if u.engine != nil && u.engine.MemoryTokens > 0 {
			cost += memoryMS * u.used(now) / float64(u.engine.MemoryTokens)
		}
	}
	ahead := float64(len(u.work)) + float64(u.others.requests)*u.trust(now)
	return cost + each*ahead + failingMS*max(u.failingAt(now)-usual-failingSlack, 0)
}

const (
	// affinityMS is the gain of a prompt that may be in the cache; it is less than
	// the wait behind the usual prompt.
	affinityMS = 250
	// preferMS outweighs every other cost.
	preferMS = 1e6
	// memoryMS is the cost of a full KV cache against an empty one.
	memoryMS = 300
	// failingMS is the cost of an upstream all of whose answers fail while those
	// of the others succeed.
	failingMS = 600
	// failingSlack is the share by which an upstream may fail more often than the
	// others of its service before it is avoided; some kinds of call fail one
	// time in seven everywhere.
	failingSlack = 0.15
	// failingTime is the time constant by which old failures are forgotten, so
	// that an upstream which is avoided is tried again.
	failingTime = 4 * time.Second
)

// failingAt is the recent share of failed answers at a time.
func (u *upstream) failingAt(now time.Time) float64 {
	if u.answered.IsZero() {
		return 0
	}
	return u.failing * math.Exp(-now.Sub(u.answered).Seconds()/failingTime.Seconds())
}

// usualFailing is the median share of failed answers.
func usualFailing(now time.Time, list []*upstream) float64 {
	if len(list) == 0 {
		return 0
	}
	shares := make([]float64, 0, len(list))
	for _, u := range list {
		shares = append(shares, u.failingAt(now))
	}
	slices.Sort(shares)
	return shares[len(shares)/2]
}

// prefill is the time until the prompts sent there are read.
func (u *upstream) prefill(now time.Time) time.Duration {
	tokens := 0.0
	for _, p := range u.work {
		if p.started || !p.stream {
			continue
		}
		read := float64(now.Sub(p.sent).Milliseconds()) * prefillTokensPerMS
		tokens += max(float64(p.prompt)-read, 0)
	}
	elapsed := float64(now.Sub(u.reported).Milliseconds()) * prefillTokensPerMS
	tokens += max(float64(u.others.prompt)-elapsed, 0) * u.trust(now)
	return time.Duration(tokens / prefillTokensPerMS * float64(time.Millisecond))
}

// backup chooses the holder of a copy: in another availability zone, since the
// upstreams of a zone fail together, and where most memory is free.
func (f *Fleet) backup(now time.Time, w *Work, primary *upstream, list []*upstream) *upstream {
	if !w.Backup || primary.engine == nil || !primary.engine.Backups {
		return nil
	}
	var best *upstream
	lowest := 0.0
	for _, u := range f.sample(w, list) {
		if u == primary || u.Zone == primary.Zone || slices.Contains(w.Tried, u.ID) || !u.eligible(now, w) {
			continue
		}
		cost := float64(u.tokens+u.copies) + f.rng.Float64()*unknownTokens/2
		if u.Zone == f.zone {
			cost -= unknownTokens / 4
		}
		if best == nil || cost < lowest {
			best, lowest = u, cost
		}
	}
	return best
}

const (
	// minRetry is the least time after which another try makes sense.
	minRetry = 50 * time.Millisecond
	// unknownRetry is told when nothing says when an upstream will be free.
	unknownRetry = time.Second
	// durationShare is the weight of the newest stream in the moving average of
	// their duration.
	durationShare = 0.1
)

func (f *Fleet) refuse(now time.Time, w *Work, list []*upstream) *Refusal {
	r := &Refusal{Known: len(list), Retry: unknownRetry}
	for _, u := range list {
		if u.State != registration.Ready {
			continue
		}
		if u.breaker.Ready(now) && !u.fits(now, w) {
			r.Full = true
			r.Retry = min(r.Retry, u.nextEnd(now, f.duration))
			continue
		}
		r.Retry = min(r.Retry, u.breaker.RetryAt(now).Sub(now))
	}
	r.Retry = max(r.Retry, minRetry)
	return r
}

// nextEnd estimates the time until a stream at the upstream ends.
func (u *upstream) nextEnd(now time.Time, duration time.Duration) time.Duration {
	next := unknownRetry
	for _, p := range u.work {
		if p.stream && duration > 0 {
			next = min(next, max(duration-now.Sub(p.sent), 0))
		}
	}
	return next
}

// Started records the first sign of work on a request.
func (f *Fleet) Started(now time.Time, ticket uint64) {
	if p := f.tickets[ticket]; p != nil {
		p.started = true
		p.upstream.breaker.Record(now, p.permit, breaker.Succeeded)
	}
}

// failingShare is the weight of the newest answer in the moving average.
const failingShare = 0.15

// Answered records whether the upstream answered a request with success.
func (f *Fleet) Answered(now time.Time, ticket uint64, ok bool) {
	p := f.tickets[ticket]
	if p == nil {
		return
	}
	sample := 1.0
	if ok {
		sample = 0
	}
	u := p.upstream
	u.failing = u.failingAt(now)
	u.failing += failingShare * (sample - u.failing)
	u.answered = now
}

// Failed records that the path to the upstream broke or fell silent, so that it
// gets no work for a while.
func (f *Fleet) Failed(now time.Time, ticket uint64) {
	if p := f.tickets[ticket]; p != nil {
		p.upstream.breaker.Record(now, p.permit, breaker.ConnectFailed)
	}
}

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
	list := f.sample(w, f.service[w.Service])
	for len(out) < most {
		u, _ := f.best(now, &tried, list, true)
		if u == nil {
			break
		}
		out = append(out, u.Upstream)
		tried.Tried = append(tried.Tried, u.ID)
	}
	return out
}

// DropCopy frees what a copy was charged, for example once it has been used.
func (f *Fleet) DropCopy(ticket uint64) {
	if p := f.tickets[ticket]; p != nil && p.backup != nil {
		p.backup.copies -= p.tokens
		p.backup = nil
	}
}

// Renew chooses another holder for the copy of a request, after the former one
// has been lost. It returns false when there is none.
func (f *Fleet) Renew(now time.Time, ticket uint64, w *Work) (registration.Upstream, bool) {
	p := f.tickets[ticket]
	if p == nil {
		return registration.Upstream{}, false
	}
	f.DropCopy(ticket)
	b := f.backup(now, w, p.upstream, f.service[w.Service])
	if b == nil {
		return registration.Upstream{}, false
	}
	p.backup = b
	b.copies += p.tokens
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
		if f.duration == 0 {
			f.duration = took
		}
		f.duration += time.Duration(durationShare * float64(took-f.duration))
	}
	f.DropCopy(ticket)
	delete(f.tickets, ticket)
	delete(p.upstream.work, ticket)
	p.upstream.tokens -= p.tokens
}
