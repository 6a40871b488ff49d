package main

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"heatherway.dev/heatherway/internal/measure"
	"heatherway.dev/kernel/result"
)

func init() { add(measureCommand) }

func measureCommand(s outputs) *ffcli.Command {
	flags := flag.NewFlagSet("heatherwayctl measure", flag.ContinueOnError)
	o := measure.Options{Progress: s.err}
	flags.StringVar(&o.Binary, "binary", siblingPath("heatherway"), "the heatherway program to start")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of prompts, mix and arrivals")
	output := flags.String("output", outputTable, "form of the result: table or json")
	names := strings.Join(measure.Scenarios(), ", ")
	return &ffcli.Command{
		Name:       "measure",
		ShortUsage: "heatherwayctl measure [flags] <scenario>",
		ShortHelp:  "Start a fleet on loopback and measure it against a baseline.",
		LongHelp:   "Scenarios: " + names + ". Each ends within 60 s and stops every process that it started.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || !slices.Contains(measure.Scenarios(), args[0]) {
				return result.New(result.Usage, "give one of the scenarios %s", names)
			}
			r, err := measure.Run(ctx, args[0], o)
			if err != nil {
				return err
			}
			if *output == outputJSON {
				return r.WriteJSON(s.out)
			}
			return r.WriteTable(s.out)
		},
	}
}

// siblingPath returns the path of a program in the folder of the running one.
func siblingPath(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}
