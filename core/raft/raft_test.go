package raft

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against violations of election safety, log matching, leader completeness, state
// machine safety and linearizable reads under lost, duplicated and reordered messages,
// network partitions, crashes, lost disks and clock skew, and against a group that doesn't
// recover after these faults end.
func TestPropertiesHoldUnderFaults(t *testing.T) {
	var losses, commits, reads, terms, installs int
	rapid.Check(t, func(t *rapid.T) {
		o := faultyOptions()
		o.voters = rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "voters")
		o.learners = rapid.IntRange(0, 2).Draw(t, "learners")
		o.dropPercent = rapid.IntRange(0, 30).Draw(t, "drop percent")
		o.duplicatePercent = rapid.IntRange(0, 20).Draw(t, "duplicate percent")
		o.crashPermille = rapid.IntRange(0, 20).Draw(t, "crash permille")
		o.partitionPermille = rapid.IntRange(0, 20).Draw(t, "partition permille")
		o.diskLossPermille = rapid.SampledFrom([]int{0, 10, 100}).Draw(t, "disk loss permille")
		if o.voters+o.learners < 3 {
			o.diskLossPermille = 0 // the single voter's disk holds the only copy
		}
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), o)
		assert.Equal(t, sim.run(4000), "")
		assert.Assert(t, sim.recovers(), "the group did not recover: %s", sim.violation)
		losses += sim.diskLosses
		commits += int(sim.lastCommitted)
		reads += sim.answered
		terms += len(sim.leaderDisks)
		installs += sim.installs
	})
	t.Logf("%d lost disks, %d commits, %d reads, %d leaders, %d snapshots", losses, commits, reads, terms, installs)
}

// expectViolation simulates a variant without one safety check until it violates one of the
// properties in want.
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
	t.Fatalf("no violation of %q in %d seeds; the simulation doesn't detect the missing safety check", want, seeds)
}

// Guards against a simulation that doesn't detect votes and acknowledgements sent before
// the sync.
func TestSimulationDetectsMissingSync(t *testing.T) {
	o := faultyOptions()
	o.diskLossPermille, o.skipSync = 0, true
	expectViolation(t, o, "election safety", "leader completeness", "state machine safety", "committed entry")
}

// Guards against a simulation that doesn't detect a member that votes with an empty disk.
func TestSimulationDetectsMissingDiskIdentity(t *testing.T) {
	o := faultyOptions()
	o.diskLossPermille, o.repairPermille, o.faults.skipDiskCheck = 100, 5, true
	expectViolation(t, o, "election safety", "leader completeness", "state machine safety", "committed entry")
}

// Guards against a simulation that doesn't detect disjoint majorities.
func TestSimulationDetectsEarlyChanges(t *testing.T) {
	o := faultyOptions()
	o.learners, o.diskLossPermille, o.repairPermille, o.partitionPermille = 2, 0, 100, 20
	o.faults.skipChangeCheck = true
	expectViolation(t, o, "leader completeness", "state machine safety", "committed entry", "election safety")
}

// Guards against a simulation that doesn't detect stale reads.
func TestSimulationDetectsUnconfirmedReads(t *testing.T) {
	o := faultyOptions()
	o.faults.skipReadConfirmation = true
	expectViolation(t, o, "linearizable reads")
}

// Guards against a simulation that doesn't detect a leader that lacks committed entries.
func TestSimulationDetectsStaleVotes(t *testing.T) {
	o := faultyOptions()
	o.faults.skipLogCheck = true
	expectViolation(t, o, "leader completeness", "committed entry")
}

// entryMissingAfterRepair replaces C's disk by an empty one and repairs the member over an
// unreliable network. It returns the first entry acknowledged before the loss that C's new
// disk lacks when the repair is committed, or zero. Such an entry would be lost if A's disk
// failed next while B is down.
func entryMissingAfterRepair(seed uint64, disabled faults) uint64 {
	o := simulationOptions{voters: 3, dropPercent: 30, duplicatePercent: 10, repairPermille: 150, faults: disabled}
	sim := newSimulation(seed, o)
	sim.run(1500)
	acknowledged, c := sim.lastCommitted, sim.processes[2]
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

// Guards against a repair that counts as complete before the new disk has caught up: a
// second disk loss right after it would destroy the last available copy.
func TestSecondLossRightAfterRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assert.Equal(t, entryMissingAfterRepair(rapid.Uint64().Draw(t, "seed"), faults{}), uint64(0))
	})
}

// Guards against a repair test that doesn't detect a learner that is promoted before it
// has caught up.
func TestSimulationDetectsEarlyPromotion(t *testing.T) {
	for seed := range uint64(2000) {
		if lost := entryMissingAfterRepair(seed, faults{skipCatchUpCheck: true}); lost > 0 {
			t.Logf("seed %d: entry %d is lost", seed, lost)
			return
		}
	}
	t.Fatal("no entry was lost; the repair test doesn't detect early promotion")
}

// simulationWithLeader returns a simulation without faults and its elected leader.
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

// Guards against a leader that continues without a majority, and against a member that
// deposes a working leader when it reconnects.
func TestPartitionedMembers(t *testing.T) {
	sim, l := simulationWithLeader(t, 3, 0)
	sim.partition[l.id] = 1
	for range 2 * DefaultElectionTicks {
		sim.round()
	}
	assert.Assert(t, l.node.Role() != Leader, "the partitioned leader did not step down")
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
	assert.Equal(t, next.node.Term(), term, "the reconnected member increased the term")
}

// Guards against a leadership transfer that takes an election timeout, and against
// proposals accepted during a transfer.
func TestLeadershipTransfer(t *testing.T) {
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

// Guards against membership changes that are accepted too early.
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

// Guards against a leader without a quorum that accepts an unlimited number of proposals,
// and against entries that exceed the size limit.
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
