package reconfig

import (
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/raft"
)

// tableLimits are the limits of the table: one loss, and times that are easy to tell apart.
var tableLimits = Limits{Losses: 1, AnswerWithin: 10, PromoteWithin: 4, LostAfter: 30, AbsentAfter: 160}

// voter returns a member with its first disk.
func voter(id string, silent uint64) Member {
	return Member{Member: raft.Member{ID: raft.MemberID(id), Disk: raft.DiskID(id + "1"), Addr: id}, Silent: silent}
}

func learner(id string, silent uint64, caughtUp bool) Member {
	m := voter(id, silent)
	m.Learner, m.CaughtUp = true, caughtUp
	return m
}

func candidate(id, disk, addr string, silent uint64) Candidate {
	return Candidate{ID: raft.MemberID(id), Disk: raft.DiskID(disk), Addr: addr, Silent: silent}
}

// settledView is the view of the leader a in which each member that is not silent is a candidate.
func settledView(members ...Member) View {
	v := View{Leader: "a", Members: members, Settled: true}
	for _, m := range members {
		if m.Silent <= tableLimits.AnswerWithin {
			v.Candidates = append(v.Candidates, Candidate{ID: m.ID, Disk: m.Disk, Addr: m.Addr, Silent: m.Silent})
		}
	}
	return v
}

func (v View) withCandidates(more ...Candidate) View {
	v.Candidates = append(v.Candidates, more...)
	return v
}

func (v View) unsettled() View {
	v.Settled = false
	return v
}

// Guards against a decision that differs from the rules in a single view. The worlds show
// what follows from the rules, this table says what they are.
func TestDecisions(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits func(*Limits)
		view   View
		// want is empty if nothing is to be changed.
		want   string
		reason Reason
	}{
		{name: "all answer", view: settledView(voter("a", 0), voter("b", 2), voter("c", 2))},
		{name: "a new instance is added", view: settledView(voter("a", 0)).withCandidates(candidate("b", "b1", "b", 2)), want: "add b", reason: NewInstance},
		{name: "instances are added in their order", view: settledView(voter("a", 0)).withCandidates(candidate("c", "c1", "c", 2), candidate("b", "b1", "b", 2)), want: "add c", reason: NewInstance},
		{name: "a silent instance is not added", view: settledView(voter("a", 0)).withCandidates(candidate("b", "b1", "b", 30))},
		{name: "a learner that has caught up is promoted", view: settledView(voter("a", 0), learner("b", 2, true)), want: "promote b", reason: LearnerCaughtUp},
		{name: "a learner that lags behind is not promoted", view: settledView(voter("a", 0), learner("b", 2, false))},
		{name: "a learner that is no candidate is not promoted", view: settledView(voter("a", 0), learner("b", 11, true))},
		{name: "a promotion waits for a voter that may answer", view: settledView(voter("a", 0), voter("b", 2), voter("c", 11), learner("d", 2, true))},
		{name: "a promotion waits until the silent voter is due", view: settledView(voter("a", 0), voter("b", 2), voter("c", 30), learner("d", 2, true))},
		{name: "a promotion precedes the removal", view: settledView(voter("a", 0), voter("b", 2), voter("c", 31), learner("d", 2, true)), want: "promote d", reason: LearnerCaughtUp},
		{name: "a promotion waits for a settled view", view: settledView(voter("a", 0), voter("b", 2), voter("c", 31), learner("d", 2, true)).unsettled()},
		{name: "an even number of voters does not wait", view: settledView(voter("a", 0), voter("b", 2), voter("c", 2), voter("d", 11), learner("e", 2, true)), want: "promote e", reason: LearnerCaughtUp},
		{name: "an even number does not wait either if many losses are to be borne", limits: func(l *Limits) { l.Losses = 2 }, view: settledView(voter("a", 0), voter("b", 2), voter("c", 2), voter("d", 11), learner("e", 2, true)), want: "promote e", reason: LearnerCaughtUp},
		{name: "a learner whose disk is gone is not promoted", view: settledView(voter("a", 0), learner("b", 11, true)).withCandidates(candidate("b", "b2", "b", 30))},
		{name: "an empty disk precedes a promotion", view: settledView(voter("a", 0), voter("b", 2), voter("c", 11), voter("d", 2), learner("e", 2, true)).withCandidates(candidate("c", "c2", "c", 2)), want: "add c", reason: EmptyDisk},
		{name: "a silent learner stays while a voter must go", view: settledView(voter("a", 0), voter("b", 2), voter("c", 31), voter("d", 2), learner("e", 50, false)), want: "remove c", reason: TooFewLosses},
		{name: "the fourth voter is removed", view: settledView(voter("a", 0), voter("b", 2), voter("c", 31), voter("d", 2)), want: "remove c", reason: TooFewLosses},
		{name: "a voter that may answer stays", view: settledView(voter("a", 0), voter("b", 2), voter("c", 30), voter("d", 2))},
		{name: "the longest silence is removed first", view: settledView(voter("a", 0), voter("b", 2), voter("c", 2), voter("d", 40), voter("e", 50)), want: "remove e", reason: TooFewLosses},
		{name: "the removal precedes another learner", view: settledView(voter("a", 0), voter("b", 2), voter("c", 31), voter("d", 2)).withCandidates(candidate("e", "e1", "e", 2)), want: "remove c", reason: TooFewLosses},
		{name: "three voters stay", view: settledView(voter("a", 0), voter("b", 2), voter("c", 500))},
		{name: "a removal waits for a settled view", view: settledView(voter("a", 0), voter("b", 2), voter("c", 31), voter("d", 2)).unsettled()},
		{name: "a fifth voter whose loss can be borne stays", view: settledView(voter("a", 0), voter("b", 2), voter("c", 31), voter("d", 2), voter("e", 2))},
		{name: "a fifth voter goes after long silence", view: settledView(voter("a", 0), voter("b", 2), voter("c", 161), voter("d", 2), voter("e", 2)), want: "remove c", reason: LongSilence},
		{name: "a learner goes after long silence", view: settledView(voter("a", 0), learner("b", 161, false)), want: "remove b", reason: LongSilence},
		{name: "long silence waits for a settled view", view: settledView(voter("a", 0), learner("b", 161, false)).unsettled()},
		{name: "only an operator removes a voter", limits: func(l *Limits) { l.KeepSilent = true }, view: settledView(voter("a", 0), voter("b", 2), voter("c", 31), voter("d", 2))},
		{name: "only an operator removes a learner", limits: func(l *Limits) { l.KeepSilent = true }, view: settledView(voter("a", 0), learner("b", 161, false))},
		{name: "five voters for two losses stay", limits: func(l *Limits) { l.Losses = 2 }, view: settledView(voter("a", 0), voter("b", 2), voter("c", 2), voter("d", 40), voter("e", 50))},
		{name: "the sixth voter for two losses is removed", limits: func(l *Limits) { l.Losses = 2 }, view: settledView(voter("a", 0), voter("b", 2), voter("c", 2), voter("d", 40), voter("e", 50), voter("f", 2)), want: "remove e", reason: TooFewLosses},
		{name: "an empty disk precedes a removal", view: settledView(voter("a", 0), voter("b", 12), voter("c", 31), voter("d", 2)).withCandidates(candidate("b", "b2", "b", 2)), want: "add b", reason: EmptyDisk},
		{name: "a silent empty disk is left alone", view: settledView(voter("a", 0), voter("b", 31), voter("c", 2)).withCandidates(candidate("b", "b2", "b", 30))},
		{name: "a new address is recorded", view: settledView(voter("a", 0), voter("b", 12)).withCandidates(candidate("b", "b1", "b:2", 2)), want: "add b", reason: NewAddress},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := tableLimits
			if c.limits != nil {
				c.limits(&l)
			}
			got := ""
			s, ok := Next(l, c.view)
			if ok {
				got = describe(s)
			}
			assert.Equal(t, got, c.want)
			assert.Equal(t, s.Reason, c.reason)
		})
	}
}

