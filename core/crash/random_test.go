package crash

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
)

func pick[T any](r *rand.Rand, list ...T) T { return list[r.IntN(len(list))] }

func TestReplay(t *testing.T) {
	seed := uint64(num("seed", 0))
	f := playFleet(randomPlan(seed))
	t.Logf("%.2f crashed, arrived %.2f", f.crashedAt[0], f.arrivals[0])
	for _, l := range f.log {
		t.Log(l)
	}
}

func randomPlan(seed uint64) fleetPlan {
	r := rand.New(rand.NewPCG(seed, 7))
	p := fleetPlan{seed: seed, gateways: pick(r, 1, 4, 8), upstreams: pick(r, 8, 20, 40), zones: pick(r, 1, 3, 4), rate: pick(r, 5., 20, 40), share: pick(r, .05, .1, .3, .6, .9),
		deadly: int(num("deadly", 1)), depth: r.IntN(3), appearAt: pick(r, 0., 8), turnsAt: 8, repairedAt: num("repaired", 100000), length: num("length", 40), back: pick(r, 2., 3, 6, 11), delay: pick(r, .05, .1, .3), silent: pick(r, true, false), zoneLoss: pick(r, 0, 6.5)}
	if p.zones == 1 {
		p.zoneLoss = 0
	}
	return p
}

func TestRandom(t *testing.T) {
	var wg sync.WaitGroup
	lock := make(chan bool, 2)
	var n, badA, badB, blocked, notBack atomic.Int64
	for seed := range uint64(num("n", 200)) {
		wg.Add(1)
		lock <- true
		go func() {
			defer wg.Done()
			defer func() { <-lock }()
			p := randomPlan(seed)
			f := playFleet(p)
			n.Add(1)
			if f.answeredAfterRepair == 0 {
				notBack.Add(1)
			}
			a, b := f.lateArrivals() > 3, f.lateSound > 10 && float64(f.lateRan)/float64(f.lateSound) < .5*float64(f.calmRan)/float64(f.calmSound)
			if a {
				badA.Add(1)
			}
			if b {
				badB.Add(1)
			}
			if len(f.honestBlocked) > 0 {
				blocked.Add(1)
			}
			if a || b {
				t.Log(fmt.Sprintf("%d: gw %d up %d zones %d rate %.0f share %.2f depth %d appear %.0f back %.0f delay %.2f silent %v zl %.1f: late %d ran %d/%d calm %d/%d held %d honest %v", seed, p.gateways, p.upstreams, p.zones, p.rate, p.share, p.depth, p.appearAt, p.back, p.delay, p.silent, p.zoneLoss, f.lateArrivals(), f.lateRan, f.lateSound, f.calmRan, f.calmSound, f.honestHeld, f.honestBlocked))
			}
		}()
	}
	wg.Wait()
	t.Logf("not back after repair: %d", notBack.Load())
	t.Logf("%d plays: rule A broken in %d, B in %d, honest parts blocked in %d", n.Load(), badA.Load(), badB.Load(), blocked.Load())
}
