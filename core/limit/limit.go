// Package limit enforces the rate limit of an organisation across many entries.
// The owner of a limit holds its token bucket and leases batches of tokens to
// entries. An entry admits requests only from its leases and from a small local
// allowance. Both sides are state machines without I/O: the caller sends each
// LeaseRequest to the owner and each Grant back, over a network that may lose,
// duplicate or delay them.
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
	// first sent the LeaseRequest. It bounds what an entry can still admit after
	// a pause.
	LeaseDuration = 5 * time.Second
	// Horizon is how far ahead an entry leases: a lease covers the demand of
	// this period.
	Horizon = time.Second
	// PrefetchThreshold is the demand, in requests a second, above which an entry
	// requests leases before it needs them.
	PrefetchThreshold = 1.0
	// MaxLeaseRequestsPerSecond bounds the messages that an entry sends in any
	// second.
	MaxLeaseRequestsPerSecond = 8
	// LeaseRequestTimeout is how long an entry waits for an answer before it
	// sends a LeaseRequest again.
	LeaseRequestTimeout = 500 * time.Millisecond
	// AllowanceRequests and AllowanceTokens bound what one entry admits for an
	// organisation without a lease. With an allowance of one request,
	// organisations far below their limit are rejected whenever two of their
	// requests arrive close together.
	AllowanceRequests = 4.0
	AllowanceTokens   = 8192.0
	// prefetchOrganisations is the number of organisations with a limit up to
	// which all of them can use leases within MaxLeaseRequestsPerSecond.
	prefetchOrganisations = 16
	// smallUnleasedShare and largeUnleasedShare are the fractions of a rate that
	// entries admit without a lease. It is split evenly between the entries, so an
	// organisation whose requests all reach one entry cannot use it; it is small
	// where the message rate allows enough leases.
	smallUnleasedShare, largeUnleasedShare = 0.1, 0.5
	// burstSeconds is the burst of a limit, as seconds of its rate.
	burstSeconds = 5.0
	// minBurstTokens is the smallest token burst, so that any limit admits one
	// large request.
	minBurstTokens = 16384.0
	// tolerance absorbs floating-point rounding errors.
	tolerance = 1e-9
)

// Amount is an amount of work, or a rate of work per second.
type Amount struct {
	// Tokens counts prompt and output tokens.
	Tokens   float64
	Requests float64
}

func (a Amount) combine(b Amount, f func(a, b float64) float64) Amount {
	return Amount{f(a.Tokens, b.Tokens), f(a.Requests, b.Requests)}
}

// Add returns a + b.
func (a Amount) Add(b Amount) Amount {
	return a.combine(b, func(a, b float64) float64 { return a + b })
}

// Sub returns a - b, with 0 for each component where b is larger.
func (a Amount) Sub(b Amount) Amount {
	return a.combine(b, func(a, b float64) float64 { return max(a-b, 0) })
}

// Min returns the component-wise minimum.
func (a Amount) Min(b Amount) Amount { return a.combine(b, math.Min) }

// Max returns the component-wise maximum.
func (a Amount) Max(b Amount) Amount { return a.combine(b, math.Max) }

// Scale returns a × f.
func (a Amount) Scale(f float64) Amount { return Amount{a.Tokens * f, a.Requests * f} }

// Covers reports whether both components of a are at least those of b.
func (a Amount) Covers(b Amount) bool {
	return a.Tokens >= b.Tokens-tolerance && a.Requests >= b.Requests-tolerance
}

// IsZero reports whether both components are zero.
func (a Amount) IsZero() bool { return a.Tokens <= tolerance && a.Requests <= tolerance }

// Limit is the rate limit of an organisation.
type Limit struct {
	// Rate is the amount per second; a component of 0 is not limited.
	Rate  Amount
	Burst Amount
	// UnleasedShare is the fraction of the rate that entries admit without a
	// lease. The owner and all entries must use the same value.
	UnleasedShare float64
}

// NewLimit returns the limit for the configured rates. The number of
// organisations with a limit must come from the same configuration revision.
func NewLimit(tokensPerSecond, requestsPerSecond float64, organisations int) Limit {
	l := Limit{Rate: Amount{tokensPerSecond, requestsPerSecond}, UnleasedShare: smallUnleasedShare}
	l.Burst = l.Rate.Scale(burstSeconds).Max(Amount{minBurstTokens, 1})
	if organisations > prefetchOrganisations {
		l.UnleasedShare = largeUnleasedShare
	}
	return l
}

// Unlimited reports whether the limit admits everything.
func (l Limit) Unlimited() bool { return l.Rate.IsZero() }

// limitedPart clears the components of an amount that the limit does not
// restrict.
func (l Limit) limitedPart(a Amount) Amount {
	if l.Rate.Tokens <= 0 {
		a.Tokens = 0
	}
	if l.Rate.Requests <= 0 {
		a.Requests = 0
	}
	return a
}

// leasedRate returns the rate that the owner grants as leases.
func (l Limit) leasedRate() Amount { return l.Rate.Scale(1 - l.UnleasedShare) }

// LeaseRequest is a message from an entry to the owner of an organisation's
// limit.
type LeaseRequest struct {
	Organisation string
	// Entry identifies the entry and its incarnation, because the numbers restart
	// with each incarnation. Number increases with every new LeaseRequest of the
	// entry.
	Entry  string
	Number uint64
	// Demand is the recent demand at the entry, per second.
	Demand Amount
	// Want is the requested amount, and Need the smallest useful one. Both are
	// zero in a message that only returns tokens.
	Want, Need Amount
	// Unused is returned from the lease that was granted for the LeaseRequest
	// with the number Lease. The entry deducts it before it sends the message.
	Unused Amount
	Lease  uint64
	// Unapplied is the number of an earlier LeaseRequest whose answer did not
	// arrive in time and will not be used; 0 means none.
	Unapplied uint64
}

// Grant is the owner's answer to a LeaseRequest.
type Grant struct {
	Organisation string
	Entry        string
	Number       uint64
	// Amount is zero when the entry has to wait.
	Amount Amount
	// Wait is how long the entry should wait before its next request.
	Wait time.Duration
}

// OwnerOf returns the instance that owns the limit of an organisation. It uses
// rendezvous hashing, so that only the limits of a lost instance move.
func OwnerOf(organisation string, instances []string) string {
	best, owner := uint64(0), ""
	for _, id := range instances {
		if h := rendezvous(organisation, id); owner == "" || h > best || h == best && id < owner {
			best, owner = h, id
		}
	}
	return owner
}
