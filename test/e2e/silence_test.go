package e2e

import (
	"context"
	"testing"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/fault"
)

// silentShape puts proxies between entries and agents, and between agents and
// engines.
var silentShape = shape{control: 1, entries: 2, engines: 3, step: "10ms", proxies: true}

// silenceDuringStreams runs streams, makes open connections go silent for good,
// and checks every token and that no upstream counts as failed.
func silenceDuringStreams(t *testing.T, pick func(f *fleet) []*fault.Proxy) {
	f := newFleet(t, silentShape)
	ctx, cancel := context.WithTimeout(context.Background(), streamLimit)
	defer cancel()
	watch := onceAt(20, func() {
		for _, p := range pick(f) {
			p.Silence()
		}
	})
	f.streams(30, 150, func(i int, c *call) error {
		if err := c.stream(ctx, f.Entries[i%len(f.Entries)], watch); err != nil {
			return err
		}
		return c.check()
	})
	f.checkHealthy()
}

// checkHealthy fails when an entry has taken an upstream out of service.
func (f *fleet) checkHealthy() {
	f.t.Helper()
	for i := range f.Entries {
		r, err := f.entryStatus(i)
		if err != nil {
			f.t.Errorf("entry %d: %v", i, err)
			continue
		}
		for _, u := range r.Upstreams {
			if u.Breaker == "open" || u.State != wire.UpstreamUp {
				f.t.Errorf("entry %d: %s is %v with breaker %s", i, u.ID, u.State, u.Breaker)
			}
		}
	}
}

// Guards against streams that hang or fail when the connections between entries
// and agents go silent while new ones work.
func TestSilentConnectionsToAgents(t *testing.T) {
	silenceDuringStreams(t, func(f *fleet) []*fault.Proxy { return f.agentProxies })
}

// Guards against streams that hang or fail when the connections between agents
// and engines go silent while new ones work.
func TestSilentConnectionsToEngines(t *testing.T) {
	silenceDuringStreams(t, func(f *fleet) []*fault.Proxy { return f.engineProxies })
}

// Guards against both kinds going silent at the same time.
func TestSilentConnectionsEverywhere(t *testing.T) {
	silenceDuringStreams(t, func(f *fleet) []*fault.Proxy { return append(f.agentProxies, f.engineProxies...) })
}
