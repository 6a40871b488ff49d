package crash

import "slices"

// markSharedFailures compares a new run with recent ones and marks the runs whose upstreams
// failed together with others of the zone.
func (t *Tracker) markSharedFailures(req *trackedRequest, r *trackedRun) {
	t.recent = slices.DeleteFunc(t.recent, func(o *trackedRun) bool { return r.interruptedAt.Sub(o.interruptedAt) > 2*sharedFailureWindow })
	for _, o := range t.recent {
		if o.Fingerprint == r.Fingerprint || !failedTogether(r, o) {
			continue
		}
		if !req.failedAt(o) {
			r.sharedFailureSeen = true
		}
		if other := t.requests[o.Fingerprint]; !o.sharedFailureSeen && other != nil && !other.failedAt(r) {
			o.sharedFailureSeen = true
			t.markChanged(o)
		}
	}
	if len(t.recent) >= maxRecent {
		t.recent = t.recent[1:]
	}
	t.recent = append(t.recent, r)
	for _, sibling := range req.runs {
		if sibling != r && sibling.sharedFailureSeen && r.interruptedAt.Sub(sibling.interruptedAt).Abs() <= sharedFailureWindow {
			t.recheckSharedFailure(req, sibling)
		}
	}
}

// recheckSharedFailure re-evaluates whether any upstream that failed together with that of
// a run failed without running the request. If all of them were running it, the request
// itself is the likely cause.
func (t *Tracker) recheckSharedFailure(req *trackedRequest, r *trackedRun) {
	shared := slices.ContainsFunc(t.recent, func(o *trackedRun) bool {
		return failedTogether(r, o) && o.Fingerprint != r.Fingerprint && !req.failedAt(o)
	})
	if shared != r.sharedFailureSeen {
		r.sharedFailureSeen = shared
		t.markChanged(r)
	}
}

// failedTogether reports whether two runs were interrupted at the same time on different
// upstreams of one availability zone.
func failedTogether(a, b *trackedRun) bool {
	return a.Zone == b.Zone && a.Upstream != b.Upstream && a.interruptedAt.Sub(b.interruptedAt).Abs() <= sharedFailureWindow &&
		a.outcome != Abandoned && b.outcome != Abandoned
}

// failedAt reports whether the request itself was interrupted on the upstream of another
// run at the same time.
func (req *trackedRequest) failedAt(o *trackedRun) bool {
	return slices.ContainsFunc(req.runs, func(r *trackedRun) bool {
		return r.Upstream == o.Upstream && r.interruptedAt.Sub(o.interruptedAt).Abs() <= sharedFailureWindow
	})
}
