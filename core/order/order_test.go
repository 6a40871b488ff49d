package order

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

var models = []string{"m0", "m1"}

// simulation simulates a few upstreams whose agents carry out released orders,
// and a leader whose member list lags behind.
type simulation struct {
	state   *State
	nowMS   int64
	actual  []wire.Upstream
	history []membersView
	staged  int
}

type membersView struct {
	atMS    int64
	members []wire.Upstream
}

func (sim *simulation) recordView() {
	members := slices.Clone(sim.actual)
	for i := range members {
		members[i].Models = slices.Clone(members[i].Models)
	}
	sim.history = append(sim.history, membersView{sim.nowMS, members})
}

// viewAt returns the newest member list that is at least lagMS old.
func (sim *simulation) viewAt(lagMS int64) []wire.Upstream {
	for _, v := range slices.Backward(sim.history) {
		if sim.nowMS-v.atMS >= lagMS {
			return v.members
		}
	}
	return sim.history[0].members
}

// serving returns the number of upstreams that serve a model, without those that
// have a released order that removes it.
func (sim *simulation) serving(model string) (n int) {
	for _, u := range sim.actual {
		ending := slices.ContainsFunc(sim.state.records, func(rec Record) bool {
			return rec.Status == Released && rec.Order.Upstream == u.ID && removesModel(&rec.Order, model)
		})
		if slices.Contains(u.Models, model) && !ending {
			n++
		}
	}
	return n
}

func (sim *simulation) finish(t *rapid.T) {
	running := slices.DeleteFunc(sim.state.List(), func(rec Record) bool { return rec.Status != Released })
	if len(running) == 0 {
		return
	}
	o := running[rapid.IntRange(0, len(running)-1).Draw(t, "which")].Order
	at := slices.IndexFunc(sim.actual, func(u wire.Upstream) bool { return u.ID == o.Upstream })
	u := &sim.actual[at]
	ok := rapid.IntRange(0, 4).Draw(t, "ok") > 0
	if ok && o.Kind != wire.SetVersion {
		u.Models = slices.DeleteFunc(slices.Clone(u.Models), func(m string) bool { return removesModel(&o, m) || m == o.Model })
	}
	if ok && o.Kind == wire.LoadModel {
		u.Models = append(u.Models, o.Model)
	}
	sim.state.Apply(ApplyContext{AtMS: sim.nowMS}, Command{Done: &wire.OrderDoneArgs{ID: o.ID, Upstream: o.Upstream, OK: ok}})
	sim.recordView()
}

func (sim *simulation) stage(t *rapid.T) {
	sim.staged++
	o := wire.Order{
		ID: wire.ID(fmt.Sprint("o", sim.staged)), Fence: 1, Upstream: sim.actual[rapid.IntRange(0, len(sim.actual)-1).Draw(t, "upstream")].ID,
		Kind:  rapid.SampledFrom([]wire.OrderKind{wire.LoadModel, wire.UnloadModel, wire.SetVersion, wire.SetRole}).Draw(t, "kind"),
		Model: rapid.SampledFrom(models).Draw(t, "model"), Role: "prefill",
	}
	if o.Kind == wire.LoadModel && rapid.Bool().Draw(t, "replaces") {
		o.Replaces = models[1]
		o.Model = models[0]
	}
	assert.Equal(t, sim.state.Apply(ApplyContext{AtMS: sim.nowMS, Fence: 1}, Command{Stage: &o}).Code, result.Code(0))
}

// Guards against orders that remove a model from the last upstream that serves
// it, more concurrent loads than the budget, and two concurrent orders for an
// upstream, while the leader's member list lags behind.
func TestOrdersKeepCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{state: New()}
		for i := range rapid.IntRange(1, 4).Draw(t, "upstreams") {
			sim.actual = append(sim.actual, wire.Upstream{ID: fmt.Sprint("u", i), Models: rapid.SampledFrom([][]string{{"m0"}, {"m1"}, {"m0", "m1"}}).Draw(t, "models")})
		}
		sim.recordView()
		maxLoads := rapid.IntRange(1, 2).Draw(t, "budget")
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			sim.nowMS += rapid.SampledFrom([]int64{0, 1000, MembershipLagMS / 2, MembershipLagMS}).Draw(t, "pause")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				sim.stage(t)
			case 1:
				sim.finish(t)
			default:
				lag := rapid.Int64Range(0, MembershipLagMS-1).Draw(t, "lag")
				before := []int{sim.serving("m0"), sim.serving("m1")}
				ids := Plan(sim.nowMS, sim.state.List(), sim.viewAt(lag), maxLoads)
				sim.state.Apply(ApplyContext{AtMS: sim.nowMS, MaxLoads: maxLoads}, Command{Release: ids})
				for i, m := range models {
					assert.Assert(t, before[i] == 0 || sim.serving(m) > 0, "no upstream serves %s", m)
				}
			}
			assert.Assert(t, sim.state.releasedLoads() <= maxLoads)
			busy := map[string]int{}
			for _, rec := range sim.state.records {
				if rec.Status == Released {
					busy[rec.Order.Upstream]++
					assert.Equal(t, busy[rec.Order.Upstream], 1)
				}
			}
		}
	})
}

