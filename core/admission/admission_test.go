package admission

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// step is the resolution of the simulated upstream.
const step = 10 * time.Millisecond

var t0 = time.Unix(1_700_000_000, 0)

type job struct {
	Request
	end   time.Time
	state Action // 0 if waiting, Run or Refuse
}

// simulation runs requests on a simulated upstream and checks every decision.
type simulation struct {
	t        *rapid.T
	queue    *Queue
	now      time.Time
	settings Settings
	last     uint64
	jobs     map[uint64]*job
	slotTime func(*job) time.Duration
	tokens   map[string]float64
	used     [wire.ClassCount][]float64 // cumulative slot-seconds after each step
	active   []*job
	depth    int
	onRun    func(*job)
	queued   [wire.ClassCount]int
	running  [wire.ClassCount]int
}

func newSimulation(t *rapid.T, s Settings, slotTime func(*job) time.Duration) *simulation {
	return &simulation{
		t: t, settings: s, now: t0, slotTime: slotTime, jobs: map[uint64]*job{}, tokens: map[string]float64{},
		queue: New(t0, s, rand.New(rand.NewSource(1))),
	}
}

func (m *simulation) submit(r Request) {
	m.last++
	r.ID = m.last
	m.jobs[r.ID] = &job{Request: r}
	m.queued[r.Class]++
	m.apply(m.queue.Submit(m.now, r))
}

func (m *simulation) apply(list []Decision) {
	m.depth++
	defer func() { m.depth-- }()
	assert.Assert(m.t, m.depth < 100, "endless preemption")
	for _, d := range append([]Decision(nil), list...) {
		j := m.jobs[d.ID]
		assert.Assert(m.t, j != nil, "decision %v for a request that already has its outcome", d)
		switch d.Action {
		case Run:
			assert.Equal(m.t, j.state, Action(0), "the request already has an outcome")
			if m.onRun != nil {
				m.onRun(j)
			}
			j.state, j.end = Run, m.now.Add(m.slotTime(j))
			m.queued[j.Class]--
			m.running[j.Class]++
			m.active = append(m.active, j)
		case Refuse:
			assert.Equal(m.t, j.state, Action(0), "the request already has an outcome")
			assert.Assert(m.t, d.Code != 0)
			m.queued[j.Class]--
			delete(m.jobs, d.ID)
		case Preempt:
			assert.Equal(m.t, j.state, Run)
			j.state = 0
			m.queued[j.Class]++
			m.freeSlot(j)
			m.apply(m.queue.Preempted(m.now, d.ID, 0))
		}
	}
	total := 0
	for _, n := range m.running {
		total += n
	}
	assert.Assert(m.t, total <= m.settings.Slots, "%d requests run in %d slots", total, m.settings.Slots)
}

func (m *simulation) freeSlot(j *job) {
	m.running[j.Class]--
	m.active = slices.DeleteFunc(m.active, func(k *job) bool { return k == j })
}

func (m *simulation) finishDue() {
	for _, j := range append([]*job(nil), m.active...) {
		if j.state != Run || j.end.After(m.now) {
			continue
		}
		m.freeSlot(j)
		m.tokens[j.Organisation] += j.Cost
		delete(m.jobs, j.ID)
		m.apply(m.queue.Finish(m.now, j.ID, j.Cost))
	}
}

func (m *simulation) advance(n int) {
	m.now = m.now.Add(step)
	for c := range m.used {
		before := 0.0
		if n := len(m.used[c]); n > 0 {
			before = m.used[c][n-1]
		}
		m.used[c] = append(m.used[c], before+float64(m.running[c])*step.Seconds())
	}
	m.finishDue()
	if n%5 == 0 {
		m.apply(m.queue.Tick(m.now))
	}
}

// usedInWindow returns the slot-seconds of a class in the last ten seconds.
func (m *simulation) usedInWindow(c wire.Class) float64 { return m.usedWithin(c, window) }

