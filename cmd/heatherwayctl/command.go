package main

import (
	"context"
	"flag"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"heatherway.dev/kernel/result"
)

// apiCommand is a subcommand that calls the administration API.
type apiCommand struct {
	// path is the full name, such as "config show".
	path string
	// args lists the names of the arguments after the flags.
	args string
	help string
	long string
	// flags registers the subcommand's own flags; it may be nil.
	flags func(*flag.FlagSet)
	exec  func(ctx context.Context, a *api, args []string) error
}

func (l apiCommand) command(s outputs) *ffcli.Command {
	flags := flag.NewFlagSet("heatherwayctl "+l.path, flag.ContinueOnError)
	a := &api{out: s.out, err: s.err}
	a.register(flags)
	if l.flags != nil {
		l.flags(flags)
	}
	names := strings.Fields(l.path)
	return &ffcli.Command{
		Name:       names[len(names)-1],
		ShortUsage: strings.TrimSpace("heatherwayctl " + l.path + " [flags] " + l.args),
		ShortHelp:  l.help,
		LongHelp:   l.long,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if want := len(strings.Fields(l.args)); len(args) != want {
				return result.New(result.Usage, "%s: have %d arguments, want %q after the flags", l.path, len(args), l.args)
			}
			if err := a.open(); err != nil {
				return err
			}
			return l.exec(ctx, a, args)
		},
	}
}

// commandGroup returns a subcommand that only contains other subcommands.
func commandGroup(name, help string, subcommands ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  "heatherwayctl " + name + " <subcommand> [flags]",
		ShortHelp:   help,
		FlagSet:     flag.NewFlagSet("heatherwayctl "+name, flag.ContinueOnError),
		Subcommands: subcommands,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return result.New(result.Usage, "%s has no subcommand %q; see heatherwayctl %s --help", name, args[0], name)
			}
			return flag.ErrHelp
		},
	}
}
