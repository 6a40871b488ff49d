package main

import (
	"context"
	"flag"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"heatherway.dev/core/slo"
	"heatherway.dev/heatherway/internal/response"
	"heatherway.dev/heatherway/internal/sloreport"
	"heatherway.dev/kernel/result"
)

func init() { add(sloCommand) }

const (
	// snapshotTimeout bounds the time to fetch a snapshot.
	snapshotTimeout = 10 * time.Second
	// maxSnapshotBytes bounds a snapshot, which has up to 4,096 series of about
	// 4 KB.
	maxSnapshotBytes = 32 << 20
)

func sloCommand(s outputs) *ffcli.Command {
	flags := flag.NewFlagSet("heatherwayctl slo", flag.ContinueOnError)
	output := flags.String("output", outputTable, "form of the report: table (or text), json or html")
	var entries entryFlags
	entries.register(flags)
	offenders := flags.Int("offenders", 10, "number of worst offenders to list")
	return &ffcli.Command{
		Name:       "slo",
		ShortUsage: "heatherwayctl slo [flags] [FILE|URL ...]",
		ShortHelp:  "Merge the service-level snapshots of entries and report budgets and burn rates.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			format := sloreport.Format(*output)
			if *output == outputTable {
				format = sloreport.Text
			}
			if format != sloreport.Text && format != sloreport.JSON && format != sloreport.HTML {
				return result.New(result.Usage, "--output %q is none of table, text, json and html", *output)
			}
			if len(args)+len(entries.addrs) == 0 || *offenders < 0 {
				return result.New(result.Usage, "give at least one snapshot or --entry; --offenders must be 0 or more")
			}
			all, err := mergeSnapshots(ctx, args)
			if err != nil {
				return err
			}
			if all, err = entries.merge(ctx, all); err != nil {
				return err
			}
			return sloreport.Write(s.out, slo.BuildReport(all, *offenders), format)
		},
	}
}

func mergeSnapshots(ctx context.Context, sources []string) (slo.Snapshot, error) {
	all := slo.Snapshot{Layout: slo.LayoutVersion}
	for _, source := range sources {
		b, err := readSnapshot(ctx, source)
		if err != nil {
			return all, errors.Wrap(err, source)
		}
		one, err := slo.Decode(b)
		if err != nil {
			return all, errors.Wrap(err, source)
		}
		all = slo.Merge(all, one)
	}
	return all, nil
}

func readSnapshot(ctx context.Context, source string) ([]byte, error) {
	if !strings.HasPrefix(source, "http://") && !strings.HasPrefix(source, "https://") {
		return os.ReadFile(source)
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, source, nil)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: response.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the server answered %s", resp.Status)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxSnapshotBytes))
}
