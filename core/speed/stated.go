package speed

import (
	"math"
	"time"
)

const (
	// statedLife is the time after which a statement no longer counts; its weight falls
	// linearly until then. The noise of neighbours that it tells of lasts about as long.
	statedLife = 500 * time.Millisecond
	// maxStatedSlowness and minStatedSlowness bound the influence of a statement. An upstream
	// that claims to be fast gains at most a tenth.
	maxStatedSlowness, minStatedSlowness = 2, 0.9
	// usualTimeConstant is the time constant with which an upstream's usual figure is learned.
	// A figure that is always the same says nothing that measurements do not.
	usualTimeConstant = 20 * time.Second
	// initialTrust is the share of a statement that is believed before measurements have
	// confirmed or contradicted any.
	initialTrust = 0.5
	// trustGain and trustLoss are the steps of the trust by one measurement. Trust is lost
	// within a few measurements and gained within ten.
	trustGain, trustLoss = 0.1, 0.25
	// minClaim is the claimed difference, as a logarithm, from which a measurement can confirm
	// or contradict it: less is lost in the noise of single measurements.
	minClaim = 0.4
	// confirmedShare is the share of a claimed difference that a measurement must show. It is
	// less than one because a spell of noise often covers only a part of the measured work.
	confirmedShare = 0.4
	// checkAge is the age up to which a statement is compared with a measurement. An older one
	// tells of another spell.
	checkAge = 100 * time.Millisecond
)

// statement is what an upstream states about how long work takes there now.
type statement struct {
	log   float64 // of the last figure, 0 for 100 per cent
	usual float64 // moving average of log
	at    time.Time
	trust float64
}

func newStatement() statement { return statement{trust: initialTrust} }

func (s *statement) record(now time.Time, percent float64) {
	log := min(max(math.Log(percent/100), -maxLogSample), maxLogSample)
	if !s.at.IsZero() {
		age := min(max(now.Sub(s.at), 0), statedLife) // a figure is known to hold for this long
		s.usual += (s.log - s.usual) * (1 - math.Exp(-age.Seconds()/usualTimeConstant.Seconds()))
	}
	s.log, s.at = log, now
}

// live returns the weight of the last statement by its age.
func (s *statement) live(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return min(max(1-float64(now.Sub(s.at))/float64(statedLife), 0), 1)
}

// check compares a measurement with the last statement: excess is the logarithm of the
// measured time over that which is expected at the upstream without the statement.
func (s *statement) check(now time.Time, excess float64) {
	claim := s.log - s.usual
	if s.at.IsZero() || now.Sub(s.at) > checkAge || math.Abs(claim) < minClaim {
		return
	}
	if excess/claim >= confirmedShare {
		s.trust = min(s.trust+trustGain, 1)
	} else {
		s.trust = max(s.trust-trustLoss, 0)
	}
}

// slowness returns the factor by which work takes longer than usual for the next moments.
func (s *statement) slowness(now time.Time) float64 {
	factor := math.Exp((s.log - s.usual) * s.trust * s.live(now))
	return min(max(factor, minStatedSlowness), maxStatedSlowness)
}
