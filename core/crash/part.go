package crash

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// A part of a prompt, such as an instruction or a document that many requests share, may
// crash each upstream that begins to write an answer on it. Parts are tracked like
// requests, under a key of their own, so that they are exchanged, saved, expired and
// cleared like them. Their verdict differs: the parts of a crashed run are all suspects,
// and most of them are sound.

const (
	// proofTolerance is the difference up to which two proofs are treated as simultaneous.
	// Entries carry ages, so the time of a proof shifts by the delay of each message.
	proofTolerance = 250 * time.Millisecond
	// partRetention is how long crashes count against a part once there are partThreshold
	// of them. It exceeds the longest wait for a trial, since a part is not to be
	// forgotten before its next trial. A deadly part that is forgotten costs servers again.
	partRetention = 6 * time.Hour
	// maxProofs limits the parts of which one generation of proofTimes holds the last
	// proof, at about 100 bytes each.
	maxProofs = 4096
)

// partPrefix distinguishes the keys of parts from fingerprints, which are hexadecimal.
const partPrefix = "part:"

// PartKey returns the key under which a part of prompts is tracked, whatever the
// organisation, route or service of the request that contains it.
func PartKey(id string) string { return partPrefix + id }

// IsPart reports whether a key belongs to a part of prompts.
func IsPart(key string) bool { return strings.HasPrefix(key, partPrefix) }

// PartInterrupted records that a run of a request with a part was interrupted. depth is
// the position of the part in the prompt. It reports whether this was new information.
func (t *Tracker) PartInterrupted(now time.Time, r Run, depth int, outcome Outcome) bool {
	at := wholeMillisecond(now)
	if req := t.requests[r.Fingerprint]; req != nil && slices.ContainsFunc(req.runs, func(known *trackedRun) bool {
		return known.Run == r && known.outcome != Abandoned && at.Sub(known.lastReport()) <= maxAnnouncementDelay
	}) {
		return false // another run that the same interruption broke
	}
	return t.record(now, at, Entry{Run: r, Outcome: outcome, Depth: depth})
}

// PartProved records that a run with a part began to answer at the given time and went on.
// Crashes before that time were not caused by the part. It reports whether the entries of
// the part have changed.
func (t *Tracker) PartProved(at time.Time, key string) bool {
	at = wholeMillisecond(at)
	t.proofs.add(key, at)
	req := t.requests[key]
	if req == nil || len(req.runs) == 0 {
		return false
	}
	if at.Sub(req.clearedAt) <= proofTolerance && !slices.ContainsFunc(req.runs, func(r *trackedRun) bool { return !r.interruptedAt.After(at) }) {
		return false
	}
	return t.clear(at, req)
}

// TakeUnsharedProofs returns the parts whose last proof, known to this tracker alone,
// answers a crash that another tracker has reported. The caller has to report them.
func (t *Tracker) TakeUnsharedProofs() (keys []string) {
	keys = slices.Sorted(maps.Keys(t.unsharedProofs))
	clear(t.unsharedProofs)
	return keys
}

// recallProof enters the last proof of a part that is about to be recorded.
func (t *Tracker) recallProof(key string) {
	at, known := t.proofs.get(key)
	if !known {
		return
	}
	if req := t.ensureRequest(key); at.Sub(req.clearedAt) > proofTolerance && t.clear(at, req) {
		t.unsharedProofs[key] = true
	}
}

// mergeProof merges the proof of another tracker. A proof that was reported before
// returns slightly later and is ignored.
func (t *Tracker) mergeProof(at time.Time, req *trackedRequest) bool {
	return at.Sub(req.clearedAt) > proofTolerance && t.clear(at, req)
}

// noteDepth enters a position of a part and reports whether it is the largest so far. Those of
// known runs, and of runs before the last proof, count as well: otherwise the position would
// depend on the order of entries.
func (t *Tracker) noteDepth(req *trackedRequest, depth int) bool {
	if !req.part || depth <= req.depth {
		return false
	}
	req.depth = depth
	for _, r := range req.runs {
		t.markChanged(r)
	}
	if req.clearedChange > 0 {
		t.lastChange++
		req.clearedChange = t.lastChange
	}
	return true
}

// proofTimes holds the time of the last proof of the parts that were proved recently. It
// keeps two generations: parts that are proved often are always in the current one.
type proofTimes struct{ current, previous map[string]time.Time }

func (p *proofTimes) get(key string) (at time.Time, known bool) {
	if at, known = p.current[key]; !known {
		at, known = p.previous[key]
	}
	return at, known
}

func (p *proofTimes) add(key string, at time.Time) {
	if before, known := p.get(key); known && before.After(at) {
		at = before
	}
	if len(p.current) >= maxProofs {
		p.previous, p.current = p.current, nil
	}
	if p.current == nil {
		p.current = map[string]time.Time{}
	}
	p.current[key] = at
}
