package crash

import (
	"cmp"
	"slices"
	"time"
)

// Agents see more of a crash than gateways do: whether the upstream has ended, which runs it
// ended, and how far each of them had come. This file translates that into entries.

// AgentCrash is one crash of the upstream beside an agent.
type AgentCrash struct {
	Upstream, Zone string
	// Incarnation is that of the agent, and Number distinguishes the crashes since its start.
	Incarnation, Number uint64
	// Unconfirmed is set if the upstream may not have ended.
	Unconfirmed bool
	// Suspects holds the keys of the parts of each run that had produced too little to prove
	// them.
	Suspects [][]string
	// Proofs holds when the last run began that has proved a part there.
	Proofs map[string]time.Time
}

// Entries returns the entries of a crash that happened at the given time.
func (c AgentCrash) Entries(now, at time.Time) (list []Entry) {
	// StartedMS only tells incarnations of an upstream apart, so that each crash needs a value of its own.
	run := Run{Upstream: c.Upstream, Addr: c.Upstream, StartedMS: int64(c.Incarnation + c.Number), Zone: c.Zone}
	outcome := UpstreamEnded
	if c.Unconfirmed {
		outcome = Interrupted
	}
	depths := map[string]int{}
	for _, keys := range c.Suspects {
		for depth, key := range keys {
			depths[key] = max(depths[key], depth)
		}
	}
	for key, depth := range depths {
		if proved, known := c.Proofs[key]; known {
			list = append(list, ProofEntry(now, key, proved))
		}
		r := run
		r.Fingerprint = key
		list = append(list, Entry{Run: r, Outcome: outcome, AgeMS: now.Sub(at).Milliseconds(), AtMS: at.UnixMilli(), Depth: depth})
	}
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), -cmp.Compare(a.Outcome, b.Outcome))
	})
	return list
}

// ProofEntry returns the entry of a part that a run has proved which began at the given time.
func ProofEntry(now time.Time, key string, at time.Time) Entry {
	return Entry{Run: Run{Fingerprint: key}, Outcome: Cleared, AgeMS: now.Sub(at).Milliseconds(), AtMS: at.UnixMilli()}
}

// SuspectedPart is what processes without a tracker know of a part that may cause crashes.
type SuspectedPart struct {
	Key string
	// Verdict is Allowed while there is too little evidence to hold requests. Runs that prove
	// the part are reported all the same.
	Verdict   Verdict
	Contested bool
}

// SuspectedParts returns the parts that are held, and those that crashes at several
// incarnations have made suspects, sorted by key. At most maxSuspects are returned, those
// that are held first.
func (t *Tracker) SuspectedParts(now time.Time) []SuspectedPart {
	var held, others []SuspectedPart
	for _, d := range t.decideParts(now) {
		held = append(held, SuspectedPart{d.Key, d.Verdict, d.Contested})
	}
	for key, req := range t.requests {
		if _, decided := t.decisions[key]; !decided && req.part && len(req.runs) >= minExportedRuns && len(req.crashes(now)) >= minExportedRuns {
			others = append(others, SuspectedPart{Key: key})
		}
	}
	byKey := func(a, b SuspectedPart) int { return cmp.Compare(a.Key, b.Key) }
	slices.SortFunc(others, byKey)
	list := append(held, others[:min(len(others), max(maxSuspects-len(held), 0))]...)
	slices.SortFunc(list, byKey)
	return list
}

// SuspectedPartsByKey is a list of SuspectedParts that requests are checked against.
type SuspectedPartsByKey map[string]SuspectedPart

// IndexSuspectedParts returns the list by key.
func IndexSuspectedParts(list []SuspectedPart) SuspectedPartsByKey {
	m := make(SuspectedPartsByKey, len(list))
	for _, p := range list {
		m[p.Key] = p
	}
	return m
}

// Verdict returns the verdict on a request with the given parts and those that forbid it to
// run.
func (m SuspectedPartsByKey) Verdict(keys []string) (verdict Verdict, held []string) {
	for _, key := range keys {
		if p := m[key]; p.Verdict != Allowed {
			verdict = max(verdict, p.Verdict)
			held = append(held, key)
		}
	}
	return verdict, held
}

// Suspected returns those of the keys that are on the list.
func (m SuspectedPartsByKey) Suspected(keys []string) []string {
	return slices.DeleteFunc(slices.Clone(keys), func(key string) bool { _, listed := m[key]; return !listed })
}
