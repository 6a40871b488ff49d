package registry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/registration"
)

// Guards against a count of gateways that keeps those that are gone, which leaves the others too few
// retries, and against one that is too low, which allows more than a service tolerates.
func TestGatewaysAreCounted(t *testing.T) {
	var c readerCounter
	now, others := time.Unix(1000, 0), []string{"second", "third"}
	const gateways = 30
	for i := range 20 {
		c.record(now, fmt.Sprint("front-", i))
	}
	c.record(now.Add(MaxWatch), "front-0")
	assert.Equal(t, c.gateways(others), gateways, "the others have told nothing yet")
	c.recordOther("second", 28)
	c.recordOther("third", 12)
	assert.Equal(t, c.gateways(others), gateways)
	assert.Equal(t, c.gateways(nil), 20, "there is no other instance to follow")
	c.record(now.Add(MaxWatch+readerTTL), "front-1")
	assert.Equal(t, c.current(), 2, "front-0 has called within the time")
	c.record(now.Add(2*MaxWatch+readerTTL+time.Millisecond), "front-1")
	assert.Equal(t, c.current(), 1)
}

// Guards against a reply to a gateway that does not tell the number of gateways.
func TestWatchTellsTheNumberOfGateways(t *testing.T) {
	f := newFleet(t, 3)
	f.replace(f.nodes[0], 1, "first")
	follow := func(n *node, reader string) int {
		client := n.security.NewClient(n.addr)
		defer client.Close()
		reply := &WatchReply{}
		assert.NilError(t, client.Call(t.Context(), ServiceName+".Watch", &WatchArgs{Subset: registration.Subset{Reader: reader}}, reply))
		return reply.Gateways
	}
	f.eventually("three gateways, all of which follow the first two instances", func() bool {
		counts := map[int]bool{}
		for _, n := range f.nodes[:2] {
			for _, reader := range []string{"a", "b", "c"} {
				counts[follow(n, reader)] = true
			}
		}
		return len(counts) == 1 && counts[3]
	})
}
