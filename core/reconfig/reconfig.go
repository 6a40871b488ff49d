// Package reconfig decides which change the leader of a replicated group makes next to the
// group's members: which instance is added, promoted or removed, and in which order. It has
// no clock, network or state: silence is an argument, and equal views get equal answers.
//
// Losses is the number of voters whose disks may be lost at the same time. The invariants:
//
//   - A removal leaves at least 2*Losses+1 voters. Any Losses of them can lose their disks
//     and the others, once all are back, are a majority. So it is safe to remove a voter
//     that is only frozen or cut off; it is added again when it answers.
//   - A change never leaves fewer losses to bear than before, except that a voter
//     that reports an empty disk counts as lost from then on.
//   - While fewer than Losses can be borne and there are voters to spare, a lost voter is
//     removed: one that has been silent for LostAfter or has announced its end. The time
//     until a replaced voter no longer counts is therefore bounded by LostAfter, an
//     election and three changes.
package reconfig

import (
	"heatherway.dev/core/raft"
)

// Limits are the settings of the decision. Times are in ticks.
type Limits struct {
	// Losses is the number of voters that may be lost for good at the same time.
	Losses int
	// AnswerWithin is the silence up to which a voter counts as answering when a learner
	// is promoted.
	AnswerWithin uint64
	// PromoteWithin is the silence up to which a learner may be promoted.
	PromoteWithin uint64
	// LostAfter is the silence after which a voter counts as lost.
	LostAfter uint64
	// AbsentAfter is the silence after which any member is removed, so that those that
	// never return do not accumulate.
	AbsentAfter uint64
	// KeepSilent is set if only an operator removes members.
	KeepSilent bool
}

// minVoters is the number of voters of which Losses can be lost.
func (l Limits) minVoters() int { return 2*l.Losses + 1 }

// hasSpare reports whether one of a number of voters may leave.
func (l Limits) hasSpare(voters int) bool { return voters > l.minVoters() }

// Member is a member as the leader sees it.
type Member struct {
	raft.Member
	// Silent is the time in ticks since its disk was last heard from, 0 for the leader.
	Silent uint64
	// Leaving is set if its process has announced that it ends.
	Leaving bool
	// CaughtUp is set if it has every committed entry on its disk.
	CaughtUp bool
}

// Candidate is an instance that has reported its identity and should be a voter.
type Candidate struct {
	ID     raft.MemberID
	Disk   raft.DiskID
	Addr   string
	Silent uint64
}

// View is what the leader knows. It must be complete: every member is listed, with the
// newest membership of the leader's log.
type View struct {
	Leader  raft.MemberID
	Members []Member
	// Candidates are in the order in which they are added.
	Candidates []Candidate
	// Settled is set once the leader has been in contact with a majority for long enough
	// to have heard from every member that runs. Before that nobody is taken for silent.
	Settled bool
}

// Reason tells why a change is made.
type Reason string

// Reasons.
const (
	EmptyDisk       Reason = "member has another disk"
	NewAddress      Reason = "member has another address"
	TooFewLosses    Reason = "silent voter leaves too few losses to bear"
	LearnerCaughtUp Reason = "learner has caught up"
	NewInstance     Reason = "new instance"
	LongSilence     Reason = "long silence"
)

// Step is the next change and its reason.
type Step struct {
	Change raft.Change
	Reason Reason
}

// Next returns the next change, and false if none is due.
func Next(l Limits, v View) (Step, bool) {
	for _, decide := range []func(Limits, View) (Step, bool){
		readmit, removeLostVoter, promote, add, removeAbsent,
	} {
		if s, ok := decide(l, v); ok {
			return s, true
		}
	}
	return Step{}, false
}

// bearable returns how many further voters can be lost while those that answer are still a
// majority. It is negative while they are none.
func bearable(voters, answering int) int { return answering - (voters/2 + 1) }

// count returns the number of voters and of those that were heard from within a time.
func (v View) count(within uint64) (voters, answering int) {
	for _, m := range v.Members {
		if m.Learner {
			continue
		}
		voters++
		if m.answers(within) {
			answering++
		}
	}
	return voters, answering
}

