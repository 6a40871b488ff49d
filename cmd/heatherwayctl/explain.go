package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"heatherway.dev/heatherway/internal/explain"
	"heatherway.dev/kernel/result"
)

func init() { add(explainCommand) }

func explainCommand(s outputs) *ffcli.Command {
	flags := flag.NewFlagSet("heatherwayctl explain", flag.ContinueOnError)
	output := flags.String("output", outputTable, "form of the output: table or json")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "heatherwayctl explain [flags] ID LOG ...",
		ShortHelp:  "Report from the logs of processes what happened to a request and the state on which decisions about it were based.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 || *output != outputTable && *output != outputJSON {
				return result.New(result.Usage, "give a request id and at least one log; --output must be table or json")
			}
			r, err := explain.Request(args[0], logSources(args[1:]))
			if err != nil {
				return result.Wrap(result.InvalidField, err, "cannot read the logs")
			}
			if *output == outputJSON {
				return json.NewEncoder(s.out).Encode(r)
			}
			return writeExplanation(s.out, r)
		},
	}
}

// logSources returns a source for each log file.
func logSources(names []string) (sources []explain.Source) {
	for _, name := range names {
		sources = append(sources, explain.Source{Name: name, Open: func() (io.ReadCloser, error) { return os.Open(name) }})
	}
	return sources
}

// commonFields are omitted from the column FIELDS: they have a column of their
// own or say nothing about the request.
var commonFields = []string{"time", "level", "msg", "instance", "zone", "role", "request", "request_id", "stack"}

func writeExplanation(w io.Writer, r *explain.Report) error {
	t := newTable("TIME", "BEFORE THE END", "INSTANCE", "ABOUT", "MESSAGE", "FIELDS")
	for _, l := range r.Lines {
		var fields []string
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			if !slices.Contains(commonFields, name) {
				fields = append(fields, fmt.Sprintf("%s=%v", name, l.Fields[name]))
			}
		}
		t.add(l.Time.Format("15:04:05.000"), l.Age.Round(1e6), l.Instance, l.Kind, l.Message, strings.Join(fields, " "))
	}
	if len(r.Lines) > 0 {
		if err := t.write(w); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "\n%s: %s\n%d lines read, %d damaged, %d left out\n", r.ID, r.Why, r.Counts.Lines, r.Counts.Damaged, r.Left)
	return err
}
