package throttle

import (
	"math/rand/v2"
	"time"
)

const (
	// assumedGateways is the smallest number of gateways that are assumed to share a limit if
	// no owner has told it within countTTL. The owner counts only gateways that have asked.
	assumedGateways = 16
	countTTL        = 10 * time.Second
	// ownerlessShare is the share of a limit that gateways use together while they do not reach
	// the owner, which may grant the whole limit to others meanwhile.
	ownerlessShare = 1.0 / 4
	// ownerRetryDelay is how long the owner is not asked after a failed call. A new leader
	// is elected within a second.
	ownerRetryDelay = 400 * time.Millisecond
	// prefetchTime is the time whose requests a gateway asks for at once.
	prefetchTime = 250 * time.Millisecond
	// useTimeConstant is the time constant of the estimate of a gateway's own use.
	useTimeConstant = 500 * time.Millisecond
)

// Contact is what a gateway knows about the owner, for all upstreams.
type Contact struct {
	// gateways is the number of gateways that share the limits, as told at reachedAt.
	gateways  int
	reachedAt time.Time
	downUntil time.Time
	rng       *rand.Rand
}

// NewContact returns the state of a gateway that has not asked yet.
func NewContact(rng *rand.Rand) *Contact { return &Contact{gateways: assumedGateways, rng: rng} }

// Reached records an answer of the owner.
func (c *Contact) Reached(now time.Time, gateways int) {
	c.gateways, c.reachedAt, c.downUntil = max(gateways, 1), now, time.Time{}
}

// Failed records that the owner did not answer.
func (c *Contact) Failed(now time.Time) {
	if c.downUntil.IsZero() && now.Sub(c.reachedAt) > countTTL {
		c.gateways = max(c.gateways, assumedGateways)
	}
	c.downUntil = now.Add(ownerRetryDelay)
}

// down reports whether the owner has not answered and is not asked again yet.
func (c *Contact) down(now time.Time) bool { return now.Before(c.downUntil) }

// Class is the priority and organisation for which a grant is asked.
type Class struct {
	Priority     int
	Organisation string
}

// Limit is one gateway's view of the limit of an incarnation of an upstream. The zero value has
// no limit.
type Limit struct {
	statement *Statement // nil if the upstream has named no limit
	grants    []heldGrant
	// askAfter is when the owner may be asked again, by class.
	askAfter map[Class]time.Time
	// use is the recent number of requests per second, as of usedAt.
	use    float64
	usedAt time.Time
	// own holds what this gateway may send by itself while no owner answers.
	own bucket
}

// heldGrant is a number of requests that may be sent until a time.
type heldGrant struct {
	count   int
	expires time.Time
}

// Observe takes in an answer of the upstream: the limit that it names, nil for none. It reports
// whether the limit has changed.
func (l *Limit) Observe(sentAt, now time.Time, named *float64) (changed bool) {
	l.expire(now)
	l.statement, changed = observe(l.statement, sentAt, now, named)
	return changed
}

// expire forgets a limit some time after its end, and the grants that were not used in time.
func (l *Limit) expire(now time.Time) {
	if l.statement == nil {
		return
	}
	if _, limited := l.statement.rate(now); !limited {
		*l = Limit{}
		return
	}
	for len(l.grants) > 0 && !now.Before(l.grants[0].expires) {
		l.grants = l.grants[1:]
	}
}

// Statement returns what the upstream has said last, nil if it names no limit.
func (l *Limit) Statement() *Statement { return l.statement }

// Limited reports whether requests to the upstream need a grant.
func (l *Limit) Limited(now time.Time) bool {
	l.expire(now)
	return l.statement != nil
}

// Available reports whether a request may be sent now.
func (l *Limit) Available(now time.Time, c *Contact) bool {
	return !l.Limited(now) || len(l.grants) > 0 || c.down(now) && l.ownLevel(now, c) >= 1
}

// ownLevel returns the number of requests that this gateway may send by itself. Gateways that
// lose the owner together begin at random levels, so that they do not send together.
func (l *Limit) ownLevel(now time.Time, c *Contact) float64 {
	rate, _ := l.statement.rate(now)
	if l.own.filled.IsZero() {
		l.own = bucket{level: c.rng.Float64(), filled: now}
	}
	l.own.fill(now, ownerlessShare*rate/float64(c.gateways), 1)
	return l.own.level
}

// Take uses up one request. Available must have reported that there is one.
func (l *Limit) Take(now time.Time) {
	if !l.Limited(now) {
		return
	}
	l.use = l.useAt(now) + 1/useTimeConstant.Seconds()
	l.usedAt = now
	if len(l.grants) == 0 {
		l.own.level--
		return
	}
	if l.grants[0].count--; l.grants[0].count == 0 {
		l.grants = l.grants[1:]
	}
}

func (l *Limit) useAt(now time.Time) float64 {
	return l.use * max(1-now.Sub(l.usedAt).Seconds()/(2*useTimeConstant.Seconds()), 0)
}

// AskAt returns when the owner may be asked for a grant of a class.
func (l *Limit) AskAt(now time.Time, c *Contact, class Class) time.Time {
	at := l.askAfter[class]
	if c.downUntil.After(at) {
		at = c.downUntil
	}
	return at
}

// RetryAt estimates when a request of a class may be sent.
func (l *Limit) RetryAt(now time.Time, c *Contact, class Class) time.Time {
	at := l.askAfter[class]
	if c.down(now) {
		rate, _ := l.statement.rate(now)
		missing := max(1-l.ownLevel(now, c), 0) * float64(c.gateways) / (ownerlessShare * rate)
		at = now.Add(time.Duration(min(missing, maxWait.Seconds()) * float64(time.Second)))
	}
	return at
}

// Want returns what to ask the owner for.
func (l *Limit) Want(now time.Time, key Key) Want {
	return Want{key, l.statement.Encode(now), 1 + int(l.useAt(now)*prefetchTime.Seconds())}
}

// Apply takes in the owner's answer to a question that was sent at a time. It reports whether
// the limit has changed.
func (l *Limit) Apply(askedAt, now time.Time, class Class, a Answer) bool {
	if l.statement == nil {
		return false // has ended in the meantime
	}
	var changed bool
	l.statement, changed = adopt(l.statement, a.Statement.decode(now))
	if a.Granted > 0 {
		l.grants = append(l.grants, heldGrant{min(a.Granted, maxWant), askedAt.Add(GrantTTL)})
	} else {
		l.postpone(now, class, min(max(a.Wait, minWait), maxWait))
	}
	l.own = bucket{} // the time without an owner is over
	l.expire(now)
	return changed
}

// maxClasses bounds the classes whose next question is remembered.
const maxClasses = 256

func (l *Limit) postpone(now time.Time, class Class, wait time.Duration) {
	if len(l.askAfter) >= maxClasses {
		for c, at := range l.askAfter {
			if !now.Before(at) {
				delete(l.askAfter, c)
			}
		}
	}
	if l.askAfter == nil || len(l.askAfter) >= maxClasses {
		l.askAfter = map[Class]time.Time{}
	}
	l.askAfter[class] = now.Add(wait)
}
