package dispatch

import (
	"math"
	"slices"
	"time"

	"heatherway.dev/core/registration"
)

// Place chooses the upstream for a request: the best of a sample, otherwise the best of all
// upstreams of the service, for plain calls otherwise one that has already failed the
// request, and otherwise, if no upstream is ready, one in state lost. The caller reports
// the outcome with RecordStarted, RecordLoad, RecordAnswer, RecordFailure and End.
func (f *Fleet) Place(now time.Time, req *Request) (Choice, *Refusal) {
	list, affinity := f.byService[req.Service], f.affinityTargets(now, req)
	best, explanation := f.drawn(now, req, list)
	if best == nil {
		best, explanation = f.best(now, req, f.sample(req, list, affinity), affinity, true)
	}
	if best == nil {
		best, explanation = f.best(now, req, list, affinity, true)
	}
	if best == nil {
		best, explanation = f.bestReplaced(now, req, list)
	}
	if best == nil && !req.Stream {
		best, explanation = f.best(now, req, list, affinity, false)
	}
	if best == nil && !slices.ContainsFunc(list, func(u *upstream) bool { return u.State == registration.Ready && f.hasVersion(u, req.Version) }) {
		relaxed := *req
		relaxed.allowLost = true
		best, explanation = f.best(now, &relaxed, list, nil, true)
	}
	if best == nil {
		return Choice{}, f.refusal(now, req, list)
	}
	if !best.limit.Available(now, f.contact) {
		return Choice{}, &Refusal{Known: len(list), Ask: f.wants(now, req, best, list)}
	}
	c, ok := f.take(now, req, best, explanation)
	if !ok {
		return Choice{}, f.refusal(now, req, list)
	}
	if b := f.chooseBackup(now, req, best, list); b != nil {
		f.reserveBackup(&c, b)
	}
	return c, nil
}

// take accounts for a request at an upstream, and returns false if the breaker of the upstream
// does not let the request through.
func (f *Fleet) take(now time.Time, req *Request, u *upstream, explanation Explanation) (Choice, bool) {
	permit, ok := u.breaker.Allow(now)
	if !ok {
		return Choice{}, false
	}
	u.limit.Take(now)
	f.countSent(req, u)
	prefillWait, est := u.prefillTime(now), u.estimate
	wait := prefillWait + time.Duration(u.prefillMS(now, float64(req.PromptTokens))*float64(time.Millisecond))
	f.lastTicket++
	p := &placement{id: req.ID, upstream: u, tokens: req.tokens(est), promptTokens: req.PromptTokens, sentAt: now, stream: req.Stream, permit: permit, route: req.Route, warmingUp: u.ColdMS > 0}
	if req.Stream {
		p.besideKnown = u.besideKnown(now)
		p.beside, p.cached = u.beside(now), req.Preferred != "" || req.CachedAt != ""
		p.uncontended = prefillWait == 0 && !p.cached
		est.addPrompt(u.limitPrompt(req.PromptTokens))
	} else {
		p.uncontended = len(u.inFlight) == 0 && u.others.requests == 0
	}
	u.inFlight[f.lastTicket] = p
	u.tokens += p.tokens
	f.tickets[f.lastTicket] = p
	explanation.Known, explanation.Running, explanation.Tokens = len(f.byService[req.Service]), len(u.inFlight), u.tokens
	if !u.reportedAt.IsZero() {
		explanation.ReportAge = now.Sub(u.reportedAt)
	}
	return Choice{Ticket: f.lastTicket, Upstream: u.Upstream, Version: f.version(u), Explanation: explanation, ExpectedWait: wait}, true
}

// reserveBackup reserves the KV cache for the backup of a placed request.
func (f *Fleet) reserveBackup(c *Choice, holder *upstream) {
	p := f.tickets[c.Ticket]
	p.backup = holder
	holder.backupTokens += p.tokens
	c.Backup = holder.Upstream
}

