package measure

import (
	"context"
	"fmt"
	"time"

	"heatherway.dev/heatherway/internal/load"
)

func init() { scenarios["cost"] = cost }

const (
	costStep     = 20 * time.Millisecond
	costDuration = 3 * time.Second
	percent      = 100
)

var (
	costStreams = []int{50, 150, 400}
	costRates   = []float64{50, 150, 400}
)

// cost measures the CPU time of the entry and the agents per token and per
// request, at three loads each.
func cost(ctx context.Context, o Options, r *Result) error {
	f, err := newFleet(ctx, o, shape{Engines: engines, Zones: 1, Slots: latencyStreams, Step: costStep})
	if err != nil {
		return err
	}
	defer f.stop()
	r.set("engines", fmt.Sprintf("%d, step %v, one token a frame", engines, costStep))
	before, err := f.agentCPU()
	if err != nil {
		return err
	}
	sleep(ctx, costDuration)
	after, err := f.agentCPU()
	if err != nil {
		return err
	}
	r.add("agent CPU without requests", (after-before).Seconds()/costDuration.Seconds()/engines*percent, "% of a core")
	// Streams are measured last, since agents continue them after the load ends.
	for _, rate := range costRates {
		l := o.generations(f.entryURL())
		l.OutputTokens = load.Range{Min: 1, Max: 1}
		l.Rate, l.Duration = rate, costDuration
		c, err := f.cost(ctx, l)
		if err != nil {
			return err
		}
		n := float64(c.report.Total.Requests)
		r.add(fmt.Sprintf("entry CPU for each request of one token at %g/s", rate), c.entry.Seconds()*1e6/n, "us")
		r.add(fmt.Sprintf("agent CPU for each request of one token at %g/s", rate), c.agents.Seconds()*1e6/n, "us")
	}
	for _, n := range costStreams {
		l := o.generations(f.entryURL())
		l.OutputTokens = load.Range{Min: 10_000, Max: 10_000}
		l.Concurrency, l.Duration = n, costDuration
		c, err := f.cost(ctx, l)
		if err != nil {
			return err
		}
		tokens := float64(c.report.Total.Tokens)
		r.add(fmt.Sprintf("entry CPU for each token at %d streams", n), c.entry.Seconds()*1e6/tokens, "us")
		r.add(fmt.Sprintf("agent CPU for each token at %d streams", n), c.agents.Seconds()*1e6/c.decoded, "us")
	}
	return nil
}

// costs holds the CPU times that a load used.
type costs struct {
	report        *load.Report
	entry, agents time.Duration
	// decoded counts the tokens that the agents received, including those for
	// callers that have disconnected.
	decoded float64
}

func (f *fleet) cost(ctx context.Context, l load.Options) (costs, error) {
	before, err := f.agentCPU()
	if err != nil {
		return costs{}, err
	}
	decoded, err := f.agentMetric(ctx, "agent_tokens")
	if err != nil {
		return costs{}, err
	}
	report, entry, err := entryCost(ctx, f, l)
	if err != nil {
		return costs{}, err
	}
	after, err := f.agentCPU()
	if err != nil {
		return costs{}, err
	}
	decodedAfter, err := f.agentMetric(ctx, "agent_tokens")
	return costs{report, time.Duration(entry * float64(time.Second)), after - before, decodedAfter - decoded}, err
}

func (f *fleet) agentCPU() (sum time.Duration, err error) {
	for _, e := range f.engines {
		used, err := e.agent.cpu()
		if err != nil {
			return 0, err
		}
		sum += used
	}
	return sum, nil
}
