// Package speed estimates how fast each upstream of one service works, relative to the median
// of the service, from the times that its answers take and from its own statements.
//
// Upstreams are equal until measurements show otherwise: an upstream differs from the median
// only by as much as a sign test over its samples confirms. An Estimator has neither clock nor
// lock; it must be used by a single goroutine.
package speed

import (
	"math"
	"math/bits"
	"time"
)

const (
	// priorTokensPerMS and priorCallMS apply until there are samples: a model of 70 billion
	// parameters on current accelerators, a database call.
	priorTokensPerMS = 8
	priorCallMS      = 15
	// defaultForget is the time constant with which samples lose weight and an estimate without
	// new ones returns to the median. Machines change hands within minutes to hours. With one
	// minute, slow upstreams that are avoided are tried again so often that p99 of the first
	// events of an uneven fleet rises by four per cent.
	defaultForget = 5 * time.Minute
	// MinRelative and MaxRelative bound the speed of an upstream relative to the median. A
	// measured ratio beyond these is more likely a fault of the measurement, and an upstream
	// that answers at all keeps some work, so that its recovery is noticed.
	MinRelative, MaxRelative = 0.25, 2.5
	// maxUpstreams bounds the number of upstreams that are remembered, and with it the memory:
	// about 1 kB each.
	maxUpstreams = 4096
	// staleAfter is the time without a sample, in time constants, after which an upstream is
	// forgotten: its samples have lost 95 per cent of their weight.
	staleAfter = 3
	// refreshInterval is the age at which the estimate of an upstream is computed again, so
	// that samples lose their weight, and at which the levels are centred on the median.
	refreshInterval = time.Second
	// maxBeside bounds the number of prompts that a first event may have waited for. With more
	// the time says nothing about the upstream.
	maxBeside = 8
	// maxSample and maxTokens bound a sample; larger ones are faults of the caller.
	maxSample = time.Hour
	maxTokens = 100_000_000
)

// Settings are the settings of an Estimator. Zero values select the defaults.
type Settings struct {
	// TokensPerMS is the prefill rate, and CallMS the time to the answer of a plain call in
	// milliseconds, until there are samples.
	TokensPerMS, CallMS float64
	// Forget is the time constant with which samples lose weight.
	Forget time.Duration
	// MaxClaim is the factor by which the usual figure of an upstream may make it faster or
	// slower than the median until it is measured, at most 1.5. It is for an estimator that
	// places all requests of a service: many gateways that follow the same claims, without
	// knowing of each other, crowd the few upstreams that claim to be fast.
	MaxClaim float64
}

// Estimator estimates the speed of the upstreams of one service.
type Estimator struct {
	forget time.Duration
	// maxClaim is the logarithm of Settings.MaxClaim.
	maxClaim  float64
	levels    [kinds]level
	upstreams map[string]*upstream
	centredAt time.Time
	// spread is the largest difference of an upstream from the median, as a logarithm.
	spread float64
	// usualStated is the median of what the upstreams usually state, as a logarithm, and claims
	// the number of those that do.
	usualStated float64
	claims      int
}

type upstream struct {
	samples samples
	// logSpeed is the logarithm of the speed relative to the median, computed at refreshedAt.
	logSpeed    float64
	refreshedAt time.Time
	stated      statement
	lastAt      time.Time
}

// New returns an Estimator without samples.
func New(s Settings) *Estimator {
	e := &Estimator{forget: s.Forget, upstreams: map[string]*upstream{}}
	if e.forget <= 0 {
		e.forget = defaultForget
	}
	if s.MaxClaim > 1 {
		e.maxClaim = math.Log(min(s.MaxClaim, largestMaxClaim))
	}
	e.levels[prefill].log = -math.Log(positiveOr(s.TokensPerMS, priorTokensPerMS))
	e.levels[call].log = math.Log(positiveOr(s.CallMS, priorCallMS))
	return e
}