func loadOrder(id string, fence uint64, upstream string) *wire.Order {
	return &wire.Order{ID: wire.ID(id), Fence: fence, Upstream: upstream, Kind: wire.LoadModel, Model: "m"}
}

// Guards against an order from an issuer that has lost its lease, both at control
// and at a restarted agent.
func TestStaleIssuerIsRejected(t *testing.T) {
	s := New()
	assert.Equal(t, s.Apply(ApplyContext{Fence: 7}, Command{Stage: loadOrder("a", 7, "u")}).Record.Status, Staged)
	assert.Equal(t, s.Apply(ApplyContext{Fence: 9}, Command{Stage: loadOrder("b", 9, "u")}).Record.Status, Staged)
	assert.Equal(t, s.Apply(ApplyContext{Fence: 9}, Command{Stage: loadOrder("c", 7, "u")}).Code, result.FenceStale)
	assert.Equal(t, s.Apply(ApplyContext{}, Command{Stage: loadOrder("d", 9, "u")}).Code, result.FenceStale)
	assert.Equal(t, s.List()[0].Status, Cancelled, "an order of a new issuer must cancel those staged by the old one")
	assert.Equal(t, s.Apply(ApplyContext{Fence: 9}, Command{Stage: loadOrder("b", 9, "u")}).Record.Order.ID, wire.ID("b"))
	assert.Equal(t, len(s.List()), 2, "a repeated order must be staged once")

	var guard FenceGuard
	assert.Assert(t, result.Is(guard.Accept(100), result.ControlUnavailable), "a restarted agent must reject all orders")
	guard.SetMinimum(9)
	assert.Assert(t, result.Is(guard.Accept(7), result.FenceStale))
	assert.NilError(t, guard.Accept(9))
	assert.NilError(t, guard.Accept(12))
	assert.Assert(t, result.Is(guard.Accept(9), result.FenceStale))
	guard.SetMinimum(3)
	assert.Assert(t, result.Is(guard.Accept(9), result.FenceStale), "SetMinimum must not lower the token")
}

// Guards against an upstream that fails during an order and occupies the load
// budget forever, and against memory use that grows with the number of orders.
func TestReleasedOrdersTimeOut(t *testing.T) {
	s := New()
	ctx := ApplyContext{AtMS: 0, Fence: 1, MaxLoads: 1}
	s.Apply(ctx, Command{Stage: loadOrder("a", 1, "u")})
	s.Apply(ctx, Command{Stage: loadOrder("b", 1, "v")})
	s.Apply(ctx, Command{Release: []wire.ID{"a", "b"}})
	assert.Equal(t, s.releasedLoads(), 1)
	ctx.AtMS = MaxRunMS + 1
	s.Apply(ctx, Command{Release: []wire.ID{"b"}})
	assert.Equal(t, s.List()[0].Status, Failed)
	assert.Equal(t, s.List()[1].Status, Released)
	for i := range MaxFinished + 10 {
		id := fmt.Sprint("n", i)
		s.Apply(ctx, Command{Stage: loadOrder(id, 1, "u")})
		s.Apply(ctx, Command{Cancel: wire.ID(id)})
	}
	s.Apply(ctx, Command{Release: nil})
	assert.Equal(t, len(s.List()), MaxFinished+1)
	assert.Equal(t, s.List()[0].Order.ID, wire.ID("b"), "an unfinished order must be kept")
	b, err := s.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(b))
	assert.DeepEqual(t, restored.List(), s.List())
}
