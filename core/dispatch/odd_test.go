package dispatch

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against one request that states an absurd prompt size and so distorts the costs of
// all others: the mean is followed by 5% a sample, so a large outlier lasts for hundreds.
func TestAbsurdPromptSizeDoesNotDistortTheMean(t *testing.T) {
	for _, size := range []int{10_000_000, 1_000_000_000, math.MaxInt} {
		f := newTestFleet(3, 2)
		req := streamRequest()
		req.PromptTokens, req.OutputTokens = size, 0
		if c, refusal := f.Place(start, req); refusal == nil {
			f.End(start, c.Ticket)
		}
		for _, u := range f.byID {
			assert.Check(t, u.estimate.meanPrompt <= kvCacheTokens, "%d tokens: the mean is %.0f", size, u.estimate.meanPrompt)
		}
	}
}
