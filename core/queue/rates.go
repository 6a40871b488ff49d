package queue

import (
	"math"
	"time"
)

// decayed is a sum whose parts lose weight exponentially with their age.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) add(now time.Time, window time.Duration, value float64) {
	d.sum, d.at = d.value(now, window)+value, now
}

func (d *decayed) value(now time.Time, window time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-max(now.Sub(d.at).Seconds(), 0)/window.Seconds())
}

const (
	// arrivalWindow is the time constant of arrival rates: short enough to see a flood within
	// the shortest aims.
	arrivalWindow = 2 * time.Second
	// startWindow is the time constant of the rate of starts.
	startWindow = time.Second
	// lossWindow is the time constant with which lost upstreams are forgotten.
	lossWindow = time.Minute
	// lossPriorSeconds is the weight of the prior rate of losses, in seconds of one stream.
	lossPriorSeconds = 500
	// priorHoldMS is the assumed time that a stream takes its room, until streams have ended.
	priorHoldMS = 6000
	// holdWeight is the weight of the newest stream in the mean of that time.
	holdWeight = 0.03
	// readSlowdown is the share of its speed that a running stream loses while its upstream
	// reads a prompt.
	readSlowdown = 0.75
	// maxReadShare bounds the expected share of time in which upstreams read. KV cache runs out
	// before they read all the time.
	maxReadShare = 0.85
	// shortPeriod is how long the lack of KV cache counts after it was seen.
	shortPeriod = 500 * time.Millisecond
	// minThroughputShare bounds the estimate of starts from below, as a share of the reading
	// capacity, so that expected times stay finite.
	minThroughputShare = 0.1
)

// rates holds what the queue has learned about its load.
type rates struct {
	// arrived are prompt tokens by class, kvArrived all tokens, started prompt tokens.
	arrived            [priorities]decayed
	kvArrived, started decayed
	// lost counts streams that lost their upstream, streamSeconds the time that streams ran.
	lost, streamSeconds decayed
	// holdMS is the mean time that a stream takes its room while its upstream reads nothing else.
	holdMS float64
	// capacity is the sum of the reading speeds in tokens per millisecond, memory the sum of the
	// KV caches, as of the last sweep.
	capacity, memory float64
	// readers is the number of requests that are read at once by all upstreams that accept work.
	readers float64
	// shortUntil is until when KV cache rather than reading limits the starts.
	shortUntil time.Time
	sweptAt    time.Time
	// expectedHoldMS is the expected time that a new stream takes its room beside the current
	// reading, lossRate the rate per second at which a stream loses its upstream.
	expectedHoldMS, lossRate float64
}

// perMS returns the rate of a decayed sum per millisecond.
func perMS(d *decayed, now time.Time, window time.Duration) float64 {
	return d.value(now, window) / milliseconds(window)
}

// arrivalRate returns the prompt tokens per millisecond that arrive for the classes before one.
func (q *Queue) arrivalRate(now time.Time, before int) (sum float64) {
	for p := range before {
		sum += perMS(&q.rates.arrived[p], now, arrivalWindow)
	}
	return sum
}

// throughput returns the prompt tokens per millisecond that can be started. Where KV cache is
// short, these are what was started lately or, if more, what the streams that end on average
// make room for: streams that began together also end together.
func (q *Queue) throughput(now time.Time) float64 {
	capacity := max(q.rates.capacity, 1e-3)
	if !now.Before(q.rates.shortUntil) {
		return capacity
	}
	steady := q.rates.memory / max(q.rates.expectedHoldMS, 1) * q.promptShare(now)
	return min(max(perMS(&q.rates.started, now, startWindow), steady, minThroughputShare*capacity), capacity)
}

// promptShare returns the share of prompts in the tokens that arrive.
func (q *Queue) promptShare(now time.Time) float64 {
	all := perMS(&q.rates.kvArrived, now, arrivalWindow)
	if all <= 0 {
		return 1
	}
	return min(q.arrivalRate(now, priorities)/all, 1)
}

// speedWhileReading returns the mean speed of running streams, as a share of their speed beside no
// reading.
func (q *Queue) speedWhileReading(now time.Time) float64 {
	busy := min(q.arrivalRate(now, priorities)/max(q.rates.capacity, 1e-3), maxReadShare)
	return 1 - readSlowdown*busy
}

// readers returns the number of requests that an upstream works on at once until they begin.
func (u *upstream) readers() float64 {
	if u.parallel() {
		return float64(max(u.Slots, 1))
	}
	return 1
}

// sweepRates refreshes the sums over upstreams and counts the time that streams ran.
func (q *Queue) sweepRates(now time.Time) {
	s := &q.rates
	s.capacity, s.memory, s.readers = 0, 0, 0
	held := 0
	for _, u := range q.list {
		held += u.requests
		if u.Accepts { // one that pauses after a failure is back soon
			s.readers += u.readers()
			s.capacity += u.readers() / u.msPerToken
			s.memory += float64(q.memoryBound(u))
		}
	}
	if since := now.Sub(s.sweptAt); since > 0 && since < time.Second {
		s.streamSeconds.add(now, lossWindow, float64(held)*since.Seconds())
	}
	s.sweptAt = now
	s.expectedHoldMS = s.holdMS / q.speedWhileReading(now)
	q.refreshLossRate(now)
}

// lossProbability returns the probability that a stream loses its upstream within a time.
func (q *Queue) lossProbability(ms float64) float64 {
	return -math.Expm1(-q.rates.lossRate * ms / 1000)
}

// refreshLossRate computes the rate of losses per second.
func (q *Queue) refreshLossRate(now time.Time) {
	lost := q.rates.lost.value(now, lossWindow) + q.settings.LossRate*lossPriorSeconds
	seconds := q.rates.streamSeconds.value(now, lossWindow) + lossPriorSeconds
	q.rates.lossRate = lost / seconds
}

// recordHold takes in the time for which a completed stream took its room.
func (q *Queue) recordHold(now time.Time, r *request) {
	ms := milliseconds(now.Sub(r.placedAt)) * q.speedWhileReading(now)
	if ms > 0 && !r.placedAt.IsZero() {
		q.rates.holdMS += holdWeight * (min(ms, 10*q.rates.holdMS) - q.rates.holdMS)
	}
}
