package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against pauses and groups of events that are taken for the speed of an upstream.
func TestSpacingIgnoresPausesAndGroups(t *testing.T) {
	var m spacingMeter
	now := time.Unix(1000, 0)
	samples := func(gaps ...time.Duration) (out []time.Duration) {
		for i := range spacingEvents {
			now = now.Add(gaps[i%len(gaps)])
			if perEvent, ok := m.add(now); ok {
				out = append(out, perEvent)
			}
		}
		return out
	}
	m.add(now)
	const ms = time.Millisecond
	assert.DeepEqual(t, samples(20*ms), []time.Duration{20 * ms})
	assert.DeepEqual(t, samples(20*ms, 22*ms, 24*ms, 600*ms), []time.Duration{24 * ms})
	assert.Equal(t, len(samples(0, 0, 0, 80*ms)), 0)
}
