package crash

import "slices"

// markShared finds out with which others an upstream has failed.
func (t *Tracker) markShared(req *trackedRequest, r *trackedRun) {
	t.recent = slices.DeleteFunc(t.recent, func(o *trackedRun) bool { return r.interruptedAt.Sub(o.interruptedAt) > 2*sharedFailureWindow })
	for _, o := range t.recent {
		if o.Fingerprint == r.Fingerprint || !failedTogether(r, o) {
			continue
		}
		if !req.failedAt(o) {
			r.sharedLocally = true
		}
		if other := t.requests[o.Fingerprint]; !o.sharedLocally && other != nil && !other.failedAt(r) {
			o.sharedLocally = true
			t.markChanged(o)
		}
	}
	if len(t.recent) >= maxRecent {
		t.recent = t.recent[1:]
	}
	t.recent = append(t.recent, r)
	for _, own := range req.runs {
		if own != r && own.sharedLocally && r.interruptedAt.Sub(own.interruptedAt).Abs() <= sharedFailureWindow {
			t.recheckShared(req, own)
		}
	}
}

// recheckShared looks again whether any upstream that failed with the one of a run did so
// without the request.
func (t *Tracker) recheckShared(req *trackedRequest, r *trackedRun) {
	shared := slices.ContainsFunc(t.recent, func(o *trackedRun) bool {
		return failedTogether(r, o) && o.Fingerprint != r.Fingerprint && !req.failedAt(o)
	})
	if shared != r.sharedLocally {
		r.sharedLocally = shared
		t.markChanged(r)
	}
}

// failedTogether tells whether two runs broke off at different upstreams of one availability
// zone at the same time.
func failedTogether(a, b *trackedRun) bool {
	return a.Zone == b.Zone && a.Upstream != b.Upstream && a.interruptedAt.Sub(b.interruptedAt).Abs() <= sharedFailureWindow &&
		a.outcome != Abandoned && b.outcome != Abandoned
}

// failedAt tells whether the request itself broke off at the upstream of another run at
// the same time.
func (req *trackedRequest) failedAt(o *trackedRun) bool {
	return slices.ContainsFunc(req.runs, func(r *trackedRun) bool {
		return r.Upstream == o.Upstream && r.interruptedAt.Sub(o.interruptedAt).Abs() <= sharedFailureWindow
	})
}
