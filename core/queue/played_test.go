package queue

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is one kind of request of a played load.
type kind struct {
	priority     int
	perSecond    float64
	aim          time.Duration
	organisation func(*rand.Rand) string
}

// load is a load that is played against a queue and simple models of servers.
type load struct {
	servers []Upstream
	speeds  []float64 // of each server; nil for 1
	kinds   []kind
	seconds float64
	factor  func(second float64) float64 // of the traffic
	// crash returns the zone that crashes at a second, back a second later, or empty.
	crashes map[int]string
	// halveAt is the second at which every other server is lost, or zero.
	halveAt float64
	// freeze is a server that stops reading from a second on.
	freeze   string
	freezeAt float64
}

// hop is the time that a message takes, tick the step of the servers; the others are figures of
// the modelled servers.
const (
	hop           = 6 * time.Millisecond
	tick          = 5 * time.Millisecond
	tokensPerTick = 40.0 // 8 in a millisecond
	eventTicks    = 8.0  // 5 tokens of 8 ms
	events        = 120
	copyLag       = 400  // tokens that a copy lacks
	whileReading  = 0.25 // of running streams while a prompt is read
)

// caller is one caller of a played load.
type caller struct {
	kind              int
	organisation, key string
	gateway, zone     string
	id                uint64
	arrived           time.Time
	begun, finished   time.Time
	refusals          int
	returned          bool
	firstRefused      time.Duration // after its arrival
	paused            bool          // the answer was interrupted for longer than a reader bears
	attempts          int
	excluded          []string
	resumesAt         string // the holder of the copy from which the stream resumes
}

// run is a stream at a server.
type run struct {
	c      *caller
	id     uint64
	left   float64 // prompt tokens to read
	sentAt time.Time
	events float64
	begun  bool
	copyAt string
}

type server struct {
	Upstream
	speed float64
	queue []*run // prompts to read
	runs  []*run
	up    bool
	busy  int
}

type timed struct {
	at  time.Time
	seq int
	do  func()
}
type timeline []timed

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].seq < t[j].seq
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(timed)) }
func (t *timeline) Pop() any {
	x := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return x
}

// play is the state of a played load.
type play struct {
	load
	q                                         *Queue
	rng                                       *rand.Rand
	now                                       time.Time
	line                                      timeline
	seq                                       int
	servers                                   map[string]*server
	order                                     []*server
	waiting                                   map[Key]*caller
	runs                                      map[Key]*run
	callers                                   []*caller
	lastID                                    uint64
	copies, moves, drops, made, placedStreams int
	// overfull counts how often more was placed at a server than it holds.
	overfull int
}

func (p *play) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.line, timed{p.now.Add(d), p.seq, do})
}

func (p *play) tell(gateway string, e Event) {
	p.after(hop, func() { p.q.Apply(p.now, gateway, []Event{e}); p.decide() })
}

func (p *play) submit(c *caller, continues bool, preferred string) {
	p.lastID++
	c.id = p.lastID
	c.attempts++
	key := Key{c.gateway, c.id}
	k := p.kinds[c.kind]
	p.waiting[key] = c
	left := c.arrived.Add(25 * time.Second).Sub(p.now)
	r := &Request{Zone: c.zone, Organisation: c.organisation, Priority: k.priority, PromptTokens: 8200, OutputTokens: 600, PromptKey: c.key,
		Aim: k.aim, Deadline: left, Copy: true, Continues: continues, Preferred: preferred, Excluded: c.excluded}
	p.tell(c.gateway, Event{Kind: Submitted, ID: c.id, Request: r})
}

func (p *play) decide() {
	for _, d := range p.q.Decide(p.now) {
		p.carryOut(d)
	}
	for _, u := range p.q.list {
		if u.usedTokens+u.copyTokens > u.MemoryTokens {
			p.overfull++
		}
	}
}

