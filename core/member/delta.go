package member

import (
	"slices"
	"strings"

	"heatherway.dev/core/wire"
)

// SentSubset remembers a subset that an entry was given, by content only.
type SentSubset struct {
	Version  uint64
	versions map[string]uint64
}

// NewSentSubset returns what to remember of a subset.
func NewSentSubset(subset []wire.Upstream) *SentSubset {
	s := &SentSubset{Version: Version(subset), versions: make(map[string]uint64, len(subset))}
	for i := range subset {
		s.versions[subset[i].ID] = Version(subset[i : i+1])
	}
	return s
}

// Delta returns what leads from the subset sent to the next one: upstreams
// to put in place and ids to remove.
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

// ApplyDelta applies a difference to a subset, and tells whether the result has
// the version; if not, the entry needs the whole subset.
func ApplyDelta(subset, put []wire.Upstream, remove []string, version uint64) ([]wire.Upstream, bool) {
	replaced := func(u wire.Upstream) bool {
		return slices.Contains(remove, u.ID) ||
			slices.ContainsFunc(put, func(p wire.Upstream) bool { return p.ID == u.ID })
	}
	next := append(slices.DeleteFunc(slices.Clone(subset), replaced), put...)
	slices.SortFunc(next, func(a, b wire.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return next, Version(next) == version
}

// ApplyWatchReply returns the subset after the answer to a watch, and tells whether it
// has the answer's version; if not, the entry asks for the whole subset, with
// the version zero.
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
