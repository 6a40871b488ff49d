// Package stats wraps the metrics library; no other package imports it. Metric
// names are in snake case and end with their unit if they have one, such as
// "entry_first_token_ms".
package stats

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Registry holds the metrics of one process.
type Registry struct{ r metrics.Registry }

// New returns an empty registry.
func New() *Registry { return &Registry{r: metrics.NewRegistry()} }

// Counter is a metric that only increases.
type Counter struct{ c metrics.Counter }

// Add increments the counter by n.
func (c Counter) Add(n int64) { c.c.Inc(n) }

// Inc increments the counter by one.
func (c Counter) Inc() { c.c.Inc(1) }

// Value returns the current count.
func (c Counter) Value() int64 { return c.c.Count() }

// Gauge is a metric that can increase and decrease.
type Gauge struct{ g metrics.Gauge }

// Set sets the gauge to n.
func (g Gauge) Set(n int64) { g.g.Update(n) }

// Value returns the current value.
func (g Gauge) Value() int64 { return g.g.Value() }

// Histogram is a metric that samples a distribution of values.
type Histogram struct{ h metrics.Histogram }

// Observe records a value.
func (h Histogram) Observe(n int64) { h.h.Update(n) }

// Label is a label of a metric.
type Label struct{ Key, Value string }

func metricName(base string, labels []Label) string {
	if len(labels) == 0 {
		return base
	}
	parts := make([]string, len(labels))
	for i, l := range labels {
		parts[i] = fmt.Sprintf("%s=%q", l.Key, l.Value)
	}
	return base + "{" + strings.Join(parts, ",") + "}"
}

// Counter returns the counter with the name and labels, and creates it on first
// use.
func (r *Registry) Counter(base string, labels ...Label) Counter {
	return Counter{metrics.GetOrRegisterCounter(metricName(base, labels), r.r)}
}

// Gauge returns the gauge with the name and labels, and creates it on first use.
func (r *Registry) Gauge(base string, labels ...Label) Gauge {
	return Gauge{metrics.GetOrRegisterGauge(metricName(base, labels), r.r)}
}

// Histogram returns the histogram with the name and labels, and creates it on
// first use.
func (r *Registry) Histogram(base string, labels ...Label) Histogram {
	const reservoir, alpha = 1028, 0.015 // the library's recommended values for an exponentially decaying sample
	h := r.r.GetOrRegister(metricName(base, labels), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, alpha))
	}).(metrics.Histogram)
	return Histogram{h}
}

// Write writes every metric in the Prometheus text format, sorted by line.
func (r *Registry) Write(w io.Writer) error {
	var lines []string
	r.r.Each(func(n string, m any) {
		base, labels, _ := strings.Cut(n, "{")
		labels = strings.TrimSuffix(labels, "}")
		full := "heatherway_" + base
		switch m := m.(type) {
		case metrics.Counter:
			lines = append(lines, formatSample(full, labels, float64(m.Count())))
		case metrics.Gauge:
			lines = append(lines, formatSample(full, labels, float64(m.Value())))
		case metrics.Histogram:
			s := m.Snapshot()
			for _, q := range []float64{0.5, 0.95, 0.99} {
				l := fmt.Sprintf("quantile=%q", fmt.Sprint(q))
				if labels != "" {
					l = labels + "," + l
				}
				lines = append(lines, formatSample(full, l, s.Percentile(q)))
			}
			lines = append(lines, formatSample(full+"_count", labels, float64(s.Count())))
			lines = append(lines, formatSample(full+"_sum", labels, float64(s.Sum())))
		}
	})
	sort.Strings(lines)
	_, err := io.WriteString(w, strings.Join(lines, ""))
	return err
}

func formatSample(n, labels string, v float64) string {
	if labels != "" {
		n += "{" + labels + "}"
	}
	return fmt.Sprintf("%s %v\n", n, v)
}

// ServeHTTP answers a scrape.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = r.Write(w)
}
