package rollout

import (
	"fmt"
	"testing"
	"time"
)

func TestCalibrate(t *testing.T) {
	type kind struct {
		name string
		bad  bool
		f    func(w *world, route int, target bool) (bool, time.Duration)
	}
	after := func(w *world, share float64) bool {
		return w.now.Sub(w.ordered) > time.Duration(share*float64(w.order.Duration))
	}
	kinds := []kind{
		{"good", false, usual},
		{"burst", false, func(w *world, route int, target bool) (bool, time.Duration) {
			f, took := usual(w, route, target)
			if at := w.now.Sub(w.ordered) % (5 * time.Second); at > 2*time.Second && at < 3500*time.Millisecond {
				f, took = f || w.rng.Float64() < 0.15, 3*took
			}
			return f, took
		}},
		{"fail10rare", true, func(w *world, route int, target bool) (bool, time.Duration) {
			f, took := usual(w, route, target)
			return f || target && route == w.routes-1 && w.rng.Float64() < 0.1, took
		}},
		{"slow3rare", true, func(w *world, route int, target bool) (bool, time.Duration) {
			f, took := usual(w, route, target)
			if target && route == w.routes-1 {
				took *= 3
			}
			return f, took
		}},
		{"fail30later", true, func(w *world, route int, target bool) (bool, time.Duration) {
			f, took := usual(w, route, target)
			return f || target && after(w, 0.4) && w.rng.Float64() < 0.3, took
		}},
	}
	for _, rate := range []float64{30, 130, 500} {
		for _, d := range []time.Duration{12 * time.Second, 40 * time.Second} {
			for _, k := range kinds {
				t.Run("x", func(t *testing.T) {
					t.Parallel()
					wrong, n, late, over, used, bads := 0, 200, 0, 0, 0, 0
					ex := ""
					for seed := range n {
						w := newWorld(uint64(seed), 8, rate, d)
						w.answer = k.f
						w.run()
						if w.reverted.IsZero() == k.bad {
							wrong++
							ex = w.reason
						}
						if w.rollout().Phase.Running() {
							late++
						}
						if w.canary > int(0.1*float64(w.requests))+50 {
							over++
						}
						used += w.canary
						bads += int(w.owner.settings.Slack)
					}
					fmt.Println(rate, d, k.name, "wrong", wrong, "of", n, "running", late, "over", over, "canary", used/n, ex)
				})
			}
		}
	}
}
