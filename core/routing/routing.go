// Package routing holds the routing configuration of a gateway as one document
// that operators replace as a whole: routes, services, limits and organisations.
// It validates a document and compiles it into an immutable lookup table.
package routing

import (
	"time"

	"github.com/go-faster/errors"
)

// Kind tells how often a request of a route may run.
type Kind uint8

// The kinds.
const (
	// AtMostOnce requests run once at most.
	AtMostOnce Kind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Stream requests are answered with a series of events.
	Stream
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "at_most_once"
	}
}

// Target is a service that a route sends a share of its requests to.
type Target struct {
	Service string
	// Weight is the share relative to the other targets of the route.
	Weight int
}

// Route maps a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream.
	Objective time.Duration
	// MaxEventGap is the longest pause between two events of a stream that
	// still counts as on time; zero when the route declares none.
	MaxEventGap time.Duration
	// Priority is the rank of the route, 0 being the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is the largest number of upstreams that one request may be
	// sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream behind the last event.
	Resumable bool
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is the number of requests processed at once.
	Slots int
	// MemoryTokens is the KV cache of one server, in tokens.
	MemoryTokens int
	// SupportsBackups tells that a server can copy the KV cache of a running request
	// to another server while it grows.
	SupportsBackups bool
	// BackupTTL is how long a copy outlives the run that it was made for.
	BackupTTL time.Duration
	// EventTokens is the number of tokens in one event.
	EventTokens int
}

// Service is a group of upstreams that are interchangeable.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one upstream accepts from all callers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
}

// Organisation owns API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route when it is set.
	Priority *int
}

// Configuration is one version of the whole document.
type Configuration struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
}

// Validate returns the first reason why the configuration cannot be in force.
func (c *Configuration) Validate() error {
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = true
	}
	type hostPrefix struct{ host, prefix string }
	taken := make(map[hostPrefix]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(services); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
		at := hostPrefix{r.Host, r.Prefix}
		if other, dup := taken[at]; dup {
			return errors.Errorf("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		taken[at] = r.Name
	}
	return c.validateKeys()
}

func (r *Route) validate(services map[string]bool) error {
	if r.Timeout <= 0 {
		return errors.New("the timeout must be positive")
	}
	if len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
		return errors.Errorf("prefix %q must begin and end with a slash", r.Prefix)
	}
	total := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return errors.Errorf("unknown service %q", t.Service)
		}
		if t.Weight < 0 {
			return errors.Errorf("service %q has a negative weight", t.Service)
		}
		total += t.Weight
	}
	if total == 0 {
		return errors.New("the weights add up to 0")
	}
	return nil
}

func (c *Configuration) validateKeys() error {
	owner := map[string]string{}
	for _, o := range c.Organisations {
		for _, k := range o.Keys {
			if other, dup := owner[k]; dup && other != o.Name {
				return errors.Errorf("organisations %q and %q share a key", other, o.Name)
			}
			owner[k] = o.Name
		}
	}
	return nil
}
