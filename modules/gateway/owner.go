package gateway

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"time"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/dispatch"
	"heatherway.dev/core/retry"
	"heatherway.dev/core/slo"
	"heatherway.dev/kernel/logs"
	"heatherway.dev/kernel/recovery"
)

// state is the control state of a gateway. The owner goroutine alone uses it.
type state struct {
	fleet   *dispatch.Fleet
	budget  *retry.Budget
	latency map[string]*retry.LatencyTracker // of lookups, by service
	slo     *slo.Recorder
	crashes *crash.Tracker
	// learned counts the broken runs that others have reported.
	learnedRuns logs.Summary
}

// owner is the goroutine that owns the state. Traffic goroutines hand it short
// functions; queuedTasks bounds those that wait, and senders block beyond it,
// since none of them may be lost.
type stateOwner struct {
	ctx   context.Context
	log   *slog.Logger
	tasks chan func(*state)
	state *state
}

const (
	taskQueueSize = 1024
	// retryShare and retryReserve keep the retries of all gateways together well
	// below the 0.8 of requests and 150 that an upstream service bears in 10 s.
	retryBudgetShare   = 0.5
	retryBudgetReserve = 4
)

func newStateOwner(ctx context.Context, log *slog.Logger, zone string, share float64) *stateOwner {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &stateOwner{ctx: ctx, log: log, tasks: make(chan func(*state), taskQueueSize), state: &state{
		fleet:   dispatch.New(zone, rng),
		budget:  retry.NewBudget(retry.Settings{Share: retryBudgetShare, Reserve: retryBudgetReserve}),
		latency: map[string]*retry.LatencyTracker{},
		crashes: crash.New(),
		slo:     slo.NewRecorder(time.Now(), func(slo.SeriesKey) slo.Objective { return slo.Objective{Share: share} }),
	}}
}

func (o *stateOwner) run() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case f := <-o.tasks:
			o.runTask(f)
		}
	}
}

// do runs one task. A failure of one is no reason to end all requests; it is in the
// log with its stack.
func (o *stateOwner) runTask(f func(*state)) {
	_ = recovery.Run(o.log, "task of the control state", func() { f(o.state) })
}

// tell hands a function over and does not wait for it.
func (o *stateOwner) post(f func(*state)) {
	select {
	case o.tasks <- f:
	case <-o.ctx.Done():
	}
}

// ask hands a function over and waits until it has run. It returns false when
// the gateway ends first.
func (o *stateOwner) call(f func(*state)) bool {
	done := make(chan struct{})
	o.post(func(s *state) { defer close(done); f(s) })
	select {
	case <-done:
		return true
	case <-o.ctx.Done():
		return false
	}
}

// place chooses an upstream; nil means that there is none now.
func (o *stateOwner) place(w *dispatch.Request) (choice dispatch.Choice, refusal *dispatch.Refusal) {
	refusal = &dispatch.Refusal{}
	o.call(func(s *state) { choice, refusal = s.fleet.Place(time.Now(), w) })
	return choice, refusal
}

// choice is a placement that can be logged.
type loggedChoice struct{ dispatch.Choice }

// attrs are the inputs that decided the placement.
func (c loggedChoice) logAttrs() []any {
	return []any{
		"upstream", c.Upstream.ID, "known", c.Explanation.Known, "eligible", c.Explanation.Eligible, "cost_ms", math.Round(c.Explanation.CostMS),
		"running", c.Explanation.Running, "tokens", c.Explanation.Tokens, "report_age_ms", c.Explanation.ReportAge.Milliseconds(),
	}
}
