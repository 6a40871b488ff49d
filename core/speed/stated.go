package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// statedLife is the time after which a statement no longer counts; its weight falls
	// linearly until then. The noise of neighbours that it tells of lasts about as long.
	statedLife = 500 * time.Millisecond
	// maxStatedSlowness and minStatedSlowness bound the influence of a statement. An upstream
	// that claims to be fast gains at most a tenth.
	maxStatedSlowness, minStatedSlowness = 2, 0.9
	// statedWindows is the number of windows of which an upstream's usual figure is the lower
	// quartile, and minStatedWindows the fewest that show that it is slow. Noise only makes work
	// slower, and reaches three quarters of the windows of a sound machine less than once in a
	// thousand cases. A figure below those of the others is no noise, so one window shows it.
	statedWindows, minStatedWindows = 7, 3
	// largestMaxClaim bounds Settings.MaxClaim.
	largestMaxClaim = 1.5
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
	at    time.Time
	trust float64
	// windows holds the first figure of each of the last windows, as logarithms.
	windows  [statedWindows]float64
	count    int // of all windows so far
	windowAt time.Time
}

func newStatement() statement { return statement{trust: initialTrust} }

// record records a figure. It returns true if the figure begins a new window.
func (s *statement) record(now time.Time, percent float64) bool {
	s.log, s.at = min(max(math.Log(percent/100), -maxLogSample), maxLogSample), now
	if s.count > 0 && now.Sub(s.windowAt).Abs() < sampleWindow {
		return false
	}
	s.windows[s.count%statedWindows], s.windowAt = s.log, now
	s.count++
	return true
}

// usual returns the logarithm of the figure that the upstream usually states, and the number of
// windows that show it: none if the last one is long ago.
func (s *statement) usual(now time.Time, forget time.Duration) (log float64, windows int) {
	if s.count == 0 || now.Sub(s.windowAt) > forget {
		return 0, 0
	}
	list := s.windows
	sorted := list[:min(s.count, statedWindows)]
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/4], len(sorted)
}

// deviation returns how far the last figure is from the usual one, as a logarithm; from 100 per
// cent while the usual one is not known.
func (s *statement) deviation(now time.Time, forget time.Duration) float64 {
	usual, windows := s.usual(now, forget)
	if windows < minStatedWindows {
		usual = 0
	}
	return s.log - usual
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
func (s *statement) check(now time.Time, forget time.Duration, excess float64) {
	claim := s.deviation(now, forget)
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
func (s *statement) slowness(now time.Time, forget time.Duration) float64 {
	live := s.live(now)
	if live == 0 {
		return 1
	}
	factor := math.Exp(s.deviation(now, forget) * s.trust * live)
	return min(max(factor, minStatedSlowness), maxStatedSlowness)
}
