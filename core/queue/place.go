package queue

import (
	"slices"
	"time"
)

const (
	// prefillWeight is how much the time to read the prompt counts. It counts twice, since a slow
	// upstream also runs the stream slowly and holds its room for longer.
	prefillWeight = 2
	// crossZoneShare is the cost of sending a stream to another availability zone, as a share of
	// the typical prefill time. Links between zones lose packets at times, and each event of a
	// stream that is retransmitted arrives late.
	crossZoneShare = 0.35
	// runningShare is the cost of one running stream for a new stream, as a share of the
	// typical prefill time. During a prefill the running stream slows to a quarter of its
	// speed.
	runningShare = 0.15
	// memoryShare is the cost of a full KV cache compared with an empty one, as a share of the
	// typical prefill time.
	memoryShare = 0.3
	// affinityShare is the gain from placing a prompt where its caller finds it again after the
	// loss of the gateway, as a share of the typical prefill time.
	affinityShare = 0.5
	// zoneFailureMS is the cost of each recent failure in a zone that is suspected down.
	zoneFailureMS = 500
	// jitterMS spreads requests over upstreams of equal cost.
	jitterMS = 6
)

const (
	// slowFactor is how much slower than usual an upstream is that may be left idle while others
	// are expected to start all that wait sooner.
	slowFactor = 1.2
	// waitGain is the least gain, as a share of the typical prefill time, for which a request
	// waits for a faster upstream.
	waitGain = 0.1
)

// betterToWait reports whether all that wait, and all that arrive meanwhile, are expected to begin
// at upstreams that still read before this request would begin at a slow one that is free.
func (q *Queue) betterToWait(now time.Time, r *request, u *upstream) bool {
	typical := q.typicalMSPerToken()
	if u.msPerToken < slowFactor*typical {
		return false
	}
	begins := u.readingLeft(now) + u.prefill(r.prompt) - fromMS(waitGain*typical*float64(r.prompt))
	arrivals := q.arrivalRate(now, priorities) * milliseconds(begins) / q.meanPrompt
	starts, need := 0, q.waiting()+int(arrivals)
	for _, v := range q.list {
		left := v.readyAt.Sub(now)
		if len(v.unread) == 0 || left < 0 || v.msPerToken >= u.msPerToken || !v.accepts(now) || !v.suits(r) || !q.fits(v, r.tokens) {
			continue
		}
		starts += int((begins - left) / max(v.prefill(r.prompt), 1))
		if starts >= need {
			return true
		}
	}
	return false
}

// findFree lists the upstreams that may be given a prompt now.
func (q *Queue) findFree(now time.Time) {
	since := now.Sub(q.epoch)
	for _, u := range q.held {
		u.held = false
	}
	q.held = q.held[:0]
	if !q.freeStale && since < q.freeUntil {
		return
	}
	q.freeStale = false
	q.free, q.freeUntil = q.free[:0], since+sweepInterval
	for _, u := range q.list {
		if !u.Accepts {
			continue
		}
		if u.mayRead(since) && u.accepts(now) {
			q.free = append(q.free, u)
		}
		q.checkFreeAt(now, since, u)
	}
}

// checkFreeAt has the list of free upstreams renewed when one of them changes with time.
func (q *Queue) checkFreeAt(now time.Time, since time.Duration, u *upstream) {
	if !u.pausedUntil.IsZero() && u.pausedUntil.After(now) {
		q.freeUntil = min(q.freeUntil, u.pausedUntil.Sub(q.epoch))
	}
	if len(u.unread) == 0 {
		return
	}
	if u.grantFrom > since {
		q.freeUntil = min(q.freeUntil, u.grantFrom)
	} else if u.grantUntil > since {
		q.freeUntil = min(q.freeUntil, u.grantUntil)
	}
}

// usedUp updates the list of free upstreams after a placement.
func (q *Queue) usedUp(now time.Time, u *upstream) {
	since := now.Sub(q.epoch)
	q.checkFreeAt(now, since, u)
	if u.mayRead(since) && u.accepts(now) {
		return
	}
	if i := slices.Index(q.free, u); i >= 0 {
		q.free[i] = q.free[len(q.free)-1]
		q.free = q.free[:len(q.free)-1]
	}
}

