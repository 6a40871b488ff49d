package crash

import (
	"cmp"
	"slices"
	"time"
)

// This file decides which parts of prompts caused the crashes.

const (
	// partThreshold is the number of incarnations that must have crashed on a part since
	// it was last proved sound. The platform tolerates five.
	partThreshold = 4
	// minPartFailures is the number of separate failures that they must belong to before
	// the part is blocked, and minPartConfirmed the number of them that are known to have
	// ended. One failure of a zone or of the network breaks many runs with a common part
	// at once, and a gateway that was cut off breaks runs of upstreams that live on.
	minPartFailures  = 2
	minPartConfirmed = 2
	// minExplainedShare divides the crashes of a part; another one that may have caused
	// them instead must share at least the quotient.
	minExplainedShare = 6
	// partFailureWindow is the time within which crashes are treated as one failure. The
	// part that is in most requests is hit by all runs that a failure breaks, and the last
	// of them may be found silent seconds after the first.
	partFailureWindow = 2500 * time.Millisecond
	// repeatedPercent is the least share of upstreams that two losses of all upstreams have in
	// common. Some had no run with the part at one of them, or had not returned.
	repeatedPercent = 75
	// settlingDelay is the time between a crash and a verdict that rests on it. Sound
	// runs with the part that began after the crash, and reports of other gateways, arrive
	// within it.
	settlingDelay = time.Second
	// proofMargin is the difference of the times of two proofs that tells the parts apart.
	// Parts that are in few requests are proved seldom, and their last proof is older by
	// chance.
	proofMargin = 20 * time.Second
	// decisionLifetime limits the age of a decision that is reused while the tracker has
	// not changed. A delay may have passed since.
	decisionLifetime = 50 * time.Millisecond
	// crowdedLifetime is the age up to which a decision on more than manySuspects is reused
	// even if the tracker has changed: with a full tracker it takes up to 7 ms.
	crowdedLifetime = 20 * time.Millisecond
	manySuspects    = 16
	// maxSuspects limits the parts that are judged, those with the most failures first. The time
	// grows with the square of their number: 900 parts without a common crash took 190 ms.
	maxSuspects = 256
	// maxDecisionChanges limits the changes of decisions that wait to be logged.
	maxDecisionChanges = 64
)

// PartDecision is the verdict on a part, with its reasons.
type PartDecision struct {
	Key     string
	Verdict Verdict
	// Crashes is the number of incarnations that crashed on the part and on no likelier
	// one since ProvedAt, Failures the number of separate failures that they belong to, and
	// Confirmed the number of them that are known to have ended.
	Crashes, Failures, Confirmed int
	// ProvedAt is when the part was last proved sound, zero if never.
	ProvedAt time.Time
	// Contested is set if other parts explain the crashes about as well. All of them are
	// undecided until runs with few of them tell which it is.
	Contested bool
}

// PartVerdict decides whether a request with the given parts may run, and returns the
// parts that forbid it.
func (t *Tracker) PartVerdict(now time.Time, keys []string) (verdict Verdict, held []string) {
	decisions := t.decideParts(now)
	if len(decisions) == 0 {
		return Allowed, nil
	}
	for _, key := range keys {
		if d, decided := decisions[key]; decided {
			verdict = max(verdict, d.Verdict)
			held = append(held, key)
			if d.Verdict == Blocked {
				t.requests[key].lastHeld = now
			}
		}
	}
	return verdict, held
}

// SuspectPartCount returns the number of parts with at least partThreshold tracked runs;
// only these can be held.
func (t *Tracker) SuspectPartCount() (n int) {
	for _, req := range t.requests {
		if req.part && len(req.runs) >= partThreshold {
			n++
		}
	}
	return n
}

// TakeDecisionChanges returns the decisions that have changed since the last call, for the
// log. A part that is no longer held has the verdict Allowed.
func (t *Tracker) TakeDecisionChanges(now time.Time) []PartDecision {
	t.decideParts(now)
	list := t.decisionChanges
	t.decisionChanges = nil
	return list
}

// incarnation identifies one start of an upstream.
type incarnation struct {
	upstream  string
	startedMS int64
}

func (r *trackedRun) incarnation() incarnation { return incarnation{r.Upstream, r.StartedMS} }

// suspectPart is a part at the threshold with its crashes in the order of time.
type suspectPart struct {
	req      *trackedRequest
	provedAt time.Time
	crashes  []*trackedRun
}

// partFailure is a failure that broke runs with a part, and its crashes.
type partFailure struct {
	at      time.Time
	crashes []*trackedRun
}

// separateFailures returns the separate failures that the crashes belong to.
func separateFailures(crashes []*trackedRun) (list []partFailure) {
	first := 0
	for i, r := range crashes {
		if i == 0 || r.interruptedAt.Sub(crashes[first].interruptedAt) > partFailureWindow {
			list, first = append(list, partFailure{at: r.interruptedAt}), i
		}
		list[len(list)-1].crashes = crashes[first : i+1]
	}
	return list
}

