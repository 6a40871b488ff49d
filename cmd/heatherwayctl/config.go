package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() { add(configCommand) }

// configDoc is the part of the configuration that the tables show.
type configDoc struct {
	Revision      uint64            `json:"revision"`
	Defaults      map[string]string `json:"defaults"`
	Exceptions    []exceptionDoc    `json:"exceptions"`
	Organisations map[string]struct {
		KeyHashes []string `json:"key_hashes"`
	} `json:"organisations"`
}

func configCommand(s outputs) *ffcli.Command {
	return commandGroup("config", "Show, check and change the configuration.",
		apiCommand{path: "config show", help: "Show the configuration in force.", exec: showConfig}.command(s),
		apiCommand{path: "config keys", help: "List the keys with their ranges.", exec: listKeys}.command(s),
		setCommand(s), unsetCommand(s), historyCommand(s), checkCommand(s))
}

func showConfig(ctx context.Context, a *api, _ []string) error {
	var doc configDoc
	raw, err := a.get(ctx, &doc, "configuration")
	if err != nil {
		return err
	}
	t := newTable("WHAT", "NAME", "VALUE")
	t.add("revision", "-", doc.Revision)
	for _, k := range slices.Sorted(maps.Keys(doc.Defaults)) {
		t.add("default", k, doc.Defaults[k])
	}
	for _, e := range doc.Exceptions {
		t.add("exception", e.ID, fmt.Sprintf("%s=%s for %s", e.Key, e.Value, e.Selector))
	}
	for _, o := range slices.Sorted(maps.Keys(doc.Organisations)) {
		t.add("organisation", o, fmt.Sprintf("%d keys", len(doc.Organisations[o].KeyHashes)))
	}
	return a.print(raw, t)
}

func listKeys(ctx context.Context, a *api, _ []string) error {
	var keys []struct {
		Name    string   `json:"name"`
		Kind    string   `json:"kind"`
		Unit    string   `json:"unit"`
		Default string   `json:"default"`
		Min     float64  `json:"min"`
		Max     float64  `json:"max"`
		OneOf   []string `json:"one_of"`
		Scopes  []string `json:"scopes"`
		Meaning string   `json:"meaning"`
	}
	raw, err := a.get(ctx, &keys, "configuration", "keys")
	if err != nil {
		return err
	}
	t := newTable("KEY", "TYPE", "UNIT", "DEFAULT", "VALUES", "EXCEPTION BY", "MEANING")
	for _, k := range keys {
		values := fmt.Sprintf("%v to %v", k.Min, k.Max)
		if k.Kind == "duration" {
			values += " s"
		}
		if len(k.OneOf) > 0 {
			values = joinOrDash(k.OneOf)
		}
		if k.Kind == "boolean" {
			values = "true,false"
		}
		t.add(k.Name, k.Kind, k.Unit, k.Default, values, joinOrDash(k.Scopes), k.Meaning)
	}
	return a.print(raw, t)
}

func setCommand(s outputs) *ffcli.Command {
	var c changeFlags
	return apiCommand{
		path: "config set", args: "KEY VALUE", help: "Change a default.", flags: c.register,
		exec: func(ctx context.Context, a *api, args []string) error {
			return c.edit(ctx, a, map[string]any{"kind": "set_default", "name": args[0], "value": args[1]})
		},
	}.command(s)
}

func unsetCommand(s outputs) *ffcli.Command {
	var c changeFlags
	return apiCommand{
		path: "config unset", args: "KEY", help: "Go back to the built-in default of a key.", flags: c.register,
		exec: func(ctx context.Context, a *api, args []string) error {
			return c.edit(ctx, a, map[string]any{"kind": "unset_default", "name": args[0]})
		},
	}.command(s)
}

// defaultHistory is the default number of changes in the history.
const defaultHistory = 20

func historyCommand(s outputs) *ffcli.Command {
	var limit int
	return apiCommand{
		path: "config history", help: "List the latest changes, also those that were refused.",
		flags: func(flags *flag.FlagSet) { flags.IntVar(&limit, "limit", defaultHistory, "how many changes to list") },
		exec:  func(ctx context.Context, a *api, _ []string) error { return showHistory(ctx, a, limit) },
	}.command(s)
}

func showHistory(ctx context.Context, a *api, limit int) error {
	raw, err := a.do(ctx, request{
		method: http.MethodGet, path: []string{"configuration", "changes"}, query: url.Values{"limit": {strconv.Itoa(limit)}},
	})
	if err != nil {
		return err
	}
	var past []struct {
		ChangeID     string   `json:"change_id"`
		Verdict      string   `json:"verdict"`
		Revision     uint64   `json:"revision"`
		BaseRevision uint64   `json:"base_revision"`
		Author       string   `json:"author"`
		Reason       string   `json:"reason"`
		AtMS         int64    `json:"at_ms"`
		Problems     []string `json:"problems"`
	}
	if err := json.Unmarshal(raw, &past); err != nil {
		return errors.Wrap(err, "decode the answer")
	}
	t := newTable("AT", "CHANGE", "VERDICT", "REVISION", "BASE", "AUTHOR", "REASON", "PROBLEMS")
	for _, c := range past {
		t.add(formatTime(c.AtMS), c.ChangeID, c.Verdict, c.Revision, c.BaseRevision, c.Author, c.Reason, joinOrDash(c.Problems))
	}
	return a.print(raw, t)
}
