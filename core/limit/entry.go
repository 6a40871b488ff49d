package limit

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// demandTimeConstant is the time constant of the exponentially decaying
	// demand estimate.
	demandTimeConstant = 2 * time.Second
	// unmetNeedTTL is how long after a rejected request the limiter still asks
	// for a lease that covers it.
	unmetNeedTTL = time.Second
	// returnWindow is the remaining validity of a lease at which the part that
	// demand will not use is returned to the owner.
	returnWindow = LeaseDuration / 4
	// demandHeadroom is the factor by which leases exceed the estimated demand,
	// because the estimate lags behind a rise.
	demandHeadroom = 1.5
	// prefetchFraction is the fraction of Horizon below which an entry prefetches
	// a lease: the available tokens last for less than that time.
	prefetchFraction = 0.5
	// organisationIdleTimeout is how long an organisation without requests keeps
	// its state.
	organisationIdleTimeout = 2 * time.Minute
)

// maxAllowance is the largest burst that an entry admits without a lease.
var maxAllowance = Amount{AllowanceTokens, AllowanceRequests}

// Limiter decides on the requests of all organisations at one entry. It is not
// safe for concurrent use.
type Limiter struct {
	id            string
	entries       int
	organisations map[string]*orgState
	active        map[*orgState]struct{} // organisations that may need to send a message
	lastNumber    uint64
	sendTimes     [MaxLeaseRequestsPerSecond]time.Time // ring buffer of the times of the last messages
	nextSend      int
	lastSweep     time.Time
}

// NewLimiter returns the limiter of an entry. The id must include the entry's
// incarnation, and entries must be an upper bound of the number of entries that
// run at the same time.
func NewLimiter(id string, entries int) *Limiter {
	return &Limiter{
		id: id, entries: max(entries, 1),
		organisations: map[string]*orgState{}, active: map[*orgState]struct{}{},
	}
}

// SetEntries changes the upper bound of the number of entries.
func (l *Limiter) SetEntries(n int) { l.entries = max(n, 1) }

// orgState is the state of one organisation at an entry.
type orgState struct {
	name             string
	limit            Limit
	demand           Amount
	updated          time.Time // when demand and allowance were last updated
	allowance        Amount
	leases           []lease
	debt             Amount       // charged work that the available tokens did not cover
	lastCost         Amount       // cost of the last request
	unmetNeed        Amount       // what the last rejected request lacked
	rejectedAt       time.Time    // when unmetNeed was set
	waitUntil        time.Time    // the owner asked to send no lease request before
	awaitingGrant    bool         // leaseRequest has no answer yet
	leaseRequest     LeaseRequest // the latest one
	leaseRequestedAt time.Time    // when leaseRequest was first sent
	resendAt         time.Time
	unapplied        uint64 // see LeaseRequest.Unapplied; for the next message
}

// Decision is the limiter's decision on a request.
type Decision struct {
	Admitted bool
	// RetryAfter is the minimum time until the request may be admitted.
	RetryAfter time.Duration
	// AwaitLease reports that a lease may allow the request after one round trip
	// to the owner. The caller may hold the request for up to
	// LeaseRequestTimeout and then call Recheck.
	AwaitLease bool
}

// Admit decides on a new request and counts it as demand.
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

// Recheck decides again on a request that was held for a lease. It does not
// count the request as demand a second time.
func (l *Limiter) Recheck(now time.Time, organisation string, limit Limit, cost Amount) Decision {
	if limit.Unlimited() {
		return Decision{Admitted: true}
	}
	org := l.organisation(now, organisation, limit)
	return org.admit(now, limit.limitedPart(cost).Min(limit.Burst))
}

// Charge accounts for work that was not known at admission, such as output
// tokens. What the available tokens do not cover becomes a debt, which has to be
// covered before the next request is admitted.
func (l *Limiter) Charge(now time.Time, organisation string, limit Limit, cost Amount) {
	if limit.Unlimited() {
		return
	}
	org := l.organisation(now, organisation, limit)
	cost = limit.limitedPart(cost)
	org.demand = org.demand.Add(cost.Scale(1 / demandTimeConstant.Seconds()))
	org.debt = org.debt.Add(cost)
	org.payDebt()
}

