package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/modules/registry"
)

// Guards against a gateway of a large fleet that does not know the upstreams where the owner of the
// queue places its streams.
func TestGatewayWithAQueueFollowsAllUpstreams(t *testing.T) {
	f := newFixtureWith(t, func(g *Gateway) { g.Queue.Enabled = true }, nil)
	args := &registry.WatchArgs{}
	f.follower.setSubset(args)
	assert.Assert(t, !args.Choose)
	assert.Assert(t, args.Subset.Contains(&registration.Upstream{ID: "u", Service: "model", Zone: "far", Addr: "10.0.0.1:80"}))
	plain := newFixture(t, nil)
	plain.follower.setSubset(args)
	assert.Assert(t, args.Choose)
}
