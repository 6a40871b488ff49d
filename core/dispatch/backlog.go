package dispatch

import "time"

// backlogMS returns the time in milliseconds to prefill the prompts that this gateway has sent,
// one after the other: only the oldest of them is being read, since it was sent or since the one
// before it was done. The estimate that counts down all of them at once sees no backlog at an
// upstream that is slower than expected; it is kept for fleets of equal upstreams, whose
// placement was tuned with it.
func (u *upstream) backlogMS(now time.Time) float64 {
	tokens, oldest := 0.0, (*placement)(nil)
	for _, p := range u.inFlight {
		if p.prefilled || !p.stream {
			continue
		}
		tokens += float64(p.promptTokens)
		if oldest == nil || p.sentAt.Before(oldest.sentAt) {
			oldest = p
		}
	}
	if oldest == nil {
		return 0
	}
	since := oldest.sentAt
	if u.prefilledAt.After(since) {
		since = u.prefilledAt
	}
	return u.prefillMS(now, tokens-min(float64(oldest.promptTokens), u.prefillTokens(now, now.Sub(since))))
}
