// Package measure runs benchmark scenarios: it starts heatherway as separate
// processes on loopback, sends load, and compares the results with a baseline
// of the same run.
package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// scenarioTimeout bounds the duration of one scenario.
const scenarioTimeout = 60 * time.Second

// Options configure a run.
type Options struct {
	// Binary is the path of the heatherway program.
	Binary string
	// Seed determines prompts, mix and arrivals.
	Seed uint64
	// Progress receives a line for each phase.
	Progress io.Writer
}

// Row is one measured figure. Target and Met are empty if it has no target.
type Row struct {
	Name string `json:"name"`
	// Value is the measured value, Baseline that of the baseline run.
	Value    float64  `json:"value"`
	Baseline *float64 `json:"baseline,omitempty"`
	Unit     string   `json:"unit"`
	Target   string   `json:"target,omitempty"`
	Met      *bool    `json:"met,omitempty"`
}

// Result holds the measurements of one scenario.
type Result struct {
	Scenario   string            `json:"scenario"`
	Seed       uint64            `json:"seed"`
	Date       time.Time         `json:"date"`
	Parameters map[string]string `json:"parameters"`
	Rows       []Row             `json:"rows"`
}

// scenario runs one benchmark and adds its figures to the result.
type scenario func(context.Context, Options, *Result) error

var scenarios = map[string]scenario{}

// Scenarios returns the names of the scenarios.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// Run runs one scenario and ends every process that it started.
func Run(ctx context.Context, name string, o Options) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	r := &Result{Scenario: name, Seed: o.Seed, Date: time.Now().UTC(), Parameters: map[string]string{}}
	if err := scenarios[name](ctx, o, r); err != nil {
		return nil, err
	}
	return r, ctx.Err()
}

// set records a parameter of the run.
func (r *Result) set(name string, v any) { r.Parameters[name] = fmt.Sprint(v) }

// add adds a figure without a target.
func (r *Result) add(name string, v float64, unit string) *Row {
	r.Rows = append(r.Rows, Row{Name: name, Value: v, Unit: unit})
	return &r.Rows[len(r.Rows)-1]
}

// addWithBaseline adds a figure with its baseline.
func (r *Result) addWithBaseline(name string, v, baseline float64, unit string) *Row {
	row := r.add(name, v, unit)
	row.Baseline = &baseline
	return row
}

// atMost sets a target that the value may not exceed.
func (r *Row) atMost(most float64) {
	met := r.Value <= most
	r.Target, r.Met = fmt.Sprintf("<= %g", most), &met
}

// atLeast sets a target that the value must reach.
func (r *Row) atLeast(least float64) {
	met := r.Value >= least
	r.Target, r.Met = fmt.Sprintf(">= %g", least), &met
}

// WriteJSON prints the result as one JSON object.
func (r *Result) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteTable prints the result as a text table.
func (r *Result) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "scenario %s  seed %d  %s\n", r.Scenario, r.Seed, r.Date.Format(time.RFC3339))
	for _, k := range slices.Sorted(maps.Keys(r.Parameters)) {
		fmt.Fprintf(w, "  %s = %s\n", k, r.Parameters[k])
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "figure\tvalue\tbaseline\tunit\ttarget\tmet")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%.4g\t%s\t%s\t%s\t%s\n", row.Name, row.Value, row.baseline(), row.Unit, row.Target, row.met())
	}
	return t.Flush()
}

func (r Row) baseline() string {
	if r.Baseline == nil {
		return ""
	}
	return fmt.Sprintf("%.4g", *r.Baseline)
}

func (r Row) met() string {
	switch {
	case r.Met == nil:
		return ""
	case *r.Met:
		return "yes"
	default:
		return "no"
	}
}

// sleep waits for a duration. It returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
