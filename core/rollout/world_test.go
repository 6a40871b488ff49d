package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// A world plays one roll-out with gateways, a leader and a log, in steps, without loss unless a hook causes it.
type world struct {
	rng      *rand.Rand
	now      time.Time
	book     *Book
	index    uint64
	clock    *Clock
	owner    *Owner
	settings Settings
	gateways []*Gateway
	order    Order
	ordered  time.Time
	routes   int
	// rate is the number of requests a second; the last route gets rareShare of them, the others equal parts.
	rate, rareShare float64
	// answer returns what an upstream of the target or of the old version does.
	answer func(w *world, route int, target bool) (failed bool, took time.Duration)
	// lost reports whether a gateway's report, or its answer, is lost.
	lost func(w *world, gateway int) (report, answer bool)
	// onReport is called with each report that a gateway sends.
	onReport func(gateway int, r Report)
	// each is called at each step.
	each func(w *world)

	// What upstreams have seen.
	requests, canary    int
	reverted, completed time.Time
	reason              string
}

const step = 50 * time.Millisecond

func newWorld(seed uint64, gateways int, rate float64, d time.Duration) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1700000000, 0), book: NewBook(), clock: NewClock(), settings: Settings{Share: 0.1, Slack: 50},
		order: Order{Service: "s", Target: "v2", Duration: d}, routes: 10, rate: rate, rareShare: 0.1}
	w.owner = NewOwner(w.settings)
	for i := range gateways {
		w.gateways = append(w.gateways, NewGateway(fmt.Sprint("g", i), w.rng))
	}
	return w
}

func (w *world) apply(c Command) Outcome {
	w.index++
	c.AtMS = w.now.UnixMilli()
	b, err := c.Encode()
	if err != nil {
		panic(err)
	}
	out, err := w.book.Apply(w.index, b)
	if err != nil {
		panic(err)
	}
	w.clock.Update(w.now, w.book.View())
	w.owner.Update(w.book.View())
	return out
}

func (w *world) elapsed(r *Rollout) time.Duration { return w.clock.Elapsed(w.now, r) }

func (w *world) rollout() *Rollout { return w.book.View().Services["s"].Rollout }

// run plays the roll-out until a second after its deadline.
func (w *world) run() {
	w.apply(Command{Trust: &Trust{"s", "v1"}})
	w.apply(Command{Start: &Start{Order: w.order}})
	w.ordered = w.now
	for w.now.Before(w.ordered.Add(w.order.Duration + time.Second)) {
		w.now = w.now.Add(step)
		if w.each != nil {
			w.each(w)
		}
		w.lead()
		for i := range w.gateways {
			if w.reportsNow(i) {
				w.report(i)
			}
			w.gateways[i].Adopt(w.book.View())
		}
		for range w.poisson(w.rate * step.Seconds()) {
			w.request()
		}
	}
}

// reportsNow spreads the reports of the gateways over the interval.
func (w *world) reportsNow(i int) bool {
	steps := int(ReportInterval / step)
	return int(w.now.Sub(w.ordered)/step)%steps == i%steps
}

func (w *world) lead() {
	for _, c := range append(w.owner.Ceilings(), w.owner.Decide(w.elapsed, func(string, string) int { return 1 })...) {
		w.apply(c)
		if c.Move != nil {
			w.reason = c.Move.Reason
			switch c.Move.To {
			case Reverted:
				w.reverted = w.now
			case Complete:
				w.completed = w.now
			}
		}
	}
}

func (w *world) report(i int) {
	r, ok := w.gateways[i].Report(w.now, func(string, string) int { return 0 })
	reportLost, answerLost := false, false
	if w.lost != nil {
		reportLost, answerLost = w.lost(w, i)
	}
	if ok && w.onReport != nil {
		w.onReport(i, r)
	}
	if !ok || reportLost {
		return
	}
	a := w.owner.Handle(r, true, w.elapsed)
	if !answerLost {
		w.gateways[i].Granted(w.now, r.Seq, a)
	}
}

// request plays a request at a random gateway.
func (w *world) request() {
	g := w.gateways[w.rng.IntN(len(w.gateways))]
	route := w.routes - 1
	if w.rng.Float64() >= w.rareShare {
		route = w.rng.IntN(w.routes - 1)
	}
	name := fmt.Sprint("r", route)
	version, drawn := g.Draw(w.now, "s", name)
	if !drawn || !g.Admits(w.now, "s", version, GoOn) {
		version = "v1"
		if !g.Admits(w.now, "s", version, Begin) {
			version = "v2"
		}
	}
	w.requests++
	if version == "v2" && w.completed.IsZero() && w.rollout().Phase != Shifting {
		w.canary++
	}
	g.Sent("s", name, version, true)
	failed, took := w.answer(w, route, version == "v2")
	g.Answered("s", name, version, failed, took)
}

func (w *world) poisson(mean float64) int {
	limit, n, p := math.Exp(-mean), 0, 1.0
	for p > limit {
		n++
		p *= w.rng.Float64()
	}
	return n - 1
}

// usual answers as sound upstreams do: a few failures, times that vary by route and request.
func usual(w *world, route int, _ bool) (bool, time.Duration) {
	median := 40 * float64(1+route)
	return w.rng.Float64() < 0.01, time.Duration(median * math.Exp(0.5*w.rng.NormFloat64()) * float64(time.Millisecond))
}
