package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteJSON prints the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteTable prints the report as a text table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%.1f s\trequests\tfinished\tcut\ttokens/s\tfirst p50\tp95\tp99\tms between p50\tp95\tp99\tmax\twrong\tmissing\trepeated\tfollows\t\n", r.Seconds)
	for _, row := range r.all() {
		f, b := row.FirstToken, row.BetweenTokens
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t\n",
			row.Name, row.Requests, row.Finished, row.Interrupted, row.TokensPerSecond, f.P50, f.P95, f.P99,
			b.P50, b.P95, b.P99, b.Max, row.Wrong, row.Missing, row.Repeated, row.Reconnects)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, row := range r.all() {
		for _, label := range slices.Sorted(maps.Keys(row.Refusals)) {
			if _, err := fmt.Fprintf(w, "refused %s: %s x %d\n", row.Name, label, row.Refusals[label]); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Report) all() []Row {
	return slices.Concat([]Row{r.Total}, r.Classes, r.Organisations, r.Plain)
}
