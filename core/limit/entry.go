package limit

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// demandMemory is the time constant of the demand estimate.
	demandTimeConstant = 2 * time.Second
	// needAge is how long a refused request makes its organisation ask.
	unmetNeedTTL = time.Second
	// returnBefore is the remaining life of a lease at which the part that
	// demand will not use is returned.
	returnWindow = LeaseDuration / 4
	// slack leases a little more than the demand, as an estimate lags a rise.
	demandHeadroom = 1.5
	// refill is the part of the horizon's demand below which an entry asks.
	prefetchFraction = 0.5
	// forgetAfter drops organisations that an entry has not seen.
	organisationIdleTimeout = 2 * time.Minute
)

// fullAllowance is the most that an entry admits without a lease at once.
var maxAllowance = Amount{AllowanceTokens, AllowanceRequests}

// Limiter admits the requests that reach one entry.
type Limiter struct {
	id            string
	entries       int
	organisations map[string]*orgState
	active        map[*orgState]struct{} // those that may have a message to send
	lastNumber    uint64
	sendTimes     [MaxLeaseRequestsPerSecond]time.Time // ring of the last messages
	nextSend      int
	lastSweep     time.Time
}

// NewLimiter returns the state of an entry whose id includes its incarnation.
// The number of entries is an upper bound of those that run at the same time.
func NewLimiter(id string, entries int) *Limiter {
	return &Limiter{
		id: id, entries: max(entries, 1),
		organisations: map[string]*orgState{}, active: map[*orgState]struct{}{},
	}
}

// SetEntries changes the number of entries.
func (l *Limiter) SetEntries(n int) { l.entries = max(n, 1) }

// tally is what an entry holds of one organisation.
type orgState struct {
	name          string
	limit         Limit
	demand        Amount
	updated       time.Time // of demand and allowance
	allowance     Amount
	leases        []lease
	debt          Amount
	lastCost      Amount // cost of the last request
	unmetNeed     Amount
	refusedAt     time.Time
	waitUntil     time.Time
	awaitingGrant bool
	request       LeaseRequest // the last one
	requestedAt   time.Time    // when it was first sent
	resendAt      time.Time
	unapplied     uint64
}

// Decision is the answer to a request.
type Decision struct {
	Admitted bool
	// RetryAfter is the least time until the request may be admitted.
	RetryAfter time.Duration
	// AwaitLease tells that a lease may admit it after one round trip to the owner:
	// the role may hold it for AskTimeout and then call Again.
	AwaitLease bool
}

// Admit decides on a request and counts it as demand.
func (l *Limiter) Admit(now time.Time, organisation string, limit Limit, cost Amount) Decision {
	if limit.Unlimited() {
		return Decision{Admitted: true}
	}
	org := l.organisation(now, organisation, limit)
	cost = limit.limitedPart(cost).Min(limit.Burst)
	org.lastCost = cost
	org.demand = org.demand.Add(cost.Scale(1 / demandTimeConstant.Seconds()))
	return org.admit(now, cost)
}

// Recheck decides on a request that was held for a lease.
func (l *Limiter) Recheck(now time.Time, organisation string, limit Limit, cost Amount) Decision {
	if limit.Unlimited() {
		return Decision{Admitted: true}
	}
	org := l.organisation(now, organisation, limit)
	return org.admit(now, limit.limitedPart(cost).Min(limit.Burst))
}

// Charge charges work that was not known at admission, such as output tokens.
// What the entry cannot pay becomes a debt that is paid before the next
// admission.
func (l *Limiter) Charge(now time.Time, organisation string, limit Limit, more Amount) {
	if limit.Unlimited() {
		return
	}
	org := l.organisation(now, organisation, limit)
	more = limit.limitedPart(more)
	org.demand = org.demand.Add(more.Scale(1 / demandTimeConstant.Seconds()))
	org.debt = org.debt.Add(more)
	org.payDebt()
}

func (l *Limiter) organisation(now time.Time, name string, limit Limit) *orgState {
	l.sweep(now)
	org := l.organisations[name]
	if org == nil {
		org = &orgState{name: name, updated: now}
		org.allowance = maxAllowance
		l.organisations[name] = org
	}
	org.limit = limit
	org.advance(now, l.entries)
	l.active[org] = struct{}{}
	return org
}

