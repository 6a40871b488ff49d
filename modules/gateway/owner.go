package gateway

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/dispatch"
	"heatherway.dev/core/origin"
	"heatherway.dev/core/retry"
	"heatherway.dev/core/rollout"
	"heatherway.dev/core/slo"
	"heatherway.dev/kernel/logs"
	"heatherway.dev/kernel/recovery"
)

// state is the mutable state for placement, retries and accounting. Only the owner
// goroutine uses it.
type state struct {
	fleet   *dispatch.Fleet
	budget  *retry.Budget
	latency map[string]*retry.LatencyTracker // of idempotent requests, by service
	slo     *slo.Recorder
	crashes *crash.Tracker
	origins *origin.Cache
	// rollouts is nil if they are not enabled.
	rollouts *rollout.Gateway
	// receivedRunsSummary summarises the broken runs reported by other gateways, for the log.
	receivedRunsSummary logs.Summary
}

// stateOwner runs the goroutine that owns the state. Request goroutines send it short
// functions. The queue holds taskQueueSize of them; senders block when it is full,
// since none may be dropped.
type stateOwner struct {
	ctx   context.Context
	log   *slog.Logger
	tasks chan func(*state)
	state *state
}

const (
	taskQueueSize = 1024
	// retryBudgetShare and retryBudgetReserve keep the retries of all gateways together
	// well below what an upstream service tolerates in 10 s: retries for 0.8 of its
	// requests, plus 150.
	retryBudgetShare   = 0.5
	retryBudgetReserve = 4
)

func newStateOwner(ctx context.Context, log *slog.Logger, zone string, objectiveShare float64) *stateOwner {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &stateOwner{ctx: ctx, log: log, tasks: make(chan func(*state), taskQueueSize), state: &state{
		fleet:   dispatch.New(zone, rng),
		budget:  retry.NewBudget(retry.Settings{Share: retryBudgetShare, Reserve: retryBudgetReserve}),
		latency: map[string]*retry.LatencyTracker{},
		crashes: crash.New(),
		origins: origin.NewCache(),
		slo:     slo.NewRecorder(time.Now(), func(slo.SeriesKey) slo.Objective { return slo.Objective{Share: objectiveShare} }),
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

// runTask runs one task. A panic in a task must not end all requests; it is logged with
// its stack.
func (o *stateOwner) runTask(f func(*state)) {
	_ = recovery.Run(o.log, "task of the gateway state", func() { f(o.state) })
}

// post queues a function and does not wait for it to run.
func (o *stateOwner) post(f func(*state)) {
	select {
	case o.tasks <- f:
	case <-o.ctx.Done():
	}
}

// call queues a function and waits until it has run. It returns false if the gateway
// stops before the function has started; the function then never runs, so that the caller
// may use the variables that it would have written.
func (o *stateOwner) call(f func(*state)) bool {
	var claimed atomic.Bool // by the owner to run the function, or by the caller to give up
	done := make(chan struct{})
	o.post(func(s *state) {
		if claimed.Swap(true) {
			return
		}
		defer close(done)
		f(s)
	})
	select {
	case <-done:
		return true
	case <-o.ctx.Done():
	}
	if !claimed.Swap(true) {
		return false
	}
	<-done // the owner completes a function that it has started
	return true
}

// place selects an upstream. The refusal is nil when the request was placed.
func (o *stateOwner) place(request *dispatch.Request) (choice dispatch.Choice, refusal *dispatch.Refusal) {
	refusal = &dispatch.Refusal{}
	o.call(func(s *state) { choice, refusal = s.fleet.Place(time.Now(), request) })
	return choice, refusal
}

// loggedChoice is a placement with its log fields.
type loggedChoice struct{ dispatch.Choice }

// logAttrs returns the inputs of the placement as log fields.
func (c loggedChoice) logAttrs() []any {
	return []any{
		"upstream", c.Upstream.ID, "upstream_version", c.Upstream.Version, "known", c.Explanation.Known, "eligible", c.Explanation.Eligible, "cost_ms", math.Round(c.Explanation.CostMS),
		"running", c.Explanation.Running, "tokens", c.Explanation.Tokens, "report_age_ms", c.Explanation.ReportAge.Milliseconds(),
	}
}
