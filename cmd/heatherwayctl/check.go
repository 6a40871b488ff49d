package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"heatherway.dev/kernel"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/settings"

	_ "heatherway.dev/heatherway/modules/standard" // registers the modules that settings may use
)

func checkCommand(s outputs) *ffcli.Command {
	output := outputTable
	flags := flag.NewFlagSet("heatherwayctl config check", flag.ContinueOnError)
	flags.StringVar(&output, "output", outputTable, "form of the output: table or json")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "heatherwayctl config check [flags] FILE",
		ShortHelp:  "Check a settings file as a process does at start, without starting anything.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 || output != outputTable && output != outputJSON {
				return result.New(result.Usage, "give one settings file; --output must be table or json")
			}
			doc, err := settings.Load(args[0])
			if err == nil {
				err = kernel.Check(doc)
			}
			if err != nil {
				return err
			}
			text := args[0] + " is right\n"
			if output == outputJSON {
				text = fmt.Sprintf("{\"file\": %q, \"right\": true}\n", args[0])
			}
			_, err = fmt.Fprint(s.out, text)
			return err
		},
	}
}