// advance decays the demand, fills the allowance and drops ended leases. A
// returned lease is not returned again: without an answer its tokens are lost,
// which is safe.
func (s *orgState) advance(now time.Time, entries int) {
	if s.awaitingGrant && s.request.Want.IsZero() && !now.Before(s.resendAt) {
		s.awaitingGrant = false
	}
	if elapsed := now.Sub(s.updated).Seconds(); elapsed > 0 {
		s.demand = s.demand.Scale(math.Exp(-elapsed / demandTimeConstant.Seconds()))
		s.allowance = s.allowance.Add(s.limit.Rate.Scale(elapsed * s.limit.UnleasedShare / float64(entries)))
		s.updated = now
	}
	s.allowance = s.allowance.Min(maxAllowance)
	s.leases = slices.DeleteFunc(s.leases, func(l lease) bool { return !now.Before(l.expires) })
}

func (s *orgState) available() Amount {
	sum := s.allowance
	for _, l := range s.leases {
		sum = sum.Add(l.amount)
	}
	return sum
}

func (s *orgState) admit(now time.Time, cost Amount) Decision {
	s.payDebt()
	if s.debt.IsZero() && s.available().Covers(cost) {
		s.spend(cost)
		return Decision{Admitted: true}
	}
	s.unmetNeed, s.refusedAt = cost.Add(s.debt).Sub(s.available()).Min(s.limit.Burst), now
	wait := max(s.waitUntil.Sub(now), 0)
	return Decision{RetryAfter: wait, AwaitLease: wait == 0}
}

func (s *orgState) payDebt() {
	part := s.debt.Min(s.available())
	s.spend(part)
	s.debt = s.debt.Sub(part)
}

// take uses the allowance first, which fills again by itself, and then the
// leases in order of their end.
func (s *orgState) spend(cost Amount) {
	part := cost.Min(s.allowance)
	s.allowance = s.allowance.Sub(part)
	cost = cost.Sub(part)
	for i := range s.leases {
		part = cost.Min(s.leases[i].amount)
		s.leases[i].amount = s.leases[i].amount.Sub(part)
		cost = cost.Sub(part)
	}
}

// LeaseRequests returns the messages to send now, at most MaxAsks in any second. The
// role calls it every 100 ms and whenever a Verdict has Asking set.
func (l *Limiter) LeaseRequests(now time.Time) []LeaseRequest {
	candidates := l.candidates(now)
	horizon := l.horizon(candidates)
	var out []LeaseRequest
	for _, cand := range candidates {
		if !l.allowSend(now) {
			break
		}
		out = append(out, l.newRequest(now, cand, horizon))
	}
	return out
}

type candidate struct {
	org *orgState
	// order is the urgency: 0 for a refused request, 1 for a message without an
	// answer, 2 for a lease ahead, 3 for a return.
	priority    int
	secondsLeft float64 // seconds until the tokens in hand are used
}

func (l *Limiter) candidates(now time.Time) []candidate {
	var out []candidate
	for org := range l.active {
		org.advance(now, l.entries)
		if priority, ok := org.requestPriority(now); ok {
			out = append(out, candidate{org, priority, org.secondsLeft()})
		} else if org.idle(now) {
			delete(l.active, org)
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		switch {
		case a.priority != b.priority:
			return a.priority - b.priority
		case a.priority == 0 && !a.org.requestedAt.Equal(b.org.requestedAt):
			// Otherwise one that floods would take every message from those that
			// seldom ask.
			return a.org.requestedAt.Compare(b.org.requestedAt)
		case a.secondsLeft != b.secondsLeft:
			return int(math.Copysign(1, a.secondsLeft-b.secondsLeft))
		}
		return strings.Compare(a.org.name, b.org.name)
	})
	return out
}

// wants tells whether an organisation sends a message, and how urgently.
func (s *orgState) requestPriority(now time.Time) (priority int, ok bool) {
	switch {
	case s.awaitingGrant:
		return 1, !now.Before(s.resendAt)
	case now.Before(s.waitUntil):
		return 0, false
	case !s.unmetNeed.IsZero() && now.Sub(s.refusedAt) < unmetNeedTTL:
		return 0, true
	case s.demand.Requests > PrefetchThreshold && s.secondsLeft() < prefetchFraction*Horizon.Seconds():
		return 2, true
	case !s.surplus(now).IsZero():
		return 3, true
	}
	return 0, false
}

// idle tells that only another request can make the organisation ask.
func (s *orgState) idle(now time.Time) bool {
	return !s.awaitingGrant && len(s.leases) == 0 && now.Sub(s.refusedAt) >= unmetNeedTTL && s.demand.Requests <= PrefetchThreshold
}

