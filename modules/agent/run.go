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

// run is the goroutine of one generation: it waits for a slot, runs the
// generation on the engine, and goes back to the queue when preempted.
type run struct {
	a   *Agent
	g   *generation
	t   *task
	ctx context.Context
	// passed is set once a suspect's probation is over.
	passed bool

	mu   sync.Mutex
	stop context.CancelCauseFunc // of the current run on the engine
}

// preempt stops the current run on the engine. The owner calls it.
func (r *run) preempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stop != nil {
		r.stop(errPreempted)
	}
}

func (r *run) loop() {
	defer r.a.work.Done()
	ctx, cancel := r.deadline()
	defer cancel()
	for {
		if err := r.wait(ctx); err != nil {
			r.fail(err)
			return
		}
		tokens, err := r.once(ctx)
		if errors.Is(err, errPreempted) {
			r.a.post(preemptedEvent{r.t, float64(tokens)})
			continue
		}
		r.end(err)
		r.a.post(taskDone{r.t, float64(tokens)})
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

// wait waits for a slot.
func (r *run) wait(ctx context.Context) error {
	select {
	case v := <-r.t.verdict:
		if v != nil {
			return v
		}
		r.a.metrics.wait.Observe(time.Since(r.g.received).Milliseconds())
		return nil
	case <-ctx.Done():
		r.a.post(taskCancelled{r.t})
		return r.cause(ctx)
	}
}

// once runs the generation on the engine until it ends or is stopped.
func (r *run) once(ctx context.Context) (tokens uint64, err error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	r.mu.Lock()
	r.stop = stop
	r.mu.Unlock()
	r.g.out.start()
	err = r.generate(ctx, &tokens)
	if err != nil && ctx.Err() != nil {
		err = r.cause(ctx)
	}
	return tokens, err
}

func (r *run) generate(ctx context.Context, tokens *uint64) error {
	engine, ok := r.a.upstream.(adapter.Generator)
	if !ok {
		return result.New(result.ModelUnknown, "the upstream does not generate")
	}
	finish := ""
	err := engine.Generate(ctx, r.g.job(), func(ev adapter.Event) error {
		*tokens += uint64(ev.Tokens)
		r.passProbation(*tokens)
		r.a.metrics.tokens.Add(int64(ev.Tokens))
		if ev.Finish != "" {
			finish = ev.Finish
		}
		return r.g.out.append(ctx, ev)
	})
	if err == nil {
		r.g.out.finish(wire.Frame{Kind: wire.FrameEnd, Finish: finish})
	}
	return err
}

// passProbation lets the next suspect run once this one has proved harmless.
func (r *run) passProbation(tokens uint64) {
	if !r.t.suspect || r.passed || tokens < wire.ProbationTokens {
		return
	}
	r.passed = true
	r.a.post(probationPassed{r.t})
}

// cause returns why a context has ended as an error for the entry.
func (r *run) cause(ctx context.Context) error {
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

// end sets the last frame after a run; a run that ended well has set it.
func (r *run) end(err error) {
	if err != nil {
		r.fail(err)
	}
}

func (r *run) fail(err error) { r.g.out.finish(failFrame(err)) }

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
