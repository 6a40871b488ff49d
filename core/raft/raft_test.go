package raft

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a violation of election safety, log matching, leader
// completeness, state machine safety or linearizable reads under lost,
// repeated and reordered messages, partitions, crashes, lost disks and skewed
// clocks, and against a group that does not recover when they end.
func TestPropertiesHoldUnderFaults(t *testing.T) {
	var losses, commits, reads, terms, installs int
	rapid.Check(t, func(t *rapid.T) {
		o := faultyOptions()
		o.voters = rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "voters")
		o.learners = rapid.IntRange(0, 2).Draw(t, "learners")
		o.dropPercent = rapid.IntRange(0, 30).Draw(t, "drop")
		o.duplicatePercent = rapid.IntRange(0, 20).Draw(t, "repeat")
		o.crashPermille = rapid.IntRange(0, 20).Draw(t, "crash10")
		o.partitionPermille = rapid.IntRange(0, 20).Draw(t, "cut10")
		o.diskLossPermille = rapid.SampledFrom([]int{0, 10, 100}).Draw(t, "loss10")
		if o.voters+o.learners < 3 {
			o.diskLossPermille = 0 // the only voter's disk is the only copy
		}
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), o)
		assert.Equal(t, sim.run(4000), "")
		assert.Assert(t, sim.recovers(), "no recovery: %s", sim.violation)
		losses += sim.diskLosses
		commits += int(sim.lastCommitted)
		reads += sim.answered
		terms += len(sim.leaderDisks)
		installs += sim.installs
	})
	t.Logf("%d lost disks, %d commits, %d reads, %d leaders, %d snapshots", losses, commits, reads, terms, installs)
}

// broken runs a variant without one guard until it violates a property.
func expectViolation(t *testing.T, o simulationOptions, want ...string) {
	t.Helper()
	const seeds = 2000
	for seed := range uint64(seeds) {
		v := newSimulation(seed, o).run(4000)
		if v == "" {
			continue
		}
		t.Logf("seed %d: %s", seed, v)
		for _, text := range want {
			if strings.Contains(v, text) {
				return
			}
		}
	}
	t.Fatalf("no violation of %q in %d seeds, so the checks prove nothing", want, seeds)
}

// Guards against checks that cannot see a vote or acknowledgement which left
// before the sync.
func TestSimulationDetectsMissingSync(t *testing.T) {
	o := faultyOptions()
	o.diskLossPermille, o.skipSync = 0, true
	expectViolation(t, o, "election safety", "leader completeness", "state machine safety", "committed entry")
}

// Guards against checks that cannot see a member which votes with an empty
// disk.
func TestSimulationDetectsMissingDiskIdentity(t *testing.T) {
	o := faultyOptions()
	o.diskLossPermille, o.repairPermille, o.faults.ignoreDisk = 100, 5, true
	expectViolation(t, o, "election safety", "leader completeness", "state machine safety", "committed entry")
}

// Guards against checks that cannot see two majorities without a common
// member.
func TestSimulationDetectsEarlyChanges(t *testing.T) {
	o := faultyOptions()
	o.learners, o.diskLossPermille, o.repairPermille, o.partitionPermille = 2, 0, 100, 20
	o.faults.changeEarly = true
	expectViolation(t, o, "leader completeness", "state machine safety", "committed entry", "election safety")
}

// Guards against checks that cannot see a stale read.
func TestSimulationDetectsUnconfirmedReads(t *testing.T) {
	o := faultyOptions()
	o.faults.readUnverified = true
	expectViolation(t, o, "linearizable reads")
}

// Guards against checks that cannot see a leader without committed entries.
func TestSimulationDetectsStaleVotes(t *testing.T) {
	o := faultyOptions()
	o.faults.grantStale = true
	expectViolation(t, o, "leader completeness", "committed entry")
}

// secondLoss loses C's disk and repairs it under a bad network. It returns the
// first entry acknowledged before the loss that C's new disk lacks when the
// repair is committed, or zero. Such an entry is lost if A's disk goes then
// while B is down.
func entryMissingAfterRepair(seed uint64, f faults) uint64 {
	o := simulationOptions{voters: 3, dropPercent: 30, duplicatePercent: 10, repairPermille: 150, faults: f}
	sim := newSimulation(seed, o)
	sim.run(1500)
	acknowledged, c := sim.lastCommitted, sim.procs[2]
	sim.loseDisk(c)
	for range 20000 {
		sim.step()
		if m, ok := sim.members.Find(c.id); ok && !m.Learner && m.Disk == c.disk.id {
			break
		}
	}
	for i := uint64(2); i <= acknowledged; i++ {
		if !c.disk.holds(sim.committed[i]) {
			return i
		}
	}
	return 0
}

