package queue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// threeClasses is normal traffic of 19 streams in a second for 84 servers.
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

// Seconds of the floods that are played.
const floodFrom, floodTo = 8, 20

func flood(by float64) load {
	return load{servers: fleet(84), kinds: threeClasses(), seconds: 30, factor: surge(by, floodFrom, floodTo)}
}

// forSeeds plays a load with several seeds.
func forSeeds(t *testing.T, l load, check func(*testing.T, *play)) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			p := playLoad(l, seed)
			for k := range p.kinds {
				t.Logf("class %d: in time %.3f credit %.3f served %.3f", k, p.share(k, floodFrom, floodTo, p.inTime), p.credit(k, floodFrom, floodTo), p.share(k, floodFrom, floodTo, p.served))
			}
			t.Logf("copies %d dropped %d made %d moves %d", p.copies, p.drops, p.made, p.moves)
			check(t, p)
		})
	}
}

// checkClassOrder checks that no class earns less than a less urgent one by more than 0.03.
func checkClassOrder(t *testing.T, p *play) {
	t.Helper()
	for k := 1; k < len(p.kinds); k++ {
		assert.Assert(t, p.credit(k-1, floodFrom, floodTo) >= p.credit(k, floodFrom, floodTo)-0.03)
	}
}

// Guards against a flood in which the most urgent callers fare worst.
func TestFlood(t *testing.T) {
	forSeeds(t, flood(3.5), func(t *testing.T, p *play) {
		assert.Assert(t, p.share(0, floodFrom, floodTo, p.inTime) >= 0.95)
		assert.Assert(t, p.credit(0, floodFrom, floodTo) >= 0.95)
		checkClassOrder(t, p)
		assert.Equal(t, p.overfull, 0)
		assert.Assert(t, p.drops > 0, "copies kept the room of streams that wait")
	})
}

// Guards against the loss of half of the servers in a flood; also of refusals that come late, and
// of callers that do as they were told and are not served.
func TestHalvedFleetInFlood(t *testing.T) {
	l := flood(3)
	l.halveAt = floodFrom
	forSeeds(t, l, func(t *testing.T, p *play) {
		assert.Assert(t, p.credit(0, floodFrom, floodTo) >= 0.85)
		checkClassOrder(t, p)
	})
}

// Guards against refusals that come late, and against callers that do as they were told and are
// not served: more than half of the requests cannot be served in time for longer than any deadline.
func TestRefusedCallersReturn(t *testing.T) {
	l := flood(5)
	l.halveAt = floodFrom
	forSeeds(t, l, func(t *testing.T, p *play) {
		refused, soon, served := 0, 0, 0
		for _, c := range p.callers {
			if c.returned {
				refused++
				if c.firstRefused <= p.kinds[c.kind].aim/8+2*hop+tick {
					soon++
				}
				if p.served(c) {
					served++
				}
			}
		}
		t.Logf("refused %d, of these within an eighth of the aim %d, served on return %d", refused, soon, served)
		assert.Assert(t, refused > 0 && float64(served) >= 0.9*float64(refused))
		assert.Assert(t, float64(soon) >= 0.9*float64(refused))
	})
}

// Guards against streams that are lost with a zone on normal days: each keeps a copy elsewhere.
func TestZoneCrashesOnNormalLoad(t *testing.T) {
	l := flood(1)
	l.crashes = map[int]string{4: "z0", 10: "z1", 16: "z2", 22: "z3", 28: "z0"}
	forSeeds(t, l, func(t *testing.T, p *play) {
		for k := range p.kinds {
			assert.Assert(t, p.credit(k, 0, l.seconds) >= 0.99)
		}
		assert.Equal(t, p.copies, p.placedStreams)
		assert.Equal(t, p.drops, 0)
	})
}

