package admission

import (
	"math"
	"math/rand"
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
)

// Guards against one request with an odd weight that ends fair queueing for all: a weight
// that is not a number, or so small that its tag is infinite, makes all tags so.
func TestOddWeights(t *testing.T) {
	for _, weight := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 5e-324, 1e-300, math.MaxFloat64} {
		q := New(t0, Settings{Slots: 1, QueueLimit: 100}, rand.New(rand.NewSource(1)))
		submit := func(id uint64, organisation string, weight float64) {
			q.Submit(t0, Request{ID: id, Class: wire.Urgent, Organisation: organisation, Weight: weight, Cost: 100})
		}
		submit(1, "keeps the slot", 1)
		submit(2, "odd", weight)
		submit(3, "odd", weight)
		for id := uint64(10); id < 30; id += 2 {
			submit(id, "a", 1)
			submit(id+1, "b", 1)
		}
		c := &q.classes[wire.Urgent]
		running, served := uint64(1), map[string]int{}
		for range 16 {
			next := uint64(0)
			for _, d := range q.Finish(t0, running, 100) {
				if d.Action == Run {
					next = d.ID
				}
			}
			assert.Assert(t, next != 0, "weight %v: no request runs", weight)
			running = next
			served[q.items[next].Organisation]++
			assert.Check(t, !math.IsNaN(c.virtualTime) && !math.IsInf(c.virtualTime, 0) && !math.IsNaN(c.queuedWeight) && !math.IsInf(c.queuedWeight, 0),
				"weight %v: virtual time %v, queued weight %v", weight, c.virtualTime, c.queuedWeight)
		}
		assert.Check(t, served["a"] >= 6 && served["b"] >= 6, "weight %v: served %v", weight, served)
	}
}
