package load

import (
	"sort"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"heatherway.dev/core/wire"
)

const (
	// maxLatencyUS is the upper end of the histograms in microseconds.
	maxLatencyUS = int64(time.Hour / time.Microsecond)
	// latencyPrecision is the precision of the histograms in significant digits.
	latencyPrecision = 3
)

// Report holds the measurements of a run.
type Report struct {
	Seconds       float64 `json:"seconds"`
	Total         Row     `json:"total"`
	Classes       []Row   `json:"classes"`
	Organisations []Row   `json:"organisations"`
	// Plain holds the calls of plain services, which the other rows don't count.
	Plain []Row `json:"plain"`
}

// Row holds the measurements of one group of requests.
type Row struct {
	Name     string `json:"name"`
	Requests int64  `json:"requests"`
	Finished int64  `json:"finished"`
	// Interrupted counts requests that were still running when the run ended.
	Interrupted int64 `json:"cut"`
	// OnTime counts requests that received their first token within
	// Options.OnTime.
	OnTime          int64   `json:"on_time"`
	Tokens          int64   `json:"tokens"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Reconnects counts the connections of requests after their first one.
	Reconnects int64 `json:"follows"`
	Faults
	// FirstToken is the time to the first token, or to the complete answer of a
	// plain call.
	FirstToken Quantiles `json:"first_token_ms"`
	// BetweenTokens is the time between two successive events with tokens.
	BetweenTokens Quantiles        `json:"between_tokens_ms"`
	Refusals      map[string]int64 `json:"refusals"`
}

// Quantiles holds the quantiles of a latency in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// groupStats collects the outcomes of one group of requests.
type groupStats struct {
	row        Row
	first, gap *hdr.Histogram
}

func newGroupStats() *groupStats {
	return &groupStats{
		row:   Row{Refusals: map[string]int64{}},
		first: hdr.New(1, maxLatencyUS, latencyPrecision),
		gap:   hdr.New(1, maxLatencyUS, latencyPrecision),
	}
}

func recordLatency(h *hdr.Histogram, d time.Duration) {
	us := min(max(int64(d/time.Microsecond), 1), maxLatencyUS)
	_ = h.RecordValue(us) // can't fail, since the value is in the range
}

func (t *groupStats) add(o outcome) {
	t.row.Requests++
	t.row.Tokens += int64(o.tokens)
	t.row.Reconnects += int64(o.reconnects)
	t.row.Faults.add(o.faults)
	if o.finished {
		t.row.Finished++
	}
	if o.interrupted {
		t.row.Interrupted++
	}
	if o.onTime {
		t.row.OnTime++
	}
	if o.refusal != "" {
		t.row.Refusals[o.refusal]++
	}
	if o.first > 0 {
		recordLatency(t.first, o.first)
	}
	for _, g := range o.gaps {
		recordLatency(t.gap, g)
	}
}

func (t *groupStats) result(name string, elapsed time.Duration) Row {
	r := t.row
	r.Name = name
	r.TokensPerSecond = float64(r.Tokens) / elapsed.Seconds()
	r.FirstToken, r.BetweenTokens = quantiles(t.first), quantiles(t.gap)
	return r
}

func quantiles(h *hdr.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{
		P50: ms(h.ValueAtPercentile(50)), P95: ms(h.ValueAtPercentile(95)),
		P99: ms(h.ValueAtPercentile(99)), Max: ms(h.Max()),
	}
}

// recorder collects the outcomes of a run.
type recorder struct {
	mu            sync.Mutex
	total         *groupStats
	classes       map[wire.Class]*groupStats
	organisations map[string]*groupStats
	plain         map[Kind]*groupStats
}

func newRecorder() *recorder {
	return &recorder{
		total: newGroupStats(), classes: map[wire.Class]*groupStats{},
		organisations: map[string]*groupStats{}, plain: map[Kind]*groupStats{},
	}
}

func statsFor[K comparable](m map[K]*groupStats, k K) *groupStats {
	t, ok := m[k]
	if !ok {
		t = newGroupStats()
		m[k] = t
	}
	return t
}

func (r *recorder) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.kind != Generation {
		statsFor(r.plain, o.kind).add(o)
		return
	}
	r.total.add(o)
	statsFor(r.classes, o.class).add(o)
	statsFor(r.organisations, o.organisation).add(o)
}

func (r *recorder) report(elapsed time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{Seconds: elapsed.Seconds(), Total: r.total.result("total", elapsed)}
	for _, c := range wire.Classes() {
		if t, ok := r.classes[c]; ok {
			out.Classes = append(out.Classes, t.result(c.String(), elapsed))
		}
	}
	out.Organisations = rows(r.organisations, elapsed)
	out.Plain = rows(r.plain, elapsed)
	return out
}

func rows[K ~string](m map[K]*groupStats, elapsed time.Duration) []Row {
	var out []Row
	for k, t := range m {
		out = append(out, t.result(string(k), elapsed))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
