package lease

// Timer is the leader's count of the time that leases have left. It starts anew
// with each leader, so a change of leader only prolongs a lease.
type Timer struct{ observed map[string]observation }

type observation struct {
	fence, renewedIndex uint64
	sinceMS             int64
}

// Update notes the leases at a time of a clock that never goes back, and returns
// those whose time has passed. A member that does not lead passes no leases.
func (t *Timer) Update(nowMS int64, leases []Lease) []Expire {
	next := make(map[string]observation, len(leases))
	var expired []Expire
	for _, l := range leases {
		if l.Holder == "" {
			continue
		}
		obs, ok := t.observed[l.Name]
		if !ok || obs.fence != l.Fence || obs.renewedIndex != l.RenewedIndex {
			obs = observation{l.Fence, l.RenewedIndex, nowMS}
		}
		next[l.Name] = obs
		if nowMS-obs.sinceMS > l.DurationMS+l.DurationMS*clockDriftPercent/100 {
			expired = append(expired, Expire{l.Name, l.Fence, l.RenewedIndex})
		}
	}
	t.observed = next
	return expired
}

// ValidUntil returns until when a holder may rely on a lease, by its own clock,
// given when it sent the request that was granted.
func ValidUntil(sentMS, durationMS int64) int64 { return sentMS + durationMS }