// Guards against a readmission that keeps the old disk or address: the new disk would then
// have the vote of the lost one.
func TestReadmissionNamesNewDisk(t *testing.T) {
	v := settledView(voter("a", 0), voter("b", 12)).withCandidates(candidate("b", "b2", "b:2", 2))
	s, _ := Next(tableLimits, v)
	assert.DeepEqual(t, s.Change, raft.Change{Kind: raft.AddLearner, Member: raft.Member{ID: "b", Disk: "b2", Addr: "b:2"}})
}

// Guards against a wrong count of the losses that a group bears, on which all rules rest.
func TestBearable(t *testing.T) {
	for _, c := range []struct {
		members []Member
		want    int
	}{
		{[]Member{voter("a", 0)}, 0},
		{[]Member{voter("a", 0), voter("b", 0)}, 0},
		{[]Member{voter("a", 0), voter("b", 10), voter("c", 10)}, 1},
		{[]Member{voter("a", 0), voter("b", 10), voter("c", 11)}, 0},
		{[]Member{voter("a", 0), voter("b", 10), voter("c", 10), voter("d", 11)}, 0},
		{[]Member{voter("a", 0), voter("b", 10), voter("c", 11), voter("d", 11)}, -1},
		{[]Member{voter("a", 0), voter("b", 10), learner("c", 0, true), learner("d", 0, true)}, 0},
	} {
		assert.Equal(t, View{Members: c.members}.Bearable(tableLimits.AnswerWithin), c.want)
	}
}

// Bearable returns how many further voters can be lost while those heard within a time are still a majority.
func (v View) Bearable(within uint64) int {
	voters, answering := v.count(within)
	return bearable(voters, answering)
}
