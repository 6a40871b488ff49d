package main

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/rollout"
	"heatherway.dev/heatherway/modules/registry"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// standinRegistry answers as a control instance that holds one roll-out.
type standinRegistry struct {
	book  *rollout.Book
	index uint64
}

// Rollout answers a call of an operator.
func (s *standinRegistry) Rollout(args *registry.RolloutArgs, reply *registry.RolloutReply) error {
	s.index++
	if args.Service == "gone" {
		return peer.EncodeError(result.New(result.ControlUnavailable, "no majority"))
	}
	var c rollout.Command
	last := s.book.View().Services[args.Service].Rollout
	switch {
	case args.Revert && last != nil:
		c.Move = &rollout.Move{Service: args.Service, ID: last.ID, From: last.Phase, To: rollout.Reverted, Reason: "reverted by an operator"}
	case !args.Read:
		c.Start = &rollout.Start{Order: args.Order, Present: []string{"v1"}}
	}
	b, err := c.Encode()
	if err != nil {
		return err
	}
	if reply.Outcome, err = s.book.Apply(s.index, b); err != nil {
		return err
	}
	if args.Service == "" {
		reply.Services = s.book.View().Services
	}
	reply.Rollout, reply.Status = s.book.View().Services[args.Service].Rollout, "3 of 50 permits used or held"
	return nil
}

func startRegistry(t *testing.T) string {
	t.Helper()
	security, err := peer.NewSecurity(peer.TLSSettings{Off: true}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	s := &standinRegistry{book: rollout.NewBook()}
	mux := http.NewServeMux()
	mux.Handle(peer.RPCPath, &peer.Handler{Security: security, Services: func(peer.Roles) map[string]any { return map[string]any{registry.ServiceName: s} }})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, BaseContext: func(net.Listener) context.Context { return t.Context() }}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// Guards against orders that don't reach a control instance, refusals that look like success, and a reason that
// operators are not told.
func TestRolloutCommands(t *testing.T) {
	control := startRegistry(t)
	for _, step := range []struct {
		status int
		args   string
		output string
	}{
		{exitOK, "start desk v2 30s", "running"},
		{exitOK, "start desk v2 30s", "3 of 50 permits"},
		{exitConflict, "start desk v3 30s", ""},
		{exitUsage, "start desk v3 0s", ""},
		{exitUsage, "start desk v3 soon", ""},
		{exitUsage, "start desk v3", ""},
		{exitOK, "status desk", "v2"},
		{exitOK, "list", "desk"},
		{exitOK, "revert desk", "reverted by an operator"},
		{exitOK, "status desk", "reverted"},
		{exitFailed, "status gone", ""},
	} {
		var out bytes.Buffer
		words := strings.Fields(step.args)
		args := append([]string{"rollout", words[0], "--tls-off", "--control", "127.0.0.1:1," + control}, words[1:]...)
		assert.Equal(t, runCommand(t, &out, args...), step.status, "%s: %s", step.args, out.String())
		assert.Assert(t, strings.Contains(out.String(), step.output), "%s: %s", step.args, out.String())
	}
}
