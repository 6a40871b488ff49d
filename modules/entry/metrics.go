package entry

import (
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/stats"
)

// entryMetrics holds the metrics of the role.
type entryMetrics struct {
	reg            *stats.Registry
	openRequests   stats.Gauge
	revision       stats.Gauge
	tokens         stats.Counter
	attempts       stats.Counter
	resumes        stats.Counter
	attaches       stats.Counter
	hedges         stats.Counter
	samplesDropped stats.Counter
	eventsDropped  stats.Counter
	watchFailures  stats.Counter
	slowReaders    stats.Counter
	leaseFailures  stats.Counter
	partsHeld      stats.Counter
	resumeGap      stats.Histogram
	firstToken     [wire.ClassCount]stats.Histogram
}

func newEntryMetrics(r *stats.Registry) *entryMetrics {
	c := &entryMetrics{
		reg:            r,
		openRequests:   r.Gauge("entry_open_requests"),
		revision:       r.Gauge("entry_configuration_revision"),
		tokens:         r.Counter("entry_tokens_total"),
		attempts:       r.Counter("entry_attempts_total"),
		resumes:        r.Counter("entry_resumes_total"),
		attaches:       r.Counter("entry_attaches_total"),
		hedges:         r.Counter("entry_hedges_total"),
		samplesDropped: r.Counter("entry_load_samples_dropped_total"),
		eventsDropped:  r.Counter("entry_events_dropped_total"),
		watchFailures:  r.Counter("entry_watch_failures_total"),
		slowReaders:    r.Counter("entry_slow_readers_total"),
		leaseFailures:  r.Counter("entry_lease_failures_total"),
		partsHeld:      r.Counter("entry_parts_held_total"),
		resumeGap:      r.Histogram("entry_resume_gap_ms"),
	}
	for _, k := range wire.Classes() {
		c.firstToken[k] = r.Histogram("entry_first_token_ms", stats.Label{Key: "class", Value: k.String()})
	}
	return c
}
