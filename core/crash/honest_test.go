package crash

import "testing"

func TestHonest(t *testing.T) {
	for _, p := range []fleetPlan{
		{zones: 4, zoneLoss: 6.5}, {zones: 4, zoneLoss: 6.5, silent: true}, {zones: 3, zoneLoss: 6.5, silent: true}, {zones: 4, zoneLoss: 2, silent: true}, {zones: 2, zoneLoss: 6.5, silent: true},
		{zones: 1, zoneLoss: 10, silent: true}, {zones: 1, zoneLoss: 10}, {zones: 4, cut: 1, cutFrom: 10, cutTo: 14, silent: true}, {zones: 4, cut: 4, cutFrom: 10, cutTo: 14, silent: true}, {zones: 4, cut: 4, cutFrom: 10, cutTo: 14}, {zones: 4, cut: 4, cutFrom: 10, cutTo: 14, zoneLoss: 6.5}} {
		for _, rate := range []float64{5, 20, 60} {
			hb, held, ran, sound := 0, 0, 0, 0
			var log []string
			for seed := range uint64(4) {
				q := p
				q.seed, q.gateways, q.upstreams, q.rate, q.turnsAt, q.repairedAt, q.length, q.back, q.delay = seed, 4, 20, rate, 1000, 1000, 40, 3, .1
				f := playFleet(q)
				hb += len(f.honestBlocked)
				held += f.honestHeld
				ran += f.calmRan
				sound += f.calmSound
				if len(f.log) > 0 && log == nil {
					log = f.log[:min(6, len(f.log))]
				}
			}
			t.Logf("%+v rate %.0f: blocked %d held %d ran %d of %d %v", p, rate, hb, held, ran, sound, log)
		}
	}
}
