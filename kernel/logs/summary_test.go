package logs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against one log line per event of a burst, and against events that no line counts.
func TestSummaryCountsBursts(t *testing.T) {
	var s Summary
	now, lines, counted := time.Unix(1000, 0), 0, 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if events, _, due := s.Add(now, 3, 1); due {
			lines, counted = lines+1, counted+events
		}
	}
	assert.Equal(t, lines, 10)
	if events, _, due := s.Add(now.Add(time.Second), 0, 0); due {
		counted += events
	}
	assert.Equal(t, counted, 3000)
	_, _, due := s.Add(now.Add(time.Hour), 0, 0)
	assert.Assert(t, !due, "a line without events is due")
}
