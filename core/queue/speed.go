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
	// serviceStep and upstreamStep bound the relative change by one sample. The service gets the
	// samples of all its upstreams, so each of them counts less. The first sample of an upstream
	// may change it by firstStep, the n-th by an n-th of that.
	serviceStep, upstreamStep, firstStep = 0.02, 0.08, 0.4
	// minTokensPerMS and maxTokensPerMS bound a speed.
	minTokensPerMS, maxTokensPerMS = 0.1, 1000
	// minSampleTokens is the smallest prompt whose time says something about the speed; that of
	// a smaller one is mostly the time that messages travel.
	minSampleTokens = 64
)

// estimate is a speed in tokens per millisecond.
type estimate struct{ tokensPerMS, samples float64 }

// add moves the estimate towards a sample, by at most a factor, so that single odd samples do
// little.
func (e *estimate) add(sample, by, first float64) {
	e.samples++
	by = 1 + max(by, first/e.samples)
	sample = min(max(sample, e.tokensPerMS/by), e.tokensPerMS*by)
	e.tokensPerMS = min(max(sample, minTokensPerMS), maxTokensPerMS)
}

// medianSpeeds follows the speed of each upstream, which starts at the median of the service.
type medianSpeeds struct {
	service   estimate
	upstreams map[string]estimate
}

func newMedianSpeeds() *medianSpeeds {
	return &medianSpeeds{service: estimate{tokensPerMS: priorTokensPerMS}, upstreams: map[string]estimate{}}
}

func (m *medianSpeeds) upstream(id string) estimate {
	if e, ok := m.upstreams[id]; ok {
		return e
	}
	return estimate{tokensPerMS: m.service.tokensPerMS}
}

// FirstEvent implements Speeds.
func (m *medianSpeeds) FirstEvent(_ time.Time, id string, tokens int, took time.Duration, _ int) {
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	sample := float64(tokens) / milliseconds(took)
	if m.service.samples == 0 {
		m.service.tokensPerMS = sample // the prior may be off by orders of magnitude
	}
	m.service.add(sample, serviceStep, 1)
	e := m.upstream(id)
	e.add(sample, upstreamStep, firstStep)
	m.upstreams[id] = e
}

// PrefillMS implements Speeds.
func (m *medianSpeeds) PrefillMS(_ time.Time, id string, tokens float64) float64 {
	return tokens / m.upstream(id).tokensPerMS
}

// Forget implements Speeds.
func (m *medianSpeeds) Forget(id string) { delete(m.upstreams, id) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
