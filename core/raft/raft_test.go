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
func TestPropertiesHold(t *testing.T) {
	var losses, commits, reads, terms, installs int
	rapid.Check(t, func(t *rapid.T) {
		o := stormy()
		o.voters = rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "voters")
		o.learners = rapid.IntRange(0, 2).Draw(t, "learners")
		o.drop = rapid.IntRange(0, 30).Draw(t, "drop")
		o.repeat = rapid.IntRange(0, 20).Draw(t, "repeat")
		o.crash10 = rapid.IntRange(0, 20).Draw(t, "crash10")
		o.cut10 = rapid.IntRange(0, 20).Draw(t, "cut10")
		o.loss10 = rapid.SampledFrom([]int{0, 10, 100}).Draw(t, "loss10")
		if o.voters+o.learners < 3 {
			o.loss10 = 0 // the only voter's disk is the only copy
		}
		w := newWorld(rapid.Uint64().Draw(t, "seed"), o)
		assert.Equal(t, w.run(4000), "")
		assert.Assert(t, w.calm(), "no recovery: %s", w.violation)
		losses += w.losses
		commits += int(w.top)
		reads += w.answered
		terms += len(w.leaders)
		installs += w.installs
	})
	t.Logf("%d lost disks, %d commits, %d reads, %d leaders, %d snapshots", losses, commits, reads, terms, installs)
}

// broken runs a variant without one guard until it violates a property.
func broken(t *testing.T, o options, want ...string) {
	t.Helper()
	const seeds = 2000
	for seed := range uint64(seeds) {
		v := newWorld(seed, o).run(4000)
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
func TestBrokenWithoutSync(t *testing.T) {
	o := stormy()
	o.loss10, o.skipSync = 0, true
	broken(t, o, "election safety", "leader completeness", "state machine safety", "committed entry")
}

// Guards against checks that cannot see a member which votes with an empty
// disk.
func TestBrokenWithoutDiskIdentity(t *testing.T) {
	o := stormy()
	o.loss10, o.repair10, o.faults.ignoreDisk = 100, 5, true
	broken(t, o, "election safety", "leader completeness", "state machine safety", "committed entry")
}

// Guards against checks that cannot see two majorities without a common
// member.
func TestBrokenWithEarlyChanges(t *testing.T) {
	o := stormy()
	o.learners, o.loss10, o.repair10, o.cut10 = 2, 0, 100, 20
	o.faults.changeEarly = true
	broken(t, o, "leader completeness", "state machine safety", "committed entry", "election safety")
}

// Guards against checks that cannot see a stale read.
func TestBrokenWithoutReadConfirmation(t *testing.T) {
	o := stormy()
	o.faults.readUnverified = true
	broken(t, o, "linearizable reads")
}

// Guards against checks that cannot see a leader without committed entries.
func TestBrokenWithStaleVotes(t *testing.T) {
	o := stormy()
	o.faults.grantStale = true
	broken(t, o, "leader completeness", "committed entry")
}

// secondLoss loses C's disk and repairs it under a bad network. It returns the
// first entry acknowledged before the loss that C's new disk lacks when the
// repair is committed, or zero. Such an entry is lost if A's disk goes then
// while B is down.
func secondLoss(seed uint64, f faults) uint64 {
	o := options{voters: 3, drop: 30, repeat: 10, repair10: 150, faults: f}
	w := newWorld(seed, o)
	w.run(1500)
	acknowledged, c := w.top, w.procs[2]
	w.lose(c)
	for range 20000 {
		w.step()
		if m, ok := w.members.Find(c.id); ok && !m.Learner && m.Disk == c.disk.id {
			break
		}
	}
	for i := uint64(2); i <= acknowledged; i++ {
		if !c.disk.holds(w.committed[i]) {
			return i
		}
	}
	return 0
}

// Guards against a repair that counts as done while the new disk is still
// empty: a second loss right after it would take the last reachable copy.
func TestSecondLossRightAfterRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assert.Equal(t, secondLoss(rapid.Uint64().Draw(t, "seed"), faults{}), uint64(0))
	})
}

