package queue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Copies are weighed in one unit: milliseconds by which first events are delayed, those of each
// class counting half of the next more urgent one's.

const (
	// lateWeight is the weight of a waiting request that has missed its aim: a further delay
	// costs its caller less.
	lateWeight = 0.25
	// memoryHeadroom is the share of all KV caches up to which nobody is expected to wait for
	// room; streams do not spread evenly enough to fill the rest.
	memoryHeadroom = 0.9
	// makeCopyFactor is by how much a copy must be worth its room to be made for a running
	// stream, so that copies are not dropped and made by turns.
	makeCopyFactor = 2
	// makeCopyCalm is how long nothing may have waited before copies are made for the running
	// streams of all classes, maxMakeCopies how many are made in one sweep: each takes bandwidth.
	makeCopyCalm, maxMakeCopies = time.Second, 2
	// growingCopyShare is the share of all KV caches that may be taken for copies to be made that
	// can't be dropped. A flood that begins then finds most of the room free.
	growingCopyShare = 0.25
	// minCopyRest is the share of a stream that must be left for a copy to be made.
	minCopyRest = 0.3
)

func classWeight(priority int) float64 {
	return math.Ldexp(1, -(priority/priorityLevels + priority%priorityLevels))
}

// restMS returns the expected time for which a placed request still takes its room.
func (q *Queue) restMS(now time.Time, r *request) float64 {
	return max(q.rates.expectedHoldMS-milliseconds(now.Sub(r.placedAt)), 0)
}

// copyWorth returns what a copy is worth for the rest of a stream: the probability that the
// upstream is lost by then, times what a restart from the prompt costs. The prompt counts
// twice, once for the caller and once for those that wait while it is read again.
func (q *Queue) copyWorth(r *request, restMS float64) float64 {
	restart := milliseconds(q.settings.LossCost) + 2*float64(r.prompt)*q.typicalMSPerToken()
	return classWeight(r.priority()) * q.lossProbability(restMS) * restart
}

// typicalMSPerToken returns the mean time to read a token.
func (q *Queue) typicalMSPerToken() float64 {
	if q.rates.readers == 0 {
		return 1.0 / priorTokensPerMS
	}
	return q.rates.readers / q.rates.capacity
}

// roomCost returns the delay that taking room for a time causes to those that wait, or are about
// to wait, for KV cache. Each of them begins later by the share of all room that is taken, times
// the time.
func (q *Queue) roomCost(tokens int, ms, affected float64) float64 {
	if q.rates.memory <= 0 {
		return 0
	}
	return affected * ms * float64(tokens) / q.rates.memory
}

// affected returns the weighted number of requests that wait for room or are about to: those
// that the expected demand exceeds the room by.
// Copies of less urgent classes do not count, since they go first.
func (q *Queue) affected(now time.Time, tokens, priority int) float64 {
	copies := 0
	for p := range priority + 1 {
		copies += q.copyTokens[p]
	}
	streams := max(float64(q.usedTokens), perMS(&q.rates.kvArrived, now, arrivalWindow)*q.rates.expectedHoldMS)
	excess := streams + float64(copies+tokens) - memoryHeadroom*q.rates.memory
	affected := max(excess, 0) / max(float64(tokens), 1)
	if now.Before(q.rates.shortUntil) {
		affected += q.waitingWeight()
	}
	return affected
}

// waitingWeight returns the weighted number of waiting requests.
func (q *Queue) waitingWeight() (sum float64) {
	for _, r := range q.resumes {
		sum += classWeight(r.priority())
	}
	for p, c := range q.classes {
		if c.count > 0 {
			n := c.levels[late].count
			sum += classWeight(p) * (float64(c.count-n) + lateWeight*float64(n))
		}
	}
	return sum
}

// chooseCopy returns the upstream that is to hold a copy of a placed request, or nil if the copy
// is not worth its room.
func (q *Queue) chooseCopy(now time.Time, r *request) *upstream {
	if !r.Copy || r.at == nil {
		return nil
	}
	rest := q.restMS(now, r)
	if q.copyWorth(r, rest) <= q.roomCost(r.tokens, rest, q.affected(now, r.tokens, r.priority())) {
		return nil
	}
	return q.copyHolder(now, r)
}

// plentyOfRoom reports whether copies may be made that can't be dropped.
func (q *Queue) plentyOfRoom(now time.Time) bool {
	taken := q.usedTokens
	for _, tokens := range q.copyTokens {
		taken += tokens
	}
	return now.After(q.rates.shortUntil) && float64(taken) <= growingCopyShare*q.rates.memory
}

// copyHolder returns the upstream with the least memory taken in another availability zone, since
// the upstreams of a zone fail together. It returns nil if there is no room.
func (q *Queue) copyHolder(now time.Time, r *request) *upstream {
	var best *upstream
	lowest := 0.0
	for _, u := range q.list {
		if !u.HoldsCopies || u.Zone == r.at.Zone || u.Version != r.at.Version || u.heldUntil.After(now) || !u.accepts(now) || !u.suits(r) || u.zone.suspectedDown(now) || !q.fits(u, r.tokens) {
			continue
		}
		cost := float64(u.usedTokens + u.copyTokens)
		if slices.Contains(r.Affinity, u.ID) {
			cost -= q.meanPrompt // the caller finds the prompt there once the stream has resumed
		}
		if best == nil || cost < lowest {
			best, lowest = u, cost
		}
	}
	return best
}

