package pick

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
)

// The trace: Poisson arrivals at entries, FIFO upstreams with slots and a
// prefix cache, and reports that reach an entry only on its own streams.
const (
	traceSeed     = 1
	traceServers  = 32
	traceSlots    = 8
	traceRequests = 15_000
	traceLoad     = 0.85 // share of the slots' time
	traceService  = 2 * time.Second
	tracePrefixes = 400
	tracePrompt   = 20 // blocks
	traceCache    = 30 // prefixes
	traceBeat     = 250 * time.Millisecond
	traceLag      = 40 * time.Millisecond
)

type event struct {
	at time.Time
	do func(time.Time)
}

type agenda []event

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
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
		l.WaitMS[wire.Standard] = uint32((len(s.queue) + 1) * int(traceService.Milliseconds()) / traceSlots)
	}
	return l
}

func (s *server) use(prefix uint64) (hits int) {
	if slices.Contains(s.cache, prefix) {
		hits = tracePrompt
	}
	s.cache = slices.DeleteFunc(s.cache, func(p uint64) bool { return p == prefix })
	s.cache = append(s.cache, prefix)
	s.cache = s.cache[max(len(s.cache)-traceCache, 0):]
	return hits
}

type outcome struct {
	waits              []time.Duration
	hits, blocks       int
	herded, picks      int
	imbalance, samples float64
}

type trace struct {
	todo    agenda
	servers map[string]*server
	ids     []string
	entries []*Table
	out     outcome
}

func (tr *trace) at(t time.Time, do func(time.Time)) { heap.Push(&tr.todo, event{t, do}) }

func (tr *trace) begin(now time.Time, s *server, j *job) {
	s.running[j.number] = j
	tr.out.waits = append(tr.out.waits, now.Sub(j.sent))
	hits := s.use(j.blocks[0])
	tr.out.hits += hits
	tr.out.blocks += len(j.blocks)
	prefill := time.Duration(float64(len(j.blocks)-hits) * blockMS * float64(time.Millisecond))
	tr.at(now.Add(prefill+j.length), func(now time.Time) {
		delete(s.running, j.number)
		tr.entries[j.entry].Ended(now, s.id, j.number)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			tr.begin(now, s, next)
		}
	})
}

func (tr *trace) beat(now time.Time) {
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
		tr.at(now.Add(traceLag), func(now time.Time) {
			for e := range to {
				tr.entries[e].Report(now, s.id, 0, load)
			}
		})
	}
	if sum > 0 {
		tr.out.imbalance += float64(most) * traceServers / float64(sum)
		tr.out.samples++
	}
	if len(tr.todo) > traceServers {
		tr.at(now.Add(traceBeat), tr.beat)
	}
}

func (tr *trace) herds(s *server) bool {
	for _, o := range tr.servers {
		if len(o.running)+len(o.queue) > len(s.running)+len(s.queue) {
			return false
		}
	}
	return true
}

func run(c *Chooser, entries int, corrected bool) outcome {
	arrivals, rng := rand.New(rand.NewSource(traceSeed)), rand.New(rand.NewSource(traceSeed+1))
	popular := rand.NewZipf(arrivals, 1.1, 4, tracePrefixes-1)
	tr := &trace{servers: map[string]*server{}}
	list := upstreams(traceServers)
	for _, u := range list {
		tr.servers[u.ID] = &server{id: u.ID, running: map[uint64]*job{}}
		tr.ids = append(tr.ids, u.ID)
	}
	for range entries {
		table := NewTable(Settings{})
		table.SetUpstreams(list)
		tr.entries = append(tr.entries, table)
	}
	gap := float64(traceService) / (traceServers * traceSlots * traceLoad)
	now := start
	for n := range uint64(traceRequests) {
		now = now.Add(time.Duration(arrivals.ExpFloat64() * gap))
		j := &job{number: n + 1, entry: arrivals.Intn(entries), sent: now}
		j.length = time.Duration(arrivals.ExpFloat64() * float64(traceService))
		prefix := popular.Uint64()
		for b := range uint64(tracePrompt) {
			j.blocks = append(j.blocks, prefix<<16|b)
		}
		tr.at(now, func(now time.Time) { tr.arrive(now, c, rng, j, corrected) })
	}
	tr.at(start, tr.beat)
	for len(tr.todo) > 0 {
		e := heap.Pop(&tr.todo).(event)
		e.do(e.at)
	}
	return tr.out
}