func (s *orgState) secondsLeft() float64 {
	available, seconds := s.available(), math.Inf(1)
	if s.demand.Requests > tolerance {
		seconds = min(seconds, available.Requests/s.demand.Requests)
	}
	if s.demand.Tokens > tolerance {
		seconds = min(seconds, available.Tokens/s.demand.Tokens)
	}
	return seconds
}

// surplus is what demand will not use of the lease that ends first, once that
// is soon.
func (s *orgState) surplus(now time.Time) Amount {
	for _, l := range s.leases {
		remaining := l.expires.Sub(now)
		if remaining > returnWindow {
			break
		}
		if !l.amount.IsZero() {
			return l.amount.Sub(s.demand.Scale(demandHeadroom * remaining.Seconds()))
		}
	}
	return Amount{}
}

// horizon is longer when more organisations ask than MaxAsks allows a second.
func (l *Limiter) horizon(candidates []candidate) time.Duration {
	prefetching := 0
	for org := range l.active {
		if org.demand.Requests > PrefetchThreshold {
			prefetching++
		}
	}
	turns := float64(max(prefetching, len(candidates))) / MaxLeaseRequestsPerSecond
	return min(max(Horizon, time.Duration(turns*float64(Horizon))), LeaseDuration/2)
}

// takeSlot keeps to MaxAsks messages in any second.
func (l *Limiter) allowSend(now time.Time) bool {
	if !l.sendTimes[l.nextSend].IsZero() && now.Sub(l.sendTimes[l.nextSend]) < time.Second {
		return false
	}
	l.sendTimes[l.nextSend] = now
	l.nextSend = (l.nextSend + 1) % MaxLeaseRequestsPerSecond
	return true
}

func (l *Limiter) newRequest(now time.Time, cand candidate, horizon time.Duration) LeaseRequest {
	org := cand.org
	org.resendAt = now.Add(LeaseRequestTimeout)
	if cand.priority == 1 && now.Sub(org.requestedAt) < LeaseDuration-LeaseRequestTimeout {
		return org.request
	}
	if org.awaitingGrant {
		org.unapplied = org.request.Number
	}
	l.lastNumber++
	org.request = LeaseRequest{
		Organisation: org.name, Entry: l.id, Number: l.lastNumber,
		Demand: org.demand.roundUp(), Unapplied: org.unapplied,
	}
	if cand.priority == 3 {
		org.request.Lease, org.request.Unused = org.returnSurplus(now)
	} else {
		org.request.Need = org.minimumLease(now).roundUp()
		org.request.Want = org.demand.Scale(demandHeadroom * horizon.Seconds()).roundUp().Max(org.request.Need)
	}
	org.unapplied = 0
	org.awaitingGrant, org.requestedAt = true, now
	return org.request
}

// least is the smallest useful lease: what the refused request lacks, or one
// more request like the last.
func (s *orgState) minimumLease(now time.Time) Amount {
	if now.Sub(s.refusedAt) < unmetNeedTTL {
		return s.unmetNeed
	}
	return s.lastCost
}

// giveBack takes the surplus out of the lease that ends first.
func (s *orgState) returnSurplus(now time.Time) (number uint64, returned Amount) {
	returned = s.surplus(now).roundDown()
	for i := range s.leases {
		if l := &s.leases[i]; !l.amount.IsZero() {
			l.amount = l.amount.Sub(returned)
			return l.number, returned
		}
	}
	return 0, Amount{}
}

// Apply takes the owner's answer. An answer to an older Ask, or a second
// answer, is dropped; so is one whose lease has ended on the way.
func (l *Limiter) Apply(now time.Time, g Grant) {
	org := l.organisations[g.Organisation]
	if org == nil || g.Entry != l.id || !org.awaitingGrant || g.Number != org.request.Number {
		return
	}
	org.awaitingGrant = false
	org.waitUntil = now.Add(g.Wait)
	if g.Amount.IsZero() {
		return
	}
	until := org.requestedAt.Add(LeaseDuration)
	if !now.Before(until) {
		org.unapplied = g.Number
		return
	}
	org.unmetNeed = Amount{}
	org.leases = append(org.leases, lease{g.Number, g.Amount, until})
	org.payDebt()
}

// sweep forgets organisations without recent requests, but only with a full
// allowance: a forgotten one starts again with a full one.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for name, org := range l.organisations {
		if now.Sub(org.updated) <= organisationIdleTimeout {
			continue
		}
		org.advance(now, l.entries)
		if org.debt.IsZero() && org.allowance.Covers(org.limit.limitedPart(maxAllowance)) {
			delete(l.organisations, name)
			delete(l.active, org)
		}
	}
}
