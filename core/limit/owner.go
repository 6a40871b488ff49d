package limit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// demandAge is how long a reported demand counts in the fair split.
	demandAge = 5 * time.Second
	// holderAge is how long an idle entry is remembered.
	holderAge = time.Minute
	// splitEvery bounds how often the fair split is computed.
	splitEvery = 100 * time.Millisecond
	// sweepEvery is how often idle entries and organisations are dropped.
	sweepEvery = 10 * time.Second
	// minWait keeps refused entries from asking in a tight loop.
	minWait = 50 * time.Millisecond
	// maxWait bounds the wait, so that entries notice a raised limit.
	maxWait = 5 * time.Second
)

func rendezvous(organisation, instance string) uint64 {
	return xxhash.Sum64String(organisation + "\x00" + instance)
}

// Owner holds the limits that one control instance owns. It needs no disk: a
// new owner starts with empty buckets, so a change of owner grants nothing
// twice.
type Owner struct {
	started  time.Time
	accounts map[string]*account
	swept    time.Time
}

// NewOwner returns an owner that starts now.
func NewOwner(now time.Time) *Owner {
	return &Owner{started: now, accounts: map[string]*account{}, swept: now}
}

// account is the bucket of one organisation.
type account struct {
	limit   Limit
	level   Amount
	at      time.Time
	holders map[string]*holder
	split   split
}

// holder is what the owner knows of one entry.
type holder struct {
	number  uint64
	last    Grant
	demand  Amount
	heard   time.Time
	share   Amount // fair share accrued and not yet granted
	accrued time.Time
	leases  []lease
}

// lease is an amount that may be used until a time, numbered by its Ask.
type lease struct {
	number uint64
	amount Amount
	until  time.Time
}

// Handle answers an Ask. The answer to a repeated Ask is the first answer
// again; an Ask older than the newest gets none.
func (o *Owner) Handle(now time.Time, limit Limit, ask LeaseRequest) (Grant, bool) {
	o.sweep(now)
	a := o.account(now, ask.Organisation, limit)
	h, known := a.holders[ask.Entry]
	if !known {
		h = &holder{}
		a.holders[ask.Entry] = h
	}
	switch {
	case known && ask.Number < h.number:
		return Grant{}, false
	case known && ask.Number == h.number:
		return h.last, true
	}
	a.refund(now, h, ask)
	h.demand, h.heard = limit.limited(ask.Demand), now
	a.accrue(now, h, ask, !known)
	g := a.grant(now, h, ask)
	h.number, h.last = ask.Number, g
	return g, true
}

// account returns the bucket filled up to now. A bucket that is not known has
// been filling since the owner started.
func (o *Owner) account(now time.Time, organisation string, limit Limit) *account {
	a := o.accounts[organisation]
	if a == nil {
		a = &account{at: o.started, holders: map[string]*holder{}}
		o.accounts[organisation] = a
	}
	a.limit = limit
	a.fill(now)
	return a
}

func (a *account) fill(now time.Time) {
	if now.After(a.at) {
		a.level = a.level.Add(a.limit.leased().Scale(now.Sub(a.at).Seconds()))
		a.at = now
	}
	a.level = a.level.Min(a.limit.Burst)
}

// refund puts back what an entry did not use of a lease that has not ended. A
// return that arrives later is lost, as the bucket may have been full since.
func (a *account) refund(now time.Time, h *holder, ask LeaseRequest) {
	h.leases = slices.DeleteFunc(h.leases, func(l lease) bool { return !now.Before(l.until) })
	for i := range h.leases {
		l := &h.leases[i]
		var back Amount
		switch l.number {
		case ask.Unapplied:
			back = l.amount
		case ask.Lease:
			back = ask.Unused.Min(l.amount)
		}
		l.amount = l.amount.Sub(back)
		a.level = a.level.Add(back).Min(a.limit.Burst)
	}
}

// accrue adds the fair share since the entry's last message. It is kept until
// it covers the need, as a part of a request is of no use to the entry.
func (a *account) accrue(now time.Time, h *holder, ask LeaseRequest, first bool) {
	fair := a.fairRate(now, h)
	most := ask.Need.Max(fair.Scale(Horizon.Seconds()))
	if first {
		h.share = most
	} else {
		h.share = h.share.Add(fair.Scale(now.Sub(h.accrued).Seconds())).Min(most)
	}
	h.accrued = now
}

