package limit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// demandAge is how long a reported demand counts in the fair split.
	demandTTL = 5 * time.Second
	// holderAge is how long an idle entry is remembered.
	entryIdleTimeout = time.Minute
	// splitEvery bounds how often the fair split is computed.
	splitInterval = 100 * time.Millisecond
	// sweepEvery is how often idle entries and organisations are dropped.
	sweepInterval = 10 * time.Second
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
	started   time.Time
	buckets   map[string]*bucket
	lastSweep time.Time
}

// NewOwner returns an owner that starts now.
func NewOwner(now time.Time) *Owner {
	return &Owner{started: now, buckets: map[string]*bucket{}, lastSweep: now}
}

// account is the bucket of one organisation.
type bucket struct {
	limit     Limit
	level     Amount
	updated   time.Time
	entries   map[string]*entryState
	fairSplit fairSplit
}

// holder is what the owner knows of one entry.
type entryState struct {
	number       uint64
	lastGrant    Grant
	demand       Amount
	lastRequest  time.Time
	accruedShare Amount // fair share accrued and not yet granted
	accruedUntil time.Time
	leases       []lease
}

// lease is an amount that may be used until a time, numbered by its Ask.
type lease struct {
	number  uint64
	amount  Amount
	expires time.Time
}

// Handle answers an Ask. The answer to a repeated Ask is the first answer
// again; an Ask older than the newest gets none.
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

// account returns the bucket filled up to now. A bucket that is not known has
// been filling since the owner started.
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

// refund puts back what an entry did not use of a lease that has not ended. A
// return that arrives later is lost, as the bucket may have been full since.
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

// accrue adds the fair share since the entry's last message. It is kept until
// it covers the need, as a part of a request is of no use to the entry.
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

func (b *bucket) fairRate(now time.Time, e *entryState) Amount {
	if now.Sub(b.fairSplit.computed) >= splitInterval {
		b.fairSplit = newFairSplit(now, b.limit.leasedRate(), b.entries)
	}
	return e.demand.Min(b.fairSplit.level)
}

// grant takes the amount from the bucket. While demand is below the rate, an
// entry may take half of the bucket; above it, its fair share and what is in
// the upper half of the bucket, as others leave part of theirs. An entry that
// got less than half of what it wanted waits for its share to grow, or it would
// ask again at once for a sliver.
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

// wait is the time until the bucket and the entry's fair share cover the need.
func (b *bucket) wait(now time.Time, e *entryState, need Amount) time.Duration {
	fair := b.fairRate(now, e)
	share := b.fairSplit.choose(need.Sub(e.accruedShare), Amount{})
	seconds := max(
		secondsToCover(need.Sub(b.level), b.limit.leasedRate()),
		secondsToCover(share, fair),
	)
	return min(max(time.Duration(seconds*float64(time.Second)), minWait), maxWait)
}

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

// sweep drops idle entries, and organisations whose bucket is full: such a
// bucket is made again with the same level.
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

// split is the max-min fair division of a rate: each entry gets its demand up
// to a level, and the levels add up to the rate.
type fairSplit struct {
	computed time.Time
	level    Amount
	// over tells whether demand exceeds the rate.
	overTokens, overRequests bool
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
	s.level.Tokens, s.overTokens = maxMinLevel(rate.Tokens, tokens)
	s.level.Requests, s.overRequests = maxMinLevel(rate.Requests, requests)
	return s
}

// choose takes each part from congested where demand exceeds the rate.
func (s fairSplit) choose(congested, free Amount) Amount {
	if s.overTokens {
		free.Tokens = congested.Tokens
	}
	if s.overRequests {
		free.Requests = congested.Requests
	}
	return free
}

// waterLevel returns the level of a max-min fair division of the rate.
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