// positiveOr returns v if it is positive and finite, and otherwise the default.
func positiveOr(v, otherwise float64) float64 {
	if v > 0 && !math.IsInf(v, 1) {
		return v
	}
	return otherwise
}

// FirstEvent records the time from sending a prompt to its first event. beside is the number
// of prompts known to be read before or with it there; such a sample counts only as far as the
// contention cannot explain it.
func (e *Estimator) FirstEvent(now time.Time, id string, promptTokens int, took time.Duration, beside int) {
	if promptTokens <= 0 || promptTokens > maxTokens || beside < 0 || beside > maxBeside || !plausible(took) {
		return
	}
	raw := math.Log(milliseconds(took) / float64(promptTokens))
	if beside == 0 {
		e.add(now, id, prefill, raw)
		return
	}
	if e.levels[prefill].samples == 0 {
		return // nothing to compare a contended sample with
	}
	expected := e.levels[prefill].log - e.logSpeed(now, id)
	alone := raw - math.Log(float64(1+beside)) // if the prompts beside it took all their time before it
	switch {
	case expected > raw:
		e.add(now, id, prefill, raw)
	case expected < alone:
		e.add(now, id, prefill, alone)
	}
}

// Spacing records the time between events of a stream, and the number of streams that ran
// there, itself included.
func (e *Estimator) Spacing(now time.Time, id string, perEvent time.Duration, batch int) {
	if batch > 0 && plausible(perEvent) {
		e.add(now, id, spacingKind(batch), math.Log(milliseconds(perEvent)))
	}
}

// Call records the time to the answer of a plain call beside which no other was known.
func (e *Estimator) Call(now time.Time, id string, took time.Duration) {
	if plausible(took) {
		e.add(now, id, call, math.Log(milliseconds(took)))
	}
}

// Stated records the upstream's own figure of how long work takes there now, in per cent of
// the usual.
func (e *Estimator) Stated(now time.Time, id string, percent float64) {
	if !(percent > 0) || math.IsInf(percent, 1) {
		return
	}
	if u := e.ensure(now, id); u != nil {
		if u.stated.record(now, percent) {
			u.refreshedAt = time.Time{}
		}
	}
}

func (e *Estimator) add(now time.Time, id string, k kind, raw float64) {
	u := e.ensure(now, id)
	if u == nil {
		return
	}
	l, corrected := &e.levels[k], raw+e.logSpeed(now, id)
	l.add(corrected)
	if k < spacing { // the spacing of events is measured long after the statement
		u.stated.check(now, e.forget, corrected-l.log)
	}
	if u.samples.add(now, k, raw, &e.levels) {
		u.refreshedAt = time.Time{}
	}
}

// ensure returns the state of an upstream, which it creates if there is none.
func (e *Estimator) ensure(now time.Time, id string) *upstream {
	if id == "" {
		return nil
	}
	u := e.upstreams[id]
	if u == nil {
		if len(e.upstreams) >= maxUpstreams {
			e.dropStale(now)
		}
		if len(e.upstreams) >= maxUpstreams {
			e.dropOldest()
		}
		u = &upstream{stated: newStatement()}
		e.upstreams[id] = u
	}
	if now.After(u.lastAt) {
		u.lastAt = now
	}
	return u
}

// Forget drops what is known of an upstream that has left or restarted.
func (e *Estimator) Forget(id string) { delete(e.upstreams, id) }

func (e *Estimator) dropStale(now time.Time) {
	for id, u := range e.upstreams {
		if now.Sub(u.lastAt) > staleAfter*e.forget {
			delete(e.upstreams, id)
		}
	}
}

func (e *Estimator) dropOldest() {
	oldest := ""
	for id, u := range e.upstreams {
		if oldest == "" || u.lastAt.Before(e.upstreams[oldest].lastAt) {
			oldest = id
		}
	}
	delete(e.upstreams, oldest)
}

