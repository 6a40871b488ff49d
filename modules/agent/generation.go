package agent

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/admission"
	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/result"
)

// Cancellation causes of a generation's run.
var (
	errPreempted = errors.New("preempted by urgent work")
	errReplaced  = errors.New("replaced by a newer attempt")
	errDropped   = errors.New("dropped from retention")
	errCancelled = errors.New("cancelled by the entry")
	errHandOver  = errors.New("handed over at shutdown")
)

// expectedTokens is the cost that fair queueing assumes for a generation until it
// has ended and its cost is known.
const expectedTokens = 256

// generation is a generation whose output the agent holds. The fields above out
// are accessed by the owner's goroutine only.
type generation struct {
	id         wire.ID
	attempt    uint32
	detachedAt time.Time // zero while a reader is attached
	cancel     context.CancelCauseFunc

	out      *output
	request  *wire.GenerateRequest
	received time.Time
	parts    partEvidence
}

// openEvent starts a new attempt or attaches a reader to an existing one.
type openEvent struct {
	req   *wire.GenerateRequest
	reply chan openResult
}

type openResult struct {
	gen    *generation
	reader *reader
	err    error
}

func (e openEvent) apply(o *owner, now time.Time) {
	var r openResult
	if e.req.Attach {
		r = o.attach(now, e.req)
	} else {
		r = o.open(now, e.req)
	}
	e.reply <- r
}

func (o *owner) attach(now time.Time, req *wire.GenerateRequest) openResult {
	o.noteRevision(now, req.Revision)
	g := o.generations[req.Generation]
	if g == nil {
		return openResult{err: result.New(result.GenerationNotHeld, "generation %s", req.Generation)}
	}
	r, err := g.out.attach(req.Offset)
	if err != nil {
		return openResult{err: err}
	}
	g.detachedAt = time.Time{}
	return openResult{gen: g, reader: r}
}

func (o *owner) open(now time.Time, req *wire.GenerateRequest) openResult {
	older := o.generations[req.Generation]
	if older != nil && older.attempt >= req.Attempt {
		return openResult{err: result.New(result.Superseded, "attempt %d of the generation is known", older.attempt).
			WithRan(result.NotRun)}
	}
	if err := o.checkAccepting(now, req.Revision, req.Fingerprint, req.Permit); err != nil {
		return openResult{err: err}
	}
	g := &generation{
		id: req.Generation, attempt: req.Attempt, request: req, received: now,
		out: newOutput(req.Attempt, req.PrefixText, req.PrefixTokens),
	}
	if older != nil {
		g.out.inheritBoundaries(older.out)
		o.drop(older, errReplaced)
	}
	r, err := g.out.attach(req.PrefixTokens)
	if err != nil {
		return openResult{err: err}
	}
	o.generations[g.id] = g
	o.startRun(now, g)
	return openResult{gen: g, reader: r}
}

// startRun queues the generation and starts the goroutine that runs it.
func (o *owner) startRun(now time.Time, g *generation) {
	ctx, cancel := context.WithCancelCause(o.a.baseCtx)
	g.cancel = cancel
	t := &task{fingerprint: g.request.Fingerprint, permit: g.request.Permit, generation: g, admissionResult: make(chan admissionResult, 1)}
	run := &run{a: o.a, g: g, t: t, ctx: ctx}
	t.preempt = run.preempt
	o.a.activeWork.Add(1)
	go run.loop()
	o.enqueue(now, t, admission.Request{
		Class: g.request.Class, Organisation: g.request.Organisation, Weight: g.request.Weight,
		Cost: expectedTokens, StartBy: startBy(now, g.request.FirstTokenMS, g.request.DeadlineMS), Preemptible: true,
	})
}

// startBy returns the latest time at which a request may start: the earliest of
// the given limits in milliseconds from now. A limit of zero is not set.
func startBy(now time.Time, limits ...int64) time.Time {
	var at time.Time
	for _, ms := range limits {
		limit := now.Add(time.Duration(ms) * time.Millisecond)
		if ms > 0 && (at.IsZero() || limit.Before(at)) {
			at = limit
		}
	}
	return at
}

// drop removes a generation and cancels its run. If a newer attempt replaces it,
// its reader ends too.
func (o *owner) drop(g *generation, cause error) {
	g.cancel(cause)
	if o.generations[g.id] == g {
		delete(o.generations, g.id)
	}
	if cause == errReplaced {
		g.out.supersede()
	}
}

// detachEvent reports that a stream has ended.
type detachEvent struct {
	g *generation
	r *reader
}

func (e detachEvent) apply(o *owner, now time.Time) {
	if e.g.out.detach(e.r) {
		e.g.detachedAt = now
	}
}

// sweep drops generations that have been without a reader for longer than
// Retention.Time and then, while the retained output exceeds Retention.Bytes, the
// ones that have been without a reader longest.
func (o *owner) sweep(now time.Time) {
	if now.Before(o.nextSweep) {
		return
	}
	o.nextSweep = now.Add(sweepInterval)
	total := 0
	for _, g := range o.generations {
		if g.detachedAt.IsZero() {
			continue
		}
		if now.Sub(g.detachedAt) > o.a.Retention.Time {
			o.drop(g, errDropped)
			continue
		}
		total += g.out.size()
	}
	for total > o.a.Retention.Bytes {
		g := o.oldestDetached()
		if g == nil {
			break
		}
		total -= g.out.size()
		o.drop(g, errDropped)
	}
	o.a.metrics.retained.Set(int64(total))
}

func (o *owner) oldestDetached() *generation {
	var oldest *generation
	for _, g := range o.generations {
		if !g.detachedAt.IsZero() && (oldest == nil || g.detachedAt.Before(oldest.detachedAt)) {
			oldest = g
		}
	}
	return oldest
}

// cancelEvent cancels the attempts of a generation up to and including attempt.
type cancelEvent struct {
	id      wire.ID
	attempt uint32
	reply   chan bool
}

// apply stops the run and retains its output. If the entry that cancelled it fails
// before the caller has received an event of the next attempt, the caller resumes
// with an event id of this agent.
func (e cancelEvent) apply(o *owner, now time.Time) {
	g := o.generations[e.id]
	if g != nil && g.attempt <= e.attempt {
		g.cancel(errCancelled)
		if g.detachedAt.IsZero() {
			g.detachedAt = now
		}
	}
	e.reply <- g != nil
}

// holdsEvent asks whether the agent holds a generation.
type holdsEvent struct {
	id    wire.ID
	reply chan bool
}

func (e holdsEvent) apply(o *owner, _ time.Time) { e.reply <- o.generations[e.id] != nil }

// handOverEvent cancels every run, so that the entries resume them at other agents.
type handOverEvent struct{}

func (handOverEvent) apply(o *owner, _ time.Time) {
	for _, g := range o.generations {
		g.cancel(errHandOver)
	}
}

// preemptedEvent returns a preempted task to the queue once its run has stopped.
type preemptedEvent struct {
	task   *task
	tokens float64
}

func (e preemptedEvent) apply(o *owner, now time.Time) {
	e.task.running = false
	o.decide(now, o.queue.Preempted(now, e.task.id, e.tokens))
	o.dirty = true
}

func (g *generation) job() *adapter.Job {
	text, tokens := g.out.content()
	return &adapter.Job{
		Kind: g.request.Kind, Class: g.request.Class, Body: g.request.Body,
		PrefixText: text, PrefixTokens: tokens,
	}
}
