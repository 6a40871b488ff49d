package crash

import (
	"slices"
	"time"
)

// Verdict tells whether a request may run.
type Verdict uint8

// The verdicts.
const (
	// Allowed requests may run.
	Allowed Verdict = iota
	// Undecided requests broke off so often that they are blocked if the upstreams have
	// ended. The news is due.
	Undecided
	// Blocked requests must not run again.
	Blocked
)

// String returns the name used in logs.
func (v Verdict) String() string { return [...]string{"free", "undecided", "blocked"}[min(v, Blocked)] }

// limit is the weight from which on a request is blocked.
const blockWeight = BlockThreshold * FullWeight

// weights sums up the runs whose upstreams have ended, and those without news.
func (req *trackedRequest) weights(now time.Time) (ended, open int) {
	for _, r := range req.runs {
		switch {
		case !r.countsAgainst(now):
		case r.outcome == UpstreamEnded:
			ended += r.weight()
		default:
			open += r.weight()
		}
	}
	return ended, open
}

// Verdict decides about a request.
func (t *Tracker) Verdict(now time.Time, fingerprint string) Verdict {
	req := t.requests[fingerprint]
	if req == nil {
		return Allowed
	}
	switch ended, open := req.weights(now); {
	case ended >= blockWeight:
		return Blocked
	case ended+open >= blockWeight:
		return Undecided
	}
	return Allowed
}

const (
	// firstTrial is the time after its last run at which a blocked request may run once
	// more, since several copies of a popular request may have met one failure of all
	// upstreams. A further failure multiplies it by trialDelayFactor.
	firstTrialDelay  = 10 * time.Second
	trialDelayFactor = 4
	// momentTime separates failures; upstreams that end within it may have failed
	// together.
	failureWindow = 2 * time.Second
	// chanceFailures is the number of failures that a request may have met by chance. One
	// that has met more has no trial.
	maxChanceFailures = 2
	// maxLater is the number of runs, trials among them, that a blocked request may have
	// had since the failure that blocked it and still have a trial.
	maxLaterRuns = 1
)

// AllowTrial tells whether a blocked request may run once more, and notes that it does. One
// process asks for the whole fleet.
func (t *Tracker) AllowTrial(now time.Time, fingerprint string) bool {
	req := t.requests[fingerprint]
	if req == nil || t.Verdict(now, fingerprint) != Blocked {
		return false
	}
	failures, later, last := req.failures(now)
	wait := firstTrialDelay
	if failures == maxChanceFailures {
		wait *= trialDelayFactor
	}
	if failures > maxChanceFailures || max(later, req.trialCount) > maxLaterRuns || now.Sub(last) < wait || now.Sub(req.lastTrial) < wait {
		return false
	}
	req.lastTrial = now
	req.trialCount++
	return true
}

// failures returns how often the request has met the end of upstreams, those that ended
// together counted once, how many runs ended later than the failure that would block it,
// and when the last one ended.
func (req *trackedRequest) failures(now time.Time) (n, later int, last time.Time) {
	var times []time.Time
	for _, r := range req.runs {
		if r.countsAgainst(now) {
			times = append(times, r.interruptedAt)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	for i, at := range times {
		if n == 0 || at.Sub(last) > failureWindow {
			n++
		}
		if i >= BlockThreshold && at.Sub(times[BlockThreshold-1]) > failureWindow {
			later++
		}
		last = at
	}
	return n, later, last
}