// chooseByDropping returns the upstream at which the copies that have to go for a request are worth
// least, if the request cannot be placed at one of a list for lack of KV cache and the wait of all
// costs more than these copies are worth. Else it returns nil. The caller drops the copies.
func (q *Queue) chooseByDropping(now time.Time, r *request, list []*upstream) *upstream {
	if !q.lacksRoom(r, list) {
		return nil
	}
	q.rates.shortUntil = now.Add(shortPeriod)
	limit := q.roomCost(r.tokens, q.rates.expectedHoldMS, q.affected(now, r.tokens, r.priority()))
	var best *upstream
	lowest := limit
	for _, u := range list {
		if u.held || !u.suits(r) || !q.fitsUnread(u, r) {
			continue
		}
		if worth, ok := q.worthOfRoom(now, u, r.tokens); ok && (worth < lowest || worth == lowest && best != nil && u.usedShare() > best.usedShare()) {
			best, lowest = u, worth
		}
	}
	return best
}

// lacksRoom reports whether nothing but KV cache or slots keeps a request from a free upstream.
func (q *Queue) lacksRoom(r *request, list []*upstream) bool {
	for _, u := range list {
		if !u.held && u.suits(r) && q.fitsUnread(u, r) && !q.fits(u, r.tokens) {
			return true
		}
	}
	return false
}

// worthOfRoom returns what the copies are worth that have to go for a number of tokens to fit; ok
// is false if they do not fit even then.
func (q *Queue) worthOfRoom(now time.Time, u *upstream, tokens int) (worth float64, ok bool) {
	q.sortCopies(now, u)
	need, slots := q.excess(u, tokens)
	for _, r := range u.copies {
		if need <= 0 && slots <= 0 {
			break
		}
		worth += r.copyWorth
		need -= r.tokens
		slots--
	}
	return worth, need <= 0 && slots <= 0 || u.requests == 0
}

// excess returns by how many tokens and slots a request exceeds the room of an upstream.
func (q *Queue) excess(u *upstream, tokens int) (need, slots int) {
	if u.MemoryTokens > 0 {
		need = u.usedTokens + u.copyTokens + tokens - q.memoryBound(u)
	}
	if u.Slots > 0 {
		slots = u.requests + len(u.copies) + 1 - u.Slots
	}
	return need, slots
}

// sortCopies sorts the copies at an upstream, the one least worth keeping first.
func (q *Queue) sortCopies(now time.Time, u *upstream) {
	for _, r := range u.copies {
		r.copyWorth = q.copyWorth(r, q.restMS(now, r))
		if r.growingCopy {
			r.copyWorth = math.Inf(1)
		}
	}
	slices.SortFunc(u.copies, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.copyWorth, b.copyWorth), cmp.Compare(a.seq, b.seq))
	})
}

// dropCopies drops copies at an upstream, whose copies are sorted, until a request fits. It drops none
// where the request fits already.
func (q *Queue) dropCopies(now time.Time, u *upstream, tokens int) {
	for len(u.copies) > 0 && !q.fits(u, tokens) {
		r := u.copies[0]
		q.detachCopy(r)
		q.decisions = append(q.decisions, Decision{Key: r.key, Action: DropCopy, CopyHolder: u.ID, Explanation: q.explain(now, r, u)})
	}
}

// makeCopies requests copies for running streams that have none, if only less urgent requests wait.
func (q *Queue) makeCopies(now time.Time) {
	before := q.mostUrgentWaiting()
	if before < priorities {
		q.calmFrom = now.Add(makeCopyCalm)
	} else if now.Before(q.calmFrom) {
		return
	}
	for range maxMakeCopies {
		r := q.bestWithoutCopy(now, before)
		if r == nil {
			return
		}
		holder := q.copyHolder(now, r)
		if holder == nil {
			return
		}
		lost := r.copyAt
		q.detachCopy(r)
		q.dropUnlisted(lost)
		q.attachCopy(holder, r)
		q.decisions = append(q.decisions, Decision{Key: r.key, Action: MakeCopy, CopyHolder: holder.ID, Explanation: q.explain(now, r, holder)})
	}
}

// mostUrgentWaiting returns the most urgent priority of the waiting requests, or priorities if
// there are none. Interrupted streams count as most urgent.
func (q *Queue) mostUrgentWaiting() int {
	if len(q.resumes) > 0 {
		return 0
	}
	for p, c := range q.classes {
		if c.count > 0 {
			return p
		}
	}
	return priorities
}

// bestWithoutCopy returns the running stream of the classes before one for which a copy is worth
// most beyond its room. A copy at an upstream that is not listed any more counts as lost.
func (q *Queue) bestWithoutCopy(now time.Time, before int) *request {
	var best *request
	highest := 0.0
	hold := q.rates.expectedHoldMS
	for _, r := range q.requests {
		if !r.Copy || r.priority() >= before || r.state != running || r.at == nil || r.copyAt != nil && r.copyAt.listed {
			continue
		}
		rest := q.restMS(now, r)
		if rest < minCopyRest*hold {
			continue
		}
		gain := q.copyWorth(r, rest) - makeCopyFactor*q.roomCost(r.tokens, rest, q.affected(now, r.tokens, r.priority()))
		if gain > highest || gain == highest && best != nil && r.seq < best.seq {
			best, highest = r, gain
		}
	}
	return best
}
