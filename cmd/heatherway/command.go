package main

import (
	"context"
	_ "embed"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"heatherway.dev/kernel"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/settings"
)

// localSettings is the embedded default settings file: the whole system in one
// process.
//
//go:embed local.yaml
var localSettings []byte

const environmentPrefix = "HEATHERWAY"

func newCommand(stdout io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("heatherway", flag.ContinueOnError)
	path := flags.String("config", "", "settings file; without one, the whole system runs locally in one process")
	check := flags.Bool("check", false, "check the settings file, print nothing if it is valid, and exit")
	return &ffcli.Command{
		Name:       "heatherway",
		ShortUsage: "heatherway [flags]",
		ShortHelp:  "Run the roles that a settings file names.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return result.New(result.Usage, "unexpected argument %q", args[0])
			}
			var hup <-chan os.Signal
			if *path != "" {
				hup = kernel.NotifyHangup()
			}
			doc, err := loadSettings(*path)
			if err != nil {
				return err
			}
			if *check {
				return kernel.Check(doc)
			}
			k, err := kernel.New(doc)
			if err != nil {
				return err
			}
			if *path == "" {
				fmt.Fprintln(stdout, localUsage)
			} else {
				k.WatchSettings(ctx, *path, hup)
			}
			return k.Run(ctx)
		},
	}
}

const localUsage = `Serving on http://127.0.0.1:8080 with two stand-in engines and an order service. Try:
  curl -N http://127.0.0.1:8080/v1/completions -H 'Authorization: Bearer demo' \
    -H 'Content-Type: application/json' -d '{"model":"letters","prompt":"hello","max_tokens":40,"stream":true}'`

func loadSettings(path string) (*settings.Document, error) {
	if path == "" {
		return settings.Parse("embedded default", localSettings)
	}
	return settings.Load(path)
}
