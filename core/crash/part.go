package crash

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// A part of a prompt, such as an instruction or a document that many requests share, may
// crash each upstream that begins to write an answer on it. Parts are tracked like
// requests, under a key of their own, so that they are exchanged, saved, expired and
// cleared like them. Their verdict differs: the parts of a crashed run are all suspects,
// and most of them are sound.

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
	// settlingDelay is the time between a crash and a verdict that rests on it. Sound
	// runs with the part that began after the crash, and reports of other gateways, arrive
	// within it.
	settlingDelay = time.Second
	// proofTolerance is the difference up to which two proofs are treated as simultaneous.
	// Entries carry ages, so the time of a proof shifts by the delay of each message.
	proofTolerance = 250 * time.Millisecond
	// proofMargin is the difference of the times of two proofs that tells the parts apart.
	// Parts that are in few requests are proved seldom, and their last proof is older by
	// chance.
	proofMargin = 20 * time.Second
	// partRetention is how long crashes count against a part once there are partThreshold
	// of them. It exceeds the longest wait for a trial, since a part is not to be
	// forgotten before its next trial. A deadly part that is forgotten costs servers again.
	partRetention = 6 * time.Hour
	// firstProbeDelay is the time after a probe of an undecided part until the next one,
	// doubled with each. Prefill, the first events or a crash, and its report take about as
	// long.
	firstProbeDelay = 2500 * time.Millisecond
	// contestedProbeDelay is how long after the last crash a request with two contested
	// parts may run as a probe; each further one adds as much.
	contestedProbeDelay = 1500 * time.Millisecond
	// contestedAskPeriod is how long a request for a trial takes precedence over those for
	// requests with more contested parts, which have the deadly one more often.
	contestedAskPeriod = 6 * time.Second
	// contestedTrialDelay replaces firstTrialDelay for the first maxContestedTrials runs of
	// requests with two contested parts.
	contestedTrialDelay = 2500 * time.Millisecond
	maxContestedTrials  = 2
	// partTrialFactor multiplies the wait for a trial of a part with each run since the
	// fifth crash: after 10 s, 80 s and 11 min. A blocked part gets maxLatePartRuns in all,
	// however long requests with it arrive, since each costs an upstream.
	partTrialFactor = 8
	maxLatePartRuns = 3
	// maxKeptTrials limits the late trials that are kept of a contested part, whose number
	// is limited by their waits only.
	maxKeptTrials = 8
	// toleratedCrashes is the number of crashes after which the platform counts runs as
	// late. Runs that break off within inFlightTime after it may have started before.
	toleratedCrashes = 5
	inFlightTime     = 6 * time.Second
	// lateGrantTime is how long after the last tolerated crash a granted run counts as late.
	// The crash of a silent upstream is found a second or two after it.
	lateGrantTime = time.Second
	// trialAskInterval is the least time between two requests of one gateway to the leader
	// for a trial of one part.
	trialAskInterval = 300 * time.Millisecond
	// maxProofs limits the parts of which one generation of proofTimes holds the last
	// proof, at about 100 bytes each.
	maxProofs = 4096
	// decisionLifetime limits the age of a decision that is reused while the tracker has
	// not changed. A delay may have passed since.
	decisionLifetime = 50 * time.Millisecond
	// crowdedLifetime is the age up to which a decision on more than manySuspects is reused
	// even if the tracker has changed: with a full tracker it takes up to 7 ms.
	crowdedLifetime = 20 * time.Millisecond
	manySuspects    = 16
	// maxDecisionChanges limits the changes of decisions that wait to be logged.
	maxDecisionChanges = 64
)

// partPrefix distinguishes the keys of parts from fingerprints, which are hexadecimal.
const partPrefix = "part:"

// PartKey returns the key under which a part of prompts is tracked, whatever the
// organisation, route or service of the request that contains it.
func PartKey(id string) string { return partPrefix + id }

// IsPart reports whether a key belongs to a part of prompts.
func IsPart(key string) bool { return strings.HasPrefix(key, partPrefix) }

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

// PartInterrupted records that a run of a request with a part was interrupted. depth is
// the position of the part in the prompt. It reports whether this was new information.
func (t *Tracker) PartInterrupted(now time.Time, r Run, depth int, outcome Outcome) bool {
	return t.record(now, now, Entry{Run: r, Outcome: outcome, Depth: depth})
}

// PartProved records that a run with a part began to answer at the given time and went on.
// Crashes before that time were not caused by the part. It reports whether the entries of
// the part have changed.
func (t *Tracker) PartProved(at time.Time, key string) bool {
	t.proofs.add(key, at)
	req := t.requests[key]
	if req == nil || len(req.runs) == 0 {
		return false
	}
	if at.Sub(req.clearedAt) <= proofTolerance && !slices.ContainsFunc(req.runs, func(r *trackedRun) bool { return !r.interruptedAt.After(at) }) {
		return false
	}
	return t.clear(at, req)
}