// usedWithin returns the slot-seconds of a class in the last d.
func (m *simulation) usedWithin(c wire.Class, d time.Duration) float64 {
	all, steps := m.used[c], int(d/step)
	switch {
	case len(all) == 0:
		return 0
	case len(all) <= steps:
		return all[len(all)-1]
	default:
		return all[len(all)-1] - all[len(all)-1-steps]
	}
}

func drawSettings(t *rapid.T) Settings {
	s := Settings{Slots: rapid.IntRange(1, 8).Draw(t, "slots"), QueueLimit: 32}
	for c := range s.Floors {
		s.Floors[c] = float64(rapid.IntRange(0, 30).Draw(t, "floor")) / 100
	}
	return s
}

// Guards against a flood of one class that starves another class with waiting requests,
// and against a less urgent class that is served first although it is above its floor.
func TestFloorsAndStrictPriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSettings(t)
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		m := newSimulation(t, s, func(*job) time.Duration { return time.Duration(1+rng.Intn(20)) * step })
		// The window advances by whole buckets, and a class gets a slot only when a job
		// ends.
		slack := func(c wire.Class) float64 {
			return (1 + s.Floors[c]*float64(s.Slots)) * (bucketLength + 2*step).Seconds()
		}
		// The queue's window is shorter by at most one bucket, and the class may have used
		// any number of slots in that bucket.
		const minWindow, rounding = window - bucketLength, 1e-6
		m.onRun = func(j *job) {
			for c := range j.Class {
				floor := s.Floors[j.Class] * float64(s.Slots) * window.Seconds()
				used := m.usedWithin(j.Class, minWindow)
				assert.Assert(t, m.queued[c] == 0 || used <= floor+rounding, "%v is served before %v although it used %.1f slot-seconds of a floor of %.1f", j.Class, c, used, floor)
			}
		}
		for n := range 3200 {
			for _, c := range wire.Classes() {
				for m.queued[c] < 3 {
					m.submit(Request{Class: c, Organisation: "o", Cost: 1, Preemptible: c == wire.Batch})
				}
			}
			m.advance(n)
			if n < int(2*window/step) || n%100 != 0 {
				continue
			}
			for _, c := range wire.Classes() {
				want := s.Floors[c]*float64(s.Slots)*window.Seconds() - slack(c)
				assert.Assert(t, m.usedInWindow(c) >= want, "%v used %.2f slot-seconds, want at least %.2f", c, m.usedInWindow(c), want)
			}
		}
	})
}

// Guards against an organisation that gains by requesting ten times its share.
func TestOrganisationsGetFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const organisations = 8
		names := strings.Split("abcdefgh", "")
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		hold := time.Duration(rapid.IntRange(1, 3).Draw(t, "hold")) * step
		cost := rapid.SliceOfN(rapid.IntRange(1, 20), organisations, organisations).Draw(t, "cost")
		m := newSimulation(t, Settings{Slots: slots, QueueLimit: 40}, func(j *job) time.Duration { return time.Duration(j.Cost * float64(hold)) })
		share := float64(slots) / hold.Seconds() / organisations // tokens per second
		demand := map[string]float64{}
		// Long enough for sixty requests of each organisation: capacity that the others do
		// not use early goes to the organisation with excess demand and cannot be given
		// back.
		steps := int(60 * float64(slices.Max(cost)) / share / step.Seconds())
		for n := range steps {
			for o := range organisations {
				rate := share / float64(cost[o]) * step.Seconds()
				if o == 0 {
					rate *= 10
				}
				for ; rate > 0; rate-- {
					if rng.Float64() < rate {
						m.submit(Request{Class: wire.Standard, Organisation: names[o], Cost: float64(cost[o])})
						demand[names[o]] += float64(cost[o])
					}
				}
			}
			m.advance(n)
		}
		sum, squares := 0.0, 0.0
		for name, entitled := range entitlements(m.tokens, demand) {
			v := m.tokens[name] / entitled
			sum += v
			squares += v * v
		}
		index := sum * sum / (organisations * squares)
		assert.Assert(t, index >= 0.95, "Jain's index %.3f of %v, demand %v", index, m.tokens, demand)
	})
}

