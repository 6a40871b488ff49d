// Package picktrace replays one synthetic trace of requests against an upstream
// selection policy, to compare policies. Arrivals are random with a fixed seed,
// upstreams serve requests in order of arrival with a fixed number of slots and
// a prefix cache, and a load report reaches an entry only on its own open
// streams.
package picktrace

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"heatherway.dev/core/pick"
	"heatherway.dev/core/wire"
)

const (
	// Seed is the random seed of the trace. The other constants describe the fleet,
	// the requests and the load reports.
	Seed            = 1
	traceServers    = 32
	traceSlots      = 8
	traceRequests   = 15_000
	slotUtilisation = 0.85
	meanServiceTime = 2 * time.Second
	tracePrefixes   = 400
	// PromptBlocks is the number of blocks in every prompt.
	PromptBlocks    = 20
	prefillPerBlock = 13 * time.Millisecond
	cachedPrefixes  = 30 // for each server
	reportInterval  = 250 * time.Millisecond
	reportDelay     = 40 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

// Upstreams returns n upstreams spread over three zones.
func Upstreams(n int) []wire.Upstream {
	var out []wire.Upstream
	for i := range n {
		out = append(out, wire.Upstream{
			ID: fmt.Sprintf("u%03d", i), Incarnation: 1, Zone: fmt.Sprint("z", i%3), Region: "r",
			Models: []string{"m"}, Slots: traceSlots,
		})
	}
	return out
}

type event struct {
	at time.Time
	do func(time.Time)
}

type eventQueue []event

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type job struct {
	number uint64
	entry  int
	blocks []uint64
	sent   time.Time
	length time.Duration
}

type server struct {
	id      string
	running map[uint64]*job
	queue   []*job
	cache   []uint64 // oldest first
}

func (s *server) load() wire.Load {
	l := wire.Load{Slots: traceSlots, Running: uint32(len(s.running))}
	l.Queued[wire.Standard] = uint32(len(s.queue))
	if len(s.running) == traceSlots {
		l.WaitMS[wire.Standard] = uint32((len(s.queue) + 1) * int(meanServiceTime.Milliseconds()) / traceSlots)
	}
	return l
}

func (s *server) lookUpPrefix(prefix uint64) (hits int) {
	if slices.Contains(s.cache, prefix) {
		hits = PromptBlocks
	}
	s.cache = slices.DeleteFunc(s.cache, func(p uint64) bool { return p == prefix })
	s.cache = append(s.cache, prefix)
	s.cache = s.cache[max(len(s.cache)-cachedPrefixes, 0):]
	return hits
}

// Outcome holds the measurements of one policy on the trace.
type Outcome struct {
	waits []time.Duration
	// Hits counts the cached prompt blocks, and Blocks all prompt blocks.
	Hits, Blocks int
	// mostLoadedPicks counts the picks of an upstream that no other exceeded in load.
	mostLoadedPicks, picks int
	// imbalance is the sum over all samples of the ratio of the highest to the mean load.
	imbalance, samples float64
}

type trace struct {
	events  eventQueue
	servers map[string]*server
	ids     []string
	entries []*pick.Table
	out     Outcome
}

func (tr *trace) at(t time.Time, do func(time.Time)) { heap.Push(&tr.events, event{t, do}) }

func (tr *trace) begin(now time.Time, s *server, j *job) {
	s.running[j.number] = j
	tr.out.waits = append(tr.out.waits, now.Sub(j.sent))
	hits := s.lookUpPrefix(j.blocks[0])
	tr.out.Hits += hits
	tr.out.Blocks += len(j.blocks)
	prefill := time.Duration(float64(len(j.blocks)-hits) * float64(prefillPerBlock))
	tr.at(now.Add(prefill+j.length), func(now time.Time) {
		delete(s.running, j.number)
		tr.entries[j.entry].RequestEnded(now, s.id, j.number)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			tr.begin(now, s, next)
		}
	})
}

