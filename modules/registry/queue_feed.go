package registry

import (
	"context"
	"time"

	"heatherway.dev/core/queue"
	"heatherway.dev/core/registration"
	"heatherway.dev/core/routing"
)

// newUpstreamDelay is how long a new incarnation gets no requests from the queues. Gateways hear of
// it through another instance and their watch, each of which batches for up to 50 ms, and cannot
// send to it before.
const newUpstreamDelay = 250 * time.Millisecond

// upstreamFeed passes the upstreams of the directory and the services of the configuration to the
// queues.
type upstreamFeed struct {
	// services are the services with an engine, by name, in a version of the configuration.
	version  uint64
	services map[string]*routing.Engine
	// records are the upstreams in the directory up to a change, by ID.
	change  uint64
	records map[string]registration.Upstream
	// newUntil holds, by ID, when the requests to a new incarnation may begin.
	newUntil map[string]time.Time
}

func (f *upstreamFeed) hasService(name string) bool { return f.services[name] != nil }

// refresh reads what has changed, and updates the queues.
func (f *upstreamFeed) refresh(ctx context.Context, o *queueOwner) {
	now := time.Now()
	changed := f.readConfiguration(o)
	changed = f.readDirectory(ctx, o, now) || changed
	if f.expireNew(now) || changed {
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

func (f *upstreamFeed) readDirectory(ctx context.Context, o *queueOwner, now time.Time) (changed bool) {
	changes, ok := o.registry.directory.changesSince(ctx, query{sinceChange: f.change})
	if !ok || changes.lastChange == f.change {
		return false
	}
	f.change = changes.lastChange
	first := f.records == nil // the gateways know what this instance has known for some time
	if first {
		f.records, f.newUntil = map[string]registration.Upstream{}, map[string]time.Time{}
	}
	for _, u := range changes.upstreams {
		if u.State == registration.Left {
			delete(f.records, u.ID)
			delete(f.newUntil, u.ID)
			continue
		}
		if before, known := f.records[u.ID]; !first && (!known || before.StartedMS != u.StartedMS) {
			f.newUntil[u.ID] = now.Add(newUpstreamDelay)
		}
		f.records[u.ID] = u
	}
	return true
}

// expireNew forgets the incarnations that are no longer new, and reports whether there were any.
func (f *upstreamFeed) expireNew(now time.Time) (changed bool) {
	for id, until := range f.newUntil {
		if !now.Before(until) {
			delete(f.newUntil, id)
			changed = true
		}
	}
	return changed
}

// nextChange returns the time until requests to a new incarnation may begin, at most limit.
func (f *upstreamFeed) nextChange(now time.Time, limit time.Duration) time.Duration {
	for _, until := range f.newUntil {
		limit = min(limit, until.Sub(now))
	}
	return limit
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
		_, isNew := f.newUntil[u.ID]
		record := queue.Upstream{ID: u.ID, StartedMS: u.StartedMS, Zone: u.Zone, Slots: slots(u, engine), MemoryTokens: engine.MemoryTokens,
			HoldsCopies: engine.SupportsBackups, Accepts: !isNew && !u.Leaving && (u.State == registration.Ready || u.State == registration.Lost && !anyReady)}
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
