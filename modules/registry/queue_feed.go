package registry

import (
	"context"
	"time"

	"heatherway.dev/core/queue"
	"heatherway.dev/core/registration"
	"heatherway.dev/core/routing"
)

// upstreamFeed passes the upstreams of the directory and the services of the configuration to the
// queues.
type upstreamFeed struct {
	// services are the services with an engine, by name, in a version of the configuration.
	version  uint64
	services map[string]*routing.Engine
	// records are the upstreams in the directory up to a change, by ID.
	change  uint64
	records map[string]registration.Upstream
}

func (f *upstreamFeed) hasService(name string) bool { return f.services[name] != nil }

// refresh reads what has changed, and updates the queues.
func (f *upstreamFeed) refresh(ctx context.Context, o *queueOwner) {
	changed := f.readConfiguration(o)
	if f.readDirectory(ctx, o) || changed {
		now := time.Now()
		for service, q := range o.services {
			q.SetUpstreams(now, f.upstreams(service))
		}
	}
}

func (f *upstreamFeed) readConfiguration(o *queueOwner) (changed bool) {
	current := o.registry.configuration.current()
	if current.version == f.version {
		return false
	}
	f.version = current.version
	c, err := o.registry.dialect.Configuration(current.body)
	if err != nil {
		o.log.Error("cannot read the services of the configuration", "version", current.version, "error", clip(err.Error()))
		return false
	}
	f.services = map[string]*routing.Engine{}
	for _, s := range c.Services {
		if s.Engine != nil {
			f.services[s.Name] = s.Engine
		}
	}
	return true
}

func (f *upstreamFeed) readDirectory(ctx context.Context, o *queueOwner) (changed bool) {
	changes, ok := o.registry.directory.changesSince(ctx, query{sinceChange: f.change})
	if !ok || changes.lastChange == f.change {
		return false
	}
	f.change = changes.lastChange
	if f.records == nil {
		f.records = map[string]registration.Upstream{}
	}
	for _, u := range changes.upstreams {
		if u.State == registration.Left {
			delete(f.records, u.ID)
			continue
		}
		f.records[u.ID] = u
	}
	return true
}

// upstreams returns the upstreams of a service. If none is ready, those in state lost count: the
// control instances are then more likely to have failed than the upstreams.
func (f *upstreamFeed) upstreams(service string) []queue.Upstream {
	engine := f.services[service]
	if engine == nil {
		return nil
	}
	versions, anyReady := false, false
	var records []registration.Upstream
	for _, u := range f.records {
		if u.Service == service {
			records = append(records, u)
			versions = versions || u.Version != ""
			anyReady = anyReady || u.State == registration.Ready && !u.Leaving
		}
	}
	out := make([]queue.Upstream, 0, len(records))
	for _, u := range records {
		record := queue.Upstream{ID: u.ID, StartedMS: u.StartedMS, Zone: u.Zone, Slots: slots(u, engine), MemoryTokens: engine.MemoryTokens,
			HoldsCopies: engine.SupportsBackups, Accepts: !u.Leaving && (u.State == registration.Ready || u.State == registration.Lost && !anyReady)}
		if versions {
			record.Version = u.SoftwareVersion()
		}
		out = append(out, record)
	}
	return out
}

// slots returns how many requests an upstream runs at once: what it announces, within what the
// configuration says.
func slots(u registration.Upstream, engine *routing.Engine) int {
	if u.Slots > 0 && engine.Slots > 0 {
		return min(u.Slots, engine.Slots)
	}
	return max(u.Slots, engine.Slots)
}
