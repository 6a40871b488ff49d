// Package limit enforces the rate limit of an organisation over many entries.
// The owner of a limit holds its token bucket and leases batches of tokens to
// entries; an entry admits requests only from leases and from a small
// allowance of its own. Both sides are pure state machines: the role carries
// Ask to the owner and Grant back, over a network that may lose, repeat and
// delay either.
//
// Over any interval, the work admitted by all entries is at most
//
//	rate × interval + burst + outstanding leases,
//
// where the allowances count as outstanding leases (at most AllowanceRequests and
// AllowanceTokens at each entry).
package limit

import (
	"math"
	"time"
)

const (
	// LeaseDuration is how long an entry may use a lease, counted from when it
	// first sent the Ask. It bounds what a paused entry can still admit.
	LeaseDuration = 5 * time.Second
	// Horizon is the demand that an entry leases ahead.
	Horizon = time.Second
	// PrefetchThreshold is the demand, in requests a second, above which an entry
	// leases ahead of need.
	PrefetchThreshold = 1.0
	// MaxLeaseRequestsPerSecond is the number of messages an entry sends in any second.
	MaxLeaseRequestsPerSecond = 8
	// LeaseRequestTimeout is how long an entry waits before it sends an Ask again.
	LeaseRequestTimeout = 500 * time.Millisecond
	// AllowanceRequests and AllowanceTokens bound what one entry admits of an
	// organisation without a lease. With room for one request only, those far
	// below their limit are refused whenever two requests come close together.
	AllowanceRequests = 4.0
	AllowanceTokens   = 8192.0
	// fewOrganisations is the number of limited organisations up to which every
	// one can lease within MaxAsks.
	prefetchOrganisations = 16
	// smallShare and largeShare are the parts of a rate that entries admit
	// without a lease. An organisation whose requests all reach one entry cannot
	// use that part, so it is small where messages allow it.
	smallUnleasedShare, largeUnleasedShare = 0.1, 0.5
	// burstSeconds is the burst of a limit in seconds of its rate.
	burstSeconds = 5.0
	// minBurstTokens lets one large request through any limit.
	minBurstTokens = 16384.0
	// tolerance absorbs rounding in sums of fractions.
	tolerance = 1e-9
)

// Amount is work, or work a second.
type Amount struct {
	// Tokens are prompt and output tokens.
	Tokens   float64
	Requests float64
}

func (a Amount) each(b Amount, f func(a, b float64) float64) Amount {
	return Amount{f(a.Tokens, b.Tokens), f(a.Requests, b.Requests)}
}

// Add returns a + b.
func (a Amount) Add(b Amount) Amount {
	return a.each(b, func(a, b float64) float64 { return a + b })
}

// Sub returns a - b, and 0 where b is larger.
func (a Amount) Sub(b Amount) Amount {
	return a.each(b, func(a, b float64) float64 { return max(a-b, 0) })
}

// Min returns the smaller of each.
func (a Amount) Min(b Amount) Amount { return a.each(b, math.Min) }

// Max returns the larger of each.
func (a Amount) Max(b Amount) Amount { return a.each(b, math.Max) }

// Scale returns a × f.
func (a Amount) Scale(f float64) Amount { return Amount{a.Tokens * f, a.Requests * f} }

// Covers tells whether a is at least b in both.
func (a Amount) Covers(b Amount) bool {
	return a.Tokens >= b.Tokens-tolerance && a.Requests >= b.Requests-tolerance
}

// IsZero tells whether there is nothing of either.
func (a Amount) IsZero() bool { return a.Tokens <= tolerance && a.Requests <= tolerance }

// Limit is what an organisation may use.
type Limit struct {
	// Rate is the amount a second; 0 sets no limit.
	Rate  Amount
	Burst Amount
	// UnleasedShare is the part of the rate that entries admit without a lease. The
	// owner and all entries have to use the same.
	UnleasedShare float64
}

// NewLimit returns the limit for the configured rates. The number of organisations
// with a limit comes from the same revision of the configuration.
func NewLimit(tokensPerSecond, requestsPerSecond float64, organisations int) Limit {
	l := Limit{Rate: Amount{tokensPerSecond, requestsPerSecond}, UnleasedShare: smallUnleasedShare}
	l.Burst = l.Rate.Scale(burstSeconds).Max(Amount{minBurstTokens, 1})
	if organisations > prefetchOrganisations {
		l.UnleasedShare = largeUnleasedShare
	}
	return l
}

// Unlimited tells whether the limit admits everything.
func (l Limit) Unlimited() bool { return l.Rate.IsZero() }

// limited keeps the parts of an amount that the limit counts.
func (l Limit) limitedPart(a Amount) Amount {
	if l.Rate.Tokens <= 0 {
		a.Tokens = 0
	}
	if l.Rate.Requests <= 0 {
		a.Requests = 0
	}
	return a
}

// leased is the rate that the owner hands out.
func (l Limit) leasedRate() Amount { return l.Rate.Scale(1 - l.UnleasedShare) }

// LeaseRequest is a message from an entry to the owner of an organisation's limit.
type LeaseRequest struct {
	Organisation string
	// Entry names the entry and its incarnation, as numbers start again in a
	// new one. Number grows with every new Ask of the entry.
	Entry  string
	Number uint64
	// Demand is the recent demand at the entry, in amounts a second.
	Demand Amount
	// Want is the amount asked for, of which less than Need is of no use. A
	// message that only returns tokens wants nothing.
	Want, Need Amount
	// Unused is returned from the lease that Lease numbers by its Ask. The entry
	// has given it up before it sends the message.
	Unused Amount
	Lease  uint64
	// Unapplied is the number of an earlier Ask whose answer the entry did not
	// get in time and will not use, 0 for none.
	Unapplied uint64
}

// Grant is the owner's answer to an Ask.
type Grant struct {
	Organisation string
	Entry        string
	Number       uint64
	// Amount is zero when the entry has to wait.
	Amount Amount
	// Wait is the time before which asking again is of no use.
	Wait time.Duration
}

// OwnerOf returns which of the instances owns the limit of an organisation, by
// rendezvous hash, so that few limits move when an instance is lost.
func OwnerOf(organisation string, instances []string) string {
	best, owner := uint64(0), ""
	for _, id := range instances {
		if h := rendezvous(organisation, id); owner == "" || h > best || h == best && id < owner {
			best, owner = h, id
		}
	}
	return owner
}
