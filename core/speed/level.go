package speed

import (
	"math"
	"slices"
	"time"
)

// kind is what a sample measures. The times of each kind have a level of their own.
type kind int

const (
	prefill kind = iota // time for each token of a prompt
	call                // time to the answer of a plain call
	spacing             // time between events, by the size of the batch: 1, 2 to 3, 4 to 7 and so on
	// spacingKinds is the number of batch sizes that are told apart; the last one is 64 and more.
	spacingKinds = 7
	kinds        = int(spacing) + spacingKinds
)

// minLevelStep is the step of a level in logarithmic units once there are many samples; the
// first samples change it by more. A level follows a change by a factor of two within 35
// samples.
const minLevelStep = 0.02

// level is the median time of a kind of work at an upstream of median speed, as a logarithm of
// milliseconds.
type level struct {
	log     float64
	samples int
}

// add moves the level towards a sample that is corrected for the speed of its upstream. The
// step does not depend on how far off the sample is, so that the level follows the median.
func (l *level) add(log float64) {
	l.samples++
	if l.samples == 1 {
		l.log = log
		return
	}
	step := max(minLevelStep, 1/float64(l.samples))
	l.log += min(max(log-l.log, -step), step)
}

// centre moves all levels, about once a second, such that the median of the relative speeds of
// the measured upstreams is 1. An even number of upstreams has the mean of the middle two.
func (e *Estimator) centre(now time.Time) {
	if age := now.Sub(e.centredAt); age >= 0 && age < refreshInterval {
		return
	}
	e.centredAt = now
	e.dropStale(now)
	e.centreClaims(now)
	speeds := make([]float64, 0, len(e.upstreams))
	for _, u := range e.upstreams {
		if u.samples.weight(now, e.forget) >= minCentreWeight {
			speeds = append(speeds, u.samples.median(now, e.forget, &e.levels))
		}
	}
	middle := middleOf(speeds)
	for k := range e.levels {
		if e.levels[k].samples > 0 {
			e.levels[k].log -= middle
		}
	}
	e.spread = 0
	for _, u := range e.upstreams {
		u.refreshedAt = time.Time{}
		e.refresh(now, u)
		e.spread = max(e.spread, math.Abs(u.logSpeed))
	}
}

// centreClaims finds the median of what the upstreams usually state.
func (e *Estimator) centreClaims(now time.Time) {
	figures := make([]float64, 0, len(e.upstreams))
	for _, u := range e.upstreams {
		if usual, windows := u.stated.usual(now, e.forget); windows > 0 {
			figures = append(figures, usual)
		}
	}
	e.usualStated, e.claims = middleOf(figures), len(figures)
}

// minClaims is the number of upstreams that must state a usual figure before these are compared.
const minClaims = 3

// middleOf returns the median, the mean of the middle two of an even number, or zero for none.
func middleOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}

// minCentreWeight is the weight of samples from which an upstream counts in the median.
const minCentreWeight = 0.9
