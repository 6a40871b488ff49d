package crash

import (
	"fmt"
	"sync"
	"testing"
)

func TestExplore(t *testing.T) {
	var wg sync.WaitGroup
	lock := make(chan bool, 2)
	for _, share := range []float64{0.05, 0.3, 0.9} {
		for _, depth := range []int{0, 1, 2} {
			for _, appear := range []float64{0, 8} {
				for _, silent := range []bool{false, true} {
					for _, deadly := range []int{1, 3} {
						wg.Add(1)
						go func() {
							defer wg.Done()
							lock <- true
							defer func() { <-lock }()
							worst, ratio, honest, held, crashes, bad := 0, 1.0, 0, 0, 0, []string{}
							n := 6
							for seed := range uint64(n) {
								f := playFleet(fleetPlan{seed: seed, gateways: 4, upstreams: 20, zones: 4, rate: 20, share: share, deadly: deadly, depth: depth, appearAt: appear, turnsAt: 8, repairedAt: 1000, length: num("length", 30), back: 3, delay: 0.1, silent: silent, zoneLoss: num("zl", 0), cut: int(num("cut", 0)), cutFrom: 8.5, cutTo: 13})
								worst = max(worst, f.lateArrivals())
								r := 1.0
								if f.lateSound > 0 {
									r = float64(f.lateRan) / float64(f.lateSound)
								}
								ratio = min(r, ratio)
								if f.lateArrivals() > 3 || r < .5 {
									bad = append(bad, fmt.Sprintf("%d:%d/%.2f", seed, f.lateArrivals(), r))
								}
								honest += len(f.honestBlocked)
								held += f.honestHeld
								for _, c := range f.crashedAt {
									crashes += len(c)
								}
							}
							t.Logf("share %.2f depth %d appear %.0f silent %v deadly %d: late %d ratio %.2f honest blocked %d held %d crashes %d %v", share, depth, appear, silent, deadly, worst, ratio, honest, held, crashes/n, bad)
						}()
					}
				}
			}
		}
	}
	wg.Wait()
}