func (u *upstream) accepts(now time.Time) bool {
	return u.Accepts && (u.pausedUntil.IsZero() || !u.pausedUntil.After(now))
}

// suits reports whether an upstream may run a request at all.
func (u *upstream) suits(r *request) bool {
	return (r.Version == "" || r.Version == u.Version) && !slices.Contains(r.Excluded, u.ID)
}

// choose returns the free upstream with the lowest cost that has room for a request, or nil.
func (q *Queue) choose(now time.Time, r *request, list []*upstream) *upstream {
	var best *upstream
	lowest := 0.0
	for _, u := range list {
		if u.held || !u.suits(r) || !q.fitsUnread(u, r) || !q.fits(u, r.tokens) {
			continue
		}
		if cost := q.cost(now, r, u); best == nil || cost < lowest {
			best, lowest = u, cost
		}
	}
	return best
}

// cost estimates the cost in milliseconds of placing a request at an upstream: the time to its
// first event, and what the placement costs besides.
func (q *Queue) cost(now time.Time, r *request, u *upstream) float64 {
	typical := u.msPerToken * q.meanPrompt
	cost := milliseconds(u.readingLeft(now)) + prefillWeight*u.msPerToken*float64(r.prompt) + q.rng.Float64()*jitterMS
	cost += runningShare * typical * float64(u.requests)
	if u.MemoryTokens > 0 {
		cost += memoryShare * typical * float64(u.usedTokens+u.copyTokens) / float64(u.MemoryTokens)
	}
	if u.Zone != r.Zone {
		cost += crossZoneShare * typical
	} else if slices.Contains(r.Affinity, u.ID) {
		cost -= affinityShare * typical
	}
	if u.zone.suspectedDown(now) {
		cost += zoneFailureMS * float64(len(u.zone.failures))
	}
	return cost
}

// chooseResume returns the upstream for an interrupted stream whose preferred upstream does not
// accept work: the best one with room, whatever it has to read.
func (q *Queue) chooseResume(now time.Time, r *request) *upstream {
	list := q.accepting(now)
	if u := q.choose(now, r, list); u != nil {
		return u
	}
	return q.chooseByDropping(now, r, list)
}

// accepting lists the upstreams that accept work, whatever they have to read.
func (q *Queue) accepting(now time.Time) []*upstream {
	q.resumable = q.resumable[:0]
	for _, u := range q.list {
		if u.accepts(now) {
			q.resumable = append(q.resumable, u)
		}
	}
	return q.resumable
}

// place decides that a request goes to an upstream.
func (q *Queue) place(now time.Time, r *request, u *upstream) {
	explanation := q.explain(now, r, u)
	f := r.flow
	q.unqueue(r)
	if f != nil {
		q.classes[r.priority()].charge(f, r.tokens)
		r.charged = f
	}
	q.setState(r, placed)
	q.attach(now, u, r)
	if r.expected == 0 {
		explanation.Expected = r.readyAt.Sub(now)
	}
	q.countStart(now, r)
	r.counted = true
	q.usedUp(now, u)
	d := Decision{Key: r.key, Action: Place, Upstream: u.ID, ExpectedFirstEvent: r.readyAt.Sub(now), Explanation: explanation}
	if holder := q.chooseCopy(now, r); holder != nil {
		r.growingCopy = q.plentyOfRoom(now)
		q.attachCopy(holder, r)
		d.CopyHolder, d.GrowingCopy = holder.ID, r.growingCopy
	}
	q.decisions = append(q.decisions, d)
}

// refund takes back what a placement that was not carried out has charged. The description of the
// request must be the one that was placed.
func (q *Queue) refund(now time.Time, r *request) {
	if r.state == placed && r.counted {
		q.uncountStart(now, r)
		if c := q.classes[r.priority()]; r.charged != nil && c.flows[r.Organisation] == r.charged {
			c.refund(r.charged, r.tokens)
		}
	}
	r.counted, r.charged = false, nil
}

func (q *Queue) explain(now time.Time, r *request, u *upstream) Explanation {
	e := Explanation{Waiting: q.waiting() + len(q.resumes), Ahead: int(float64(r.ahead) / q.meanPrompt), AheadTokens: r.ahead,
		Waited: now.Sub(r.submittedAt), Expected: r.expected}
	if u != nil {
		e.Unread, e.Used = u.unreadTokens, u.usedShare()
	}
	return e
}
