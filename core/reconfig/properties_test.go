package reconfig

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/core/raft"
)

var propertyIDs = []raft.MemberID{"a", "b", "c", "d", "e", "f", "g", "h"}

func drawLimits(t *rapid.T) Limits {
	return Limits{Losses: rapid.IntRange(0, 3).Draw(t, "losses"), AnswerWithin: 10, PromoteWithin: 4, LostAfter: 30, AbsentAfter: 160, KeepSilent: rapid.Bool().Draw(t, "keep silent")}
}

// drawSilence returns silences around each limit.
func drawSilence(t *rapid.T, label string) uint64 {
	return rapid.SampledFrom([]uint64{0, 2, 10, 11, 29, 30, 31, 40, 160, 161, 500}).Draw(t, label)
}

// drawView returns a view whose leader a is a voter. A member can be a candidate with its
// disk, with another disk or at another address, or no candidate.
func drawView(t *rapid.T) View {
	v := View{Leader: propertyIDs[0], Settled: rapid.Bool().Draw(t, "settled")}
	for n, id := range propertyIDs {
		isMember := n == 0 || rapid.Bool().Draw(t, "member")
		m := Member{Member: raft.Member{ID: id, Disk: raft.DiskID(id) + "1", Addr: string(id)}}
		if n > 0 {
			m.Silent = drawSilence(t, "silent")
			m.Learner = rapid.IntRange(0, 3).Draw(t, "learner") == 0
			m.CaughtUp = m.Silent <= 10 && rapid.Bool().Draw(t, "caught up")
		}
		if isMember {
			v.Members = append(v.Members, m)
		}
		c := Candidate{ID: id, Disk: m.Disk, Addr: m.Addr, Silent: m.Silent}
		switch rapid.SampledFrom([]string{"same", "same", "none", "disk", "address"}).Draw(t, "candidate") {
		case "none":
			continue
		case "disk":
			c.Disk, c.Silent = raft.DiskID(id)+"2", drawSilence(t, "silent disk")
		case "address":
			c.Addr += ":2"
		}
		if n > 0 {
			v.Candidates = append(v.Candidates, c)
		}
	}
	return v
}

// after returns the view after a step, with the silence of the disk that the step names.
func (v View) after(s Step) View {
	members := slices.Clone(v.Members)
	at := slices.IndexFunc(members, func(m Member) bool { return m.ID == s.Change.Member.ID })
	switch {
	case s.Change.Kind == raft.Remove:
		members = slices.Delete(members, at, at+1)
	case s.Change.Kind == raft.Promote:
		members[at].Learner = false
	case at >= 0 && members[at].Disk == s.Change.Member.Disk:
		members[at].Addr = s.Change.Member.Addr
	default:
		added := Member{Member: s.Change.Member}
		added.Learner, added.CaughtUp = true, true
		for _, c := range v.Candidates {
			if c.ID == added.ID {
				added.Silent, added.CaughtUp = c.Silent, c.Silent <= 10
			}
		}
		if at >= 0 {
			members = slices.Delete(members, at, at+1)
		}
		members = append(members, added)
	}
	v.Members = members
	return v
}

func (v View) voters() int {
	n, _ := v.count(0)
	return n
}

// maxSteps is the number of changes that at most follow from one view: each instance can be
// readmitted, added, promoted and removed once.
var maxSteps = 4 * len(propertyIDs)

// checkSteps draws views and checks the steps that are decided one after the other.
func checkSteps(t *testing.T, check func(t *rapid.T, l Limits, v View, s Step)) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		l, v := drawLimits(t), drawView(t)
		for range maxSteps {
			s, ok := Next(l, v)
			if !ok {
				return
			}
			steps++
			check(t, l, v, s)
			v = v.after(s)
		}
	})
	assert.Assert(t, steps > 0)
}

// Guards against the removal of the leader, of a member that may answer, or of a voter that
// is needed to make up for Losses.
func TestRemovalIsSafe(t *testing.T) {
	checkSteps(t, func(t *rapid.T, l Limits, v View, s Step) {
		if s.Change.Kind != raft.Remove {
			return
		}
		m, member := v.find(s.Change.Member.ID)
		assert.Assert(t, member && m.ID != v.Leader && m.Disk == s.Change.Member.Disk)
		assert.Assert(t, v.Settled && !l.KeepSilent && m.Silent > l.LostAfter)
		assert.Assert(t, m.Learner || v.after(s).voters() >= 2*l.Losses+1)
	})
}

