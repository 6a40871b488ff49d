package agent

import "heatherway.dev/kernel/stats"

type metrics struct {
	tokens, refused, preempted, resumed, stalled, crashes stats.Counter
	queued, slotsUsed, retained                           stats.Gauge
	firstToken, wait                                      stats.Histogram
}

func newMetrics(r *stats.Registry) metrics {
	return metrics{
		tokens:     r.Counter("agent_tokens"),
		refused:    r.Counter("agent_refused_requests"),
		preempted:  r.Counter("agent_preempted_generations"),
		resumed:    r.Counter("agent_resumed_generations"),
		stalled:    r.Counter("agent_stalls"),
		crashes:    r.Counter("agent_upstream_crashes"),
		queued:     r.Gauge("agent_queued_requests"),
		slotsUsed:  r.Gauge("agent_running_requests"),
		retained:   r.Gauge("agent_retained_bytes"),
		firstToken: r.Histogram("agent_first_token_ms"),
		wait:       r.Histogram("agent_queue_wait_ms"),
	}
}
