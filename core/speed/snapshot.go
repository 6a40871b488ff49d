package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Upstream describes what is known about the speed of one upstream, for operators.
type Upstream struct {
	ID string
	// Relative is the speed in use, relative to the service's median, and Measured the median
	// of the samples, which counts only as far as it is confirmed.
	Relative, Measured float64
	// Samples is the number of windows with samples, with the weight that their age leaves.
	Samples float64
	// Stated is the upstream's own figure in per cent, zero if there is none, and Trust the
	// share of it that is believed.
	Stated, Trust float64
	// LastAt is the time of the last sample or statement.
	LastAt time.Time
}

// Snapshot is the state of an Estimator, for operators.
type Snapshot struct {
	// TokensPerMS is the prefill rate and CallMS the time of a plain call at an upstream of
	// median speed.
	TokensPerMS, CallMS float64
	Upstreams           []Upstream
}

// Snapshot returns the state, with the slowest upstream first.
func (e *Estimator) Snapshot(now time.Time) Snapshot {
	e.centre(now)
	out := Snapshot{TokensPerMS: math.Exp(-e.levels[prefill].log), CallMS: math.Exp(e.levels[call].log)}
	for id, u := range e.upstreams {
		e.refresh(now, u)
		d := Upstream{ID: id, Relative: math.Exp(u.logSpeed), Measured: 1, Samples: u.samples.weight(now, e.forget), Trust: u.stated.trust, LastAt: u.lastAt}
		if u.samples.len > 0 {
			d.Measured = math.Exp(u.samples.median(now, e.forget, &e.levels))
		}
		if !u.stated.at.IsZero() {
			d.Stated = 100 * math.Exp(u.stated.log)
		}
		out.Upstreams = append(out.Upstreams, d)
	}
	slices.SortFunc(out.Upstreams, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(a.Relative, b.Relative), cmp.Compare(a.ID, b.ID))
	})
	return out
}
