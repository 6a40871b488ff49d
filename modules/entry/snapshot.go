package entry

import (
	"sort"
	"time"

	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
)

// snapshot is the state that request goroutines read. It is immutable.
type snapshot struct {
	config *config.Document
	// behind is set when a newer revision is known but could not be fetched in
	// time.
	behind    bool
	upstreams map[string]wire.Upstream
	suspects  map[string]suspect
	// parts is the list of messages that may crash upstreams.
	parts wire.PartList
	// hedgeDelay is the delay after which idempotent calls of a service are
	// hedged.
	hedgeDelay map[string]time.Duration
}

type suspect struct {
	quarantined bool
	until       time.Time
}

func (s *snapshot) revision() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.Revision
}

// models returns the sorted names of the models and adapters that any upstream
// serves.
func (s *snapshot) models() []string {
	seen := map[string]bool{}
	for _, u := range s.upstreams {
		for _, n := range append(u.Models[:len(u.Models):len(u.Models)], u.Adapters...) {
			seen[n] = true
		}
	}
	out := make([]string, 0, len(seen))
	for n := range seen {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

func indexSuspects(list []wire.Suspect) map[string]suspect {
	out := make(map[string]suspect, len(list))
	for _, s := range list {
		out[s.Fingerprint] = suspect{s.Quarantined, time.UnixMilli(s.UntilMS)}
	}
	return out
}
