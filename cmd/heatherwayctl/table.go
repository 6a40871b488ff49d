package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// table is the text output of a subcommand: column headings and rows of cells.
type table struct {
	head []string
	rows [][]string
}

func newTable(head ...string) *table { return &table{head: head} }

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		// A text with line breaks, such as an error, must stay in one row.
		row[i] = strings.ReplaceAll(fmt.Sprint(c), "\n", "; ")
	}
	t.rows = append(t.rows, row)
}

func (t *table) write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(t.head, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}

// print writes the table, or with --output json the JSON that it was made from.
func (a *api) print(raw []byte, t *table) error {
	if a.output == outputTable {
		return t.write(a.out)
	}
	var b bytes.Buffer
	if err := json.Indent(&b, bytes.TrimSpace(raw), "", "  "); err != nil {
		return errors.Wrap(err, "indent the JSON of the answer")
	}
	b.WriteByte('\n')
	_, err := b.WriteTo(a.out)
	return err
}

// formatTime formats Unix milliseconds; zero gives "-".
func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func joinOrDash(values []string) string {
	if len(values) == 0 {
		return "-"
	}
	return strings.Join(values, ",")
}