func (tr *trace) arrive(now time.Time, c *Chooser, rng *rand.Rand, j *job, corrected bool) {
	table, r := tr.entries[j.entry], &Request{Model: "m", Class: wire.Standard, Blocks: j.blocks, Zone: fmt.Sprint("z", j.entry%3), Region: "r"}
	known := table.Candidates(now, r)
	if !corrected {
		for i := range known {
			known[i].Sent, known[i].Ended, known[i].Age = 0, 0, 0
		}
	}
	choice, err := c.Choose(rng, r, known)
	if err != nil {
		panic(err)
	}
	s := tr.servers[choice.Upstream.ID]
	tr.out.picks++
	if tr.herds(s) {
		tr.out.herded++
	}
	table.Sent(now, s.id, j.number, r)
	if len(s.running) < traceSlots {
		tr.begin(now, s, j)
		return
	}
	s.queue = append(s.queue, j)
}

func lowestCost(rng *rand.Rand, _ *Request, s []Scored) (int, int) {
	from := rng.Intn(len(s)) // equal costs are drawn from at random
	best := from
	for i := range s {
		if at := (from + i) % len(s); s[at].Cost < s[best].Cost {
			best = at
		}
	}
	return best, -1
}

func init() { RegisterPicker("lowest-cost", PickerFunc(lowestCost)) }

type variant struct {
	name, picker string
	scorers      []Weighted
	corrected    bool
}

var (
	random   = variant{"random", "random", nil, true}
	reported = variant{"least-reported-load", "least-reported-load", nil, true}
	ours     = variant{"ours", "best-of-two", DefaultPolicy().Scorers, true}
	variants = []variant{
		random, reported,
		{"lowest cost of all", "lowest-cost", ours.scorers, true},
		{"ours, reports not corrected", "best-of-two", ours.scorers, false},
		{"ours without prefix score", "best-of-two", []Weighted{{"wait", 1}, {"zone", 1}}, true},
		ours,
	}
)

func (v variant) run(t testing.TB, entries int) outcome {
	return run(chooser(t, Policy{AllFilters(), v.scorers, v.picker}), entries, v.corrected)
}

// Guards against a change of the scores or weights after which the policy waits
// longer, or hits fewer caches, than the baselines on the same trace.
func TestPolicyBeatsBaselines(t *testing.T) {
	o := ours.run(t, 20)
	for _, v := range []variant{random, reported} {
		base := v.run(t, 20)
		assert.Assert(t, o.mean() < base.mean() && o.hits > base.hits, "%s: %s; ours: %s", v.name, base.row(), o.row())
	}
}

// BenchmarkPolicies prints a table of policies on one trace:
// go test ./core/pick -run NONE -bench Policies -benchtime 1x
func BenchmarkPolicies(b *testing.B) {
	for b.Loop() {
		fmt.Println("\n| entries | policy | wait mean ms | p50 | p99 | cache hits | max/mean load | picks on the most loaded |")
		fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, entries := range []int{5, 20, 100} {
			for _, v := range variants {
				o := v.run(b, entries)
				fmt.Printf("| %d | %s | %s |\n", entries, v.name, o.row())
			}
		}
	}
}

func (o *outcome) mean() int64 {
	sum := time.Duration(0)
	for _, w := range o.waits {
		sum += w
	}
	return sum.Milliseconds() / int64(len(o.waits))
}

func (o *outcome) row() string {
	slices.Sort(o.waits)
	n := len(o.waits)
	return fmt.Sprintf("%d | %d | %d | %.1f%% | %.2f | %.1f%%",
		o.mean(), o.waits[n/2].Milliseconds(), o.waits[n*99/100].Milliseconds(),
		100*float64(o.hits)/float64(o.blocks), o.imbalance/o.samples, 100*float64(o.herded)/float64(o.picks))
}

// BenchmarkChoose measures one choice with its candidates:
// go test ./core/pick -run NONE -bench Choose -benchmem
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, c := NewTable(Settings{}), chooser(b, DefaultPolicy())
			list := upstreams(n)
			table.SetUpstreams(list)
			rng, r := rand.New(rand.NewSource(traceSeed)), &Request{Model: "m", Region: "r", Zone: "z0"}
			for i := range uint64(tracePrompt) {
				r.Blocks = append(r.Blocks, i)
			}
			for i, u := range list {
				table.Sent(start, u.ID, uint64(i), &Request{Blocks: r.Blocks[:i%tracePrompt]})
				table.Report(start, u.ID, uint64(i), wire.Load{Slots: 8, Running: uint32(i % 8)})
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Choose(rng, r, table.Candidates(start, r)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
