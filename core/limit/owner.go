package limit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// demandTTL is how long a reported demand counts in the fair split.
	demandTTL = 5 * time.Second
	// entryIdleTimeout is how long the state of an idle entry is kept.
	entryIdleTimeout = time.Minute
	// splitInterval is the minimum time between computations of the fair split.
	splitInterval = 100 * time.Millisecond
	// sweepInterval is how often idle entries and organisations are removed.
	sweepInterval = 10 * time.Second
	// minWait keeps an entry without a grant from asking in a tight loop.
	minWait = 50 * time.Millisecond
	// maxWait bounds the wait, so that entries notice an increased limit.
	maxWait = 5 * time.Second
)

func rendezvous(organisation, instance string) uint64 {
	return xxhash.Sum64String(organisation + "\x00" + instance)
}

// Owner holds the token buckets of the limits that one control instance owns. It
// is not persisted: a new owner starts with empty buckets, so that a change of
// owner grants no tokens twice. It is not safe for concurrent use.
type Owner struct {
	started   time.Time
	buckets   map[string]*bucket
	lastSweep time.Time
}

// NewOwner returns an owner whose buckets start empty and fill from now on.
func NewOwner(now time.Time) *Owner {
	return &Owner{started: now, buckets: map[string]*bucket{}, lastSweep: now}
}

// bucket is the token bucket of one organisation.
type bucket struct {
	limit     Limit
	level     Amount
	updated   time.Time
	entries   map[string]*entryState
	fairSplit fairSplit
}

// entryState is the state of one entry in a bucket.
type entryState struct {
	number       uint64
	lastGrant    Grant
	demand       Amount
	lastRequest  time.Time
	accruedShare Amount // accrued fair share that has not been granted
	accruedUntil time.Time
	leases       []lease
}

// lease is an amount that may be used until it expires. Its number is that of
// its LeaseRequest.
type lease struct {
	number  uint64
	amount  Amount
	expires time.Time
}

// Handle answers a LeaseRequest. A duplicate of the entry's latest request gets
// the same answer again; an earlier one gets no answer and returns false.
func (o *Owner) Handle(now time.Time, limit Limit, req LeaseRequest) (Grant, bool) {
	o.sweep(now)
	b := o.bucket(now, req.Organisation, limit)
	e, known := b.entries[req.Entry]
	if !known {
		e = &entryState{}
		b.entries[req.Entry] = e
	}
	switch {
	case known && req.Number < e.number:
		return Grant{}, false
	case known && req.Number == e.number:
		return e.lastGrant, true
	}
	b.refund(now, e, req)
	e.demand, e.lastRequest = limit.limitedPart(req.Demand), now
	b.accrue(now, e, req, !known)
	g := b.grant(now, e, req)
	e.number, e.lastGrant = req.Number, g
	return g, true
}

// bucket returns the bucket of an organisation, filled up to now. A new bucket
// is filled as if it had existed since the owner started.
func (o *Owner) bucket(now time.Time, organisation string, limit Limit) *bucket {
	b := o.buckets[organisation]
	if b == nil {
		b = &bucket{updated: o.started, entries: map[string]*entryState{}}
		o.buckets[organisation] = b
	}
	b.limit = limit
	b.fill(now)
	return b
}

func (b *bucket) fill(now time.Time) {
	if now.After(b.updated) {
		b.level = b.level.Add(b.limit.leasedRate().Scale(now.Sub(b.updated).Seconds()))
		b.updated = now
	}
	b.level = b.level.Min(b.limit.Burst)
}

// refund puts back what an entry did not use of a lease that has not expired. A
// return that arrives after the expiry is lost, because the bucket may have been
// full in the meantime.
func (b *bucket) refund(now time.Time, e *entryState, req LeaseRequest) {
	e.leases = slices.DeleteFunc(e.leases, func(l lease) bool { return !now.Before(l.expires) })
	for i := range e.leases {
		l := &e.leases[i]
		var returned Amount
		switch l.number {
		case req.Unapplied:
			returned = l.amount
		case req.Lease:
			returned = req.Unused.Min(l.amount)
		}
		l.amount = l.amount.Sub(returned)
		b.level = b.level.Add(returned).Min(b.limit.Burst)
	}
}

// accrue adds the fair share since the entry's last message. The share
// accumulates until it covers the need, because an entry cannot use tokens for
// part of a request.
func (b *bucket) accrue(now time.Time, e *entryState, req LeaseRequest, first bool) {
	fair := b.fairRate(now, e)
	maximum := req.Need.Max(fair.Scale(Horizon.Seconds()))
	if first {
		e.accruedShare = maximum
	} else {
		e.accruedShare = e.accruedShare.Add(fair.Scale(now.Sub(e.accruedUntil).Seconds())).Min(maximum)
	}
	e.accruedUntil = now
}

