package replica

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/raft"
	"heatherway.dev/heatherway/internal/freeport"
	"heatherway.dev/kernel/peer"
)

// newDiscoveredCluster starts instances that know only the first three addresses.
func newDiscoveredCluster(t *testing.T, size, losses int) *cluster {
	return newDiscoveredClusterWith(t, size, Discovery{MinVoters: 2*losses + 1})
}

func newDiscoveredClusterWith(t *testing.T, size int, d Discovery) *cluster {
	c := &cluster{t: t, folder: t.TempDir(), groups: 1, nodes: map[raft.MemberID]*instance{}}
	host := loopbackHost()
	for range size {
		c.addAddress(host)
	}
	var seeds []string
	for _, p := range c.peers[:min(3, size)] {
		seeds = append(seeds, p.Addr)
	}
	bootstrap := true
	c.adjust = func(o *Options) {
		o.Peers, o.KeepLeaders, o.Tick = nil, true, 20*time.Millisecond
		own := d
		own.Seeds, own.Bootstrap = seeds, bootstrap
		o.Discovery = &own
	}
	for _, p := range c.peers {
		c.start(p)
	}
	bootstrap = false // instances that start later must not bootstrap a group
	t.Cleanup(func() {
		for id := range c.nodes {
			c.kill(id)
		}
	})
	return c
}

func (c *cluster) addAddress(host string) Peer {
	l, err := freeport.ListenOn(host)
	assert.NilError(c.t, err)
	p := Peer{ID: raft.MemberID(l.Addr().String()), Addr: l.Addr().String()}
	assert.NilError(c.t, l.Close())
	c.peers = append(c.peers, p)
	return p
}

// Guards against instances that are not seeds and never become voters, and against
// proposals that are accepted with fewer voters than the tolerated losses require.
func TestInstancesFindEachOther(t *testing.T) {
	t.Parallel()
	c := newDiscoveredCluster(t, 5, 2)
	c.propose(0, "first")
	assert.Assert(t, c.hasVoters(5), "accepted with %d voters", len(c.leader(0).Status().Groups[0].Membership.Voters()))
	for _, n := range c.nodes {
		c.eventually("the entry everywhere", func() bool { return slices.Equal(n.machines[0].all(), []string{"first"}) })
	}
}

