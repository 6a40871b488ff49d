package dispatch

import (
	"math"
	"slices"
	"time"

	"heatherway.dev/core/registration"
)

// Place chooses the upstream of a request. The caller reports what comes of it
// with Started, Report, Fail and End.
func (f *Fleet) Place(now time.Time, w *Request) (Choice, *Refusal) {
	list, homes := f.service[w.Service], f.homes(now, w)
	best, why := f.best(now, w, f.sample(w, list, homes), homes, true)
	if best == nil {
		best, why = f.best(now, w, list, homes, true)
	}
	if best == nil && !w.Stream {
		best, why = f.best(now, w, list, homes, false)
	}
	if best == nil && !slices.ContainsFunc(list, func(u *upstream) bool { return u.State == registration.Ready }) {
		anyway := *w
		anyway.lost = true
		best, why = f.best(now, &anyway, list, nil, true)
	}
	if best == nil {
		return Choice{}, f.refuse(now, w, list)
	}
	permit, ok := best.breaker.Allow(now)
	if !ok {
		return Choice{}, f.refuse(now, w, list)
	}
	ahead, learned := best.prefill(now), best.learned
	wait := ahead + time.Duration(learned.readMS(float64(w.PromptTokens))*float64(time.Millisecond))
	f.last++
	p := &placement{id: w.ID, upstream: best, tokens: w.tokens(learned), prompt: w.PromptTokens, sent: now, stream: w.Stream, permit: permit}
	if w.Stream {
		p.alone = ahead == 0 && w.Preferred == "" && w.CachedAt == ""
		learned.notePrompt(w.PromptTokens)
	} else {
		p.alone = len(best.work) == 0 && best.others.requests == 0
	}
	best.work[f.last] = p
	best.tokens += p.tokens
	f.tickets[f.last] = p
	why.Known, why.Running, why.Tokens = len(list), len(best.work), best.tokens
	if !best.reported.IsZero() {
		why.ReportAge = now.Sub(best.reported)
	}
	c := Choice{Ticket: f.last, Upstream: best.Upstream, Explanation: why, ExpectedWait: wait}
	if b := f.backup(now, w, best, list); b != nil {
		p.backup = b
		b.copies += p.tokens
		c.Backup = b.Upstream
	}
	return c, nil
}

// best returns the upstream with the lowest cost, untried ones only if fresh is
// set.
func (f *Fleet) best(now time.Time, w *Request, list, homes []*upstream, fresh bool) (*upstream, Explanation) {
	var best *upstream
	var why Explanation
	usual := usual{failing: usualFailing(now, list)}
	if w.Stream {
		usual.waits = usualWaits(now, list)
	}
	for _, u := range list {
		if !u.eligible(now, w) || fresh && slices.Contains(w.Tried, u.ID) {
			continue
		}
		why.Eligible++
		cost := f.cost(now, w, u, usual)
		if slices.Contains(homes, u) {
			cost -= affinityShare * u.learned.usualReadMS()
		}
		if best == nil || cost < why.CostMS {
			best, why.CostMS = u, cost
		}
	}
	return best, why
}

// sampledUpstreams bounds the upstreams that one placement looks at, so that
// its cost does not grow with the fleet; the better of a few random choices is
// nearly as good as the best. Half of them are of the gateway's availability zone.
const sampledUpstreams = 24

// sample returns the upstreams that a placement looks at: all of a small
// service, else random ones, the homes of the request and the holders of its copy or prompt.
func (f *Fleet) sample(w *Request, list, homes []*upstream) []*upstream {
	if len(list) <= sampledUpstreams {
		return list
	}
	out := make([]*upstream, 0, sampledUpstreams+homeCount+2)
	draw := func(from []*upstream, count int) {
		for range count {
			if u := from[f.rng.IntN(len(from))]; !slices.Contains(out, u) {
				out = append(out, u)
			}
		}
	}
	if g := f.groups[groupKey{w.Service, f.zone}]; g != nil && len(g.list) > 0 {
		draw(g.list, sampledUpstreams/2)
	}
	draw(list, sampledUpstreams/2)
	for _, u := range append(slices.Clone(homes), f.byID[w.Preferred], f.byID[w.CachedAt]) {
		if u != nil && u.Service == w.Service && !slices.Contains(out, u) {
			out = append(out, u)
		}
	}
	return out
}

