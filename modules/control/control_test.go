package control

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/settings"
)

// startControl runs one control instance on loopback and returns a client for
// it.
func startControl(t *testing.T, roleSettings string) *peer.Client {
	t.Helper()
	text := "instance: {id: c1, zone: z1, region: r}\nlog: {level: error}\ntls: {off: true}\nroles:\n- control:\n" + roleSettings
	doc, err := settings.Parse("test.yaml", []byte(text))
	assert.NilError(t, err)
	k, err := kernel.New(doc)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	sec, err := peer.NewSecurity(peer.TLSSettings{Off: true}, discardLogger)
	assert.NilError(t, err)
	client := sec.NewClient(listenAddr)
	t.Cleanup(client.Close)
	return client
}

func callControl[R any](t testing.TB, c *peer.Client, method string, args any) (R, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var r R
	err := c.Call(ctx, "Control."+method, args, &r)
	return r, err
}

func newUpstream(id, zone string) wire.Upstream {
	return wire.Upstream{ID: id, Incarnation: 1, Zone: zone, Addr: "127.0.0.1:1", Models: []string{"letters"}}
}

const localRoleSettings = `    listen: 127.0.0.1:17311
    bootstrap:
      defaults: {queue.limit: "9"}
      organisations:
        demo: {keys: [demo]}
`

// Guards against a waiting watch that does not return at once when the
// configuration or the members change, and against bootstrap settings that have
// no effect.
func TestWatchReportsBootstrapAndMembers(t *testing.T) {
	c := startControl(t, localRoleSettings)
	args := wire.WatchArgs{Instance: "e1", Role: "entry", Zone: "z1", Fresh: true}
	var doc config.Document
	for doc.Revision == 0 {
		w, err := callControl[wire.WatchReply](t, c, "Watch", args)
		assert.NilError(t, err)
		if w.Config != nil {
			assert.NilError(t, json.Unmarshal(w.Config, &doc))
		}
	}
	org, ok := doc.OrganisationOf(config.KeyHash("demo"))
	assert.Assert(t, ok && org == "demo")
	assert.Equal(t, doc.Int("queue.limit", config.Scope{}, time.Now()), int64(9))

	args.Fresh, args.Revision = false, doc.Revision
	go func() {
		time.Sleep(20 * time.Millisecond)
		_, _ = callControl[wire.AnnounceReply](t, c, "Announce", wire.AnnounceArgs{Upstream: newUpstream("a1", "z1")})
	}()
	begin := time.Now()
	w, err := callControl[wire.WatchReply](t, c, "Watch", args)
	assert.NilError(t, err)
	assert.Assert(t, w.MembersChanged && len(w.Upstreams) == 1 && w.Config == nil)
	assert.Assert(t, time.Since(begin) < maxWatchWait/2)
}

// Guards against a claim that is granted to two attempts, and an abort that is
// confirmed for an attempt that has started.
func TestClaimOverRPC(t *testing.T) {
	c := startControl(t, localRoleSettings)
	args := wire.StartArgs{Key: "k", Attempt: wire.NewID(), IssuedMS: nowMS(), BodyHash: "h", Agent: "a1", Incarnation: 1}
	s, err := callControl[wire.StartReply](t, c, "Start", args)
	assert.NilError(t, err)
	assert.Assert(t, s.Granted)
	other := args
	other.Attempt = wire.NewID()
	s, err = callControl[wire.StartReply](t, c, "Start", other)
	assert.NilError(t, err)
	assert.Assert(t, !s.Granted && s.Record.Attempt == args.Attempt)
	a, err := callControl[wire.AbortReply](t, c, "Abort", wire.AbortArgs{Key: "k", Attempt: args.Attempt, IssuedMS: args.IssuedMS})
	assert.NilError(t, err)
	assert.Assert(t, !a.Aborted)
	_, err = callControl[wire.FinishReply](t, c, "Finish", wire.FinishArgs{Key: "k", Attempt: args.Attempt, Status: 200, Body: []byte("ok")})
	assert.NilError(t, err)
	l, err := callControl[wire.LookupReply](t, c, "Lookup", wire.LookupArgs{Key: "k"})
	assert.NilError(t, err)
	assert.Equal(t, l.Record.Status, 200)
	other.BodyHash = "different"
	_, err = callControl[wire.StartReply](t, c, "Start", other)
	assert.Assert(t, result.Is(err, result.KeyReused))
}
