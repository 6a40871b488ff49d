package control

import (
	"sync/atomic"

	"heatherway.dev/kernel/stats"
)

// callMetrics holds the metrics of claims and watches.
type callMetrics struct {
	granted, refused, failed stats.Counter
	watches                  stats.Gauge
	openWatches              *atomic.Int64
}

func newCallMetrics(r *stats.Registry) callMetrics {
	claims := func(outcome string) stats.Counter {
		return r.Counter("control_claims_total", stats.Label{Key: "outcome", Value: outcome})
	}
	return callMetrics{
		granted: claims("granted"), refused: claims("refused"), failed: claims("failed"),
		watches: r.Gauge("control_watches"), openWatches: &atomic.Int64{},
	}
}

func (m callMetrics) recordClaim(granted bool, err error) {
	switch {
	case err != nil:
		m.failed.Inc()
	case granted:
		m.granted.Inc()
	default:
		m.refused.Inc()
	}
}

func (m callMetrics) addWatches(n int64) { m.watches.Set(m.openWatches.Add(n)) }
