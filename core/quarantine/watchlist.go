package quarantine

import (
	"time"

	"heatherway.dev/core/wire"
)

// Watchlist is the list as an entry or agent has it from its watch. It is
// immutable.
type Watchlist struct {
	received time.Time
	suspects map[string]wire.Suspect
}

// NewWatchlist returns the list as received at a time of the own clock. The
// time left is counted from there, so clocks need not agree.
func NewWatchlist(received time.Time, list []wire.Suspect) *Watchlist {
	w := &Watchlist{received: received, suspects: make(map[string]wire.Suspect, len(list))}
	for _, s := range list {
		w.suspects[s.Fingerprint] = s
	}
	return w
}

// Check tells whether a request is a suspect, which needs a permit, and how
// long it is still quarantined, 0 if it is not.
func (w *Watchlist) Check(now time.Time, fingerprint string) (suspect bool, left time.Duration) {
	s, ok := w.suspects[fingerprint]
	if !ok || !s.Quarantined {
		return ok, 0
	}
	return true, max(millis(s.LeftMS)-now.Sub(w.received), 0)
}
