package crash

import (
	"math"
	"slices"
	"time"
)

// This file limits the runs of held requests: trials, and probes of undecided parts.

const (
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
	// contestedTrialDelay is the wait for the first trial of requests with two contested
	// parts, twice as long for the next, up to maxContestedTrials. Sound requests may have
	// both parts.
	contestedTrialDelay = 2500 * time.Millisecond
	maxContestedTrials  = 2
	// lastContestedTrialDelay is the least wait for the last late run of a contested part. A
	// part that turns out to be deadly has none for repairedPartDelay after it.
	lastContestedTrialDelay = firstTrialDelay * partTrialFactor
	// partTrialFactor multiplies the wait for a trial of a part with each run since the
	// fifth crash: after 10 s, 80 s and 11 min. A blocked part gets maxLatePartRuns, since each
	// costs an upstream. While requests with it arrive, it gets a further one after each
	// repairedPartDelay: it may have been repaired.
	partTrialFactor   = 8
	maxLatePartRuns   = 3
	repairedPartDelay = 24 * time.Hour
	// maxKeptTrials limits the late trials that are kept of a contested part, whose number
	// is limited by their waits only.
	maxKeptTrials = 8
	// toleratedCrashes is the number of crashes after which the platform counts runs as
	// late. Runs that break off within inFlightTime after it may have started before.
	toleratedCrashes = 5
	inFlightTime     = 6 * time.Second
	// maxTrialTime is the longest time from a trial to its crash. A crash without a trial
	// before it is a run of its own, whose trial this process does not know.
	maxTrialTime = time.Minute
	// lateGrantTime is how long after the last tolerated crash a granted run counts as late.
	// The crash of a silent upstream is found a second or two after it.
	lateGrantTime = time.Second
	// maxTimeWithoutLeader is how long after the last crash a process without a leader grants
	// itself no late run. Control instances that have restarted lead sooner, and a part that is
	// held for upstreams which nobody knows to have ended is free by then.
	maxTimeWithoutLeader = interruptedRetention
	// trialAskInterval is the least time between two requests of one gateway to the leader
	// for a trial of one part.
	trialAskInterval = 300 * time.Millisecond
)

// AllowTrials reports whether a request may run once although its keys, a fingerprint or
// parts, are held, and records the trial. A single process answers for the whole fleet.
func (t *Tracker) AllowTrials(now time.Time, keys []string) bool {
	if !t.allTrialsDue(now, keys) || !t.takesPrecedence(now, keys) || t.mustAwaitLeader(now, keys) {
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
			t.addTrial(wholeMillisecond(now), req)
		}
		req.probeCount++
	}
	t.trim(now)
	return true
}