// TakeUnsharedProofs returns the parts whose last proof, known to this tracker alone,
// answers a crash that another tracker has reported. The caller has to report them.
func (t *Tracker) TakeUnsharedProofs() (keys []string) {
	for key := range t.unsharedProofs {
		keys = append(keys, key)
	}
	clear(t.unsharedProofs)
	return keys
}

// recallProof enters the last proof of a part that is about to be recorded.
func (t *Tracker) recallProof(key string) {
	at, known := t.proofs.get(key)
	if !known {
		return
	}
	if req := t.ensureRequest(key); at.Sub(req.clearedAt) > proofTolerance && t.clear(at, req) {
		t.unsharedProofs[key] = true
	}
}

// mergeProof merges the proof of another tracker. A proof that was reported before
// returns slightly later and is ignored.
func (t *Tracker) mergeProof(at time.Time, req *trackedRequest) bool {
	return at.Sub(req.clearedAt) > proofTolerance && t.clear(at, req)
}

// proofTimes holds the time of the last proof of the parts that were proved recently. It
// keeps two generations: parts that are proved often are always in the current one.
type proofTimes struct{ current, previous map[string]time.Time }

func (p *proofTimes) get(key string) (at time.Time, known bool) {
	if at, known = p.current[key]; !known {
		at, known = p.previous[key]
	}
	return at, known
}

