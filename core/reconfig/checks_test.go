package reconfig

import (
	"heatherway.dev/core/raft"
)

// Violations that variants of the decision must cause.
const (
	tooFewVoters   = "a removal leaves too few voters"
	noLeader       = "no leader although few enough disks were lost"
	runningRemoved = "a removal hits a voter that answers"
	fewerLosses    = "a change leaves fewer losses to bear"
	noMajority     = "the next loss leaves no majority"
	dataLost       = "the next loss leaves no disk with everything acknowledged"
	dataBehind     = "the next loss leaves no majority that holds everything acknowledged"
	newVoterNeeded = "a promotion makes the group need the new voter and no removal follows"
)

// checkChange checks a change against the invariants of the package. votersBefore and
// bearableBefore are the numbers before the change.
func (w *world) checkChange(s Step, votersBefore, bearableBefore int) {
	if w.rules.onlyPromise {
		return
	}
	if s.Change.Kind == raft.Remove && w.answers(changedMember(s.Change)) && !w.unnoticed(s.Change) {
		w.fail("%s: %s", runningRemoved, describe(s))
	}
	if voters := w.voters(); s.Change.Kind == raft.Remove && voters < votersBefore && voters < w.limits.minVoters() {
		w.fail("%s: %s", tooFewVoters, describe(s))
	}
	if after := w.bearable(); after < bearableBefore && !w.unnoticed(s.Change) {
		w.fail("%s: %s, %d, before %d", fewerLosses, describe(s), after, bearableBefore)
	}
	w.checkExposure(s)
}

// exposure is a promotion with a voter silent, after which the loss of the new voter leaves
// fewer losses to bear than it did before.
type exposure struct {
	voter int
	floor int
	// heard are the voters that were not silent.
	heard [maxInstances]bool
}

// checkExposure checks that the next decision of the leader removes a voter after such a
// promotion. The readmission of a voter whose disk is gone does so too.
func (w *world) checkExposure(s Step) {
	if s.Change.Kind != raft.Remove && s.Reason != EmptyDisk {
		w.checkNotExposed()
	}
	w.exposure.voter = noInstance
	if s.Change.Kind != raft.Promote {
		return
	}
	promoted := changedMember(s.Change).instance
	voters, others := w.countVoters(func(m member) bool { return m.instance != promoted && w.heardByLeader(m) })
	floor := min(bearable(voters-1, others), w.limits.Losses-1)
	if voters > w.limits.minVoters() && others < voters-1 && bearable(voters, others) < floor {
		w.exposure = exposure{voter: promoted, floor: floor}
		for _, m := range w.members {
			w.exposure.heard[m.instance] = w.heardByLeader(m)
		}
	}
}

// checkNotExposed ends an exposure. It lets one pass after which another voter has fallen
// silent, as that one cannot be removed yet.
func (w *world) checkNotExposed() {
	e := w.exposure
	w.exposure.voter = noInstance
	if e.voter == noInstance || w.rules.onlyPromise {
		return
	}
	for _, m := range w.members {
		if e.heard[m.instance] && !w.heardByLeader(m) {
			return
		}
	}
	voters, others := w.countVoters(func(m member) bool { return m.instance != e.voter && w.heardByLeader(m) })
	if bearable(voters, others) < e.floor {
		w.fail("%s: %s", newVoterNeeded, instanceNames[e.voter])
	}
}

func (w *world) heardByLeader(m member) bool {
	return w.silent(w.leader, m.instance, m.disk) <= w.limits.AnswerWithin
}

// unnoticed reports whether the leader could not know better: it promotes a learner that was
// lost a moment ago or while the leader was frozen, or removes a voter that is just back.
func (w *world) unnoticed(c raft.Change) bool {
	i := changedMember(c).instance
	changed := &w.instances[i]
	if c.Kind == raft.Remove {
		return !w.connected(i)
	}
	noticedBy := changed.since + w.limits.AnswerWithin + decisionTicks
	frozenMeanwhile := w.instances[w.leader].since > changed.since
	return c.Kind == raft.Promote && changed.condition != up && (w.tick <= noticedBy || frozenMeanwhile)
}

// countLostDisks notes whether more disks of members than Losses are lost. Frozen and cut
// instances still have theirs, and a voter that became a learner has lost its disk.
func (w *world) countLostDisks() {
	lost := 0
	for _, m := range w.members {
		if w.instances[m.instance].condition == gone || w.instances[m.instance].disk != m.disk {
			lost++
		}
	}
	missing := max(0, w.limits.minVoters()-w.voters())
	w.beyondLimits = w.beyondLimits || lost+missing > w.limits.Losses
}

// lost returns the number of instances that count as lost.
func (w *world) lost() int {
	n := 0
	for i := range w.instances {
		if w.countsAsLost(i) || w.tick < w.instances[i].returningUntil {
			n++
		}
	}
	return n
}

func (w *world) countsAsLost(i int) bool { return w.tick < w.instances[i].lostUntil }

// checkPromise checks that any loss of disks up to Losses, those that count as lost
// included, leaves a majority that answers and disks with everything acknowledged. Once more
// were lost than that, the promise holds again after a long calm under a leader. With
// 2*Losses+1 voters one of them can only be replaced by a promotion and a removal. The group
// needs the new voter in between, so that it counts for one decision even if it may be lost.
func (w *world) checkPromise() {
	spare := w.limits.Losses - w.lost()
	if spare < 0 || w.tick < w.promisedSince && !w.leading {
		w.promisedSince = w.tick + 2*catchupTicks
	}
	if w.tick < w.promisedSince {
		return
	}
	if spare == w.limits.Losses {
		w.checked++
	}
	reliable := func(m member) bool {
		return w.answers(m) && (!w.countsAsLost(m.instance) || m.instance == w.justPromoted)
	}
	holds := func(m member) bool { return reliable(m) && w.instances[m.instance].holds == w.acknowledged }
	voters, left := w.countVoters(reliable)
	_, holding := w.countVoters(holds)
	switch {
	case bearable(voters, left) < spare:
		w.fail("%s: %d voters, %d answer, %d may be lost", noMajority, voters, left, spare)
	case holding <= spare:
		w.fail("%s: %d hold it, %d may be lost", dataLost, holding, spare)
	case w.tick >= w.lastReturn+catchupTicks && w.leading && bearable(voters, holding) < spare:
		w.fail("%s: %d voters, %d hold it, %d may be lost", dataBehind, voters, holding, spare)
	}
}

// checkRejoined checks that an instance that was frozen or cut off is a voter again in time.
func (w *world) checkRejoined() {
	for i := range w.instances {
		a := &w.instances[i]
		if a.condition != up || w.tick < w.promisedSince {
			a.rejoinBy = never
		}
		if w.tick < a.rejoinBy {
			continue
		}
		a.rejoinBy = never
		if !w.isVoter(i) {
			w.fail("%s has returned and is no voter", instanceNames[i])
		}
	}
}

func (w *world) isVoter(i int) bool {
	for _, m := range w.members {
		if m.instance == i && m.disk == w.instances[i].disk {
			return !m.learner
		}
	}
	return false
}

// checkFixedPoint checks that nothing changes any more.
func (w *world) checkFixedPoint() {
	changes := w.changes
	for range 2 * identityTicks / decisionTicks {
		w.step()
	}
	if w.changes != changes {
		w.fail("%d changes after everything was settled", w.changes-changes)
	}
}
