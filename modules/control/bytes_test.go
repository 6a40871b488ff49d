package control

import (
	"fmt"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/config"
	"heatherway.dev/core/member"
	"heatherway.dev/core/wire"
)

// counted counts the bytes that a connection carries both ways.
type counted struct {
	net.Conn
	n atomic.Int64
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// measure returns the bytes of one more call on a connection that has carried
// the same call before, so that gob's type descriptions are not counted.
func measure[R any](t *testing.T, c *Control, method string, args any, prepare ...func()) int64 {
	t.Helper()
	near, far := net.Pipe()
	srv := rpc.NewServer()
	for name, recv := range c.services("") {
		assert.NilError(t, srv.RegisterName(name, recv))
	}
	go srv.ServeConn(far)
	conn := &counted{Conn: near}
	client := rpc.NewClient(conn)
	defer func() { assert.NilError(t, client.Close()) }()
	for range 2 {
		for _, p := range prepare {
			p()
		}
		before := conn.n.Load()
		var r R
		assert.NilError(t, client.Call(method, args, &r))
		if n := conn.n.Load() - before; before > 0 {
			return n
		}
	}
	return 0
}

func typicalUpstream() wire.Upstream {
	return wire.Upstream{
		ID: "agent-z03-0417", Incarnation: wire.Incarnation(1796355000000 << 16), Zone: "south-1c", Region: "south-1",
		Addr: "10.113.204.17:7400", Models: []string{"letters-70b"}, Adapters: []string{"tender", "wedding"}, Slots: 64,
		EventsURL: "http://127.0.0.1:8001/events",
	}
}

// Guards against messages that no longer fit the 3 KB/s a node of
// docs/notes/membership.md. The bounds are the measured sizes and a tenth.
func TestMessageBytes(t *testing.T) {
	c := running(t)
	announce := wire.AnnounceArgs{Upstream: typicalUpstream(), Seq: 40000, Revision: 123456}
	watch := wire.WatchArgs{Instance: "agent-z03-0417", Role: "agent", Zone: "south-1c", Revision: 123456, Suspects: 123456, WaitMS: 1}
	subset := watch
	subset.Role = "entry"
	for i := range 32 {
		u := typicalUpstream()
		u.ID = u.ID[:11] + string(rune('a'+i%26)) + string(rune('a'+i/26))
		_, err := ask(t.Context(), c.members, func(ch chan<- bool) memberEvent {
			return announced{wire.AnnounceArgs{Upstream: u}, ch}
		})
		assert.NilError(t, err)
	}
	waitFor(t, func() bool { return len(c.members.view().Index.Members()) == 32 })
	list, err := ask(t.Context(), c.members, func(ch chan<- heardList) memberEvent { return heardAfter{0, ch} })
	assert.NilError(t, err)
	heard := member.Digest{From: "control-1", Heard: list.heard}
	before := c.members.view().Index.Subset("agent-z03-0417", "south-1c")
	subset.Revision = 1 << 40
	delta := subset
	delta.Members, delta.Deltas = member.Version(before), true
	c.issued.add(delta.Members)
	changed := before[7]
	changed.State = wire.UpstreamLeaving
	c.announceNow(t, changed, 1)
	waitFor(t, func() bool { return c.members.view().Index.Members()[7].State == wire.UpstreamLeaving })
	step := watch
	step.Deltas, step.Revision = true, c.fillTarget(t)
	sizes := c.fleet.view()
	t.Logf("document with 18,000 organisations: %d bytes", len(sizes.JSON))
	watch.Revision = 1 << 40
	for _, m := range []struct {
		what  string
		n     int64
		bound int64
	}{
		{"Announce", measure[wire.AnnounceReply](t, c, "Control.Announce", announce), 215},
		{"Watch without news", measure[wire.WatchReply](t, c, "Control.Watch", watch), 115},
		{"Watch with 32 upstreams", measure[wire.WatchReply](t, c, "Control.Watch", subset), 4640},
		{"Watch with 1 of 32 upstreams changed", measure[wire.WatchReply](t, c, "Control.Watch", delta, func() {
			c.sent.swap(delta.Instance, member.NewSent(before))
		}), 320},
		{"Watch with one changed default", measure[wire.WatchReply](t, c, "Control.Watch", step), 300},
		{"Merge of 32 heard", measure[member.DigestReply](t, c, "Members.Merge", heard), 800},
	} {
		t.Logf("%s: %d bytes", m.what, m.n)
		assert.Assert(t, m.n > 0 && m.n <= m.bound, "%s: %d bytes exceed %d", m.what, m.n, m.bound)
	}
}

// fillTarget writes 18,000 organisations and one more change, and returns the
// revision before that.
func (c *Control) fillTarget(t *testing.T) (before uint64) {
	t.Helper()
	for i := range 36 {
		change := config.Change{ChangeID: fmt.Sprint(i), BaseRevision: c.fleet.view().Doc.Revision}
		for j := range 500 {
			name := fmt.Sprintf("organisation-%05d", i*500+j)
			org := &config.Organisation{KeyHashes: []string{config.KeyHash(name)}}
			change.Edits = append(change.Edits, config.Edit{Kind: config.PutOrganisation, Name: name, Organisation: org})
		}
		assert.Equal(t, c.changeNow(t, change).Verdict, config.Accepted)
	}
	before = c.fleet.view().Doc.Revision
	edit := config.Edit{Kind: config.SetDefault, Name: "queue.limit", Value: "9"}
	c.changeNow(t, config.Change{ChangeID: "last", BaseRevision: before, Edits: []config.Edit{edit}})
	return before
}