// entitlements divides the served tokens by max-min fairness: an organisation is entitled
// to at most its demand, and the rest is divided among the others.
func entitlements(served, demand map[string]float64) map[string]float64 {
	left := 0.0
	for _, v := range served {
		left += v
	}
	out := map[string]float64{}
	for len(out) < len(demand) {
		least := ""
		for name, v := range demand {
			if _, done := out[name]; !done && (least == "" || v < demand[least]) {
				least = name
			}
		}
		out[least] = min(demand[least], left/float64(len(demand)-len(out)))
		left -= out[least]
	}
	return out
}

// Guards against a request that keeps waiting although it can no longer start in time.
// With equal jobs and strict priority, the earliest start is known, since each slot is
// freed once per job.
func TestUnreachableDeadlinesAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		hold := time.Duration(rapid.IntRange(2, 40).Draw(t, "hold")) * step
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		m := newSimulation(t, Settings{Slots: slots, QueueLimit: 1000}, func(*job) time.Duration { return hold })
		for n := range 600 {
			if n < 100 && n%10 == 0 {
				m.submit(Request{Class: wire.Standard, Organisation: "s", Cost: 1})
			}
			burst := 0
			if n > 100 && rng.Intn(40) == 0 {
				burst = rng.Intn(4 * slots)
			}
			for range burst {
				m.submit(Request{Class: wire.Urgent, Organisation: "u", Cost: 1})
			}
			if n > 100 && rng.Float64() < 1.2*float64(slots)*step.Seconds()/hold.Seconds() {
				left := time.Duration(1+rng.Intn(200)) * step
				m.submit(Request{Class: wire.Standard, Organisation: "s", Cost: 1, StartBy: m.now.Add(left)})
			}
			m.advance(n)
			if n < 100 {
				continue
			}
			m.apply(m.queue.Tick(m.now))
			ahead := m.queued[wire.Urgent]
			for id := uint64(1); id <= m.last; id++ {
				j := m.jobs[id]
				if j == nil || j.state != 0 || j.StartBy.IsZero() {
					continue
				}
				ahead++
				earliest := m.now.Add(time.Duration((ahead-1)/slots) * hold)
				assert.Assert(t, !earliest.After(j.StartBy), "still waiting with %d ahead and %v left", ahead, j.StartBy.Sub(m.now))
			}
		}
	})
}

// Guards against requests with no outcome or two, and against more running requests than
// slots, for any order of calls.
func TestEveryRequestGetsOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSimulation(t, drawSettings(t), func(*job) time.Duration { return 0 })
		m.settings.QueueLimit = rapid.IntRange(1, 10).Draw(t, "limit")
		m.apply(m.queue.Configure(m.now, m.settings))
		pick := func(state Action) *job {
			for id := uint64(1); id <= m.last; id++ {
				if j := m.jobs[id]; j != nil && j.state == state && rapid.Bool().Draw(t, "pick") {
					return j
				}
			}
			return nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				r := Request{
					Class:        wire.Class(rapid.IntRange(0, 2).Draw(t, "class")),
					Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Weight:       rapid.Float64Range(0, 3).Draw(t, "weight"),
					Cost:         rapid.Float64Range(0, 100).Draw(t, "cost"),
					Preemptible:  rapid.Bool().Draw(t, "preemptible"),
				}
				if rapid.Bool().Draw(t, "limited") {
					r.StartBy = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "left")) * step)
				}
				m.submit(r)
			},
			"finish": func(t *rapid.T) {
				if j := pick(Run); j != nil {
					m.freeSlot(j)
					delete(m.jobs, j.ID)
					m.apply(m.queue.Finish(m.now, j.ID, rapid.Float64Range(0, 500).Draw(t, "tokens")))
				}
			},
			"cancel": func(t *rapid.T) {
				if j := pick(0); j != nil {
					assert.Assert(t, m.queue.Cancel(m.now, j.ID))
					m.queued[j.Class]--
					delete(m.jobs, j.ID)
				}
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * step)
				m.apply(m.queue.Tick(m.now))
			},
			"": func(t *rapid.T) {
				l := m.queue.Load(m.now)
				running := 0
				for c := range m.queued {
					assert.Equal(t, int(l.Queued[c]), m.queued[c])
					running += m.running[c]
				}
				assert.Equal(t, int(l.Running), running)
				waits := m.queued[0]+m.queued[1]+m.queued[2] > 0
				assert.Assert(t, !waits || running == m.settings.Slots, "a slot is free while requests wait")
			},
		})
		m.apply(m.queue.Drain(m.now))
		for _, j := range m.jobs {
			assert.Equal(t, j.state, Run, "no outcome after Drain")
		}
	})
}

