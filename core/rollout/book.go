package rollout

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/go-faster/errors"
)

// Command is an entry of the replicated log. One field besides AtMS is set.
type Command struct {
	// AtMS is the time of the leader in Unix milliseconds.
	AtMS    int64
	Start   *Start   `json:",omitempty"`
	Trust   *Trust   `json:",omitempty"`
	Move    *Move    `json:",omitempty"`
	Ceiling *Ceiling `json:",omitempty"`
}

// Start accepts the order of an operator.
type Start struct {
	Order
	// Present are the versions that the leader knows. They are trusted if none is yet.
	Present []string
}

// Trust makes a version that announced itself without an order a trusted one.
type Trust struct{ Service, Version string }

// Move changes the phase of a roll-out, if it is still in phase From.
type Move struct {
	Service  string
	ID       uint64
	From, To Phase
	Reason   string
}

// Ceiling raises the number of permits that leaders may grant.
type Ceiling struct {
	Service string
	ID      uint64
	Permits int64
}

// Outcome is the result of a command for its proposer.
type Outcome uint8

// Outcomes.
const (
	// Ineffective means that the command has changed nothing, for example as the phase was another one.
	Ineffective Outcome = iota
	// Accepted means that the command has changed the state.
	Accepted
	// Repeated means that the order was accepted before.
	Repeated
	// OtherRuns means that the order is refused, since another roll-out of the service runs.
	OtherRuns
)

// Encode returns the command as it is stored.
func (c Command) Encode() ([]byte, error) { return json.Marshal(c) }

// maxVersions bounds the trusted versions of a service that are remembered. One that is forgotten and still
// announces itself is trusted anew.
const maxVersions = 1024

// Book is the state machine. Use NewBook.
type Book struct {
	services map[string]Service
	revision uint64 // the index of the last change that gateways need
	applied  uint64
	nowMS    int64 // the latest time of a command
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{services: map[string]Service{}} }

// View returns the state. Its contents are never changed afterwards.
func (b *Book) View() View { return View{b.revision, maps.Clone(b.services)} }

// Apply applies the encoded command at an index of the log. A log that is opened again applies entries
// once more; they have no effect.
func (b *Book) Apply(index uint64, entry []byte) (Outcome, error) {
	var c Command
	if err := json.Unmarshal(entry, &c); err != nil {
		return Ineffective, errors.Wrap(err, "command of a roll-out")
	}
	if index <= b.applied {
		return Ineffective, nil
	}
	b.applied, b.nowMS = index, max(b.nowMS, c.AtMS)
	outcome := Ineffective
	switch {
	case c.Start != nil:
		outcome = b.start(index, *c.Start)
	case c.Trust != nil:
		outcome = b.trust(*c.Trust)
	case c.Move != nil:
		outcome = b.move(*c.Move)
	case c.Ceiling != nil:
		outcome = b.raise(*c.Ceiling)
	}
	if outcome == Accepted && c.Ceiling == nil {
		b.revision = index
	}
	return outcome, nil
}

func (b *Book) start(index uint64, c Start) Outcome {
	s, o := b.services[c.Service], c.Order
	if last := s.Rollout; last != nil {
		same := last.Order == o
		repeatable := b.nowMS <= last.AcceptedMS+(o.Duration+repeatWindow).Milliseconds()
		switch {
		case same && (last.Phase.Running() || repeatable):
			return Repeated
		case last.Phase.Running():
			return OtherRuns
		}
	}
	r := &Rollout{ID: index, PhaseAt: index, Order: o, AcceptedMS: b.nowMS}
	if len(s.Trusted) == 0 {
		for _, v := range without(c.Present, o.Target) {
			if !slices.Contains(s.Denied, v) {
				s.Trusted = with(s.Trusted, v)
			}
		}
	}
	trusted := without(s.Trusted, o.Target)
	if len(trusted) == 0 && len(s.Trusted) > 0 {
		r.Phase, r.Reason = Complete, "the target was the only trusted version"
		trusted = s.Trusted
	}
	b.services[o.Service] = Service{Trusted: trusted, Denied: without(s.Denied, o.Target), Rollout: r}
	return Accepted
}

func (b *Book) trust(t Trust) Outcome {
	s := b.services[t.Service]
	running := s.Running()
	if slices.Contains(s.Trusted, t.Version) || slices.Contains(s.Denied, t.Version) || running != nil && running.Target == t.Version {
		return Ineffective
	}
	s.Trusted = with(s.Trusted, t.Version)
	s.Trusted = s.Trusted[max(len(s.Trusted)-maxVersions, 0):]
	b.services[t.Service] = s
	return Accepted
}

func (b *Book) move(m Move) Outcome {
	s := b.services[m.Service]
	if s.Rollout == nil || s.Rollout.ID != m.ID || s.Rollout.Phase != m.From || !m.From.Running() || m.To <= m.From {
		return Ineffective
	}
	r := *s.Rollout
	r.Phase, r.PhaseAt, r.Reason = m.To, b.applied, m.Reason
	switch m.To {
	case Complete:
		for _, v := range s.Trusted {
			s.Denied = with(s.Denied, v)
		}
		s.Trusted = []string{r.Target}
	case Reverted:
		s.Denied = with(s.Denied, r.Target)
	}
	s.Rollout = &r
	b.services[m.Service] = s
	return Accepted
}

func (b *Book) raise(c Ceiling) Outcome {
	s := b.services[c.Service]
	if r := s.Running(); r == nil || r.ID != c.ID || c.Permits <= r.Ceiling {
		return Ineffective
	}
	r := *s.Rollout
	r.Ceiling = c.Permits
	s.Rollout = &r
	b.services[c.Service] = s
	return Accepted
}

type snapshot struct {
	Revision, Applied uint64
	NowMS             int64
	Services          map[string]Service
}

// Snapshot returns the encoded state.
func (b *Book) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{b.revision, b.applied, b.nowMS, b.services})
}

// Restore replaces the state by a snapshot, unless that contains more: a log that is opened again may
// start with an old one.
func (b *Book) Restore(encoded []byte) error {
	var s snapshot
	if err := json.Unmarshal(encoded, &s); err != nil {
		return errors.Wrap(err, "snapshot of roll-outs")
	}
	if s.Applied < b.applied {
		return nil
	}
	if s.Services == nil {
		s.Services = map[string]Service{}
	}
	b.services, b.revision, b.applied, b.nowMS = s.Services, s.Revision, s.Applied, s.NowMS
	return nil
}