// fairRate returns the entry's fair share of the leased rate.
func (b *bucket) fairRate(now time.Time, e *entryState) Amount {
	if now.Sub(b.fairSplit.computed) >= splitInterval {
		b.fairSplit = newFairSplit(now, b.limit.leasedRate(), b.entries)
	}
	return e.demand.Min(b.fairSplit.level)
}

// grant deducts the granted amount from the bucket. While demand is below the
// rate, an entry may get half of the bucket. Above it, the entry gets its
// accrued fair share or the upper half of the bucket, whichever is larger,
// because others do not use all of their shares. An entry that gets less than
// half of what it wants has to wait until its share has grown; it would
// otherwise ask again at once for a very small amount.
func (b *bucket) grant(now time.Time, e *entryState, req LeaseRequest) Grant {
	g := Grant{Organisation: req.Organisation, Entry: req.Entry, Number: req.Number}
	want, need := b.limit.limitedPart(req.Want), b.limit.limitedPart(req.Need)
	if want.IsZero() {
		return g
	}
	share := e.accruedShare.Max(b.level.Sub(b.limit.Burst.Scale(0.5)))
	maximum := b.fairSplit.choose(share, b.level.Scale(0.5).Max(need)).Min(b.level)
	if !maximum.Covers(need) {
		g.Wait = b.wait(now, e, need)
		return g
	}
	g.Amount = want.Min(maximum).Max(need).roundDown()
	b.level = b.level.Sub(g.Amount)
	e.accruedShare = e.accruedShare.Sub(g.Amount)
	e.leases = append(e.leases, lease{req.Number, g.Amount, now.Add(LeaseDuration)})
	if enough := want.Scale(0.5); !g.Amount.Covers(enough) {
		g.Wait = b.wait(now, e, b.fairRate(now, e).Scale(Horizon.Seconds()).Min(enough).Max(need))
	}
	return g
}

// wait returns the time until both the bucket and the entry's fair share cover
// the need, bounded by minWait and maxWait.
func (b *bucket) wait(now time.Time, e *entryState, need Amount) time.Duration {
	fair := b.fairRate(now, e)
	share := b.fairSplit.choose(need.Sub(e.accruedShare), Amount{})
	seconds := max(
		secondsToCover(need.Sub(b.level), b.limit.leasedRate()),
		secondsToCover(share, fair),
	)
	return min(max(time.Duration(seconds*float64(time.Second)), minWait), maxWait)
}

// secondsToCover returns the time in which a rate yields an amount.
func secondsToCover(amount, rate Amount) float64 {
	seconds := 0.0
	if amount.Tokens > 0 {
		seconds = amount.Tokens / max(rate.Tokens, tolerance)
	}
	if amount.Requests > 0 {
		seconds = max(seconds, amount.Requests/max(rate.Requests, tolerance))
	}
	return min(seconds, maxWait.Seconds())
}

// sweep removes idle entries, and buckets that have no entries and are full: a
// bucket that is created again has the same level.
func (o *Owner) sweep(now time.Time) {
	if now.Sub(o.lastSweep) < sweepInterval {
		return
	}
	o.lastSweep = now
	for name, b := range o.buckets {
		for id, e := range b.entries {
			if now.Sub(e.lastRequest) > entryIdleTimeout {
				delete(b.entries, id)
			}
		}
		b.fill(now)
		if len(b.entries) == 0 && b.level.Covers(b.limit.Burst) {
			delete(o.buckets, name)
		}
	}
}

// fairSplit is the max-min fair division of a rate: each entry gets its demand up
// to a common level, chosen so that the shares add up to the rate.
type fairSplit struct {
	computed time.Time
	level    Amount
	// tokensExceeded and requestsExceeded report whether the demand exceeds the rate.
	tokensExceeded, requestsExceeded bool
}

func newFairSplit(now time.Time, rate Amount, entries map[string]*entryState) fairSplit {
	var tokens, requests []float64
	for _, e := range entries {
		if now.Sub(e.lastRequest) <= demandTTL {
			tokens = append(tokens, e.demand.Tokens)
			requests = append(requests, e.demand.Requests)
		}
	}
	s := fairSplit{computed: now}
	s.level.Tokens, s.tokensExceeded = maxMinLevel(rate.Tokens, tokens)
	s.level.Requests, s.requestsExceeded = maxMinLevel(rate.Requests, requests)
	return s
}

// choose returns, for tokens and requests separately, the component of congested if
// the demand exceeds the rate, and that of free otherwise.
func (s fairSplit) choose(congested, free Amount) Amount {
	if s.tokensExceeded {
		free.Tokens = congested.Tokens
	}
	if s.requestsExceeded {
		free.Requests = congested.Requests
	}
	return free
}

// maxMinLevel returns the level of the max-min fair division of the rate, and
// whether the demands exceed the rate.
func maxMinLevel(rate float64, demands []float64) (level float64, over bool) {
	slices.Sort(demands)
	remaining := rate
	for i, d := range demands {
		level = remaining / float64(len(demands)-i)
		if d > level {
			return level, true
		}
		remaining -= d
	}
	return rate, false
}
