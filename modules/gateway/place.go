package gateway

import (
	"time"

	"heatherway.dev/core/dispatch"
	"heatherway.dev/core/routing"
	"heatherway.dev/heatherway/modules/dialect"
	"heatherway.dev/kernel/result"
)

// This file places requests on upstreams: it waits for one a short time, and asks for the grants that
// limited upstreams need.

// dispatchRequest returns the request as the dispatcher sees it.
func (c *callerRequest) dispatchRequest() *dispatch.Request {
	return &dispatch.Request{
		Service: c.service.Name, Route: c.route.Name, Stream: c.route.Kind == routing.Stream,
		PromptTokens: c.req.PromptTokens, OutputTokens: c.outputTokens(), Tried: c.tried,
		Affinity: c.req.PromptKey, ID: c.req.ID, Priority: c.priority, Organisation: c.organisationName(),
		MaxEventGap: c.route.MaxEventGap,
		Continues:   c.responseStarted || c.req.LastEventID != dialect.NoEvent,
	}
}

// organisationName returns the name of the owner of the caller's API key, empty on public
// routes.
func (c *callerRequest) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}

// outputTokens estimates the number of tokens to be generated.
func (c *callerRequest) outputTokens() int {
	if c.req.ExpectedTokens > 0 {
		return min(c.req.ExpectedTokens, max(c.req.MaxTokens, c.req.ExpectedTokens))
	}
	return c.req.MaxTokens
}

const (
	// placementRetryDelay is the delay before the placement is retried when no upstream
	// was available.
	placementRetryDelay = 40 * time.Millisecond
	// startupPlacementWait is how long a request waits for an upstream at a gateway
	// that has just started and knows none of the service.
	startupPlacementWait = 700 * time.Millisecond
)

// placeWithin places the request, and waits for an available upstream for at most
// limit. It waits longer at a gateway that has just started and knows no upstream of
// the service, since a refused caller has few retries. It returns an empty refusal if no
// time is left.
func (c *callerRequest) placeWithin(request *dispatch.Request, limit time.Duration) (dispatch.Choice, *dispatch.Refusal) {
	start := time.Now()
	for {
		if c.noTimeLeft() {
			return dispatch.Choice{}, &dispatch.Refusal{}
		}
		choice, refusal := c.placeWithGrants(request)
		if refusal == nil && c.noTimeLeft() { // the signal came while a grant was awaited
			c.g.owner.post(func(s *state) { s.fleet.End(time.Now(), choice.Ticket) })
			continue
		}
		if refusal == nil {
			return choice, nil
		}
		mayAppear := c.g.follower.startingUp() && (refusal.Known == 0 || refusal.VersionGone)
		if mayAppear {
			limit = max(limit, startupPlacementWait)
		}
		waited := time.Since(start)
		inVain := refusal.VersionGone && !mayAppear || (refusal.AllBackingOff || refusal.AllLimited) && waited+refusal.RetryAfter > limit
		if inVain || waited >= limit || c.ctx.Err() != nil {
			return choice, refusal
		}
		select {
		case <-time.After(placementRetryDelay):
		case <-c.ctx.Done():
		}
	}
}

// placeWithGrants places the request once, and asks the owner of the limits for what the placement
// needs.
func (c *callerRequest) placeWithGrants(request *dispatch.Request) (choice dispatch.Choice, refusal *dispatch.Refusal) {
	for range maxAsks {
		request.WithoutAsking = false
		choice, refusal = c.g.owner.place(request)
		if refusal == nil || len(refusal.Ask) == 0 || c.ctx.Err() != nil {
			return choice, refusal
		}
		c.askForGrant(request, refusal)
		// What has been granted is used before another upstream is asked for.
		request.WithoutAsking = true
		if choice, refusal = c.g.owner.place(request); refusal == nil {
			return choice, nil
		}
	}
	return choice, refusal
}

// noUpstreamError is the error for a request that no upstream can take; the request has
// not run.
func (c *callerRequest) noUpstreamError(r *dispatch.Refusal) error {
	if c.mustLeave() {
		return c.leavingError()
	}
	return result.New(result.NoUpstream, "none of %d upstreams of %s can take the request now, full=%v limited=%v", r.Known, c.service.Name, r.MemoryFull, r.AllLimited).
		After(c.spreadRetryAfter(r.RetryAfter))
}
