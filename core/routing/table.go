package routing

import (
	"net"
	"sort"
	"strings"
)

// Table answers lookups in one configuration. It is immutable.
type Table struct {
	Version      uint64
	Limits       Limits
	services     map[string]*Service
	byHost       map[string][]*Route // longest prefix first
	byKey        map[string]*Organisation
	keysRequired bool
	// organisations is their number; each may have several keys.
	organisations int
}

// NewTable compiles a configuration that Validate has accepted.
func NewTable(c *Configuration) *Table {
	t := &Table{
		Version: c.Version, Limits: c.Limits, organisations: len(c.Organisations),
		services:     make(map[string]*Service, len(c.Services)),
		byHost:       map[string][]*Route{},
		byKey:        map[string]*Organisation{},
		keysRequired: len(c.Organisations) > 0,
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := hostOnly(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range c.Organisations {
		for _, k := range c.Organisations[i].Keys {
			t.byKey[k] = &c.Organisations[i]
		}
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[hostOnly(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostOnly drops a port and the case, which do not matter in a host name.
func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// NeedsKey tells whether requests of the route must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return t.keysRequired && !r.Public }

// Organisation returns the owner of a key.
func (t *Table) Organisation(key string) (*Organisation, bool) {
	o, ok := t.byKey[key]
	return o, ok
}

// Priority returns the rank of a request: that of its organisation if it has
// one, else that of its route.
func Priority(r *Route, o *Organisation) int {
	if o != nil && o.Priority != nil {
		return *o.Priority
	}
	return r.Priority
}

// Pick returns the target of a request, by a uniformly distributed draw. The
// same draw picks the same target, so that all attempts of a request stay
// within one service.
func (r *Route) Pick(draw uint64) string {
	total := uint64(0)
	for _, t := range r.Targets {
		total += uint64(t.Weight)
	}
	if total == 0 {
		return ""
	}
	at := draw % total
	for _, t := range r.Targets {
		if at < uint64(t.Weight) {
			return t.Service
		}
		at -= uint64(t.Weight)
	}
	return ""
}

// AllowsResume tells whether a caller in mid-stream may go on by this configuration
// although it is not confirmed. It answers the moment after all processes have
// been killed: the caller was let in before, and waiting for an election would
// lengthen its pause beyond what is on time. What is false here may be allowed by
// a newer configuration, so nobody is refused by it.
func (t *Table) AllowsResume(host, path, key string) bool {
	route, ok := t.Match(host, path)
	if !ok || route.Kind != Stream || !route.Resumable {
		return false
	}
	_, known := t.Organisation(key)
	return known || !t.NeedsKey(route)
}

// Size returns the numbers of routes, services and organisations.
func (t *Table) Size() (routes, services, organisations int) {
	for _, list := range t.byHost {
		routes += len(list)
	}
	return routes, len(t.services), t.organisations
}
