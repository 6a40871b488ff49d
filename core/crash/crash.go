// Package crash detects requests that crash the upstreams they run on, for gateways, which
// have no agents to report crashes; package quarantine does so for entries and agents. A
// Tracker collects
// runs that were interrupted, learns what happened to their upstreams, and decides whether
// a request may run again. Every gateway and every registry instance has a Tracker, and
// they exchange entries; the result of merging does not depend on the order of the
// entries. The package reads no clock and takes no lock.
package crash

import (
	"slices"
	"time"
)

const (
	// BlockThreshold is the number of upstreams that must have crashed while running a
	// request before the request is blocked. One request is unlikely to be hit by three
	// unrelated crashes.
	BlockThreshold = 3
	// FullWeight is the weight of a crash, and UncertainWeight the weight if the request
	// is less likely to be the cause. Four crashes of UncertainWeight do not yet block a
	// request.
	FullWeight      = 3
	UncertainWeight = 2
	// sharedFailureWindow is the time within which failures of upstreams in one
	// availability zone are treated as one common failure. An upstream that goes silent is
	// detected up to a second later than one whose connections close.
	sharedFailureWindow = 1500 * time.Millisecond
	// crashRetention is how long a crash counts against a request.
	crashRetention = 10 * time.Minute
	// interruptedRetention is how long after an interruption a report that the upstream
	// has ended is still accepted. A control instance that has just started needs ten
	// announcement intervals, which may be several seconds each, to declare an upstream
	// lost.
	interruptedRetention = time.Minute
	// abandonedRetention is the same limit for runs whose callers disconnected, which are
	// weaker evidence. It is long enough for an upstream to be declared lost.
	abandonedRetention = 10 * time.Second
	// maxRuns limits the number of tracked runs and of tracked requests, at about 300
	// bytes each. When the limit is exceeded, the tracker is trimmed to runsAfterTrim.
	maxRuns       = 4096
	runsAfterTrim = maxRuns * 15 / 16
	// maxRecent limits the number of recent runs that a new one is compared with; a few
	// are enough to recognise the failure of a zone.
	maxRecent = 256
	// expiryInterval is the interval between removals of expired runs.
	expiryInterval = time.Second
	// maxAnnouncementDelay is the longest delay of an announcement, for example on a link
	// that was interrupted for some seconds, or through other control instances.
	maxAnnouncementDelay = 5 * time.Second
	// announcementsToClear is the number of announcements, received more than
	// maxAnnouncementDelay after the interruption, that prove that the upstream is alive.
	// A single one may have been delayed for even longer.
	announcementsToClear = 2
)

// Weight returns the weight of a crash against a request that was running. The crash is
// uncertain evidence if something that did not run the request failed at the same time,
// such as other upstreams in the availability zone or the upstream's machine, or if the
// upstream may not have ended.
func Weight(uncertain bool) int {
	if uncertain {
		return UncertainWeight
	}
	return FullWeight
}

// Outcome is what is known about the end of an interrupted run. When trackers disagree,
// the outcome that comes later in this order wins.
type Outcome uint8

// The outcomes.
const (
	// Abandoned means that the caller disconnected before there was an answer.
	Abandoned Outcome = iota
	// Interrupted means that the connection was lost or the upstream went silent.
	Interrupted
	// UpstreamEnded means that the run was interrupted and the upstream's incarnation has
	// ended since.
	UpstreamEnded
	// UpstreamAlive means that the run was interrupted, but the upstream is still running
	// or stopped as planned.
	UpstreamAlive
	// Cleared refers to no run: the request was answered completely.
	Cleared
	// Trial refers to no run either: a late trial of a part was granted. Processes of the
	// previous release ignore it.
	Trial
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"abandoned", "broken", "ended", "innocent", "cleared", "trial"}[min(o, Trial)]
}

// Run is one run of a request on one incarnation of an upstream.
type Run struct {
	// Fingerprint identifies the request, whoever sends it.
	Fingerprint string
	// Upstream is the ID of the upstream, Addr its address and StartedMS the start time of
	// the incarnation.
	Upstream, Addr string
	StartedMS      int64
	Zone           string
}

