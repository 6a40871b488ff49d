package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// lateMessage is a report that arrives long after it was sent.
type lateMessage struct {
	at     time.Time
	report Report
}

// Guards against a canary share that is exceeded at any moment, by any number of gateways, with reports and answers that are
// lost, late or repeated, gateways that are cut off or restart, and leaders that change while the old one goes on granting.
func TestShareHoldsUnderLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{1, 2, 5, 31, 300}).Draw(t, "gateways")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), count, float64(rapid.SampledFrom([]int{5, 60, 400}).Draw(t, "rate")), 6*time.Second)
		w.settings = Settings{rapid.SampledFrom([]float64{0, 0.02, 0.1, 0.3}).Draw(t, "share"), rapid.SampledFrom([]int64{0, 5, 50}).Draw(t, "slack")}
		w.owner = NewOwner(w.settings)
		w.answer = usual
		loss := rapid.SampledFrom([]float64{0, 0.2, 0.7}).Draw(t, "loss")
		restarts := rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "restarts")
		elections := rapid.SampledFrom([]float64{0, 0.03}).Draw(t, "elections")
		cut := rapid.IntRange(0, count/2).Draw(t, "gateways cut off") // from a third of the time on
		var old []*Owner
		var late []lateMessage
		w.lost = func(w *world, i int) (bool, bool) {
			if i < cut && elapsedShare(w) > 0.33 {
				return true, true
			}
			return w.rng.Float64() < loss/2, w.rng.Float64() < loss
		}
		w.onReport = func(i int, r Report) {
			if w.rng.Float64() < loss { // a copy arrives later, at this leader or one that was deposed
				late = append(late, lateMessage{w.now.Add(time.Duration(w.rng.IntN(1500)) * time.Millisecond), r})
			}
		}
		w.each = func(w *world) {
			assert.Assert(t, float64(w.canary) <= w.settings.Share*float64(w.requests)+float64(w.settings.Slack),
				"%d of %d requests at the target", w.canary, w.requests)
			for i := range w.gateways {
				if w.rng.Float64() < restarts {
					w.gateways[i] = NewGateway(w.gateways[i].id, w.rng)
				}
			}
			if w.rng.Float64() < elections {
				old = append(old, w.owner)
				w.owner = NewOwner(w.settings)
				w.owner.Update(w.book.View())
			}
			for _, m := range late {
				if !m.at.After(w.now) {
					w.owner.Handle(m.report, true, w.elapsed)
				}
			}
			for _, o := range old { // deposed leaders grant what the ceiling that they know allows
				i := w.rng.IntN(count)
				if r, ok := w.gateways[i].Report(w.now, func(string, string) int { return 0 }); ok {
					w.gateways[i].Granted(w.now, r.Seq, o.Handle(r, true, w.elapsed))
				}
			}
		}
		w.run()
	})
}

// Guards against a version that gets requests from a gateway that has not heard of its order, of its reversal, or that has lost
// the leader for longer than the lease.
func TestUnheardVersionsGetNothing(t *testing.T) {
	w := newWorld(1, 1, 0, time.Minute)
	g := w.gateways[0]
	w.apply(Command{Trust: &Trust{"s", "v1"}})
	g.Adopt(w.book.View())
	admits := func(version string) (p []bool) {
		for _, purpose := range []Purpose{Begin, BeginAnywhere, GoOn} {
			p = append(p, g.Admits(w.now, "s", version, purpose))
		}
		return p
	}
	assert.DeepEqual(t, admits("v1"), []bool{true, true, true})
	assert.DeepEqual(t, admits("v2"), []bool{false, false, false})
	w.apply(Command{Start: &Start{Order: w.order}})
	assert.DeepEqual(t, admits("v2"), []bool{false, false, false})
	g.Adopt(w.book.View())
	assert.DeepEqual(t, admits("v2"), []bool{false, false, false}) // without a permit

	r, _ := g.Report(w.now, func(string, string) int { return 0 })
	id := w.rollout().ID
	g.Granted(w.now, r.Seq, Answer{[]Grant{{Service: "s", ID: id, Permits: 2, Shares: map[string]float64{"": 1}}}})
	version, drawn := g.Draw(w.now, "s", "r")
	assert.Assert(t, drawn && version == "v2")
	assert.DeepEqual(t, admits("v2"), []bool{false, false, true})
	begin := w.now
	w.now = begin.Add(Lease)
	assert.DeepEqual(t, admits("v2"), []bool{false, false, false})
	w.now = begin
	g.Sent("s", "r", "v2", true)
	g.Sent("s", "r", "v2", false) // a retry takes a permit too
	assert.DeepEqual(t, admits("v2"), []bool{false, false, false})

	w.apply(Command{Move: &Move{Service: "s", ID: id, From: Canary, To: Shifting}})
	g.Adopt(w.book.View())
	assert.DeepEqual(t, admits("v2"), []bool{false, false, false}) // the leader has not said so yet
	r, _ = g.Report(w.now, func(string, string) int { return 0 })
	g.Granted(w.now, r.Seq, w.owner.Handle(r, true, w.elapsed))
	assert.DeepEqual(t, admits("v1"), []bool{false, true, true})
	assert.DeepEqual(t, admits("v2"), []bool{true, true, true})
	w.now = begin.Add(Lease)
	assert.DeepEqual(t, admits("v1"), []bool{true, true, true})
	assert.DeepEqual(t, admits("v2"), []bool{false, false, false})
	w.apply(Command{Move: &Move{Service: "s", ID: id, From: Shifting, To: Reverted}})
	g.Adopt(w.book.View())
	assert.DeepEqual(t, admits("v1"), []bool{true, true, true})
	assert.DeepEqual(t, admits("v2"), []bool{false, false, false})
}

// Guards against a service whose requests are refused since its roll-out was ordered before any version was trusted.
func TestOrderBeforeAnyVersionIsTrusted(t *testing.T) {
	w := newWorld(1, 1, 0, time.Minute)
	g := w.gateways[0]
	w.apply(Command{Start: &Start{Order: w.order}})
	g.Adopt(w.book.View())
	assert.Assert(t, g.Admits(w.now, "s", "v1", Begin) && !g.Denies("s", "v1"))
	assert.Assert(t, !g.Admits(w.now, "s", "v2", Begin) && !g.Admits(w.now, "s", "v2", GoOn))
}

// Guards against answers of the leader that are taken in after the permits were given back.
func TestLateGrantIsIgnored(t *testing.T) {
	w := newWorld(1, 1, 0, time.Minute)
	g := w.gateways[0]
	w.apply(Command{Start: &Start{Order: w.order, Present: []string{"v1"}}})
	g.Adopt(w.book.View())
	none := func(string, string) int { return 0 }
	first, _ := g.Report(w.now, none)
	_, _ = g.Report(w.now, none)
	g.Granted(w.now, first.Seq, Answer{[]Grant{{Service: "s", ID: w.rollout().ID, Permits: 5, Shares: map[string]float64{"": 1}}}})
	_, drawn := g.Draw(w.now, "s", "r")
	assert.Assert(t, !drawn)
}
