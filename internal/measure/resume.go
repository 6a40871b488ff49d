package measure

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"syscall"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"heatherway.dev/heatherway/internal/load"
)

func init() { scenarios["resume"] = resume }

const (
	resumeStreams = 50
	resumeTokens  = 200
	resumeStep    = 10 * time.Millisecond
	resumePrefill = 10 * time.Microsecond
	// resumeRounds is how often an engine is stopped in each way.
	resumeRounds = 4
	// lossAfter is the time until the engine is stopped; every stream has started
	// by then.
	lossAfter = 700 * time.Millisecond

	resetP99MS   = 250
	silenceP99MS = 1500
	// maxGapMS is the upper end of the histogram.
	maxGapMS = 60_000
)

// loss is a way to stop one engine and to bring it back.
type loss struct {
	name      string
	targetP99 float64
	stop      func(*process)
	restore   func(*fleet, *process) error
}

var losses = []loss{
	{"SIGKILL", resetP99MS, (*process).kill, func(f *fleet, p *process) error { return p.start(f.binary) }},
	{"SIGSTOP", silenceP99MS,
		func(p *process) { p.signal(syscall.SIGSTOP) },
		func(_ *fleet, p *process) error { p.signal(syscall.SIGCONT); return nil }},
}

// resume measures the gaps in running streams when their engine stops.
func resume(ctx context.Context, o Options, r *Result) error {
	s := shape{Engines: engines, Zones: 2, Slots: resumeStreams, Step: resumeStep, PrefillPerToken: resumePrefill}
	f, err := newFleet(ctx, o, s)
	if err != nil {
		return err
	}
	defer f.stop()
	r.set("engines", fmt.Sprintf("%d with %d slots, step %v, prefill %v a token", engines, s.Slots, s.Step, s.PrefillPerToken))
	r.set("streams", fmt.Sprintf("%d of %d tokens, prompt 400 characters (100 tokens)", resumeStreams, resumeTokens))
	r.set("rounds", fmt.Sprintf("%d, one engine lost in each after %v", resumeRounds, lossAfter))
	baseline, err := runRound(ctx, o, f, nil, 0)
	if err != nil {
		return err
	}
	for _, l := range losses {
		if err := runLosses(ctx, o, f, r, l, baseline); err != nil {
			return err
		}
		o.Seed += resumeRounds // gives prompts that no engine has cached
	}
	return nil
}

// lossStats sums up the rounds with one kind of loss.
type lossStats struct {
	affected *hdr.Histogram // longest gaps of resumed streams in ms
	all      []time.Duration
	resumes  float64
	delivered, decoded, prefilled,
	wrong, unfinished float64
}

func (t *lossStats) add(o *lossStats) {
	t.affected.Merge(o.affected)
	t.all = append(t.all, o.all...)
	t.resumes += o.resumes
	t.delivered += o.delivered
	t.decoded += o.decoded
	t.prefilled += o.prefilled
	t.wrong += o.wrong
	t.unfinished += o.unfinished
}

func newLossStats() *lossStats { return &lossStats{affected: hdr.New(1, maxGapMS, 3)} }

func runLosses(ctx context.Context, o Options, f *fleet, r *Result, l loss, baseline *lossStats) error {
	sum := newLossStats()
	for i := range resumeRounds {
		o.phase(fmt.Sprint(l.name, " ", i+1))
		o.Seed++
		one, err := runRound(ctx, o, f, &l, i%engines)
		if err != nil {
			return err
		}
		sum.add(one)
	}
	streams := float64(resumeStreams * resumeRounds)
	r.add(l.name+": streams resumed of "+fmt.Sprint(streams), sum.resumes, "attempts")
	slowest := float64(slices.Max(baseline.all).Milliseconds())
	for _, q := range []float64{50, 90} {
		r.addWithBaseline(fmt.Sprintf("%s: gap of resumed streams p%g", l.name, q), float64(sum.affected.ValueAtPercentile(q)), slowest, "ms")
	}
	r.addWithBaseline(l.name+": gap of resumed streams p99", float64(sum.affected.ValueAtPercentile(99)), slowest, "ms").atMost(l.targetP99)
	r.add(l.name+": gap of resumed streams max", float64(sum.affected.Max()), "ms")
	r.addWithBaseline(l.name+": tokens that agents received and callers did not", sum.decoded-sum.delivered, baseline.decoded-baseline.delivered, "tokens")
	r.add(l.name+": prefill tokens of resumes, each", sum.prefilled/max(sum.resumes, 1), "tokens")
	r.add(l.name+": wrong, missing or repeated tokens", sum.wrong, "tokens").atMost(0)
	r.add(l.name+": streams not finished", sum.unfinished, "streams").atMost(0)
	return nil
}

