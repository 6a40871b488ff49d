package agent

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/result"
)

// run executes one generation in a goroutine of its own: it waits for a slot, runs
// the generation on the engine, and returns to the queue when preempted.
type run struct {
	a   *Agent
	g   *generation
	t   *task
	ctx context.Context
	// probationPassed is set once a suspect has passed its probation.
	probationPassed bool
	mayHaveRun      bool // the engine may have received the request
	// claimedAttempt is the attempt that holds the key; empty without a claim.
	claimedAttempt wire.ID

	mu         sync.Mutex
	stopEngine context.CancelCauseFunc // cancels the current request to the engine
	// preempted stays set until the run has stopped, since the preemption may come
	// while there is no request to cancel.
	preempted bool
}

// preempt cancels the current request to the engine. The owner calls it.
func (r *run) preempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.preempted = true
	if r.stopEngine != nil {
		r.stopEngine(errPreempted)
	}
}

func (r *run) loop() {
	defer r.a.activeWork.Add(-1)
	ctx, cancel := r.deadline()
	defer cancel()
	for {
		if err := r.waitForSlot(ctx); err != nil {
			r.fail(err)
			return
		}
		if err := r.a.checkParts(r.g); err != nil {
			r.fail(err)
			r.a.post(taskDoneEvent{r.t, 0})
			return
		}
		epoch := r.a.snapshot.Load().crashes
		tokens, err := r.runInSlot(ctx)
		if errors.Is(err, errPreempted) {
			r.mu.Lock()
			r.preempted = false
			r.mu.Unlock()
			r.a.post(preemptedEvent{r.t, float64(tokens)})
			continue
		}
		if err != nil {
			r.a.detectCrash(r.t, epoch, err)
			r.fail(err)
		}
		r.a.post(taskDoneEvent{r.t, float64(tokens)})
		return
	}
}

func (r *run) deadline() (context.Context, context.CancelFunc) {
	ms := r.g.request.DeadlineMS
	if ms <= 0 {
		return context.WithCancel(r.ctx)
	}
	return context.WithDeadline(r.ctx, r.g.received.Add(time.Duration(ms)*time.Millisecond))
}

func (r *run) waitForSlot(ctx context.Context) error {
	select {
	case v := <-r.t.admissionResult:
		if v != nil {
			return v
		}
		r.a.metrics.wait.Observe(time.Since(r.g.received).Milliseconds())
		return nil
	case <-ctx.Done():
		r.a.post(taskCancelledEvent{r.t})
		return r.contextError(ctx)
	}
}

// runInSlot runs the generation in its slot until it ends or is stopped. If the
// stream goes silent while the engine is healthy, it repeats the request on a new
// connection and continues after the tokens received so far.
func (r *run) runInSlot(ctx context.Context) (tokens uint64, err error) {
	engine, ok := r.a.upstream.(adapter.Generator)
	if !ok {
		return 0, result.New(result.ModelUnknown, "the upstream does not generate")
	}
	if done, err := r.claimKey(ctx); done || err != nil {
		return 0, err
	}
	r.g.out.start()
	for repeated := 0; ; repeated++ {
		err = r.attempt(ctx, engine, prefillTimeout(len(r.g.request.Body)+len(r.g.request.PrefixText), repeated), &tokens)
		if !errors.Is(err, errSilent) {
			return tokens, err
		}
		if r.a.backingOff() {
			return tokens, errBackoff()
		}
		r.a.metrics.resumed.Inc()
		r.a.log.Warn("the engine's stream went silent; repeating the request on a new connection", "generation", r.g.id)
	}
}

// attempt makes one request to the engine and watches its progress.
func (r *run) attempt(ctx context.Context, engine adapter.Generator, prefill time.Duration, tokens *uint64) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	if !r.setStop(stop) {
		return errPreempted
	}
	wd := newWatchdog(r.a.probe, prefill)
	go wd.run(ctx, stop)
	err := r.generate(ctx, engine, wd, tokens)
	if err != nil && ctx.Err() != nil {
		err = r.contextError(ctx)
	}
	r.mayHaveRun = r.mayHaveRun || !result.Is(err, result.UpstreamNotReachable) && !result.Is(err, result.QueueFull)
	if errors.Is(err, errStalled) {
		r.a.metrics.stalled.Inc()
		r.a.setUp(false)
		return result.New(result.UpstreamStalled, "no output and no health for %v", silenceTimeout)
	}
	return err
}

// setStop registers the function that cancels the request to the engine. It
// returns false if the run has been preempted already.
func (r *run) setStop(stop context.CancelCauseFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopEngine = stop
	return !r.preempted
}

func (r *run) generate(ctx context.Context, engine adapter.Generator, wd *watchdog, tokens *uint64) error {
	finish := ""
	r.g.parts.begin()
	err := engine.Generate(ctx, r.g.job(), func(ev adapter.Event) error {
		wd.blockedByReader.Store(true)
		defer wd.blockedByReader.Store(false)
		if ev.HasOutput() {
			defer wd.recordProgress()
		}
		wd.decoding.Store(wd.decoding.Load() || ev.Tokens > 0)
		*tokens += uint64(ev.Tokens)
		r.passProbation(*tokens)
		if r.g.parts.produced(time.Now(), ev.Tokens) {
			r.a.proveParts(r.g)
		}
		r.a.metrics.tokens.Add(int64(ev.Tokens))
		if ev.Finish != "" {
			finish = ev.Finish
		}
		return r.g.out.append(ctx, ev)
	})
	if err == nil {
		if r.g.parts.completed(time.Now()) {
			r.a.proveParts(r.g)
		}
		r.g.out.finish(wire.Frame{Kind: wire.FrameEnd, Finish: finish})
		r.storeText(finish)
	}
	return err
}

// passProbation ends the probation of a suspect that has produced
// wire.ProbationTokens, so that the next suspect can run.
func (r *run) passProbation(tokens uint64) {
	if !r.t.suspect() || r.probationPassed || tokens < wire.ProbationTokens {
		return
	}
	r.probationPassed = true
	r.a.post(probationPassedEvent{r.t})
}

// contextError converts the cause of an ended context into an error for the entry.
func (r *run) contextError(ctx context.Context) error {
	err := context.Cause(ctx)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return result.New(result.DeadlineExceeded, "the deadline of the request has passed")
	case errors.Is(err, errHandOver), errors.Is(err, context.Canceled):
		return result.New(result.Leaving, "the agent stops; resume elsewhere").WithRan(result.DidRun)
	default:
		return err
	}
}

func (r *run) fail(err error) {
	f := failFrame(err)
	if r.mayHaveRun && f.Ran == result.NotRun {
		f.Ran = result.DidRun
	}
	r.g.out.finish(f)
}

func failFrame(err error) wire.Frame {
	var e *result.Error
	switch {
	case errors.Is(err, errReplaced):
		e = result.New(result.Superseded, "a newer attempt runs")
	case errors.Is(err, errCancelled):
		e = result.New(result.UpstreamFailed, "the attempt was cancelled")
	case errors.Is(err, errDropped):
		e = result.New(result.GenerationNotHeld, "dropped").WithRan(result.DidRun)
	default:
		e = result.From(err)
	}
	return wire.Frame{Kind: wire.FrameFail, Code: e.Code, Ran: e.Ran, Finish: e.Message, RetryMS: uint32(e.RetryAfter.Milliseconds())}
}
