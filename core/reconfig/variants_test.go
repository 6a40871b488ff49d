package reconfig

import (
	"strings"
	"testing"

	"heatherway.dev/core/raft"
)

// expectViolation plays worlds under a variant of the decision until one of them breaks a
// rule in the wanted way.
func expectViolation(t *testing.T, s setting, r rules, want string) {
	t.Helper()
	t.Parallel()
	plays, found := 0, false
	search := func(p play) bool {
		w := p.run(r, false)
		plays++
		if strings.Contains(w.violation, want) {
			t.Logf("play %d: %s: %s", plays, p, w.violation)
			found = true
		}
		return !found
	}
	pairs(s, search)
	if !found {
		triples(s, search)
	}
	if found {
		return
	}
	t.Fatalf("no violation %q in %d plays; the worlds don't detect the missing rule", want, plays)
}

// decideBy is Next with other rules.
func decideBy(decisions ...func(Limits, View) (Step, bool)) func(Limits, View) (Step, bool) {
	return func(l Limits, v View) (Step, bool) {
		for _, decide := range decisions {
			if s, ok := decide(l, v); ok {
				return s, true
			}
		}
		return Step{}, false
	}
}

// promoteAtOnce promotes a learner that has caught up whichever voters are silent.
func promoteAtOnce(_ Limits, v View) (Step, bool) {
	for _, m := range v.Members {
		if m.Learner && m.CaughtUp && v.isCandidate(m) {
			return Step{raft.Change{Kind: raft.Promote, Member: m.Member}, LearnerCaughtUp}, true
		}
	}
	return Step{}, false
}

// Guards against worlds that don't detect a promotion after which the group needs the new
// voter for as long as a lost one counts.
func TestWorldsDetectEarlyPromotion(t *testing.T) {
	expectViolation(t, setting{3, 1}, rules{next: decideBy(readmit, removeLostVoter, promoteAtOnce, add, removeAbsent)}, newVoterNeeded)
}

// Guards against worlds that don't detect a replaced voter that counts until it has been
// silent for AbsentAfter, as in issue 43.
func TestWorldsDetectLateRemoval(t *testing.T) {
	expectViolation(t, setting{3, 1}, rules{next: decideBy(readmit, promoteAtOnce, add, removeAbsent), onlyPromise: true}, noMajority)
}

// removeAnySilent removes a silent voter however few are left.
func removeAnySilent(l Limits, v View) (Step, bool) {
	for _, m := range v.Members {
		if v.Settled && !m.Learner && m.ID != v.Leader && m.Silent > l.LostAfter {
			return Step{raft.Change{Kind: raft.Remove, Member: m.Member}, TooFewLosses}, true
		}
	}
	return Step{}, false
}

// Guards against worlds that don't detect a removal that leaves fewer than 2*Losses+1
// voters.
func TestWorldsDetectRemovalOfTooMany(t *testing.T) {
	expectViolation(t, setting{3, 1}, rules{next: decideBy(readmit, removeAnySilent, promote, add, removeAbsent)}, tooFewVoters)
}

// Guards against a limit of 2*Losses+1 voters that protects from nothing: with fewer, a
// voter that returns from a freeze does not make up for the next loss.
func TestTooFewVotersBreakPromise(t *testing.T) {
	expectViolation(t, setting{3, 1}, rules{next: decideBy(readmit, removeAnySilent, promote, add, removeAbsent), onlyPromise: true}, noMajority)
}

// Guards against worlds that don't detect a removal that each change of the leader delays.
func TestWorldsDetectSilenceCountedAnew(t *testing.T) {
	expectViolation(t, setting{5, 2}, rules{next: Next, silenceAnew: true}, noMajority)
}

// Guards against worlds that don't detect a leader that takes others for silent although it
// was itself cut off.
func TestWorldsDetectUnsettledRemoval(t *testing.T) {
	next := func(l Limits, v View) (Step, bool) {
		v.Settled = true
		return Next(l, v)
	}
	expectViolation(t, setting{4, 1}, rules{next: next}, runningRemoved)
}
