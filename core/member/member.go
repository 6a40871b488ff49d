// Package member keeps the soft state of membership: what each agent last
// announced, ordered by incarnation, and the subset of upstreams that one
// entry knows.
package member

import (
	"slices"
	"strings"

	"heatherway.dev/core/wire"
)

// Times in milliseconds.
const (
	// AnnounceIntervalMS is the interval of an agent's announcements.
	AnnounceIntervalMS = 2000
	// LostAfterMS is the silence after which an upstream is lost: three
	// announcements.
	LostAfterMS = 6000
	// GoneAfterMS is the silence after which a lost upstream's incarnation counts as
	// gone: as long as an agent keeps a generation without a reader.
	GoneAfterMS = 60 * 1000
	// RetentionMS is how long the incarnation of a lost upstream is remembered, so
	// that a late announcement of an older one is still refused.
	RetentionMS = 3600 * 1000
)

// Announcement is what one control instance heard from an agent.
type Announcement struct {
	Upstream wire.Upstream
	// Seq orders the announcements of one incarnation; agents count up.
	Seq uint64
	// AgeMS is the time since it was heard.
	AgeMS int64
}

type tableEntry struct {
	upstream       wire.Upstream
	seq            uint64
	contentVersion uint64
	heardMS        int64
	// directMS is when this instance itself heard the agent, zero for never.
	directMS int64
	lost     bool
}

// Table is the membership table. It is not safe for concurrent use.
type Table struct {
	startMS   int64
	byID      map[string]*tableEntry
	byContent map[uint64]*tableEntry
}

// NewTable returns an empty table that starts at a time.
func NewTable(nowMS int64) *Table {
	return &Table{startMS: nowMS, byID: map[string]*tableEntry{}, byContent: map[uint64]*tableEntry{}}
}

// Announce handles an announcement that this instance heard itself. Refused
// means that a newer incarnation is known; changed that the members differ from
// before.
func (t *Table) Announce(nowMS int64, up wire.Upstream, seq uint64) (refused, changed bool) {
	refused, changed = t.merge(nowMS, up, seq)
	if !refused {
		t.byID[up.ID].directMS = nowMS
	}
	return refused, changed
}

// merge takes over an announcement unless a newer one is known.
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
	back := e.lost || !ok
	e.heardMS = max(e.heardMS, heardMS)
	e.seq, e.lost = seq, false
	return false, t.setUpstream(e, up) || back
}

// newerThan tells whether the entry comes from a later announcement of the same
// incarnation. Two control instances may hear an agent in turn, so that an
// older state arrives last.
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

// Expire marks upstreams that have been silent too long as lost, and forgets
// those lost for RetentionMS. It tells whether the members changed.
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

// Gone returns whether an incarnation is known to have ended: a newer one has
// announced itself, or nothing has been heard of it for GoneAfterMS.
func (t *Table) Gone(nowMS int64, id string, inc wire.Incarnation) bool {
	e, ok := t.byID[id]
	if !ok {
		return nowMS-t.startMS >= GoneAfterMS
	}
	return e.upstream.Incarnation > inc || nowMS-e.heardMS >= GoneAfterMS
}

// Members returns the upstreams that are not lost, in order of id.
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
