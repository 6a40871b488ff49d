package retry

import "time"

// refusalSpread is how long after the first refusal of an upstream those of the attempts that were sent
// before it may arrive. Refusals take a network round trip, and longer on a busy machine.
const refusalSpread = 500 * time.Millisecond

// Refusals tells which refused attempts were sent before the entry knew that their upstream refuses work.
// Their retries need no budget: all requests on their way to an upstream that leaves or asks for backoff
// are refused at once, however many they are, and a budget for single failures does not cover them. Each
// upstream is given this once per DefaultWindow, so that one that keeps refusing adds little load.
type Refusals struct{ firstAt map[string]time.Time }

// Unavoidable records a refusal by the given upstream of an attempt that was sent at sentAt, and reports
// whether the attempt was sent before the entry knew that the upstream refuses work.
func (r *Refusals) Unavoidable(now time.Time, upstream string, sentAt time.Time) bool {
	first, known := r.firstAt[upstream]
	if !known || now.Sub(first) >= DefaultWindow {
		r.startWindow(now, upstream)
		return true
	}
	return sentAt.Before(first) && now.Sub(first) < refusalSpread
}

// startWindow records the first refusal of an upstream and forgets those of earlier windows, also of
// upstreams that no longer exist.
func (r *Refusals) startWindow(now time.Time, upstream string) {
	if r.firstAt == nil {
		r.firstAt = map[string]time.Time{}
	}
	for id, first := range r.firstAt {
		if now.Sub(first) >= DefaultWindow {
			delete(r.firstAt, id)
		}
	}
	r.firstAt[upstream] = now
}
