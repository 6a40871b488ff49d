// Package rollout decides about the move of a service to another version of its upstreams'
// software, which an operator orders: how many requests the version gets before it is trusted
// (Owner, Gateway), whether it is good (Judge), and which versions may get requests (Book). The Book is
// replicated and durable. The package reads no clock and takes no lock.
package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/internal/namecheck"
)

const (
	// MinDuration and MaxDuration bound the duration of an order. A shorter one leaves no time for
	// a judgement, and a longer one is a slip of the operator.
	MinDuration = time.Second
	MaxDuration = 24 * time.Hour
	// repeatWindow is the time after the deadline in which the same order counts as a repeat.
	// Operators resend an order for a few seconds.
	repeatWindow = 10 * time.Second
)

// Phase is the phase of a roll-out.
type Phase uint8

// Phases.
const (
	// Canary means that the target gets a limited share of the requests.
	Canary Phase = iota
	// Shifting means that the target is judged good: it gets all new requests, and the streams that
	// began at other versions still run there.
	Shifting
	// Complete means that no other version gets requests any more.
	Complete
	// Reverted means that the target gets no requests any more.
	Reverted
)

// String returns the state of the roll-out as operators see it.
func (p Phase) String() string {
	switch p {
	case Canary, Shifting:
		return "running"
	case Complete:
		return "complete"
	}
	return "reverted"
}

// Running reports whether the roll-out has not ended.
func (p Phase) Running() bool { return p <= Shifting }

// Order is the order of an operator.
type Order struct {
	Service string
	// Target is the version that the service is to move to.
	Target   string
	Duration time.Duration
}

// Seconds returns the duration for a number of seconds, which may have a fraction. The result is
// invalid if the number is none, infinite or out of range.
func Seconds(s float64) time.Duration {
	if math.IsNaN(s) || math.Abs(s) > 2*MaxDuration.Seconds() {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// Validate returns an error for an order that cannot be carried out whatever the state is.
func (o Order) Validate() error {
	if err := cmp.Or(namecheck.Validate("service", o.Service, true), namecheck.Validate("target version", o.Target, true)); err != nil {
		return err
	}
	if o.Duration < MinDuration || o.Duration > MaxDuration {
		return errors.Errorf("the duration is not between %v and %v", MinDuration, MaxDuration)
	}
	return nil
}

// Rollout is an order that was accepted, and what has become of it.
type Rollout struct {
	// ID is the index of the log at which the order was accepted.
	ID uint64
	Order
	// AcceptedMS is when the leader proposed the order, in Unix milliseconds.
	AcceptedMS int64
	Phase      Phase
	// PhaseAt is the index of the log at which the phase began.
	PhaseAt uint64
	// Ceiling is the number of permits that leaders may have granted so far.
	Ceiling int64 `json:",omitempty"`
	// Reason is why the roll-out ended, with the figures that decided.
	Reason string `json:",omitempty"`
}

// Service is the state of the versions of a service. A version that it does not name gets no
// requests until it is trusted.
type Service struct {
	// Trusted versions get requests without a limit.
	Trusted []string
	// Denied versions get no requests until an operator orders them.
	Denied []string `json:",omitempty"`
	// Rollout is the last roll-out, nil if there was none.
	Rollout *Rollout `json:",omitempty"`
}

// Running returns the roll-out that has not ended, nil if there is none.
func (s Service) Running() *Rollout {
	if s.Rollout == nil || !s.Rollout.Phase.Running() {
		return nil
	}
	return s.Rollout
}

// trusts reports whether a version is trusted. While none is, as the order came before the leader knew the service's
// upstreams, all are but the target and those that are denied.
func (s Service) trusts(version string) bool {
	if r := s.Running(); r != nil && len(s.Trusted) == 0 {
		return version != r.Target && !slices.Contains(s.Denied, version)
	}
	return slices.Contains(s.Trusted, version)
}

// View is the state of all services as of an index of the log.
type View struct {
	Revision uint64
	Services map[string]Service
}

// without returns a list without an element, nil if none remains.
func without(list []string, v string) (out []string) {
	for _, x := range list {
		if x != v {
			out = append(out, x)
		}
	}
	return out
}

// with returns a list that contains an element.
func with(list []string, v string) []string {
	if slices.Contains(list, v) {
		return list
	}
	return append(slices.Clone(list), v)
}