const (
	// homeCount is the number of homes of a key in an availability zone. The least
	// loaded of three is rarely behind, so that few prompts are read elsewhere, and
	// they are few enough to be asked when a caller comes back.
	homeCount = 3
	// otherZones is how many other availability zones may be asked for the prompt of
	// a caller who comes back; callers reach another zone only when all gateways of
	// their own are away.
	otherZones = 3
)

// homes returns the upstreams that requests with the same key go to: the eligible
// ones that follow the key on the ring of the gateway's availability zone, or of
// the next one that has any and does not seem to have failed. They are the same at
// every gateway of the zone.
func (f *Fleet) homes(now time.Time, w *Request) []*upstream {
	if w.Affinity == "" {
		return nil
	}
	var suspect []*upstream
	for _, zone := range f.zonesFrom(w.Service) {
		homes := f.zoneHomes(now, w, zone)
		if len(homes) > 0 && !f.groups[groupKey{w.Service, zone}].suspect(now) {
			return homes
		}
		if suspect == nil {
			suspect = homes
		}
	}
	return suspect
}

func (f *Fleet) zoneHomes(now time.Time, w *Request, zone string) []*upstream {
	return f.groups[groupKey{w.Service, zone}].ring.after(w.Affinity, homeCount, func(u *upstream) bool { return u.eligible(now, w) })
}

// zonesFrom returns the availability zones of a service, the gateway's own first.
func (f *Fleet) zonesFrom(service string) []string {
	zones := f.zones[service]
	own, _ := slices.BinarySearch(zones, f.zone)
	return slices.Concat(zones[own:], zones[:own])
}

// AffinityUpstreams returns the upstreams that may hold the prompt of a caller who comes back:
// first those of the gateway's own availability zone, then those of others, which
// are to be asked if none of the first has it.
func (f *Fleet) AffinityUpstreams(now time.Time, w *Request) (own, others []registration.Upstream) {
	for _, u := range f.homesExcept(now, w, "") {
		if u.Zone == f.zone {
			own = append(own, u.Upstream)
		} else {
			others = append(others, u.Upstream)
		}
	}
	return own, others
}

func (u *upstream) eligible(now time.Time, w *Request) bool {
	up := u.State == registration.Ready || w.lost && u.State == registration.Lost
	return up && u.takesWork(now) && u.breaker.Ready(now) && u.fits(now, w)
}

// fits tells whether a request has room beside the work and the copies placed.
func (u *upstream) fits(now time.Time, w *Request) bool {
	if u.engine == nil || u.engine.MemoryTokens == 0 {
		return true
	}
	used := u.used(now)
	share := max(1-memoryStep*float64(w.Priority), leastMemoryShare)
	return used == 0 || used+float64(w.tokens(u.learned)) <= share*float64(u.engine.MemoryTokens)
}

// used is the part of the KV cache that is taken, in tokens.
func (u *upstream) used(now time.Time) float64 {
	return float64(u.tokens+u.copies) + float64(u.others.memory)*u.trust(now)
}

// usual describes the upstreams among which a placement chooses.
type usual struct {
	// failing is the share of answers that fail.
	failing float64
	// waits is the mean cost in milliseconds of the work of other gateways in each
	// availability zone, from upstreams with a recent report.
	waits map[string]float64
}

// usualWaits returns the mean cost of the work of other gateways by zone.
func usualWaits(now time.Time, list []*upstream) map[string]float64 {
	waits, weights := map[string]float64{}, map[string]float64{}
	for _, u := range list {
		if trust := u.trust(now); trust > 0 {
			waits[u.Zone] += trust * u.othersMS(now)
			weights[u.Zone] += trust
		}
	}
	for zone, weight := range weights {
		waits[zone] /= weight
	}
	return waits
}

// othersMS is the cost of the work of other gateways for a new stream, as the last
// report has it.
func (u *upstream) othersMS(now time.Time) float64 {
	return u.learned.readMS(u.unread(now)) + u.runningMS()*float64(u.others.requests)
}

// runningMS is the cost of one running stream beside a new one in milliseconds.
func (u *upstream) runningMS() float64 { return runningShare * u.learned.usualReadMS() }