// Guards against a repair that counts as done while the new disk is still
// empty: a second loss right after it would take the last reachable copy.
func TestSecondLossRightAfterRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assert.Equal(t, entryMissingAfterRepair(rapid.Uint64().Draw(t, "seed"), faults{}), uint64(0))
	})
}

// Guards against a check of the repair that cannot see a learner promoted
// before it has caught up.
func TestSimulationDetectsEarlyPromotion(t *testing.T) {
	for seed := range uint64(2000) {
		if lost := entryMissingAfterRepair(seed, faults{promoteEarly: true}); lost > 0 {
			t.Logf("seed %d: entry %d is lost", seed, lost)
			return
		}
	}
	t.Fatal("no entry lost, so the check proves nothing")
}

// led returns a calm world with a leader.
func simulationWithLeader(t *testing.T, voters, learners int) (*simulation, *process) {
	t.Helper()
	sim := newSimulation(1, simulationOptions{voters: voters, learners: learners})
	sim.faultFree = true
	for range 100 {
		sim.round()
	}
	assert.Assert(t, sim.leader() != nil)
	return sim, sim.leader()
}

// Guards against a leader that goes on without a majority, and against a
// returning member that deposes a working leader.
func TestPartitionedMembers(t *testing.T) {
	sim, l := simulationWithLeader(t, 3, 0)
	sim.partition[l.id] = 1
	for range 2 * DefaultElectionTicks {
		sim.round()
	}
	assert.Assert(t, l.node.Role() != Leader, "the cut-off leader did not step down")
	for range 10 * DefaultElectionTicks {
		sim.round()
	}
	next := sim.leader()
	assert.Assert(t, next != nil && next != l)
	term := next.node.Term()
	clear(sim.partition)
	for range 10 * DefaultElectionTicks {
		sim.round()
	}
	assert.Equal(t, sim.leader(), next)
	assert.Equal(t, next.node.Term(), term, "the returning member raised the term")
}

// Guards against a transfer that needs an election timeout, and against
// proposals that slip in behind it.
func TestTransfer(t *testing.T) {
	sim, l := simulationWithLeader(t, 3, 1)
	assert.ErrorIs(t, l.node.Transfer("D"), ErrUnknownMember)
	to := MemberID("A")
	if l.id == to {
		to = "B"
	}
	assert.NilError(t, l.node.Transfer(to))
	_, _, err := l.node.Propose([]byte("x"))
	assert.ErrorIs(t, err, ErrTransferring)
	sim.handle(l)
	sim.round()
	assert.Equal(t, sim.leader().id, to)
}

// Guards against membership changes that are let in too early.
func TestChangesOneAtATime(t *testing.T) {
	sim, l := simulationWithLeader(t, 3, 2)
	d, _ := l.node.Membership().Find("D")
	e, _ := l.node.Membership().Find("E")
	assert.Equal(t, sim.violation, "")
	sim.partition["E"] = 1
	for range 3 * DefaultElectionTicks {
		sim.propose(l)
		sim.round()
	}
	_, _, err := l.node.ProposeChange(Change{Promote, e})
	assert.ErrorIs(t, err, ErrNotCaughtUp)
	_, _, err = l.node.ProposeChange(Change{Promote, d})
	assert.NilError(t, err)
	_, _, err = l.node.ProposeChange(Change{Remove, e})
	assert.ErrorIs(t, err, ErrChangePending)
	sim.handle(l)
	sim.round()
	_, _, err = l.node.ProposeChange(Change{Remove, e})
	assert.NilError(t, err)
	assert.Equal(t, len(l.node.Membership().Voters()), 4)
}

// Guards against a leader without a quorum that takes in proposals without
// end, and against an entry beyond the limit.
func TestProposalLimits(t *testing.T) {
	sim, l := simulationWithLeader(t, 3, 0)
	_, _, err := l.node.Propose(make([]byte, DefaultMaxEntryBytes+1))
	assert.ErrorIs(t, err, ErrTooLarge)
	l.node.cfg.MaxUncommittedBytes = 1000
	for err = nil; err == nil; _, _, err = l.node.Propose(make([]byte, 100)) {
	}
	assert.ErrorIs(t, err, ErrBusy)
	sim.handle(l)
	sim.round()
	_, _, err = l.node.Propose(make([]byte, 100))
	assert.NilError(t, err)
}
