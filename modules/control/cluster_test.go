package control

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/config"
	"heatherway.dev/core/limit"
	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/freeport"
	"heatherway.dev/kernel"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/settings"
)

// cluster consists of three control instances in this process, connected over
// loopback.
type cluster struct {
	addrs     []string
	data      []string
	stopFuncs []func()
	clients   []*peer.Client
	started   time.Time
}

func startCluster(t testing.TB) *cluster {
	t.Helper()
	c := &cluster{stopFuncs: make([]func(), 3), started: time.Now()}
	for range 3 {
		l, err := freeport.Listen()
		assert.NilError(t, err)
		c.addrs = append(c.addrs, l.Addr().String())
		assert.NilError(t, l.Close())
		c.data = append(c.data, t.TempDir())
	}
	sec, err := peer.NewSecurity(peer.TLSSettings{Off: true}, discardLogger)
	assert.NilError(t, err)
	for i := range 3 {
		c.start(t, i)
		c.clients = append(c.clients, sec.NewClient(c.addrs[i]))
	}
	t.Cleanup(func() {
		for i := range 3 {
			c.clients[i].Close()
			c.stop(i)
		}
	})
	return c
}

func (c *cluster) start(t testing.TB, i int) {
	t.Helper()
	var members strings.Builder
	for j, a := range c.addrs {
		fmt.Fprintf(&members, "c%d: %q, ", j, a)
	}
	text := fmt.Sprintf(`
instance: {id: c%d, zone: z%d, region: r, data: %q}
log: {level: error}
tls: {off: true}
roles:
- control:
    listen: %s
    record_groups: 2
    members: {%s}
    bootstrap: {defaults: {queue.limit: "9"}}
`, i, i, c.data[i], c.addrs[i], members.String())
	doc, err := settings.Parse("test.yaml", []byte(text))
	assert.NilError(t, err)
	k, err := kernel.New(doc)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	c.stopFuncs[i] = func() {
		cancel()
		assert.NilError(t, <-done)
	}
}

func (c *cluster) stop(i int) {
	if c.stopFuncs[i] != nil {
		c.stopFuncs[i]()
		c.stopFuncs[i] = nil
	}
}

// callUntilSuccess repeats a call until it succeeds.
func callUntilSuccess[R any](t testing.TB, c *peer.Client, method string, args any) R {
	t.Helper()
	var r R
	var err error
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r = *new(R)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		err = c.Call(ctx, "Control."+method, args, &r)
		cancel()
		if err == nil {
			return r
		}
	}
	assert.NilError(t, err)
	return r
}

// Guards against instances that give different answers, commands that only one
// instance accepts, members known to one instance only, and state that is lost
// with an instance or in a restart.
func TestThreeInstances(t *testing.T) {
	c := startCluster(t)
	entry := wire.WatchArgs{Instance: "e1", Role: "entry", Zone: "z0", Fresh: true}
	waitFor(t, func() bool {
		return callUntilSuccess[wire.WatchReply](t, c.clients[2], "Watch", entry).Revision > 0
	})
	callUntilSuccess[wire.AnnounceReply](t, c.clients[0], "Announce", wire.AnnounceArgs{Upstream: newUpstream("a1", "z0"), Seq: 1})
	waitFor(t, func() bool {
		return len(callUntilSuccess[wire.WatchReply](t, c.clients[1], "Watch", entry).Upstreams) == 1
	})
	waitFor(t, func() bool {
		var st wire.StatusReply
		assert.NilError(t, c.clients[2].Call(t.Context(), "Admin.Status", wire.StatusArgs{}, &st))
		return len(st.Members) == 3 && st.Members[0].Error == "" && len(st.Members[0].Groups) == 3 &&
			!slices.ContainsFunc(st.Members[0].Groups, func(g wire.GroupStatus) bool { return g.Voters < 3 }) &&
			len(st.Processes) == 2 && st.Processes[0].Instance == "a1" && len(st.Upstreams) == 1
	})
	winner := map[string]wire.ID{}
	for i := range 8 {
		key := fmt.Sprint("key-", i)
		for j := range 3 {
			a := wire.StartArgs{Key: key, Attempt: wire.NewID(), IssuedMS: nowMS(), BodyHash: "h", Agent: "a1", Incarnation: 1}
			r := callUntilSuccess[wire.StartReply](t, c.clients[(i+j)%3], "Start", a)
			assert.Equal(t, r.Granted, j == 0)
			winner[key] = r.Record.Attempt
		}
	}
	c.checkLimitLeases(t)
	c.stop(0)
	for key, attempt := range winner {
		for _, i := range []int{1, 2} {
			r := callUntilSuccess[wire.LookupReply](t, c.clients[i], "Lookup", wire.LookupArgs{Key: key})
			assert.Equal(t, r.Record.Attempt, attempt)
		}
	}
	c.stop(1)
	waitFor(t, func() bool {
		_, err := callControl[wire.WatchReply](t, c.clients[2], "Watch", wire.WatchArgs{Instance: "e1", Role: "entry"})
		return result.Is(err, result.ControlUnavailable)
	})
	c.start(t, 0)
	c.start(t, 1)
	for key, attempt := range winner {
		r := callUntilSuccess[wire.LookupReply](t, c.clients[0], "Lookup", wire.LookupArgs{Key: key})
		assert.Equal(t, r.Record.Attempt, attempt)
	}
}

// checkLimitLeases guards against entries that are each granted a whole rate
// limit because they ask different instances: all requests for an organisation
// are answered by one owner.
func (c *cluster) checkLimitLeases(t *testing.T) {
	t.Helper()
	doc := callUntilSuccess[wire.WatchReply](t, c.clients[0], "Watch", wire.WatchArgs{Instance: "e1", Role: "entry", Fresh: true})
	edit := config.Edit{Kind: config.SetDefault, Name: "organisation.requests", Value: "10"}
	b, err := json.Marshal(config.Change{ChangeID: "limit", BaseRevision: doc.Revision, Author: "a", Reason: "r", Edits: []config.Edit{edit}})
	assert.NilError(t, err)
	var changed wire.ChangeReply
	assert.NilError(t, c.clients[1].Call(t.Context(), "Admin.Change", wire.ChangeArgs{Change: b}, &changed))
	assert.Assert(t, changed.Accepted)
	for i := range 3 {
		waitFor(t, func() bool {
			w := callUntilSuccess[wire.WatchReply](t, c.clients[i], "Watch", wire.WatchArgs{Instance: "e1", Role: "entry", Fresh: true})
			return w.Revision >= changed.Revision
		})
	}
	granted := 0.0
	for n := range uint64(30) {
		i := int(n) % 3
		request := limit.LeaseRequest{
			Organisation: "o", Entry: fmt.Sprint("e", i), Number: n + 1,
			Demand: limit.Amount{Requests: 100}, Want: limit.Amount{Requests: 40}, Need: limit.Amount{Requests: 1},
		}
		granted += callUntilSuccess[limit.Grant](t, c.clients[i], "Lease", request).Amount.Requests
	}
	bound := 10 * time.Since(c.started).Seconds() // a bucket accrues from the start of its owner
	t.Logf("granted %.1f of at most %.1f requests", granted, bound)
	assert.Assert(t, granted > 0 && granted <= bound)
}