func (tr *trace) reportLoads(now time.Time) {
	most, sum := 0, 0
	for _, id := range tr.ids {
		s, to := tr.servers[id], map[int]bool{}
		for _, j := range s.running {
			to[j.entry] = true
		}
		for _, j := range s.queue {
			to[j.entry] = true
		}
		load, n := s.load(), len(s.running)+len(s.queue)
		most, sum = max(most, n), sum+n
		tr.at(now.Add(reportDelay), func(now time.Time) {
			for e := range to {
				tr.entries[e].ApplyReport(now, s.id, 0, load)
			}
		})
	}
	if sum > 0 {
		tr.out.imbalance += float64(most) * traceServers / float64(sum)
		tr.out.samples++
	}
	if len(tr.events) > traceServers {
		tr.at(now.Add(reportInterval), tr.reportLoads)
	}
}

func (tr *trace) isMostLoaded(s *server) bool {
	for _, o := range tr.servers {
		if len(o.running)+len(o.queue) > len(s.running)+len(s.queue) {
			return false
		}
	}
	return true
}

// Run replays the trace. If corrected is false, the policy uses load reports
// without corrections for their age and for requests sent or ended since.
func Run(c *pick.Chooser, entries int, corrected bool) Outcome {
	arrivals, rng := rand.New(rand.NewSource(Seed)), rand.New(rand.NewSource(Seed+1))
	popular := rand.NewZipf(arrivals, 1.1, 4, tracePrefixes-1)
	tr := &trace{servers: map[string]*server{}}
	list := Upstreams(traceServers)
	for _, u := range list {
		tr.servers[u.ID] = &server{id: u.ID, running: map[uint64]*job{}}
		tr.ids = append(tr.ids, u.ID)
	}
	for range entries {
		table := pick.NewTable(pick.Settings{})
		table.SetUpstreams(list)
		tr.entries = append(tr.entries, table)
	}
	gap := float64(meanServiceTime) / (traceServers * traceSlots * slotUtilisation)
	now := start
	for n := range uint64(traceRequests) {
		now = now.Add(time.Duration(arrivals.ExpFloat64() * gap))
		j := &job{number: n + 1, entry: arrivals.Intn(entries), sent: now}
		j.length = time.Duration(arrivals.ExpFloat64() * float64(meanServiceTime))
		prefix := popular.Uint64()
		for b := range uint64(PromptBlocks) {
			j.blocks = append(j.blocks, prefix<<16|b)
		}
		tr.at(now, func(now time.Time) { tr.arrive(now, c, rng, j, corrected) })
	}
	tr.at(start, tr.reportLoads)
	for len(tr.events) > 0 {
		e := heap.Pop(&tr.events).(event)
		e.do(e.at)
	}
	return tr.out
}

func (tr *trace) arrive(now time.Time, c *pick.Chooser, rng *rand.Rand, j *job, corrected bool) {
	table, r := tr.entries[j.entry], &pick.Request{Model: "m", Class: wire.Standard, Blocks: j.blocks, Zone: fmt.Sprint("z", j.entry%3), Region: "r"}
	known := table.Candidates(now, r)
	if !corrected {
		for i := range known {
			known[i].SentSinceReport, known[i].EndedSinceReport, known[i].Age = 0, 0, 0
		}
	}
	choice, err := c.Choose(rng, r, known)
	if err != nil {
		panic(err)
	}
	s := tr.servers[choice.Upstream.ID]
	tr.out.picks++
	if tr.isMostLoaded(s) {
		tr.out.mostLoadedPicks++
	}
	table.RequestSent(now, s.id, j.number, r)
	if len(s.running) < traceSlots {
		tr.begin(now, s, j)
		return
	}
	s.queue = append(s.queue, j)
}

// MeanWait returns the mean queue wait in milliseconds.
func (o *Outcome) MeanWait() int64 {
	sum := time.Duration(0)
	for _, w := range o.waits {
		sum += w
	}
	return sum.Milliseconds() / int64(len(o.waits))
}

// Row returns the cells of a table row: mean, p50 and p99 of the queue wait in
// milliseconds, cache hit rate, mean ratio of the highest to the mean load, and
// the share of picks on the most loaded upstream.
func (o *Outcome) Row() string {
	slices.Sort(o.waits)
	n := len(o.waits)
	return fmt.Sprintf("%d | %d | %d | %.1f%% | %.2f | %.1f%%",
		o.MeanWait(), o.waits[n/2].Milliseconds(), o.waits[n*99/100].Milliseconds(),
		100*float64(o.Hits)/float64(o.Blocks), o.imbalance/o.samples, 100*float64(o.mostLoadedPicks)/float64(o.picks))
}
