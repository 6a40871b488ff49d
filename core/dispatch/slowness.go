package dispatch

import (
	"math"
	"time"

	"heatherway.dev/core/speed"
)

// This file tells upstreams of one service apart by their speed. The estimates of a service
// hold for an upstream of median speed; slowness is the factor for each other one.

const (
	// slownessTolerance is the difference from the median, as a logarithm, up to which the
	// upstreams of a service count as equal. Machines of one kind differ by less, and the
	// estimates of equal ones by chance. Once one upstream differs by twice as much, the
	// estimates of all count in full: a fleet at eight tenths of its capacity has no room for
	// differences of 15 per cent that are ignored.
	slownessTolerance = 0.14 // 15 per cent
	// slownessInterval is the age at which the slowness of an upstream is looked up again.
	slownessInterval = 100 * time.Millisecond
	// prefillSlowdown is how much longer the events of running streams take while a prompt
	// is prefilled beside them.
	prefillSlowdown = 4
	// ownSlownessShare is the share of the longer prefill of a prompt at a slow upstream that
	// counts against it. In full, it would fill fast upstreams to their capacity while slow ones
	// are idle, and the next peak would find no room where prompts are read fast.
	ownSlownessShare = 0.18
	// knownBesideAge is the age up to which a report tells what is prefilled before a prompt.
	knownBesideAge = 100 * time.Millisecond
	// pauseCostMS is the cost of an upstream that is not expected to keep the longest pause
	// of a stream, the same as of one that does not answer.
	pauseCostMS = unreachableCostMS
)

// TreatAsEqual makes placements take the upstreams of a service for equally fast, whatever is
// measured. It must be called before upstreams are set.
func (f *Fleet) TreatAsEqual() { f.equal = true }

// slowness returns how much longer than at the median upstream of the service work takes, by
// measurements; it is 1 for differences within the tolerance.
func (u *upstream) slowness(now time.Time) float64 {
	u.refreshSlowness(now)
	return u.slow
}

// uneven returns the share in which differences between the upstreams of the service count: 0
// if all are equal.
func (u *upstream) uneven(now time.Time) float64 {
	u.refreshSlowness(now)
	return u.unevenShare
}

func (u *upstream) refreshSlowness(now time.Time) {
	if age := now.Sub(u.slownessAt); age < 0 || age >= slownessInterval || u.slow == 0 {
		speeds := u.estimate.speeds
		if u.estimate.equal {
			u.slow, u.slownessAt = 1, now
			return
		}
		u.unevenShare = countedShare(speeds.Spread(now))
		u.slow, u.slownessAt = math.Pow(speeds.Relative(now, u.ID), -u.unevenShare), now
	}
}

// statedSlowness returns how much longer than usual work takes at the moment, by the
// upstream's own statement.
func (u *upstream) statedSlowness(now time.Time) float64 {
	if u.estimate.equal {
		return 1
	}
	slowness := u.estimate.speeds.StatedSlowness(now, u.ID)
	return math.Pow(slowness, countedShare(slowness))
}

// countedShare returns the share of a difference that counts. It grows gradually, so that no
// estimate jumps back and forth at the tolerance.
func countedShare(ratio float64) float64 {
	share := (math.Abs(math.Log(ratio)) - slownessTolerance) / slownessTolerance
	return min(max(share, 0), 1)
}

// prefillMS returns the time in milliseconds that the upstream takes to prefill tokens.
func (u *upstream) prefillMS(now time.Time, tokens float64) float64 {
	return u.estimate.prefillMS(tokens) * u.slowness(now)
}

// prefillTokens returns the number of tokens that the upstream prefills within d.
func (u *upstream) prefillTokens(now time.Time, d time.Duration) float64 {
	return u.estimate.prefillTokens(d) / u.slowness(now)
}

// callMS returns the time in milliseconds that a plain call takes at the upstream now.
func (u *upstream) callMS(now time.Time) float64 {
	return u.estimate.meanCallMS * u.slowness(now) * u.statedSlowness(now)
}

