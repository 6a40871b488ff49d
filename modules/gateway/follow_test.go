package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/registration"
)

// Guards against all gateways staying at the few control instances that they are started
// with, and at the others after a loss (kw-heatherway-large: 250 of 273 calls to follow an
// instance went to three of twelve), and against gateways that leave an instance for one
// that has just failed.
func TestGatewaysSpreadOverControlInstances(t *testing.T) {
	g := newGateway()
	g.id = "front-1"
	f := newFollower(g)
	var members []string
	for i := range 8 {
		members = append(members, fmt.Sprintf("10.%d.0.14:7140", i))
	}
	best := registration.Rank(f.g.id, members)
	now := time.Now()
	f.mu.Lock()
	f.members, f.following, f.nextMove = slices.Clone(best[5:]), map[string]bool{}, now
	f.mu.Unlock()
	first, _ := f.claim()
	second, _ := f.claim()
	assert.DeepEqual(t, []string{first, second}, best[5:7])
	assert.Assert(t, !f.moves(now, first))

	f.mu.Lock()
	f.members = members
	f.mu.Unlock()
	assert.Assert(t, f.moves(now, first))
	f.release(first)
	assert.Assert(t, !f.moves(now, second), "one after the other")
	third, _ := f.claim()
	assert.Equal(t, third, best[0])
	assert.Assert(t, f.moves(now.Add(2*moveInterval), second))
	f.release(second)
	fourth, _ := f.claim()
	assert.Equal(t, fourth, best[1])
	assert.Assert(t, !f.moves(now.Add(4*moveInterval), third))

	f.release(third)
	f.fail(third)
	fifth, _ := f.claim()
	assert.Equal(t, fifth, best[2], "one that has failed comes last")
	assert.Assert(t, !f.moves(time.Now().Add(moveMemory-time.Second), fifth))
	assert.Assert(t, f.moves(time.Now().Add(moveMemory+4*moveInterval), fifth))
}
