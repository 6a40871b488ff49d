package config

import (
	"encoding/json"
	"hash/fnv"

	"github.com/go-faster/errors"
)

// Bounds of the deltas kept for processes that are a few revisions behind. A
// process that is further behind gets the whole document, which takes about
// 1.8 MB with 18,000 organisations.
const (
	maxDeltas     = 256
	maxDeltaEdits = 4096
)

// Delta is the edits from one revision of the document to a later one, as sent to
// a process that has the earlier one.
type Delta struct {
	From  uint64 `json:"from"`
	To    uint64 `json:"to"`
	Edits []Edit `json:"edits"`
	// Checksum is the checksum of the document after the delta; zero is not
	// checked.
	Checksum uint64 `json:"sum,omitempty"`
}

// recordDelta adds the delta of an accepted change and removes the oldest ones
// beyond the bounds. Slices that Deltas returned before do not change.
func (s *State) recordDelta(delta Delta) {
	s.deltas = append(s.deltas, delta)
	edits := 0
	for i := len(s.deltas) - 1; i >= 0; i-- {
		edits += len(s.deltas[i].Edits)
		if len(s.deltas)-i > maxDeltas || edits > maxDeltaEdits {
			s.deltas = s.deltas[i+1:]
			return
		}
	}
}

// Deltas returns the deltas of the latest accepted changes, the oldest first.
func (s *State) Deltas() []Delta { return s.deltas }

// CombineDeltas returns one delta from a revision to the end of the last of the
// deltas. It returns false if none of them starts at that revision.
func CombineDeltas(deltas []Delta, from uint64) (Delta, bool) {
	for i := range deltas {
		if deltas[i].From != from {
			continue
		}
		out := Delta{From: from, To: deltas[len(deltas)-1].To}
		for _, d := range deltas[i:] {
			out.Edits = append(out.Edits, d.Edits...)
		}
		return out, true
	}
	return Delta{}, false
}

// ApplyDelta returns the document after a delta. After an error, the process
// needs the whole document.
func (d *Document) ApplyDelta(delta Delta) (*Document, error) {
	if d.Revision != delta.From {
		return nil, errors.Errorf("step from revision %d does not follow revision %d", delta.From, d.Revision)
	}
	next, problems := d.edit(delta.Edits, 0)
	if len(problems) > 0 {
		return nil, errors.Errorf("apply delta to revision %d: %s", delta.To, problems[0])
	}
	next.Revision = delta.To
	next.buildIndex()
	if delta.Checksum == 0 {
		return next, nil
	}
	b, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	if sum := Checksum(b); sum != delta.Checksum {
		return nil, errors.Errorf("document of revision %d has checksum %x, want %x", delta.To, sum, delta.Checksum)
	}
	return next, nil
}

// Checksum returns the checksum of an encoded document. It is never zero.
func Checksum(encoded []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(encoded) // Write of a hash.Hash never returns an error
	return max(1, h.Sum64())
}

// ApplyUpdate returns the document after the reply to a watch. The reply contains
// the whole document or a delta from the current one, each in JSON; with neither,
// the current document stays. After an error, the caller must request the whole
// document by sending revision zero.
func ApplyUpdate(current *Document, whole, delta []byte) (*Document, error) {
	switch {
	case len(whole) > 0:
		next := new(Document)
		if err := json.Unmarshal(whole, next); err != nil {
			return nil, errors.Wrap(err, "decode document")
		}
		return next, nil
	case len(delta) > 0:
		var d Delta
		if err := json.Unmarshal(delta, &d); err != nil {
			return nil, errors.Wrap(err, "decode delta")
		}
		if current == nil {
			return nil, errors.New("received a delta without a base document")
		}
		return current.ApplyDelta(d)
	default:
		return current, nil
	}
}
