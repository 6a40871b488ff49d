package rollout

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against two roll-outs of a service at once, a phase that goes back, an ended roll-out that changes, a version that is
// trusted and denied, and against a state that depends on more than the order of the entries.
func TestBookUnderAnyOrderOfCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, copied := NewBook(), NewBook()
		atMS, index := int64(0), uint64(0)
		versions, phases := []string{"v1", "v2", "v3"}, map[uint64]Phase{}
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			atMS += rapid.Int64Range(-500, 9000).Draw(t, "time")
			index += rapid.Uint64Range(1, 3).Draw(t, "indexes")
			c := Command{AtMS: atMS}
			before := b.View().Services["s"]
			id := uint64(0)
			if before.Rollout != nil {
				id = before.Rollout.ID
			}
			if rapid.IntRange(0, 9).Draw(t, "other order") == 0 {
				id++
			}
			version := rapid.SampledFrom(versions).Draw(t, "version")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				c.Start = &Start{Order{"s", version, time.Duration(rapid.IntRange(1, 2).Draw(t, "duration")) * 10 * time.Second}, versions[:rapid.IntRange(0, 3).Draw(t, "present")]}
			case 1:
				c.Trust = &Trust{"s", version}
			case 2:
				c.Move = &Move{Service: "s", ID: id, From: Phase(rapid.IntRange(0, 3).Draw(t, "from")), To: Phase(rapid.IntRange(0, 3).Draw(t, "to"))}
			case 3:
				c.Ceiling = &Ceiling{"s", id, rapid.Int64Range(0, 100).Draw(t, "permits")}
			}
			encoded, err := c.Encode()
			assert.NilError(t, err)
			outcome, err := b.Apply(index, encoded)
			assert.NilError(t, err)
			checkStep(t, before, b.View().Services["s"], c, outcome, phases)
			again, err := b.Apply(index, encoded)
			assert.NilError(t, err)
			assert.Equal(t, again, Ineffective, "an entry that is applied again")
			if rapid.Bool().Draw(t, "snapshot") {
				s, err := b.Snapshot()
				assert.NilError(t, err)
				assert.NilError(t, copied.Restore(s))
			} else {
				_, err := copied.Apply(index, encoded)
				assert.NilError(t, err)
			}
			assert.DeepEqual(t, copied.View(), b.View())
		}
	})
}

func checkStep(t *rapid.T, before, after Service, c Command, outcome Outcome, phases map[uint64]Phase) {
	for _, v := range after.Denied {
		assert.Assert(t, !slices.Contains(after.Trusted, v), "%s is trusted and denied", v)
	}
	r := after.Rollout
	if outcome != Accepted {
		assert.DeepEqual(t, after, before)
	}
	if r == nil {
		return
	}
	if running := before.Running(); running != nil {
		assert.Equal(t, r.ID, running.ID, "a roll-out beside one that runs")
	}
	last, known := phases[r.ID]
	assert.Assert(t, !known || r.Phase >= last, "phase %v after %v", r.Phase, last)
	assert.Assert(t, !known || last.Running() || r.Phase == last, "an ended roll-out has changed")
	phases[r.ID] = r.Phase
	if r.Phase.Running() {
		assert.Assert(t, !slices.Contains(after.Trusted, r.Target) && !slices.Contains(after.Denied, r.Target))
	}
	if c.Start != nil && outcome == OtherRuns {
		assert.Assert(t, r.Phase.Running() && r.Order != c.Start.Order)
	}
}

// Guards against a repeated order that is refused or begins a second roll-out, and one for the same version long
// after that is taken for a repeat.
func TestRepeatedOrder(t *testing.T) {
	w := newWorld(1, 0, 0, 20*time.Second)
	start := Command{Start: &Start{Order: w.order, Present: []string{"v1", "v2"}}}
	assert.Equal(t, w.apply(start), Accepted)
	first := w.rollout().ID
	assert.Equal(t, w.apply(start), Repeated)
	other := w.order
	other.Target = "v3"
	assert.Equal(t, w.apply(Command{Start: &Start{Order: other}}), OtherRuns)
	assert.Equal(t, w.apply(Command{Move: &Move{Service: "s", ID: first, From: Canary, To: Reverted}}), Accepted)
	assert.Equal(t, w.apply(start), Repeated)
	assert.Equal(t, w.rollout().Phase, Reverted)
	w.now = w.now.Add(w.order.Duration + repeatWindow + time.Second)
	assert.Equal(t, w.apply(start), Accepted)
	assert.Equal(t, w.rollout().Phase, Canary)
	assert.Assert(t, w.rollout().ID != first)
}

// Guards against an order that can't be carried out.
func TestOrdersAreValidated(t *testing.T) {
	valid := Order{"s", "v2", 12 * time.Second}
	assert.NilError(t, valid.Validate())
	for _, seconds := range []float64{0, -1, 1e-9, 1e300, -1e300, 0.5, 86401} {
		o := valid
		o.Duration = Seconds(seconds)
		assert.Assert(t, o.Validate() != nil, "%v s", seconds)
	}
	for _, target := range []string{"", " v2", "v\n2", string(make([]byte, 300)), "\xff"} {
		o := valid
		o.Target = target
		assert.Assert(t, o.Validate() != nil, "%q", target)
	}
}

// Guards against a version that is trusted while its order may be on its way, and one that is never trusted
// although nobody orders it.
func TestVersionsWithoutAnOrderAreTrustedLater(t *testing.T) {
	s, now := NewSettler(5*time.Second), time.Unix(1700000000, 0)
	trusted := func(v View, versions map[string]int) (out []string) {
		for _, c := range s.Choose(now, v, map[string]map[string]int{"s": versions}) {
			out = append(out, c.Trust.Version)
		}
		return out
	}
	assert.DeepEqual(t, trusted(View{}, map[string]int{"v1": 3, "v2": 1}), []string{"v1", "v2"})
	v := View{1, map[string]Service{"s": {Trusted: []string{"v1"}, Denied: []string{"v0"}}}}
	both := map[string]int{"v1": 3, "v2": 1, "v0": 9}
	assert.Equal(t, len(trusted(v, both)), 0)
	now = now.Add(5 * time.Second)
	assert.DeepEqual(t, trusted(v, both), []string{"v2"})
	ordered := View{2, map[string]Service{"s": {Trusted: []string{"v1"}, Rollout: &Rollout{Order: Order{Target: "v2"}}}}}
	assert.Equal(t, len(trusted(ordered, map[string]int{"v1": 3, "v2": 1})), 0)
}

// Guards against a step of the wall clock that ends a roll-out early, and against a restart that forgets how long it has run.
func TestTimeOfAnOrder(t *testing.T) {
	begin := time.Now()
	r := &Rollout{ID: 1, Order: Order{"s", "v2", time.Minute}, AcceptedMS: begin.UnixMilli()}
	v := View{1, map[string]Service{"s": {Rollout: r}}}
	c := NewClock()
	c.Update(begin, v)
	assert.Equal(t, c.Elapsed(begin.Add(3*time.Second), r), 3*time.Second)
	restarted := NewClock()
	restarted.Update(begin.Add(10*time.Second), v)
	assert.Assert(t, restarted.Elapsed(begin.Add(11*time.Second), r) > 10*time.Second)
	late := NewClock()
	late.Update(begin.Add(24*time.Hour), v)
	assert.Equal(t, late.Elapsed(begin.Add(24*time.Hour), r), r.Duration)
}