// answers reports whether a voter was heard from within a time and goes on running.
func (m Member) answers(within uint64) bool { return m.Silent <= within && !m.Leaving }

func (v View) find(id raft.MemberID) (Member, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// readmit updates a member that reports another disk or address. A voter whose disk is gone
// becomes a learner.
func readmit(l Limits, v View) (Step, bool) {
	for _, c := range v.Candidates {
		m, member := v.find(c.ID)
		switch {
		case !member || c.Disk == "" || c.Silent >= l.LostAfter:
		case m.Disk != c.Disk:
			return c.asLearner(EmptyDisk), true
		case m.Addr != c.Addr:
			return c.asLearner(NewAddress), true
		}
	}
	return Step{}, false
}

// add adds an instance that is no member as a learner. One that has fallen silent is left
// out, so that a voter that was just removed is not added before it answers again.
func add(l Limits, v View) (Step, bool) {
	for _, c := range v.Candidates {
		if _, member := v.find(c.ID); !member && c.Disk != "" && c.Silent < l.LostAfter {
			return c.asLearner(NewInstance), true
		}
	}
	return Step{}, false
}

func (c Candidate) asLearner(reason Reason) Step {
	return Step{raft.Change{Kind: raft.AddLearner, Member: raft.Member{ID: c.ID, Disk: c.Disk, Addr: c.Addr}}, reason}
}

// removeLostVoter removes the lost voter that has been silent for longest while fewer than
// Losses can be borne.
func removeLostVoter(l Limits, v View) (Step, bool) {
	voters, answering := v.count(l.LostAfter)
	if l.KeepSilent || !l.hasSpare(voters) || bearable(voters, answering) >= l.Losses {
		return Step{}, false
	}
	var longest *Member
	for i, m := range v.Members {
		if !m.Learner && m.ID != v.Leader && l.isLost(v, m) && (longest == nil || m.Silent > longest.Silent) {
			longest = &v.Members[i]
		}
	}
	if longest == nil {
		return Step{}, false
	}
	return Step{raft.Change{Kind: raft.Remove, Member: longest.Member}, TooFewLosses}, true
}

// isLost reports whether a voter no longer counts. A leader that has not settled takes only
// an announced end for a loss.
func (l Limits) isLost(v View, m Member) bool {
	return m.Leaving || v.Settled && m.Silent > l.LostAfter
}

// promote turns a learner that has caught up into a voter.
func promote(l Limits, v View) (Step, bool) {
	if !mayPromote(l, v) {
		return Step{}, false
	}
	for _, m := range v.Members {
		if m.Learner && m.CaughtUp && m.answers(l.PromoteWithin) && v.isCandidate(m) {
			return Step{raft.Change{Kind: raft.Promote, Member: m.Member}, LearnerCaughtUp}, true
		}
	}
	return Step{}, false
}

// isCandidate reports whether a member is listed as a candidate with its disk.
func (v View) isCandidate(m Member) bool {
	for _, c := range v.Candidates {
		if c.ID == m.ID && c.Disk == m.Disk {
			return true
		}
	}
	return false
}

// mayPromote reports whether one more voter leaves no fewer losses to bear. With an odd
// number of voters it raises the majority; if one of the others is lost by then, the new
// voter's own loss would be one too many until the lost one is removed. So the promotion
// waits until each voter answers or counts as lost, and is then removed next.
func mayPromote(l Limits, v View) bool {
	voters, answering := v.count(l.AnswerWithin)
	if voters%2 == 0 || bearable(voters+1, answering+1) >= l.Losses {
		return true
	}
	for _, m := range v.Members {
		if !m.Learner && !m.answers(l.AnswerWithin) && !l.isLost(v, m) {
			return false
		}
	}
	return true
}

// removeAbsent removes a member that has been silent for AbsentAfter.
func removeAbsent(l Limits, v View) (Step, bool) {
	voters, _ := v.count(0)
	if l.KeepSilent || !v.Settled {
		return Step{}, false
	}
	for _, m := range v.Members {
		if m.Silent > l.AbsentAfter && m.ID != v.Leader && (m.Learner || l.hasSpare(voters)) {
			return Step{raft.Change{Kind: raft.Remove, Member: m.Member}, LongSilence}, true
		}
	}
	return Step{}, false
}