// addrs returns the addresses of the upstreams that the failure ended.
func (f partFailure) addrs() map[string]bool {
	m := map[string]bool{}
	for _, r := range f.crashes {
		m[r.Addr] = true
	}
	return m
}

// repeats reports whether a failure ended nearly the same upstreams, and many of them, as the
// one before. A part that is held after the first failure crashes one after another.
func (f partFailure) repeats(before partFailure) bool {
	addrs, addrsBefore := f.addrs(), before.addrs()
	same := 0
	for addr := range addrs {
		if addrsBefore[addr] {
			same++
		}
	}
	return same >= partThreshold && 100*same >= repeatedPercent*max(len(addrs), len(addrsBefore))
}

// blockingFailure returns the failure from which on the part is blocked, if there is one: the
// second, or the third if the same upstreams were lost twice.
func blockingFailure(failures []partFailure) (f partFailure, ok bool) {
	needed := minPartFailures
	if len(failures) >= needed && failures[needed-1].repeats(failures[needed-2]) {
		needed++
	}
	if len(failures) < needed {
		return f, false
	}
	return failures[needed-1], true
}

// settled reports whether the part has been at the threshold for settlingDelay.
func (p *suspectPart) settled(now time.Time) bool {
	return len(p.crashes) >= partThreshold && now.Sub(p.crashes[partThreshold-1].interruptedAt) >= settlingDelay
}

// decide returns the decision on a settled part.
func (p *suspectPart) decide(now time.Time) PartDecision {
	d := PartDecision{Key: p.req.fingerprint, Verdict: Undecided, Crashes: len(p.crashes), ProvedAt: p.provedAt}
	for _, r := range p.crashes {
		if r.outcome == UpstreamEnded {
			d.Confirmed++
		}
	}
	failures := separateFailures(p.crashes)
	d.Failures = len(failures)
	if f, ok := blockingFailure(failures); ok && d.Confirmed >= minPartConfirmed && now.Sub(f.at) >= settlingDelay {
		d.Verdict = Blocked
	}
	return d
}

// without returns the crashes that are not at the given incarnations.
func (p *suspectPart) without(explained map[incarnation]bool) []*trackedRun {
	return slices.DeleteFunc(slices.Clone(p.crashes), func(r *trackedRun) bool { return explained[r.incarnation()] })
}

// compareProofs compares the times of the last proofs of two parts. A run that proves a
// part proves the parts beside it as well, so that the part which causes crashes has the
// older proof.
func (p *suspectPart) compareProofs(other *suspectPart) int {
	switch difference := p.provedAt.Sub(other.provedAt); {
	case difference < -proofMargin:
		return -1
	case difference > proofMargin:
		return 1
	}
	return 0
}

// rivals returns the suspects that may have caused the crashes of the part instead.
func (p *suspectPart) rivals(suspects []*suspectPart) (list []*suspectPart) {
	own := incarnations([]*suspectPart{p})
	for _, other := range suspects {
		if other == p || other.compareProofs(p) > 0 {
			continue
		}
		shared := 0
		for _, r := range other.crashes {
			if own[r.incarnation()] {
				shared++
			}
		}
		if shared*minExplainedShare >= len(p.crashes) {
			list = append(list, other)
		}
	}
	return list
}

// explainedBy reports whether rivals explain the crashes of the part but for those of one
// failure. After a third failure only a single rival does: several parts that fail in turn,
// while no run proves the part that they share, are unlikely.
func (p *suspectPart) explainedBy(rivals []*suspectPart) bool {
	explained := func(rivals []*suspectPart) bool {
		return len(separateFailures(p.without(incarnations(rivals)))) < minPartFailures
	}
	if len(separateFailures(p.crashes)) <= minPartFailures {
		return len(rivals) > 0 && explained(rivals)
	}
	return slices.ContainsFunc(rivals, func(r *suspectPart) bool { return explained([]*suspectPart{r}) })
}

// sortByCrashes puts the part with the most crashes first.
func sortByCrashes(suspects []*suspectPart) {
	slices.SortFunc(suspects, func(a, b *suspectPart) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), a.provedAt.Compare(b.provedAt),
			cmp.Compare(b.req.depth, a.req.depth), cmp.Compare(a.req.fingerprint, b.req.fingerprint))
	})
}

// incarnations returns the incarnations at which one of the parts crashed.
func incarnations(parts []*suspectPart) map[incarnation]bool {
	m := map[incarnation]bool{}
	for _, p := range parts {
		for _, r := range p.crashes {
			m[r.incarnation()] = true
		}
	}
	return m
}

