// Package sloreport renders a report on service-level objectives as text, as
// JSON, or as one HTML page that loads no other file.
package sloreport

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"heatherway.dev/core/slo"
)

// Format is an output format of the report.
type Format string

// The formats.
const (
	Text Format = "text"
	JSON Format = "json"
	HTML Format = "html"
)

// maxOrganisations bounds the organisations in text and HTML. JSON has all of
// them.
const maxOrganisations = 50

// Write renders the report in a format; an unknown one is rendered as text.
func Write(w io.Writer, r slo.Report, f Format) error {
	switch f {
	case JSON:
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	case HTML:
		return writeHTML(w, r)
	default:
		return writeText(w, r)
	}
}

func writeText(w io.Writer, r slo.Report) error {
	fmt.Fprintf(w, "Service levels at %s\n", at(r))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeSection(t, "class", r.Classes)
	shown, left := firstOrganisations(r)
	writeSection(t, "organisation", shown)
	if left > 0 {
		fmt.Fprintf(t, "and %d organisations with more budget left\n", left)
	}
	writeSection(t, "offender", r.Offenders)
	return t.Flush()
}

func at(r slo.Report) string { return time.UnixMilli(r.AtMS).UTC().Format(time.RFC3339) }

func firstOrganisations(r slo.Report) (shown []slo.Row, left int) {
	n := min(len(r.Organisations), maxOrganisations)
	return r.Organisations[:n], len(r.Organisations) - n
}

func writeSection(w io.Writer, title string, rows []slo.Row) {
	if len(rows) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%s\tlevel\trequests\tbad\tbudget left\t", title)
	for i := range slo.WindowCount {
		fmt.Fprintf(w, "burn %s\t", slo.WindowName(i))
	}
	fmt.Fprint(w, "p50\tp95\tp99\tcauses\n")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t", name(r), r.Level, r.Total, r.Bad, percent(r.BudgetLeft))
		for _, b := range r.Burn {
			fmt.Fprintf(w, "%s\t", rate(b))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", latency(r.P50), latency(r.P95), latency(r.P99), causes(r.Causes))
	}
}

// name returns the class, the organisation, or both.
func name(r slo.Row) string {
	return strings.TrimSpace(r.Organisation + " " + r.Class)
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

func rate(b float64) string { return fmt.Sprintf("%.2f", b) }

// latency rounds to about three digits, since the bounds of the histogram's
// buckets are 19% apart.
func latency(d time.Duration) string {
	switch {
	case d == 0:
		return "-"
	case d < time.Second:
		return fmt.Sprintf("%.0f ms", float64(d)/float64(time.Millisecond))
	case d < 100*time.Second:
		return fmt.Sprintf("%.1f s", d.Seconds())
	default:
		return fmt.Sprintf("%.0f s", d.Seconds())
	}
}

// causes lists why requests missed the objective: late answers first, then
// result codes in order.
func causes(c slo.Counts) string {
	var out []string
	if c.Late > 0 {
		out = append(out, fmt.Sprintf("late × %d", c.Late))
	}
	for _, f := range c.Failed {
		out = append(out, fmt.Sprintf("%d %s × %d", int(f.Code), f.Code, f.Count))
	}
	if len(out) == 0 {
		return "none"
	}
	return strings.Join(out, ", ")
}
