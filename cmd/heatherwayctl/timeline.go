package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"heatherway.dev/heatherway/internal/explain"
	"heatherway.dev/kernel/result"
)

func init() { add(timelineCommand) }

const outputHTML = "html"

func timelineCommand(s outputs) *ffcli.Command {
	flags := flag.NewFlagSet("heatherwayctl timeline", flag.ContinueOnError)
	output := flags.String("output", outputTable, "form of the output: table, json or html")
	return &ffcli.Command{
		Name:       "timeline",
		ShortUsage: "heatherwayctl timeline [flags] LOG ...",
		ShortHelp:  "Count from the logs of processes the outcomes of requests and the changes of dependencies over time, by class and availability zone.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 || *output != outputTable && *output != outputJSON && *output != outputHTML {
				return result.New(result.Usage, "give at least one log; --output must be table, json or html")
			}
			t, err := explain.BuildTimeline(logSources(args))
			switch {
			case err != nil:
				return result.Wrap(result.InvalidField, err, "cannot build the timeline from the logs")
			case *output == outputJSON:
				return json.NewEncoder(s.out).Encode(t)
			case *output == outputHTML:
				return t.WritePage(s.out)
			}
			return writeTimeline(s.out, t)
		},
	}
}

func writeTimeline(w io.Writer, t *explain.Timeline) error {
	head := []string{"TIME"}
	for _, o := range explain.Outcomes() {
		head = append(head, o.String())
	}
	table := newTable(append(head, "P50 MS", "P99 MS")...)
	for i, step := range t.Steps {
		row := []any{t.Start.Add(time.Duration(i) * t.Step).UTC().Format("15:04:05.0")}
		for _, n := range step.Counts {
			row = append(row, n)
		}
		table.add(append(row, fmt.Sprintf("%.0f", step.P50MS), fmt.Sprintf("%.0f", step.P99MS))...)
	}
	if err := table.write(w); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\nsteps of %v; %d lines read, %d damaged\n", t.Step, t.Read.Lines, t.Read.Damaged)
	return err
}