// PrefillMS returns the expected time in milliseconds to read a number of prompt tokens.
func (e *Estimator) PrefillMS(now time.Time, id string, tokens float64) float64 {
	if !(tokens > 0) {
		return 0
	}
	return e.expectedMS(now, id, min(tokens, maxTokens)*math.Exp(e.levels[prefill].log))
}

// CallMS returns the expected time in milliseconds of a plain call.
func (e *Estimator) CallMS(now time.Time, id string) float64 {
	return e.expectedMS(now, id, math.Exp(e.levels[call].log))
}

// SpacingMS returns the expected time in milliseconds between events of a stream when a number
// of streams run there, or zero if no stream has been measured yet.
func (e *Estimator) SpacingMS(now time.Time, id string, batch int) float64 {
	k, known := e.nearestSpacing(batch)
	if !known {
		return 0
	}
	return math.Exp(e.levels[k].log - e.logSpeed(now, id))
}

// nearestSpacing returns the kind with samples whose batch is nearest to the given one. Of two
// it prefers the larger batch, which expects longer gaps.
func (e *Estimator) nearestSpacing(batch int) (kind, bool) {
	wanted := int(spacingKind(max(batch, 1)))
	for distance := range spacingKinds {
		for _, k := range [2]int{wanted + distance, wanted - distance} {
			if k >= int(spacing) && k < kinds && e.levels[k].samples > 0 {
				return kind(k), true
			}
		}
	}
	return 0, false
}

func (e *Estimator) expectedMS(now time.Time, id string, medianMS float64) float64 {
	ms := medianMS * math.Exp(-e.logSpeed(now, id))
	if u := e.upstreams[id]; u != nil {
		ms += min(ms, milliseconds(statedLife)) * (u.stated.slowness(now, e.forget) - 1)
	}
	return ms
}

// Relative returns the speed of an upstream relative to the service's median: 1 if there is no
// evidence of a difference, more if it is faster.
func (e *Estimator) Relative(now time.Time, id string) float64 { return math.Exp(e.logSpeed(now, id)) }

// Spread returns the largest ratio between the speed of an upstream and the median, whichever
// of them is faster: 1 if there is no evidence of any difference.
func (e *Estimator) Spread(now time.Time) float64 {
	e.centre(now)
	return math.Exp(e.spread)
}

// StatedSlowness returns how much longer than usual work takes at an upstream for the next
// moments, by its own statement as far as that is believed. It is 1 without one.
func (e *Estimator) StatedSlowness(now time.Time, id string) float64 {
	if u := e.upstreams[id]; u != nil {
		return u.stated.slowness(now, e.forget)
	}
	return 1
}

// logSpeed returns the logarithm of the relative speed.
func (e *Estimator) logSpeed(now time.Time, id string) float64 {
	e.centre(now)
	u := e.upstreams[id]
	if u == nil {
		return 0
	}
	e.refresh(now, u)
	return u.logSpeed
}

func (e *Estimator) refresh(now time.Time, u *upstream) {
	if age := now.Sub(u.refreshedAt); age < 0 || age >= refreshInterval {
		u.logSpeed = min(max(u.samples.estimate(now, e.forget, &e.levels, e.claim(now, u)), math.Log(MinRelative)), math.Log(MaxRelative))
		u.refreshedAt = now
	}
}

// claim returns what the usual figure of an upstream claims about its speed relative to the
// median, as a logarithm, within bounds. It is zero unless several upstreams can be compared.
func (e *Estimator) claim(now time.Time, u *upstream) float64 {
	usual, windows := u.stated.usual(now, e.forget)
	if windows == 0 || e.claims < minClaims || usual > e.usualStated && windows < minStatedWindows {
		return 0
	}
	return min(max(e.usualStated-usual, -e.maxClaim), e.maxClaim)
}

func plausible(d time.Duration) bool { return d > 0 && d <= maxSample }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func spacingKind(batch int) kind {
	return spacing + kind(min(bits.Len(uint(batch))-1, spacingKinds-1))
}
