package main

import (
	"context"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() { add(quarantineCommand) }

func quarantineCommand(s outputs) *ffcli.Command {
	return commandGroup("quarantine", "List and lift quarantines of crashing requests.",
		apiCommand{path: "quarantine list", help: "List suspects and quarantined requests.", exec: listQuarantine}.command(s),
		quarantineLiftCommand(s))
}

func listQuarantine(ctx context.Context, a *api, _ []string) error {
	var all []struct {
		Fingerprint string `json:"fingerprint"`
		Crashes     uint32 `json:"crashes"`
		Quarantined bool   `json:"quarantined"`
		LeftMS      int64  `json:"left_ms"`
	}
	raw, err := a.get(ctx, &all, "quarantine")
	if err != nil {
		return err
	}
	t := newTable("FINGERPRINT", "CRASHES", "QUARANTINED", "LEFT")
	for _, x := range all {
		t.add(x.Fingerprint, x.Crashes, x.Quarantined, milliseconds(x.LeftMS))
	}
	return a.print(raw, t)
}

func quarantineLiftCommand(s outputs) *ffcli.Command {
	var p operator
	return apiCommand{
		path: "quarantine lift", args: "FINGERPRINT", help: "End the quarantine of a request.", flags: p.register,
		exec: func(ctx context.Context, a *api, args []string) error {
			if err := p.check(); err != nil {
				return err
			}
			_, err := a.do(ctx, request{
				method: http.MethodPost, path: []string{"quarantine", args[0], "lift"},
				body: map[string]any{"author": p.author, "reason": p.reason},
			})
			if err != nil {
				return err
			}
			t := newTable("LIFTED")
			t.add(args[0])
			return a.print([]byte(`{"lifted":true}`), t)
		},
	}.command(s)
}
