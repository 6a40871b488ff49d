package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an upstream that keeps refusing and whose retries all bypass the budget, and against
// charging the attempts that were on their way when it began to refuse.
func TestOnlyAttemptsSentBeforeTheFirstRefusalAreUnavoidable(t *testing.T) {
	var r Refusals
	sentBefore := start.Add(-time.Millisecond)
	assert.Assert(t, r.Unavoidable(start, "a", sentBefore), "the first refusal")
	assert.Assert(t, r.Unavoidable(start.Add(10*time.Millisecond), "a", sentBefore), "sent before it")
	assert.Assert(t, !r.Unavoidable(start.Add(10*time.Millisecond), "a", start), "sent after it")
	assert.Assert(t, !r.Unavoidable(start.Add(refusalSpread), "a", sentBefore), "refused much later, for another reason")
	assert.Assert(t, r.Unavoidable(start.Add(10*time.Millisecond), "b", start), "the first refusal of another upstream")

	late := start.Add(DefaultWindow - time.Millisecond)
	assert.Assert(t, !r.Unavoidable(late, "a", late), "in the same window")
	next := start.Add(DefaultWindow)
	assert.Assert(t, r.Unavoidable(next, "a", next), "in the next window")
	assert.Assert(t, !r.Unavoidable(next.Add(time.Millisecond), "a", next), "sent after the first refusal of that window")
}

// Guards against memory for each upstream that has ever refused a request.
func TestRefusalsOfEarlierWindowsAreForgotten(t *testing.T) {
	var r Refusals
	r.Unavoidable(start, "a", start)
	r.Unavoidable(start.Add(DefaultWindow), "b", start)
	assert.Equal(t, len(r.firstAt), 1)
}