// Entry is the unit of exchange between trackers.
type Entry struct {
	Run
	Outcome Outcome
	// Shared reports whether other upstreams of the zone failed at the same time.
	Shared bool
	// AgeMS is the time since the interruption or, for Cleared, since the request
	// completed, or since the trial was granted.
	AgeMS int64
	// AtMS is the same time by the sender's clock, in milliseconds since 1970, zero from
	// processes of the previous release. A message that is delayed makes AgeMS too small.
	AtMS int64 `json:",omitempty"`
	// Depth is the position of a part in the prompt.
	Depth int `json:",omitempty"`
}

const (
	// maxEntryAge limits the age of a received entry. It exceeds all retention times; a
	// larger age may overflow time.Duration, which would put the entry into the future.
	maxEntryAge = 24 * time.Hour
	// maxEntryDelay limits the delay of an entry that is derived from the clocks of sender
	// and receiver. Calls end and connections are given up sooner; a larger difference is
	// that of two clocks, of which one was stepped.
	maxEntryDelay = 15 * time.Second
)

// timeOf returns when the event of an entry happened: as long ago as AgeMS says, or longer
// if the entry was delayed on its way. Equal entries have equal times whenever they
// arrive, unless the clocks of sender and receiver differ.
func timeOf(e Entry, now time.Time) time.Time {
	age := time.Duration(min(max(e.AgeMS, 0), maxEntryAge.Milliseconds())) * time.Millisecond
	if e.AtMS > 0 && e.AtMS < now.UnixMilli() {
		sinceMS := min(now.UnixMilli()-e.AtMS, (maxEntryAge + maxEntryDelay).Milliseconds())
		age = min(max(age, time.Duration(sinceMS)*time.Millisecond), age+maxEntryDelay)
	}
	return wholeMillisecond(now).Add(-age)
}

// wholeMillisecond removes the fraction that entries do not carry, and keeps the monotonic
// reading. Trackers that learned of an event from entries have the same time for it as the
// one that recorded it.
func wholeMillisecond(at time.Time) time.Time {
	return at.Add(-time.Duration(at.Nanosecond()) % time.Millisecond)
}

// trackedRun is a Run with what this tracker knows about it.
type trackedRun struct {
	Run
	outcome       Outcome
	interruptedAt time.Time
	// reports, endedAt and aliveAt belong to a part, see mergeReport. interruptedAt is the
	// first of reports.
	reports          []time.Time
	endedAt, aliveAt time.Time
	// sharedFailureSeen and sharedFailureReported are set if other upstreams of the zone
	// failed at the same time: the first by this tracker's own comparison, the second by
	// another tracker's entry.
	sharedFailureSeen, sharedFailureReported bool
	// announcements counts the announcements that show the upstream alive; lastSeq is the
	// sequence number of the last one. replaced is set once a later incarnation has started.
	announcements int
	lastSeq       int64
	replaced      bool
	// keptLong is set while the run counts for partRetention, from keptFrom if that is later
	// than the interruption.
	keptLong bool
	keptFrom time.Time
	// lastChange is the number of the last change that EntriesSince returns.
	lastChange uint64
}

func (r *trackedRun) expired(now time.Time) bool {
	switch r.outcome {
	case Abandoned:
		return now.Sub(r.interruptedAt) > abandonedRetention
	case Interrupted:
		return now.Sub(r.interruptedAt) > interruptedRetention
	}
	if r.keptLong {
		return now.Sub(latest(r.interruptedAt, r.keptFrom)) > partRetention
	}
	return now.Sub(r.interruptedAt) > crashRetention
}

// countsAgainst reports whether the run counts, or may come to count, against its request.
func (r *trackedRun) countsAgainst(now time.Time) bool {
	return (r.outcome == Interrupted || r.outcome == UpstreamEnded) && !r.expired(now)
}

func (r *trackedRun) weight() int { return Weight(r.sharedFailureSeen || r.sharedFailureReported) }

