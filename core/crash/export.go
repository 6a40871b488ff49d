package crash

import (
	"cmp"
	"slices"
	"time"
)

// minExportedRuns is the number of runs from which EntriesSince returns the runs of a
// request. Most interrupted requests are interrupted only once.
const minExportedRuns = 2

// EntriesSince returns what changed after the given change number, for requests that were
// interrupted at least twice or have completed, and for parts whose runs were interrupted
// at least twice.
func (t *Tracker) EntriesSince(now time.Time, change uint64) (list []Entry) {
	if change >= t.lastChange {
		return nil
	}
	for _, req := range t.requests {
		if len(req.runs) < minExportedRuns && (req.clearedChange == 0 || req.part && !req.exported) {
			continue // of a part, the proof before its first crashes is of no use either
		}
		list = append(list, req.entries(now, change)...)
	}
	sortByFingerprint(list)
	return list
}

// EntriesOf returns all entries of the given requests.
func (t *Tracker) EntriesOf(now time.Time, fingerprints []string) (list []Entry) {
	for _, f := range fingerprints {
		if req := t.requests[f]; req != nil {
			list = append(list, req.entries(now, 0)...)
		}
	}
	return list
}

// Entries returns all entries.
func (t *Tracker) Entries(now time.Time) (list []Entry) {
	for _, req := range t.requests {
		list = append(list, req.entries(now, 0)...)
	}
	sortByFingerprint(list)
	return list
}

// sortByFingerprint gives entries an order that does not depend on the iteration of a map.
func sortByFingerprint(list []Entry) {
	slices.SortStableFunc(list, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
}

func (req *trackedRequest) entries(now time.Time, change uint64) (list []Entry) {
	entry := func(r Run, outcome Outcome, at time.Time) Entry {
		return Entry{Run: r, Outcome: outcome, AgeMS: now.Sub(at).Milliseconds(), AtMS: at.UnixMilli()}
	}
	if req.clearedChange > change {
		e := entry(Run{Fingerprint: req.fingerprint}, Cleared, req.clearedAt)
		e.Depth = req.depth
		list = append(list, e)
	}
	for _, at := range req.trials {
		if req.trialsChange > change {
			list = append(list, entry(Run{Fingerprint: req.fingerprint}, Trial, at))
		}
	}
	for _, r := range req.runs {
		if r.lastChange > change && r.outcome != Abandoned {
			for _, known := range r.knownReports() {
				e := entry(r.Run, known.outcome, known.at)
				e.Shared, e.Depth = r.sharedFailureSeen || r.sharedFailureReported, req.depth
				list = append(list, e)
			}
		}
	}
	return list
}
