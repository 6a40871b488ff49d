package control

import (
	"sync/atomic"

	"heatherway.dev/kernel/stats"
)

// counts are the metrics of the calls.
type counts struct {
	granted, refused, failed stats.Counter
	watches                  stats.Gauge
	open                     *atomic.Int64
}

func newCounts(r *stats.Registry) counts {
	claims := func(outcome string) stats.Counter {
		return r.Counter("control_claims_total", stats.Label{Key: "outcome", Value: outcome})
	}
	return counts{
		granted: claims("granted"), refused: claims("refused"), failed: claims("failed"),
		watches: r.Gauge("control_watches"), open: &atomic.Int64{},
	}
}

func (c counts) claim(granted bool, err error) {
	switch {
	case err != nil:
		c.failed.Inc()
	case granted:
		c.granted.Inc()
	default:
		c.refused.Inc()
	}
}

func (c counts) watch(n int64) { c.watches.Set(c.open.Add(n)) }
