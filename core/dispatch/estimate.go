package dispatch

import (
	"time"

	"heatherway.dev/core/speed"
)

// This file estimates the performance of the upstreams of a service from their answers,
// since models, accelerators and prompt sizes of a deployment are not known in advance.

const (
	// priorTokensPerMS, priorPromptTokens and priorCallMS apply until there are samples: a
	// model of 70 billion parameters on current accelerators, a long prompt, a database
	// call.
	priorTokensPerMS  = 8
	priorPromptTokens = 8000
	priorCallMS       = 15
	// prefillRateStep is the relative change of the prefill rate by one sample; the first
	// samples change it by more. The estimate follows a change of the hardware by a factor
	// of four within 20 samples.
	prefillRateStep = 0.08
	// minPrefillRate and maxPrefillRate bound the prefill rate in tokens per millisecond.
	minPrefillRate, maxPrefillRate = 0.1, 1000
	// minSampleWeight is the lowest weight of the newest sample in the moving averages.
	minSampleWeight = 0.05
)

// estimate holds the estimates for the upstreams of one service.
type estimate struct {
	// tokensPerMS is the median prefill rate of uncontended prompts. It includes the
	// effect of prompt parts that were already cached.
	tokensPerMS float64
	// meanPrompt is the mean prompt size in tokens.
	meanPrompt float64
	// meanCallMS is the mean time to the answer of an uncontended plain call.
	meanCallMS float64
	// firstEventSamples, promptSamples and callSamples count samples.
	firstEventSamples, promptSamples, callSamples float64
	// retryDelays spreads the retries of refused plain calls.
	retryDelays retrySpreader
	// equal is set if the upstreams count as equally fast.
	equal bool
	// speeds tells how far each upstream differs from the others.
	speeds *speed.Estimator
}

func newEstimate() *estimate {
	return &estimate{tokensPerMS: priorTokensPerMS, meanPrompt: priorPromptTokens, meanCallMS: priorCallMS, speeds: speed.New(speed.Settings{})}
}

// prefillMS returns the time in milliseconds to prefill a number of tokens.
func (e *estimate) prefillMS(tokens float64) float64 { return tokens / e.tokensPerMS }

// typicalPrefillMS returns the time in milliseconds to prefill a prompt of mean size.
// Costs of placement are given as shares of this time.
func (e *estimate) typicalPrefillMS() float64 { return e.prefillMS(e.meanPrompt) }

// prefillTokens returns the number of tokens that are prefilled within d.
func (e *estimate) prefillTokens(d time.Duration) float64 { return milliseconds(d) * e.tokensPerMS }

func (e *estimate) addPrompt(tokens int) {
	if tokens > 0 {
		e.promptSamples++
		e.meanPrompt += max(minSampleWeight, 1/(1+e.promptSamples)) * (float64(tokens) - e.meanPrompt)
	}
}

// addFirstEvent adds the time to the first event of a prompt that was uncontended as far
// as this gateway knew. Some were contended after all. Since they are a minority, the
// estimate follows the median: each sample moves it up or down by the same factor, however
// far off the sample is.
func (e *estimate) addFirstEvent(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	e.firstEventSamples++
	factor := 1 + max(prefillRateStep, 1/e.firstEventSamples)
	if float64(tokens)/milliseconds(took) < e.tokensPerMS {
		factor = 1 / factor
	}
	e.tokensPerMS = min(max(e.tokensPerMS*factor, minPrefillRate), maxPrefillRate)
}

func (e *estimate) addCall(took time.Duration) {
	e.callSamples++
	e.meanCallMS += max(minSampleWeight, 1/(1+e.callSamples)) * (milliseconds(took) - e.meanCallMS)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
