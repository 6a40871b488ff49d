package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/dispatch"
	"heatherway.dev/core/retry"
	"heatherway.dev/core/routing"
	"heatherway.dev/core/slo"
	"heatherway.dev/heatherway/modules/dialect"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
)

// upstreamResponse is the complete response of an upstream, or the reason why there is
// none.
type upstreamResponse struct {
	choice loggedChoice
	status int
	header http.Header
	body   []byte
	meta   dialect.Response
	// sent is set if the request reached the upstream, or may have.
	sent bool
	err  error
}

// succeeded reports whether the upstream processed the request without a server error.
func (r *upstreamResponse) succeeded() bool {
	return r.err == nil && r.status < http.StatusInternalServerError && !r.meta.NotRun
}

// deliverable reports whether the response may be passed on to the caller.
func (r *upstreamResponse) deliverable() bool { return r.err == nil && !r.meta.NotRun && r.meta.Signed }

// mayHaveRun reports whether the upstream may have run the request.
func (r *upstreamResponse) mayHaveRun() bool { return r.sent && !r.meta.NotRun }

// servePlain serves a request whose response is not a stream.
func (c *callerRequest) servePlain() {
	c.countFirstAttempt()
	if c.route.Kind == routing.Idempotent {
		c.serveIdempotent()
		return
	}
	for {
		choice, refusal := c.placeWithin(c.dispatchRequest(), 0)
		if refusal != nil {
			c.respondError(c.noUpstreamError(refusal))
			return
		}
		response := c.attemptPlain(c.ctx, choice)
		c.markTried(choice.Upstream)
		if response.sent {
			c.sentCount++
		}
		switch {
		case response.deliverable():
			c.writeResponse(response)
			return
		case response.mayHaveRun():
			c.respondError(c.unknownOutcomeError(response))
			return
		case !c.canRetryAfter(response):
			c.respondError(c.notRunError(response))
			return
		}
	}
}

// canRetryAfter reports whether the request may go to another upstream after an
// unsuccessful attempt. An attempt of which nothing was sent costs no retry budget,
// since it puts no load on an upstream.
func (c *callerRequest) canRetryAfter(response *upstreamResponse) bool {
	return c.canTryAnother() && (!response.sent || c.takeRetryBudget())
}

// unknownOutcomeError is the error for a request that may have run.
func (c *callerRequest) unknownOutcomeError(response *upstreamResponse) error {
	if !time.Now().Before(c.deadline) {
		return result.New(result.DeadlineExceeded, "no answer from %s in time", response.choice.Upstream.ID)
	}
	code := result.UpstreamFailed
	for _, limitErr := range []*result.Error{errAnswerTooLarge, errBuffersFull} {
		if errors.Is(response.err, limitErr) {
			code = limitErr.Code
		}
	}
	return result.Wrap(code, response.err, "no whole answer from "+response.choice.Upstream.ID)
}

// notRunError is the error for a request that has certainly not run.
func (c *callerRequest) notRunError(response *upstreamResponse) error {
	if c.mustLeave() {
		return c.leavingError()
	}
	message := "refused with status " + strconv.Itoa(response.status)
	if response.err != nil {
		message = response.err.Error()
	}
	return result.New(result.NoUpstream, "%s: %s", response.choice.Upstream.ID, message).After(c.retryAfter())
}

// refusedRetryAfter is the Retry-After for requests that were refused for lack of room;
// the queue of a full upstream clears within this time.
const refusedRetryAfter = 100 * time.Millisecond

// retryAfter returns the Retry-After for a request that an upstream has refused: the
// time until this gateway could place it again.
func (c *callerRequest) retryAfter() time.Duration {
	retry := refusedRetryAfter
	c.g.owner.call(func(s *state) { retry = max(retry, s.fleet.RetryIn(time.Now(), c.dispatchRequest())) })
	return c.spreadRetryAfter(retry)
}

