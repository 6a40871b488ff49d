package entry

import (
	"encoding/json"
	"sync"
	"time"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/stats"
)

// counters are the metrics of the role.
type counters struct {
	reg            *stats.Registry
	open           stats.Gauge
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
	resumeGap      stats.Histogram
	firstToken     [wire.ClassCount]stats.Histogram
}

func newCounters(r *stats.Registry) *counters {
	c := &counters{
		reg:            r,
		open:           r.Gauge("entry_open_requests"),
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
		resumeGap:      r.Histogram("entry_resume_gap_ms"),
	}
	for _, k := range wire.Classes() {
		c.firstToken[k] = r.Histogram("entry_first_token_ms", stats.Label{Key: "class", Value: k.String()})
	}
	return c
}

// finished is what is recorded about one request.
type finished struct {
	organisation string
	class        wire.Class
	code         int
	firstToken   time.Duration
	duration     time.Duration
	tokens       uint64
}

// recorder keeps the service-level counts.
type recorder interface {
	Record(finished)
	Report() ([]byte, error)
}

// counts is a recorder that keeps totals by class and organisation.
type counts struct {
	mu   sync.Mutex
	rows map[countKey]*countRow
}

type countKey struct{ class, organisation string }

type countRow struct {
	Class        string `json:"class"`
	Organisation string `json:"organisation"`
	Requests     uint64 `json:"requests"`
	Failed       uint64 `json:"failed"`
	Tokens       uint64 `json:"tokens"`
	FirstTokenMS int64  `json:"first_token_ms_sum"`
}

func newRecorder() recorder { return &counts{rows: map[countKey]*countRow{}} }

func (c *counts) Record(f finished) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := countKey{f.class.String(), f.organisation}
	r, ok := c.rows[k]
	if !ok {
		r = &countRow{Class: k.class, Organisation: k.organisation}
		c.rows[k] = r
	}
	r.Requests++
	if f.code != 0 {
		r.Failed++
	}
	r.Tokens += f.tokens
	r.FirstTokenMS += f.firstToken.Milliseconds()
}

func (c *counts) Report() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make([]*countRow, 0, len(c.rows))
	for _, r := range c.rows {
		rows = append(rows, r)
	}
	return json.Marshal(rows)
}
