// Command heatherwayctl is the command-line tool for operators. Each subcommand
// has a file of its own and registers itself in init.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sort"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"heatherway.dev/kernel/result"
)

// Exit statuses, documented in docs/OPERATIONS.md.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
	// exitConflict means that another change was accepted on the same base, or another roll-out runs.
	exitConflict = 3
)

const environmentPrefix = "HEATHERWAYCTL"

// outputs holds the writers for standard output and standard error.
type outputs struct{ out, err io.Writer }

var subcommands []func(outputs) *ffcli.Command

// add registers a subcommand. It is called from init.
func add(make func(outputs) *ffcli.Command) { subcommands = append(subcommands, make) }

func command(s outputs) *ffcli.Command {
	root := &ffcli.Command{
		Name:       "heatherwayctl",
		ShortUsage: "heatherwayctl <subcommand> [flags]",
		ShortHelp:  "Operate and measure heatherway.",
		FlagSet:    flag.NewFlagSet("heatherwayctl", flag.ContinueOnError),
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return result.New(result.Usage, "unknown subcommand %q", args[0])
			}
			return flag.ErrHelp
		},
	}
	for _, make := range subcommands {
		c := make(s)
		readEnvironment(c)
		root.Subcommands = append(root.Subcommands, c)
	}
	sort.Slice(root.Subcommands, func(i, j int) bool { return root.Subcommands[i].Name < root.Subcommands[j].Name })
	return root
}

func readEnvironment(c *ffcli.Command) {
	c.Options = append(c.Options, ff.WithEnvVarPrefix(environmentPrefix))
	for _, sub := range c.Subcommands {
		readEnvironment(sub)
	}
}

// run parses the command line and runs the subcommand.
func run(ctx context.Context, c *ffcli.Command, args []string) error {
	if err := c.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return result.New(result.Usage, "%v; see --help", err)
	}
	return c.Run(ctx)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := run(ctx, command(outputs{os.Stdout, os.Stderr}), os.Args[1:])
	stop()
	os.Exit(exitStatus(err, os.Stderr))
}

func exitStatus(err error, stderr io.Writer) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	fmt.Fprintln(stderr, "heatherwayctl:", err)
	switch {
	case result.Is(err, result.Usage):
		return exitUsage
	case result.Is(err, result.RevisionConflict), result.Is(err, result.RolloutRuns):
		return exitConflict
	default:
		return exitFailed
	}
}
