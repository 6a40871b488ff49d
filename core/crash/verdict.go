package crash

import (
	"slices"
	"time"
)

// Verdict tells whether a request may run.
type Verdict uint8

// The verdicts.
const (
	// Free requests may run.
	Free Verdict = iota
	// Undecided requests broke off so often that they are blocked if the upstreams have
	// ended. The news is due.
	Undecided
	// Blocked requests must not run again.
	Blocked
)

// String returns the name used in logs.
func (v Verdict) String() string { return [...]string{"free", "undecided", "blocked"}[min(v, Blocked)] }

// limit is the weight from which on a request is blocked.
const limit = Threshold * FullWeight

// weights sums up the runs whose upstreams have ended, and those without news.
func (q *request) weights(now time.Time) (ended, open int) {
	for _, r := range q.runs {
		switch {
		case !r.counts(now):
		case r.outcome == Ended:
			ended += r.weight()
		default:
			open += r.weight()
		}
	}
	return ended, open
}

// Verdict decides about a request.
func (l *Ledger) Verdict(now time.Time, fingerprint string) Verdict {
	q := l.requests[fingerprint]
	if q == nil {
		return Free
	}
	switch ended, open := q.weights(now); {
	case ended >= limit:
		return Blocked
	case ended+open >= limit:
		return Undecided
	}
	return Free
}

const (
	// firstTrial is the time after its last run at which a blocked request may run once
	// more, since several copies of a popular request may have met one failure of all
	// upstreams. Each further failure multiplies it by trialFactor.
	firstTrial  = 10 * time.Second
	trialFactor = 4
	// momentTime separates failures; upstreams that end within it may have failed
	// together.
	momentTime = 2 * time.Second
)

// Trial tells whether a blocked request may run once more, and notes that it does. One
// process asks for the whole fleet.
func (l *Ledger) Trial(now time.Time, fingerprint string) bool {
	q := l.requests[fingerprint]
	if q == nil || l.Verdict(now, fingerprint) != Blocked || now.Before(q.trialDue(now)) {
		return false
	}
	q.trial = now
	return true
}

// trialDue is when the next trial may run: the longer after the last run, the more
// failures the request has met.
func (q *request) trialDue(now time.Time) time.Time {
	var times []time.Time
	for _, r := range q.runs {
		if r.counts(now) {
			times = append(times, r.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	wait, last := firstTrial, q.trial
	for i, at := range times {
		if i > 0 && at.Sub(times[i-1]) > momentTime {
			wait = min(wait*trialFactor, blockTime)
		}
		if at.After(last) {
			last = at
		}
	}
	return last.Add(wait)
}
