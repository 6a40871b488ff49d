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

// table is what a subcommand prints for a reader: a head and rows of cells.
type table struct {
	head []string
	rows [][]string
}

func newTable(head ...string) *table { return &table{head: head} }

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		// An error of several lines must not break the row.
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

// print writes the table, or the JSON it was made from.
func (a *api) print(raw []byte, t *table) error {
	if a.output == outputTable {
		return t.write(a.out)
	}
	var b bytes.Buffer
	if err := json.Indent(&b, bytes.TrimSpace(raw), "", "  "); err != nil {
		return errors.Wrap(err, "answer")
	}
	b.WriteByte('\n')
	_, err := b.WriteTo(a.out)
	return err
}

// moment formats Unix milliseconds; zero gives "-".
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