// organisation returns the up-to-date state of an organisation and creates it
// if needed.
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

// advance decays the demand, refills the allowance and removes expired leases.
// The return of unused tokens is not repeated when its answer is lost: the
// tokens are lost then, which is safe.
func (s *orgState) advance(now time.Time, entries int) {
	if s.awaitingGrant && s.leaseRequest.Want.IsZero() && !now.Before(s.resendAt) {
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

// available returns the sum of the allowance and all leases.
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
	s.unmetNeed, s.rejectedAt = cost.Add(s.debt).Sub(s.available()).Min(s.limit.Burst), now
	wait := max(s.waitUntil.Sub(now), 0)
	return Decision{RetryAfter: wait, AwaitLease: wait == 0}
}

// payDebt uses available tokens to reduce the debt.
func (s *orgState) payDebt() {
	part := s.debt.Min(s.available())
	s.spend(part)
	s.debt = s.debt.Sub(part)
}

// spend deducts from the allowance first, because it refills by itself, and
// then from the leases in order of expiry.
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

// LeaseRequests returns the messages to send now, at most
// MaxLeaseRequestsPerSecond in any second. The entry calls it every 100 ms and
// whenever a Decision has AwaitLease set.
func (l *Limiter) LeaseRequests(now time.Time) []LeaseRequest {
	candidates := l.candidates(now)
	horizon := l.horizon(candidates)
	var out []LeaseRequest
	for _, cand := range candidates {
		if !l.allowSend(now) {
			break
		}
		out = append(out, l.newLeaseRequest(now, cand, horizon))
	}
	return out
}

// candidate is an organisation that has a message to send.
type candidate struct {
	org *orgState
	// priority is 0 for a lease that a rejected request needs, 1 for a message to
	// send again because it has no answer, 2 for a prefetch and 3 for a return of
	// unused tokens; the lowest is sent first.
	priority    int
	secondsLeft float64 // see orgState.secondsLeft
}

// candidates returns the organisations that have a message to send, the most
// urgent first, and removes idle ones from active.
func (l *Limiter) candidates(now time.Time) []candidate {
	var out []candidate
	for org := range l.active {
		org.advance(now, l.entries)
		if priority, ok := org.messagePriority(now); ok {
			out = append(out, candidate{org, priority, org.secondsLeft()})
		} else if org.idle(now) {
			delete(l.active, org)
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		switch {
		case a.priority != b.priority:
			return a.priority - b.priority
		case a.priority == 0 && !a.org.leaseRequestedAt.Equal(b.org.leaseRequestedAt):
			// The organisation whose last lease request is the oldest goes first.
			// Otherwise an organisation that floods the entry would use up the
			// messages, and those with few requests would get no lease.
			return a.org.leaseRequestedAt.Compare(b.org.leaseRequestedAt)
		case a.secondsLeft != b.secondsLeft:
			return int(math.Copysign(1, a.secondsLeft-b.secondsLeft))
		}
		return strings.Compare(a.org.name, b.org.name)
	})
	return out
}

// messagePriority reports whether the organisation has a message to send, and
// the message's priority as in candidate.
func (s *orgState) messagePriority(now time.Time) (priority int, ok bool) {
	switch {
	case s.awaitingGrant:
		return 1, !now.Before(s.resendAt)
	case now.Before(s.waitUntil):
		return 0, false
	case !s.unmetNeed.IsZero() && now.Sub(s.rejectedAt) < unmetNeedTTL:
		return 0, true
	case s.demand.Requests > PrefetchThreshold && s.secondsLeft() < prefetchFraction*Horizon.Seconds():
		return 2, true
	case !s.surplus(now).IsZero():
		return 3, true
	}
	return 0, false
}

// idle reports whether the organisation has no message to send until its next
// request arrives.
func (s *orgState) idle(now time.Time) bool {
	return !s.awaitingGrant && len(s.leases) == 0 && now.Sub(s.rejectedAt) >= unmetNeedTTL && s.demand.Requests <= PrefetchThreshold
}

// secondsLeft estimates when the available tokens run out at the current demand.
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

// surplus returns the part of the lease that expires first which the estimated
// demand will not use. It is zero until that lease is within returnWindow of its
// expiry.
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

// horizon returns the period for which a lease covers the demand. It is longer
// than Horizon when more organisations need leases than
// MaxLeaseRequestsPerSecond allows messages.
func (l *Limiter) horizon(candidates []candidate) time.Duration {
	prefetching := 0
	for org := range l.active {
		if org.demand.Requests > PrefetchThreshold {
			prefetching++
		}
	}
	secondsPerRound := float64(max(prefetching, len(candidates))) / MaxLeaseRequestsPerSecond
	return min(max(Horizon, time.Duration(secondsPerRound*float64(Horizon))), LeaseDuration/2)
}

// allowSend reports whether one more message keeps within
// MaxLeaseRequestsPerSecond, and records it as sent if so.
func (l *Limiter) allowSend(now time.Time) bool {
	if !l.sendTimes[l.nextSend].IsZero() && now.Sub(l.sendTimes[l.nextSend]) < time.Second {
		return false
	}
	l.sendTimes[l.nextSend] = now
	l.nextSend = (l.nextSend + 1) % MaxLeaseRequestsPerSecond
	return true
}

// newLeaseRequest returns the message to send for a candidate: the unanswered request
// again while its lease could still be used, otherwise a new one.
func (l *Limiter) newLeaseRequest(now time.Time, cand candidate, horizon time.Duration) LeaseRequest {
	org := cand.org
	org.resendAt = now.Add(LeaseRequestTimeout)
	if cand.priority == 1 && now.Sub(org.leaseRequestedAt) < LeaseDuration-LeaseRequestTimeout {
		return org.leaseRequest
	}
	if org.awaitingGrant {
		org.unapplied = org.leaseRequest.Number
	}
	l.lastNumber++
	org.leaseRequest = LeaseRequest{
		Organisation: org.name, Entry: l.id, Number: l.lastNumber,
		Demand: org.demand.roundUp(), Unapplied: org.unapplied,
	}
	if cand.priority == 3 {
		org.leaseRequest.Lease, org.leaseRequest.Unused = org.returnSurplus(now)
	} else {
		org.leaseRequest.Need = org.minimumLease(now).roundUp()
		org.leaseRequest.Want = org.demand.Scale(demandHeadroom * horizon.Seconds()).roundUp().Max(org.leaseRequest.Need)
	}
	org.unapplied = 0
	org.awaitingGrant, org.leaseRequestedAt = true, now
	return org.leaseRequest
}

// minimumLease returns the smallest useful lease: what the rejected request
// lacks, or the cost of one more request like the last.
func (s *orgState) minimumLease(now time.Time) Amount {
	if now.Sub(s.rejectedAt) < unmetNeedTTL {
		return s.unmetNeed
	}
	return s.lastCost
}

// returnSurplus removes the surplus from the lease that expires first, and
// returns the number of that lease and the removed amount.
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

// Apply adds a grant from the owner. It ignores an answer to an earlier request,
// a duplicate answer, and a grant whose lease expired before it arrived.
func (l *Limiter) Apply(now time.Time, g Grant) {
	org := l.organisations[g.Organisation]
	if org == nil || g.Entry != l.id || !org.awaitingGrant || g.Number != org.leaseRequest.Number {
		return
	}
	org.awaitingGrant = false
	org.waitUntil = now.Add(g.Wait)
	if g.Amount.IsZero() {
		return
	}
	until := org.leaseRequestedAt.Add(LeaseDuration)
	if !now.Before(until) {
		org.unapplied = g.Number
		return
	}
	org.unmetNeed = Amount{}
	org.leases = append(org.leases, lease{g.Number, g.Amount, until})
	org.payDebt()
}

// sweep removes idle organisations. It keeps those whose allowance is not full,
// because an organisation that is added again starts with a full allowance.
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
