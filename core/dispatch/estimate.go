package dispatch

import "time"

// This file holds what a gateway learns of the upstreams of a service from their answers.
// It answers deployments whose models, accelerators and prompts are not known in advance.

const (
	// priorTokensPerMS, priorPrompt and priorCallMS hold until answers have come in: a
	// model of 70 billion parameters on current accelerators, a letter, a database call.
	priorTokensPerMS  = 8
	priorPromptTokens = 8000
	priorCallMS       = 15
	// rateStep is by how much one first event moves the prompt rate, the first ones by
	// more. A change of the hardware by a factor of four is learned within 20 of them.
	prefillRateStep = 0.08
	// leastRate and mostRate bound the prompt rate in tokens a millisecond.
	minPrefillRate, maxPrefillRate = 0.1, 1000
	// meanShare is the least weight of the newest sample in the moving averages.
	minSampleWeight = 0.05
)

// estimate is what is known of the upstreams of one service.
type estimate struct {
	// tokensPerMS is the median rate at which prompts are read that met no other one,
	// parts that were cached already included.
	tokensPerMS float64
	// prompt is the mean size of prompts in tokens.
	meanPrompt float64
	// callMS is the mean time to the answer of a plain call that met no other one.
	meanCallMS float64
	// firstEvents, prompts and calls are the numbers of samples.
	firstEventSamples, promptSamples, callSamples float64
	// comeback spreads the callers of plain calls that were turned away.
	retryDelays retrySpreader
}

func newEstimate() *estimate {
	return &estimate{tokensPerMS: priorTokensPerMS, meanPrompt: priorPromptTokens, meanCallMS: priorCallMS}
}

// readMS is the time in milliseconds to read tokens of a prompt.
func (e *estimate) prefillMS(tokens float64) float64 { return tokens / e.tokensPerMS }

// usualReadMS is the time in milliseconds to read the usual prompt. Costs that stand for
// a part of it are shares of this time.
func (e *estimate) typicalPrefillMS() float64 { return e.prefillMS(e.meanPrompt) }

// read returns the tokens that are read within a time.
func (e *estimate) prefillTokens(d time.Duration) float64 { return milliseconds(d) * e.tokensPerMS }

func (e *estimate) addPrompt(tokens int) {
	if tokens > 0 {
		e.promptSamples++
		e.meanPrompt += max(minSampleWeight, 1/(1+e.promptSamples)) * (float64(tokens) - e.meanPrompt)
	}
}

// noteFirstEvent takes in the time to the first event of a prompt that met no other one, as
// far as was known. Those that did are a minority, so the median is followed.
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
