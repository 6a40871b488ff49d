package crash

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Expire removes expired runs and requests.
func (t *Tracker) Expire(now time.Time) {
	t.retainParts(now)
	for f, req := range t.requests {
		t.removeRuns(req, func(r *trackedRun) bool { return r.expired(now) })
		if len(req.runs) == 0 && now.Sub(req.clearedAt) > req.proofRetention() && now.Sub(req.lastTrial) > crashRetention {
			delete(t.requests, f)
		}
	}
}

// proofRetention is how long a request without runs is kept after it was cleared: as long
// as another process, or a saved file, may hold crashes that happened before.
func (req *trackedRequest) proofRetention() time.Duration {
	if req.part && req.exported {
		return partRetention
	}
	return crashRetention
}

// trim removes requests and parts once a limit is exceeded: those with the lowest weight
// first, and among equals those with the oldest activity. Parts that are held go last.
func (t *Tracker) trim(now time.Time) {
	if t.runCount <= maxRuns && len(t.requests) <= maxRuns {
		return
	}
	t.Expire(now)
	all := make([]*trackedRequest, 0, len(t.requests))
	for _, req := range t.requests {
		all = append(all, req)
	}
	held := t.decideParts(now)
	rank := func(req *trackedRequest) int {
		if _, ok := held[req.fingerprint]; ok {
			return math.MaxInt
		}
		ended, undecided := req.weights(now)
		return ended + undecided
	}
	slices.SortFunc(all, func(a, b *trackedRequest) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), a.lastActivity().Compare(b.lastActivity()), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	for _, req := range all {
		if t.runCount <= runsAfterTrim && len(t.requests) <= runsAfterTrim {
			return
		}
		t.removeRuns(req, func(*trackedRun) bool { return true })
		delete(t.requests, req.fingerprint)
	}
}

// lastActivity returns when the request was last interrupted or completed.
func (req *trackedRequest) lastActivity() time.Time {
	at := req.clearedAt
	for _, r := range req.runs {
		if r.interruptedAt.After(at) {
			at = r.interruptedAt
		}
	}
	return at
}
