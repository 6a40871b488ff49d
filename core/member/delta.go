package member

import (
	"slices"
	"strings"

	"heatherway.dev/core/wire"
)

// SentSubset records the versions of a subset that was sent to an entry.
type SentSubset struct {
	Version  uint64
	versions map[string]uint64
}

// NewSentSubset returns the record of a subset.
func NewSentSubset(subset []wire.Upstream) *SentSubset {
	s := &SentSubset{Version: Version(subset), versions: make(map[string]uint64, len(subset))}
	for i := range subset {
		s.versions[subset[i].ID] = Version(subset[i : i+1])
	}
	return s
}

// Delta returns the difference between the subset sent and the next one: the upstreams to
// add or replace and the IDs to remove.
func (s *SentSubset) Delta(next []wire.Upstream) (put []wire.Upstream, remove []string) {
	kept := make(map[string]bool, len(next))
	for i := range next {
		kept[next[i].ID] = true
		if s.versions[next[i].ID] != Version(next[i:i+1]) {
			put = append(put, next[i])
		}
	}
	for id := range s.versions {
		if !kept[id] {
			remove = append(remove, id)
		}
	}
	slices.Sort(remove)
	return put, remove
}

// ApplyDelta applies a delta to a subset and reports whether the result has the expected
// version. If not, the entry needs the complete subset.
func ApplyDelta(subset, put []wire.Upstream, remove []string, version uint64) ([]wire.Upstream, bool) {
	replaced := func(u wire.Upstream) bool {
		return slices.Contains(remove, u.ID) ||
			slices.ContainsFunc(put, func(p wire.Upstream) bool { return p.ID == u.ID })
	}
	next := append(slices.DeleteFunc(slices.Clone(subset), replaced), put...)
	slices.SortFunc(next, func(a, b wire.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return next, Version(next) == version
}

// ApplyWatchReply returns the subset after the reply to a watch, and reports whether it has
// the reply's version. If not, the entry requests the complete subset by sending the
// version zero.
func ApplyWatchReply(current []wire.Upstream, r *wire.WatchReply) ([]wire.Upstream, bool) {
	switch {
	case !r.MembersChanged:
		return current, true
	case r.MembersDelta:
		return ApplyDelta(current, r.Upstreams, r.Removed, r.Members)
	default:
		return r.Upstreams, true
	}
}
