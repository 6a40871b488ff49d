package lease

// Timer is the leader's count of the time that leases have left. It starts anew
// with each leader, so a change of leader only prolongs a lease.
type Timer struct{ marks map[string]mark }

type mark struct {
	fence, renewed uint64
	sinceMS        int64
}

// Update notes the leases at a time of a clock that never goes back, and returns
// those whose time has passed. A member that does not lead passes no leases.
func (t *Timer) Update(nowMS int64, leases []Lease) []Expire {
	next := make(map[string]mark, len(leases))
	var due []Expire
	for _, l := range leases {
		if l.Holder == "" {
			continue
		}
		m, ok := t.marks[l.Name]
		if !ok || m.fence != l.Fence || m.renewed != l.RenewedIndex {
			m = mark{l.Fence, l.RenewedIndex, nowMS}
		}
		next[l.Name] = m
		if nowMS-m.sinceMS > l.DurationMS+l.DurationMS*marginPercent/100 {
			due = append(due, Expire{l.Name, l.Fence, l.RenewedIndex})
		}
	}
	t.marks = next
	return due
}

// ValidUntil returns until when a holder may rely on a lease, by its own clock,
// given when it sent the request that was granted.
func ValidUntil(sentMS, durationMS int64) int64 { return sentMS + durationMS }