// runRound runs the streams once and stops an engine, unless l is nil.
func runRound(ctx context.Context, o Options, f *fleet, l *loss, victim int) (*lossStats, error) {
	t := newLossStats()
	before, err := f.counts(ctx)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	g := o.generations(f.entryURL())
	g.OutputTokens = load.Range{Min: resumeTokens, Max: resumeTokens}
	g.Concurrency, g.Requests = resumeStreams, resumeStreams
	g.Drain = 10 * time.Second
	g.OnDone = func(one load.Timing) {
		if len(one.Gaps) == 0 {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		t.all = append(t.all, slices.Max(one.Gaps))
	}
	done := make(chan error, 1)
	var report *load.Report
	go func() {
		var err error
		report, err = load.Run(ctx, g, io.Discard)
		done <- err
	}()
	prefillBefore, err := t.stopEngine(ctx, f, l, victim)
	if err != nil {
		return nil, err
	}
	if err := <-done; err != nil {
		return nil, err
	}
	after, err := f.counts(ctx)
	if err != nil {
		return nil, err
	}
	t.finish(report, before, after)
	if l == nil {
		return t, nil
	}
	prefill, err := f.prefilled(ctx, victim)
	if err != nil {
		return nil, err
	}
	t.prefilled = prefill - prefillBefore
	if err := l.restore(f, f.engines[victim].engine); err != nil {
		return nil, err
	}
	sleep(ctx, settleTime)
	return t, ctx.Err()
}

// stopEngine stops the engine while the streams run.
func (t *lossStats) stopEngine(ctx context.Context, f *fleet, l *loss, victim int) (prefill float64, err error) {
	if l == nil {
		return 0, nil
	}
	sleep(ctx, lossAfter)
	prefill, err = f.prefilled(ctx, victim)
	l.stop(f.engines[victim].engine)
	return prefill, err
}

// finish computes the figures of the round. It takes the streams with the
// longest gaps as those that were resumed.
func (t *lossStats) finish(r *load.Report, before, after counts) {
	t.resumes = after.resumes - before.resumes
	t.decoded = after.decoded - before.decoded
	t.delivered = float64(r.Total.Tokens)
	t.wrong = float64(r.Total.Sum())
	t.unfinished = float64(r.Total.Requests - r.Total.Finished)
	slices.Sort(t.all)
	n := min(int(t.resumes), len(t.all))
	for _, gap := range t.all[len(t.all)-n:] {
		_ = t.affected.RecordValue(min(max(gap.Milliseconds(), 1), maxGapMS)) // can't fail, since the value is in the range
	}
}

// counts holds cumulative metrics of the fleet.
type counts struct{ resumes, decoded float64 }

func (f *fleet) counts(ctx context.Context) (c counts, err error) {
	if c.resumes, err = f.entry.metric(ctx, "entry_resumes_total"); err != nil {
		return c, err
	}
	c.decoded, err = f.agentMetric(ctx, "agent_tokens")
	return c, err
}

// prefilled returns the sum of the prefill tokens of all engines but one.
func (f *fleet) prefilled(ctx context.Context, without int) (sum float64, err error) {
	for i, e := range f.engines {
		if i == without {
			continue
		}
		v, err := e.engine.metric(ctx, "standin_engine_prefill_tokens")
		if err != nil {
			return 0, err
		}
		sum += v
	}
	return sum, nil
}
