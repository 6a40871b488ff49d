// Package registration keeps the directory of upstreams that announce
// themselves. Announcements arrive late, out of order, twice and through
// several control instances; a Directory merges them into one state that does
// not depend on the order. It holds no clock and no lock.
package registration

import (
	"container/list"
	"slices"
	"strings"
	"time"
)

// State is what an upstream says of itself.
type State uint8

// The states, in the order in which one incarnation passes through them.
const (
	Ready State = iota
	// Draining upstreams finish their work and take no more.
	Draining
	// Lost upstreams have not been heard of for too long; a later announcement
	// brings them back.
	Lost
	// Left upstreams have ended, or were replaced at their address.
	Left
)

// String returns the name used in logs.
func (s State) String() string {
	names := [...]string{"ready", "draining", "lost", "left"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Valid tells whether a state that another process has sent is one of the states.
func (s State) Valid() bool { return s <= Left }

// Upstream is one announcement.
type Upstream struct {
	ID      string
	Service string
	// Addr is IP:PORT.
	Addr  string
	Zone  string
	Slots int
	State State
	// StartedMS is the start of the incarnation in Unix milliseconds, by the
	// upstream's own clock; zero when it does not say.
	StartedMS int64
	// Seq counts the announcements of one incarnation.
	Seq int64
	// ColdMS is how much longer the upstream is slow after its start.
	ColdMS int64
	// Leaving is set once the incarnation has said in an answer that it leaves. It
	// takes no new work from then on, whatever its announcements say.
	Leaving bool
	// Moved is set once the id has come back at another address.
	Moved bool
}

// settle brings the state in line with what the incarnation has said in answers.
func (u *Upstream) applyLeaving(leaving bool) {
	u.Leaving = u.Leaving || leaving
	if u.Leaving && u.State == Ready {
		u.State = Draining
	}
}

// newer tells whether an announcement came after another of the same id.
func (u *Upstream) isNewerThan(old *Upstream) bool {
	if u.StartedMS != old.StartedMS {
		return u.StartedMS > old.StartedMS
	}
	if u.State == Left || old.State == Left {
		return old.State != Left // an incarnation that has left does not return
	}
	if u.Seq == old.Seq {
		return u.State > old.State
	}
	return u.Seq > old.Seq
}

type record struct {
	Upstream
	lastHeard time.Time
	// change numbers the last change of what readers see, and place is the
	// record's place in the order of changes.
	change  uint64
	element *list.Element
}

// Directory is the merged state. The zero value is not usable; see New.
type Directory struct {
	byID       map[string]*record
	byAddr     map[string]string
	lastChange uint64
	// order holds the records by their last change, the newest at the back, so
	// that readers pay for what has changed and not for the size.
	byChange *list.List
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{byID: map[string]*record{}, byAddr: map[string]string{}, byChange: list.New()}
}

// Outcome is what an announcement did.
type Outcome uint8

// The outcomes.
const (
	// Stale announcements are older than what is known.
	Stale Outcome = iota
	// Refreshed announcements say nothing new.
	Refreshed
	// Changed announcements changed what readers see.
	Changed
	// Malformed announcements name no upstream or no state.
	Malformed
)

// Observe takes an announcement in.
func (d *Directory) Observe(now time.Time, u Upstream) Outcome {
	if u.ID == "" || !u.State.Valid() {
		return Malformed
	}
	old, known := d.byID[u.ID]
	if known && u.State == Left && u.StartedMS == 0 {
		u.StartedMS = old.StartedMS // a departure that does not say means the incarnation known
	}
	if known && u.Leaving && d.MarkLeaving(now, u.ID, u.StartedMS) {
		return Changed
	}
	if known && !u.isNewerThan(&old.Upstream) {
		if old.StartedMS == u.StartedMS && old.Seq == u.Seq && old.State != Left {
			old.lastHeard = now
		}
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
		old = &record{}
		d.byID[u.ID] = old
	}
	old.Upstream, old.lastHeard = u, now
	if !changed {
		return Refreshed
	}
	d.markChanged(old)
	d.claimAddress(u)
	return Changed
}

func sameForReaders(a, b *Upstream) bool {
	return a.StartedMS == b.StartedMS && a.State == b.State && a.Addr == b.Addr &&
		a.Service == b.Service && a.Zone == b.Zone && a.Slots == b.Slots && a.Leaving == b.Leaving
}

// MarkLeaving records that an incarnation has said in an answer that it leaves. It
// returns true when that is news.
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

// replacedAt tells whether a later incarnation has the address: an announcement
// may be delayed by a partition until after its sender has crashed.
func (d *Directory) addressTakenOver(u Upstream) bool {
	id, taken := d.byAddr[u.Addr]
	if !taken || id == u.ID {
		return false
	}
	other := d.byID[id]
	return other != nil && other.State < Lost && other.StartedMS > u.StartedMS
}

// settleAddress marks the previous owner of an address as left.
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

// Silent returns the upstreams that have not been heard of for a time and are
// neither lost nor have left.
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

// Expire drops records that have not been heard of for a time. Those that left
// are kept as long, so that late announcements stay without effect.
func (d *Directory) Expire(now time.Time, after time.Duration) {
	for id, r := range d.byID {
		if now.Sub(r.lastHeard) < after {
			continue
		}
		d.remove(id, r)
	}
}

// RemoveEnded forgets the records that have been lost or have left for a time and returns
// them. A reader hears of upstreams only when they change, so it cannot tell by silence.
func (d *Directory) RemoveEnded(now time.Time, after time.Duration) []Upstream {
	var out []Upstream
	for id, r := range d.byID {
		if r.State >= Lost && now.Sub(r.lastHeard) >= after {
			out = append(out, r.Upstream)
			d.remove(id, r)
		}
	}
	sortByID(out)
	return out
}

func (d *Directory) remove(id string, r *record) {
	delete(d.byID, id)
	d.byChange.Remove(r.element)
	if d.byAddr[r.Addr] == id {
		delete(d.byAddr, r.Addr)
	}
}

// MarkLost marks the upstreams that have not been heard of for a time as lost
// and returns them.
func (d *Directory) MarkLost(now time.Time, after time.Duration) []Upstream {
	silent := d.Silent(now, after)
	for _, u := range silent {
		r := d.byID[u.ID]
		r.State = Lost
		d.markChanged(r)
	}
	return silent
}

// LastChange returns the number of the last change, for ChangedSince.
func (d *Directory) LastChange() uint64 { return d.lastChange }

// ChangedSince returns the records that changed after a number, in order of id.
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

// Refresh records that an incarnation has been heard of without anything new. It
// returns false when the incarnation is not known.
func (d *Directory) Refresh(now time.Time, id string, startedMS, seq int64) bool {
	r := d.byID[id]
	if r == nil || r.StartedMS < startedMS || r.State == Lost {
		return false
	}
	if r.StartedMS == startedMS && seq >= r.Seq && r.State != Left {
		r.Seq, r.lastHeard = seq, now
	}
	return true
}

// Get returns what is known of an upstream.
func (d *Directory) Get(id string) (Upstream, bool) {
	r, ok := d.byID[id]
	if !ok {
		return Upstream{}, false
	}
	return r.Upstream, true
}

// LastHeard returns when an upstream was last heard of.
func (d *Directory) LastHeard(id string) time.Time {
	if r := d.byID[id]; r != nil {
		return r.lastHeard
	}
	return time.Time{}
}

// All returns every record, those that left included, in order of id.
func (d *Directory) All() []Upstream { return d.ChangedSince(0) }

func sortByID(list []Upstream) {
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
}
