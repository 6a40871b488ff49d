package queue

import (
	"cmp"
	"container/heap"
	"math/bits"
	"slices"
	"time"
)

// levelIndex is a level of a class; lower ones go first.
type levelIndex int

const (
	// returned are callers that were refused and have come back when they were told to.
	returned levelIndex = iota
	// onTime can still begin within their aim.
	onTime
	// late cannot; they are still worth an answer until their deadline.
	late
	levels
)

// flow is what one organisation has waiting in a class. The organisations of a class share by
// start-time fair queueing: the flow with the lowest start tag is served next, and the virtual
// time is the start tag of the last one served.
type flow struct {
	startTag float64
	lists    [levels][]*request // in the order of earlier
	tokens   [levels]int
	index    [levels]int // in the heaps of the class
}

func (f *flow) idle() bool {
	for l := range f.lists {
		if len(f.lists[l]) > 0 {
			return false
		}
	}
	return true
}

// total returns the tokens that wait.
func (f *flow) total() (sum int) {
	for _, tokens := range f.tokens {
		sum += tokens
	}
	return sum
}

// flowHeap holds the flows that have requests in one level.
type flowHeap struct {
	list  []*flow
	level levelIndex
}

func (h *flowHeap) Len() int { return len(h.list) }
func (h *flowHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return earlier(a.lists[h.level][0], b.lists[h.level][0]) < 0
}
func (h *flowHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].index[h.level], h.list[j].index[h.level] = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index[h.level] = len(h.list)
	h.list = append(h.list, f)
}
func (h *flowHeap) Pop() any {
	f := h.list[len(h.list)-1]
	h.list[len(h.list)-1] = nil
	h.list = h.list[:len(h.list)-1]
	return f
}

// earlier orders the requests of one organisation and level. Those that can still make their aims go
// by the times at which they are due, so that one with a long aim waits for one with a short aim;
// all others go by arrival.
func earlier(a, b *request) int {
	if a.level == onTime && b.level == onTime && !a.due.Equal(b.due) {
		switch {
		case a.due.IsZero():
			return 1
		case b.due.IsZero():
			return -1
		}
		return a.due.Compare(b.due)
	}
	if c := a.arrivedAt.Compare(b.arrivedAt); c != 0 {
		return c
	}
	return cmp.Compare(a.seq, b.seq)
}

// targetHeap holds the requests of a level by the time until which they have to be served.
type targetHeap []*request

func (h targetHeap) Len() int           { return len(h) }
func (h targetHeap) Less(i, j int) bool { return h[i].target().Before(h[j].target()) }
func (h targetHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].targetIndex, h[j].targetIndex = i, j
}
func (h *targetHeap) Push(x any) {
	r := x.(*request)
	r.targetIndex = len(*h)
	*h = append(*h, r)
}
func (h *targetHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.targetIndex = -1
	return r
}

// level is one level of a class.
type level struct {
	flows         flowHeap
	targets       targetHeap
	count, tokens int
}

// class holds the waiting requests of one priority.
type class struct {
	flows       map[string]*flow
	levels      [levels]level
	virtualTime float64
	count       int
	// share is the class's recent share of starts; waitingFrom is since when it waits.
	share       float64
	waitingFrom time.Time
	// floorBlocked is set for the rest of a call once there was no room for a request that the
	// floor put first. Its floor must not put all its large requests before those of other classes.
	floorBlocked bool
}

func newClass() *class {
	c := &class{flows: map[string]*flow{}}
	for l := range c.levels {
		c.levels[l].flows.level = levelIndex(l)
	}
	return c
}

// sizeCounts counts waiting requests by the number of bits of their prompts in tokens.
type sizeCounts [26]int

func sizeIndex(tokens int) int { return bits.Len(uint(tokens)) }

// anyWithin reports whether a prompt of at most a number of tokens may be waiting.
func (s *sizeCounts) anyWithin(tokens int) bool {
	for _, n := range s[:min(sizeIndex(max(tokens, 0))+1, len(s))] {
		if n > 0 {
			return true
		}
	}
	return false
}

// push adds a request to a level of its class.
func (q *Queue) push(r *request, l levelIndex) {
	q.waitingPrompts[sizeIndex(r.prompt)]++
	q.classes[r.priority()].push(r, l)
}

// remove takes a request out of its class.
func (q *Queue) remove(r *request) {
	q.waitingPrompts[sizeIndex(r.prompt)]--
	q.classes[r.priority()].remove(r)
}

// push adds a request to a level.
func (c *class) push(r *request, l levelIndex) {
	f := c.flows[r.Organisation]
	if f == nil {
		f = &flow{}
		c.flows[r.Organisation] = f
	}
	if f.idle() {
		f.startTag = max(f.startTag, c.virtualTime)
	}
	r.flow, r.level, r.targetIndex = f, l, -1
	at, _ := slices.BinarySearchFunc(f.lists[l], r, earlier)
	f.lists[l] = slices.Insert(f.lists[l], at, r)
	f.tokens[l] += r.tokens
	lv := &c.levels[l]
	if len(f.lists[l]) == 1 {
		heap.Push(&lv.flows, f)
	} else if at == 0 {
		heap.Fix(&lv.flows, f.index[l])
	}
	if !r.target().IsZero() {
		heap.Push(&lv.targets, r)
	}
	lv.count++
	lv.tokens += r.prompt
	c.count++
}

// remove takes a request out of its level.
func (c *class) remove(r *request) {
	f, l := r.flow, r.level
	at, found := slices.BinarySearchFunc(f.lists[l], r, earlier)
	if !found {
		return
	}
	lv := &c.levels[l]
	f.lists[l] = slices.Delete(f.lists[l], at, at+1)
	f.tokens[l] -= r.tokens
	if len(f.lists[l]) == 0 {
		heap.Remove(&lv.flows, f.index[l])
	} else if at == 0 {
		heap.Fix(&lv.flows, f.index[l])
	}
	if r.targetIndex >= 0 {
		heap.Remove(&lv.targets, r.targetIndex)
	}
	lv.count--
	lv.tokens -= r.prompt
	c.count--
	r.flow = nil
}

// charge counts a started request against its organisation.
func (c *class) charge(f *flow, tokens int) {
	c.virtualTime = max(c.virtualTime, f.startTag)
	f.startTag += float64(tokens)
	c.fixFlow(f)
}

// refund takes back a charge. The virtual time stays, since others may have been served by it.
func (c *class) refund(f *flow, tokens int) {
	f.startTag -= float64(tokens)
	c.fixFlow(f)
}

// fixFlow restores the order of organisations after a start tag has changed.
func (c *class) fixFlow(f *flow) {
	for l := range f.lists {
		if len(f.lists[l]) > 0 {
			heap.Fix(&c.levels[l].flows, f.index[l])
		}
	}
}

// removeIdleFlows forgets organisations without requests whose tags no longer matter.
func (c *class) removeIdleFlows() {
	for name, f := range c.flows {
		if f.idle() && (f.startTag <= c.virtualTime || c.count == 0) {
			delete(c.flows, name)
		}
	}
}

// head returns the next request of a level.
func (c *class) head(l levelIndex) *request {
	h := c.levels[l].flows.list
	if len(h) == 0 {
		return nil
	}
	return h[0].lists[l][0]
}

// slack returns the time that a level has left before the first of its requests misses its
// target.
func (lv *level) slack(now time.Time) time.Duration {
	if len(lv.targets) == 0 {
		return maxDuration
	}
	return lv.targets[0].target().Sub(now)
}
