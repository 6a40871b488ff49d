package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() { add(instancesCommand) }

func instancesCommand(s outputs) *ffcli.Command {
	return apiCommand{path: "instances", help: "List the instances with the revision that each runs.", exec: listInstances}.command(s)
}

func listInstances(ctx context.Context, a *api, _ []string) error {
	st, raw, err := a.status(ctx)
	if err != nil {
		return err
	}
	t := newTable("INSTANCE", "ROLE", "ZONE", "REVISION", "CURRENT", "REPORTED")
	for _, i := range st.Instances {
		t.add(i.Instance, i.Role, i.Zone, i.Revision, i.Revision >= st.Revision, milliseconds(i.AgeMS).String()+" ago")
	}
	return a.print(raw, t)
}
