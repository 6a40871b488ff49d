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
	sharedTime = 1500 * time.Millisecond
	// blockTime is how long a crash counts.
	blockTime = 10 * time.Minute
	// newsTime is how long after a run broke off the news that its upstream has ended
	// still counts. A control instance that has just started takes ten intervals of
	// announcements to call an upstream lost; they may be several seconds long.
	newsTime = time.Minute
	// abandonedTime is the same for runs whose callers left, which say less: long enough
	// for an upstream to be called lost.
	abandonedTime = 10 * time.Second
	// maxRuns bounds the runs and the requests on record, at about 300 bytes each, and
	// keptRuns is what is kept when the bound is exceeded.
	maxRuns  = 4096
	keptRuns = maxRuns * 15 / 16
	// maxRecent bounds the runs with which a new one is compared; a few show that a zone
	// has failed.
	maxRecent = 256
	// expireEvery is how often runs that no longer count are looked for.
	expireEvery = time.Second
	// announcementDelay is how late an announcement may arrive: on a link that was cut for
	// some seconds, or through other control instances.
	announcementDelay = 5 * time.Second
	// aliveAnnouncements is the number of announcements later than that after a run broke
	// off that show that its upstream lives. One may have been later still.
	aliveAnnouncements = 2
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
type run struct {
	Run
	outcome Outcome
	at      time.Time
	// shared is what this tracker has found out, told what another one has.
	shared, told bool
	// announced is the number of announcements that show that the upstream lives, lastSeq
	// the last one. Replaced tells that a later incarnation has taken its place.
	announced int
	lastSeq   int64
	replaced  bool
	// change numbers the last change of what readers see.
	change uint64
}

func (r *run) expired(now time.Time) bool {
	switch r.outcome {
	case Abandoned:
		return now.Sub(r.at) > abandonedTime
	case Interrupted:
		return now.Sub(r.at) > newsTime
	}
	return now.Sub(r.at) > blockTime
}

// counts tells whether the run speaks against its request, or may do so.
func (r *run) counts(now time.Time) bool {
	return (r.outcome == Interrupted || r.outcome == UpstreamEnded) && !r.expired(now)
}

func (r *run) weight() int { return Weight(r.shared || r.told) }

// request holds the runs of one request.
type request struct {
	fingerprint string
	runs        []*run
	// cleared is when it was last answered whole, and change numbers that.
	cleared time.Time
	change  uint64
	// trial is when it was last let through although it is blocked, trials how often since
	// it was last answered whole.
	trial  time.Time
	trials int
}

// Tracker is what one process knows.
type Tracker struct {
	requests map[string]*request
	// recent are the runs that broke off a moment ago.
	recent []*run
	// places counts the runs by upstream and by address, so that news of upstreams
	// which no run concerns costs nothing.
	places map[string]int
	// runs is the number of runs of all requests, swept when those that no longer count
	// were last looked for.
	runs    int
	changes uint64
	swept   time.Time
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{requests: map[string]*request{}, places: map[string]int{}} }

// LastChange returns the number of the last change, for Since.
func (l *Tracker) LastChange() uint64 { return l.changes }

// RequestCount returns the number of requests on record.
func (l *Tracker) RequestCount() int { return len(l.requests) }

// SuspectCount returns the number of requests with so many runs on record that they may be
// blocked.
func (l *Tracker) SuspectCount() (n int) {
	for _, q := range l.requests {
		if len(q.runs) >= BlockThreshold {
			n++
		}
	}
	return n
}

// RunInterrupted notes that a run broke off, or that its caller left. It returns true if that
// is news.
func (l *Tracker) RunInterrupted(now time.Time, r Run, outcome Outcome) bool {
	return l.add(now, now, Entry{Run: r, Outcome: outcome})
}

// Merge takes the entries of another tracker in and returns the requests of which
// anything was news.
func (l *Tracker) Merge(now time.Time, list []Entry) (news []string) {
	for _, e := range list {
		if e.Fingerprint == "" || e.Outcome > Cleared {
			continue // another version, or a malformed message
		}
		at := now.Add(-time.Duration(max(e.AgeMS, 0)) * time.Millisecond)
		changed := false
		if e.Outcome == Cleared {
			changed = l.clear(at, l.request(e.Fingerprint))
			l.bound(now)
		} else {
			changed = l.add(now, at, e)
		}
		if changed && !slices.Contains(news, e.Fingerprint) {
			news = append(news, e.Fingerprint)
		}
	}
	return news
}

func (l *Tracker) add(now, at time.Time, e Entry) bool {
	if now.Sub(l.swept) > expireEvery {
		l.swept = now
		l.Expire(now)
	}
	q := l.requests[e.Fingerprint]
	if q != nil && !at.After(q.cleared) {
		return false
	}
	if q != nil {
		for _, r := range q.runs {
			if r.Run == e.Run {
				return l.update(r, e)
			}
		}
	}
	r := &run{Run: e.Run, outcome: e.Outcome, at: at, told: e.Shared}
	if r.expired(now) {
		return false
	}
	q = l.request(e.Fingerprint)
	q.runs = append(q.runs, r)
	l.runs++
	l.places[r.Upstream]++
	l.places[r.Addr]++
	l.touch(r)
	if len(q.runs) == suspectRuns {
		for _, r := range q.runs {
			l.touch(r) // readers get the runs of suspects only
		}
	}
	l.compare(q, r)
	l.bound(now)
	return true
}

// request returns the record of a request, a new one if there is none.
func (l *Tracker) request(fingerprint string) *request {
	q := l.requests[fingerprint]
	if q == nil {
		q = &request{fingerprint: fingerprint}
		l.requests[fingerprint] = q
	}
	return q
}

// update takes over what another tracker has learned of a run.
func (l *Tracker) update(r *run, e Entry) bool {
	if e.Outcome <= r.outcome && (r.told || !e.Shared) {
		return false
	}
	r.outcome, r.told = max(r.outcome, e.Outcome), r.told || e.Shared
	l.touch(r)
	return true
}

func (l *Tracker) touch(r *run) {
	l.changes++
	r.change = l.changes
}

// RequestCompleted notes that a request has been answered whole, so it does not crash what runs
// it. It returns true if anything was on record.
func (l *Tracker) RequestCompleted(now time.Time, fingerprint string) bool {
	q := l.requests[fingerprint]
	return q != nil && len(q.runs) > 0 && l.clear(now, q)
}

func (l *Tracker) clear(at time.Time, q *request) bool {
	if !at.After(q.cleared) {
		return false
	}
	l.drop(q, func(r *run) bool { return !r.at.After(at) })
	q.cleared, q.trials = at, 0
	l.changes++
	q.change = l.changes
	return true
}

// drop takes runs of a request off the record and returns their number.
func (l *Tracker) drop(q *request, match func(*run) bool) int {
	before := len(q.runs)
	q.runs = slices.DeleteFunc(q.runs, func(r *run) bool {
		if !match(r) {
			return false
		}
		for _, place := range []string{r.Upstream, r.Addr} {
			if l.places[place]--; l.places[place] == 0 {
				delete(l.places, place)
			}
		}
		return true
	})
	dropped := before - len(q.runs)
	l.runs -= dropped
	return dropped
}
