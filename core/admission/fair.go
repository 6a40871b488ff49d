package admission

import (
	"container/heap"
	"slices"
	"time"

	"heatherway.dev/core/wire"
)

type state uint8

const (
	stateWaiting state = iota
	stateRunning
	statePreempting
	stateEnded
)

// item is one request in the queue or in a slot.
type item struct {
	Request
	flow         *flow
	seq          uint64
	state        state
	wasPreempted bool // was preempted and waits to run again
	started      time.Time
	slot         int // index in class.slots
}

func (it *item) isWaiting() bool { return it.state == stateWaiting }

// flow is the queue of one organisation in a class.
type flow struct {
	organisation string
	weight       float64
	queue        []*item
	// startTag is the start tag of the first queued item, finishTag the tag from which the
	// next item would continue.
	startTag, finishTag float64
	backlog             float64 // sum of the costs of the queued items
	running             int
	index               [2]int // positions in class.byStart and class.byLength
}

func (f *flow) waiting() []*item { return f.queue }
func (f *flow) length() int      { return len(f.queue) }

// flowHeap is a heap of the flows with queued items.
type flowHeap struct {
	list       []*flow
	indexField int // element of flow.index that holds positions in this heap
	less       func(a, b *flow) bool
}

func (h *flowHeap) Len() int           { return len(h.list) }
func (h *flowHeap) Less(i, j int) bool { return h.less(h.list[i], h.list[j]) }
func (h *flowHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].index[h.indexField], h.list[j].index[h.indexField] = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index[h.indexField] = len(h.list)
	h.list = append(h.list, f)
}
func (h *flowHeap) Pop() any {
	f := h.list[len(h.list)-1]
	h.list[len(h.list)-1] = nil
	h.list = h.list[:len(h.list)-1]
	return f
}

func earlierStart(a, b *flow) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.queue[0].seq < b.queue[0].seq
}

// longerQueue orders flows by their number of queued items per weight, because the limit
// of the queue is a number of requests. Measured in tokens, an organisation with a few
// large requests would rank above one that floods the queue with small ones.
func longerQueue(a, b *flow) bool {
	al, bl := float64(len(a.queue))/a.weight, float64(len(b.queue))/b.weight
	if al != bl {
		return al > bl
	}
	return a.tail() > b.tail()
}

// tail returns the start tag of the newest queued item.
func (f *flow) tail() float64 {
	return f.startTag + (f.backlog-f.queue[len(f.queue)-1].Cost)/f.weight
}

// class holds the state of one priority class. Its organisations share by start-time fair
// queueing: the flow with the lowest start tag is served next, and the virtual time is the
// start tag of the last one served.
type class struct {
	flows           map[string]*flow
	byStart         flowHeap
	byLength        flowHeap
	virtualTime     float64
	queuedCount     int     // queued items
	queuedWeight    float64 // sum over the flows with queued items
	slots           []*item
	preemptible     int // items in slots that are preemptible, including those being preempted
	usage           usage
	meanSlotSeconds float64 // mean time in a slot in seconds
	startSecondsSum float64 // sum of the start times of the items in slots, in seconds
}

func (c *class) flowOf(it *item) *flow {
	f := c.flows[it.Organisation]
	if f == nil {
		f = &flow{organisation: it.Organisation, weight: it.Weight}
		c.flows[it.Organisation] = f
	}
	if len(f.queue) == 0 {
		f.weight = it.Weight
	}
	return f
}

func (c *class) push(it *item)      { c.insert(it, false) }
func (c *class) pushFront(it *item) { c.insert(it, true) }

func (c *class) insert(it *item, front bool) {
	f := c.flowOf(it)
	it.flow, it.state = f, stateWaiting
	if front {
		f.queue = slices.Insert(f.queue, 0, it)
	} else {
		f.queue = append(f.queue, it)
	}
	f.backlog += it.Cost
	c.queuedCount++
	if len(f.queue) > 1 {
		c.fixHeaps(f)
		return
	}
	f.startTag = max(c.minStartTag(), f.finishTag)
	c.queuedWeight += f.weight
	c.byStart.less, c.byLength.less, c.byLength.indexField = earlierStart, longerQueue, 1
	heap.Push(&c.byStart, f)
	heap.Push(&c.byLength, f)
}

// burstCredit is the unused share, in tokens per unit of weight, that an organisation may
// use ahead of the others. Without it, an organisation far below its share waits, between
// two requests of a burst, until the largest organisation has been served once; the p99 of
// the time to the first token was 20 times that without the large organisation. Long-term
// shares are unaffected.
const burstCredit = 2048

// minStartTag returns the lowest start tag that a flow may get.
func (c *class) minStartTag() float64 { return c.virtualTime - burstCredit }

