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
	// Left upstreams have terminated, or another upstream has taken over their address (see
	// Upstream.Replaced).
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
	// Replaced is set, with the state Left, while another upstream has claimed the address. The
	// claim may be false, so an upstream that goes on announcing itself becomes available again.
	// Returned is set from then on.
	Replaced, Returned bool
}

// hasEnded reports whether the incarnation has said that it has terminated, which is final.
func (u *Upstream) hasEnded() bool { return u.State == Left && !u.Replaced }

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
	if u.hasEnded() || old.hasEnded() {
		return !old.hasEnded()
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
	// unnamed is set if the configuration did not name the service when the incarnation was first
	// heard of. A service that is named later does not make its claim true.
	unnamed bool
	// announcements counts the announcements with rising sequence numbers since the upstream was
	// replaced.
	announcements int
	// change is the number of the record's last change that is visible to readers, and
	// element is its element in Directory.byChange.
	change  uint64
	element *list.Element
}

// Directory is the merged state of all announcements. Use New to create one.
type Directory struct {
	byID map[string]*record
	// byAddr holds the ID of the upstream that has claimed an address.
	byAddr     map[string]string
	lastChange uint64
	// isNamed reports whether the configuration names a service.
	isNamed func(service string) bool
	// reader is set in the directory of a reader, which adopts the states that it is sent and
	// decides nothing about addresses.
	reader bool
	// byChange holds the records ordered by their last change, the newest at the back, so
	// that the cost of an update depends on the number of changes and not on the
	// directory's size.
	byChange *list.List
}

// New returns an empty directory for a control instance. isNamed reports whether the configuration
// names a service: an announcement of another one may come from another writer, and must not end
// an upstream that runs. It is called only when announcements contradict each other.
func New(isNamed func(service string) bool) *Directory {
	return &Directory{byID: map[string]*record{}, byAddr: map[string]string{}, byChange: list.New(), isNamed: isNamed}
}

// NewReader returns an empty directory for a reader.
func NewReader(isNamed func(service string) bool) *Directory {
	d := New(isNamed)
	d.reader = true
	return d
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
	if known && u.State != Left && u.Service != old.Service {
		switch {
		case !d.isNamed(u.Service) && old.State < Lost:
			return Stale // another writer uses the ID of a running upstream
		case d.isNamed(u.Service) && !d.isNamed(old.Service) && u.StartedMS < old.StartedMS:
			d.remove(u.ID, old) // another writer has used the ID before the upstream was known here
			known = false
		}
	}
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
	if known && old.Replaced && old.StartedMS == u.StartedMS && u.State != Left {
		if !d.mayReturn(old, u) {
			old.Seq, old.lastHeard = u.Seq, now
			return Refreshed
		}
		u.Returned = true
	}
	if u.State == Left && known && u.Addr == "" {
		left := old.Upstream
		left.State, left.Replaced, left.Seq = Left, false, u.Seq
		u = left
	}
	u.Returned = u.Returned || known && old.Returned && old.StartedMS == u.StartedMS
	if u.Addr != "" && u.State != Left && !u.Returned && d.addressTakenOver(u) {
		u.State, u.Replaced = Left, true
	}
	u.applyLeaving(known && old.Leaving && old.StartedMS == u.StartedMS)
	u.Moved = u.Moved || known && (old.Moved || old.Addr != u.Addr && old.Addr != "" && u.Addr != "")
	changed := !known || !sameForReaders(&old.Upstream, &u)
	appears := !known || old.StartedMS != u.StartedMS || old.Addr != u.Addr || old.State == Lost
	unnamed := known && old.unnamed && old.StartedMS == u.StartedMS
	if !known {
		if len(d.byID) >= MaxRecords && !d.removeOldestEnded() {
			return Full
		}
		old = &record{}
		d.byID[u.ID] = old
	}
	old.Upstream, old.lastHeard, old.hidesLive, old.announcements, old.unnamed = u, now, false, 0, unnamed
	if !changed {
		return Refreshed
	}
	d.markChanged(old)
	if appears {
		d.claimAddress(old)
	}
	return Changed
}

// announcementsToReturn is the number of announcements with rising sequence numbers after which a
// replaced upstream is available again. One may have been sent before the upstream ended; one
// that runs sends another after an interval.
const announcementsToReturn = 2

// mayReturn reports whether a replaced upstream is available again with an announcement.
func (d *Directory) mayReturn(old *record, u Upstream) bool {
	old.announcements++
	return d.reader || u.Returned || old.announcements >= announcementsToReturn
}

func sameForReaders(a, b *Upstream) bool {
	return a.StartedMS == b.StartedMS && a.State == b.State && a.Addr == b.Addr &&
		a.Service == b.Service && a.Zone == b.Zone && a.Slots == b.Slots && a.Leaving == b.Leaving && a.Version == b.Version &&
		a.Replaced == b.Replaced && a.Returned == b.Returned
}

// MarkLeaving records that an incarnation has signalled in a response that it is leaving.
// It returns true if that was not known yet.
func (d *Directory) MarkLeaving(now time.Time, id string, startedMS int64) bool {
	r := d.byID[id]
	if r == nil || r.StartedMS != startedMS || r.Leaving || r.hasEnded() {
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
	if !taken || id == u.ID || d.reader {
		return false
	}
	other := d.byID[id]
	return other != nil && other.State < Lost && other.StartedMS > u.StartedMS && d.mayReplace(other.Service, u.Service)
}

// mayReplace reports whether an upstream of a service proves, by its start at an address, that an
// upstream of another service has ended there. An announcement of a service that the configuration
// does not name may come from another writer.
func (d *Directory) mayReplace(service, other string) bool {
	return service == other || d.isNamed(service)
}

// claimAddress records the owner of an address and marks the upstreams that were there before as
// replaced.
func (d *Directory) claimAddress(u *record) {
	if u.State >= Lost || u.Addr == "" || d.reader {
		return
	}
	id, taken := d.byAddr[u.Addr]
	if !taken || id == u.ID {
		d.byAddr[u.Addr] = u.ID
		return
	}
	if owner := d.byID[id]; owner != nil && owner.Service != u.Service && (u.unnamed || !d.isNamed(u.Service)) {
		u.unnamed = true
		return
	}
	d.byAddr[u.Addr] = u.ID
	for _, other := range d.byID { // one that has returned is there beside the owner
		if other.ID == u.ID || other.Addr != u.Addr || other.State == Left {
			continue
		}
		other.State, other.Replaced, other.Returned, other.announcements = Left, true, false, 0
		d.markChanged(other)
	}
}

// IsAloneAt reports whether no other upstream that is neither lost nor left has the address of an
// upstream.
func (d *Directory) IsAloneAt(u Upstream) bool {
	for _, other := range d.byID {
		if other.ID != u.ID && other.Addr == u.Addr && other.State < Lost {
			return false
		}
	}
	return true
}

// OwnsAddress reports whether an upstream has claimed its address.
func (d *Directory) OwnsAddress(u Upstream) bool { return u.Addr != "" && d.byAddr[u.Addr] == u.ID }

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
	if r.StartedMS == startedMS && r.Replaced {
		return seq <= r.Seq // the record shows whether the upstream has returned
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
