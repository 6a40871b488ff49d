package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() {
	add(statusCommand)
	add(memberCommand)
}

// fleetStatus is the part of the status that the tables show.
type fleetStatus struct {
	Revision uint64 `json:"revision"`
	Members  []struct {
		Instance string `json:"instance"`
		Address  string `json:"address"`
		Error    string `json:"error"`
		Groups   []struct {
			Group   uint32 `json:"group"`
			Role    string `json:"role"`
			Term    uint64 `json:"term"`
			Leader  string `json:"leader"`
			Commit  uint64 `json:"commit"`
			Applied uint64 `json:"applied"`
			Voters  int    `json:"voters"`
		} `json:"groups"`
	} `json:"members"`
	Instances []struct {
		Instance string `json:"instance"`
		Role     string `json:"role"`
		Zone     string `json:"zone"`
		Revision uint64 `json:"revision"`
		AgeMS    int64  `json:"age_ms"`
	} `json:"instances"`
	Zones []struct {
		Zone      string `json:"zone"`
		Upstreams []struct {
			Instance string   `json:"instance"`
			Address  string   `json:"address"`
			State    string   `json:"state"`
			Models   []string `json:"models"`
			Services []string `json:"services"`
			Slots    uint32   `json:"slots"`
		} `json:"upstreams"`
	} `json:"zones"`
}

func (a *api) status(ctx context.Context) (fleetStatus, []byte, error) {
	var st fleetStatus
	raw, err := a.get(ctx, &st, "status")
	return st, raw, err
}

func statusCommand(s outputs) *ffcli.Command {
	return apiCommand{path: "status", help: "Summarise control members, instances and upstreams.", exec: showStatus}.command(s)
}

func showStatus(ctx context.Context, a *api, _ []string) error {
	st, raw, err := a.status(ctx)
	if err != nil {
		return err
	}
	t := newTable("WHAT", "STATE")
	t.add("revision", st.Revision)
	answering := 0
	for _, m := range st.Members {
		if m.Error == "" {
			answering++
		}
	}
	t.add("control members", fmt.Sprintf("%d of %d answer", answering, len(st.Members)))
	current := 0
	for _, i := range st.Instances {
		if i.Revision >= st.Revision {
			current++
		}
	}
	t.add("instances", fmt.Sprintf("%d of %d run the revision", current, len(st.Instances)))
	for _, z := range st.Zones {
		up := 0
		for _, u := range z.Upstreams {
			if u.State == "up" {
				up++
			}
		}
		t.add("upstreams in "+z.Zone, fmt.Sprintf("%d of %d up", up, len(z.Upstreams)))
	}
	return a.print(raw, t)
}

func memberCommand(s outputs) *ffcli.Command {
	return commandGroup("member", "List and replace control members.",
		apiCommand{path: "member list", help: "List the control members with their log groups.", exec: listMembers}.command(s),
		replaceCommand(s))
}

func replaceCommand(s outputs) *ffcli.Command {
	var p operator
	return apiCommand{
		path: "member replace", args: "MEMBER", help: "Take a control member out of the log groups.", flags: p.register,
		long: "A member that is still in the settings of the others comes back as a learner and gets its vote when it has caught up.",
		exec: func(ctx context.Context, a *api, args []string) error {
			if err := p.check(); err != nil {
				return err
			}
			raw, err := a.do(ctx, request{
				method: http.MethodPost, path: []string{"members", args[0], "replace"},
				body: map[string]any{"author": p.author, "reason": p.reason},
			})
			if err != nil {
				return err
			}
			var r struct {
				Groups int `json:"groups"`
			}
			if err := json.Unmarshal(raw, &r); err != nil {
				return errors.Wrap(err, "decode the answer")
			}
			t := newTable("MEMBER", "GROUPS LEFT")
			t.add(args[0], r.Groups)
			return a.print(raw, t)
		},
	}.command(s)
}

func listMembers(ctx context.Context, a *api, _ []string) error {
	st, raw, err := a.status(ctx)
	if err != nil {
		return err
	}
	t := newTable("MEMBER", "ADDRESS", "GROUP", "ROLE", "TERM", "LEADER", "COMMIT", "APPLIED", "VOTERS", "ERROR")
	for _, m := range st.Members {
		if len(m.Groups) == 0 {
			t.add(m.Instance, m.Address, "-", "-", "-", "-", "-", "-", "-", m.Error)
		}
		for _, g := range m.Groups {
			t.add(m.Instance, m.Address, g.Group, g.Role, g.Term, g.Leader, g.Commit, g.Applied, g.Voters, m.Error)
		}
	}
	return a.print(raw, t)
}