// Guards against a change after which fewer losses can be borne, except the one that notes
// that a disk is gone.
func TestNoChangeLowersBearable(t *testing.T) {
	checkSteps(t, func(t *rapid.T, l Limits, v View, s Step) {
		if s.Reason != EmptyDisk {
			assert.Assert(t, v.after(s).Bearable(l.AnswerWithin) >= v.Bearable(l.AnswerWithin), "%s: %s", describe(s), s.Reason)
		}
	})
}

// Guards against a voter without the log, and against an instance that is added with a vote.
func TestOnlyCaughtUpLearnersVote(t *testing.T) {
	checkSteps(t, func(t *rapid.T, l Limits, v View, s Step) {
		m, member := v.find(s.Change.Member.ID)
		switch s.Change.Kind {
		case raft.Promote:
			assert.Assert(t, member && m.Learner && m.CaughtUp && m.Disk == s.Change.Member.Disk)
		case raft.AddLearner:
			assert.Assert(t, !s.Change.Member.Learner, "raft makes it a learner if its disk is new")
			assert.Assert(t, !member || m.Disk != s.Change.Member.Disk || m.Addr != s.Change.Member.Addr, "nothing changes")
		}
	})
}

// Guards against a promotion while a voter is silent that leaves the group in need of the
// new voter: the removal of the silent one must be the next step.
func TestPromotionIsFollowedByRemoval(t *testing.T) {
	checkSteps(t, func(t *rapid.T, l Limits, v View, s Step) {
		next := v.after(s)
		if s.Change.Kind != raft.Promote || l.KeepSilent || next.voters() <= l.minVoters() || v.voters()%2 == 0 || next.Bearable(l.AnswerWithin) >= l.Losses {
			return
		}
		if voters, answering := v.count(l.AnswerWithin); voters == answering {
			return // nobody can be removed
		}
		following, ok := Next(l, next)
		assert.Assert(t, ok && (following.Change.Kind == raft.Remove || following.Reason == EmptyDisk), "%s, then %s", describe(s), following.Reason)
	})
}

// Guards against a decision that depends on anything but its arguments, or changes them.
func TestEqualViewsGetEqualSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, v := drawLimits(t), drawView(t)
		members, candidates := slices.Clone(v.Members), slices.Clone(v.Candidates)
		first, _ := Next(l, v)
		again, _ := Next(l, View{Leader: v.Leader, Settled: v.Settled, Members: members, Candidates: candidates})
		assert.Equal(t, first, again)
		assert.DeepEqual(t, v.Members, members)
		assert.DeepEqual(t, v.Candidates, candidates)
	})
}

// calm returns a view in which every instance either answers each heartbeat and has caught up, or
// has been gone for long.
func (v View) calm(l Limits) View {
	v.Settled = true
	v.Members = slices.Clone(v.Members)
	for n := range v.Members {
		m := &v.Members[n]
		m.Silent = l.calmSilence(m.Silent)
		m.CaughtUp = m.Silent <= l.AnswerWithin
	}
	v.Candidates = slices.Clone(v.Candidates)
	for n := range v.Candidates {
		c := &v.Candidates[n]
		c.Silent = l.calmSilence(c.Silent)
	}
	return v
}

func (l Limits) calmSilence(silent uint64) uint64 {
	if silent > l.AnswerWithin {
		return l.AbsentAfter + 1
	}
	return min(silent, l.PromoteWithin)
}

// Guards against an endless sequence of changes, and against one that ends before each
// instance that answers is a voter and each that is gone and can be spared is removed.
func TestCalmReachesFixedPoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLimits(t)
		v := drawView(t).calm(l)
		for left := maxSteps; ; left-- {
			s, ok := Next(l, v)
			if !ok {
				break
			}
			assert.Assert(t, left > 0, "still a change: %s, %s", describe(s), s.Reason)
			v = v.after(s).calm(l)
		}
		for _, c := range v.Candidates {
			m, member := v.find(c.ID)
			answers := c.Silent <= l.AnswerWithin
			assert.Assert(t, !answers || member && !m.Learner && m.Disk == c.Disk && m.Addr == c.Addr, "%s is no voter", c.ID)
		}
		for _, m := range v.Members {
			spared := m.Learner || v.voters() > l.minVoters()
			assert.Assert(t, m.Silent <= l.AnswerWithin || l.KeepSilent || !spared, "%s stays", m.ID)
		}
	})
}
