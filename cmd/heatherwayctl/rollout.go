package main

import (
	"context"
	"encoding/json"
	"flag"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"heatherway.dev/core/rollout"
	"heatherway.dev/heatherway/modules/registry"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

func init() { add(rolloutCommand) }

// rolloutTimeout bounds a call to one control instance, which answers within a second.
const rolloutTimeout = 2 * time.Second

func rolloutCommand(s outputs) *ffcli.Command {
	return commandGroup("rollout", "Move a service of the gateways to another version of its upstreams' software.",
		rolloutCall{name: "start", args: "SERVICE VERSION DURATION", help: "Order a roll-out.", toCall: startArgs}.command(s),
		rolloutCall{name: "status", args: "SERVICE", help: "Show the last roll-out of a service and why it ended.", toCall: serviceArgs(false)}.command(s),
		rolloutCall{name: "list", help: "List the versions of all services and their last roll-outs.", toCall: func([]string) (*registry.RolloutArgs, error) {
			return &registry.RolloutArgs{Read: true}, nil
		}}.command(s),
		rolloutCall{name: "revert", args: "SERVICE", help: "End a roll-out that runs; its version gets no more requests.", toCall: serviceArgs(true)}.command(s))
}

// rolloutCall is a subcommand that calls the control instances of a gateway fleet.
type rolloutCall struct {
	name, args, help string
	// toCall returns the call for the arguments.
	toCall func(args []string) (*registry.RolloutArgs, error)
}

func startArgs(args []string) (*registry.RolloutArgs, error) {
	d, err := time.ParseDuration(args[2])
	if err != nil {
		return nil, result.New(result.Usage, "the duration %q is not of the form 90s or 10m", args[2])
	}
	o := rollout.Order{Service: args[0], Target: args[1], Duration: d}
	if err := o.Validate(); err != nil {
		return nil, result.Wrap(result.Usage, err, "rollout start")
	}
	return &registry.RolloutArgs{Order: o}, nil
}

func serviceArgs(revert bool) func([]string) (*registry.RolloutArgs, error) {
	return func(args []string) (*registry.RolloutArgs, error) {
		return &registry.RolloutArgs{Order: rollout.Order{Service: args[0]}, Read: !revert, Revert: revert}, nil
	}
}

// controlFlags are the flags for calls to control instances.
type controlFlags struct {
	control, output string
	tls             peer.TLSSettings
}

func (c *controlFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&c.control, "control", "127.0.0.1:7020", "addresses of control instances (peer_listen), separated by commas")
	flags.StringVar(&c.output, "output", outputTable, "form of the output: table or json")
	flags.BoolVar(&c.tls.Off, "tls-off", false, "the control instances use no TLS")
	flags.StringVar(&c.tls.CA, "ca", "", "file of the certificate authority that signed the servers' certificates")
	flags.StringVar(&c.tls.Cert, "cert", "", "file of the operator's certificate")
	flags.StringVar(&c.tls.Key, "key", "", "file of the key of --cert")
}

func (r rolloutCall) command(s outputs) *ffcli.Command {
	name := "heatherwayctl rollout " + r.name
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	var c controlFlags
	c.register(flags)
	return &ffcli.Command{
		Name: r.name, ShortUsage: strings.TrimSpace(name + " [flags] " + r.args), ShortHelp: r.help, FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if want := len(strings.Fields(r.args)); len(args) != want {
				return result.New(result.Usage, "rollout %s: have %d arguments, want %q after the flags", r.name, len(args), r.args)
			}
			call, err := r.toCall(args)
			if err != nil {
				return err
			}
			reply, err := c.call(ctx, call)
			if err != nil {
				return err
			}
			return c.print(s, call.Service, reply)
		},
	}
}

// call asks the control instances in turn until one answers.
func (c *controlFlags) call(ctx context.Context, args *registry.RolloutArgs) (*registry.RolloutReply, error) {
	security, err := peer.NewSecurity(c.tls, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	clients := security.NewClients()
	defer clients.Close()
	args.Forward = true
	for _, addr := range strings.Split(c.control, ",") {
		callCtx, cancel := context.WithTimeout(ctx, rolloutTimeout)
		reply := &registry.RolloutReply{}
		err = clients.To(addr).Call(callCtx, registry.ServiceName+".Rollout", args, reply)
		cancel()
		if err == nil {
			return reply, reply.Refusal(args.Order)
		}
	}
	return nil, result.Wrap(result.ControlUnavailable, err, "no control instance of "+c.control)
}

// print writes the answer as a table or as JSON.
func (c *controlFlags) print(s outputs, service string, reply *registry.RolloutReply) error {
	services := reply.Services
	if reply.Rollout != nil {
		services = map[string]rollout.Service{service: {Rollout: reply.Rollout}}
	}
	if c.output == outputJSON {
		return errors.Wrap(json.NewEncoder(s.out).Encode(services), "encode")
	}
	t := newTable("SERVICE", "TRUSTED", "DENIED", "TARGET", "STATE", "ORDERED", "DURATION", "REASON")
	for _, name := range slices.Sorted(maps.Keys(services)) {
		v := services[name]
		r := v.Rollout
		if r == nil {
			t.add(name, joinOrDash(v.Trusted), joinOrDash(v.Denied), "-", "-", "-", "-", "-")
			continue
		}
		reason := r.Reason
		if r.Phase.Running() && reply.Status != "" {
			reason = reply.Status
		}
		t.add(name, joinOrDash(v.Trusted), joinOrDash(v.Denied), r.Target, r.Phase, formatTime(r.AcceptedMS), r.Duration, reason)
	}
	return t.write(s.out)
}
