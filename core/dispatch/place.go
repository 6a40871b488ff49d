package dispatch

import (
	"math"
	"slices"
	"time"

	"heatherway.dev/core/registration"
)

// Place chooses the upstream of a request. The caller reports what comes of it
// with Started, Report, Fail and End.
func (f *Fleet) Place(now time.Time, req *Request) (Choice, *Refusal) {
	list, affinity := f.service[req.Service], f.affinityTargets(now, req)
	best, explanation := f.best(now, req, f.sample(req, list, affinity), affinity, true)
	if best == nil {
		best, explanation = f.best(now, req, list, affinity, true)
	}
	if best == nil && !req.Stream {
		best, explanation = f.best(now, req, list, affinity, false)
	}
	if best == nil && !slices.ContainsFunc(list, func(u *upstream) bool { return u.State == registration.Ready }) {
		relaxed := *req
		relaxed.allowLost = true
		best, explanation = f.best(now, &relaxed, list, nil, true)
	}
	if best == nil {
		return Choice{}, f.refusal(now, req, list)
	}
	permit, ok := best.breaker.Allow(now)
	if !ok {
		return Choice{}, f.refusal(now, req, list)
	}
	prefillWait, est := best.prefillTime(now), best.estimate
	wait := prefillWait + time.Duration(est.prefillMS(float64(req.PromptTokens))*float64(time.Millisecond))
	f.lastTicket++
	p := &placement{id: req.ID, upstream: best, tokens: req.tokens(est), prompt: req.PromptTokens, sent: now, stream: req.Stream, permit: permit}
	if req.Stream {
		p.uncontended = prefillWait == 0 && req.Preferred == "" && req.CachedAt == ""
		est.addPrompt(req.PromptTokens)
	} else {
		p.uncontended = len(best.work) == 0 && best.others.requests == 0
	}
	best.work[f.lastTicket] = p
	best.tokens += p.tokens
	f.tickets[f.lastTicket] = p
	explanation.Known, explanation.Running, explanation.Tokens = len(list), len(best.work), best.tokens
	if !best.reportedAt.IsZero() {
		explanation.ReportAge = now.Sub(best.reportedAt)
	}
	c := Choice{Ticket: f.lastTicket, Upstream: best.Upstream, Explanation: explanation, ExpectedWait: wait}
	if b := f.chooseBackup(now, req, best, list); b != nil {
		p.backup = b
		b.backupTokens += p.tokens
		c.Backup = b.Upstream
	}
	return c, nil
}

// best returns the upstream with the lowest cost, untried ones only if fresh is
// set.
func (f *Fleet) best(now time.Time, req *Request, list, affinity []*upstream, untriedOnly bool) (*upstream, Explanation) {
	var best *upstream
	var explanation Explanation
	baseline := baseline{failureRate: medianFailureRate(now, list)}
	if req.Stream {
		baseline.otherLoadMS = meanOtherLoadMS(now, list)
	}
	for _, u := range list {
		if !u.eligible(now, req) || untriedOnly && slices.Contains(req.Tried, u.ID) {
			continue
		}
		explanation.Eligible++
		cost := f.cost(now, req, u, baseline)
		if slices.Contains(affinity, u) {
			cost -= affinityGainShare * u.estimate.typicalPrefillMS()
		}
		if best == nil || cost < explanation.CostMS {
			best, explanation.CostMS = u, cost
		}
	}
	return best, explanation
}

// sampledUpstreams bounds the upstreams that one placement looks at, so that
// its cost does not grow with the fleet; the better of a few random choices is
// nearly as good as the best. Half of them are of the gateway's availability zone.
const sampleSize = 24

// sample returns the upstreams that a placement looks at: all of a small
// service, else random ones, the homes of the request and the holders of its copy or prompt.
func (f *Fleet) sample(req *Request, list, affinity []*upstream) []*upstream {
	if len(list) <= sampleSize {
		return list
	}
	out := make([]*upstream, 0, sampleSize+affinityCount+2)
	draw := func(from []*upstream, count int) {
		for range count {
			if u := from[f.rng.IntN(len(from))]; !slices.Contains(out, u) {
				out = append(out, u)
			}
		}
	}
	if g := f.groups[groupKey{req.Service, f.zone}]; g != nil && len(g.upstreams) > 0 {
		draw(g.upstreams, sampleSize/2)
	}
	draw(list, sampleSize/2)
	for _, u := range append(slices.Clone(affinity), f.byID[req.Preferred], f.byID[req.CachedAt]) {
		if u != nil && u.Service == req.Service && !slices.Contains(out, u) {
			out = append(out, u)
		}
	}
	return out
}

