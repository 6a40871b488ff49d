package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// sampleWindow is the time within which all samples of an upstream count as one: the noise
	// of neighbours lasts for some hundred milliseconds, and must not count more often for an
	// upstream that is used more often.
	sampleWindow = time.Second
	// maxSamples is the number of windows that are remembered. An upstream in steady use is
	// judged by half a minute.
	maxSamples = 24
	// confidence is the width of the sign test in standard deviations. At two, four windows
	// that agree are the fewest that show a difference, and of 24 windows at least 17 must
	// agree; contended or noisy windows are far fewer.
	confidence = 2
	// maxLogSample bounds a sample as a logarithm of its ratio to the level.
	maxLogSample = 3
)

// sample is the mean of the samples of one window, as a logarithm of milliseconds for each unit
// of work.
type sample struct {
	at    time.Time
	kind  kind
	log   float64
	count int
}

// samples is a ring of the last windows with samples.
type samples struct {
	ring [maxSamples]sample
	next int
	len  int
}

// add adds a sample to the current window, or begins the next one and returns true.
func (s *samples) add(now time.Time, k kind, log float64, levels *[kinds]level) bool {
	if s.len > 0 {
		last := &s.ring[(s.next+maxSamples-1)%maxSamples]
		if now.Sub(last.at).Abs() < sampleWindow {
			last.count++
			log += levels[last.kind].log - levels[k].log // as a time of the window's kind
			last.log += (log - last.log) / float64(last.count)
			return false
		}
	}
	s.ring[s.next] = sample{now, k, log, 1}
	s.next = (s.next + 1) % maxSamples
	s.len = min(s.len+1, maxSamples)
	return true
}

// weight returns the sum of the weights of all windows.
func (s *samples) weight(now time.Time, forget time.Duration) (sum float64) {
	for i := range s.len {
		sum += s.ring[i].weight(now, forget)
	}
	return sum
}

func (s sample) weight(now time.Time, forget time.Duration) float64 {
	return math.Exp(-max(now.Sub(s.at).Seconds(), 0) / forget.Seconds())
}

// weighted is the speed that a window has measured, as a logarithm of the ratio to the level.
type weighted struct{ speed, weight float64 }

// sorted returns the windows by speed, and the sum of their weights.
func (s *samples) sorted(now time.Time, forget time.Duration, levels *[kinds]level, buffer []weighted) (out []weighted, total float64) {
	out = buffer
	for i := range s.len {
		v := weighted{min(max(levels[s.ring[i].kind].log-s.ring[i].log, -maxLogSample), maxLogSample), s.ring[i].weight(now, forget)}
		out = append(out, v)
		total += v.weight
	}
	slices.SortFunc(out, func(a, b weighted) int { return cmp.Compare(a.speed, b.speed) })
	return out, total
}

// estimate returns the logarithm of the relative speed. Until enough windows show a difference,
// it is what the upstream claims by its own figures.
// After that it is the claim only if this lies within the confidence interval of the median of
// the windows, and otherwise the value in that interval that is nearest to zero, the median. It
// falls back to zero with the age of the last window.
func (s *samples) estimate(now time.Time, forget time.Duration, levels *[kinds]level, claim float64) float64 {
	var buffer [maxSamples]weighted
	list, total := s.sorted(now, forget, levels, buffer[:0])
	if float64(len(list)) < confidence*confidence {
		return claim
	}
	margin := confidence / (2 * math.Sqrt(float64(len(list))))
	low, high := quantile(list, total, 0.5-margin), quantile(list, total, 0.5+margin)
	if claim >= low && claim <= high {
		return claim
	}
	last := s.ring[(s.next+maxSamples-1)%maxSamples]
	return min(max(0, low), high) * last.weight(now, forget)
}

func (s *samples) median(now time.Time, forget time.Duration, levels *[kinds]level) float64 {
	var buffer [maxSamples]weighted
	list, total := s.sorted(now, forget, levels, buffer[:0])
	return quantile(list, total, 0.5)
}

// quantile returns a quantile of a sorted list.
func quantile(list []weighted, total, share float64) float64 {
	sum := 0.0
	for _, v := range list {
		if sum += v.weight; sum >= share*total {
			return v.speed
		}
	}
	return list[len(list)-1].speed
}
