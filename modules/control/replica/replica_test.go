package replica

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"heatherway.dev/core/raft"
	"heatherway.dev/kernel/result"
)

// Guards against a group that does not gain its voters automatically, or whose members
// apply different entries.
func TestGroupsFormAndReplicate(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 4, nil)
	c.eventually("three voters in each group", func() bool { return c.hasVoters(3) })
	for i := range 20 {
		c.propose(Group(i%4), fmt.Sprint("entry ", i))
	}
	for g := range Group(4) {
		want := c.leader(g).machines[g].all()
		assert.Equal(t, len(want), 5)
		for _, n := range c.nodes {
			c.eventually("same entries", func() bool { return slices.Equal(n.machines[g].all(), want) })
		}
	}
}

// Guards against one instance staying the leader of all groups.
func TestLeadersAreBalanced(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 3, nil)
	c.eventually("three leaders", func() bool {
		return c.hasVoters(3) && c.nodes["control-1"].Leader(0).Self && c.nodes["control-2"].Leader(1).Self && c.nodes["control-3"].Leader(2).Self
	})
}

// Guards against an acknowledged entry that is lost when the leader is killed, and
// against restarted members that do not catch up, with a snapshot or without.
func TestKilledLeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 1, func(o *Options) { o.CompactEntries = 25 })
	c.eventually("three voters", func() bool { return c.hasVoters(3) })
	var want []string
	for round := range 3 {
		for i := range 10 {
			want = append(want, fmt.Sprint(round, "-", i))
			c.propose(0, want[len(want)-1])
		}
		killed := c.leader(0).options.Self
		c.kill(killed)
		c.eventually("new leader", func() bool { return c.leader(0) != nil })
		c.start(c.peer(killed))
	}
	c.propose(0, "last")
	want = append(want, "last")
	for _, n := range c.nodes {
		c.eventually("every entry once", func() bool { return slices.Equal(n.machines[0].all(), want) })
	}
}

// Guards against a member that votes with an empty disk, and against acknowledged entries
// being lost by a second disk loss right after the first one was repaired.
func TestDisksLostInSequence(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2, func(o *Options) { o.CompactEntries = 20 })
	c.eventually("three voters", func() bool { return c.hasVoters(3) })
	var want []string
	for _, member := range []raft.MemberID{"control-1", "control-2", "control-3", "control-1"} {
		for i := range 30 {
			want = append(want, fmt.Sprint(member, "-", i, "-", len(want)))
			c.propose(1, want[len(want)-1])
		}
		c.kill(member)
		assert.NilError(t, os.RemoveAll(c.path(member)))
		c.start(c.peer(member))
		c.eventually("three voters again", func() bool { return c.hasVoters(3) })
	}
	for _, n := range c.nodes {
		c.eventually("every entry once", func() bool { return slices.Equal(n.machines[1].all(), want) })
	}
}

// Guards against a follower that accepts a proposal or does not return the leader's address.
func TestFollowerNamesTheLeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 1, nil)
	c.eventually("three voters", func() bool { return c.hasVoters(3) })
	l := c.leader(0)
	for id, n := range c.nodes {
		if n == l {
			continue
		}
		c.eventually("leader known", func() bool { return n.Leader(0).ID == l.options.Self })
		_, _, err := n.Propose(t.Context(), 0, []byte("x"))
		assert.Assert(t, result.Is(err, result.NotLeader), "%s: %v", id, err)
		assert.Equal(t, result.From(err).Message, c.peer(l.options.Self).Addr)
	}
}

// Guards against a leader without a quorum that serves reads or acknowledges a write.
func TestLeaderWithoutQuorum(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 1, nil)
	c.eventually("three voters", func() bool { return c.hasVoters(3) })
	l := c.leader(0)
	_, err := l.ReadIndex(t.Context(), 0)
	assert.NilError(t, err)
	for _, p := range c.peers {
		if p.ID != l.options.Self {
			c.kill(p.ID)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, _, err = l.Propose(ctx, 0, []byte("x"))
	assert.Assert(t, result.Is(err, result.ControlUnavailable), "%v", err)
	assert.Equal(t, result.From(err).Ran, result.Unknown)
	_, err = l.ReadIndex(t.Context(), 0)
	assert.Assert(t, result.Is(err, result.ControlUnavailable), "%v", err)
	c.eventually("leader steps down", func() bool { return !l.Leader(0).Self })
}

// Guards against a shutdown after which the group has no leader for an election timeout.
func TestStopTransfersLeadership(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 1, func(o *Options) { o.KeepLeaders = true })
	c.eventually("three voters", func() bool { return c.hasVoters(3) })
	l := c.leader(0)
	term := l.Leader(0).Term
	assert.NilError(t, l.Stop(t.Context()))
	delete(c.nodes, l.options.Self)
	_ = l.server.Close()
	c.eventually("new leader", func() bool { return c.leader(0) != nil })
	assert.Equal(t, c.leader(0).Leader(0).Term, term+1, "an election took place instead of a leadership transfer")
}

// Guards against a group that stops because existing connections deliver nothing any more,
// although new connections work.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 1, nil)
	c.eventually("three voters", func() bool { return c.hasVoters(3) })
	for range 3 {
		for _, n := range c.nodes {
			n.listener.silenceConns()
		}
		start := time.Now()
		c.propose(0, start.String())
		assert.Assert(t, time.Since(start) < 5*time.Second, "%v", time.Since(start))
	}
}

// Guards against many concurrent proposals that displace the messages which would commit
// them, so that the leader loses its leadership.
func TestManyConcurrentProposals(t *testing.T) {
	c := newCluster(t, 3, 1, func(o *Options) { o.KeepLeaders = true })
	c.eventually("three voters", func() bool { return c.hasVoters(3) })
	l := c.leader(0)
	term := l.Leader(0).Term
	const proposers, each = 2 * maxQueuedInputs, 5
	errs := make(chan error, proposers)
	for range proposers {
		go func() {
			var err error
			for range each {
				_, _, e := l.Propose(t.Context(), 0, []byte("same"))
				err = errors.Join(err, e)
			}
			errs <- err
		}()
	}
	for range proposers {
		assert.NilError(t, <-errs)
	}
	assert.Equal(t, l.Leader(0).Term, term)
	assert.Equal(t, l.metrics.droppedIn.Value(), int64(0))
}
