// Package crash recognises requests that crash the upstreams which run them. A
// Tracker collects the runs of requests that broke off, learns what became of the
// upstreams, and decides whether a request may run again. Gateways and control
// instances hold one each and pass entries on; merging does not depend on the
// order. The package holds no clock and no lock.
package crash

import (
	"slices"
	"time"
)

const (
	// BlockThreshold is the number of upstreams that must have crashed under a request
	// before it is blocked. Chance hardly meets one request three times.
	BlockThreshold = 3
	// FullWeight is what one crash counts, and UncertainWeight what it counts if the request
	// is less likely the cause. Four such crashes do not block a request yet.
	FullWeight      = 3
	UncertainWeight = 2
	// sharedTime is the time within which upstreams of one availability zone are taken
	// to have failed together. Silent ones are noticed up to a second after those whose
	// connections close.
	sharedFailureWindow = 1500 * time.Millisecond
	// blockTime is how long a crash counts.
	crashRetention = 10 * time.Minute
	// newsTime is how long after a run broke off the news that its upstream has ended
	// still counts. A control instance that has just started takes ten intervals of
	// announcements to call an upstream lost; they may be several seconds long.
	interruptedRetention = time.Minute
	// abandonedTime is the same for runs whose callers left, which say less: long enough
	// for an upstream to be called lost.
	abandonedRetention = 10 * time.Second
	// maxRuns bounds the runs and the requests on record, at about 300 bytes each, and
	// keptRuns is what is kept when the bound is exceeded.
	maxRuns       = 4096
	runsAfterTrim = maxRuns * 15 / 16
	// maxRecent bounds the runs with which a new one is compared; a few show that a zone
	// has failed.
	maxRecent = 256
	// expireEvery is how often runs that no longer count are looked for.
	expiryInterval = time.Second
	// announcementDelay is how late an announcement may arrive: on a link that was cut for
	// some seconds, or through other control instances.
	maxAnnouncementDelay = 5 * time.Second
	// aliveAnnouncements is the number of announcements later than that after a run broke
	// off that show that its upstream lives. One may have been later still.
	announcementsToClear = 2
)

// Weight is what a crash counts against a request that was running. Doubt tells that
// something that did not run the request failed at the same time, other upstreams of the
// availability zone or the machine of the upstream, or that the upstream may not have ended.
func Weight(doubt bool) int {
	if doubt {
		return UncertainWeight
	}
	return FullWeight
}

// Outcome is what is known of a run that broke off. A later one in this order replaces
// an earlier one, whoever learns of it.
type Outcome uint8

// The outcomes.
const (
	// Abandoned runs had no answer when their callers left.
	Abandoned Outcome = iota
	// Interrupted runs lost their connection, or their upstream fell silent.
	Interrupted
	// UpstreamEnded runs broke off, and their upstream's incarnation has ended since.
	UpstreamEnded
	// UpstreamAlive runs broke off, and their upstream runs on or stopped as planned.
	UpstreamAlive
	// Cleared names no run: the request has been answered whole.
	Cleared
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"abandoned", "broken", "ended", "innocent", "cleared"}[min(o, Cleared)]
}

// Run is one run of a request at an incarnation of an upstream.
type Run struct {
	// Fingerprint names the request, whoever sends it again.
	Fingerprint string
	// Upstream is the id, Addr the address and StartedMS the start of the incarnation.
	Upstream, Addr string
	StartedMS      int64
	Zone           string
}

// Entry is what one tracker tells another.
type Entry struct {
	Run
	Outcome Outcome
	// Shared tells that other upstreams of the zone failed at the same time.
	Shared bool
	// AgeMS is the time since the run broke off, or since the whole answer.
	AgeMS int64
}

// run is a Run on record.
type trackedRun struct {
	Run
	outcome       Outcome
	interruptedAt time.Time
	// shared is what this tracker has found out, told what another one has.
	sharedLocally, sharedReported bool
	// announced is the number of announcements that show that the upstream lives, lastSeq
	// the last one. Replaced tells that a later incarnation has taken its place.
	announcements int
	lastSeq       int64
	replaced      bool
	// change numbers the last change of what readers see.
	change uint64
}

func (r *trackedRun) expired(now time.Time) bool {
	switch r.outcome {
	case Abandoned:
		return now.Sub(r.interruptedAt) > abandonedRetention
	case Interrupted:
		return now.Sub(r.interruptedAt) > interruptedRetention
	}
	return now.Sub(r.interruptedAt) > crashRetention
}

// counts tells whether the run speaks against its request, or may do so.
func (r *trackedRun) countsAgainst(now time.Time) bool {
	return (r.outcome == Interrupted || r.outcome == UpstreamEnded) && !r.expired(now)
}

func (r *trackedRun) weight() int { return Weight(r.sharedLocally || r.sharedReported) }

// request holds the runs of one request.
type trackedRequest struct {
	fingerprint string
	runs        []*trackedRun
	// cleared is when it was last answered whole, and change numbers that.
	clearedAt time.Time
	change    uint64
	// trial is when it was last let through although it is blocked, trials how often since
	// it was last answered whole.
	lastTrial  time.Time
	trialCount int
}

