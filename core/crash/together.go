package crash

import "slices"

// compare finds out with which others an upstream has failed.
func (l *Tracker) compare(q *request, r *run) {
	l.recent = slices.DeleteFunc(l.recent, func(o *run) bool { return r.at.Sub(o.at) > 2*sharedTime })
	for _, o := range l.recent {
		if o.Fingerprint == r.Fingerprint || !together(r, o) {
			continue
		}
		if !q.brokeAt(o) {
			r.shared = true
		}
		if other := l.requests[o.Fingerprint]; !o.shared && other != nil && !other.brokeAt(r) {
			o.shared = true
			l.touch(o)
		}
	}
	if len(l.recent) >= maxRecent {
		l.recent = l.recent[1:]
	}
	l.recent = append(l.recent, r)
	for _, own := range q.runs {
		if own != r && own.shared && r.at.Sub(own.at).Abs() <= sharedTime {
			l.recompare(q, own)
		}
	}
}

// recompare looks again whether any upstream that failed with the one of a run did so
// without the request.
func (l *Tracker) recompare(q *request, r *run) {
	shared := slices.ContainsFunc(l.recent, func(o *run) bool {
		return together(r, o) && o.Fingerprint != r.Fingerprint && !q.brokeAt(o)
	})
	if shared != r.shared {
		r.shared = shared
		l.touch(r)
	}
}

// together tells whether two runs broke off at different upstreams of one availability
// zone at the same time.
func together(a, b *run) bool {
	return a.Zone == b.Zone && a.Upstream != b.Upstream && a.at.Sub(b.at).Abs() <= sharedTime &&
		a.outcome != Abandoned && b.outcome != Abandoned
}

// brokeAt tells whether the request itself broke off at the upstream of another run at
// the same time.
func (q *request) brokeAt(o *run) bool {
	return slices.ContainsFunc(q.runs, func(r *run) bool { return r.Upstream == o.Upstream && r.at.Sub(o.at).Abs() <= sharedTime })
}
