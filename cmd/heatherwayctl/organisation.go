package main

import (
	"context"
	"flag"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"heatherway.dev/core/config"
	"heatherway.dev/kernel/result"
)

func init() { add(organisationCommand) }

func organisationCommand(s outputs) *ffcli.Command {
	return commandGroup("organisation", "List, put and remove organisations and their keys.",
		apiCommand{path: "organisation list", help: "List the organisations.", exec: listOrganisations}.command(s),
		putOrganisationCommand(s), removeOrganisationCommand(s),
		keyCommand(s, "add-key", http.MethodPut, "Add a key to an organisation."),
		keyCommand(s, "remove-key", http.MethodDelete, "Remove a key from an organisation."))
}

func listOrganisations(ctx context.Context, a *api, _ []string) error {
	var all map[string]struct {
		KeyHashes []string `json:"key_hashes"`
	}
	raw, err := a.get(ctx, &all, "organisations")
	if err != nil {
		return err
	}
	t := newTable("ORGANISATION", "KEY HASHES")
	for _, name := range slices.Sorted(maps.Keys(all)) {
		t.add(name, joinOrDash(all[name].KeyHashes))
	}
	return a.print(raw, t)
}

// callerKey holds the flags that give a key by its hash, or by a file with the
// plain key, which keeps it out of process listings.
type callerKey struct{ hash, file string }

func (k *callerKey) register(flags *flag.FlagSet) {
	flags.StringVar(&k.hash, "key-hash", "", "SHA-256 hash of the key in hexadecimal")
	flags.StringVar(&k.file, "key-file", "", "file with the plain key, which is hashed here and not sent")
}

// value returns the hash; it is empty when no key was given.
func (k *callerKey) value() (string, error) {
	if k.file == "" {
		return k.hash, nil
	}
	if k.hash != "" {
		return "", result.New(result.Usage, "give only one of --key-hash and --key-file")
	}
	b, err := os.ReadFile(k.file)
	if err != nil {
		return "", result.Wrap(result.Usage, err, "cannot read --key-file")
	}
	return config.KeyHash(strings.TrimSpace(string(b))), nil
}

func putOrganisationCommand(s outputs) *ffcli.Command {
	var c changeFlags
	var k callerKey
	return apiCommand{
		path: "organisation put", args: "NAME", help: "Add an organisation, or replace its keys.",
		flags: func(flags *flag.FlagSet) { c.register(flags); k.register(flags) },
		exec: func(ctx context.Context, a *api, args []string) error {
			hash, err := k.value()
			if err != nil {
				return err
			}
			hashes := []string{}
			if hash != "" {
				hashes = append(hashes, hash)
			}
			r := request{method: http.MethodPut, path: []string{"organisations", args[0]}}
			return c.send(ctx, a, r, map[string]any{"key_hashes": hashes})
		},
	}.command(s)
}

func removeOrganisationCommand(s outputs) *ffcli.Command {
	var c changeFlags
	return apiCommand{
		path: "organisation remove", args: "NAME", help: "Remove an organisation.", flags: c.register,
		exec: func(ctx context.Context, a *api, args []string) error {
			return c.send(ctx, a, request{method: http.MethodDelete, path: []string{"organisations", args[0]}}, nil)
		},
	}.command(s)
}

func keyCommand(s outputs, name, method, help string) *ffcli.Command {
	var c changeFlags
	var k callerKey
	return apiCommand{
		path: "organisation " + name, args: "NAME", help: help,
		flags: func(flags *flag.FlagSet) { c.register(flags); k.register(flags) },
		exec: func(ctx context.Context, a *api, args []string) error {
			hash, err := k.value()
			if err != nil {
				return err
			}
			if hash == "" {
				return result.New(result.Usage, "give --key-hash or --key-file")
			}
			return c.send(ctx, a, request{method: method, path: []string{"organisations", args[0], "keys", hash}}, nil)
		},
	}.command(s)
}
