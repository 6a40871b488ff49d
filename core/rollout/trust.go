package rollout

import (
	"slices"
	"time"
)

// Settler decides, at the leader, which versions become trusted without an order. Its state may be lost with the
// leader: a new one waits for the whole time again.
type Settler struct {
	// settle is how long a version must have been known. An order for it may be on its way for as long as
	// operators resend one.
	settle time.Duration
	seen   map[Trust]time.Time
}

// NewSettler returns a settler that has seen nothing.
func NewSettler(settle time.Duration) *Settler { return &Settler{settle, map[Trust]time.Time{}} }

// Choose returns the versions that become trusted: of a service without a trusted version all that are known. versions counts the upstreams that have not left, by
// service and stated version.
func (s *Settler) Choose(now time.Time, v View, versions map[string]map[string]int) (out []Command) {
	seen := map[Trust]time.Time{}
	for service, counts := range versions {
		known := v.Services[service]
		for _, version := range unheardVersions(known, counts) {
			t := Trust{service, version}
			since, ok := s.seen[t]
			if !ok {
				since = now
			}
			seen[t] = since
			if len(known.Trusted) == 0 || now.Sub(since) >= s.settle {
				out = append(out, Command{Trust: &t})
			}
		}
	}
	s.seen = seen
	return out
}

// unheardVersions returns the versions that are neither trusted nor denied nor the target of a roll-out.
func unheardVersions(known Service, counts map[string]int) (out []string) {
	for version := range counts {
		r := known.Running()
		if !slices.Contains(known.Trusted, version) && !slices.Contains(known.Denied, version) && (r == nil || r.Target != version) {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}
