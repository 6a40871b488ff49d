// Package lease is the replicated state machine of leases with fencing tokens.
// Its commands carry no time: the leader measures the duration with its own
// monotonic clock (Timer) and proposes the expiry, so that a leader with a wrong
// wall clock does not end a lease early.
package lease

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// Bounds and tolerances.
const (
	// MaxNames bounds the number of names ever leased; names are never removed.
	MaxNames = 64
	// MinDurationMS and MaxDurationMS bound the duration of a lease.
	MinDurationMS = 1000
	MaxDurationMS = 10 * 60 * 1000
	// clockDriftPercent is how much longer than the duration the leader waits
	// before it ends a lease: the maximum difference between the rates of two
	// clocks.
	clockDriftPercent = 10
)

// Lease is the lease of one name. It is free if Holder is empty.
type Lease struct {
	Name   string `json:"name"`
	Holder string `json:"holder,omitempty"`
	// Request is the id of the request that was granted.
	Request wire.ID `json:"request,omitempty"`
	// Fence is the fencing token: the log index of the last grant. It is kept
	// when the lease ends, and later grants have higher ones.
	Fence      uint64 `json:"fence"`
	DurationMS int64  `json:"duration_ms,omitempty"`
	// RenewedIndex is the log index of the last grant or renewal.
	RenewedIndex uint64 `json:"renewed,omitempty"`
}

// Command is one entry of the log; exactly one pointer is set.
type Command struct {
	Acquire *Acquire `json:"acquire,omitempty"`
	Renew   *Renew   `json:"renew,omitempty"`
	Release *Release `json:"release,omitempty"`
	Expire  *Expire  `json:"expire,omitempty"`
}

// Acquire requests a lease. It is idempotent: the same Request gets the same
// grant again while the lease is held.
type Acquire struct {
	Name       string  `json:"name"`
	Holder     string  `json:"holder"`
	Request    wire.ID `json:"request"`
	DurationMS int64   `json:"duration_ms"`
}

// Renew restarts the duration of a lease.
type Renew struct {
	Name  string `json:"name"`
	Fence uint64 `json:"fence"`
}

// Release ends a lease on behalf of its holder.
type Release struct {
	Name  string `json:"name"`
	Fence uint64 `json:"fence"`
}

// Expire ends a lease, unless it has been renewed after RenewedIndex.
type Expire struct {
	Name         string `json:"name"`
	Fence        uint64 `json:"fence"`
	RenewedIndex uint64 `json:"renewed"`
}

// Reply is the result of a command.
type Reply struct {
	Granted bool  `json:"granted,omitempty"`
	Lease   Lease `json:"lease"`
	// Code is set if the command was refused.
	Code    result.Code `json:"code,omitempty"`
	Message string      `json:"message,omitempty"`
}

// State is the state machine of the leases, in log group 0. It is not safe for
// concurrent use.
type State struct{ byName map[string]Lease }

// New returns a state without leases.
func New() *State { return &State{byName: map[string]Lease{}} }

// Get returns the lease of a name, or the zero value if it was never leased.
func (s *State) Get(name string) Lease { return s.byName[name] }

// List returns the leases of all names that were ever leased, sorted by name.
func (s *State) List() []Lease {
	out := make([]Lease, 0, len(s.byName))
	for _, l := range s.byName {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Lease) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Apply applies the command at an index of the log.
func (s *State) Apply(index uint64, c Command) Reply {
	switch {
	case c.Acquire != nil:
		return s.acquire(index, c.Acquire)
	case c.Renew != nil:
		return s.renew(index, c.Renew)
	case c.Release != nil:
		return s.end(c.Release.Name, func(l Lease) bool { return l.Fence == c.Release.Fence })
	case c.Expire != nil:
		return s.end(c.Expire.Name, func(l Lease) bool {
			return l.Fence == c.Expire.Fence && l.RenewedIndex == c.Expire.RenewedIndex
		})
	default:
		return refuse(result.InvalidField, "empty lease command")
	}
}

func refuse(code result.Code, message string) Reply { return Reply{Code: code, Message: message} }

func (s *State) acquire(index uint64, a *Acquire) Reply {
	l, known := s.byName[a.Name]
	switch {
	case a.Name == "" || a.Holder == "" || a.Request == "":
		return refuse(result.InvalidField, "a lease needs name, holder and request")
	case a.DurationMS < MinDurationMS || a.DurationMS > MaxDurationMS:
		return refuse(result.InvalidField, "the duration is out of range")
	case !known && len(s.byName) >= MaxNames:
		return refuse(result.InvalidField, "too many names are leased")
	case l.Holder != "":
		return Reply{Granted: l.Request == a.Request, Lease: l}
	case l.Request == a.Request:
		// The lease that this request got has ended. With a second grant, the
		// holder could mistake a late reply to the first one for the new grant.
		return Reply{Lease: l}
	}
	l = Lease{
		Name: a.Name, Holder: a.Holder, Request: a.Request, DurationMS: a.DurationMS,
		Fence: index, RenewedIndex: index,
	}
	s.byName[a.Name] = l
	return Reply{Granted: true, Lease: l}
}

func (s *State) renew(index uint64, r *Renew) Reply {
	l := s.byName[r.Name]
	if l.Holder == "" || l.Fence != r.Fence {
		return Reply{Code: result.FenceStale, Message: "the lease has ended", Lease: l}
	}
	l.RenewedIndex = index
	s.byName[r.Name] = l
	return Reply{Granted: true, Lease: l}
}

// end frees the lease of a name if it is held and matches.
func (s *State) end(name string, matches func(Lease) bool) Reply {
	l, ok := s.byName[name]
	if ok && l.Holder != "" && matches(l) {
		l.Holder = ""
		s.byName[name] = l
	}
	return Reply{Lease: l}
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s.List()) }

// Restore replaces the state with an encoded one.
func (s *State) Restore(b []byte) error {
	var list []Lease
	if err := json.Unmarshal(b, &list); err != nil {
		return errors.Wrap(err, "decode lease snapshot")
	}
	s.byName = make(map[string]Lease, len(list))
	for _, l := range list {
		s.byName[l.Name] = l
	}
	return nil
}