func (p *play) carryOut(d Decision) {
	switch d.Action {
	case Place:
		p.placedStreams++
		if d.CopyHolder != "" {
			p.copies++
		}
		p.after(hop, func() { p.arrive(d) })
	case Refuse:
		c := p.waiting[d.Key]
		delete(p.waiting, d.Key)
		c.refusals++
		if c.refusals == 1 {
			c.firstRefused = p.now.Sub(c.arrived)
		}
		if c.refusals == 1 && d.RetryAfter <= c.arrived.Add(25*time.Second).Sub(p.now)/3 {
			c.returned = true
			p.after(d.RetryAfter+hop, func() { p.submit(c, false, "") })
		}
	case DropCopy:
		p.drops++
		p.after(hop, func() {
			if r := p.runs[d.Key]; r != nil {
				r.copyAt = ""
			}
		})
	case MakeCopy:
		p.made++
		p.after(hop, func() {
			if r := p.runs[d.Key]; r != nil {
				r.copyAt = d.CopyHolder
				p.tell(d.Gateway, Event{Kind: CopyChanged, ID: d.ID, CopyHolder: d.CopyHolder})
			}
		})
	case Move:
		p.moves++
		p.after(hop, func() { p.move(d) })
	}
}

// move withdraws a stream that has not begun and submits it again.
func (p *play) move(d Decision) {
	r := p.runs[d.Key]
	if r == nil || r.begun {
		return
	}
	s := p.servers[d.Upstream]
	s.queue = slices.DeleteFunc(s.queue, func(o *run) bool { return o == r })
	delete(p.runs, d.Key)
	r.c.excluded = append(r.c.excluded, d.Upstream)
	p.tell(d.Gateway, Event{Kind: Ended, ID: d.ID, Outcome: Cancelled})
	p.submit(r.c, false, "")
}

func (p *play) arrive(d Decision) {
	c := p.waiting[d.Key]
	delete(p.waiting, d.Key)
	s := p.servers[d.Upstream]
	r := &run{c: c, id: d.ID, left: 8200, copyAt: d.CopyHolder, sentAt: p.now}
	p.runs[d.Key] = r
	if !s.up {
		p.broken(r)
		return
	}
	if c.resumesAt == s.ID {
		r.left = copyLag
	}
	s.queue = append(s.queue, r)
}

func (c *caller) begunOnce() bool { return !c.begun.IsZero() }

// broken ends a stream whose server was lost; its gateway resumes it.
func (p *play) broken(r *run) {
	c := r.c
	key := Key{c.gateway, r.id}
	delete(p.runs, key)
	p.tell(c.gateway, Event{Kind: Ended, ID: r.id, Outcome: Broken})
	preferred := ""
	c.resumesAt = ""
	if r.begun && r.copyAt != "" && p.servers[r.copyAt].up {
		preferred = r.copyAt
		c.resumesAt = preferred
	} else if r.begun {
		c.paused = true
	}
	p.submit(c, c.begunOnce(), preferred)
}

func (p *play) step(s *server) {
	if !s.up || p.freeze == s.ID && p.now.Sub(start).Seconds() >= p.freezeAt {
		return
	}
	rate := s.speed
	if len(s.queue) > 0 {
		if p.now.Sub(start) > 40*time.Second && p.now.Sub(start) < 60*time.Second {
			s.busy++
		}
		rate *= whileReading
		r := s.queue[0]
		r.left -= tokensPerTick * s.speed
		if r.left <= 0 {
			s.queue = s.queue[1:]
			s.runs = append(s.runs, r)
			p.begun(r)
		}
	}
	kept := s.runs[:0]
	for _, r := range s.runs {
		r.events += rate / eventTicks
		if r.events < events {
			kept = append(kept, r)
			continue
		}
		r.c.finished = p.now
		delete(p.runs, Key{r.c.gateway, r.id})
		p.tell(r.c.gateway, Event{Kind: Ended, ID: r.id, Outcome: Completed, Events: events})
	}
	s.runs = kept
}

func (p *play) begun(r *run) {
	r.begun = true
	if r.c.begun.IsZero() {
		r.c.begun = p.now
	}
	p.tell(r.c.gateway, Event{Kind: Begun, ID: r.id, Took: p.now.Sub(r.sentAt)})
}

func (p *play) down(s *server) {
	s.up = false
	for _, r := range append(slices.Clone(s.queue), s.runs...) {
		p.broken(r)
	}
	s.queue, s.runs = nil, nil
}

// list tells the queue about the servers that are up.
func (p *play) list() {
	var up []Upstream
	for _, s := range p.order {
		if s.up {
			up = append(up, s.Upstream)
		}
	}
	p.q.SetUpstreams(p.now, up)
}

