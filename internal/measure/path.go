package measure

import (
	"context"
	"fmt"
	"io"
	"time"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/load"
)

func init() { scenarios["path"] = path }

const (
	latencyStreams = 200
	pathDuration   = 5 * time.Second
	// pathStep limits 200 streams to 10,000 tokens per second, well below
	// saturation.
	pathStep   = 20 * time.Millisecond
	pathTokens = 50
	engines    = 4

	// pacedStep limits 200 streams to 20,000 tokens per second.
	pacedStep     = 10 * time.Millisecond
	pacedDuration = 5 * time.Second

	saturationStreams  = 400
	saturationStep     = time.Millisecond
	saturationDuration = 6 * time.Second

	addedMedianMS = 1
	addedP99MS    = 5
	tokensPerCore = 100_000
	streamKiB     = 64
	agentMB       = 32
	kib           = 1 << 10
	mib           = 1 << 20
)

// memorySizes holds the numbers of open streams in ascending order.
var memorySizes = []int{500, 2000}

// path measures the overhead of an entry between caller and engine: latency,
// CPU time and memory.
func path(ctx context.Context, o Options, r *Result) error {
	r.set("engines", engines)
	r.set("latency", fmt.Sprintf("%d streams at once on average, Poisson arrivals, %d tokens, step %v, %v", latencyStreams, pathTokens, pathStep, pathDuration))
	r.set("saturation", fmt.Sprintf("%d streams, step %v, %v", saturationStreams, saturationStep, saturationDuration))
	for _, phase := range []scenario{firstToken, paced, throughput, memory} {
		if err := phase(ctx, o, r); err != nil {
			return err
		}
	}
	return nil
}

func (o Options) generations(urls []string) load.Options {
	return load.Options{
		URLs: urls, Model: "letters", Seed: o.Seed, Stream: true, SilenceTimeout: 5 * time.Second,
		Classes:       []load.Weighted[wire.Class]{{Value: wire.Standard, Weight: 1}},
		Organisations: []load.Weighted[load.Organisation]{{Value: load.Organisation{Name: "demo", Key: "demo"}, Weight: 1}},
		PromptChars:   load.Range{Min: 400, Max: 400}, OutputTokens: load.Range{Min: pathTokens, Max: pathTokens},
	}
}

// phase prints the start of a phase to the progress output.
func (o Options) phase(name string) { fmt.Fprintln(o.Progress, "phase:", name) }

// firstToken compares the time to the first token through the entry with that
// of direct requests to the same engines, one after the other.
func firstToken(ctx context.Context, o Options, r *Result) error {
	f, err := newFleet(ctx, o, shape{Engines: engines, Zones: 1, Slots: latencyStreams, Step: pathStep})
	if err != nil {
		return err
	}
	defer f.stop()
	resident, err := f.engines[0].agent.resident()
	if err != nil {
		return err
	}
	r.add("idle agent, resident set", resident/mib, "MiB").atMost(agentMB)
	o.phase("direct, then through the entry")
	direct, err := latency(ctx, o, f.engineURLs(), true)
	if err != nil {
		return err
	}
	through, err := latency(ctx, o, f.entryURL(), false)
	if err != nil {
		return err
	}
	d, t := direct.Total.FirstToken, through.Total.FirstToken
	r.addWithBaseline("first token p50", t.P50, d.P50, "ms")
	r.addWithBaseline("first token p99", t.P99, d.P99, "ms")
	r.add("added to first token p50", t.P50-d.P50, "ms").atMost(addedMedianMS)
	r.add("added to first token p99", t.P99-d.P99, "ms").atMost(addedP99MS)
	r.add("wrong, missing or repeated tokens", float64(through.Total.Sum()), "tokens").atMost(0)
	r.add("requests not finished", float64(through.Total.Requests-through.Total.Finished), "requests").atMost(0)
	return nil
}

func latency(ctx context.Context, o Options, urls []string, direct bool) (*load.Report, error) {
	l := o.generations(urls)
	l.Direct = direct
	l.Rate = latencyStreams / (pathTokens * pathStep.Seconds())
	l.Duration, l.Drain = pathDuration, 5*time.Second
	return load.Run(ctx, l, io.Discard)
}

