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

// leasePollInterval is how often a request that is held for a lease asks again.
const leasePollInterval = 20 * time.Millisecond

// admitRequest asks whether an organisation may use an amount of work.
type admitRequest struct {
	organisation string
	limit        limit.Limit
	cost         limit.Amount
	recheck      bool
	reply        chan rateDecision
}

// rateDecision is the owner's answer; retryAfter already holds its jitter.
type rateDecision struct {
	limit.Decision
	retryAfter time.Duration
}

func (a admitRequest) apply(o *owner, now time.Time) {
	decide := o.limits.Admit
	if a.recheck {
		decide = o.limits.Recheck
	}
	v := decide(now, a.organisation, a.limit, a.cost)
	if v.AwaitLease {
		o.requestLeases(now)
	}
	a.reply <- rateDecision{v, retry.RetryAfter(v.RetryAfter, o.rng)}
}

// outputCharge charges work that was not known at admission.
type outputCharge struct {
	organisation string
	limit        limit.Limit
	amount       limit.Amount
}

func (c outputCharge) apply(o *owner, now time.Time) {
	o.limits.Charge(now, c.organisation, c.limit, c.amount)
}

// leaseGrant is the answer of a limit's owner.
type leaseGrant struct{ grant limit.Grant }

func (g leaseGrant) apply(o *owner, now time.Time) { o.limits.Apply(now, g.grant) }

// requestLeases sends what the limits ask for. A lost message is sent again by a
// later call.
func (o *owner) requestLeases(now time.Time) {
	for _, a := range o.limits.LeaseRequests(now) {
		client := o.m.pool.client(limit.OwnerOf(a.Organisation, o.m.Control))
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), limit.LeaseRequestTimeout)
			defer cancel()
			var grant limit.Grant
			if err := client.Call(ctx, wire.ControlService+".Lease", &a, &grant); err != nil {
				o.m.metrics.leaseFailures.Inc()
				return
			}
			o.send(leaseGrant{grant})
		}()
	}
}

// rateLimit returns the rate limit of a request's organisation.
func (r *request) rateLimit() limit.Limit {
	scope := config.Scope{Organisation: r.organisation}
	doc := r.snap.doc
	return limit.NewLimit(doc.Float("organisation.rate", scope, r.startedAt), doc.Float("organisation.requests", scope, r.startedAt), doc.RateLimitedOrganisations())
}

// charsPerToken estimates the prompt tokens of a body before an engine has
// counted them.
const charsPerToken = 4

// admitRate applies the organisation's rate limit. A request that a lease may
// admit is held for one round trip to the limit's owner.
func (m *Module) admitRate(ctx context.Context, r *request, size int) *result.Error {
	rate := r.rateLimit()
	if rate.Unlimited() {
		return nil
	}
	a := admitRequest{organisation: r.organisation, limit: rate, cost: limit.Amount{Tokens: float64(size / charsPerToken), Requests: 1}}
	end := time.Now().Add(limit.LeaseRequestTimeout)
	for {
		v, ok := m.checkRate(ctx, a)
		if ok && v.Admitted {
			return nil
		}
		if !ok || !v.AwaitLease || !time.Now().Before(end) {
			return result.New(result.RateLimited, "the organisation has used up its rate").After(v.retryAfter)
		}
		a.recheck = true
		sleep(ctx, leasePollInterval)
	}
}

func (m *Module) checkRate(ctx context.Context, a admitRequest) (rateDecision, bool) {
	a.reply = make(chan rateDecision, 1)
	return query(ctx, m.owner, a, a.reply)
}