func (a *account) fairRate(now time.Time, h *holder) Amount {
	if now.Sub(a.split.at) >= splitEvery {
		a.split = newSplit(now, a.limit.leased(), a.holders)
	}
	return h.demand.Min(a.split.level)
}

// grant takes the amount from the bucket. While demand is below the rate, an
// entry may take half of the bucket; above it, its fair share and what is in
// the upper half of the bucket, as others leave part of theirs. An entry that
// got less than half of what it wanted waits for its share to grow, or it would
// ask again at once for a sliver.
func (a *account) grant(now time.Time, h *holder, ask LeaseRequest) Grant {
	g := Grant{Organisation: ask.Organisation, Entry: ask.Entry, Number: ask.Number}
	want, need := a.limit.limited(ask.Want), a.limit.limited(ask.Need)
	if want.IsZero() {
		return g
	}
	share := h.share.Max(a.level.Sub(a.limit.Burst.Scale(0.5)))
	most := a.split.choose(share, a.level.Scale(0.5).Max(need)).Min(a.level)
	if !most.Covers(need) {
		g.Wait = a.wait(now, h, need)
		return g
	}
	g.Amount = want.Min(most).Max(need).roundDown()
	a.level = a.level.Sub(g.Amount)
	h.share = h.share.Sub(g.Amount)
	h.leases = append(h.leases, lease{ask.Number, g.Amount, now.Add(LeaseDuration)})
	if enough := want.Scale(0.5); !g.Amount.Covers(enough) {
		g.Wait = a.wait(now, h, a.fairRate(now, h).Scale(Horizon.Seconds()).Min(enough).Max(need))
	}
	return g
}

// wait is the time until the bucket and the entry's fair share cover the need.
func (a *account) wait(now time.Time, h *holder, need Amount) time.Duration {
	fair := a.fairRate(now, h)
	share := a.split.choose(need.Sub(h.share), Amount{})
	seconds := max(
		missing(need.Sub(a.level), a.limit.leased()),
		missing(share, fair),
	)
	return min(max(time.Duration(seconds*float64(time.Second)), minWait), maxWait)
}

func missing(amount, rate Amount) float64 {
	seconds := 0.0
	if amount.Tokens > 0 {
		seconds = amount.Tokens / max(rate.Tokens, tolerance)
	}
	if amount.Requests > 0 {
		seconds = max(seconds, amount.Requests/max(rate.Requests, tolerance))
	}
	return min(seconds, maxWait.Seconds())
}

// sweep drops idle entries, and organisations whose bucket is full: such a
// bucket is made again with the same level.
func (o *Owner) sweep(now time.Time) {
	if now.Sub(o.swept) < sweepEvery {
		return
	}
	o.swept = now
	for name, a := range o.accounts {
		for id, h := range a.holders {
			if now.Sub(h.heard) > holderAge {
				delete(a.holders, id)
			}
		}
		a.fill(now)
		if len(a.holders) == 0 && a.level.Covers(a.limit.Burst) {
			delete(o.accounts, name)
		}
	}
}

// split is the max-min fair division of a rate: each entry gets its demand up
// to a level, and the levels add up to the rate.
type split struct {
	at    time.Time
	level Amount
	// over tells whether demand exceeds the rate.
	overTokens, overRequests bool
}

func newSplit(now time.Time, rate Amount, holders map[string]*holder) split {
	var tokens, requests []float64
	for _, h := range holders {
		if now.Sub(h.heard) <= demandAge {
			tokens = append(tokens, h.demand.Tokens)
			requests = append(requests, h.demand.Requests)
		}
	}
	s := split{at: now}
	s.level.Tokens, s.overTokens = waterLevel(rate.Tokens, tokens)
	s.level.Requests, s.overRequests = waterLevel(rate.Requests, requests)
	return s
}

// choose takes each part from congested where demand exceeds the rate.
func (s split) choose(congested, free Amount) Amount {
	if s.overTokens {
		free.Tokens = congested.Tokens
	}
	if s.overRequests {
		free.Requests = congested.Requests
	}
	return free
}

// waterLevel returns the level of a max-min fair division of the rate.
func waterLevel(rate float64, demands []float64) (level float64, over bool) {
	slices.Sort(demands)
	left := rate
	for i, d := range demands {
		level = left / float64(len(demands)-i)
		if d > level {
			return level, true
		}
		left -= d
	}
	return rate, false
}
