package crash

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// restartGateways replaces the trackers of all gateways, one after another.
func restartGateways(from, interval float64) func(*fleet) {
	return func(f *fleet) {
		for i := range f.gateways {
			f.at(from+interval*float64(i), func() {
				// the first answer of the control instance has the configuration as well
				f.trackers[i], f.positions[i] = New(), f.control.LastChange()
				f.trackers[i].Merge(f.time(), f.control.EntriesSince(f.time(), 0))
			})
		}
	}
}

// restartControl replaces the control instance by one with its file of some seconds before.
func restartControl(t *testing.T, at, age float64) func(*fleet) {
	return func(f *fleet) {
		var saved []byte
		f.at(at-age, func() {
			var err error
			saved, err = json.Marshal(f.control.Entries(f.time()))
			assert.NilError(t, err)
		})
		f.at(at, func() {
			var list []Entry
			assert.NilError(t, json.Unmarshal(saved, &list))
			for i := range list {
				list[i].AgeMS += int64(age * 1000)
			}
			f.control = New()
			f.control.Merge(f.time(), list)
			for i, g := range f.trackers { // gateways send all that they know to an instance that has restarted
				f.control.Merge(f.time(), g.EntriesSince(f.time(), 0))
				f.positions[i] = 0
			}
			f.push()
		})
	}
}

// Guards against a deadly part that costs more upstreams, or sound requests that are refused, because processes restart or the control instance is gone for seconds.
func TestDeadlyPartAndRestarts(t *testing.T) {
	plans := map[string]fleetPlan{
		"gateways restart in turn":    {setUp: restartGateways(12, 2)},
		"gateways restart at once":    {setUp: restartGateways(16, 0)},
		"control with its file":       {setUp: restartControl(t, 13, .5)},
		"control with an old file":    {setUp: restartControl(t, 20, 10)},
		"control cut before the part": {controlFrom: 6, controlTo: 12},
	}
	playDeadlyPart(t, plans)
}

// playDeadlyPart plays fleets with one deadly part and checks the number of its late arrivals and the share of sound requests that run.
func playDeadlyPart(t *testing.T, plans map[string]fleetPlan) {
	t.Helper()
	for name, plan := range plans {
		for seed := range uint64(3) {
			for _, share := range []float64{.1, .9} {
				p := randomPlan(seed)
				p.gateways, p.upstreams, p.rate, p.share, p.turnsAt, p.zones = 8, 40, 40, share, 8, max(p.zones, 3)
				p.controlFrom, p.controlTo, p.setUp = plan.controlFrom, plan.controlTo, plan.setUp
				f := playFleet(p)
				calm, late := f.calmRan*max(f.lateSound, 1), f.lateRan*f.calmSound
				if f.lateArrivals() > 3 || f.lateSound >= 10 && 2*late < calm {
					t.Errorf("%s, seed %d, share %v: %d late arrivals, %d crashes; %d of %d sound requests ran, %d of %d before; %d refused; blocked: %v", name, seed, share, f.lateArrivals(), len(f.crashedAt[0]),
						f.lateRan, f.lateSound, f.calmRan, f.calmSound, f.honestHeld, f.honestBlocked)
				}
			}
		}
	}
}
