package queue

import (
	"math"
	"time"
)

const (
	// slackShare is the share of its aim that a request keeps in reserve. One that has less left
	// is pressed; one that has more, beyond what is expected to go before it, can let a pressed
	// one of a less urgent class pass.
	slackShare = 0.25
	// drainFactor is how much longer than expected the more urgent requests may take to start
	// without missing their aims because others passed.
	drainFactor = 2
	// floorWait is how long a class has waited before its floor counts.
	floorWait = time.Second
	// startWeight is the weight of the newest start in the shares of the classes.
	startWeight = 0.02
)

// expire moves requests that cannot make their aim any more behind those that can.
func (q *Queue) expire(now time.Time) {
	prefill := fromMS(q.typicalMSPerToken() * q.meanPrompt)
	for _, c := range q.classes {
		for lv := &c.levels[onTime]; len(lv.targets) > 0; {
			r := lv.targets[0]
			if target := r.target(); target.Sub(now) > min(prefill, target.Sub(r.arrivedAt)/2) {
				break
			}
			q.remove(r)
			q.push(r, late)
		}
	}
}

// place is a level of a class in the order.
type place struct {
	class *class
	level levelIndex
}

// next returns the request that goes next: one of a class below its floor, else one of a less
// urgent level that is pressed and can pass, else the most urgent one.
func (q *Queue) next(now time.Time) *request {
	if c := q.belowFloor(now); c != nil {
		return c.first()
	}
	var first *request
	ahead, spare := 0, maxDuration // of the levels before
	throughput := q.sureThroughput(now)
	prefill := fromMS(q.typicalMSPerToken() * q.meanPrompt)
	for _, p := range q.places(now, throughput) {
		lv := &p.class.levels[p.level]
		slack, reserve := lv.slack(now)-prefill, lv.reserve()
		pressed := slack >= 0 && slack < reserve+fromMS(float64(ahead)/throughput)
		returnedFirst := p.level == onTime && p.class.levels[returned].count > 0
		switch {
		case first == nil:
			first = p.class.head(p.level)
		case pressed && spare > prefill && !returnedFirst:
			return p.class.head(p.level)
		}
		ahead += lv.tokens
		spare = min(spare, slack-reserve-drainFactor*fromMS(float64(ahead)/throughput))
	}
	return first
}

// places returns the levels with requests in their order. Late requests lose nothing by waiting
// until their deadline presses, so until then they go behind those of all classes that can still
// begin within their aim.
func (q *Queue) places(now time.Time, throughput float64) []place {
	q.order = q.order[:0]
	ahead := 0
	var patient [priorities]bool
	for i, c := range q.classes {
		if c.count == 0 {
			continue
		}
		for l := range levels {
			lv := &c.levels[l]
			if lv.count == 0 {
				continue
			}
			ahead += lv.tokens
			if l == late && lv.slack(now) > lv.reserve()+drainFactor*fromMS(float64(ahead)/throughput) {
				patient[i] = true
				continue
			}
			q.order = append(q.order, place{c, l})
		}
	}
	for i, c := range q.classes {
		if patient[i] {
			q.order = append(q.order, place{c, late})
		}
	}
	return q.order
}

// reserve returns the time that the first request of a level to miss its target keeps in reserve.
func (lv *level) reserve() time.Duration {
	if len(lv.targets) == 0 {
		return 0
	}
	r := lv.targets[0]
	period := r.target().Sub(r.arrivedAt)
	if aim := limitDuration(r.Aim); aim > 0 {
		period = min(period, aim)
	}
	return time.Duration(slackShare * float64(period))
}

// first returns the first request of a class.
func (c *class) first() *request {
	for l := range levels {
		if r := c.head(l); r != nil {
			return r
		}
	}
	return nil
}

// belowFloor returns the class furthest below its floor among those that have waited for long.
func (q *Queue) belowFloor(now time.Time) *class {
	var lowest *class
	for _, c := range q.classes {
		if c.count == 0 || c.floorBlocked || c.share >= q.settings.Floor || now.Sub(c.waitingFrom) < floorWait {
			continue
		}
		if lowest == nil || c.share < lowest.share {
			lowest = c
		}
	}
	return lowest
}

// countStart counts a start in the shares of the classes.
func (q *Queue) countStart(now time.Time, r *request) {
	for p, c := range q.classes {
		c.share -= startWeight * c.share
		if p == r.priority() {
			c.share += startWeight
		}
	}
	q.rates.started.add(now, startWindow, float64(r.prompt))
}

// uncountStart takes a start out of the shares of the classes and the rate of starts.
func (q *Queue) uncountStart(now time.Time, r *request) {
	for p, c := range q.classes {
		if p == r.priority() {
			c.share -= startWeight
		}
		c.share = min(max(c.share/(1-startWeight), 0), 1)
	}
	decay := math.Exp(-max(now.Sub(r.placedAt).Seconds(), 0) / startWindow.Seconds())
	q.rates.started.add(now, startWindow, -decay*float64(r.prompt))
}
