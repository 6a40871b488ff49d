package queue

import (
	"slices"
	"time"
)

// This file estimates how long requests wait.

const (
	// maxBusyShare bounds the share of the throughput that is assumed to go to later arrivals
	// that pass a request, except in an overload that is expected to last.
	maxBusyShare = 0.5
	// overloadShare is how much longer an overload is expected to last, as a share of the time
	// that it has lasted.
	overloadShare = 0.25
	// overloadEnd is the share of the throughput below which arrivals end an overload. It is less
	// than 1, so that noise does not end it.
	overloadEnd = 0.8
)

// expectedWait returns the expected time to the first event of a waiting request in a level, and
// the prompt tokens that go before it.
func (q *Queue) expectedWait(now time.Time, r *request, l levelIndex) (time.Duration, int) {
	p := r.priority()
	ahead, passing := 0, p // classes whose later arrivals pass
	for i, c := range q.classes {
		switch {
		case c.count == 0:
		case i < p:
			ahead += c.levels[returned].tokens + c.levels[onTime].tokens
			if l == late {
				ahead += c.levels[late].tokens
			}
		case i == p && l != returned:
			ahead += c.levels[returned].tokens
			if l == late {
				ahead += c.levels[onTime].tokens
			}
		case l == late:
			ahead += c.levels[onTime].tokens
		}
	}
	if l == late {
		passing = p + 1
	}
	throughput := q.throughput(now)
	inLevel := q.aheadInLevel(r, l)
	ms := q.drainMS(now, float64(ahead+inLevel), throughput, q.arrivalRate(now, passing)/throughput)
	if l != late { // the floor of a class serves those first that are on time
		ms = min(ms, float64(inLevel)/(throughput*q.settings.Floor)+milliseconds(floorWait))
	}
	ahead += inLevel
	ms += q.typicalMSPerToken() * float64(r.prompt)
	return fromMS(min(ms, milliseconds(maxDuration))), ahead
}

// drainMS returns the expected time until a number of prompt tokens has been started, while later
// arrivals that pass them take a share of the throughput. An overload is expected to last for a
// share of the time that it has lasted; a request is not refused because it would wait for ever if
// it never ended.
func (q *Queue) drainMS(now time.Time, tokens, throughput, busy float64) float64 {
	calm := 1 - min(busy, maxBusyShare)
	if q.overloadFrom.IsZero() || busy <= maxBusyShare {
		return tokens / (throughput * calm)
	}
	lasts := overloadShare * milliseconds(now.Sub(q.overloadFrom))
	left := max(1-busy, 0)
	if drained := throughput * left * lasts; tokens > drained {
		return lasts + (tokens-drained)/(throughput*calm)
	}
	return tokens / (throughput * left)
}

// aheadInLevel returns the prompt tokens that go before a request in its level. In fair queueing
// the other organisations are served in proportion before it, but at most all of the level is.
func (q *Queue) aheadInLevel(r *request, l levelIndex) int {
	lv := &q.classes[r.priority()].levels[l]
	if r.flow == nil {
		return lv.tokens
	}
	list, flows, total := r.flow.lists[l], len(lv.flows.list), lv.tokens
	at := len(list)
	if r.level == l {
		at, _ = slices.BinarySearchFunc(list, r, earlier)
		total -= r.prompt
	} else if at == 0 {
		flows++
	}
	own := float64(at) / float64(max(len(list), 1)) * float64(r.flow.tokens[l])
	return int(min(own*float64(flows), float64(total)))
}

// noticeOverload follows whether more arrives than can be started.
func (q *Queue) noticeOverload(now time.Time) {
	share := q.arrivalRate(now, priorities) / q.throughput(now)
	switch {
	case q.overloadFrom.IsZero() && share > 1 && q.waiting() > 0:
		q.overloadFrom = now
	case share < overloadEnd:
		q.overloadFrom = time.Time{}
	}
}
