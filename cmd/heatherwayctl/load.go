package main

import (
	"context"
	"flag"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"heatherway.dev/heatherway/internal/load"
	"heatherway.dev/kernel/result"
)

func init() { add(loadCommand) }

// loadFlags holds the flags that are parsed further than by package flag.
type loadFlags struct {
	client        client
	classes       string
	organisations string
	promptChars   string
	outputTokens  string
	output        string
}

const (
	outputTable = "table"
	outputJSON  = "json"
)

func loadCommand(s outputs) *ffcli.Command {
	flags := flag.NewFlagSet("heatherwayctl load", flag.ContinueOnError)
	var f loadFlags
	var o load.Options
	f.client.register(flags)
	f.register(flags)
	registerLoad(flags, &o)
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "heatherwayctl load --url URL [flags]",
		ShortHelp:  "Send generations and calls, check every token, and measure.",
		LongHelp:   "The upstreams must be stand-in engines, whose text is known. The exit status is 1 when a token was wrong, missing or repeated.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := f.complete(&o, args); err != nil {
				return result.Wrap(result.Usage, err, "load")
			}
			return runLoad(ctx, s, o, f.output)
		},
	}
}

func (f *loadFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.classes, "classes", "urgent=1,standard=2,batch=7", "mix of priority classes")
	flags.StringVar(&f.organisations, "organisations", "", "mix of organisations as name:key:weight,...; without it all requests use --key")
	flags.StringVar(&f.promptChars, "prompt-chars", "400", "length of a prompt, N or MIN-MAX")
	flags.StringVar(&f.outputTokens, "output-tokens", "50-200", "tokens to generate, N or MIN-MAX")
	flags.StringVar(&f.output, "output", outputTable, "form of the report: table or json")
}

func registerLoad(flags *flag.FlagSet, o *load.Options) {
	flags.StringVar(&o.Model, "model", "letters", "model to ask for")
	flags.Float64Var(&o.Rate, "rate", 0, "requests per second at Poisson arrivals; 0 uses --concurrency")
	flags.IntVar(&o.Concurrency, "concurrency", 8, "number of callers that each wait for their answer before the next request")
	flags.DurationVar(&o.Duration, "duration", 10*time.Second, "how long to send requests; 0 sets no limit")
	flags.IntVar(&o.Requests, "requests", 0, "number of requests to send; 0 sets no limit")
	flags.DurationVar(&o.Drain, "drain", time.Minute, "how long requests may still run after sending has ended")
	flags.DurationVar(&o.SilenceTimeout, "silence", 5*time.Second, "time without a byte after which a stream counts as broken; 0 waits for ever")
	flags.IntVar(&o.SharedPrefixChars, "shared-chars", 0, "length of the prefix that all prompts of an organisation share")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of prompts, mix and arrivals")
	flags.BoolVar(&o.Stream, "stream", true, "ask for event streams")
	flags.BoolVar(&o.Direct, "direct", false, "send to engines directly, without heatherway's headers, as a baseline")
	flags.Float64Var(&o.ServiceShare, "service", 0, "share of requests that are plain calls, half of them orders")
	flags.StringVar(&o.Service, "service-name", "orders", "plain service to call")
}

// complete sets the options from the flags and checks them.
func (f *loadFlags) complete(o *load.Options, args []string) (err error) {
	if len(args) > 0 {
		return errors.Errorf("unexpected argument %q", args[0])
	}
	if f.output != outputTable && f.output != outputJSON {
		return errors.Errorf("--output %q is neither table nor json", f.output)
	}
	o.URLs = f.client.urls
	o.Organisations = []load.Weighted[load.Organisation]{{Value: load.Organisation{Name: "caller", Key: f.client.key}, Weight: 1}}
	if f.organisations != "" {
		if o.Organisations, err = load.ParseOrganisations(f.organisations); err != nil {
			return errors.Wrap(err, "--organisations")
		}
	}
	if o.Classes, err = load.ParseClasses(f.classes); err != nil {
		return errors.Wrap(err, "--classes")
	}
	if o.PromptChars, err = load.ParseRange(f.promptChars); err != nil {
		return errors.Wrap(err, "--prompt-chars")
	}
	if o.OutputTokens, err = load.ParseRange(f.outputTokens); err != nil {
		return errors.Wrap(err, "--output-tokens")
	}
	return o.Validate()
}

func runLoad(ctx context.Context, s outputs, o load.Options, output string) error {
	report, err := load.Run(ctx, o, s.err)
	if err != nil {
		return err
	}
	write := report.WriteTable
	if output == outputJSON {
		write = report.WriteJSON
	}
	if err := write(s.out); err != nil {
		return errors.Wrap(err, "write the report")
	}
	if n := report.Total.Sum(); n > 0 {
		return errors.Errorf("%d tokens were wrong, missing or repeated", n)
	}
	return nil
}
