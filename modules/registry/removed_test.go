package registry

import (
	"slices"
	"testing"
	"time"

	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/modules/control/replica"
)

// restart starts all instances again with another announcement interval.
func (f *fleet) restart(announceInterval time.Duration) {
	f.announceInterval = announceInterval
	for _, n := range f.nodes {
		f.kill(n)
	}
	for _, n := range f.nodes {
		f.start(n)
	}
}

// hasVoters reports whether every group has the given number of voters, as this instance knows them.
func (n *node) hasVoters(count int) bool {
	r := n.currentReplica()
	if r == nil {
		return false
	}
	groups := r.Status().Groups
	return len(groups) > 0 && !slices.ContainsFunc(groups, func(g replica.GroupStatus) bool {
		return len(g.Membership.Voters()) != count
	})
}

// follower returns an instance other than the first that leads no group.
func (f *fleet) follower() *node {
	for _, n := range f.nodes[1:] {
		if r := n.currentReplica(); !r.Leader(group).Self && !r.Leader(originGroup).Self {
			return n
		}
	}
	f.t.Fatal("every instance but the first leads a group")
	return nil
}

// Guards against an instance that was removed from the control group while its disk did not answer, is added
// again without a restart, and never learns of the departures that the others have recorded meanwhile.
func TestRemovedInstanceLearnsOfDeparture(t *testing.T) {
	f := newFleet(t, 4)
	f.replace(f.nodes[0], 1, "one")
	allVoters := func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *node) bool { return !n.hasVoters(4) })
	}
	f.eventually("four voters", allVoters)
	// With the short interval of other tests the upstream is lost, and sent again for that reason.
	f.restart(1200 * time.Millisecond)
	f.eventually("four voters that know a leader", func() bool {
		return allVoters() && !slices.ContainsFunc(f.nodes, func(n *node) bool { return !n.knowsLeader() })
	})
	seq := 0
	announce := func(state string) {
		seq++
		f.nodes[0].call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat(state, seq))
	}
	removed := f.follower()
	f.eventually("the upstream is known", func() bool {
		announce("ready")
		return removed.state("i-1") == registration.Ready
	})
	removed.disk.SetStalled(true)
	f.replace(f.nodes[0], 2, "makes it write")
	f.eventually("the stalled instance is removed", func() bool {
		announce("ready")
		return f.nodes[0].hasVoters(3)
	})
	announce("draining")
	removed.disk.SetStalled(false)
	f.eventually("a voter again", allVoters)
	f.eventually("it knows of the departure", func() bool { return removed.state("i-1") == registration.Draining })
}
