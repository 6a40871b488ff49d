package lease

// Timer measures the time since the leader first saw each grant or renewal. Each
// new leader starts measuring again, so a change of leader can only extend a
// lease.
type Timer struct{ observed map[string]observation }

type observation struct {
	fence, renewedIndex uint64
	sinceMS             int64
}

// Update records the current leases at a time of a monotonic clock, and returns
// commands to end those that have expired. A member that is not the leader passes
// no leases, which resets the timer.
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

// ValidUntil returns the time until which a holder may rely on a lease, on its
// own clock. sentMS is when it sent the request that was granted.
func ValidUntil(sentMS, durationMS int64) int64 { return sentMS + durationMS }