// Tracker is what one process knows.
type Tracker struct {
	requests map[string]*trackedRequest
	// recent are the runs that broke off a moment ago.
	recent []*trackedRun
	// places counts the runs by upstream and by address, so that news of upstreams
	// which no run concerns costs nothing.
	runsByPlace map[string]int
	// runs is the number of runs of all requests, swept when those that no longer count
	// were last looked for.
	runCount   int
	lastChange uint64
	lastExpiry time.Time
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{requests: map[string]*trackedRequest{}, runsByPlace: map[string]int{}}
}

// LastChange returns the number of the last change, for Since.
func (t *Tracker) LastChange() uint64 { return t.lastChange }

// RequestCount returns the number of requests on record.
func (t *Tracker) RequestCount() int { return len(t.requests) }

// SuspectCount returns the number of requests with so many runs on record that they may be
// blocked.
func (t *Tracker) SuspectCount() (n int) {
	for _, req := range t.requests {
		if len(req.runs) >= BlockThreshold {
			n++
		}
	}
	return n
}

// RunInterrupted notes that a run broke off, or that its caller left. It returns true if that
// is news.
func (t *Tracker) RunInterrupted(now time.Time, r Run, outcome Outcome) bool {
	return t.record(now, now, Entry{Run: r, Outcome: outcome})
}

// Merge takes the entries of another tracker in and returns the requests of which
// anything was news.
func (t *Tracker) Merge(now time.Time, list []Entry) (updated []string) {
	for _, e := range list {
		if e.Fingerprint == "" || e.Outcome > Cleared {
			continue // another version, or a malformed message
		}
		at := now.Add(-time.Duration(max(e.AgeMS, 0)) * time.Millisecond)
		changed := false
		if e.Outcome == Cleared {
			changed = t.clear(at, t.ensureRequest(e.Fingerprint))
			t.trim(now)
		} else {
			changed = t.record(now, at, e)
		}
		if changed && !slices.Contains(updated, e.Fingerprint) {
			updated = append(updated, e.Fingerprint)
		}
	}
	return updated
}

func (t *Tracker) record(now, at time.Time, e Entry) bool {
	if now.Sub(t.lastExpiry) > expiryInterval {
		t.lastExpiry = now
		t.Expire(now)
	}
	req := t.requests[e.Fingerprint]
	if req != nil && !at.After(req.clearedAt) {
		return false
	}
	if req != nil {
		for _, r := range req.runs {
			if r.Run == e.Run {
				return t.update(r, e)
			}
		}
	}
	r := &trackedRun{Run: e.Run, outcome: e.Outcome, interruptedAt: at, sharedReported: e.Shared}
	if r.expired(now) {
		return false
	}
	req = t.ensureRequest(e.Fingerprint)
	req.runs = append(req.runs, r)
	t.runCount++
	t.runsByPlace[r.Upstream]++
	t.runsByPlace[r.Addr]++
	t.markChanged(r)
	if len(req.runs) == suspectRuns {
		for _, r := range req.runs {
			t.markChanged(r) // readers get the runs of suspects only
		}
	}
	t.markShared(req, r)
	t.trim(now)
	return true
}

// request returns the record of a request, a new one if there is none.
func (t *Tracker) ensureRequest(fingerprint string) *trackedRequest {
	req := t.requests[fingerprint]
	if req == nil {
		req = &trackedRequest{fingerprint: fingerprint}
		t.requests[fingerprint] = req
	}
	return req
}

// update takes over what another tracker has learned of a run.
func (t *Tracker) update(r *trackedRun, e Entry) bool {
	if e.Outcome <= r.outcome && (r.sharedReported || !e.Shared) {
		return false
	}
	r.outcome, r.sharedReported = max(r.outcome, e.Outcome), r.sharedReported || e.Shared
	t.markChanged(r)
	return true
}

func (t *Tracker) markChanged(r *trackedRun) {
	t.lastChange++
	r.change = t.lastChange
}

// RequestCompleted notes that a request has been answered whole, so it does not crash what runs
// it. It returns true if anything was on record.
func (t *Tracker) RequestCompleted(now time.Time, fingerprint string) bool {
	req := t.requests[fingerprint]
	return req != nil && len(req.runs) > 0 && t.clear(now, req)
}

func (t *Tracker) clear(at time.Time, req *trackedRequest) bool {
	if !at.After(req.clearedAt) {
		return false
	}
	t.removeRuns(req, func(r *trackedRun) bool { return !r.interruptedAt.After(at) })
	req.clearedAt, req.trialCount = at, 0
	t.lastChange++
	req.change = t.lastChange
	return true
}

// drop takes runs of a request off the record and returns their number.
func (t *Tracker) removeRuns(req *trackedRequest, match func(*trackedRun) bool) int {
	before := len(req.runs)
	req.runs = slices.DeleteFunc(req.runs, func(r *trackedRun) bool {
		if !match(r) {
			return false
		}
		for _, key := range []string{r.Upstream, r.Addr} {
			if t.runsByPlace[key]--; t.runsByPlace[key] == 0 {
				delete(t.runsByPlace, key)
			}
		}
		return true
	})
	dropped := before - len(req.runs)
	t.runCount -= dropped
	return dropped
}