func (c *class) fixHeaps(f *flow) {
	heap.Fix(&c.byStart, f.index[0])
	heap.Fix(&c.byLength, f.index[1])
}

// pop removes and returns the next item to run.
func (c *class) pop() *item {
	f := c.byStart.list[0]
	it := f.queue[0]
	c.virtualTime = max(c.virtualTime, f.startTag)
	f.finishTag = f.startTag + it.Cost/f.weight
	f.startTag = f.finishTag
	c.remove(it)
	return it
}

// remove removes an item from its queue.
func (c *class) remove(it *item) {
	f := it.flow
	i := slices.Index(f.queue, it)
	f.queue = slices.Delete(f.queue, i, i+1)
	f.backlog -= it.Cost
	c.queuedCount--
	if len(f.queue) > 0 {
		c.fixHeaps(f)
		return
	}
	f.backlog = 0
	heap.Remove(&c.byStart, f.index[0])
	heap.Remove(&c.byLength, f.index[1])
	c.queuedWeight -= f.weight
	if len(c.byStart.list) == 0 {
		c.queuedWeight = 0
	}
}

// newestOfLargest returns the item to refuse when the queue is full: the newest of the
// organisation with the most queued items per weight, so that a flood displaces only its
// own requests. Preempted items are skipped; if all are, it returns the given item.
func (c *class) newestOfLargest(it *item) *item {
	f := c.byLength.list[0]
	for i := len(f.queue) - 1; i >= 0; i-- {
		if !f.queue[i].wasPreempted {
			return f.queue[i]
		}
	}
	return it
}

// charge corrects the tags of an organisation by the tokens used beyond the expected cost.
func (c *class) charge(f *flow, tokens float64) {
	f.finishTag += tokens / f.weight
	if len(f.queue) > 0 {
		f.startTag = max(f.startTag+tokens/f.weight, c.minStartTag())
		c.fixHeaps(f)
	}
}

func (c *class) enterSlot(it *item) {
	it.state, it.slot = stateRunning, len(c.slots)
	c.slots = append(c.slots, it)
	it.flow.running++
	if it.Preemptible {
		c.preemptible++
	}
	c.usage.running++
	c.startSecondsSum += seconds(it.started)
}

func (c *class) leaveSlot(it *item) {
	last := len(c.slots) - 1
	c.slots[it.slot] = c.slots[last]
	c.slots[it.slot].slot = it.slot
	c.slots[last] = nil
	c.slots = c.slots[:last]
	it.flow.running--
	if it.Preemptible {
		c.preemptible--
	}
	c.usage.running--
	c.startSecondsSum -= seconds(it.started)
	if last == 0 {
		c.startSecondsSum = 0
	}
}

// resetIfIdle resets the tags of all organisations once the class is idle. Within a busy
// period, the tags prevent an organisation from gaining by submitting one request at a
// time.
func (c *class) resetIfIdle() {
	if c.queuedCount > 0 || len(c.slots) > 0 {
		return
	}
	clear(c.flows)
	c.virtualTime = 0
}

// removeIdleFlows removes organisations that have neither queued nor running items and
// whose tags no longer matter.
func (c *class) removeIdleFlows() {
	for name, f := range c.flows {
		if len(f.queue) == 0 && f.running == 0 && f.finishTag <= c.minStartTag() {
			delete(c.flows, name)
		}
	}
}

// slotTimeWeight is the weight of a new sample in the mean time in a slot.
const slotTimeWeight = 0.1

func (c *class) observeSlotTime(d time.Duration) {
	if c.meanSlotSeconds == 0 {
		c.meanSlotSeconds = d.Seconds()
		return
	}
	c.meanSlotSeconds += slotTimeWeight * (d.Seconds() - c.meanSlotSeconds)
}

// meanSlotTime returns the mean time in a slot in seconds, or the mean age of the running
// items if that is longer, which means that no request has finished for a while. A class
// without finished requests takes the longest mean of the other classes.
func (q *Queue) meanSlotTime(now time.Time, id wire.Class) float64 {
	c := &q.classes[id]
	hold := c.meanSlotSeconds
	if hold == 0 {
		for other := range q.classes {
			hold = max(hold, q.classes[other].meanSlotSeconds)
		}
	}
	if len(c.slots) == 0 {
		return hold
	}
	return max(hold, seconds(now)-c.startSecondsSum/float64(len(c.slots)))
}

// epoch keeps timestamps in seconds small, so that their sums stay exact enough.
var epoch = time.Unix(1_700_000_000, 0)

func seconds(t time.Time) float64 { return t.Sub(epoch).Seconds() }