// decideParts finds the parts that explain the crashes: first the one with the most
// crashes, then the one with the most that the first does not explain, and so on. The
// decisions are derived from the runs each time, so that a wrong choice is corrected by
// further evidence.
func (t *Tracker) decideParts(now time.Time) map[string]PartDecision {
	age := now.Sub(t.decidedAt).Abs()
	if t.decisions != nil && (t.decidedChange == t.lastChange && age < decisionLifetime || t.decidedSuspects > manySuspects && age < crowdedLifetime) {
		return t.decisions
	}
	t.retainParts(now)
	var suspects []*suspectPart
	for _, req := range t.requests {
		if p := t.suspectPart(now, req); p != nil {
			suspects = append(suspects, p)
		}
	}
	suspects = limitSuspects(suspects)
	t.decidedSuspects = len(suspects)
	decisions := map[string]PartDecision{}
	for len(suspects) > 0 {
		sortByCrashes(suspects)
		widest := suspects[0]
		chosen, contested := []*suspectPart{widest}, false
		if rivals := widest.rivals(suspects); widest.explainedBy(rivals) {
			chosen, contested = append(chosen, rivals...), true
		}
		for _, p := range chosen {
			d := p.decide(now)
			if contested {
				d.Verdict, d.Contested = Undecided, true
			}
			decisions[d.Key] = d
		}
		explained := incarnations(chosen)
		suspects = slices.DeleteFunc(suspects, func(p *suspectPart) bool {
			before := *p
			p.crashes = p.without(explained)
			if _, decided := decisions[p.req.fingerprint]; decided || p.settled(now) {
				return decided
			}
			if d := before.decide(now); p.compareProofs(widest) <= 0 {
				if len(separateFailures(p.crashes)) < minPartFailures {
					d.Verdict, d.Contested = Undecided, true
				}
				decisions[d.Key] = d
			}
			return true
		})
	}
	t.noteDecisionChanges(decisions)
	t.decisions, t.decidedChange, t.decidedAt = decisions, t.lastChange, now
	return decisions
}

// limitSuspects returns at most maxSuspects, those with the most failures: one failure may hit
// thousands of parts of long prompts.
func limitSuspects(suspects []*suspectPart) []*suspectPart {
	if len(suspects) <= maxSuspects {
		return suspects
	}
	failures := map[*suspectPart]int{}
	for _, p := range suspects {
		failures[p] = len(separateFailures(p.crashes))
	}
	sortByCrashes(suspects)
	slices.SortStableFunc(suspects, func(a, b *suspectPart) int { return cmp.Compare(failures[b], failures[a]) })
	return suspects[:maxSuspects]
}

// suspectPart returns the part if it is settled.
func (t *Tracker) suspectPart(now time.Time, req *trackedRequest) *suspectPart {
	if !req.part || len(req.runs) < partThreshold {
		return nil
	}
	p := &suspectPart{req: req, provedAt: req.clearedAt, crashes: req.crashes(now)}
	if at, known := t.proofs.get(req.fingerprint); known && at.After(p.provedAt) {
		p.provedAt = at
	}
	if !p.settled(now) {
		return nil
	}
	return p
}

// crashes returns the runs that count against the request in the order of time.
func (req *trackedRequest) crashes(now time.Time) []*trackedRun {
	list := slices.DeleteFunc(slices.Clone(req.runs), func(r *trackedRun) bool { return !r.countsAgainst(now) })
	slices.SortFunc(list, func(a, b *trackedRun) int {
		return cmp.Or(a.interruptedAt.Compare(b.interruptedAt), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.StartedMS, b.StartedMS))
	})
	return list
}

// noteDecisionChanges collects the differences to the previous decisions, in the order of
// the keys.
func (t *Tracker) noteDecisionChanges(decisions map[string]PartDecision) {
	var changes []PartDecision
	for key, d := range decisions {
		if t.decisions[key].Verdict != d.Verdict {
			changes = append(changes, d)
		}
	}
	for key := range t.decisions {
		if _, held := decisions[key]; !held {
			changes = append(changes, PartDecision{Key: key})
		}
	}
	slices.SortFunc(changes, func(a, b PartDecision) int { return cmp.Compare(a.Key, b.Key) })
	t.decisionChanges = append(t.decisionChanges, changes[:min(len(changes), maxDecisionChanges-len(t.decisionChanges))]...)
}

// retainParts decides for each part whether its crashes are kept for partRetention. Those that
// block it are forgotten together, once neither a crash nor a request has come for that long: one
// by one, each would cost a further upstream.
func (t *Tracker) retainParts(now time.Time) {
	for _, req := range t.requests {
		if !req.part {
			continue
		}
		ended, keptFrom := 0, req.lastHeld
		for _, r := range req.runs {
			if r.outcome == UpstreamEnded && !r.expired(now) {
				ended++
				keptFrom = latest(keptFrom, r.interruptedAt)
			}
		}
		for _, r := range req.runs {
			if r.keptLong = ended >= partThreshold; r.keptLong && r.outcome == UpstreamEnded {
				r.keptFrom = keptFrom
			}
		}
	}
}
