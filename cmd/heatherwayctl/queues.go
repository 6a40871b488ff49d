package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"heatherway.dev/core/queue"
	"heatherway.dev/heatherway/modules/registry"
	"heatherway.dev/kernel/result"
)

func init() { add(queuesCommand) }

// queuesTimeout bounds the time to read the report of one instance.
const queuesTimeout = 3 * time.Second

func queuesCommand(s outputs) *ffcli.Command {
	flags := flag.NewFlagSet("heatherwayctl queues", flag.ContinueOnError)
	output := flags.String("output", outputTable, "form of the report: table or json")
	return &ffcli.Command{
		Name:       "queues",
		ShortUsage: "heatherwayctl queues [flags] METRICS-ADDRESS ...",
		ShortHelp:  "Show the queues of streams across gateways, by the metrics addresses of the control instances.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 0 || *output != outputTable && *output != outputJSON {
				return result.New(result.Usage, "give the metrics addresses of the control instances; --output is table or json")
			}
			report, err := ownerReport(ctx, args)
			if err != nil {
				return err
			}
			if *output == outputJSON {
				return json.NewEncoder(s.out).Encode(report)
			}
			return writeQueues(s.out, report)
		},
	}
}

// ownerReport returns the report of the instance that owns the queues.
func ownerReport(ctx context.Context, addrs []string) (registry.QueueReport, error) {
	var failures []error
	for _, addr := range addrs {
		report, err := readQueues(ctx, addr)
		switch {
		case err != nil:
			failures = append(failures, errors.Wrap(err, addr))
		case report.Owner:
			return report, nil
		}
	}
	if len(failures) > 0 {
		return registry.QueueReport{}, errors.Join(failures...)
	}
	return registry.QueueReport{}, result.New(result.ControlUnavailable, "none of the instances owns the queues: they are off, no gateway has called the leader in the last seconds, or the leader is not listed")
}

func readQueues(ctx context.Context, addr string) (report registry.QueueReport, err error) {
	if !strings.Contains(addr, "://") {
		addr = "http://" + addr
	}
	ctx, cancel := context.WithTimeout(ctx, queuesTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(addr, "/")+registry.QueuesPath, nil)
	if err != nil {
		return report, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, errors.Errorf("the instance answered %s", response.Status)
	}
	return report, json.NewDecoder(io.LimitReader(response.Body, maxSnapshotBytes)).Decode(&report)
}

// writeQueues writes the queues as tables, the first waiting requests last.
func writeQueues(w io.Writer, report registry.QueueReport) error {
	fmt.Fprintf(w, "owner %s, %d gateways\n", report.Instance, len(report.Gateways))
	names := make([]string, 0, len(report.Services))
	for name := range report.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		status := report.Services[name]
		fmt.Fprintf(w, "\nservice %s, %d interrupted streams wait\n", name, status.Resuming)
		if err := writeQueue(w, status); err != nil {
			return err
		}
	}
	return nil
}

func writeQueue(w io.Writer, s queue.Status) error {
	classes := newTable("PRIORITY", "ROUTE", "WAITING", "LATE", "RETURNED", "TOKENS", "OLDEST", "EXPECTED")
	for _, c := range s.Classes {
		classes.add(c.Priority, c.RoutePriority, c.Waiting, c.Late, c.Returned, c.Tokens, roundMS(c.OldestWait), roundMS(c.ExpectedWait))
	}
	upstreams := newTable("UPSTREAM", "ZONE", "ACCEPTS", "UNREAD", "UNREAD TOKENS", "RUNNING", "SLOTS", "USED", "COPIES", "MEMORY", "TOKENS/MS")
	for _, u := range s.Upstreams {
		upstreams.add(u.ID, u.Zone, u.Accepts, u.Unread, u.UnreadTokens, u.Running, u.Slots, u.UsedTokens, u.CopyTokens, u.MemoryTokens, fmt.Sprintf("%.1f", u.TokensPerMS))
	}
	requests := newTable("PLACE", "REQUEST", "PRIORITY", "ORGANISATION", "GATEWAY", "WAITED", "EXPECTED", "LATE", "RETURNED")
	for _, r := range s.Requests {
		requests.add(r.Position, r.RequestID, r.Priority, r.Organisation, r.Gateway, roundMS(r.Waited), roundMS(r.Expected), r.Late, r.Returned)
	}
	for _, t := range []*table{classes, upstreams, requests} {
		if err := t.write(w); err != nil {
			return err
		}
	}
	return nil
}

func roundMS(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
