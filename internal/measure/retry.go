package measure

import (
	"context"
	"fmt"
	"io"
	"time"

	"heatherway.dev/heatherway/internal/load"
)

func init() { scenarios["retry"] = retry }

const (
	retryRate     = 100
	retryDuration = 8 * time.Second
	retryTokens   = 10
	// retryLossAfter is the time until the availability zone is lost.
	retryLossAfter  = time.Second
	maxAttemptRatio = 1.1
)

// zoneLoss is a way in which all upstreams of an availability zone fail.
type zoneLoss struct {
	name string
	stop func(*engine)
}

var zoneLosses = []zoneLoss{
	{"engines killed, agents refuse", func(e *engine) { e.engine.kill() }},
	{"agents and engines killed", func(e *engine) { e.agent.kill(); e.engine.kill() }},
}

// retry measures the loss of the entry's own availability zone, which it
// prefers, with and without retries.
func retry(ctx context.Context, o Options, r *Result) error {
	r.set("requests", fmt.Sprintf("%d/s of %d tokens for %v; zone-0, one of 3 with 2 engines each and the entry's own, is lost after %v", retryRate, retryTokens, retryDuration, retryLossAfter))
	for _, l := range zoneLosses {
		off, _, err := runZoneLoss(ctx, o, l, "0")
		if err != nil {
			return err
		}
		on, report, err := runZoneLoss(ctx, o, l, "0.1")
		if err != nil {
			return err
		}
		r.addWithBaseline(l.name+": attempts over first attempts", on.ratio, off.ratio, "ratio").atMost(maxAttemptRatio)
		r.addWithBaseline(l.name+": requests finished", on.finished, off.finished, "share")
		r.add(l.name+": wrong, missing or repeated tokens", float64(report.Total.Sum()), "tokens").atMost(0)
	}
	return nil
}

type zoneResult struct{ ratio, finished float64 }

func runZoneLoss(ctx context.Context, o Options, l zoneLoss, budget string) (zoneResult, *load.Report, error) {
	s := shape{Engines: 6, Zones: 3, Slots: 32, Step: floodStep, Defaults: map[string]string{"retry.share": budget}}
	if budget == "0" {
		s.Defaults["retry.attempts"] = "1"
	}
	f, err := newFleet(ctx, o, s)
	if err != nil {
		return zoneResult{}, nil, err
	}
	defer f.stop()
	o.phase(l.name + ", retry share " + budget)
	g := o.generations(f.entryURL())
	g.OutputTokens = load.Range{Min: retryTokens, Max: retryTokens}
	g.Rate, g.Duration, g.Drain = retryRate, retryDuration, 2*time.Second
	timer := time.AfterFunc(retryLossAfter, func() {
		for _, e := range f.engines {
			if e.zone == "zone-0" {
				l.stop(e)
			}
		}
	})
	defer timer.Stop()
	report, err := load.Run(ctx, g, io.Discard)
	if err != nil {
		return zoneResult{}, nil, err
	}
	attempts, err := f.entry.metric(ctx, "entry_attempts_total")
	t := report.Total
	return zoneResult{attempts / float64(t.Requests), share(t.Finished, t.Requests)}, report, err
}
