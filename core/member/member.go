// Package member maintains the upstream membership of a fleet of entries and agents: the
// last announcement of each agent, ordered by incarnation, and the subset of upstreams known
// to each entry, a process that accepts requests from clients. The table is not replicated;
// control instances rebuild it from announcements and exchange digests of it.
package member

import (
	"slices"
	"strings"

	"heatherway.dev/core/wire"
)

// Durations in milliseconds.
const (
	// AnnounceIntervalMS is the interval of an agent's announcements.
	AnnounceIntervalMS = 2000
	// LostAfterMS is the time without an announcement after which an upstream counts as
	// lost: three announcement intervals.
	LostAfterMS = 6000
	// GoneAfterMS is the time without an announcement after which a lost upstream's
	// incarnation counts as gone. It equals the time for which an agent keeps a generation
	// that has no reader.
	GoneAfterMS = 60 * 1000
	// RetentionMS is how long the incarnation of a lost upstream is kept, so that a late
	// announcement of an older incarnation is still refused.
	RetentionMS = 3600 * 1000
)

// Announcement is an agent's announcement as received by a control instance.
type Announcement struct {
	Upstream wire.Upstream
	// Seq orders the announcements of one incarnation. Agents increment it.
	Seq uint64
	// AgeMS is the time since the announcement was received.
	AgeMS int64
}

type tableEntry struct {
	upstream       wire.Upstream
	seq            uint64
	contentVersion uint64
	// heardMS is when any control instance last received the announcement.
	heardMS int64
	// directMS is when this instance last received an announcement directly from the
	// agent, or zero for never.
	directMS int64
	lost     bool
}

// Table is the membership table of a control instance. It is not safe for concurrent use.
type Table struct {
	startMS   int64
	byID      map[string]*tableEntry
	byContent map[uint64]*tableEntry
}

// NewTable returns an empty table that is created at a time.
func NewTable(nowMS int64) *Table {
	return &Table{startMS: nowMS, byID: map[string]*tableEntry{}, byContent: map[uint64]*tableEntry{}}
}

// Announce processes an announcement that this instance received directly. It returns
// whether the announcement was refused because a newer incarnation is known, and whether
// the members changed.
func (t *Table) Announce(nowMS int64, up wire.Upstream, seq uint64) (refused, changed bool) {
	refused, changed = t.merge(nowMS, up, seq)
	if !refused {
		t.byID[up.ID].directMS = nowMS
	}
	return refused, changed
}

// merge applies an announcement unless a newer one is known.
func (t *Table) merge(heardMS int64, up wire.Upstream, seq uint64) (refused, changed bool) {
	e, ok := t.byID[up.ID]
	if !ok {
		e = &tableEntry{}
		t.byID[up.ID] = e
	}
	if up.Incarnation < e.upstream.Incarnation {
		return true, false
	}
	if e.isNewerThan(up.Incarnation, seq, heardMS) {
		return false, false
	}
	appeared := e.lost || !ok
	e.heardMS = max(e.heardMS, heardMS)
	e.seq, e.lost = seq, false
	return false, t.setUpstream(e, up) || appeared
}

// isNewerThan reports whether the table entry stems from a later announcement of the same
// incarnation. An agent may announce itself to two control instances in turn, so an older
// announcement may arrive last.
func (e *tableEntry) isNewerThan(inc wire.Incarnation, seq uint64, heardMS int64) bool {
	if e.upstream.Incarnation != inc {
		return false
	}
	return e.seq > seq || e.seq == seq && e.heardMS > heardMS
}

func (t *Table) setUpstream(e *tableEntry, up wire.Upstream) (changed bool) {
	content := Version([]wire.Upstream{up})
	if content == e.contentVersion {
		return false
	}
	delete(t.byContent, e.contentVersion)
	e.upstream, e.contentVersion = up, content
	t.byContent[content] = e
	return true
}

// Expire marks upstreams without a recent announcement as lost, and removes those without
// one for RetentionMS. It reports whether the members changed.
func (t *Table) Expire(nowMS int64) (changed bool) {
	for id, e := range t.byID {
		silent := nowMS - e.heardMS
		if silent >= LostAfterMS && !e.lost {
			e.lost, changed = true, true
		}
		if silent >= RetentionMS {
			delete(t.byID, id)
			delete(t.byContent, e.contentVersion)
		}
	}
	return changed
}

// Gone reports whether an incarnation has ended: a newer one has announced itself, or there
// was no announcement for GoneAfterMS.
func (t *Table) Gone(nowMS int64, id string, inc wire.Incarnation) bool {
	e, ok := t.byID[id]
	if !ok {
		return nowMS-t.startMS >= GoneAfterMS
	}
	return e.upstream.Incarnation > inc || nowMS-e.heardMS >= GoneAfterMS
}

// Members returns the upstreams that are not lost, sorted by ID.
func (t *Table) Members() []wire.Upstream {
	out := make([]wire.Upstream, 0, len(t.byID))
	for _, e := range t.byID {
		if !e.lost {
			out = append(out, e.upstream)
		}
	}
	slices.SortFunc(out, func(a, b wire.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return out
}
