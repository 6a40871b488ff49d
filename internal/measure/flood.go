package measure

import (
	"context"
	"fmt"
	"io"
	"time"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/load"
)

func init() { scenarios["flood"] = flood }

const (
	floodEngines  = 2
	floodSlots    = 16
	floodStep     = 10 * time.Millisecond
	floodTokens   = 50
	floodFactor   = 10
	floodDuration = 12 * time.Second

	urgentTarget     = 720 * time.Millisecond
	minOnTimeShare   = 0.99
	maxFloodP99Ratio = 1.1
	minUsefulShare   = 0.95
)

// regularMix is the load that the flood must not displace, as shares of the
// capacity.
var regularMix = []load.Weighted[wire.Class]{
	{Value: wire.Urgent, Weight: 0.3}, {Value: wire.Standard, Weight: 0.25}, {Value: wire.Batch, Weight: 0.15},
}

// minShares holds the default minimum shares of slot time.
var minShares = map[wire.Class]float64{wire.Urgent: 0.5, wire.Standard: 0.2, wire.Batch: 0.1}

func organisation(name string) load.Organisation { return load.Organisation{Name: name, Key: name} }

// capacity returns the maximum number of requests per second that a fleet can
// finish.
func (s shape) capacity(tokens int) float64 {
	return float64(s.Engines*s.Slots) / s.Step.Seconds() / float64(tokens)
}

// flood measures three classes without a flood, and with a flood in the lowest
// and one in the highest class.
func flood(ctx context.Context, o Options, r *Result) error {
	s := shape{Engines: floodEngines, Zones: 1, Slots: floodSlots, Step: floodStep, Organisations: []string{"flooding"}}
	capacity := s.capacity(floodTokens)
	r.set("engines", fmt.Sprintf("%d with %d slots, step %v", s.Engines, s.Slots, s.Step))
	r.set("requests", fmt.Sprintf("%d tokens; capacity %.0f requests/s; usual work urgent 30%%, standard 25%%, batch 15%% of it", floodTokens, capacity))
	r.set("flood", fmt.Sprintf("%d times the capacity by another organisation, %v", floodFactor, floodDuration))
	base, _, err := runMixed(ctx, o, s, nil)
	if err != nil {
		return err
	}
	baseline := row(base.Classes, wire.Urgent.String())
	for _, class := range []wire.Class{wire.Batch, wire.Urgent} {
		regular, flooding, err := runMixed(ctx, o, s, &class)
		if err != nil {
			return err
		}
		name := class.String() + " flood: "
		for _, c := range []wire.Class{wire.Urgent, wire.Standard, wire.Batch} {
			addClass(r, name, row(regular.Classes, c.String()), row(base.Classes, c.String()))
		}
		if class == wire.Batch {
			u := row(regular.Classes, wire.Urgent.String())
			r.add(name+"urgent within its target", onTimeShare(u), "share").atLeast(minOnTimeShare)
			r.addWithBaseline(name+"urgent p99 over that without the flood", u.FirstToken.P99/baseline.FirstToken.P99, 1, "ratio").atMost(maxFloodP99Ratio)
		}
		total := regular.Total.TokensPerSecond + flooding.Total.TokensPerSecond
		for _, c := range []wire.Class{wire.Standard, wire.Batch} {
			if class == wire.Urgent {
				share := row(regular.Classes, c.String()).TokensPerSecond / total
				r.add(name+c.String()+" share of tokens", share, "share").atLeast(min(minShares[c], offeredShare(c)))
			}
		}
		r.add(name+"useful work over nominal capacity", total/(capacity*floodTokens), "share").atLeast(minUsefulShare)
		r.add(name+"refused of the flood", refusedShare(flooding.Total), "share")
		r.add(name+"wrong, missing or repeated tokens", float64(regular.Total.Sum()+flooding.Total.Sum()), "tokens").atMost(0)
	}
	return nil
}

// offeredShare returns the regular load of a class as a share of the capacity.
func offeredShare(c wire.Class) float64 {
	for _, s := range regularMix {
		if s.Value == c {
			return s.Weight
		}
	}
	return 0
}

func row(rows []load.Row, name string) load.Row {
	for _, r := range rows {
		if r.Name == name {
			return r
		}
	}
	return load.Row{}
}

func addClass(r *Result, prefix string, now, base load.Row) {
	r.addWithBaseline(prefix+now.Name+" first token p99", now.FirstToken.P99, base.FirstToken.P99, "ms")
	r.addWithBaseline(prefix+now.Name+" tokens", now.TokensPerSecond, base.TokensPerSecond, "tokens/s")
	r.addWithBaseline(prefix+now.Name+" finished of those that ended", finishedShare(now), finishedShare(base), "share")
}

func share(part, whole int64) float64 { return float64(part) / float64(max(whole, 1)) }

// finishedShare returns the share of requests that finished, without those that
// were interrupted by the end of the run.
func finishedShare(r load.Row) float64 { return share(r.Finished, r.Requests-r.Interrupted) }

func refusedShare(r load.Row) float64 {
	var n int64
	for _, c := range r.Refusals {
		n += c
	}
	return share(n, r.Requests)
}

// onTimeShare returns the share of requests whose first token came in time.
// Requests without a first token count as late.
func onTimeShare(r load.Row) float64 { return share(r.OnTime, r.Requests) }

// runMixed sends the regular load to a new fleet, with a flood of a class unless
// that is nil.
func runMixed(ctx context.Context, o Options, s shape, class *wire.Class) (regular, flooding *load.Report, err error) {
	f, err := newFleet(ctx, o, s)
	if err != nil {
		return nil, nil, err
	}
	defer f.stop()
	if class == nil {
		o.phase("without a flood")
		regular, err = load.Run(ctx, regularLoad(o, f), io.Discard)
		return regular, nil, err
	}
	o.phase("flood of " + class.String())
	l := o.generations(f.entryURL())
	l.Seed++
	l.OutputTokens = load.Range{Min: floodTokens, Max: floodTokens}
	l.Classes = []load.Weighted[wire.Class]{{Value: *class, Weight: 1}}
	l.Organisations = []load.Weighted[load.Organisation]{{Value: organisation("flooding"), Weight: 1}}
	l.Rate = floodFactor * s.capacity(floodTokens)
	l.Duration = floodDuration
	done := make(chan error, 1)
	go func() {
		var err error
		flooding, err = load.Run(ctx, l, io.Discard)
		done <- err
	}()
	regular, err = load.Run(ctx, regularLoad(o, f), io.Discard)
	if errFlood := <-done; err == nil {
		err = errFlood
	}
	return regular, flooding, err
}

func regularLoad(o Options, f *fleet) load.Options {
	l := o.generations(f.entryURL())
	l.OutputTokens = load.Range{Min: floodTokens, Max: floodTokens}
	l.Classes = regularMix
	l.OnTime = urgentTarget
	var sum float64
	for _, s := range regularMix {
		sum += s.Weight
	}
	l.Rate = sum * f.shape.capacity(floodTokens)
	l.Duration = floodDuration
	return l
}