const (
	// homeCount is the number of homes of a key in an availability zone. The least
	// loaded of three is rarely behind, so that few prompts are read elsewhere, and
	// they are few enough to be asked when a caller comes back.
	affinityCount = 3
	// otherZones is how many other availability zones may be asked for the prompt of
	// a caller who comes back; callers reach another zone only when all gateways of
	// their own are away.
	affinityOtherZones = 3
)

// homes returns the upstreams that requests with the same key go to: the eligible
// ones that follow the key on the ring of the gateway's availability zone, or of
// the next one that has any and does not seem to have failed. They are the same at
// every gateway of the zone.
func (f *Fleet) affinityTargets(now time.Time, req *Request) []*upstream {
	if req.Affinity == "" {
		return nil
	}
	var fallback []*upstream
	for _, zone := range f.zonesFrom(req.Service) {
		affinity := f.zoneAffinityTargets(now, req, zone)
		if len(affinity) > 0 && !f.groups[groupKey{req.Service, zone}].suspectedDown(now) {
			return affinity
		}
		if fallback == nil {
			fallback = affinity
		}
	}
	return fallback
}

func (f *Fleet) zoneAffinityTargets(now time.Time, req *Request, zone string) []*upstream {
	return f.groups[groupKey{req.Service, zone}].ring.lookup(req.Affinity, affinityCount, func(u *upstream) bool { return u.eligible(now, req) })
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
func (f *Fleet) AffinityUpstreams(now time.Time, req *Request) (own, others []registration.Upstream) {
	for _, u := range f.affinityTargetsOutside(now, req, "") {
		if u.Zone == f.zone {
			own = append(own, u.Upstream)
		} else {
			others = append(others, u.Upstream)
		}
	}
	return own, others
}

func (u *upstream) eligible(now time.Time, req *Request) bool {
	up := u.State == registration.Ready || req.allowLost && u.State == registration.Lost
	return up && u.acceptsWork(now) && u.breaker.Ready(now) && u.fits(now, req)
}

// fits tells whether a request has room beside the work and the copies placed.
func (u *upstream) fits(now time.Time, req *Request) bool {
	if u.engine == nil || u.engine.MemoryTokens == 0 {
		return true
	}
	used := u.used(now)
	share := max(1-priorityMemoryStep*float64(req.Priority), minMemoryShare)
	return used == 0 || used+float64(req.tokens(u.estimate)) <= share*float64(u.engine.MemoryTokens)
}

// used is the part of the KV cache that is taken, in tokens.
func (u *upstream) used(now time.Time) float64 {
	return float64(u.tokens+u.backupTokens) + float64(u.others.kvTokens)*u.reportWeight(now)
}

// usual describes the upstreams among which a placement chooses.
type baseline struct {
	// failing is the share of answers that fail.
	failureRate float64
	// waits is the mean cost in milliseconds of the work of other gateways in each
	// availability zone, from upstreams with a recent report.
	otherLoadMS map[string]float64
}

// usualWaits returns the mean cost of the work of other gateways by zone.
func meanOtherLoadMS(now time.Time, list []*upstream) map[string]float64 {
	costs, weights := map[string]float64{}, map[string]float64{}
	for _, u := range list {
		if weight := u.reportWeight(now); weight > 0 {
			costs[u.Zone] += weight * u.otherLoadMS(now)
			weights[u.Zone] += weight
		}
	}
	for zone, weight := range weights {
		costs[zone] /= weight
	}
	return costs
}

// othersMS is the cost of the work of other gateways for a new stream, as the last
// report has it.
func (u *upstream) otherLoadMS(now time.Time) float64 {
	return u.estimate.prefillMS(u.otherPrefillTokens(now)) + u.runningCostMS()*float64(u.others.requests)
}

// runningMS is the cost of one running stream beside a new one in milliseconds.
func (u *upstream) runningCostMS() float64 { return runningCostShare * u.estimate.typicalPrefillMS() }

// cost estimates in milliseconds what an upstream would cost the request.
func (f *Fleet) cost(now time.Time, req *Request, u *upstream, baseline baseline) float64 {
	cost := f.rng.Float64() * costJitterMS
	switch {
	case u.Zone == f.zone:
	case !req.Stream, req.CachedAt == u.ID:
		cost += crossZoneCallMS
	default:
		cost += crossZoneStreamShare * u.estimate.typicalPrefillMS()
	}
	if req.Preferred == u.ID {
		cost -= preferredGainMS
	}
	if req.CachedAt == u.ID {
		cost -= cachedGainFactor * u.estimate.prefillMS(float64(req.PromptTokens))
	}
	cost += failureRateCostMS * max(u.failureRateAt(now)-baseline.failureRate-failureRateTolerance, 0)
	weight := u.reportWeight(now)
	if !req.Stream {
		return cost + u.estimate.meanCallMS*(float64(len(u.work))+float64(u.others.requests)*weight)
	}
	if u.engine != nil && u.engine.MemoryTokens > 0 {
		cost += memoryCostShare * u.estimate.typicalPrefillMS() * u.used(now) / float64(u.engine.MemoryTokens)
	}
	cost += zoneFailureCostMS * float64(f.groups[u.group()].recentFailures(now))
	if now.Sub(u.unreachableAt) < failureWindow {
		cost += unreachableCostMS
	}
	if req.CachedAt == u.ID {
		return cost + float64(u.prefillTime(now))/float64(time.Millisecond) // no prompt holds the others up
	}
	// One that has not reported is likely to be as loaded as those that have.
	cost += weight*u.otherLoadMS(now) + (1-weight)*baseline.otherLoadMS[u.Zone]
	return cost + u.runningCostMS()*float64(len(u.work)) + u.ownPrefillMS(now)
}

const (
	// affinityShare is the gain of placing a prompt where its caller finds it again after
	// the loss of the gateway, as a share of the time to read the usual prompt.
	affinityGainShare = 0.5
	// cachedFactor is how many times the time to read its prompt a caller may wait
	// for the upstream that holds it: what is read anew is priced besides.
	cachedGainFactor = 2
	// preferMS outweighs every other cost.
	preferredGainMS = 1e6
	// memoryShare is the cost of a full KV cache against an empty one, as a share of the
	// time to read the usual prompt.
	memoryCostShare = 0.3
	// failingMS is the cost of an upstream all of whose answers fail while those
	// of the others succeed.
	failureRateCostMS = 600
	// failingSlack is the share by which an upstream may fail more often than the
	// others of its service before it is avoided; some kinds of call fail one
	// time in seven everywhere.
	failureRateTolerance = 0.15
	// failingTime is the time constant by which old failures are forgotten, so
	// that an upstream which is avoided is tried again.
	failureRateTimeConstant = 4 * time.Second
)

// failingAt is the recent share of failed answers at a time.
func (u *upstream) failureRateAt(now time.Time) float64 {
	if u.answeredAt.IsZero() {
		return 0
	}
	return u.failureRate * math.Exp(-now.Sub(u.answeredAt).Seconds()/failureRateTimeConstant.Seconds())
}

// usualFailing is the median share of failed answers.
func medianFailureRate(now time.Time, list []*upstream) float64 {
	if len(list) == 0 {
		return 0
	}
	shares := make([]float64, 0, len(list))
	for _, u := range list {
		shares = append(shares, u.failureRateAt(now))
	}
	slices.Sort(shares)
	return shares[len(shares)/2]
}

// prefill is the time until the prompts sent there are read.
func (u *upstream) prefillTime(now time.Time) time.Duration {
	ms := u.ownPrefillMS(now) + u.reportWeight(now)*u.estimate.prefillMS(u.otherPrefillTokens(now))
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
		tokens += max(float64(p.prompt)-u.estimate.prefillTokens(now.Sub(p.sent)), 0)
	}
	return u.estimate.prefillMS(tokens)
}

