package entry

import (
	"context"
	"time"

	"heatherway.dev/core/config"
	"heatherway.dev/core/limit"
	"heatherway.dev/core/retry"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// leasePollInterval is how often a request that waits for a lease is checked
// again.
const leasePollInterval = 20 * time.Millisecond

// admitRequest asks the owner whether an organisation may use an amount of its
// rate limit. recheck is set when the request has been checked before.
type admitRequest struct {
	organisation string
	limit        limit.Limit
	cost         limit.Amount
	recheck      bool
	reply        chan rateDecision
}

// rateDecision is the owner's answer to an admitRequest. retryAfter already
// includes jitter.
type rateDecision struct {
	limit.Decision
	retryAfter time.Duration
}

func (a admitRequest) apply(o *owner, now time.Time) {
	decide := o.limits.Admit
	if a.recheck {
		decide = o.limits.Recheck
	}
	decision := decide(now, a.organisation, a.limit, a.cost)
	if decision.AwaitLease {
		o.requestLeases(now)
	}
	a.reply <- rateDecision{decision, retry.RetryAfter(decision.RetryAfter, o.rng)}
}

// outputCharge charges an amount that was not known at admission.
type outputCharge struct {
	organisation string
	limit        limit.Limit
	amount       limit.Amount
}

func (c outputCharge) apply(o *owner, now time.Time) {
	o.limits.Charge(now, c.organisation, c.limit, c.amount)
}

// leaseGrant is a lease granted by the control instance that owns the limit.
type leaseGrant struct{ grant limit.Grant }

func (g leaseGrant) apply(o *owner, now time.Time) { o.limits.Apply(now, g.grant) }

// requestLeases sends the lease requests that are due to the control instances
// that own the limits. A later call repeats a request that was lost.
func (o *owner) requestLeases(now time.Time) {
	for _, a := range o.limits.LeaseRequests(now) {
		client := o.module.pool.client(limit.OwnerOf(a.Organisation, o.module.Control))
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), limit.LeaseRequestTimeout)
			defer cancel()
			var grant limit.Grant
			if err := client.Call(ctx, wire.ControlService+".Lease", &a, &grant); err != nil {
				o.module.metrics.leaseFailures.Inc()
				return
			}
			o.send(leaseGrant{grant})
		}()
	}
}

// rateLimit returns the rate limit of the request's organisation.
func (r *request) rateLimit() limit.Limit {
	scope := config.Scope{Organisation: r.organisation}
	doc := r.snap.config
	return limit.NewLimit(doc.Float("organisation.rate", scope, r.startedAt), doc.Float("organisation.requests", scope, r.startedAt), doc.RateLimitedOrganisations())
}

// charsPerToken is the number of bytes per token that estimates the prompt
// tokens of a body before an engine has counted them.
const charsPerToken = 4

// admitRate applies the organisation's rate limit. A request that a lease could
// admit waits for one round trip to the control instance that owns the limit.
func (m *Module) admitRate(ctx context.Context, r *request, size int) *result.Error {
	rate := r.rateLimit()
	if rate.Unlimited() {
		return nil
	}
	admission := admitRequest{organisation: r.organisation, limit: rate, cost: limit.Amount{Tokens: float64(size / charsPerToken), Requests: 1}}
	deadline := time.Now().Add(limit.LeaseRequestTimeout)
	for {
		decision, ok := m.checkRate(ctx, admission)
		if ok && decision.Admitted {
			return nil
		}
		if !ok || !decision.AwaitLease || !time.Now().Before(deadline) {
			return result.New(result.RateLimited, "the organisation has used up its rate").After(decision.retryAfter)
		}
		admission.recheck = true
		sleep(ctx, leasePollInterval)
	}
}

// checkRate asks the owner for a decision. It returns false if ctx ends first.
func (m *Module) checkRate(ctx context.Context, admission admitRequest) (rateDecision, bool) {
	admission.reply = make(chan rateDecision, 1)
	return query(ctx, m.owner, admission, admission.reply)
}