// Guards against urgent requests that wait behind long batch requests or are refused
// because of them, and against preemption of batch below its floor.
func TestUrgentPreemptsBatchAboveFloor(t *testing.T) {
	s := Settings{Slots: 4, QueueLimit: 10, Floors: [wire.ClassCount]float64{0.5, 0.2, 0.25}}
	q := New(t0, s, rand.New(rand.NewSource(1)))
	q.Submit(t0, Request{ID: 100, Class: wire.Urgent})
	now := t0.Add(time.Minute)
	q.Finish(now, 100, 1) // one minute in a slot far exceeds the deadline below
	for id := range uint64(4) {
		q.Submit(now.Add(time.Duration(id)), Request{ID: id, Class: wire.Batch, Preemptible: true})
	}
	now = now.Add(time.Millisecond)
	var stopped []uint64
	for id := range uint64(3) {
		out := q.Submit(now, Request{ID: 10 + id, Class: wire.Urgent, StartBy: now.Add(720 * time.Millisecond)})
		assert.Equal(t, len(out), 1)
		assert.Equal(t, out[0].Action, Preempt)
		stopped = append(stopped, out[0].ID)
	}
	out := q.Submit(now, Request{ID: 20, Class: wire.Urgent, StartBy: now.Add(720 * time.Millisecond)})
	assert.Equal(t, out[0].Code, result.DeadlineUnreachable) // the remaining slot is batch's floor
	assert.DeepEqual(t, stopped, []uint64{3, 2, 1})          // the latest started first; one slot is the floor
	for _, id := range stopped {
		out := q.Preempted(now, id, 10)
		assert.Equal(t, len(out), 1)
		assert.Equal(t, out[0].Action, Run)
		assert.Assert(t, out[0].ID >= 10)
	}
}

// Guards against two decisions for a request that finds the queue full and could not start
// in time either.
func TestFullQueueAndDeadlineGiveOneOutcome(t *testing.T) {
	q := New(t0, Settings{Slots: 1, QueueLimit: 1}, rand.New(rand.NewSource(1)))
	q.Submit(t0, Request{ID: 1, Organisation: "a"})
	q.Submit(t0, Request{ID: 2, Organisation: "a"})
	now := t0.Add(time.Minute)
	out := q.Submit(now, Request{ID: 3, Organisation: "a", StartBy: now.Add(time.Second)})
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].Code, result.QueueFull)
	assert.Assert(t, out[0].RetryAfter >= time.Minute && out[0].RetryAfter <= 4*time.Minute, "%v", out[0].RetryAfter)
}

// BenchmarkDecision measures one arrival and one finish at a constant queue length.
func BenchmarkDecision(b *testing.B) {
	for _, length := range []int{16, 256, 4096, 65536} {
		b.Run(fmt.Sprint(length), func(b *testing.B) {
			q := New(t0, Settings{Slots: 64, QueueLimit: length, Floors: [wire.ClassCount]float64{0.5, 0.2, 0.1}}, rand.New(rand.NewSource(1)))
			now, id := t0, uint64(0)
			var running []uint64
			submit := func() {
				id++
				r := Request{ID: id, Class: wire.Class(id % 3), Organisation: fmt.Sprint("o", id%97), Cost: 100, StartBy: now.Add(time.Hour)}
				for _, d := range q.Submit(now, r) {
					if d.Action == Run {
						running = append(running, d.ID)
					}
				}
			}
			for range length + 64 {
				submit()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Millisecond)
				submit()
				first := running[0]
				running = running[1:]
				for _, d := range q.Finish(now, first, 120) {
					running = append(running, d.ID)
				}
			}
		})
	}
}
