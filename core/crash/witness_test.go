package crash

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against counting a lost connection as a crash although other runs continue, and
// against runs that started after a crash and hide it.
func TestUpstreamSurvived(t *testing.T) {
	assert.Assert(t, !UpstreamSurvived(after(1), nil))
	assert.Assert(t, !UpstreamSurvived(after(1), []ConcurrentRun{{Started: start, Interrupted: true}, {Started: after(2)}}))
	assert.Assert(t, UpstreamSurvived(after(1), []ConcurrentRun{{Started: start, Interrupted: true}, {Started: start}}))
}