// cost estimates in milliseconds what an upstream would cost the request.
func (f *Fleet) cost(now time.Time, w *Request, u *upstream, usual usual) float64 {
	cost := f.rng.Float64() * jitterMS
	switch {
	case u.Zone == f.zone:
	case !w.Stream, w.CachedAt == u.ID:
		cost += otherZoneMS
	default:
		cost += streamZoneShare * u.learned.usualReadMS()
	}
	if w.Preferred == u.ID {
		cost -= preferMS
	}
	if w.CachedAt == u.ID {
		cost -= cachedFactor * u.learned.readMS(float64(w.PromptTokens))
	}
	cost += failingMS * max(u.failingAt(now)-usual.failing-failingSlack, 0)
	trust := u.trust(now)
	if !w.Stream {
		return cost + u.learned.callMS*(float64(len(u.work))+float64(u.others.requests)*trust)
	}
	if u.engine != nil && u.engine.MemoryTokens > 0 {
		cost += memoryShare * u.learned.usualReadMS() * u.used(now) / float64(u.engine.MemoryTokens)
	}
	cost += failureMS * float64(f.groups[u.group()].recentFailures(now))
	if now.Sub(u.unreachable) < failureMemory {
		cost += unreachableMS
	}
	if w.CachedAt == u.ID {
		return cost + float64(u.prefill(now))/float64(time.Millisecond) // no prompt holds the others up
	}
	// One that has not reported is likely to be as loaded as those that have.
	cost += trust*u.othersMS(now) + (1-trust)*usual.waits[u.Zone]
	return cost + u.runningMS()*float64(len(u.work)) + u.ownPrefillMS(now)
}

const (
	// affinityShare is the gain of placing a prompt where its caller finds it again after
	// the loss of the gateway, as a share of the time to read the usual prompt.
	affinityShare = 0.5
	// cachedFactor is how many times the time to read its prompt a caller may wait
	// for the upstream that holds it: what is read anew is priced besides.
	cachedFactor = 2
	// preferMS outweighs every other cost.
	preferMS = 1e6
	// memoryShare is the cost of a full KV cache against an empty one, as a share of the
	// time to read the usual prompt.
	memoryShare = 0.3
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
	ms := u.ownPrefillMS(now) + u.trust(now)*u.learned.readMS(u.unread(now))
	return time.Duration(ms * float64(time.Millisecond))
}

// ownPrefillMS is the time to read what is left of this gateway's own prompts, in
// milliseconds.
func (u *upstream) ownPrefillMS(now time.Time) float64 {
	tokens := 0.0
	for _, p := range u.work {
		if p.started || !p.stream {
			continue
		}
		tokens += max(float64(p.prompt)-u.learned.read(now.Sub(p.sent)), 0)
	}
	return u.learned.readMS(tokens)
}

// backup chooses the holder of a copy: in another availability zone, since the
// upstreams of a zone fail together, and where most memory is free. A home of the
// prompt there is preferred: the caller finds it again after the stream has gone on
// at the copy.
func (f *Fleet) backup(now time.Time, w *Request, primary *upstream, list []*upstream) *upstream {
	if !w.Backup || primary.engine == nil || !primary.engine.SupportsBackups {
		return nil
	}
	homes := f.homesExcept(now, w, primary.Zone)
	letter := primary.learned.prompt // a copy of the usual size
	var best *upstream
	lowest := 0.0
	for _, u := range f.sample(w, list, homes) {
		if u == primary || u.Zone == primary.Zone || slices.Contains(w.Tried, u.ID) || !u.eligible(now, w) {
			continue
		}
		cost := float64(u.tokens+u.copies) + f.rng.Float64()*letter/2
		if slices.Contains(homes, u) {
			cost -= letter
		}
		if u.Zone == f.zone {
			cost -= letter / 4
		}
		if f.groups[u.group()].suspect(now) {
			cost += float64(primary.engine.MemoryTokens)
		}
		if best == nil || cost < lowest {
			best, lowest = u, cost
		}
	}
	return best
}

// homesExcept returns the homes of a prompt in the availability zones that are
// asked for it, without those of one zone.
func (f *Fleet) homesExcept(now time.Time, w *Request, except string) (out []*upstream) {
	if w.Affinity == "" {
		return nil
	}
	for i, zone := range f.zonesFrom(w.Service) {
		if i <= otherZones && zone != except {
			out = append(out, f.zoneHomes(now, w, zone)...)
		}
	}
	return out
}
