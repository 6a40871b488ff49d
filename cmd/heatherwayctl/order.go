package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"heatherway.dev/core/wire"
)

func init() { add(orderCommand) }

func orderCommand(s outputs) *ffcli.Command {
	return commandGroup("order", "Issue and list orders to engines.",
		apiCommand{path: "order list", help: "List the orders, the oldest first.", exec: listOrders}.command(s),
		issueCommand(s))
}

func listOrders(ctx context.Context, a *api, _ []string) error {
	var all []struct {
		wire.Order
		Status  string `json:"status"`
		Message string `json:"message"`
		AtMS    int64  `json:"at_ms"`
	}
	raw, err := a.get(ctx, &all, "orders")
	if err != nil {
		return err
	}
	t := newTable("ID", "UPSTREAM", "KIND", "MODEL", "ADAPTER", "VERSION", "ROLE", "STATUS", "AT", "MESSAGE")
	for _, o := range all {
		t.add(o.ID, o.Upstream, o.Kind, o.Model, o.Adapter, o.Version, o.Role, o.Status, formatTime(o.AtMS), o.Message)
	}
	return a.print(raw, t)
}

func issueCommand(s outputs) *ffcli.Command {
	var p operator
	var o wire.Order
	var id string
	return apiCommand{
		path: "order issue", args: "UPSTREAM KIND", help: "Issue an order.",
		long: "KIND is load_model, unload_model, load_adapter, unload_adapter, set_version or set_role.",
		flags: func(flags *flag.FlagSet) {
			p.register(flags)
			flags.StringVar(&id, "id", "", "name of the order; sent again, it is not issued twice (random by default)")
			flags.StringVar(&o.Model, "model", "", "model to load, unload or change")
			flags.StringVar(&o.Adapter, "adapter", "", "adapter to load or unload")
			flags.StringVar(&o.Version, "version", "", "version to load")
			flags.StringVar(&o.Role, "role", "", "role to give to the engine")
			flags.StringVar(&o.Replaces, "replaces", "", "model that the load evicts from memory")
		},
		exec: func(ctx context.Context, a *api, args []string) error {
			if id == "" {
				id = string(wire.NewID())
			}
			o.ID, o.Upstream, o.Kind = wire.ID(id), args[0], wire.OrderKind(args[1])
			return issueOrder(ctx, a, p, o)
		},
	}.command(s)
}

// orderBody is the body of the call. It has no fencing token, since control sets
// that.
type orderBody struct {
	ID       wire.ID        `json:"id"`
	Upstream string         `json:"upstream"`
	Kind     wire.OrderKind `json:"kind"`
	Model    string         `json:"model,omitempty"`
	Adapter  string         `json:"adapter,omitempty"`
	Version  string         `json:"version,omitempty"`
	Role     string         `json:"role,omitempty"`
	Replaces string         `json:"replaces,omitempty"`
	Author   string         `json:"author"`
	Reason   string         `json:"reason"`
}

func issueOrder(ctx context.Context, a *api, p operator, o wire.Order) error {
	if err := p.check(); err != nil {
		return err
	}
	raw, err := a.do(ctx, request{method: http.MethodPost, path: []string{"orders"}, body: orderBody{
		ID: o.ID, Upstream: o.Upstream, Kind: o.Kind, Model: o.Model, Adapter: o.Adapter,
		Version: o.Version, Role: o.Role, Replaces: o.Replaces, Author: p.author, Reason: p.reason,
	}})
	if err != nil {
		return err
	}
	var r struct {
		Status  string `json:"status"`
		Message string `json:"message"`
	}
	if err := json.Unmarshal(raw, &r); err != nil {
		return errors.Wrap(err, "decode the answer")
	}
	t := newTable("ORDER", "STATUS", "MESSAGE")
	t.add(o.ID, r.Status, r.Message)
	return a.print(raw, t)
}
