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

// Step is an accepted change as sent to a process that has the document before
// it.
type Step struct {
	From  uint64 `json:"from"`
	To    uint64 `json:"to"`
	Edits []Edit `json:"edits"`
	// Sum is the check sum of the document after the step; zero is not checked.
	Sum uint64 `json:"sum,omitempty"`
}

// record keeps an accepted step. Slices handed out earlier stay as they are.
func (s *State) record(step Step) {
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

// Steps returns the latest accepted steps, the oldest first.
func (s *State) Steps() []Step { return s.steps }

// Join returns the step from a revision to the last of the steps. It is false
// if the revision is not among them.
func Join(steps []Step, from uint64) (Step, bool) {
	for i := range steps {
		if steps[i].From != from {
			continue
		}
		out := Step{From: from, To: steps[len(steps)-1].To}
		for _, s := range steps[i:] {
			out.Edits = append(out.Edits, s.Edits...)
		}
		return out, true
	}
	return Step{}, false
}

// Advance returns the document after a step. An error means that the process
// needs the whole document.
func (d *Document) Advance(step Step) (*Document, error) {
	if d.Revision != step.From {
		return nil, errors.Errorf("step from revision %d does not follow revision %d", step.From, d.Revision)
	}
	next, problems := d.edit(step.Edits, 0)
	if len(problems) > 0 {
		return nil, errors.Errorf("step to revision %d: %s", step.To, problems[0])
	}
	next.Revision = step.To
	next.index()
	if step.Sum == 0 {
		return next, nil
	}
	b, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	if sum := Sum(b); sum != step.Sum {
		return nil, errors.Errorf("document of revision %d has check sum %x, want %x", step.To, sum, step.Sum)
	}
	return next, nil
}

// Sum returns the check sum of an encoded document.
func Sum(encoded []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(encoded) // a hash never fails
	return max(1, h.Sum64())
}

// Follow returns the document after the answer to a watch: the whole document
// or a step from the current one, each in JSON, or the current one if neither
// is set. After an error the process asks for the whole document, with the
// revision zero.
func Follow(current *Document, whole, step []byte) (*Document, error) {
	switch {
	case len(whole) > 0:
		next := new(Document)
		if err := json.Unmarshal(whole, next); err != nil {
			return nil, errors.Wrap(err, "decode document")
		}
		return next, nil
	case len(step) > 0:
		var s Step
		if err := json.Unmarshal(step, &s); err != nil {
			return nil, errors.Wrap(err, "decode step")
		}
		if current == nil {
			return nil, errors.New("a step without a document before it")
		}
		return current.Advance(s)
	default:
		return current, nil
	}
}
