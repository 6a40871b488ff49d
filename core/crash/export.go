package crash

import "time"

// suspectRuns is the number of runs from which on readers get those of a request. Most
// requests that break off do so once.
const suspectRuns = 2

// EntriesSince returns what changed after a number, of requests that broke off twice or more.
func (l *Tracker) EntriesSince(now time.Time, change uint64) (list []Entry) {
	if change >= l.changes {
		return nil
	}
	for _, q := range l.requests {
		if len(q.runs) < suspectRuns && q.change == 0 {
			continue
		}
		list = append(list, q.entries(now, change)...)
	}
	return list
}

// EntriesOf returns all that is known of some requests.
func (l *Tracker) EntriesOf(now time.Time, fingerprints []string) (list []Entry) {
	for _, f := range fingerprints {
		if q := l.requests[f]; q != nil {
			list = append(list, q.entries(now, 0)...)
		}
	}
	return list
}

// Entries returns everything that is on record.
func (l *Tracker) Entries(now time.Time) (list []Entry) {
	for _, q := range l.requests {
		list = append(list, q.entries(now, 0)...)
	}
	return list
}

func (q *request) entries(now time.Time, change uint64) (list []Entry) {
	if q.change > change {
		list = append(list, Entry{Run: Run{Fingerprint: q.fingerprint}, Outcome: Cleared, AgeMS: now.Sub(q.cleared).Milliseconds()})
	}
	for _, r := range q.runs {
		if r.change > change && r.outcome != Abandoned {
			list = append(list, Entry{Run: r.Run, Outcome: r.outcome, Shared: r.shared || r.told, AgeMS: now.Sub(r.at).Milliseconds()})
		}
	}
	return list
}
