package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() { add(upstreamsCommand) }

func upstreamsCommand(s outputs) *ffcli.Command {
	return apiCommand{path: "upstreams", help: "List the upstreams by availability zone.", exec: listUpstreams}.command(s)
}

func listUpstreams(ctx context.Context, a *api, _ []string) error {
	st, raw, err := a.status(ctx)
	if err != nil {
		return err
	}
	t := newTable("ZONE", "INSTANCE", "ADDRESS", "STATE", "SLOTS", "MODELS", "SERVICES")
	for _, z := range st.Zones {
		for _, u := range z.Upstreams {
			t.add(z.Zone, u.Instance, u.Address, u.State, u.Slots, joinOrDash(u.Models), joinOrDash(u.Services))
		}
	}
	return a.print(raw, t)
}