// mustAwaitLeader reports whether a process that has asked the leader for a trial of one of
// the keys, and grants it to itself since none answers, has to wait for one. Processes that
// do so do not know of each other, and each late run of a deadly part ends an upstream.
// After a single failure that is not known to have ended an upstream the process may have
// been cut off from all of them, and it waits for partFailureWindow only.
func (t *Tracker) mustAwaitLeader(now time.Time, keys []string) bool {
	return slices.ContainsFunc(keys, func(key string) bool {
		req := t.requests[key]
		if req == nil || !req.part || req.lastAsked.IsZero() {
			return false
		}
		crashes := req.crashes(now)
		if len(crashes) < toleratedCrashes {
			return false
		}
		wait := maxTimeWithoutLeader
		if ended := func(r *trackedRun) bool { return r.outcome == UpstreamEnded }; !slices.ContainsFunc(crashes, ended) && len(separateFailures(crashes)) < minPartFailures {
			wait = partFailureWindow
		}
		return now.Sub(crashes[len(crashes)-1].interruptedAt) < wait
	})
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
	together, likelySound := t.lateRunsTogether(now, keys), t.likelySound(now, keys)
	if contested > 1 && together >= maxLatePartRuns {
		return false
	}
	for _, key := range keys {
		if d := decisions[key]; likelySound && d.Contested && d.Confirmed >= minPartConfirmed && t.requests[key].likelySoundTrialDue(now) {
			continue
		}
		if IsPart(key) && !t.partTrialDue(now, key, decisions[key], contested, together) || !IsPart(key) && !t.trialDue(now, key) {
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

// likelySound reports whether each contested part among the keys has been proved clearly later
// than a contested part that is not among them, which causes the crashes more likely.
func (t *Tracker) likelySound(now time.Time, keys []string) bool {
	decisions, contested := t.decideParts(now), t.countContested(now, keys)
	var oldest time.Time
	found := false
	for key, d := range decisions {
		if d.Contested && !slices.Contains(keys, key) && (!found || d.ProvedAt.Before(oldest)) {
			oldest, found = d.ProvedAt, true
		}
	}
	return found && contested > 1 && !slices.ContainsFunc(keys, func(key string) bool {
		return decisions[key].Contested && decisions[key].ProvedAt.Sub(oldest) <= proofMargin
	})
}

// likelySoundTrialDue reports whether a contested part that is likely sound may run once. Only
// granted runs count: those that broke off beside a deadly part would hold the part for good.
func (req *trackedRequest) likelySoundTrialDue(now time.Time) bool {
	last := req.lastTrial
	if crashes := req.crashes(now); len(crashes) > 0 {
		last = latest(last, crashes[len(crashes)-1].interruptedAt)
	}
	return len(req.trials) < maxLatePartRuns && now.Sub(last) >= contestedTrialDelay<<len(req.trials)
}

// lateRuns returns the number of runs of a part since the last tolerated crash: trials that
// were granted, or runs that have broken off, which gateways may have granted themselves.
// The trials of a contested part count only if they broke off, also within inFlightTime: the
// other part may have spoilt them.
func (req *trackedRequest) lateRuns(crashes []*trackedRun, contested bool) int {
	n, trials := 0, slices.SortedFunc(slices.Values(req.trials), time.Time.Compare)
	for _, r := range crashes[min(toleratedCrashes, len(crashes)):] {
		granted := slices.IndexFunc(trials, func(at time.Time) bool {
			return r.interruptedAt.Sub(at) >= -proofTolerance && r.interruptedAt.Sub(at) <= maxTrialTime
		})
		switch {
		case granted >= 0:
			trials = slices.Delete(trials, granted, granted+1) // this run was that trial
			if contested {
				n++
			}
		case r.interruptedAt.Sub(crashes[toleratedCrashes-1].interruptedAt) > inFlightTime:
			n++
		}
	}
	if contested {
		return n
	}
	return n + len(req.trials)
}

// lateRunsTogether returns the least number of late runs, trials included, of a contested part
// among the keys. Parts that always come together have the same number, while a sound part
// beside several deadly ones has more.
func (t *Tracker) lateRunsTogether(now time.Time, keys []string) int {
	decisions, least := t.decideParts(now), math.MaxInt
	for _, key := range keys {
		if req := t.requests[key]; req != nil && decisions[key].Contested {
			least = min(least, req.lateRuns(req.crashes(now), false))
		}
	}
	return least
}

// partTrialDue reports whether a held part may run once. A part that this tracker does not
// hold may be held by the process that asks.
func (t *Tracker) partTrialDue(now time.Time, key string, d PartDecision, contested, together int) bool {
	req := t.requests[key]
	if req == nil {
		return true
	}
	crashes := req.crashes(now)
	late := req.lateRuns(crashes, d.Contested)
	var last time.Time
	if len(crashes) > 0 {
		last = crashes[len(crashes)-1].interruptedAt
	}
	if d.Verdict == Blocked && late >= maxLatePartRuns {
		return now.Sub(last) >= repairedPartDelay && now.Sub(req.lastTrial) >= repairedPartDelay
	}
	if d.Verdict != Blocked && late < maxLatePartRuns && (contested < 2 || d.Confirmed < minPartConfirmed) {
		return now.Sub(last) >= time.Duration(contested-1)*contestedProbeDelay &&
			(req.lastTrial.IsZero() || now.Sub(req.lastTrial) >= firstProbeDelay<<min(max(req.probeCount-1, 0), maxLatePartRuns))
	}
	wait := firstTrialDelay
	for range min(late, maxLatePartRuns) {
		wait *= partTrialFactor
	}
	if all := req.lateRuns(crashes, false); all == maxLatePartRuns-1 {
		wait = max(wait, lastContestedTrialDelay)
	} else if contested == 2 && max(late, together) < maxContestedTrials {
		wait = contestedTrialDelay << late
	}
	return now.Sub(last) >= wait && now.Sub(req.lastTrial) >= wait
}