// best returns the upstream with the lowest cost. With untriedOnly, it skips upstreams
// that the request has tried.
func (f *Fleet) best(now time.Time, req *Request, list, affinity []*upstream, untriedOnly bool) (*upstream, Explanation) {
	var best *upstream
	var explanation Explanation
	baseline := baseline{failureRate: medianFailureRate(now, list)}
	if req.Stream {
		baseline.otherLoadMS = meanOtherLoadMS(now, list)
	} else {
		baseline.homeRoomMS = f.homeRoomMS(now, req, list, untriedOnly)
	}
	for _, u := range list {
		if !f.eligible(now, req, u) || untriedOnly && slices.Contains(req.Tried, u.ID) {
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

// sampleSize bounds the upstreams that one placement compares, so that its cost does not
// grow with the fleet; the best of a few random choices is nearly as good as the best of
// all. Half of the sample comes from the gateway's availability zone.
const sampleSize = 24

// sample returns the upstreams that a placement compares: all of a small service,
// otherwise a random sample plus the request's affinity upstreams and the holders of its
// backup and its cached prompt.
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
	// affinityCount is the number of upstreams in an availability zone that a key maps to.
	// The least loaded of three rarely has a backlog, so few prompts are placed elsewhere,
	// and three are few enough to be queried when a caller reconnects.
	affinityCount = 3
	// affinityOtherZones is the number of other availability zones that may be queried for
	// the prompt of a reconnecting caller. Callers reach another zone only when all
	// gateways of their own zone are down.
	affinityOtherZones = 3
)

// affinityTargets returns the upstreams that requests with the same key go to: the first
// eligible ones after the key on the hash ring of the gateway's availability zone, or of
// the next zone that has any and is not suspected down. All gateways of a zone compute the
// same ones.
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
	return f.groups[groupKey{req.Service, zone}].ring.lookup(req.Affinity, affinityCount, func(u *upstream) bool { return f.eligible(now, req, u) })
}

// zonesFrom returns the availability zones of a service in the order of their names,
// starting with the gateway's own.
func (f *Fleet) zonesFrom(service string) []string {
	zones := f.zones[service]
	own, _ := slices.BinarySearch(zones, f.zone)
	return slices.Concat(zones[own:], zones[:own])
}

// AffinityUpstreams returns the upstreams that may have the prompt of a reconnecting
// caller in their cache: own are those in the gateway's availability zone, others those in
// other zones, which are queried only if none of own has it.
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

func (f *Fleet) eligible(now time.Time, req *Request, u *upstream) bool {
	up := u.State == registration.Ready || req.allowLost && u.State == registration.Lost
	return up && f.hasVersion(u, req.Version) && f.admits(now, u, req) && u.acceptsWork(now) && u.breaker.Ready(now) && u.fits(now, req) && f.withinLimit(now, u, req)
}

// fits reports whether the KV cache has room for a request beside the requests and backups
// already placed. An upstream whose KV cache is empty accepts a request of any size, since
// a request larger than the share of its priority could never be placed otherwise.
func (u *upstream) fits(now time.Time, req *Request) bool {
	if u.engineSettings == nil || u.engineSettings.MemoryTokens == 0 {
		return true
	}
	used := u.used(now)
	share := max(1-priorityKVCacheStep*float64(req.Priority), minKVCacheShare)
	return used == 0 || used+float64(req.tokens(u.estimate)) <= share*float64(u.engineSettings.MemoryTokens)
}

// limitPrompt limits the stated size of a prompt to the KV cache. No larger prompt can run,
// and one absurd size would distort the mean for hundreds of requests.
func (u *upstream) limitPrompt(tokens int) int {
	if u.engineSettings == nil || u.engineSettings.MemoryTokens <= 0 {
		return tokens
	}
	return min(tokens, u.engineSettings.MemoryTokens)
}

// used returns the occupied KV cache in tokens.
func (u *upstream) used(now time.Time) float64 {
	return float64(u.tokens+u.backupTokens) + float64(u.others.kvTokens)*u.reportWeight(now)
}

// baseline describes the upstreams that a placement compares as a whole.
type baseline struct {
	// failureRate is the median failure rate.
	failureRate float64
	// otherLoadMS is, for each availability zone, the mean cost in milliseconds of the
	// load of other gateways, from upstreams with a recent report.
	otherLoadMS map[string]float64
	// homeRoomMS is the part of the cost of a plain call in the gateway's own zone that stands
	// for no wait.
	homeRoomMS float64
}

// meanOtherLoadMS returns the mean cost of the load of other gateways by availability
// zone, weighted by reportWeight.
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

// otherLoadMS returns the cost of the load of other gateways for a new stream, according
// to the last report.
func (u *upstream) otherLoadMS(now time.Time) float64 {
	return u.prefillMS(now, u.otherPrefillTokens(now)) + u.runningCostMS()*float64(u.others.requests)
}

// runningCostMS returns the cost in milliseconds of one running stream for a new one.
func (u *upstream) runningCostMS() float64 { return runningCostShare * u.estimate.typicalPrefillMS() }

// cost estimates the cost in milliseconds of placing a request at an upstream.
func (f *Fleet) cost(now time.Time, req *Request, u *upstream, baseline baseline) float64 {
	cost := f.rng.Float64() * costJitterMS
	switch {
	case u.Zone == f.zone:
	case !req.Stream, req.CachedAt == u.ID:
		cost += crossZoneCallMS + baseline.homeRoomMS
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
	cost += u.slownessCostMS(now, req)
	weight := u.reportWeight(now)
	if !req.Stream {
		return cost + u.callMS(now)*u.calls(now)
	}
	if u.engineSettings != nil && u.engineSettings.MemoryTokens > 0 {
		cost += kvCacheCostShare * u.estimate.typicalPrefillMS() * u.used(now) / float64(u.engineSettings.MemoryTokens)
	}
	cost += zoneFailureCostMS * float64(f.groups[u.groupKey()].recentFailures(now))
	if now.Sub(u.unreachableAt) < failureWindow {
		cost += unreachableCostMS
	}
	if req.CachedAt == u.ID {
		return cost + float64(u.prefillTime(now))/float64(time.Millisecond) // a cached prompt does not slow the running streams
	}
	// An upstream without a report is likely to be as loaded as those of its zone that
	// have reported.
	cost += weight*u.otherLoadMS(now) + (1-weight)*baseline.otherLoadMS[u.Zone]
	return cost + u.runningCostMS()*float64(len(u.inFlight)) + u.ownPrefillMS(now)
}

const (
	// affinityGainShare is the gain from placing a prompt where its caller finds it again
	// after the loss of the gateway, as a share of the typical prefill time.
	affinityGainShare = 0.5
	// cachedGainFactor is how long a caller may wait for the upstream that has its prompt
	// cached, as a multiple of the prefill time of that prompt. The prefill elsewhere is
	// counted separately.
	cachedGainFactor = 2
	// preferredGainMS outweighs every other cost.
	preferredGainMS = 1e6
	// kvCacheCostShare is the cost of a full KV cache compared with an empty one, as a
	// share of the typical prefill time.
	kvCacheCostShare = 0.3
	// failureRateCostMS is the cost of an upstream whose answers all fail while those of
	// the others succeed.
	failureRateCostMS = 600
	// failureRateTolerance is how far the failure rate of an upstream may exceed the
	// median of its service before requests avoid it; some kinds of call fail one time in
	// seven at every upstream.
	failureRateTolerance = 0.15
	// failureRateTimeConstant is the time constant with which old failures are forgotten,
	// so that an avoided upstream is tried again.
	failureRateTimeConstant = 4 * time.Second
)

// failureRateAt returns the failure rate, decayed to the given time.
func (u *upstream) failureRateAt(now time.Time) float64 {
	if u.answeredAt.IsZero() {
		return 0
	}
	return u.failureRate * math.Exp(-now.Sub(u.answeredAt).Seconds()/failureRateTimeConstant.Seconds())
}

// medianFailureRate returns the median failure rate of a list of upstreams.
func medianFailureRate(now time.Time, list []*upstream) float64 {
	if len(list) == 0 {
		return 0
	}
	rates := make([]float64, 0, len(list))
	for _, u := range list {
		rates = append(rates, u.failureRateAt(now))
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// prefillTime returns the time until all prompts sent to the upstream are prefilled.
func (u *upstream) prefillTime(now time.Time) time.Duration {
	ms := u.ownPrefillMS(now) + u.reportWeight(now)*u.prefillMS(now, u.otherPrefillTokens(now))
	return time.Duration(ms * float64(time.Millisecond))
}

// ownPrefillMS returns the time in milliseconds to prefill what is left of the prompts
// that this gateway has sent.
func (u *upstream) ownPrefillMS(now time.Time) float64 {
	tokens := 0.0
	for _, p := range u.inFlight {
		if p.prefilled || !p.stream {
			continue
		}
		tokens += max(float64(p.promptTokens)-u.prefillTokens(now, now.Sub(p.sentAt)), 0)
	}
	ms := u.prefillMS(now, tokens)
	if uneven := u.uneven(now); uneven > 0 {
		ms += uneven * (u.backlogMS(now) - ms)
	}
	return ms
}

// chooseBackup chooses the upstream for a backup: one of the same software version in another
// availability zone, since the upstreams of a zone fail together, and where least KV cache is
// taken. Affinity
// upstreams of the prompt are preferred, so that the caller finds the prompt there once the
// stream has resumed from the backup.
func (f *Fleet) chooseBackup(now time.Time, req *Request, primary *upstream, list []*upstream) *upstream {
	if !req.Backup || primary.engineSettings == nil || !primary.engineSettings.SupportsBackups {
		return nil
	}
	affinity := f.affinityTargetsOutside(now, req, primary.Zone)
	typicalPrompt := primary.estimate.meanPrompt // costs are in tokens of KV cache
	var best *upstream
	lowest := 0.0
	for _, u := range f.sample(req, list, affinity) {
		if u == primary || u.Zone == primary.Zone || !f.hasVersion(u, f.version(primary)) || slices.Contains(req.Tried, u.ID) || !f.eligible(now, req, u) {
			continue
		}
		cost := float64(u.tokens+u.backupTokens) + f.rng.Float64()*typicalPrompt/2
		if slices.Contains(affinity, u) {
			cost -= typicalPrompt
		}
		if u.Zone == f.zone {
			cost -= typicalPrompt / 4
		}
		if f.groups[u.groupKey()].suspectedDown(now) {
			cost += float64(primary.engineSettings.MemoryTokens)
		}
		if best == nil || cost < lowest {
			best, lowest = u, cost
		}
	}
	return best
}

// affinityTargetsOutside returns the affinity upstreams of a prompt in all availability
// zones that may be queried for it, except one zone.
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
