package queue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

func newQueue(upstreams ...Upstream) *Queue {
	q := New(start, DefaultSettings(), rand.New(rand.NewPCG(1, 2)))
	q.SetUpstreams(start, upstreams)
	return q
}

// fleet returns model servers in four zones.
func fleet(n int) (list []Upstream) {
	for i := range n {
		list = append(list, Upstream{ID: fmt.Sprintf("u%03d", i), Zone: fmt.Sprintf("z%d", i%4), Slots: 64, MemoryTokens: 88_000, HoldsCopies: true, Accepts: true})
	}
	return list
}

func stream(id uint64, priority int) Event {
	return Event{Kind: Submitted, ID: id, Request: &Request{RequestID: fmt.Sprint(id), Zone: "z0", Organisation: "o", Priority: priority,
		PromptTokens: 8200, OutputTokens: 600, Aim: 5 * time.Second, Deadline: 25 * time.Second, Copy: true}}
}

func TestUrgentRequestGoesFirst(t *testing.T) {
	q := newQueue(fleet(1)...)
	q.Apply(start, "g", []Event{stream(1, 2), stream(2, 1), stream(3, 0)})
	d := q.Decide(start)
	assert.Equal(t, len(d), 1)
	assert.Equal(t, d[0].ID, uint64(3))
	assert.Equal(t, d[0].CopyHolder, "")
	now := start.Add(time.Second)
	q.Apply(now, "g", []Event{{Kind: Begun, ID: 3, Took: time.Second}})
	d = q.Decide(now)
	assert.Equal(t, len(d), 1)
	assert.Equal(t, d[0].ID, uint64(2))
}

func TestCopyIsPlacedInAnotherZone(t *testing.T) {
	q := newQueue(fleet(8)...)
	q.Apply(start, "g", []Event{stream(1, 0)})
	d := q.Decide(start)
	assert.Equal(t, len(d), 1)
	assert.Assert(t, d[0].CopyHolder != "")
	assert.Assert(t, q.upstreams[d[0].Upstream].Zone != q.upstreams[d[0].CopyHolder].Zone)
}
