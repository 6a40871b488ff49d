package queue

import (
	"testing"
	"time"
)

// threeClasses is normal traffic of 19 streams in a second.
func threeClasses() []kind {
	return []kind{
		{priority: 0, perSecond: 4.3, aim: 4 * time.Second},
		{priority: 1, perSecond: 10, aim: 5 * time.Second},
		{priority: 2, perSecond: 4.7, aim: 10 * time.Second},
	}
}

// surge multiplies the traffic between two seconds.
func surge(by, from, to float64) func(float64) float64 {
	return func(s float64) float64 {
		if s >= from && s < to {
			return by
		}
		return 1
	}
}

func report(t *testing.T, p *play, from, to float64) {
	for k := range p.kinds {
		refused := p.share(k, from, to, func(c *caller) bool { return c.refusals > 0 })
		t.Logf("class %d: in time %.3f credit %.3f served %.3f refused %.3f", k, p.share(k, from, to, p.inTime), p.credit(k, from, to), p.share(k, from, to, p.served), refused)
	}
	t.Logf("callers %d placed %d copies %d dropped %d made %d moves %d", len(p.callers), p.placedStreams, p.copies, p.drops, p.made, p.moves)
}

func TestTrial(t *testing.T) {
	for _, l := range []struct {
		name     string
		l        load
		from, to float64
	}{
		{"normal", load{servers: fleet(84), kinds: threeClasses(), seconds: 30, factor: surge(1, 0, 0)}, 0, 30},
		{"crashes", load{servers: fleet(84), kinds: threeClasses(), seconds: 40, factor: surge(1, 0, 0), crashes: map[int]string{5: "z0", 12: "z1", 19: "z2", 26: "z3", 33: "z1"}}, 0, 40},
		{"flood", load{servers: fleet(84), kinds: threeClasses(), seconds: 30, factor: surge(3.5, 8, 20)}, 8, 20},
		{"halved", load{servers: fleet(84), kinds: threeClasses(), seconds: 30, factor: surge(3, 8, 20), halveAt: 8}, 8, 20},
	} {
		t.Run(l.name, func(t *testing.T) {
			p := playLoad(l.l, 1, nil)
			report(t, p, l.from, l.to)
		})
	}
}
