package queue

import (
	"slices"
	"time"
)

// upstream is the account of one upstream.
type upstream struct {
	Upstream
	zone *zone
	// listed is unset for an upstream that is missing in the list but that requests or copies name,
	// known is set once it has been listed.
	listed, known bool
	// unread are the requests placed and not begun, in the order in which they are read;
	// unreadTokens is the sum of their prompts.
	unread       []*request
	unreadTokens int
	// readFrom is when the upstream has begun to read the first of unread, readyAt when it is
	// expected to have read all.
	readFrom, readyAt time.Time
	// grantFrom and grantUntil are the times, from the start of the queue, between which the next
	// prompt may be placed. Durations are compared faster than times.
	grantFrom, grantUntil time.Duration
	// requests counts what runs or is to run here, copies the copies that it holds.
	requests int
	copies   []*request
	// usedTokens and copyTokens are the KV cache taken by requests and by copies.
	usedTokens, copyTokens int
	msPerToken             float64
	// failures counts failures since the last first event; the upstream gets nothing before
	// pausedUntil.
	failures    int
	pausedUntil time.Time
	// held keeps requests that are behind another one away during one pass of decisions,
	// heldUntil copies for longer.
	held      bool
	heldUntil time.Time
}

// zone is an availability zone with the times of its recent failures.
type zone struct {
	failures []time.Time
}

const (
	// failureWindow is how long a failure counts against the others of its zone. A zone that
	// fails as a whole is back after a little more than a second.
	failureWindow = time.Second
	// zoneFailureThreshold is the number of recent failures from which a zone counts as down.
	// One is not enough, since single upstreams crash too.
	zoneFailureThreshold = 2
	// maxZoneFailures bounds the failures that are kept.
	maxZoneFailures = 6
	// maxPauseDoublings bounds the pause of an upstream that fails again and again.
	maxPauseDoublings = 3
	// fullPause is how long an upstream that refused a request for lack of room gets nothing.
	fullPause = 100 * time.Millisecond
)

func (z *zone) fail(now time.Time) {
	if len(z.failures) == maxZoneFailures {
		z.failures = slices.Delete(z.failures, 0, 1)
	}
	z.failures = append(z.failures, now)
}

// suspectedDown reports whether the zone seems to have failed as a whole.
func (z *zone) suspectedDown(now time.Time) bool {
	n := len(z.failures)
	return n >= zoneFailureThreshold && now.Sub(z.failures[n-zoneFailureThreshold]) < failureWindow
}

// fail records that the upstream or the path to it failed.
func (u *upstream) fail(now time.Time, pause time.Duration) {
	u.zone.fail(now)
	u.pause(now, pause)
}

// pause keeps new requests away, for longer after each further time without a first event. The
// streams of an upstream that fail together count once.
func (u *upstream) pause(now time.Time, pause time.Duration) {
	if u.pausedUntil.After(now) {
		return
	}
	u.pausedUntil = now.Add(pause << min(u.failures, maxPauseDoublings))
	u.failures++
}

func (u *upstream) prefill(tokens int) time.Duration { return fromMS(u.msPerToken * float64(tokens)) }

// addUnread adds a request to those that the upstream has to read.
func (q *Queue) addUnread(now time.Time, u *upstream, r *request) {
	if len(u.unread) == 0 {
		u.readFrom, u.readyAt = now, now
	}
	if u.readyAt.Before(now) || u.parallel() {
		u.readyAt = now
	}
	u.unread = append(u.unread, r)
	u.unreadTokens += r.toRead
	q.setReady(u, u.readyAt.Add(u.prefill(r.toRead)))
}

// setReady sets the time at which an upstream is expected to have read all. It is given the next
// prompt a lead before. One that is overdue by more gets nothing: it may be frozen.
func (q *Queue) setReady(u *upstream, at time.Time) {
	since, lead := at.Sub(q.epoch), q.settings.Lead
	u.readyAt, u.grantFrom, u.grantUntil = at, since-lead, since+lead
}

// removeUnread removes a request that has been read or has ended.
func (q *Queue) removeUnread(now time.Time, u *upstream, r *request) {
	i := slices.Index(u.unread, r)
	if i < 0 {
		return
	}
	u.unread = slices.Delete(u.unread, i, i+1)
	u.unreadTokens -= r.toRead
	if u.parallel() {
		return
	}
	if i == 0 {
		u.readFrom = now
	}
	q.setReady(u, u.readFrom.Add(u.prefill(u.unreadTokens)))
}

// readingLeft returns the expected time until all prompts at the upstream are read.
func (u *upstream) readingLeft(now time.Time) time.Duration {
	if u.parallel() {
		return 0
	}
	return max(u.readyAt.Sub(now), 0)
}

// attach counts a request at an upstream.
func (q *Queue) attach(now time.Time, u *upstream, r *request) {
	q.usedTokens += r.tokens
	r.at, r.placedAt = u, now
	u.requests++
	u.usedTokens += r.tokens
	if r.toRead = r.prompt; r.Preferred == u.ID {
		r.toRead = int(preferredShare * float64(r.prompt))
	}
	if r.state == placed {
		q.addUnread(now, u, r)
		r.readyAt, r.placedMSPerToken = u.readyAt, u.msPerToken
	}
}

// detach ends the account of a request at its upstream.
func (q *Queue) detach(now time.Time, r *request) {
	u := r.at
	if u == nil {
		return
	}
	r.at = nil
	q.usedTokens -= r.tokens
	u.requests--
	u.usedTokens -= r.tokens
	q.removeUnread(now, u, r)
}

// attachCopy counts the copy of a request at an upstream.
func (q *Queue) attachCopy(u *upstream, r *request) {
	q.copyTokens[r.priority()] += r.tokens
	r.copyAt = u
	u.copies = append(u.copies, r)
	u.copyTokens += r.tokens
}

// detachCopy ends the account of a request's copy.
func (q *Queue) detachCopy(r *request) {
	u := r.copyAt
	if u == nil {
		return
	}
	r.copyAt, r.growingCopy = nil, false
	u.copies = slices.DeleteFunc(u.copies, func(o *request) bool { return o == r })
	u.copyTokens -= r.tokens
	q.copyTokens[r.priority()] -= r.tokens
}
