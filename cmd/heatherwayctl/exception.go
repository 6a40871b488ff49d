package main

import (
	"context"
	"flag"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"heatherway.dev/kernel/result"
)

func init() { add(exceptionCommand) }

// selector limits an exception to an organisation, model, availability zone,
// upstream or service.
type selector struct {
	Organisation string `json:"organisation,omitempty"`
	Model        string `json:"model,omitempty"`
	Zone         string `json:"zone,omitempty"`
	Upstream     string `json:"upstream,omitempty"`
	Service      string `json:"service,omitempty"`
}

func (s *selector) register(flags *flag.FlagSet) {
	flags.StringVar(&s.Organisation, "organisation", "", "organisation that the exception holds for")
	flags.StringVar(&s.Model, "model", "", "model that the exception holds for")
	flags.StringVar(&s.Zone, "zone", "", "availability zone that the exception holds for")
	flags.StringVar(&s.Upstream, "upstream", "", "upstream that the exception holds for")
	flags.StringVar(&s.Service, "service", "", "service that the exception holds for")
}

// String implements fmt.Stringer.
func (s selector) String() string {
	var out []string
	for _, f := range [...]struct{ name, value string }{
		{"organisation", s.Organisation}, {"model", s.Model}, {"zone", s.Zone},
		{"upstream", s.Upstream}, {"service", s.Service},
	} {
		if f.value != "" {
			out = append(out, f.name+" "+f.value)
		}
	}
	return strings.Join(out, ", ")
}

type exceptionDoc struct {
	ID       string   `json:"id"`
	Key      string   `json:"key"`
	Value    string   `json:"value"`
	Selector selector `json:"selector"`
	Reason   string   `json:"reason"`
	UntilMS  int64    `json:"until_ms"`
}

func exceptionCommand(s outputs) *ffcli.Command {
	return commandGroup("exception", "List, put and remove exceptions.",
		apiCommand{path: "exception list", help: "List the exceptions.", exec: listExceptions}.command(s),
		putExceptionCommand(s), removeExceptionCommand(s))
}

func listExceptions(ctx context.Context, a *api, _ []string) error {
	var all []exceptionDoc
	raw, err := a.get(ctx, &all, "exceptions")
	if err != nil {
		return err
	}
	t := newTable("ID", "KEY", "VALUE", "FOR", "UNTIL", "REASON")
	for _, e := range all {
		t.add(e.ID, e.Key, e.Value, e.Selector, formatTime(e.UntilMS), e.Reason)
	}
	return a.print(raw, t)
}

func putExceptionCommand(s outputs) *ffcli.Command {
	var c changeFlags
	var sel selector
	var until string
	return apiCommand{
		path: "exception put", args: "ID KEY VALUE", help: "Add an exception, or replace the one with the id.",
		flags: func(flags *flag.FlagSet) {
			c.register(flags)
			sel.register(flags)
			flags.StringVar(&until, "until", "", "end of the exception: a duration from now such as 2h, or a time such as 2026-12-31T18:00:00Z")
		},
		exec: func(ctx context.Context, a *api, args []string) error {
			body := map[string]any{"key": args[1], "value": args[2], "selector": sel}
			if until != "" {
				end, err := parseEnd(until, time.Now())
				if err != nil {
					return err
				}
				body["until_ms"] = end.UnixMilli()
			}
			return c.send(ctx, a, request{method: http.MethodPut, path: []string{"exceptions", args[0]}}, body)
		},
	}.command(s)
}

func parseEnd(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil && d > 0 {
		return now.Add(d), nil
	}
	end, err := time.Parse(time.RFC3339, text)
	if err != nil || !end.After(now) {
		return end, result.New(result.Usage, "--until %q is neither a duration such as 2h nor a coming time such as 2026-12-31T18:00:00Z", text)
	}
	return end, nil
}

func removeExceptionCommand(s outputs) *ffcli.Command {
	var c changeFlags
	return apiCommand{
		path: "exception remove", args: "ID", help: "Remove an exception.", flags: c.register,
		exec: func(ctx context.Context, a *api, args []string) error {
			return c.send(ctx, a, request{method: http.MethodDelete, path: []string{"exceptions", args[0]}}, nil)
		},
	}.command(s)
}
