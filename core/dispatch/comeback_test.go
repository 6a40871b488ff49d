package dispatch

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// plainServer is an upstream that queues some calls and refuses others.
type plainServer struct {
	running int
	queue   []int // waiting callers
}

const (
	serverSlots      = 6
	serverQueueLimit = 24
	serviceTime      = 30 * time.Millisecond
	// callerDeadline is the time that callers have for the whole call.
	callerDeadline = 2500 * time.Millisecond
)

// event is a simulated event.
type event struct {
	at     time.Duration
	kind   eventKind
	caller int
	server int
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

// simulateRestart simulates calls to six upstreams through many gateways: a steady load of
// a third of the upstreams' capacity, plus a burst of the calls that accumulated during an
// outage. Refused callers retry once. It returns the number of calls without an answer and
// the mean time of the others.
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
			server := &servers[at]
			switch {
			case server.running < serverSlots:
				server.running++
				heap.Push(&queue, event{e.at + serviceTime, ends, e.caller, at})
			case len(server.queue) < serverQueueLimit:
				server.queue = append(server.queue, e.caller)
			case c.again:
				lost++
			default:
				c.again = true
				heap.Push(&queue, event{e.at + back(c.gateway, start.Add(e.at), (c.first+callerDeadline-e.at)/retryTimeDivisor, rng), arrives, e.caller, 0})
			}
		case ends:
			server := &servers[e.server]
			total += e.at - callers[e.caller].first
			served++
			answered(callers[e.caller].gateway, start.Add(e.at))
			if len(server.queue) == 0 {
				server.running--
				continue
			}
			heap.Push(&queue, event{e.at + serviceTime, ends, server.queue[0], e.server})
			server.queue = server.queue[1:]
		}
	}
	return lost, total / time.Duration(served)
}

// Guards against refused callers that retry at the same time after a restart of the whole
// deployment, and are refused again. At most a quarter as many calls may get no answer as
// when all callers are given the same short delay.
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
			t.Logf("%d gateways, burst of %d: %d lost and %v on average with the same delay, %d and %v when spread",
				gateways, burst, lostSame, meanSame, lostSpread, meanSpread)
			assert.Check(t, lostSpread*4 <= lostSame)
		}
	}
}

// Guards against long delays caused by earlier refused callers whose retry time has
// passed.
func TestRetryDelayAfterBurst(t *testing.T) {
	const maxDelay = 800 * time.Millisecond
	spreader := &retrySpreader{}
	for range 1000 {
		wait := spreader.delay(start, 0.5, maxDelay)
		assert.Assert(t, wait >= minRetryDelay && wait <= maxDelay, "%v", wait)
	}
	assert.Equal(t, spreader.delay(start.Add(2*maxDelay), 0.5, maxDelay), minRetryDelay)
}