// Guards against an organisation at ten times its share that costs the others theirs.
func TestOrganisationAtTenTimesItsShare(t *testing.T) {
	const small = 11
	inTime := func(share float64, by float64) (list []float64, hot float64) {
		l := flood(by)
		for k := range l.kinds {
			l.kinds[k].organisation = func(r *rand.Rand) string {
				if r.Float64() < share {
					return "hot"
				}
				return fmt.Sprint("o", r.IntN(small))
			}
		}
		p := playLoad(l, 1)
		of := func(name string) float64 {
			n := p.share(-1, floodFrom, floodTo, func(c *caller) bool { return c.organisation == name })
			return p.share(-1, floodFrom, floodTo, func(c *caller) bool { return c.organisation == name && p.inTime(c) }) / max(n, 1e-9)
		}
		for i := range small {
			list = append(list, of(fmt.Sprint("o", i)))
		}
		return list, of("hot")
	}
	const beside = 10.0 / (10 + small)
	with, hot := inTime(beside, 6)
	without, _ := inTime(0, 6*(1-beside))
	sum, squares := 0.0, 0.0
	for i := range with {
		kept := with[i] / without[i]
		sum += kept
		squares += kept * kept
	}
	jain := sum * sum / (small * squares)
	t.Logf("Jain %.3f, kept %.3f, large organisation in time %.3f", jain, sum/small, hot)
	assert.Assert(t, jain >= 0.95)
	assert.Assert(t, sum/small >= 0.95)
	assert.Assert(t, hot < 0.9, "the load is no flood")
}

// uneven returns the speeds of servers between 0.55 and 1.2, and those of even ones of the same
// sum.
func unevenSpeeds(n int) (uneven, even []float64) {
	sum := 0.0
	for i := range n {
		uneven = append(uneven, 0.55+0.65*float64(i*37%n)/float64(n-1))
		sum += uneven[i]
	}
	for range n {
		even = append(even, sum/float64(n))
	}
	return uneven, even
}

// Guards against slow servers that are taken for equal. In a flood each reads as much as it can.
func TestUnevenSpeeds(t *testing.T) {
	uneven, even := unevenSpeeds(84)
	for _, by := range []float64{1, 1.5, 2, 3} {
		l := load{servers: fleet(84), kinds: threeClasses(), seconds: 60, factor: surge(by, 30, 60), speeds: uneven}
		p := playLoad(l, 1)
		a := p.firstEvent(0.99, 40, 60)
		if by == 3 {
			assert.Assert(t, p.busiestToMean() <= 1.1, "%v", p.busiestToMean())
		}
		l.speeds = even
		b := playLoad(l, 1).firstEvent(0.99, 40, 60)
		t.Logf("traffic %.1f: p99 of the first event %.2f s, of an even fleet %.2f s", by, a, b)
		assert.Assert(t, a <= 1.3*b)
	}
}

// Guards against a class that gets nothing while a more urgent one floods.
func TestFloorOfTheLeastUrgentClass(t *testing.T) {
	l := flood(1)
	l.kinds[0].perSecond = 110 // more than all servers can read
	l.servers = fleet(84)
	starts := [3]int{}
	p := playLoad(l, 1)
	for _, c := range p.callers {
		if at := c.begun.Sub(start).Seconds(); c.begunOnce() && at >= 15 && at < 30 {
			starts[c.kind]++
		}
	}
	sum := starts[0] + starts[1] + starts[2]
	t.Logf("starts %v", starts)
	for k := range starts {
		assert.Assert(t, float64(starts[k]) >= 0.8*DefaultSettings().Floor*float64(sum))
	}
}

// Guards against requests that are lost with a frozen server, and against moves without end.
func TestFrozenServer(t *testing.T) {
	l := flood(1)
	l.freeze, l.freezeAt = "u008", floodFrom
	forSeeds(t, l, func(t *testing.T, p *play) {
		for _, c := range p.callers {
			assert.Assert(t, p.inTime(c))
			assert.Assert(t, c.attempts <= 1+p.q.settings.MaxMoves)
		}
	})
}
