package registration

import "slices"

// Withdrawn reports whether an upstream has said, or is known, to accept no new requests for the
// rest of its incarnation.
func (u *Upstream) Withdrawn() bool { return u.Leaving || u.State == Draining || u.hasEnded() }

// WithdrawnSince returns the records of withdrawn upstreams that changed after a change number,
// sorted by ID.
func (d *Directory) WithdrawnSince(change uint64) []Upstream {
	return slices.DeleteFunc(d.ChangedSince(change), func(u Upstream) bool { return !u.Withdrawn() })
}

// WithdrawalChange returns the number of the last change of an upstream's record if the upstream
// is withdrawn, else zero.
func (d *Directory) WithdrawalChange(id string) uint64 {
	if r := d.byID[id]; r != nil && r.Withdrawn() {
		return r.change
	}
	return 0
}

// CopyTracker decides when withdrawals may be acknowledged: once the disks of enough control
// instances hold them. A withdrawal that is acknowledged and then forgotten brings a leaving
// upstream back as ready, since it announces nothing any more.
//
// Invariant: a change is acknowledged only after Needed holders have saved it, so it survives the
// loss of all processes together with the loss of all disks but one of the holders'.
type CopyTracker struct {
	// needed is the number of disks.
	needed int
	// saved holds, by holder, the last change up to which the holder has saved all withdrawals.
	saved        map[string]uint64
	acknowledged uint64
}

// NewCopyTracker returns a tracker for withdrawals that must survive the simultaneous loss of a
// number of disks.
func NewCopyTracker(losses int) *CopyTracker {
	return &CopyTracker{needed: losses + 1, saved: map[string]uint64{}}
}

// RecordSaved records that a holder has saved all withdrawals up to a change.
func (t *CopyTracker) RecordSaved(holder string, change uint64) {
	t.saved[holder] = max(t.saved[holder], change)
	changes := make([]uint64, 0, len(t.saved))
	for _, c := range t.saved {
		changes = append(changes, c)
	}
	if len(changes) < t.needed {
		return
	}
	slices.Sort(changes)
	t.acknowledged = max(t.acknowledged, changes[len(changes)-t.needed])
}

// Forget removes what a holder has saved, since it has restarted and may have lost its disk.
func (t *CopyTracker) Forget(holder string) { delete(t.saved, holder) }

// SavedBy returns the last change up to which a holder has saved all withdrawals.
func (t *CopyTracker) SavedBy(holder string) uint64 { return t.saved[holder] }

// Acknowledged returns the last change up to which all withdrawals may be acknowledged.
func (t *CopyTracker) Acknowledged() uint64 { return t.acknowledged }
