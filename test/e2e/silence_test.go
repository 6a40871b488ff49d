package e2e

import (
	"context"
	"testing"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/fault"
)

// proxiedSpec is a cluster with proxies between entries and agents, and between
// agents and engines.
var proxiedSpec = clusterSpec{control: 1, entries: 2, engines: 3, decodeStep: "10ms", proxies: true}

// silenceDuringStreams runs streams, makes the open connections of the picked
// proxies stop passing bytes for good, and checks every token and that no
// upstream is considered failed.
func silenceDuringStreams(t *testing.T, pick func(cl *cluster) []*fault.Proxy) {
	cl := startCluster(t, proxiedSpec)
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	onToken := onceAfterTokens(20, func() {
		for _, p := range pick(cl) {
			p.Silence()
		}
	})
	cl.generate(30, 150, func(i int, g *generation) error {
		if err := g.stream(ctx, cl.Entries[i%len(cl.Entries)], onToken); err != nil {
			return err
		}
		return g.verify()
	})
	cl.checkUpstreamsHealthy()
}

// checkUpstreamsHealthy fails the test if an entry has taken an upstream out of
// service.
func (cl *cluster) checkUpstreamsHealthy() {
	cl.t.Helper()
	for i := range cl.Entries {
		reply, err := cl.entryStatus(i)
		if err != nil {
			cl.t.Errorf("entry %d: %v", i, err)
			continue
		}
		for _, u := range reply.Upstreams {
			if u.Breaker == "open" || u.State != wire.UpstreamUp {
				cl.t.Errorf("entry %d: %s is %v with breaker %s", i, u.ID, u.State, u.Breaker)
			}
		}
	}
}

// Guards against streams that hang or fail when the open connections between
// entries and agents stop passing bytes while new connections work.
func TestSilentConnectionsToAgents(t *testing.T) {
	silenceDuringStreams(t, func(cl *cluster) []*fault.Proxy { return cl.agentProxies })
}

// Guards against streams that hang or fail when the open connections between
// agents and engines stop passing bytes while new connections work.
func TestSilentConnectionsToEngines(t *testing.T) {
	silenceDuringStreams(t, func(cl *cluster) []*fault.Proxy { return cl.engineProxies })
}

// Guards against streams that hang or fail when both kinds of connections stop
// passing bytes at the same time.
func TestSilentConnectionsEverywhere(t *testing.T) {
	silenceDuringStreams(t, func(cl *cluster) []*fault.Proxy { return append(cl.agentProxies, cl.engineProxies...) })
}
