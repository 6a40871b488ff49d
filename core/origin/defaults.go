package origin

import (
	"cmp"
	"slices"
	"time"
)

// DefaultChooser decides when a service gets a default version, at the leader of the ledger. Its
// own state may be lost with the leader: a new one waits for the whole DefaultRetention again.
type DefaultChooser struct {
	lastSeen map[string]time.Time // when an upstream of the default was last known, by service
}

// NewDefaultChooser returns a chooser that has seen no upstream yet.
func NewDefaultChooser() *DefaultChooser { return &DefaultChooser{lastSeen: map[string]time.Time{}} }

// Choose returns the version that should become the default of a service, or an empty one if the
// present default stays. versions counts the known upstreams of the service that have not left, by
// stated version.
func (c *DefaultChooser) Choose(now time.Time, service, present string, versions map[string]int) string {
	switch {
	case present == "":
	case versions[present] > 0 || c.lastSeen[service].IsZero():
		c.lastSeen[service] = now
		return ""
	case now.Sub(c.lastSeen[service]) < DefaultRetention:
		return ""
	}
	names := make([]string, 0, len(versions))
	for version := range versions {
		if version != "" {
			names = append(names, version)
		}
	}
	if len(names) == 0 {
		return ""
	}
	delete(c.lastSeen, service)
	return slices.MinFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(versions[b], versions[a]), cmp.Compare(a, b))
	})
}
