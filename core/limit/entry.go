package limit

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// demandMemory is the time constant of the demand estimate.
	demandMemory = 2 * time.Second
	// needAge is how long a refused request makes its organisation ask.
	needAge = time.Second
	// returnBefore is the remaining life of a lease at which the part that
	// demand will not use is returned.
	returnBefore = LeaseDuration / 4
	// slack leases a little more than the demand, as an estimate lags a rise.
	slack = 1.5
	// refill is the part of the horizon's demand below which an entry asks.
	refill = 0.5
	// forgetAfter drops organisations that an entry has not seen.
	forgetAfter = 2 * time.Minute
)

// fullAllowance is the most that an entry admits without a lease at once.
var fullAllowance = Amount{AllowanceTokens, AllowanceRequests}

// Limiter admits the requests that reach one entry.
type Limiter struct {
	id      string
	entries int
	orgs    map[string]*tally
	hot     map[*tally]struct{} // those that may have a message to send
	number  uint64
	sent    [MaxLeaseRequestsPerSecond]time.Time // ring of the last messages
	next    int
	swept   time.Time
}

// NewLimiter returns the state of an entry whose id includes its incarnation.
// The number of entries is an upper bound of those that run at the same time.
func NewLimiter(id string, entries int) *Limiter {
	return &Limiter{
		id: id, entries: max(entries, 1),
		orgs: map[string]*tally{}, hot: map[*tally]struct{}{},
	}
}

// SetEntries changes the number of entries.
func (e *Limiter) SetEntries(n int) { e.entries = max(n, 1) }