// Guards against a group that a seed bootstraps again after it has lost its disk.
func TestFirstMemberLosesDisk(t *testing.T) {
	t.Parallel()
	c := newDiscoveredCluster(t, 4, 1)
	c.propose(0, "kept")
	c.eventually("four voters", func() bool { return c.hasVoters(4) })
	first := slices.MinFunc(c.peers[:3], func(a, b Peer) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	c.kill(first.ID)
	assert.NilError(t, os.RemoveAll(c.path(first.ID)))
	c.start(first)
	c.eventually("four voters again", func() bool { return c.hasVoters(4) })
	assert.DeepEqual(t, c.nodes[first.ID].machines[0].all(), []string{"kept"})
}

// Guards against replaced instances that stay members until the group has no majority.
// In each round one instance is lost for good and an empty one starts at another address.
func TestInstancesReplacedInSequence(t *testing.T) {
	t.Parallel()
	c := newDiscoveredCluster(t, 4, 1)
	var want []string
	for round := range 4 {
		want = append(want, fmt.Sprint("round ", round))
		c.propose(0, want[round])
		replaced := c.peers[round]
		c.kill(replaced.ID)
		host, _, err := net.SplitHostPort(replaced.Addr)
		assert.NilError(t, err)
		p := c.addAddress(host)
		// The seeds of the new instance are out of date: only one of them is running.
		old := c.adjust
		known := c.peers[round+1].Addr
		c.adjust = func(o *Options) {
			old(o)
			o.Discovery = &Discovery{Seeds: []string{replaced.Addr, known}, MinVoters: o.Discovery.MinVoters}
		}
		c.start(p)
		c.adjust = old
		c.eventually("four voters that run", func() bool {
			l := c.leader(0)
			return c.hasVoters(4) && len(l.Status().Groups[0].Membership.Members) == 4
		})
	}
	for _, n := range c.nodes {
		c.eventually("every entry", func() bool { return slices.Equal(n.machines[0].all(), want) })
	}
}

// Guards against a voter that is removed after a short absence, or that is not added
// again after it was removed.
func TestRemovedVoterReturns(t *testing.T) {
	t.Parallel()
	c := newDiscoveredCluster(t, 4, 1)
	c.propose(0, "one")
	c.eventually("four voters", func() bool { return c.hasVoters(4) })
	absent := c.peers[3]
	c.kill(absent.ID)
	c.propose(0, "two")
	c.start(absent)
	c.eventually("four voters again", func() bool { return c.hasVoters(4) })
	c.kill(absent.ID)
	c.eventually("removed after a long silence", func() bool {
		l := c.leader(0)
		return l != nil && len(l.Status().Groups[0].Membership.Members) == 3
	})
	c.start(absent)
	c.eventually("added again", func() bool { return c.hasVoters(4) })
}

// Guards against an instance that stops and keeps a vote until it has been silent for some time, while
// the other voters are enough, and against one that gives up its vote where they are not.
func TestStoppingInstanceGivesUpSpareVote(t *testing.T) {
	t.Parallel()
	for _, size := range []int{4, 3} {
		// With an hour no voter is removed for its silence.
		c := newDiscoveredClusterWith(t, size, Discovery{MinVoters: 3, Catchup: time.Hour})
		c.propose(0, "kept")
		c.eventually("all are voters", func() bool { return c.hasVoters(size) })
		leader := c.leader(0)
		stopped := leader.options.Self
		assert.NilError(t, leader.Stop(t.Context()))
		c.kill(stopped)
		c.eventually("three voters", func() bool {
			l := c.leader(0)
			return l != nil && len(l.Status().Groups[0].Membership.Members) == 3
		})
		c.propose(0, "later")
		if size == 4 {
			c.start(c.peer(stopped))
			c.eventually("a voter again after its restart", func() bool { return c.hasVoters(4) })
		}
	}
}

// Guards against a group that does not recover after all instances were killed at once.
func TestAllKilledAtOnce(t *testing.T) {
	t.Parallel()
	c := newDiscoveredCluster(t, 4, 1)
	c.propose(0, "kept")
	c.eventually("four voters", func() bool { return c.hasVoters(4) })
	for _, p := range c.peers {
		c.kill(p.ID)
	}
	for _, p := range c.peers {
		c.start(p)
	}
	c.propose(0, "later")
	for _, n := range c.nodes {
		c.eventually("both entries", func() bool { return slices.Equal(n.machines[0].all(), []string{"kept", "later"}) })
	}
}

// Guards against a group that is never bootstrapped because no seed has a disk, and
// against instances without a disk becoming members.
func TestSeedsWithoutDisk(t *testing.T) {
	t.Parallel()
	c := &cluster{t: t, folder: t.TempDir(), groups: 1, nodes: map[raft.MemberID]*instance{}}
	host := loopbackHost()
	var seeds []string
	for i := range 6 {
		if p := c.addAddress(host); i < 3 {
			seeds = append(seeds, p.Addr)
		}
	}
	d := Discovery{Seeds: seeds, Bootstrap: true, MinVoters: 3}
	c.adjust = func(o *Options) {
		o.Peers, o.KeepLeaders, o.Tick, o.Discovery = nil, true, 20*time.Millisecond, &d
	}
	o := c.options(c.peers[0])
	var introducers []*Introducer
	for _, s := range seeds {
		m := NewIntroducer(s, []Group{0}, d, o.Security.NewClients())
		l, err := net.Listen("tcp", s)
		assert.NilError(t, err)
		services := func(peer.Roles) map[string]any { return map[string]any{ServiceName: m} }
		server := &http.Server{Handler: &peer.Handler{Security: o.Security, Services: services}}
		go func() { _ = server.Serve(l) }()
		go m.Run(t.Context())
		t.Cleanup(func() { _ = server.Close() })
		introducers = append(introducers, m)
	}
	for _, p := range c.peers[3:] {
		c.start(p)
	}
	t.Cleanup(func() {
		for id := range c.nodes {
			c.kill(id)
		}
	})
	c.propose(0, "first")
	for _, n := range c.nodes {
		c.eventually("the entry everywhere", func() bool { return slices.Equal(n.machines[0].all(), []string{"first"}) })
	}
	assert.Equal(t, len(c.leader(0).Status().Groups[0].Membership.Members), 3)
	for _, m := range introducers {
		c.eventually("the members are known", func() bool { return len(m.Members()) == 3 })
	}
	m := introducers[0]
	m.mu.Lock()
	for id := range m.heardAt {
		m.heardAt[id] = m.heardAt[id].Add(-2 * identityTTL) // as if the process had been paused
	}
	m.mu.Unlock()
	assert.Equal(t, len(m.Members()), 3)
}

// Guards against a group that an upgrade adds and that is never started, or is started twice, when
// the instances are upgraded one after another.
func TestGroupAddedByAnUpgrade(t *testing.T) {
	t.Parallel()
	c := newDiscoveredCluster(t, 4, 1)
	c.propose(0, "kept")
	c.eventually("four voters", func() bool { return c.hasVoters(4) })
	for _, p := range c.peers {
		c.kill(p.ID)
		c.groups = 2
		c.start(p)
		c.groups = 1
		c.eventually("four voters of the first group again", func() bool { return c.hasVoters(4) })
	}
	c.groups = 2
	c.propose(1, "added")
	for _, n := range c.nodes {
		c.eventually("entries of both groups everywhere", func() bool {
			return slices.Equal(n.machines[0].all(), []string{"kept"}) && slices.Equal(n.machines[1].all(), []string{"added"})
		})
	}
}