// spreadRetryAfter spreads the retries of plain requests over time, since many are
// refused together.
func (c *callerRequest) spreadRetryAfter(earliest time.Duration) time.Duration {
	if c.route.Kind == routing.Stream {
		return earliest
	}
	left := time.Until(c.deadline) // the caller's own deadline may be later than the route's timeout
	if c.req.Deadline > 0 {
		left = time.Until(c.started.Add(c.req.Deadline))
	}
	after := earliest
	c.g.owner.call(func(s *state) { after = s.fleet.RetryAfter(time.Now(), c.service.Name, earliest, left) })
	return after
}

// serveIdempotent serves an idempotent request: it retries at another upstream after a
// failure, and hedges with a parallel attempt after a delay.
func (c *callerRequest) serveIdempotent() {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	// The channel has no buffer, since the configuration may allow any number of attempts.
	responses := make(chan *upstreamResponse)
	// best decides the final response if no attempt succeeds: the last one that may be
	// passed on, or else the first after which the request may have run, or else the first.
	var best *upstreamResponse
	start := func() *dispatch.Refusal {
		choice, refusal := c.placeWithin(c.dispatchRequest(), 0)
		if refusal != nil {
			return refusal
		}
		c.markTried(choice.Upstream)
		c.sentCount++
		c.running++
		go func() {
			select {
			case responses <- c.attemptPlain(ctx, choice):
			case <-ctx.Done():
			}
		}()
		return nil
	}
	if refusal := start(); refusal != nil {
		c.respondError(c.noUpstreamError(refusal))
		return
	}
	hedge := time.NewTimer(c.hedgeDelay())
	defer hedge.Stop()
	for c.running > 0 {
		select {
		case <-hedge.C:
			if c.canTryAnother() && c.crashVerdict() == crash.Allowed && c.takeRetryBudget() && start() == nil {
				c.g.metrics.hedges.Inc()
			}
		case response := <-responses:
			c.running--
			c.mayHaveRun = c.mayHaveRun || response.mayHaveRun()
			if response.succeeded() && response.deliverable() {
				c.recordLatency()
				c.writeResponse(response)
				return
			}
			if !response.sent {
				c.sentCount--
			}
			if best == nil || response.deliverable() || response.mayHaveRun() && !best.mayHaveRun() {
				best = response
			}
			if c.crashVerdict() == crash.Allowed && c.canRetryAfter(response) {
				_ = start() // without another upstream, the responses so far decide
			}
		case <-c.ctx.Done():
			c.respondError(result.New(result.DeadlineExceeded, "no answer in time"))
			return
		}
	}
	switch {
	case best.deliverable():
		c.writeResponse(best)
	case best.mayHaveRun():
		c.respondError(c.unknownOutcomeError(best))
	default:
		c.respondError(c.notRunError(best))
	}
}

func (c *callerRequest) hedgeDelay() (delay time.Duration) {
	c.g.owner.call(func(s *state) { delay = s.latency[c.service.Name].HedgeDelay(time.Now(), c.route.Objective) })
	return delay
}

func (c *callerRequest) recordLatency() {
	took, name := time.Since(c.started), c.service.Name
	c.g.owner.post(func(s *state) {
		if s.latency[name] == nil {
			s.latency[name] = &retry.LatencyTracker{}
		}
		s.latency[name].Observe(time.Now(), took)
	})
}

// attemptPlain sends the request to one upstream and reads the whole response.
func (c *callerRequest) attemptPlain(ctx context.Context, choice dispatch.Choice) *upstreamResponse {
	response := &upstreamResponse{choice: loggedChoice{choice}}
	// After a panic it is unknown whether the request was sent.
	if err := recovery.Run(c.g.log, "attempt", func() { c.exchangeWithUpstream(ctx, response) }); err != nil {
		response.err, response.sent = err, true
		c.g.owner.post(func(s *state) { s.fleet.End(time.Now(), choice.Ticket) })
	}
	return response
}

