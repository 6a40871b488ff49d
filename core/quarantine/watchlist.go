package quarantine

import (
	"time"

	"heatherway.dev/core/wire"
)

// Watchlist is the list of suspects as an entry or agent received it from its watch. It is
// immutable.
type Watchlist struct {
	received time.Time
	suspects map[string]wire.Suspect
}

// NewWatchlist returns a list that was received at the given time of the local clock.
// Remaining times are counted from then, so clocks need not be synchronised.
func NewWatchlist(received time.Time, list []wire.Suspect) *Watchlist {
	w := &Watchlist{received: received, suspects: make(map[string]wire.Suspect, len(list))}
	for _, s := range list {
		w.suspects[s.Fingerprint] = s
	}
	return w
}

// Check reports whether a request is a suspect and needs a permit, and how much of its
// quarantine is left, or 0.
func (w *Watchlist) Check(now time.Time, fingerprint string) (suspect bool, left time.Duration) {
	s, ok := w.suspects[fingerprint]
	if !ok || !s.Quarantined {
		return ok, 0
	}
	return true, max(millis(s.LeftMS)-now.Sub(w.received), 0)
}
