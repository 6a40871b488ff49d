package main

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() {
	add(func(s outputs) *ffcli.Command {
		return drainCommand(s, "drain", "Drain an upstream: it takes no new work and finishes its running work.", false)
	})
	add(func(s outputs) *ffcli.Command {
		return drainCommand(s, "undrain", "Let an upstream take work again.", true)
	})
}

func drainCommand(s outputs, name, help string, undo bool) *ffcli.Command {
	var p operator
	return apiCommand{
		path: name, args: "INSTANCE", help: help, flags: p.register,
		exec: func(ctx context.Context, a *api, args []string) error {
			if err := p.check(); err != nil {
				return err
			}
			raw, err := a.do(ctx, request{
				method: http.MethodPost, path: []string{"upstreams", args[0], "drain"},
				body: map[string]any{"author": p.author, "reason": p.reason, "undo": undo},
			})
			if err != nil {
				return err
			}
			var r struct {
				Running int `json:"running"`
			}
			if err := json.Unmarshal(raw, &r); err != nil {
				return errors.Wrap(err, "decode the answer")
			}
			t := newTable("INSTANCE", "STILL RUNNING")
			t.add(args[0], r.Running)
			return a.print(raw, t)
		},
	}.command(s)
}
