package gateway

import (
	"strconv"
	"time"

	"heatherway.dev/kernel/stats"
)

// queueMetrics holds the counters and histograms of the queue across gateways.
type queueMetrics struct {
	queuePlaced, queueRefused, queueMoved, queueRejections, queueFallbacks stats.Counter
	copiesDropped, copiesMade                                              stats.Counter
	queueWaiting                                                           stats.Gauge
	queueExchangeMS                                                        stats.Histogram
	// queueWaitMS is the wait of the streams that were placed, by priority; the last one counts
	// all lower priorities.
	queueWaitMS [queueWaitPriorities]stats.Histogram
}

// queueWaitPriorities is the number of priorities whose waits are told apart.
const queueWaitPriorities = 4

func newQueueMetrics(r *stats.Registry) queueMetrics {
	m := queueMetrics{
		queuePlaced: r.Counter("gateway_queue_placed_total"), queueRefused: r.Counter("gateway_queue_refused_total"),
		queueMoved: r.Counter("gateway_queue_moved_total"), queueRejections: r.Counter("gateway_queue_rejections_total"),
		queueFallbacks: r.Counter("gateway_queue_fallbacks_total"), copiesDropped: r.Counter("gateway_copies_dropped_total"),
		copiesMade: r.Counter("gateway_copies_made_total"), queueWaiting: r.Gauge("gateway_queue_waiting"),
		queueExchangeMS: r.Histogram("gateway_queue_exchange_ms"),
	}
	for p := range m.queueWaitMS {
		m.queueWaitMS[p] = r.Histogram("gateway_queue_wait_ms", stats.Label{Key: "priority", Value: strconv.Itoa(p)})
	}
	return m
}

func (m *queueMetrics) observeQueueWait(priority int, waited time.Duration) {
	m.queueWaitMS[min(max(priority, 0), queueWaitPriorities-1)].Observe(waited.Milliseconds())
}
