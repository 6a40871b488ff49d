package measure

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"heatherway.dev/heatherway/internal/load"
)

func init() { scenarios["fairness"] = fairness }

const (
	smallOrganisations = 8
	// smallDemand is the load of each small organisation, as a multiple of an
	// equal share of the capacity.
	smallDemand = 0.8
	// largeDemand is the load of the large organisation in the same unit.
	largeDemand      = 10
	fairnessDuration = 10 * time.Second

	maxP99Ratio  = 1.1
	minJainIndex = 0.95
)

// fairness measures eight small organisations together with one that sends ten
// times its share. Without the policy all callers use the key of one
// organisation, so that the queue can't distinguish them.
func fairness(ctx context.Context, o Options, r *Result) error {
	s := shape{Engines: floodEngines, Zones: 1, Slots: floodSlots, Step: floodStep, Organisations: []string{"large"}}
	for i := range smallOrganisations {
		s.Organisations = append(s.Organisations, smallName(i))
	}
	r.set("engines", fmt.Sprintf("%d with %d slots, step %v", s.Engines, s.Slots, s.Step))
	r.set("requests", fmt.Sprintf("%d tokens, standard class; capacity %.0f requests/s, %v", floodTokens, s.capacity(floodTokens), fairnessDuration))
	r.set("demand", fmt.Sprintf("%d small organisations %g of a share each, the large one %d shares", smallOrganisations, smallDemand, largeDemand))
	alone, err := runShared(ctx, o, s, false, true)
	if err != nil {
		return err
	}
	for _, policy := range []bool{true, false} {
		with, err := runShared(ctx, o, s, true, policy)
		if err != nil {
			return err
		}
		addFairness(r, s, policy, with, alone)
	}
	return nil
}

func smallName(i int) string { return fmt.Sprintf("small-%d", i) }

func addFairness(r *Result, s shape, policy bool, with, alone *sharedRun) {
	name := "policy on: "
	if !policy {
		name = "policy off: "
	}
	now, base := with.p99(), alone.p99()
	r.addWithBaseline(name+"first token p99 of the small organisations", now, base, "ms")
	// The targets apply to the runs with the policy; without it they show its
	// effect.
	r.addWithBaseline(name+"p99 over that without the large one", now/base, 1, "ratio").atMost(maxP99Ratio)
	r.add(name+"Jain's index of tokens per fair share", jain(s, with.Report), "index").atLeast(minJainIndex)
	r.add(name+"useful work over nominal capacity", with.Total.TokensPerSecond/(s.capacity(floodTokens)*floodTokens), "share")
	r.add(name+"wrong, missing or repeated tokens", float64(with.Total.Sum()), "tokens").atMost(0)
}

// sharedRun is a run of several organisations.
type sharedRun struct {
	*load.Report
	// firstToken holds the times to the first token of all small organisations
	// together, since a single one has too few requests for a p99.
	firstToken *hdr.Histogram
}

func (s *sharedRun) p99() float64 { return float64(s.firstToken.ValueAtPercentile(99)) / 1000 }

// jain returns Jain's index of the tokens of each organisation divided by its
// max-min fair share, which is the demand of a small organisation, and the
// remaining capacity for the large one.
func jain(s shape, r *load.Report) float64 {
	capacity := s.capacity(floodTokens) * floodTokens
	one := capacity / (smallOrganisations + 1)
	fair := map[string]float64{"large": capacity - smallOrganisations*smallDemand*one}
	for i := range smallOrganisations {
		fair[smallName(i)] = smallDemand * one
	}
	var sum, squares float64
	for name, share := range fair {
		x := row(r.Organisations, name).TokensPerSecond / share
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(fair)) * squares)
}

// runShared sends the load of the organisations to a new fleet.
func runShared(ctx context.Context, o Options, s shape, large, policy bool) (*sharedRun, error) {
	f, err := newFleet(ctx, o, s)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	o.phase(fmt.Sprintf("large organisation %v, policy %v", large, policy))
	l := o.generations(f.entryURL())
	l.OutputTokens = load.Range{Min: floodTokens, Max: floodTokens}
	l.Organisations = nil
	for i := range smallOrganisations {
		l.Organisations = append(l.Organisations, load.Weighted[load.Organisation]{Value: organisation(smallName(i)), Weight: smallDemand})
	}
	shares := smallOrganisations * smallDemand
	if large {
		l.Organisations = append(l.Organisations, load.Weighted[load.Organisation]{Value: organisation("large"), Weight: largeDemand})
		shares += largeDemand
	}
	if !policy {
		for i := range l.Organisations {
			l.Organisations[i].Value.Key = "demo"
		}
	}
	l.Rate = shares / (smallOrganisations + 1) * s.capacity(floodTokens)
	l.Duration = fairnessDuration
	run := &sharedRun{firstToken: hdr.New(1, maxGapMS*1000, 3)}
	var mu sync.Mutex
	l.OnDone = func(one load.Timing) {
		if one.First == 0 || one.Organisation == "large" {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		_ = run.firstToken.RecordValue(one.First.Microseconds()) // can't fail, since a run is shorter than the range
	}
	run.Report, err = load.Run(ctx, l, io.Discard)
	return run, err
}
