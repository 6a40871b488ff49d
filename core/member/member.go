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
	// AnnounceMS is the interval of an agent's announcements.
	AnnounceMS = 2000
	// LostMS is the silence after which an upstream is lost: three
	// announcements.
	LostMS = 6000
	// KeepMS is how long the incarnation of a lost upstream is remembered, so
	// that a late announcement of an older one is still refused.
	KeepMS = 3600 * 1000
)

type entry struct {
	up      wire.Upstream
	heardMS int64
	lost    bool
}

// Table is the membership table. It is not safe for concurrent use.
type Table struct {
	byID map[string]*entry
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{byID: map[string]*entry{}} }

// Announce handles an announcement heard at a time. Refused means that a newer
// incarnation is known; changed that the members differ from before.
func (t *Table) Announce(nowMS int64, up wire.Upstream) (refused, changed bool) {
	e, ok := t.byID[up.ID]
	if !ok {
		t.byID[up.ID] = &entry{up: up, heardMS: nowMS}
		return false, true
	}
	if up.Incarnation < e.up.Incarnation {
		return true, false
	}
	changed = e.lost || !Equal(e.up, up)
	e.up, e.lost = up, false
	e.heardMS = max(e.heardMS, nowMS)
	return false, changed
}

// Equal tells whether two announcements say the same.
func Equal(a, b wire.Upstream) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Zone == b.Zone && a.Region == b.Region &&
		a.Addr == b.Addr && a.State == b.State && a.Slots == b.Slots && a.EventsURL == b.EventsURL &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Adapters, b.Adapters) && slices.Equal(a.Services, b.Services)
}

// Expire marks upstreams that have been silent too long as lost, and forgets
// those lost for KeepMS. It tells whether the members changed.
func (t *Table) Expire(nowMS int64) (changed bool) {
	for id, e := range t.byID {
		silent := nowMS - e.heardMS
		if silent >= LostMS && !e.lost {
			e.lost, changed = true, true
		}
		if silent >= KeepMS {
			delete(t.byID, id)
		}
	}
	return changed
}

// Gone returns whether the incarnation is known to have ended: a newer one has
// announced itself.
func (t *Table) Gone(id string, inc wire.Incarnation) bool {
	e, ok := t.byID[id]
	return ok && e.up.Incarnation > inc
}

// Members returns the upstreams that are not lost, in order of id.
func (t *Table) Members() []wire.Upstream {
	out := make([]wire.Upstream, 0, len(t.byID))
	for _, e := range t.byID {
		if !e.lost {
			out = append(out, e.up)
		}
	}
	slices.SortFunc(out, func(a, b wire.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Incarnations returns the newest incarnation of every remembered upstream.
func (t *Table) Incarnations() map[string]wire.Incarnation {
	out := make(map[string]wire.Incarnation, len(t.byID))
	for id, e := range t.byID {
		out[id] = e.up.Incarnation
	}
	return out
}