// throughput saturates the entry.
func throughput(ctx context.Context, o Options, r *Result) error {
	f, err := newFleet(ctx, o, shape{Engines: engines, Zones: 1, Slots: saturationStreams, Step: saturationStep})
	if err != nil {
		return err
	}
	defer f.stop()
	o.phase("saturation")
	l := o.generations(f.entryURL())
	l.OutputTokens = load.Range{Min: 2000, Max: 2000}
	l.Concurrency, l.Duration = saturationStreams, saturationDuration
	report, used, err := entryCost(ctx, f, l)
	if err != nil {
		return err
	}
	tokens := float64(report.Total.Tokens)
	r.add("tokens relayed", tokens/report.Seconds, "tokens/s")
	r.add("cores used by the entry", used/report.Seconds, "cores")
	r.add("tokens relayed for each core used, saturated", tokens/used, "tokens/s/core").atLeast(tokensPerCore)
	return nil
}

// entryCost runs a load and returns the CPU seconds that the entry used.
func entryCost(ctx context.Context, f *fleet, l load.Options) (*load.Report, float64, error) {
	before, err := f.entry.cpu()
	if err != nil {
		return nil, 0, err
	}
	report, err := load.Run(ctx, l, io.Discard)
	if err != nil {
		return nil, 0, err
	}
	after, err := f.entry.cpu()
	return report, (after - before).Seconds(), err
}

// paced measures the cost when each token arrives in a frame of its own. A
// saturated entry avoids this cost, since it reads several frames at once.
func paced(ctx context.Context, o Options, r *Result) error {
	f, err := newFleet(ctx, o, shape{Engines: engines, Zones: 1, Slots: latencyStreams, Step: pacedStep})
	if err != nil {
		return err
	}
	defer f.stop()
	o.phase("one token a frame")
	l := o.generations(f.entryURL())
	l.OutputTokens = load.Range{Min: 10_000, Max: 10_000}
	l.Concurrency, l.Duration = latencyStreams, pacedDuration
	report, used, err := entryCost(ctx, f, l)
	if err != nil {
		return err
	}
	tokens := float64(report.Total.Tokens)
	r.add("tokens relayed, one a frame", tokens/report.Seconds, "tokens/s")
	r.add("tokens relayed for each core used, one a frame", tokens/used, "tokens/s/core").atLeast(tokensPerCore)
	return nil
}

// memory measures the resident set of the entry at several numbers of open
// streams.
func memory(ctx context.Context, o Options, r *Result) error {
	f, err := newFleet(ctx, o, shape{Engines: engines, Zones: 1, Slots: 1000, Step: 500 * time.Millisecond})
	if err != nil {
		return err
	}
	defer f.stop()
	empty, err := f.entry.resident()
	if err != nil {
		return err
	}
	r.add("entry, resident set at 0 streams", empty/mib, "MiB")
	for _, n := range memorySizes {
		o.phase(fmt.Sprint("memory at ", n))
		resident, open, err := residentAt(ctx, o, f, n)
		if err != nil {
			return err
		}
		r.add(fmt.Sprintf("entry, resident set at %d streams", n), resident/mib, "MiB")
		r.add(fmt.Sprintf("entry, KiB for each of %.0f open streams", open), (resident-empty)/kib/open, "KiB").atMost(streamKiB)
	}
	return nil
}

// residentAt returns the resident set of the entry and the number of its open
// requests.
func residentAt(ctx context.Context, o Options, f *fleet, n int) (resident, open float64, err error) {
	l := o.generations(f.entryURL())
	l.OutputTokens = load.Range{Min: 10_000, Max: 10_000}
	l.Concurrency, l.Requests, l.Duration = n, n, 5*time.Second
	done := make(chan error, 1)
	go func() {
		_, err := load.Run(ctx, l, io.Discard)
		done <- err
	}()
	sleep(ctx, 4*time.Second)
	if open, err = f.entry.metric(ctx, "entry_open_requests"); err != nil {
		return 0, 0, err
	}
	if resident, err = f.entry.resident(); err != nil {
		return 0, 0, err
	}
	return resident, open, <-done
}
