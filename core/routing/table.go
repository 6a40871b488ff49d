package routing

import (
	"net"
	"sort"
	"strings"
)

// Table is the lookup table of one configuration. It is immutable.
type Table struct {
	Version      uint64
	Limits       Limits
	services     map[string]*Service
	byHost       map[string][]*Route // longest prefix first
	byKey        map[string]*Organisation
	keysRequired bool
	// organisations is the number of organisations; each may have several keys.
	organisations int
}

// NewTable compiles a configuration that has passed Validate.
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

// Match returns the host's route with the longest matching path prefix.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[hostOnly(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostOnly removes the port and converts to lower case, since host names are
// case-insensitive and routes ignore the port.
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

// NeedsKey reports whether requests of the route must carry an API key.
func (t *Table) NeedsKey(r *Route) bool { return t.keysRequired && !r.Public }

// Organisation returns the owner of an API key.
func (t *Table) Organisation(key string) (*Organisation, bool) {
	o, ok := t.byKey[key]
	return o, ok
}

// Priority returns the priority of a request: that of its organisation if set, otherwise that
// of its route.
func Priority(r *Route, o *Organisation) int {
	if o != nil && o.Priority != nil {
		return *o.Priority
	}
	return r.Priority
}

// Pick selects the target of a request by a uniformly distributed number. The same number
// selects the same target, so that all attempts of a request use the same service.
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

// AllowsResume reports whether a caller may resume its stream while this configuration is
// not yet confirmed as the current one. After a restart of all processes, such a caller has
// already been admitted once, and waiting for an election would make the gap in its stream
// too long. A newer configuration may allow what this one does not, so false is no reason
// to refuse the caller.
func (t *Table) AllowsResume(host, path, key string) bool {
	route, ok := t.Match(host, path)
	if !ok || route.Kind != Stream || !route.Resumable {
		return false
	}
	_, known := t.Organisation(key)
	return known || !t.NeedsKey(route)
}

// Size returns the number of routes, services and organisations.
func (t *Table) Size() (routes, services, organisations int) {
	for _, list := range t.byHost {
		routes += len(list)
	}
	return routes, len(t.services), t.organisations
}