// Guards against a check of the repair that cannot see a learner promoted
// before it has caught up.
func TestBrokenWithEarlyPromotion(t *testing.T) {
	for seed := range uint64(2000) {
		if lost := secondLoss(seed, faults{promoteEarly: true}); lost > 0 {
			t.Logf("seed %d: entry %d is lost", seed, lost)
			return
		}
	}
	t.Fatal("no entry lost, so the check proves nothing")
}

// led returns a calm world with a leader.
func led(t *testing.T, voters, learners int) (*world, *process) {
	t.Helper()
	w := newWorld(1, options{voters: voters, learners: learners})
	w.quiet = true
	for range 100 {
		w.round()
	}
	assert.Assert(t, w.leader() != nil)
	return w, w.leader()
}

// Guards against a leader that goes on without a majority, and against a
// returning member that deposes a working leader.
func TestCutOffMembers(t *testing.T) {
	w, l := led(t, 3, 0)
	w.side[l.id] = 1
	for range 2 * DefaultElectionTicks {
		w.round()
	}
	assert.Assert(t, l.node.Role() != Leader, "the cut-off leader did not step down")
	for range 10 * DefaultElectionTicks {
		w.round()
	}
	next := w.leader()
	assert.Assert(t, next != nil && next != l)
	term := next.node.Term()
	clear(w.side)
	for range 10 * DefaultElectionTicks {
		w.round()
	}
	assert.Equal(t, w.leader(), next)
	assert.Equal(t, next.node.Term(), term, "the returning member raised the term")
}

// Guards against a transfer that needs an election timeout, and against
// proposals that slip in behind it.
func TestTransfer(t *testing.T) {
	w, l := led(t, 3, 1)
	assert.ErrorIs(t, l.node.Transfer("D"), ErrUnknownMember)
	to := MemberID("A")
	if l.id == to {
		to = "B"
	}
	assert.NilError(t, l.node.Transfer(to))
	_, _, err := l.node.Propose([]byte("x"))
	assert.ErrorIs(t, err, ErrTransferring)
	w.handle(l)
	w.round()
	assert.Equal(t, w.leader().id, to)
}

// Guards against membership changes that are let in too early.
func TestChangesOneAtATime(t *testing.T) {
	w, l := led(t, 3, 2)
	d, _ := l.node.Membership().Find("D")
	e, _ := l.node.Membership().Find("E")
	assert.Equal(t, w.violation, "")
	w.side["E"] = 1
	for range 3 * DefaultElectionTicks {
		w.propose(l)
		w.round()
	}
	_, _, err := l.node.ProposeChange(Change{Promote, e})
	assert.ErrorIs(t, err, ErrNotCaughtUp)
	_, _, err = l.node.ProposeChange(Change{Promote, d})
	assert.NilError(t, err)
	_, _, err = l.node.ProposeChange(Change{Remove, e})
	assert.ErrorIs(t, err, ErrChangePending)
	w.handle(l)
	w.round()
	_, _, err = l.node.ProposeChange(Change{Remove, e})
	assert.NilError(t, err)
	assert.Equal(t, len(l.node.Membership().Voters()), 4)
}

// Guards against a leader without a quorum that takes in proposals without
// end, and against an entry beyond the limit.
func TestBoundsOfProposals(t *testing.T) {
	w, l := led(t, 3, 0)
	_, _, err := l.node.Propose(make([]byte, DefaultMaxEntryBytes+1))
	assert.ErrorIs(t, err, ErrTooLarge)
	l.node.cfg.MaxUncommittedBytes = 1000
	for err = nil; err == nil; _, _, err = l.node.Propose(make([]byte, 100)) {
	}
	assert.ErrorIs(t, err, ErrBusy)
	w.handle(l)
	w.round()
	_, _, err = l.node.Propose(make([]byte, 100))
	assert.NilError(t, err)
}
