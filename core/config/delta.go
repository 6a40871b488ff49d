package config

import (
	"encoding/json"
	"hash/fnv"

	"github.com/go-faster/errors"
)

// Bounds of the steps kept for processes that are a little behind. One that is
// further behind gets the whole document, which takes about 1.8 MB with 18,000
// organisations.
const (
	maxDeltas     = 256
	maxDeltaEdits = 4096
)

// Delta is an accepted change as sent to a process that has the document before
// it.
type Delta struct {
	From  uint64 `json:"from"`
	To    uint64 `json:"to"`
	Edits []Edit `json:"edits"`
	// Checksum is the check sum of the document after the step; zero is not checked.
	Checksum uint64 `json:"sum,omitempty"`
}

// record keeps an accepted step. Slices handed out earlier stay as they are.
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

// Deltas returns the latest accepted steps, the oldest first.
func (s *State) Deltas() []Delta { return s.deltas }

// CombineDeltas returns the step from a revision to the last of the steps. It is false
// if the revision is not among them.
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

// ApplyDelta returns the document after a step. An error means that the process
// needs the whole document.
func (d *Document) ApplyDelta(delta Delta) (*Document, error) {
	if d.Revision != delta.From {
		return nil, errors.Errorf("step from revision %d does not follow revision %d", delta.From, d.Revision)
	}
	next, problems := d.edit(delta.Edits, 0)
	if len(problems) > 0 {
		return nil, errors.Errorf("step to revision %d: %s", delta.To, problems[0])
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
		return nil, errors.Errorf("document of revision %d has check sum %x, want %x", delta.To, sum, delta.Checksum)
	}
	return next, nil
}

// Checksum returns the check sum of an encoded document.
func Checksum(encoded []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(encoded) // a hash never fails
	return max(1, h.Sum64())
}

// ApplyUpdate returns the document after the answer to a watch: the whole document
// or a step from the current one, each in JSON, or the current one if neither
// is set. After an error the process asks for the whole document, with the
// revision zero.
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
			return nil, errors.Wrap(err, "decode step")
		}
		if current == nil {
			return nil, errors.New("a step without a document before it")
		}
		return current.ApplyDelta(d)
	default:
		return current, nil
	}
}