// playLoad plays a load and returns its callers.
func playLoad(l load, seed uint64) *play {
	p := &play{load: l, rng: rand.New(rand.NewPCG(seed, 1)), now: start, servers: map[string]*server{}, waiting: map[Key]*caller{}, runs: map[Key]*run{}}
	p.q = New(start, DefaultSettings(), rand.New(rand.NewPCG(seed, 2)))
	for i, u := range l.servers {
		s := &server{Upstream: u, speed: 1, up: true}
		if l.speeds != nil {
			s.speed = l.speeds[i]
		}
		p.servers[u.ID], p.order = s, append(p.order, s)
	}
	p.list()
	next := make([]float64, len(l.kinds))
	end := start.Add(time.Duration((l.seconds + 30) * float64(time.Second)))
	nextDecision := start
	for p.now.Before(end) {
		p.now = p.now.Add(tick)
		second := p.now.Sub(start).Seconds()
		p.arrivals(second, next)
		p.failures(second)
		for len(p.line) > 0 && !p.line[0].at.After(p.now) {
			heap.Pop(&p.line).(timed).do()
		}
		for _, s := range p.order {
			p.step(s)
		}
		if !p.now.Before(nextDecision) {
			p.decide()
			nextDecision = p.now.Add(max(p.q.NextDecision(p.now), tick))
		}
	}
	return p
}

func (p *play) arrivals(second float64, next []float64) {
	if second > p.seconds {
		return
	}
	for k := range p.kinds {
		for next[k] <= second {
			next[k] += p.rng.ExpFloat64() / (p.kinds[k].perSecond * p.factor(second))
			if second < 0.1 {
				continue
			}
			g := p.rng.IntN(24)
			c := &caller{kind: k, arrived: p.now, organisation: fmt.Sprint("o", p.rng.IntN(12)), gateway: fmt.Sprint("g", g), zone: fmt.Sprint("z", g%4), key: fmt.Sprint(len(p.callers))}
			if f := p.kinds[k].organisation; f != nil {
				c.organisation = f(p.rng)
			}
			p.callers = append(p.callers, c)
			p.submit(c, false, "")
		}
	}
}

func (p *play) failures(second float64) {
	at := int(second*1000 + 0.5)
	if at%1000 == 0 {
		if zone := p.crashes[at/1000]; zone != "" {
			for _, s := range p.order {
				if s.Zone == zone {
					p.down(s)
				}
			}
			p.after(time.Second, func() {
				for _, s := range p.order {
					if s.Zone == zone {
						s.up = true
						s.StartedMS++
					}
				}
				p.list()
			})
		}
	}
	if p.halveAt > 0 && at == int(p.halveAt*1000) {
		for i, s := range p.order {
			if i%2 == 0 {
				p.down(s)
			}
		}
		p.after(2*time.Second, p.list)
	}
}

// share returns the share of the callers of a kind within a period for which a test holds.
func (p *play) share(k int, from, to float64, holds func(*caller) bool) float64 {
	n, sum := 0, 0
	for _, c := range p.callers {
		if s := c.arrived.Sub(start).Seconds(); (k < 0 || c.kind == k) && s >= from && s < to {
			n++
			if holds(c) {
				sum++
			}
		}
	}
	return float64(sum) / float64(max(n, 1))
}

func (p *play) inTime(c *caller) bool {
	return c.begunOnce() && c.begun.Sub(c.arrived) <= p.kinds[c.kind].aim
}

// busiestToMean returns the time that the busiest server read between two seconds to the mean.
func (p *play) busiestToMean() float64 {
	busiest, sum := 0.0, 0.0
	for _, s := range p.order {
		busiest = max(busiest, float64(s.busy))
		sum += float64(s.busy)
	}
	return busiest * float64(len(p.order)) / sum
}

func (p *play) served(c *caller) bool { return !c.finished.IsZero() }

// credit returns the credit of a kind: a late or interrupted answer counts half.
func (p *play) credit(k int, from, to float64) float64 {
	full := p.share(k, from, to, func(c *caller) bool { return p.served(c) && p.inTime(c) && !c.paused })
	any := p.share(k, from, to, p.served)
	return full + (any-full)/2
}

// firstEvent returns a quantile of the time to the first event in seconds.
func (p *play) firstEvent(quantile, from, to float64) float64 {
	var list []float64
	for _, c := range p.callers {
		if s := c.arrived.Sub(start).Seconds(); s >= from && s < to {
			list = append(list, 100)
			if c.begunOnce() {
				list[len(list)-1] = c.begun.Sub(c.arrived).Seconds()
			}
		}
	}
	slices.Sort(list)
	return list[int(quantile*float64(len(list)-1))]
}
