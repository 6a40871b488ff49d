package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/dispatch"
	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/modules/dialect"
	"heatherway.dev/heatherway/modules/registry"
)

const (
	// grantTimeout limits one question to the owner of the limits. It is several round trips
	// between availability zones, and short enough that a request still meets the objective
	// of a plain call elsewhere when the owner is lost.
	grantTimeout = 80 * time.Millisecond
	// maxAsks is how often one placement asks the owner.
	maxAsks = 3
)

var errLimited = errors.New("the upstream has named a limit, which is kept for the requests of callers")

// recordLimit records what the answer to a request that was sent at a time says about the
// limit of an upstream. A limit that cannot be read leaves the last one in force, and so does an
// answer without one to a call of the gateway's own, which names no request.
func (g *Gateway) recordLimit(u registration.Upstream, sentAt time.Time, r dialect.Response) {
	if r.LimitInvalid || r.Limit == nil && r.RequestID == "" {
		return
	}
	now := time.Now()
	g.owner.post(func(s *state) {
		if change, changed := s.fleet.ObserveLimit(sentAt, now, u.ID, u.StartedMS, r.Limit); changed {
			g.logLimit(change)
		}
	})
}

func (g *Gateway) logLimit(c dispatch.LimitChange) {
	g.log.Info("limit of an upstream changed", "upstream", c.ID, "service", c.Service, "address", c.Addr,
		"requests_per_second", c.Rate, "ended", c.Ended, "told", c.Told)
}

// isLimited reports whether an upstream has named a limit.
func (g *Gateway) isLimited(u registration.Upstream) (limited bool) {
	g.owner.call(func(s *state) { limited = s.fleet.Limited(time.Now(), u.ID, u.StartedMS) })
	return limited
}

// askForGrant asks the owner of the limits whether the request may be sent to one of the
// upstreams that a refusal names, and applies the answer.
func (c *callerRequest) askForGrant(request *dispatch.Request, refusal *dispatch.Refusal) {
	args := &registry.GrantArgs{Forward: true}
	args.Gateway, args.Wants = c.g.id, refusal.Ask
	args.Priority, args.Organisation = request.Class().Priority, request.Organisation
	askedAt := time.Now()
	ctx, cancel := context.WithTimeout(c.ctx, grantTimeout)
	defer cancel()
	reply, err := callOwner[registry.GrantReply](ctx, c.g, &c.g.limitOwner, grantTimeout/2, "Grant", args)
	now := time.Now()
	c.g.metrics.grantMS.Observe(now.Sub(askedAt).Milliseconds())
	if err != nil {
		if c.ctx.Err() != nil {
			return
		}
		c.g.metrics.grantFailures.Inc()
		c.g.owner.call(func(s *state) { s.fleet.OwnerFailed(now) })
		c.g.log.Warn("owner of the limits not reached", "request", c.req.ID, "error", err)
		return
	}
	c.g.owner.call(func(s *state) {
		for _, change := range s.fleet.ApplyGrant(askedAt, now, request, reply.Grant) {
			c.g.logLimit(change)
		}
	})
}