// tally is what an entry holds of one organisation.
type tally struct {
	name      string
	limit     Limit
	demand    Amount
	at        time.Time // of demand and allowance
	allowance Amount
	leases    []lease
	debt      Amount
	typical   Amount // cost of the last request
	need      Amount
	needed    time.Time
	waitUntil time.Time
	pending   bool
	ask       LeaseRequest // the last one
	asked     time.Time    // when it was first sent
	resend    time.Time
	unapplied uint64
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
func (e *Limiter) Admit(now time.Time, organisation string, limit Limit, cost Amount) Decision {
	if limit.Unlimited() {
		return Decision{Admitted: true}
	}
	t := e.tally(now, organisation, limit)
	cost = limit.limited(cost).Min(limit.Burst)
	t.typical = cost
	t.demand = t.demand.Add(cost.Scale(1 / demandMemory.Seconds()))
	return t.admit(now, cost)
}

// Recheck decides on a request that was held for a lease.
func (e *Limiter) Recheck(now time.Time, organisation string, limit Limit, cost Amount) Decision {
	if limit.Unlimited() {
		return Decision{Admitted: true}
	}
	t := e.tally(now, organisation, limit)
	return t.admit(now, limit.limited(cost).Min(limit.Burst))
}

// Charge charges work that was not known at admission, such as output tokens.
// What the entry cannot pay becomes a debt that is paid before the next
// admission.
func (e *Limiter) Charge(now time.Time, organisation string, limit Limit, more Amount) {
	if limit.Unlimited() {
		return
	}
	t := e.tally(now, organisation, limit)
	more = limit.limited(more)
	t.demand = t.demand.Add(more.Scale(1 / demandMemory.Seconds()))
	t.debt = t.debt.Add(more)
	t.pay()
}

func (e *Limiter) tally(now time.Time, organisation string, limit Limit) *tally {
	e.sweep(now)
	t := e.orgs[organisation]
	if t == nil {
		t = &tally{name: organisation, at: now}
		t.allowance = fullAllowance
		e.orgs[organisation] = t
	}
	t.limit = limit
	t.advance(now, e.entries)
	e.hot[t] = struct{}{}
	return t
}

// advance decays the demand, fills the allowance and drops ended leases. A
// returned lease is not returned again: without an answer its tokens are lost,
// which is safe.
func (t *tally) advance(now time.Time, entries int) {
	if t.pending && t.ask.Want.IsZero() && !now.Before(t.resend) {
		t.pending = false
	}
	if gone := now.Sub(t.at).Seconds(); gone > 0 {
		t.demand = t.demand.Scale(math.Exp(-gone / demandMemory.Seconds()))
		t.allowance = t.allowance.Add(t.limit.Rate.Scale(gone * t.limit.UnleasedShare / float64(entries)))
		t.at = now
	}
	t.allowance = t.allowance.Min(fullAllowance)
	t.leases = slices.DeleteFunc(t.leases, func(l lease) bool { return !now.Before(l.until) })
}

func (t *tally) inHand() Amount {
	sum := t.allowance
	for _, l := range t.leases {
		sum = sum.Add(l.amount)
	}
	return sum
}

func (t *tally) admit(now time.Time, cost Amount) Decision {
	t.pay()
	if t.debt.IsZero() && t.inHand().Covers(cost) {
		t.take(cost)
		return Decision{Admitted: true}
	}
	t.need, t.needed = cost.Add(t.debt).Sub(t.inHand()).Min(t.limit.Burst), now
	wait := max(t.waitUntil.Sub(now), 0)
	return Decision{RetryAfter: wait, AwaitLease: wait == 0}
}

func (t *tally) pay() {
	part := t.debt.Min(t.inHand())
	t.take(part)
	t.debt = t.debt.Sub(part)
}

// take uses the allowance first, which fills again by itself, and then the
// leases in order of their end.
func (t *tally) take(cost Amount) {
	part := cost.Min(t.allowance)
	t.allowance = t.allowance.Sub(part)
	cost = cost.Sub(part)
	for i := range t.leases {
		part = cost.Min(t.leases[i].amount)
		t.leases[i].amount = t.leases[i].amount.Sub(part)
		cost = cost.Sub(part)
	}
}

// LeaseRequests returns the messages to send now, at most MaxAsks in any second. The
// role calls it every 100 ms and whenever a Verdict has Asking set.
func (e *Limiter) LeaseRequests(now time.Time) []LeaseRequest {
	candidates := e.candidates(now)
	horizon := e.horizon(candidates)
	var out []LeaseRequest
	for _, c := range candidates {
		if !e.takeSlot(now) {
			break
		}
		out = append(out, e.message(now, c, horizon))
	}
	return out
}

type asking struct {
	t *tally
	// order is the urgency: 0 for a refused request, 1 for a message without an
	// answer, 2 for a lease ahead, 3 for a return.
	order  int
	runway float64 // seconds until the tokens in hand are used
}

func (e *Limiter) candidates(now time.Time) []asking {
	var out []asking
	for t := range e.hot {
		t.advance(now, e.entries)
		if order, ok := t.wants(now); ok {
			out = append(out, asking{t, order, t.runway()})
		} else if t.idle(now) {
			delete(e.hot, t)
		}
	}
	slices.SortFunc(out, func(a, b asking) int {
		switch {
		case a.order != b.order:
			return a.order - b.order
		case a.order == 0 && !a.t.asked.Equal(b.t.asked):
			// Otherwise one that floods would take every message from those that
			// seldom ask.
			return a.t.asked.Compare(b.t.asked)
		case a.runway != b.runway:
			return int(math.Copysign(1, a.runway-b.runway))
		}
		return strings.Compare(a.t.name, b.t.name)
	})
	return out
}

// wants tells whether an organisation sends a message, and how urgently.
func (t *tally) wants(now time.Time) (order int, ok bool) {
	switch {
	case t.pending:
		return 1, !now.Before(t.resend)
	case now.Before(t.waitUntil):
		return 0, false
	case !t.need.IsZero() && now.Sub(t.needed) < needAge:
		return 0, true
	case t.demand.Requests > PrefetchThreshold && t.runway() < refill*Horizon.Seconds():
		return 2, true
	case !t.surplus(now).IsZero():
		return 3, true
	}
	return 0, false
}

// idle tells that only another request can make the organisation ask.
func (t *tally) idle(now time.Time) bool {
	return !t.pending && len(t.leases) == 0 && now.Sub(t.needed) >= needAge && t.demand.Requests <= PrefetchThreshold
}

func (t *tally) runway() float64 {
	have, s := t.inHand(), math.Inf(1)
	if t.demand.Requests > tolerance {
		s = min(s, have.Requests/t.demand.Requests)
	}
	if t.demand.Tokens > tolerance {
		s = min(s, have.Tokens/t.demand.Tokens)
	}
	return s
}

// surplus is what demand will not use of the lease that ends first, once that
// is soon.
func (t *tally) surplus(now time.Time) Amount {
	for _, l := range t.leases {
		left := l.until.Sub(now)
		if left > returnBefore {
			break
		}
		if !l.amount.IsZero() {
			return l.amount.Sub(t.demand.Scale(slack * left.Seconds()))
		}
	}
	return Amount{}
}

// horizon is longer when more organisations ask than MaxAsks allows a second.
func (e *Limiter) horizon(c []asking) time.Duration {
	busy := 0
	for t := range e.hot {
		if t.demand.Requests > PrefetchThreshold {
			busy++
		}
	}
	turns := float64(max(busy, len(c))) / MaxLeaseRequestsPerSecond
	return min(max(Horizon, time.Duration(turns*float64(Horizon))), LeaseDuration/2)
}

// takeSlot keeps to MaxAsks messages in any second.
func (e *Limiter) takeSlot(now time.Time) bool {
	if !e.sent[e.next].IsZero() && now.Sub(e.sent[e.next]) < time.Second {
		return false
	}
	e.sent[e.next] = now
	e.next = (e.next + 1) % MaxLeaseRequestsPerSecond
	return true
}

func (e *Limiter) message(now time.Time, c asking, horizon time.Duration) LeaseRequest {
	t := c.t
	t.resend = now.Add(LeaseRequestTimeout)
	if c.order == 1 && now.Sub(t.asked) < LeaseDuration-LeaseRequestTimeout {
		return t.ask
	}
	if t.pending {
		t.unapplied = t.ask.Number
	}
	e.number++
	t.ask = LeaseRequest{
		Organisation: t.name, Entry: e.id, Number: e.number,
		Demand: t.demand.roundUp(), Unapplied: t.unapplied,
	}
	if c.order == 3 {
		t.ask.Lease, t.ask.Unused = t.giveBack(now)
	} else {
		t.ask.Need = t.least(now).roundUp()
		t.ask.Want = t.demand.Scale(slack * horizon.Seconds()).roundUp().Max(t.ask.Need)
	}
	t.unapplied = 0
	t.pending, t.asked = true, now
	return t.ask
}

// least is the smallest useful lease: what the refused request lacks, or one
// more request like the last.
func (t *tally) least(now time.Time) Amount {
	if now.Sub(t.needed) < needAge {
		return t.need
	}
	return t.typical
}

// giveBack takes the surplus out of the lease that ends first.
func (t *tally) giveBack(now time.Time) (number uint64, back Amount) {
	back = t.surplus(now).roundDown()
	for i := range t.leases {
		if l := &t.leases[i]; !l.amount.IsZero() {
			l.amount = l.amount.Sub(back)
			return l.number, back
		}
	}
	return 0, Amount{}
}

// Apply takes the owner's answer. An answer to an older Ask, or a second
// answer, is dropped; so is one whose lease has ended on the way.
func (e *Limiter) Apply(now time.Time, g Grant) {
	t := e.orgs[g.Organisation]
	if t == nil || g.Entry != e.id || !t.pending || g.Number != t.ask.Number {
		return
	}
	t.pending = false
	t.waitUntil = now.Add(g.Wait)
	if g.Amount.IsZero() {
		return
	}
	until := t.asked.Add(LeaseDuration)
	if !now.Before(until) {
		t.unapplied = g.Number
		return
	}
	t.need = Amount{}
	t.leases = append(t.leases, lease{g.Number, g.Amount, until})
	t.pay()
}

// sweep forgets organisations without recent requests, but only with a full
// allowance: a forgotten one starts again with a full one.
func (e *Limiter) sweep(now time.Time) {
	if now.Sub(e.swept) < sweepEvery {
		return
	}
	e.swept = now
	for name, t := range e.orgs {
		if now.Sub(t.at) <= forgetAfter {
			continue
		}
		t.advance(now, e.entries)
		if t.debt.IsZero() && t.allowance.Covers(t.limit.limited(fullAllowance)) {
			delete(e.orgs, name)
			delete(e.hot, t)
		}
	}
}
