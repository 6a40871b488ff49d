package throttle

import (
	"math"
	"time"
)

const (
	// usageTimeConstant is the time constant with which the grants of organisations are
	// forgotten. At limits below one request a second, a shorter one would forget each
	// grant before the next.
	usageTimeConstant = 10 * time.Second
	// demandTTL is how long an organisation that has asked counts as having demand.
	demandTTL = 5 * time.Second
	// gatewayTTL is how long a gateway that has asked counts among the gateways that share
	// the limits.
	gatewayTTL = time.Minute
	// limitTTL is how long a limit for which nobody asks is kept.
	limitTTL = 2 * time.Minute
	// minWait and maxWait bound the time after which a gateway may ask again.
	minWait = 20 * time.Millisecond
	maxWait = 4 * time.Second
	// maxLimits bounds the limits that are kept. The upstreams of the largest fleet are
	// well below.
	maxLimits = 16384
	// maxWant bounds the requests that are granted at a time.
	maxWant = 1024
)

// Key identifies an incarnation of an upstream.
type Key struct {
	ID        string
	StartedMS int64
}

// WireStatement is a Statement with times relative to the moment at which it is sent, since
// the clocks of processes differ.
type WireStatement struct {
	Rate                 float64
	Ended                bool
	SentAge, ReceivedAge time.Duration
}

// Encode returns the statement as it is sent at a time.
func (s Statement) Encode(now time.Time) WireStatement {
	return WireStatement{s.Rate, s.Ended, now.Sub(s.SentAt), now.Sub(s.ReceivedAt)}
}

// decode returns the statement that was received at a time. Odd values are replaced: the
// sender may be another release.
func (w WireStatement) decode(now time.Time) Statement {
	received := max(w.ReceivedAge, 0)
	rate := w.Rate
	if !(rate >= 0) || math.IsInf(rate, 1) {
		rate = 0
	}
	return Statement{rate, w.Ended, now.Add(-max(w.SentAge, received)), now.Add(-received)}
}

// Want is an upstream at which a gateway wants to send requests.
type Want struct {
	Key       Key
	Statement WireStatement
	// Count is the number of requests that are useful; one is granted if more are not
	// available.
	Count int
}

// Ask is a gateway's request for grants.
type Ask struct {
	Gateway string
	// Priority and Organisation are those of the caller's request; 0 is the most urgent.
	Priority     int
	Organisation string
	// Wants lists upstreams in order of preference. At most one of them is granted.
	Wants []Want
}

// Answer is the answer for one upstream.
type Answer struct {
	Key Key
	// Granted is the number of requests that may be sent. If it is zero, the gateway may ask
	// again after Wait.
	Granted int
	Wait    time.Duration
	// Statement is the newest statement that the owner knows.
	Statement WireStatement
}

// Grant is the answer to an Ask.
type Grant struct {
	// Answers has an entry for each upstream up to the granted one.
	Answers []Answer
	// Gateways is the number of gateways that have asked lately.
	Gateways int
}

// Owner grants the requests that the limits allow. A new owner starts with empty buckets, so
// that a change of owner grants nothing twice.
type Owner struct {
	limits    map[Key]*sharedLimit
	gateways  map[string]time.Time // when each has asked last
	lastSweep time.Time
}

// NewOwner returns an owner that knows no limit.
func NewOwner() *Owner {
	return &Owner{limits: map[Key]*sharedLimit{}, gateways: map[string]time.Time{}}
}

// sharedLimit is the limit of one incarnation of an upstream.
type sharedLimit struct {
	statement Statement
	bucket    bucket
	askedAt   time.Time
	usage     map[string]*organisationUsage
}

// organisationUsage is what an organisation has been granted lately.
type organisationUsage struct {
	granted float64 // decays with usageTimeConstant
	updated time.Time
	askedAt time.Time
}