// slownessCostMS returns what the speed of the upstream itself costs a request, compared with
// an upstream of median speed: a later answer or first event, and pauses that are too long.
func (u *upstream) slownessCostMS(now time.Time, req *Request) float64 {
	if !req.Stream {
		return u.callMS(now) - u.estimate.meanCallMS
	}
	cost := 0.0
	if req.CachedAt != u.ID && req.Preferred != u.ID {
		cost = ownSlownessShare * u.estimate.prefillMS(float64(req.PromptTokens)) * (u.slowness(now) - 1)
	}
	if !u.keepsPauses(now, req.MaxEventGap) {
		cost += pauseCostMS
	}
	return cost
}

// keepsPauses reports whether the upstream is expected to send the events of one more stream
// within a gap, also while it prefills a prompt. It is true until events have been measured, and
// if an upstream of median speed could not do so either.
func (u *upstream) keepsPauses(now time.Time, gap time.Duration) bool {
	slow := u.slowness(now)
	if gap <= 0 || slow <= 1 {
		return true
	}
	atMedian := prefillSlowdown * u.estimate.speeds.SpacingMS(now, "", u.decoding(now)+1)
	return atMedian*slow <= milliseconds(gap) || atMedian > milliseconds(gap)
}

// decoding returns the number of streams that run at the upstream, as far as known.
func (u *upstream) decoding(now time.Time) int {
	return len(u.inFlight) + int(float64(u.others.requests)*u.reportWeight(now))
}

// besideKnown reports whether the prompts of other gateways at the upstream are known well enough
// to judge its speed by the next first event: in a flood, most prompts wait for others that
// reports show only later. Without any reports, no other gateway is assumed.
func (u *upstream) besideKnown(now time.Time) bool {
	return u.fullReportAt.IsZero() || now.Sub(u.fullReportAt) <= knownBesideAge
}

// beside returns the number of prompts that are known to be prefilled before a new one.
func (u *upstream) beside(now time.Time) int {
	n := int(math.Ceil(u.reportWeight(now) * u.otherPrefillTokens(now) / u.estimate.meanPrompt))
	for _, p := range u.inFlight {
		if p.stream && !p.prefilled {
			n++
		}
	}
	return n
}

// recordFirstEvent adds the time to the first event of a stream to the estimates.
func (p *placement) recordFirstEvent(now time.Time) {
	u, took := p.upstream, now.Sub(p.sentAt)
	u.prefilledAt = now
	if p.uncontended {
		u.estimate.addFirstEvent(p.promptTokens, time.Duration(float64(took)/u.slowness(now)))
	}
	if !p.cached && p.besideKnown {
		u.estimate.speeds.FirstEvent(now, u.ID, p.promptTokens, took, p.beside)
	}
}

// recordCall adds the time to the answer of a plain call to the estimates.
func (p *placement) recordCall(now time.Time) {
	if !p.uncontended {
		return
	}
	u, took := p.upstream, now.Sub(p.sentAt)
	u.estimate.addCall(time.Duration(float64(took) / u.slowness(now)))
	u.estimate.speeds.Call(now, u.ID, took)
}

// RecordSpacing records the time between events of a running stream.
func (f *Fleet) RecordSpacing(now time.Time, ticket uint64, perEvent time.Duration) {
	if p := f.tickets[ticket]; p != nil && p.stream && p.prefilled {
		u := p.upstream
		u.estimate.speeds.Spacing(now, u.ID, perEvent, max(u.decoding(now), 1))
	}
}

// RecordStatedSlowness records what an upstream has stated with an answer about how long its
// work takes, in per cent of the usual.
func (f *Fleet) RecordStatedSlowness(now time.Time, ticket uint64, percent float64) {
	if p := f.tickets[ticket]; p != nil {
		p.upstream.estimate.speeds.Stated(now, p.upstream.ID, percent)
	}
}

// Speeds returns what is known about the speed of the upstreams of a service, for operators.
func (f *Fleet) Speeds(now time.Time, service string) speed.Snapshot {
	if e := f.estimates[service]; e != nil {
		return e.speeds.Snapshot(now)
	}
	return speed.Snapshot{}
}
