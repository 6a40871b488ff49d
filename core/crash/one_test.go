package crash

import (
	"os"
	"strconv"
	"testing"
)

func num(name string, def float64) float64 {
	if v, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return v
	}
	return def
}

func TestOne(t *testing.T) {
	plan := fleetPlan{seed: uint64(num("seed", 0)), gateways: 4, upstreams: 20, zones: 4, rate: 20, share: num("share", .9), deadly: int(num("deadly", 1)), depth: int(num("depth", 1)), appearAt: num("appear", 0), turnsAt: 8, cut: int(num("cut", 0)), cutFrom: 8.5, cutTo: 13, repairedAt: 1000, length: num("length", 30), back: 3, delay: 0.1, silent: num("silent", 0) == 1, zoneLoss: num("zl", 0)}
	f := playFleet(plan)
	t.Log("late", f.lateArrivals(), "ratio", f.lateRan, f.lateSound, "honest", f.honestBlocked, "held", f.honestHeld)
	for i := range f.crashedAt {
		t.Logf("%d crashed %.1f\n arrived %.1f", i, f.crashedAt[i], f.arrivals[i])
	}
	for _, e := range f.log {
		t.Log(e)
	}
}