func (p *proofTimes) add(key string, at time.Time) {
	if before, known := p.get(key); known && before.After(at) {
		at = before
	}
	if len(p.current) >= maxProofs {
		p.previous, p.current = p.current, nil
	}
	if p.current == nil {
		p.current = map[string]time.Time{}
	}
	p.current[key] = at
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

// separateFailureTimes returns when each of the separate failures began that the crashes
// belong to.
func separateFailureTimes(crashes []*trackedRun) (times []time.Time) {
	for _, r := range crashes {
		if len(times) == 0 || r.interruptedAt.Sub(times[len(times)-1]) > partFailureWindow {
			times = append(times, r.interruptedAt)
		}
	}
	return times
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
	failures := separateFailureTimes(p.crashes)
	d.Failures = len(failures)
	if d.Failures >= minPartFailures && d.Confirmed >= minPartConfirmed && now.Sub(failures[minPartFailures-1]) >= settlingDelay {
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
		return len(separateFailureTimes(p.without(incarnations(rivals)))) < minPartFailures
	}
	if len(separateFailureTimes(p.crashes)) <= minPartFailures {
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
				if len(separateFailureTimes(p.crashes)) < minPartFailures {
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

// noteDecisionChanges collects the differences to the previous decisions.
func (t *Tracker) noteDecisionChanges(decisions map[string]PartDecision) {
	for key, d := range decisions {
		if t.decisions[key].Verdict != d.Verdict && len(t.decisionChanges) < maxDecisionChanges {
			t.decisionChanges = append(t.decisionChanges, d)
		}
	}
	for key := range t.decisions {
		if _, held := decisions[key]; !held && len(t.decisionChanges) < maxDecisionChanges {
			t.decisionChanges = append(t.decisionChanges, PartDecision{Key: key})
		}
	}
}

// retainParts decides for each part whether its crashes are kept for partRetention.
func (t *Tracker) retainParts(now time.Time) {
	for _, req := range t.requests {
		if !req.part {
			continue
		}
		ended := 0
		for _, r := range req.runs {
			if r.outcome == UpstreamEnded && !r.expired(now) {
				ended++
			}
		}
		for _, r := range req.runs {
			r.keptLong = ended >= partThreshold
		}
	}
}

// AllowTrials reports whether a request may run once although its keys, a fingerprint or
// parts, are held, and records the trial. A single process answers for the whole fleet.
func (t *Tracker) AllowTrials(now time.Time, keys []string) bool {
	if !t.allTrialsDue(now, keys) || !t.takesPrecedence(now, keys) {
		return false
	}
	if t.countContested(now, keys) > 0 {
		if t.probeRuns(now) {
			return false
		}
		t.lastProbe, t.lastProbeAt = keys, now
	}
	for _, key := range keys {
		req := t.ensureRequest(key)
		req.lastTrial = now
		crashes := req.crashes(now)
		switch {
		case !req.part:
			req.trialCount++
		case len(crashes) >= toleratedCrashes && now.Sub(crashes[toleratedCrashes-1].interruptedAt) > lateGrantTime:
			t.addTrial(now, req)
		}
		req.probeCount++
	}
	t.trim(now)
	return true
}

// addTrial records a late trial of a part. It reports whether it was not known.
func (t *Tracker) addTrial(at time.Time, req *trackedRequest) bool {
	known := func(other time.Time) bool { return other.Sub(at).Abs() <= proofTolerance }
	if !at.After(req.clearedAt) || len(req.trials) >= maxKeptTrials || slices.ContainsFunc(req.trials, known) {
		return false
	}
	req.trials = append(req.trials, at)
	if at.After(req.lastTrial) {
		req.lastTrial = at
	}
	t.lastChange++
	req.trialsChange = t.lastChange
	return true
}

// TrialDue reports whether to ask for a trial of a request that is held for its keys, and
// limits how often that is done. A trial is lost if no upstream can take the request now.
func (t *Tracker) TrialDue(now time.Time, keys []string, placeable bool) bool {
	if !t.allTrialsDue(now, keys) || !t.takesPrecedence(now, keys) || !placeable {
		return false
	}
	for _, key := range keys {
		if req := t.requests[key]; req != nil && req.part {
			if now.Sub(req.lastAsked) < trialAskInterval {
				return false
			}
			req.lastAsked = now
		}
	}
	for _, key := range keys {
		if req := t.requests[key]; req != nil && !req.part {
			req.lastTrial = now
			req.trialCount++
		}
	}
	return true
}

// takesPrecedence notes that a request held for the keys asks for a trial, and reports
// whether none with fewer contested parts has asked for contestedAskPeriod.
func (t *Tracker) takesPrecedence(now time.Time, keys []string) bool {
	contested := min(t.countContested(now, keys), len(t.contestedAsks)-1)
	if contested == 0 {
		return true
	}
	t.contestedAsks[contested] = now
	return !slices.ContainsFunc(t.contestedAsks[:contested], func(at time.Time) bool { return now.Sub(at) < contestedAskPeriod })
}

// probeRuns reports whether the last probe of contested parts may still run. A second one
// might be broken by the crash of the first.
func (t *Tracker) probeRuns(now time.Time) bool {
	return now.Sub(t.lastProbeAt) < firstProbeDelay && t.countContested(now, t.lastProbe) > 0
}

// allTrialsDue reports whether a trial is due for each key. A run with a single contested
// part tells whether it is the cause. With several, it has to wait as with a blocked part,
// or less if the upstreams may not have ended.
func (t *Tracker) allTrialsDue(now time.Time, keys []string) bool {
	decisions, contested := t.decideParts(now), t.countContested(now, keys)
	for _, key := range keys {
		if IsPart(key) && !t.partTrialDue(now, key, decisions[key], contested) || !IsPart(key) && !t.trialDue(now, key) {
			return false
		}
	}
	return len(keys) > 0
}

// countContested returns the number of contested parts among the keys.
func (t *Tracker) countContested(now time.Time, keys []string) (n int) {
	decisions := t.decideParts(now)
	for _, key := range keys {
		if decisions[key].Contested {
			n++
		}
	}
	return n
}

// lateRuns returns the number of runs of a part since the last tolerated crash: trials that
// were granted, or runs that have broken off, which gateways may have granted themselves.
func (req *trackedRequest) lateRuns(crashes []*trackedRun) int {
	n := 0
	for _, r := range crashes[min(toleratedCrashes, len(crashes)):] {
		if r.interruptedAt.Sub(crashes[toleratedCrashes-1].interruptedAt) > inFlightTime {
			n++
		}
	}
	return max(n, len(req.trials))
}

// partTrialDue reports whether a held part may run once. A part that this tracker does not
// hold may be held by the process that asks.
func (t *Tracker) partTrialDue(now time.Time, key string, d PartDecision, contested int) bool {
	req := t.requests[key]
	if req == nil {
		return true
	}
	crashes := req.crashes(now)
	late := req.lateRuns(crashes)
	if d.Verdict == Blocked && late >= maxLatePartRuns {
		return false
	}
	var last time.Time
	if len(crashes) > 0 {
		last = crashes[len(crashes)-1].interruptedAt
	}
	wait := firstTrialDelay
	if d.Verdict != Blocked && late < maxLatePartRuns && (contested < 2 || d.Confirmed < minPartConfirmed) {
		return now.Sub(last) >= time.Duration(contested-1)*contestedProbeDelay &&
			(req.lastTrial.IsZero() || now.Sub(req.lastTrial) >= firstProbeDelay<<min(max(req.probeCount-1, 0), maxLatePartRuns))
	} else if contested == 2 && late < maxContestedTrials {
		wait = contestedTrialDelay
	}
	for range min(late, maxLatePartRuns) {
		wait *= partTrialFactor
	}
	return now.Sub(last) >= wait && now.Sub(req.lastTrial) >= wait
}
