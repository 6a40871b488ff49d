// Package registration maintains the directory of upstreams that register by announcing
// themselves. Announcements may be delayed, reordered, duplicated and received by several
// control instances; a Directory merges them into a state that doesn't depend on their
// order. Callers pass in the time and synchronize access.
//
// An incarnation is one run of an upstream, identified by its ID and start time. A reader is
// a process, such as a gateway, that follows the changes of a directory. Fleets of entries
// and agents use package member instead.
package registration

import (
	"container/list"
	"slices"
	"strconv"
	"strings"
	"time"
)

// State is the state of an upstream.
type State uint8

// States, in the order in which an incarnation passes through them.
const (
	Ready State = iota
	// Draining upstreams finish their running requests and accept no new ones.
	Draining
	// Lost upstreams have not been heard from for too long. A later announcement makes
	// them available again.
	Lost
	// Left upstreams have terminated, or another upstream has taken over their address.
	Left
)

// String returns the state's name as used in logs.
func (s State) String() string {
	names := [...]string{"ready", "draining", "lost", "left"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Valid reports whether a state received from another process is defined.
func (s State) Valid() bool { return s <= Left }

// Upstream is an announcement of an upstream.
type Upstream struct {
	ID      string
	Service string
	// Addr is IP:PORT, empty if an upstream that left has not stated it.
	Addr  string
	Zone  string
	Slots int
	State State
	// StartedMS is the start time of the incarnation in Unix milliseconds, by the
	// upstream's own clock, or zero if unknown.
	StartedMS int64
	// Seq is the sequence number of the announcement within its incarnation.
	Seq int64
	// ColdMS is the remaining warm-up time, during which the upstream is slow.
	ColdMS int64
	// Version is the version of the upstream's software, empty if it is not stated.
	Version string
	// Leaving is set once the incarnation has signalled in a response that it is leaving.
	// It gets no new requests from then on, regardless of its announcements.
	Leaving bool
	// Moved is set once the ID has reappeared at another address.
	Moved bool
}

// SoftwareVersion identifies the software that writes the upstream's answers. Upstreams that state
// no version may run different ones, so each incarnation of them counts as a version of its own.
// It begins with a space, which no stated version does.
func (u *Upstream) SoftwareVersion() string {
	if u.Version != "" {
		return u.Version
	}
	return " " + u.ID + "/" + strconv.FormatInt(u.StartedMS, 10)
}

// applyLeaving sets Leaving if the incarnation has signalled that it is leaving. A ready
// upstream that is leaving becomes draining.
func (u *Upstream) applyLeaving(leaving bool) {
	u.Leaving = u.Leaving || leaving
	if u.Leaving && u.State == Ready {
		u.State = Draining
	}
}

// isNewerThan reports whether an announcement supersedes another one with the same ID.
func (u *Upstream) isNewerThan(old *Upstream) bool {
	if u.StartedMS != old.StartedMS {
		return u.StartedMS > old.StartedMS
	}
	if u.State == Left || old.State == Left {
		return old.State != Left // leaving is final for an incarnation
	}
	if u.Seq == old.Seq {
		return u.State > old.State
	}
	return u.Seq > old.Seq
}

// record is the newest announcement of an upstream with the directory's own state.
type record struct {
	Upstream
	lastHeard time.Time
	// hidesLive is set if the record has ended and a record of a live upstream with the same
	// ID was refused as older since.
	hidesLive bool
	// change is the number of the record's last change that is visible to readers, and
	// element is its element in Directory.byChange.
	change  uint64
	element *list.Element
}

// Directory is the merged state of all announcements. Use New to create one.
type Directory struct {
	byID       map[string]*record
	byAddr     map[string]string
	lastChange uint64
	// byChange holds the records ordered by their last change, the newest at the back, so
	// that the cost of an update depends on the number of changes and not on the
	// directory's size.
	byChange *list.List
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{byID: map[string]*record{}, byAddr: map[string]string{}, byChange: list.New()}
}

// Outcome is the effect of an announcement.
type Outcome uint8

// Outcomes.
const (
	// Stale announcements are not newer than the known one.
	Stale Outcome = iota
	// Refreshed announcements are newer but change nothing visible to readers.
	Refreshed
	// Changed announcements change something visible to readers.
	Changed
	// Malformed announcements fail Validate and have no effect.
	Malformed
	// Full is returned for new upstreams while the directory holds MaxRecords that have not
	// ended.
	Full
)

// Observe merges an announcement into the directory. A repeat of the newest announcement is
// Stale, but updates the time when the upstream was last heard from.
func (d *Directory) Observe(now time.Time, u Upstream) Outcome {
	if u.Validate() != nil {
		return Malformed
	}
	old, known := d.byID[u.ID]
	if known && u.State == Left && u.StartedMS == 0 {
		u.StartedMS = old.StartedMS // a departure without a start time refers to the known incarnation
	}
	if known && u.Leaving && d.MarkLeaving(now, u.ID, u.StartedMS) {
		return Changed
	}
	if known && !u.isNewerThan(&old.Upstream) {
		if old.StartedMS == u.StartedMS && old.Seq == u.Seq && old.State != Left {
			old.lastHeard = now
		}
		old.hidesLive = old.hidesLive || old.State >= Lost && u.State < Lost
		return Stale
	}
	if u.State == Left && known && u.Addr == "" {
		left := old.Upstream
		left.State, left.Seq = Left, u.Seq
		u = left
	}
	if u.Addr != "" && u.State != Left && d.addressTakenOver(u) {
		u.State = Left
	}
	u.applyLeaving(known && old.Leaving && old.StartedMS == u.StartedMS)
	u.Moved = u.Moved || known && (old.Moved || old.Addr != u.Addr && old.Addr != "" && u.Addr != "")
	changed := !known || !sameForReaders(&old.Upstream, &u)
	if !known {
		if len(d.byID) >= MaxRecords && !d.removeOldestEnded() {
			return Full
		}
		old = &record{}
		d.byID[u.ID] = old
	}
	old.Upstream, old.lastHeard, old.hidesLive = u, now, false
	if !changed {
		return Refreshed
	}
	d.markChanged(old)
	d.claimAddress(u)
	return Changed
}

func sameForReaders(a, b *Upstream) bool {
	return a.StartedMS == b.StartedMS && a.State == b.State && a.Addr == b.Addr &&
		a.Service == b.Service && a.Zone == b.Zone && a.Slots == b.Slots && a.Leaving == b.Leaving && a.Version == b.Version
}

// MarkLeaving records that an incarnation has signalled in a response that it is leaving.
// It returns true if that was not known yet.
func (d *Directory) MarkLeaving(now time.Time, id string, startedMS int64) bool {
	r := d.byID[id]
	if r == nil || r.StartedMS != startedMS || r.Leaving || r.State == Left {
		return false
	}
	r.applyLeaving(true)
	r.lastHeard = now
	d.markChanged(r)
	return true
}

func (d *Directory) markChanged(r *record) {
	d.lastChange++
	r.change = d.lastChange
	if r.element == nil {
		r.element = d.byChange.PushBack(r)
		return
	}
	d.byChange.MoveToBack(r.element)
}

// addressTakenOver reports whether an upstream that was started later has the address. A
// network partition can delay an announcement until after its sender has crashed.
func (d *Directory) addressTakenOver(u Upstream) bool {
	id, taken := d.byAddr[u.Addr]
	if !taken || id == u.ID {
		return false
	}
	other := d.byID[id]
	return other != nil && other.State < Lost && other.StartedMS > u.StartedMS
}

// claimAddress records the owner of an address and marks its previous owner as left.
func (d *Directory) claimAddress(u Upstream) {
	if u.State >= Lost || u.Addr == "" {
		return
	}
	if id, taken := d.byAddr[u.Addr]; taken && id != u.ID {
		if other := d.byID[id]; other != nil && other.State != Left {
			other.State = Left
			d.markChanged(other)
		}
	}
	d.byAddr[u.Addr] = u.ID
}

// Silent returns the upstreams that have not been heard from for a duration and are neither
// lost nor left.
func (d *Directory) Silent(now time.Time, after time.Duration) []Upstream {
	var out []Upstream
	for _, r := range d.byID {
		if r.State < Lost && now.Sub(r.lastHeard) >= after {
			out = append(out, r.Upstream)
		}
	}
	sortByID(out)
	return out
}

// Expire removes the records that have not been heard from for a duration. Upstreams that
// left are kept as long as others, so that their late announcements have no effect.
func (d *Directory) Expire(now time.Time, after time.Duration) {
	for id, r := range d.byID {
		if now.Sub(r.lastHeard) < after {
			continue
		}
		d.remove(id, r)
	}
}

// RemoveEnded removes and returns the records that have been lost or left for a duration.
// Readers use it instead of Expire: they receive only changes, so an upstream without
// updates is not necessarily gone. It reports whether one of these records has hidden a live
// upstream, whose record the reader must then request again.
func (d *Directory) RemoveEnded(now time.Time, after time.Duration) (removed []Upstream, hidLive bool) {
	for id, r := range d.byID {
		if r.State >= Lost && now.Sub(r.lastHeard) >= after {
			removed = append(removed, r.Upstream)
			hidLive = hidLive || r.hidesLive
			d.remove(id, r)
		}
	}
	sortByID(removed)
	return removed, hidLive
}

// removeOldestEnded removes the record that ended first. It returns false if none has ended.
func (d *Directory) removeOldestEnded() bool {
	for e := d.byChange.Front(); e != nil; e = e.Next() {
		if r := e.Value.(*record); r.State >= Lost {
			d.remove(r.ID, r)
			return true
		}
	}
	return false
}

func (d *Directory) remove(id string, r *record) {
	delete(d.byID, id)
	d.byChange.Remove(r.element)
	if d.byAddr[r.Addr] == id {
		delete(d.byAddr, r.Addr)
	}
}

// MarkLost marks the upstreams that have not been heard from for a duration as lost and
// returns them, in the state before.
func (d *Directory) MarkLost(now time.Time, after time.Duration) []Upstream {
	silent := d.Silent(now, after)
	for _, u := range silent {
		r := d.byID[u.ID]
		r.State = Lost
		d.markChanged(r)
	}
	return silent
}

// LastChange returns the number of the last change, for use with ChangedSince.
func (d *Directory) LastChange() uint64 { return d.lastChange }

// ChangedSince returns the records that changed after a change number, sorted by ID.
func (d *Directory) ChangedSince(change uint64) []Upstream {
	var out []Upstream
	for e := d.byChange.Back(); e != nil; e = e.Prev() {
		r := e.Value.(*record)
		if r.change <= change {
			break
		}
		out = append(out, r.Upstream)
	}
	sortByID(out)
	return out
}

// Len returns the number of records.
func (d *Directory) Len() int { return len(d.byID) }

// Refresh records that an incarnation is alive, without its complete record. It returns
// false if the incarnation is unknown or lost; the sender must then send the record.
func (d *Directory) Refresh(now time.Time, id string, startedMS, seq int64) bool {
	r := d.byID[id]
	if r == nil || r.StartedMS < startedMS || r.State == Lost {
		return false
	}
	if r.StartedMS == startedMS && seq >= r.Seq && seq <= MaxSeq && r.State != Left {
		r.Seq, r.lastHeard = seq, now
	}
	return true
}

// Get returns an upstream's record, and whether it exists.
func (d *Directory) Get(id string) (Upstream, bool) {
	r, ok := d.byID[id]
	if !ok {
		return Upstream{}, false
	}
	return r.Upstream, true
}

// LastHeard returns when an upstream was last heard from, or zero if it is unknown.
func (d *Directory) LastHeard(id string) time.Time {
	if r := d.byID[id]; r != nil {
		return r.lastHeard
	}
	return time.Time{}
}

// All returns all records, including upstreams that left, sorted by ID.
func (d *Directory) All() []Upstream { return d.ChangedSince(0) }

func sortByID(list []Upstream) {
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
}
