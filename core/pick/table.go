package pick

import (
	"slices"
	"time"

	"heatherway.dev/core/breaker"
	"heatherway.dev/core/wire"
)

const (
	// DefaultReportLag is the assumed delay of a load report: a request sent
	// less than this before the report arrived may be missing from it.
	DefaultReportLag = 50 * time.Millisecond
	// serviceTimeSmoothing is the weight of the newest sample in the moving
	// average.
	serviceTimeSmoothing = 0.1
	// recentReportAge is the maximum age of a report that counts towards the
	// mean load.
	recentReportAge = time.Second
	// maxRecentEnds bounds the ended requests that are remembered for one
	// upstream between reports.
	maxRecentEnds = 1024
)

// Settings configures a Table. Zero fields take their defaults.
type Settings struct {
	ReportLag time.Duration
	Breaker   breaker.Settings
}

// Table holds what one entry knows about its upstreams.
type Table struct {
	set  Settings
	byID map[string]*upstream
	ids  []string // sorted, so that choices depend only on the random seed
}

type upstream struct {
	wire.Upstream
	load        wire.Load
	reportedAt  time.Time // when load arrived; zero before the first report
	running     map[uint64]sentRequest
	recentEnds  []sentRequest // ended requests that the next reports may still count as running
	serviceTime time.Duration
	suspects    int
	breaker     *breaker.Breaker
	prefixes    *PrefixIndex
}

type sentRequest struct {
	sentAt   time.Time
	endedAt  time.Time
	inReport bool // load includes this request
	suspect  bool
}

// NewTable returns an empty table.
func NewTable(set Settings) *Table {
	if set.ReportLag <= 0 {
		set.ReportLag = DefaultReportLag
	}
	return &Table{set: set, byID: map[string]*upstream{}}
}

// SetUpstreams replaces the set of upstreams. An upstream with a new
// incarnation starts without history, and one that is no longer listed is
// removed.
func (t *Table) SetUpstreams(list []wire.Upstream) {
	next := make(map[string]*upstream, len(list))
	for _, u := range list {
		have := t.byID[u.ID]
		if have == nil || have.Incarnation != u.Incarnation {
			have = t.newUpstream()
		}
		have.Upstream = u
		next[u.ID] = have
	}
	t.byID = next
	t.ids = t.ids[:0]
	for id := range next {
		t.ids = append(t.ids, id)
	}
	slices.Sort(t.ids)
}

func (t *Table) newUpstream() *upstream {
	return &upstream{
		running:  map[uint64]sentRequest{},
		breaker:  breaker.New(t.set.Breaker),
		prefixes: NewPrefixIndex(),
	}
}

// Breaker returns the circuit breaker of an upstream, or nil if it is unknown.
func (t *Table) Breaker(id string) *breaker.Breaker {
	if u := t.byID[id]; u != nil {
		return u.breaker
	}
	return nil
}

// Prefixes returns the prefix index of an upstream, or nil if it is unknown.
func (t *Table) Prefixes(id string) *PrefixIndex {
	if u := t.byID[id]; u != nil {
		return u.prefixes
	}
	return nil
}

// Candidates returns all upstreams, ordered by id, with what is known about
// them for one request.
func (t *Table) Candidates(now time.Time, r *Request) []Candidate {
	out, meanLoad := make([]Candidate, 0, len(t.ids)), t.meanLoad(now)
	for _, id := range t.ids {
		u := t.byID[id]
		out = append(out, Candidate{
			Upstream:         u.Upstream,
			Load:             u.load,
			Age:              now.Sub(u.reportedAt),
			MeanLoad:         meanLoad,
			SentSinceReport:  u.sentSinceReport(),
			EndedSinceReport: u.endedSinceReport(),
			ServiceTime:      u.serviceTime,
			Ready:            u.breaker.Ready(now),
			Suspects:         u.suspects,
			CachedBlocks:     u.prefixes.Match(now, r.Blocks),
		})
	}
	return out
}

// meanLoad returns the mean number of requests per slot over the recent
// reports.
func (t *Table) meanLoad(now time.Time) float64 {
	busy, slots := 0.0, 0.0
	for _, id := range t.ids {
		u := t.byID[id]
		if now.Sub(u.reportedAt) > recentReportAge {
			continue
		}
		busy += float64(u.load.Running)
		for _, q := range u.load.Queued {
			busy += float64(q)
		}
		slots += float64(u.load.Slots)
	}
	return busy / max(slots, 1)
}

// RequestSent records that a request was sent. The number must be unique within
// this entry.
func (t *Table) RequestSent(now time.Time, id string, number uint64, r *Request) {
	u := t.byID[id]
	if u == nil {
		return
	}
	u.running[number] = sentRequest{sentAt: now, suspect: r.Suspect}
	if r.Suspect {
		u.suspects++
	}
	u.prefixes.Add(now, r.Blocks)
}

// RequestEnded records the end of a request, whatever its outcome.
func (t *Table) RequestEnded(now time.Time, id string, number uint64) {
	u := t.byID[id]
	if u == nil {
		return
	}
	d, ok := u.running[number]
	if !ok {
		return
	}
	delete(u.running, number)
	if d.suspect {
		u.suspects--
	}
	if len(u.recentEnds) < maxRecentEnds {
		d.endedAt = now
		u.recentEnds = append(u.recentEnds, d)
	}
	u.observeServiceTime(now.Sub(d.sentAt))
}

// ApplyReport stores the load carried by a frame or reply of the request with
// the given number. That request reached the agent before the report was made;
// any other request counts as included in the report only if it was sent at
// least ReportLag before the report arrived. The same rule decides whether the
// report includes the end of a request.
func (t *Table) ApplyReport(now time.Time, id string, number uint64, load wire.Load) {
	u := t.byID[id]
	if u == nil {
		return
	}
	u.load, u.reportedAt = load, now
	asOf := now.Add(-t.set.ReportLag)
	for n, d := range u.running {
		d.inReport = d.inReport || n == number || !d.sentAt.After(asOf)
		u.running[n] = d
	}
	u.recentEnds = slices.DeleteFunc(u.recentEnds, func(d sentRequest) bool { return !d.endedAt.After(asOf) })
	for i := range u.recentEnds {
		d := &u.recentEnds[i]
		d.inReport = d.inReport || !d.sentAt.After(asOf)
	}
}

func (u *upstream) sentSinceReport() int {
	n := 0
	for _, d := range u.running {
		if !d.inReport {
			n++
		}
	}
	return n
}

func (u *upstream) endedSinceReport() int {
	n := 0
	for _, d := range u.recentEnds {
		if d.inReport {
			n++
		}
	}
	return n
}

func (u *upstream) observeServiceTime(took time.Duration) {
	if u.serviceTime == 0 {
		u.serviceTime = took
		return
	}
	u.serviceTime += time.Duration(serviceTimeSmoothing * float64(took-u.serviceTime))
}