// exchangeWithUpstream sends the request and fills in the response.
func (c *callerRequest) exchangeWithUpstream(ctx context.Context, response *upstreamResponse) {
	choice := response.choice
	u := choice.Upstream
	o := c.upstreamRequest(u, dialect.Forward{LastEventID: dialect.NoEvent})
	x, err := c.g.connections.send(ctx, u, o, c.reservation, c.matchesResponse)
	if err != nil {
		response.err, response.sent = err, !errors.Is(err, errNotSent)
		c.settlePlain(ctx, response)
		return
	}
	response.sent, response.status, response.header = true, x.res.StatusCode, x.res.Header
	response.meta, response.err = c.responseMeta(x.res)
	if response.err == nil {
		response.body, response.err = c.readResponse(x.res)
	}
	switch {
	case response.err != nil:
		x.abandon()
	case response.meta.Encoded:
		response.err = errors.New("the response body has a content encoding")
		x.abandon()
	case !response.meta.Signed && !response.meta.NotRun:
		response.err = errors.New("the response has no signature")
		x.abandon()
	default:
		x.finish()
	}
	c.settlePlain(ctx, response)
}

// settlePlain reports the outcome of an attempt to the fleet state, logs a failure, and
// records a run that broke off.
func (c *callerRequest) settlePlain(ctx context.Context, response *upstreamResponse) {
	now, ticket := time.Now(), response.choice.Ticket
	// An attempt that was cancelled, or found the buffers full, says nothing about the
	// upstream.
	inconclusive := ctx.Err() != nil || errors.Is(response.err, errBuffersFull)
	succeeded, notRun, failed, load := response.succeeded(), response.meta.NotRun, response.err != nil, response.meta.Load
	tooLarge := errors.Is(response.err, errAnswerTooLarge)          // the connection works, only the response is unusable
	misdirected := response.status == http.StatusMisdirectedRequest // another incarnation has taken over the address
	c.g.owner.post(func(s *state) {
		switch {
		case misdirected:
			s.fleet.RecordFailure(now, ticket)
		case failed && !inconclusive && !tooLarge:
			s.fleet.RecordFailure(now, ticket)
		case !failed:
			s.fleet.RecordStarted(now, ticket)
		}
		if load != nil { // before the answer, which confirms or contradicts the figure
			s.fleet.RecordStatedSlowness(now, ticket, load.Slowness)
		}
		if !inconclusive && !notRun {
			s.fleet.RecordAnswer(now, ticket, succeeded)
		}
		if load != nil {
			s.fleet.RecordLoad(now, ticket, load.Running, load.Waiting)
		}
		s.fleet.End(now, ticket)
	})
	if failed && !inconclusive {
		c.g.log.Info("attempt failed", "request", c.req.ID, "upstream", response.choice.Upstream.ID, "address", response.choice.Upstream.Addr,
			"sent", response.sent, "status", response.status, "error", response.err.Error())
	}
	switch {
	case !response.sent || response.err == nil:
	case c.graceIsOver():
	case c.ctx.Err() != nil:
		c.recordBrokenRun(response.choice.Upstream, crash.Abandoned)
	case !inconclusive && isDisconnect(response.err):
		c.recordBrokenRun(response.choice.Upstream, crash.Interrupted)
	}
}

// writeResponse passes an upstream's response to the caller.
func (c *callerRequest) writeResponse(response *upstreamResponse) {
	took, code := time.Since(c.started), slo.OK
	if response.status >= http.StatusInternalServerError {
		code = result.UpstreamFailed
	}
	if response.status < http.StatusBadRequest {
		c.recordCompletion()
	}
	c.g.metrics.answerMS.Observe(took.Milliseconds())
	c.recordSample(took, 0, code)
	c.logEvent("request answered", append(response.choice.logAttrs(), "status", response.status, "priority", c.priority)...)
	c.copyResponseHeader(response.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	c.responseStarted = true
	c.w.WriteHeader(response.status)
	_, err := c.w.Write(response.body)
	if err == nil {
		err = http.NewResponseController(c.w).Flush()
	}
	if err != nil {
		c.logUndelivered(err)
	}
}
