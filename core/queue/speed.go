package queue

import "time"

// Speeds estimates how fast each upstream reads prompts.
type Speeds interface {
	// FirstEvent records that a prompt was read in a time; beside is the number of prompts that
	// may have been read before it in that time.
	FirstEvent(now time.Time, id string, promptTokens int, took time.Duration, beside int)
	// PrefillMS returns the expected time in milliseconds to read a number of tokens.
	PrefillMS(now time.Time, id string, tokens float64) float64
	// Forget drops what is known about an upstream.
	Forget(id string)
}

const (
	// priorTokensPerMS applies until there are samples: a model of 70 billion parameters on
	// current accelerators.
	priorTokensPerMS = 8
	// serviceStep and upstreamStep are the relative changes by one sample. The service gets the
	// samples of all its upstreams, so each of them counts less.
	serviceStep, upstreamStep = 0.02, 0.08
	// minTokensPerMS and maxTokensPerMS bound the speed of a service, minRatio and maxRatio that
	// of an upstream relative to its service.
	minTokensPerMS, maxTokensPerMS = 0.1, 1000
	minRatio, maxRatio             = 0.1, 10
	// minSampleTokens is the smallest prompt whose time says something about the speed; that of
	// a smaller one is mostly the time that messages travel.
	minSampleTokens = 64
)

// medianSpeeds follows the median speed of the service, and of each upstream relative to it.
// Each sample moves an estimate by a bounded factor, so single odd samples do little.
type medianSpeeds struct {
	tokensPerMS float64
	samples     float64
	ratios      map[string]float64
}

func newMedianSpeeds() *medianSpeeds {
	return &medianSpeeds{tokensPerMS: priorTokensPerMS, ratios: map[string]float64{}}
}

func (m *medianSpeeds) ratio(id string) float64 {
	if r, ok := m.ratios[id]; ok {
		return r
	}
	return 1
}

func (m *medianSpeeds) FirstEvent(_ time.Time, id string, tokens int, took time.Duration, _ int) {
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	m.samples++
	sample, ratio := float64(tokens)/milliseconds(took), m.ratio(id)
	expected := m.tokensPerMS * ratio
	m.tokensPerMS = min(max(step(m.tokensPerMS, sample > m.tokensPerMS, max(serviceStep, 1/m.samples)), minTokensPerMS), maxTokensPerMS)
	m.ratios[id] = min(max(step(ratio, sample > expected, upstreamStep), minRatio), maxRatio)
}

func step(value float64, up bool, by float64) float64 {
	if up {
		return value * (1 + by)
	}
	return value / (1 + by)
}

func (m *medianSpeeds) PrefillMS(_ time.Time, id string, tokens float64) float64 {
	return tokens / (m.tokensPerMS * m.ratio(id))
}

func (m *medianSpeeds) Forget(id string) { delete(m.ratios, id) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
