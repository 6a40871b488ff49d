package crash

import (
	"slices"
	"time"
)

// Verdict is the decision whether a request may run.
type Verdict uint8

// The verdicts.
const (
	// Allowed requests may run.
	Allowed Verdict = iota
	// Undecided requests were interrupted so often that they are blocked if the upstreams
	// have ended, which is not known yet.
	Undecided
	// Blocked requests must not run again.
	Blocked
)

// String returns the name used in logs.
func (v Verdict) String() string { return [...]string{"free", "undecided", "blocked"}[min(v, Blocked)] }

// blockWeight is the total weight at which a request is blocked.
const blockWeight = BlockThreshold * FullWeight

// weights returns the total weight of the runs whose upstreams have ended, and of those
// whose upstreams may have ended.
func (req *trackedRequest) weights(now time.Time) (ended, undecided int) {
	for _, r := range req.runs {
		switch {
		case !r.countsAgainst(now):
		case r.outcome == UpstreamEnded:
			ended += r.weight()
		default:
			undecided += r.weight()
		}
	}
	return ended, undecided
}

// Verdict decides whether a request, or requests with a part, may run.
func (t *Tracker) Verdict(now time.Time, fingerprint string) Verdict {
	if IsPart(fingerprint) {
		return t.decideParts(now)[fingerprint].Verdict
	}
	req := t.requests[fingerprint]
	if req == nil {
		return Allowed
	}
	switch ended, undecided := req.weights(now); {
	case ended >= blockWeight:
		return Blocked
	case ended+undecided >= blockWeight:
		return Undecided
	}
	return Allowed
}

const (
	// firstTrialDelay is how long after its last run a blocked request may run once more,
	// since several copies of a popular request may have been hit by one failure of all
	// upstreams. After a further failure the delay is multiplied by trialDelayFactor.
	firstTrialDelay  = 10 * time.Second
	trialDelayFactor = 4
	// separateFailureGap separates failures: upstreams that end within it are counted as one
	// failure.
	separateFailureGap = 2 * time.Second
	// maxUnrelatedFailures is the number of separate failures that may hit a request which
	// did not cause them. A request hit by more gets no trial.
	maxUnrelatedFailures = 2
	// maxLaterRuns is the number of runs, trials included, that a blocked request may have
	// had since the failure that blocked it and still get a trial.
	maxLaterRuns = 1
)

// AllowTrial reports whether a blocked request may run once more, and records the trial. A
// single process answers for the whole fleet.
func (t *Tracker) AllowTrial(now time.Time, fingerprint string) bool {
	return t.AllowTrials(now, []string{fingerprint})
}

// trialDue reports whether a blocked request may run once more.
func (t *Tracker) trialDue(now time.Time, fingerprint string) bool {
	req := t.requests[fingerprint]
	if req == nil || t.Verdict(now, fingerprint) != Blocked {
		return false
	}
	failures, laterRuns, lastInterrupted := req.separateFailures(now)
	wait := firstTrialDelay
	if failures == maxUnrelatedFailures {
		wait *= trialDelayFactor
	}
	return failures <= maxUnrelatedFailures && max(laterRuns, req.trialCount) <= maxLaterRuns && now.Sub(lastInterrupted) >= wait && now.Sub(req.lastTrial) >= wait
}

// separateFailures returns how many separate failures of upstreams the request was hit by,
// how many runs were interrupted after the failure that blocked it, and when the last one
// was.
func (req *trackedRequest) separateFailures(now time.Time) (count, laterRuns int, lastInterrupted time.Time) {
	var times []time.Time
	for _, r := range req.runs {
		if r.countsAgainst(now) {
			times = append(times, r.interruptedAt)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	for i, at := range times {
		if count == 0 || at.Sub(lastInterrupted) > separateFailureGap {
			count++
		}
		if i >= BlockThreshold && at.Sub(times[BlockThreshold-1]) > separateFailureGap {
			laterRuns++
		}
		lastInterrupted = at
	}
	return count, laterRuns, lastInterrupted
}