// backup chooses the holder of a copy: in another availability zone, since the
// upstreams of a zone fail together, and where most memory is free. A home of the
// prompt there is preferred: the caller finds it again after the stream has gone on
// at the copy.
func (f *Fleet) chooseBackup(now time.Time, req *Request, primary *upstream, list []*upstream) *upstream {
	if !req.Backup || primary.engine == nil || !primary.engine.SupportsBackups {
		return nil
	}
	affinity := f.affinityTargetsOutside(now, req, primary.Zone)
	typicalPrompt := primary.estimate.meanPrompt // a copy of the usual size
	var best *upstream
	lowest := 0.0
	for _, u := range f.sample(req, list, affinity) {
		if u == primary || u.Zone == primary.Zone || slices.Contains(req.Tried, u.ID) || !u.eligible(now, req) {
			continue
		}
		cost := float64(u.tokens+u.backupTokens) + f.rng.Float64()*typicalPrompt/2
		if slices.Contains(affinity, u) {
			cost -= typicalPrompt
		}
		if u.Zone == f.zone {
			cost -= typicalPrompt / 4
		}
		if f.groups[u.group()].suspectedDown(now) {
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
func (f *Fleet) affinityTargetsOutside(now time.Time, req *Request, except string) (out []*upstream) {
	if req.Affinity == "" {
		return nil
	}
	for i, zone := range f.zonesFrom(req.Service) {
		if i <= affinityOtherZones && zone != except {
			out = append(out, f.zoneAffinityTargets(now, req, zone)...)
		}
	}
	return out
}
