package dispatch

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// desk is a service that queues some calls and turns others away.
type plainServer struct {
	running int
	queue   []int // callers that wait
}

const (
	serverSlots      = 6
	serverQueueLimit = 24
	serviceTime      = 30 * time.Millisecond
	// deskDeadline is the callers'.
	callerDeadline = 2500 * time.Millisecond
)

// event is something that happens in a play of calls.
type event struct {
	at          time.Duration
	kind        eventKind
	caller      int
	plainServer int
}

type eventKind uint8

const (
	arrives eventKind = iota
	ends
)

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// playRestart plays calls that reach six desks through many gateways: a third of what they
// can take, and the calls of a time without service at once. Callers who are turned away
// come back once. It returns how many get no answer, and the mean time of the others.
func simulateRestart(seed uint64, gateways, burst int, back func(gateway int, now time.Time, left time.Duration, rng *rand.Rand) time.Duration, answered func(gateway int, now time.Time)) (lost int, mean time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 3))
	servers := make([]plainServer, 6)
	var queue events
	type caller struct {
		gateway int
		first   time.Duration
		again   bool
	}
	var callers []caller
	add := func(at time.Duration) {
		callers = append(callers, caller{gateway: rng.IntN(gateways), first: at})
		heap.Push(&queue, event{at, arrives, len(callers) - 1, 0})
	}
	for range burst {
		add(time.Duration(rng.Int64N(int64(50 * time.Millisecond))))
	}
	for at := time.Duration(0); at < 3*time.Second; at += time.Duration(rng.ExpFloat64() / 400 * float64(time.Second)) {
		add(at)
	}
	var total time.Duration
	served := 0
	for queue.Len() > 0 {
		e := heap.Pop(&queue).(event)
		switch e.kind {
		case arrives:
			c := &callers[e.caller]
			at := rng.IntN(len(servers))
			d := &servers[at]
			switch {
			case d.running < serverSlots:
				d.running++
				heap.Push(&queue, event{e.at + serviceTime, ends, e.caller, at})
			case len(d.queue) < serverQueueLimit:
				d.queue = append(d.queue, e.caller)
			case c.again:
				lost++
			default:
				c.again = true
				heap.Push(&queue, event{e.at + back(c.gateway, start.Add(e.at), (c.first+callerDeadline-e.at)/retryTimeDivisor, rng), arrives, e.caller, 0})
			}
		case ends:
			d := &servers[e.plainServer]
			total += e.at - callers[e.caller].first
			served++
			answered(callers[e.caller].gateway, start.Add(e.at))
			if len(d.queue) == 0 {
				d.running--
				continue
			}
			heap.Push(&queue, event{e.at + serviceTime, ends, d.queue[0], e.plainServer})
			d.queue = d.queue[1:]
		}
	}
	return lost, total / time.Duration(served)
}

// Plays the calls that have waited for a restart of everything: callers that are turned
// away must find the desks free when they come back. At most a quarter as many may get no
// answer as when all are told the same short time.
func TestRefusedCallersAreSpread(t *testing.T) {
	for _, gateways := range []int{9, 105} {
		for _, burst := range []int{300, 600} {
			var lostSame, lostSpread int
			var meanSame, meanSpread time.Duration
			for seed := range uint64(10) {
				lost, mean := simulateRestart(seed, gateways, burst, func(int, time.Time, time.Duration, *rand.Rand) time.Duration { return minRetryDelay }, func(int, time.Time) {})
				lostSame, meanSame = lostSame+lost, meanSame+mean/10
				spread := make([]retrySpreader, gateways)
				lost, mean = simulateRestart(seed, gateways, burst,
					func(g int, now time.Time, left time.Duration, rng *rand.Rand) time.Duration {
						return spread[g].delay(now, rng.Float64(), left)
					},
					func(g int, now time.Time) { spread[g].recordAnswer(now) })
				lostSpread, meanSpread = lostSpread+lost, meanSpread+mean/10
			}
			t.Logf("%d gateways, burst of %d: %d lost and %v in the mean when told the same, %d and %v when spread",
				gateways, burst, lostSame, meanSame, lostSpread, meanSpread)
			assert.Check(t, lostSpread*4 <= lostSame)
		}
	}
}

// Guards against callers who wait for long because many were turned away before them, whose
// time has passed.
func TestRetryDelayAfterBurst(t *testing.T) {
	const most = 800 * time.Millisecond
	c := &retrySpreader{}
	for range 1000 {
		wait := c.delay(start, 0.5, most)
		assert.Assert(t, wait >= minRetryDelay && wait <= most, "%v", wait)
	}
	assert.Equal(t, c.delay(start.Add(2*most), 0.5, most), minRetryDelay)
}
