package registry

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/rollout"
)

func newRolloutFleet(t *testing.T, size int, bare ...int) *fleet {
	f := &fleet{t: t}
	f.rollouts = RolloutSettings{CanaryShare: 0.1, CanarySlack: 50, Rollback: 5 * time.Second, Settle: time.Second}
	f.bare = bare
	f.init(size)
	f.replace(f.nodes[0], 1, "names service s")
	return f
}

func order(target string, seconds any) string {
	return fmt.Sprintf(`{"Service":"s","Target":%q,"DurationS":%v}`, target, seconds)
}

// startOrder sends an order until an instance has decided about it.
func (f *fleet) startOrder(n *node, text string) (status int, body string) {
	f.t.Helper()
	f.eventually("decision about an order", func() bool {
		status, body = n.call(f.t, "POST", "/v1/rollouts/start", text)
		return status/100 == 2 || status/100 == 4
	})
	return status, body
}

// stateOf returns the state that an instance tells operators.
func (n *node) stateOf(t testing.TB) string {
	status, text := n.call(t, "GET", "/v1/rollouts/s/get", "")
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	return text
}

const (
	runningV2  = `{"State":"running","Target":"v2"}`
	revertedV2 = `{"State":"reverted","Target":"v2"}`
)

// Guards against an instance, with or without a disk, that refuses an order or does not know one that another
// instance has acknowledged, and against a second roll-out of a service beside the first.
func TestRolloutOrderAtEveryInstance(t *testing.T) {
	f := newRolloutFleet(t, 4, 3)
	for i, n := range f.nodes {
		assert.Equal(t, n.stateOf(t), "404", "instance %d", i)
	}
	for i, n := range f.nodes {
		status, text := f.startOrder(n, order("v2", 30))
		assert.Equal(t, status, http.StatusOK, "order at instance %d: %s", i, text)
		for _, m := range f.nodes {
			assert.Equal(t, m.stateOf(t), runningV2)
		}
	}
	for _, other := range []string{order("v3", 30), order("v2", 31)} {
		for _, n := range f.nodes {
			status, text := f.startOrder(n, other)
			assert.Equal(t, status, http.StatusConflict)
			assert.Assert(t, strings.Contains(text, "4096"), text)
		}
	}
	assert.Equal(t, f.nodes[3].stateOf(t), runningV2)
}

// Guards against an order that can't be carried out and changes something nevertheless.
func TestInvalidRolloutOrders(t *testing.T) {
	f := newRolloutFleet(t, 3)
	refused := map[string]int{
		strings.Replace(order("v2", 30), `"s"`, `"gone"`, 1): http.StatusNotFound,
		`{"Service":"s","Target":"v2"}`:                      http.StatusBadRequest,
		order("v2", 30)[:20]:                                 http.StatusBadRequest,
		"":                                                   http.StatusBadRequest,
		strings.Repeat(" ", maxOrderBytes) + order("v2", 30): http.StatusRequestEntityTooLarge,
		order("", 30): http.StatusBadRequest,
	}
	for _, seconds := range []any{0, -3, `"x"`, "NaN", 1e300, 1e9, "null", 0.001} {
		refused[order("v2", seconds)] = http.StatusBadRequest
	}
	for text, want := range refused {
		status, answer := f.startOrder(f.nodes[0], text)
		assert.Equal(t, status, want, "%.60s: %s", text, answer)
	}
	assert.Equal(t, f.nodes[1].stateOf(t), "404")
}

// Guards against an acknowledged order that is lost with the power of all instances and a disk.
func TestRolloutSurvivesLossOfAllInstances(t *testing.T) {
	f := newRolloutFleet(t, 3)
	status, _ := f.startOrder(f.nodes[0], order("v2", 60))
	assert.Equal(t, status, http.StatusOK)
	f.kill(f.nodes...)
	assert.NilError(t, os.RemoveAll(f.nodes[1].folder))
	for _, n := range f.nodes {
		f.start(n)
	}
	for _, n := range f.nodes {
		f.eventually("state after the restart", func() bool { return n.stateOf(t) == runningV2 })
	}
}

// Guards against a roll-out that remains undecided after its deadline as the leader that accepted it is gone.
func TestRolloutIsDecidedAfterLossOfTheLeader(t *testing.T) {
	f := newRolloutFleet(t, 3)
	status, _ := f.startOrder(f.nodes[0], order("v2", 4))
	assert.Equal(t, status, http.StatusOK)
	deadline := time.Now().Add(4 * time.Second)
	running := []*node{}
	for _, n := range f.nodes {
		if n.currentReplica().Leader(rolloutGroup).Self {
			f.kill(n)
			continue
		}
		running = append(running, n)
	}
	assert.Equal(t, len(running), 2)
	// No upstream of the target has announced itself, so the roll-out is reverted.
	f.eventually("decision", func() bool { return running[0].stateOf(t) == revertedV2 })
	assert.Assert(t, time.Now().Before(deadline), "decided after the deadline")
	assert.Equal(t, running[1].stateOf(t), revertedV2)
}

// Guards against an operator who cannot end a roll-out.
func TestRolloutRevertedByHand(t *testing.T) {
	f := newRolloutFleet(t, 3)
	status, _ := f.startOrder(f.nodes[0], order("v2", 60))
	assert.Equal(t, status, http.StatusOK)
	reply := &RolloutReply{}
	f.eventually("revert", func() bool {
		reply = &RolloutReply{}
		return callLedger(t, f.nodes[1], "Rollout", &RolloutArgs{Order: rollout.Order{Service: "s"}, Revert: true, Forward: true}, reply) == nil
	})
	assert.Equal(t, reply.Rollout.Phase, rollout.Reverted)
	assert.Equal(t, f.nodes[2].stateOf(t), revertedV2)
}