// trackedRequest holds the runs of one request, or of the requests with one part.
type trackedRequest struct {
	fingerprint string
	// part is set for a part of prompts, and depth is its largest position in a prompt.
	part  bool
	depth int
	// exported is set once EntriesSince returns the entries.
	exported bool
	runs     []*trackedRun
	// clearedAt is when the request last completed, and clearedChange the number of that
	// change.
	clearedAt     time.Time
	clearedChange uint64
	// lastTrial is when the request was last allowed to run although blocked, and
	// trialCount how often that happened since it last completed.
	lastTrial  time.Time
	trialCount int
	// trials are the times of the late trials of a part, trialsChange the number of their
	// last change. probeCount is the number of all runs that this process has allowed of the
	// part, lastAsked when it last asked the leader for one.
	trials       []time.Time
	trialsChange uint64
	probeCount   int
	lastAsked    time.Time
	// lastHeld is when a request was last held for the part as a blocked one.
	lastHeld time.Time
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Tracker holds the crash data of one process. It is not safe for concurrent use.
type Tracker struct {
	requests map[string]*trackedRequest
	// recent holds the most recently interrupted runs.
	recent []*trackedRun
	// runsByUpstream counts runs by upstream ID and by address, so that events of upstreams
	// without tracked runs are cheap.
	runsByUpstream map[string]int
	// runCount is the number of runs of all requests, and lastExpiry the time at which
	// expired runs were last removed.
	runCount   int
	lastChange uint64
	lastExpiry time.Time
	// proofs holds the last proofs of parts, whether tracked or not.
	proofs proofTimes
	// unsharedProofs are the parts that TakeUnsharedProofs returns.
	unsharedProofs map[string]bool
	// decisions are the parts that are held, as of decidedAt and the change decidedChange.
	decisions       map[string]PartDecision
	decidedAt       time.Time
	decidedChange   uint64
	decidedSuspects int
	decisionChanges []PartDecision
	// contestedAsks holds when a trial was last requested, by the number of contested parts.
	contestedAsks [8]time.Time
	// lastProbe are the keys of the last trial with contested parts.
	lastProbe   []string
	lastProbeAt time.Time
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{requests: map[string]*trackedRequest{}, runsByUpstream: map[string]int{}, unsharedProofs: map[string]bool{}}
}

// LastChange returns the number of the last change, to be passed to EntriesSince.
func (t *Tracker) LastChange() uint64 { return t.lastChange }

// RequestCount returns the number of tracked requests.
func (t *Tracker) RequestCount() int { return len(t.requests) }

// SuspectCount returns the number of requests with at least BlockThreshold tracked runs;
// only these can be blocked.
func (t *Tracker) SuspectCount() (n int) {
	for _, req := range t.requests {
		if !req.part && len(req.runs) >= BlockThreshold {
			n++
		}
	}
	return n
}

// RunInterrupted records that a run was interrupted or that its caller disconnected. It
// reports whether this was new information.
func (t *Tracker) RunInterrupted(now time.Time, r Run, outcome Outcome) bool {
	return t.record(now, wholeMillisecond(now), Entry{Run: r, Outcome: outcome})
}

// Merge adds the entries of another tracker and returns the fingerprints of the requests
// that changed.
func (t *Tracker) Merge(now time.Time, list []Entry) (updated []string) {
	for _, e := range list {
		if e.Fingerprint == "" || e.Outcome > Trial {
			continue // from another version, or malformed
		}
		at := timeOf(e, now)
		changed := false
		if e.Outcome == Trial {
			changed = IsPart(e.Fingerprint) && t.addTrial(at, t.ensureRequest(e.Fingerprint))
			t.trim(now)
		} else if e.Outcome == Cleared {
			if req := t.ensureRequest(e.Fingerprint); req.part {
				proved := t.mergeProof(at, req)
				changed = t.noteDepth(req, e.Depth) || proved
			} else {
				changed = t.clear(at, req)
			}
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
	part := IsPart(e.Fingerprint)
	if part {
		t.recallProof(e.Fingerprint)
	}
	r := newRun(at, e)
	req, expired := t.requests[e.Fingerprint], r.expired(now)
	deeper := req != nil && !expired && t.noteDepth(req, e.Depth)
	if req != nil && !at.After(req.clearedAt) {
		return deeper
	}
	if req != nil {
		for _, known := range req.runs {
			if known.Run != e.Run {
				continue
			}
			if !part {
				return t.update(known, e)
			}
			if !known.mergeReport(at, e) {
				return deeper
			}
			t.markChanged(known)
			return true
		}
	}
	if expired {
		return false
	}
	req = t.ensureRequest(e.Fingerprint)
	t.noteDepth(req, e.Depth)
	req.runs = append(req.runs, r)
	t.runCount++
	t.runsByUpstream[r.Upstream]++
	t.runsByUpstream[r.Addr]++
	t.markChanged(r)
	if len(req.runs) == minExportedRuns {
		for _, r := range req.runs {
			t.markChanged(r) // EntriesSince left out the earlier runs until now
		}
		if req.part && !req.exported && !req.clearedAt.IsZero() {
			t.lastChange++
			req.clearedChange = t.lastChange
		}
		req.exported = true
	}
	if !part { // simultaneous failures of the upstreams of a part are judged with the part
		t.markSharedFailures(req, r)
	}
	t.trim(now)
	return true
}

// newRun returns the run of an entry.
func newRun(at time.Time, e Entry) *trackedRun {
	part := IsPart(e.Fingerprint)
	r := &trackedRun{Run: e.Run, outcome: e.Outcome, interruptedAt: at, sharedFailureReported: e.Shared, keptLong: part}
	if part {
		r.reports = []time.Time{at}
		r.noteOutcome(at, e.Outcome)
	}
	return r
}

// ensureRequest returns the record of a request and creates it if there is none.
func (t *Tracker) ensureRequest(fingerprint string) *trackedRequest {
	req := t.requests[fingerprint]
	if req == nil {
		req = &trackedRequest{fingerprint: fingerprint, part: IsPart(fingerprint)}
		t.requests[fingerprint] = req
	}
	return req
}

// update merges another tracker's entry into a known run of a request.
func (t *Tracker) update(r *trackedRun, e Entry) bool {
	if e.Outcome <= r.outcome && (r.sharedFailureReported || !e.Shared) {
		return false
	}
	r.outcome, r.sharedFailureReported = max(r.outcome, e.Outcome), r.sharedFailureReported || e.Shared
	t.markChanged(r)
	return true
}

func (t *Tracker) markChanged(r *trackedRun) {
	t.lastChange++
	r.lastChange = t.lastChange
}

// RequestCompleted records that a request was answered completely, which proves that it
// does not crash its upstream. It reports whether any run was tracked.
func (t *Tracker) RequestCompleted(now time.Time, fingerprint string) bool {
	req := t.requests[fingerprint]
	return req != nil && len(req.runs) > 0 && t.clear(wholeMillisecond(now), req)
}

func (t *Tracker) clear(at time.Time, req *trackedRequest) bool {
	if !at.After(req.clearedAt) {
		return false
	}
	for _, r := range req.runs {
		r.forgetReports(at)
	}
	t.removeRuns(req, func(r *trackedRun) bool { return !r.interruptedAt.After(at) })
	req.clearedAt = at
	req.trials = slices.DeleteFunc(req.trials, func(trial time.Time) bool { return !trial.After(at) })
	if !req.part || len(req.runs) == 0 {
		req.trialCount, req.probeCount = 0, 0
	}
	t.lastChange++
	req.clearedChange = t.lastChange
	return true
}

// removeRuns removes the matching runs of a request and returns their number.
func (t *Tracker) removeRuns(req *trackedRequest, match func(*trackedRun) bool) int {
	before := len(req.runs)
	req.runs = slices.DeleteFunc(req.runs, func(r *trackedRun) bool {
		if !match(r) {
			return false
		}
		for _, key := range []string{r.Upstream, r.Addr} {
			if t.runsByUpstream[key]--; t.runsByUpstream[key] == 0 {
				delete(t.runsByUpstream, key)
			}
		}
		return true
	})
	removed := before - len(req.runs)
	t.runCount -= removed
	return removed
}