func (u *organisationUsage) decay(now time.Time) {
	u.granted *= math.Exp(-now.Sub(u.updated).Seconds() / usageTimeConstant.Seconds())
	u.updated = now
}

// Handle answers a gateway. It grants requests at the first upstream that has any left for the
// priority and the organisation.
func (o *Owner) Handle(now time.Time, ask Ask) Grant {
	o.sweep(now)
	o.gateways[ask.Gateway] = now
	g := Grant{Gateways: len(o.gateways)}
	for _, want := range ask.Wants {
		l := o.limit(now, want)
		if l == nil {
			return g
		}
		a := Answer{Key: want.Key, Statement: l.statement.Encode(now)}
		a.Granted, a.Wait = l.grant(now, want.Count, ask.Priority, ask.Organisation)
		g.Answers = append(g.Answers, a)
		if a.Granted > 0 {
			return g
		}
	}
	return g
}

// limit returns the limit of an upstream after it has taken in what the gateway knows. It is
// nil if there is no room for another limit.
func (o *Owner) limit(now time.Time, want Want) *sharedLimit {
	s := want.Statement.decode(now)
	l := o.limits[want.Key]
	if l == nil {
		if len(o.limits) >= maxLimits {
			return nil
		}
		l = &sharedLimit{statement: s, bucket: bucket{filled: now}, usage: map[string]*organisationUsage{}}
		o.limits[want.Key] = l
	}
	l.fill(now)
	if s.supersedes(l.statement) {
		l.statement = s
		l.fill(now)
	}
	l.askedAt = now
	return l
}

func (l *sharedLimit) fill(now time.Time) {
	rate, _ := l.statement.rate(now)
	l.bucket.fill(now, rate, maxDepth(rate))
}

// grant takes up to count requests from the bucket, or returns the time until one may be
// available.
func (l *sharedLimit) grant(now time.Time, count, priority int, organisation string) (int, time.Duration) {
	rate, limited := l.statement.rate(now)
	if !limited {
		return max(count, 1), 0
	}
	usage := l.organisation(now, organisation)
	usage.askedAt = now
	needed := neededTokens(priority)
	if l.beyondShare(now, usage) {
		needed += shareStep
	}
	if l.bucket.level < needed {
		seconds := (needed - l.bucket.level) / rate
		return 0, time.Duration(min(max(seconds, minWait.Seconds()), maxWait.Seconds()) * float64(time.Second))
	}
	more := int(min(max(l.bucket.level-reserve, 0), maxWant, float64(max(count-1, 0))))
	l.bucket.level -= float64(1 + more)
	usage.granted += float64(1 + more)
	return 1 + more, 0
}

func (l *sharedLimit) organisation(now time.Time, name string) *organisationUsage {
	u := l.usage[name]
	if u == nil {
		u = &organisationUsage{updated: now}
		l.usage[name] = u
	}
	u.decay(now)
	return u
}

// beyondShare reports whether an organisation has been granted more than an equal share, and
// one request, of what all organisations with demand have been granted lately.
func (l *sharedLimit) beyondShare(now time.Time, usage *organisationUsage) bool {
	total, active := 0.0, 0
	for name, u := range l.usage {
		u.decay(now)
		if now.Sub(u.askedAt) < demandTTL {
			total += u.granted
			active++
		} else if u.granted < 0.1 {
			delete(l.usage, name)
		}
	}
	return active > 1 && usage.granted > total/float64(active)+1
}

// sweepInterval is how often idle gateways and limits are removed.
const sweepInterval = 5 * time.Second

func (o *Owner) sweep(now time.Time) {
	if now.Sub(o.lastSweep) < sweepInterval {
		return
	}
	o.lastSweep = now
	for id, at := range o.gateways {
		if now.Sub(at) > gatewayTTL {
			delete(o.gateways, id)
		}
	}
	for key, l := range o.limits {
		if now.Sub(l.askedAt) > limitTTL {
			delete(o.limits, key)
		}
	}
}
