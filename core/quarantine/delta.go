package quarantine

import (
	"slices"
	"strings"

	"heatherway.dev/core/wire"
)

// Delta describes the change from one version of the list of suspects to a later one.
type Delta struct {
	From, To uint64
	// Updated contains new and changed suspects, Removed the fingerprints that left the
	// list. A suspect that was removed and came back is in both.
	Updated []wire.Suspect
	Removed []string
}

// Diff returns the change from one list to the next. Both lists are ordered by
// fingerprint. LeftMS is ignored, since it differs on each transmission.
func Diff(from, to []wire.Suspect) (updated []wire.Suspect, removed []string) {
	i := 0
	for _, s := range to {
		for ; i < len(from) && from[i].Fingerprint < s.Fingerprint; i++ {
			removed = append(removed, from[i].Fingerprint)
		}
		if i < len(from) && from[i].Fingerprint == s.Fingerprint {
			if !equalIgnoringTimeLeft(from[i], s) {
				updated = append(updated, s)
			}
			i++
			continue
		}
		updated = append(updated, s)
	}
	for ; i < len(from); i++ {
		removed = append(removed, from[i].Fingerprint)
	}
	return updated, removed
}

func equalIgnoringTimeLeft(a, b wire.Suspect) bool {
	a.LeftMS, b.LeftMS = 0, 0
	return a == b
}

// CombineDeltas combines the deltas from the given version to the latest one. It returns
// false if no delta starts at that version.
func CombineDeltas(deltas []Delta, from uint64) (Delta, bool) {
	at := slices.IndexFunc(deltas, func(s Delta) bool { return s.From == from })
	if at < 0 {
		return Delta{}, false
	}
	var list []wire.Suspect
	removed := map[string]bool{}
	for _, s := range deltas[at:] {
		list = applyDelta(list, s.Updated, s.Removed)
		for _, fp := range s.Removed {
			removed[fp] = true
		}
	}
	out := Delta{From: from, To: deltas[len(deltas)-1].To, Updated: list}
	for fp := range removed {
		out.Removed = append(out.Removed, fp)
	}
	slices.Sort(out.Removed)
	return out, true
}

// applyDelta applies a change to a list and keeps it ordered.
func applyDelta(list, updated []wire.Suspect, removed []string) []wire.Suspect {
	replaced := make(map[string]bool, len(updated)+len(removed))
	for _, fp := range removed {
		replaced[fp] = true
	}
	for _, s := range updated {
		replaced[s.Fingerprint] = true
	}
	next := make([]wire.Suspect, 0, len(list)+len(updated))
	for _, s := range list {
		if !replaced[s.Fingerprint] {
			next = append(next, s)
		}
	}
	next = append(next, updated...)
	slices.SortFunc(next, func(a, b wire.Suspect) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return next
}

// SetLocalExpiry sets UntilMS of newly received suspects on the local clock, from the time
// that was left when they were sent.
func SetLocalExpiry(nowMS int64, list []wire.Suspect) {
	for i := range list {
		list[i].UntilMS = nowMS + list[i].LeftMS
	}
}

// ApplyReply returns the list after a watch reply. Suspects that are kept retain the
// LeftMS of the reply that delivered them.
func ApplyReply(list []wire.Suspect, r *wire.WatchReply) []wire.Suspect {
	switch {
	case !r.SuspectsChanged:
		return list
	case r.SuspectsDelta:
		return applyDelta(list, r.Suspect, r.Cleared)
	default:
		return r.Suspect
	}
}
