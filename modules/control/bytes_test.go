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

// countingConn counts the bytes that a connection carries in both directions.
type countingConn struct {
	net.Conn
	bytes atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// measureCall returns the bytes of a call on a connection that has carried the
// same call before, so that gob's type descriptions are not counted.
func measureCall[R any](t *testing.T, c *Control, method string, args any, prepare ...func()) int64 {
	t.Helper()
	clientEnd, serverEnd := net.Pipe()
	srv := rpc.NewServer()
	for name, recv := range c.services(nil, "") {
		assert.NilError(t, srv.RegisterName(name, recv))
	}
	go srv.ServeConn(serverEnd)
	conn := &countingConn{Conn: clientEnd}
	client := rpc.NewClient(conn)
	defer func() { assert.NilError(t, client.Close()) }()
	for range 2 {
		for _, p := range prepare {
			p()
		}
		before := conn.bytes.Load()
		var r R
		assert.NilError(t, client.Call(method, args, &r))
		if n := conn.bytes.Load() - before; before > 0 {
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

// checkSize checks a measured size against its bound. Each bound is the size
// given in docs/notes/membership.md plus a tenth, since the traffic budget of
// 3 KB/s per node is calculated from these sizes.
func checkSize(t *testing.T, what string, n, bound int64) {
	t.Helper()
	t.Logf("%s: %d bytes", what, n)
	assert.Assert(t, n > 0 && n <= bound, "%s: %d bytes exceed %d", what, n, bound)
}

func agentWatch() wire.WatchArgs {
	return wire.WatchArgs{Instance: "agent-z03-0417", Role: "agent", Zone: "south-1c", Revision: 1 << 40, Suspects: 123456, WaitMS: 1}
}

// Guards against membership messages that exceed the traffic budget of a node.
func TestMembershipMessageSizes(t *testing.T) {
	c := newRunningControl(t)
	for i := range 32 {
		u := typicalUpstream()
		u.ID = fmt.Sprintf("agent-z03-1%03d", i)
		c.announce(t, u, 0)
	}
	waitFor(t, func() bool { return len(c.membership.view().Index.Members()) == 32 })
	list, err := query(t.Context(), c.membership, func(ch chan<- digestEntries) memberEvent { return digestQuery{0, ch} })
	assert.NilError(t, err)
	digest := member.Digest{From: "control-1", Heard: list.entries}
	checkSize(t, "Merge of a digest with 32 entries", measureCall[member.DigestReply](t, c, "Members.Merge", digest), 576)
	watch := agentWatch()
	checkSize(t, "Watch without changes", measureCall[wire.WatchReply](t, c, "Control.Watch", watch), 122)
	watch.Role, watch.Deltas = "entry", true
	checkSize(t, "Watch with 32 upstreams", measureCall[wire.WatchReply](t, c, "Control.Watch", watch), 4650)

	before := c.membership.view().Index.Subset(watch.Instance, watch.Zone)
	watch.Members = member.Version(before)
	changed := before[7]
	changed.State = wire.UpstreamLeaving
	c.announce(t, changed, 1)
	waitFor(t, func() bool { return c.membership.view().Index.Members()[7].State == wire.UpstreamLeaving })
	n := measureCall[wire.WatchReply](t, c, "Control.Watch", watch, func() { c.sentSubsets.swap(watch.Instance, member.NewSentSubset(before)) })
	checkSize(t, "Watch with 1 of 32 upstreams changed", n, 297)
	announce := wire.AnnounceArgs{Upstream: typicalUpstream(), Seq: 40000, Revision: 123456}
	checkSize(t, "Announce", measureCall[wire.AnnounceReply](t, c, "Control.Announce", announce), 218)
}

// Guards against configuration deltas that exceed the traffic budget of a node
// at 2,300 changes a day.
func TestConfigurationDeltaSize(t *testing.T) {
	c := newRunningControl(t)
	watch := agentWatch()
	watch.Revision, watch.Deltas = c.fillConfiguration(t), true
	t.Logf("document with 18,000 organisations: %d bytes", len(c.fleet.view().JSON))
	checkSize(t, "Watch with one changed default", measureCall[wire.WatchReply](t, c, "Control.Watch", watch), 237)
}

// fillConfiguration stores 18,000 organisations and one more change, and
// returns the revision before that change.
func (c *Control) fillConfiguration(t *testing.T) (before uint64) {
	t.Helper()
	for i := range 36 {
		change := config.Change{ChangeID: fmt.Sprint(i), BaseRevision: c.fleet.view().Doc.Revision}
		for j := range 500 {
			name := fmt.Sprintf("organisation-%05d", i*500+j)
			org := &config.Organisation{KeyHashes: []string{config.KeyHash(name)}}
			change.Edits = append(change.Edits, config.Edit{Kind: config.PutOrganisation, Name: name, Organisation: org})
		}
		assert.Equal(t, c.applyChange(t, change).Outcome, config.Accepted)
	}
	before = c.fleet.view().Doc.Revision
	edit := config.Edit{Kind: config.SetDefault, Name: "queue.limit", Value: "9"}
	c.applyChange(t, config.Change{ChangeID: "last", BaseRevision: before, Edits: []config.Edit{edit}})
	return before
}
