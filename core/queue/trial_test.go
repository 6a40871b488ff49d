package queue

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func TestTrials(t *testing.T) {
	speeds := make([]float64, 84)
	sum := 0.0
	for i := range speeds {
		speeds[i] = 0.55 + 0.65*float64(i*37%84)/83
		sum += speeds[i]
	}
	even := make([]float64, 84)
	for i := range even {
		even[i] = sum / 84
	}
	hot := func(r *rand.Rand) string {
		if r.Float64() < 10.0/21 {
			return "hot"
		}
		return fmt.Sprint("o", r.IntN(11))
	}
	crash := map[int]string{}
	for i := 4; i < 44; i += 6 {
		crash[i] = fmt.Sprint("z", i/6%4)
	}
	_ = hot
	for _, l := range []struct {
		name     string
		l        load
		from, to float64
	}{
		{"normal", load{servers: fleet(84), kinds: threeClasses(), seconds: 30, factor: surge(1, 0, 0)}, 0, 30},
		{"crashes", load{servers: fleet(84), kinds: threeClasses(), seconds: 40, factor: surge(1, 0, 0), crashes: crash}, 0, 40},
		{"flood", load{servers: fleet(84), kinds: threeClasses(), seconds: 30, factor: surge(3.5, 8, 20)}, 8, 20},
		{"floodcrash", load{servers: fleet(84), kinds: threeClasses(), seconds: 30, factor: surge(3.5, 8, 20), crashes: crash}, 8, 20},
		{"halved", load{servers: fleet(84), kinds: threeClasses(), seconds: 30, factor: surge(3, 8, 20), halveAt: 8}, 8, 20},
		{"uneven", load{servers: fleet(84), speeds: speeds, kinds: threeClasses(), seconds: 60, factor: surge(2.5, 40, 60)}, 40, 60},
		{"even", load{servers: fleet(84), speeds: even, kinds: threeClasses(), seconds: 60, factor: surge(2.5, 40, 60)}, 40, 60},
		{"unevennormal", load{servers: fleet(84), speeds: speeds, kinds: threeClasses(), seconds: 60, factor: surge(1, 8, 20)}, 40, 60},
		{"evennormal", load{servers: fleet(84), speeds: even, kinds: threeClasses(), seconds: 60, factor: surge(1, 8, 20)}, 40, 60},
		{"freeze", load{servers: fleet(84), kinds: threeClasses(), seconds: 30, factor: surge(1, 0, 0), freeze: "u008", freezeAt: 8}, 0, 30},
	} {
		out := l.name + ":"
		for seed := range uint64(3) {
			p := playLoad(l.l, seed+1, nil)
			out += " |"
			for k := range p.kinds {
				out += fmt.Sprintf(" %.2f/%.2f/%.2f/%.2f", p.share(k, l.from, l.to, p.inTime), p.credit(k, l.from, l.to), p.share(k, l.from, l.to, p.served), p.share(k, l.from, l.to, func(c *caller) bool { return c.refusals > 0 }))
			}
			told, ok := 0, 0
			for _, c := range p.callers {
				if c.refusals > 0 {
					told++
					if p.served(c) {
						ok++
					}
				}
			}
			out += fmt.Sprintf(" told %d/%d", ok, told)
			out += fmt.Sprintf(" p99 %.2f c%d d%d m%d mv%d", p.firstEvent(0.99, l.from, l.to), p.copies, p.drops, p.made, p.moves)
		}
		t.Log(out)
	}
}
