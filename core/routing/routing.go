// Package routing holds the routing configuration of a gateway as one document that
// operators replace as a whole: routes, services, limits and organisations. It validates a
// document and compiles it into an immutable lookup table.
package routing

import (
	"time"

	"github.com/go-faster/errors"
)

// Kind tells whether a request of a route may be repeated and how it is answered.
type Kind uint8

const (
	// AtMostOnce requests must not run more than once.
	AtMostOnce Kind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Stream requests are answered with a stream of events. They may run again only if the
	// route is Resumable.
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

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the weights of the route's other targets.
	Weight int
}

// Route maps a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the complete answer.
	Timeout time.Duration
	// Objective is the target time to the answer, or to the first event of a stream.
	Objective time.Duration
	// MaxEventGap is the longest gap between two events of a stream that counts as on
	// time; zero if the route sets none.
	MaxEventGap time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is the maximum number of upstreams that a request may be sent to.
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// Resumable streams may continue at another upstream after the last event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is the number of requests that a server processes at once.
	Slots int
	// MemoryTokens is the size of a server's KV cache in tokens.
	MemoryTokens int
	// SupportsBackups tells that a server can copy the growing KV cache of a running
	// request to another server.
	SupportsBackups bool
	// BackupTTL is how long a backup is kept after its request has ended.
	BackupTTL time.Duration
	// EventTokens is the number of tokens per event.
	EventTokens int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is the URL path of the health check.
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from all
	// callers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound the requests and connections of clients.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration
}

// Organisation is an owner of API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if set.
	Priority *int
}

// Configuration is one version of the document.
type Configuration struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
}

// Validate returns the first reason why the configuration is invalid.
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
