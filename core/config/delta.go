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
	stepsKept     = 256
	stepEditsKept = 4096
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
func (s *State) record(step Delta) {
	s.steps = append(s.steps, step)
	edits := 0
	for i := len(s.steps) - 1; i >= 0; i-- {
		edits += len(s.steps[i].Edits)
		if len(s.steps)-i > stepsKept || edits > stepEditsKept {
			s.steps = s.steps[i+1:]
			return
		}
	}
}

// Deltas returns the latest accepted steps, the oldest first.
func (s *State) Deltas() []Delta { return s.steps }

// CombineDeltas returns the step from a revision to the last of the steps. It is false
// if the revision is not among them.
func CombineDeltas(steps []Delta, from uint64) (Delta, bool) {
	for i := range steps {
		if steps[i].From != from {
			continue
		}
		out := Delta{From: from, To: steps[len(steps)-1].To}
		for _, s := range steps[i:] {
			out.Edits = append(out.Edits, s.Edits...)
		}
		return out, true
	}
	return Delta{}, false
}

// ApplyDelta returns the document after a step. An error means that the process
// needs the whole document.
func (d *Document) ApplyDelta(step Delta) (*Document, error) {
	if d.Revision != step.From {
		return nil, errors.Errorf("step from revision %d does not follow revision %d", step.From, d.Revision)
	}
	next, problems := d.edit(step.Edits, 0)
	if len(problems) > 0 {
		return nil, errors.Errorf("step to revision %d: %s", step.To, problems[0])
	}
	next.Revision = step.To
	next.index()
	if step.Checksum == 0 {
		return next, nil
	}
	b, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	if sum := Checksum(b); sum != step.Checksum {
		return nil, errors.Errorf("document of revision %d has check sum %x, want %x", step.To, sum, step.Checksum)
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
func ApplyUpdate(current *Document, whole, step []byte) (*Document, error) {
	switch {
	case len(whole) > 0:
		next := new(Document)
		if err := json.Unmarshal(whole, next); err != nil {
			return nil, errors.Wrap(err, "decode document")
		}
		return next, nil
	case len(step) > 0:
		var s Delta
		if err := json.Unmarshal(step, &s); err != nil {
			return nil, errors.Wrap(err, "decode step")
		}
		if current == nil {
			return nil, errors.New("a step without a document before it")
		}
		return current.ApplyDelta(s)
	default:
		return current, nil
	}
}
