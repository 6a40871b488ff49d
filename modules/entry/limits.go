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

// leasePoll is how often a request that is held for a lease asks again.
const leasePoll = 20 * time.Millisecond

// admitAsk asks whether an organisation may use an amount of work.
type admitAsk struct {
	organisation string
	limit        limit.Limit
	cost         limit.Amount
	again        bool
	reply        chan verdict
}

// verdict is the owner's answer; retryAfter already holds its jitter.
type verdict struct {
	limit.Decision
	retryAfter time.Duration
}

func (a admitAsk) apply(o *owner, now time.Time) {
	decide := o.limits.Admit
	if a.again {
		decide = o.limits.Recheck
	}
	v := decide(now, a.organisation, a.limit, a.cost)
	if v.AwaitLease {
		o.askLeases(now)
	}
	a.reply <- verdict{v, retry.RetryAfter(v.RetryAfter, o.rng)}
}

// settle charges work that was not known at admission.
type settle struct {
	organisation string
	limit        limit.Limit
	more         limit.Amount
}

func (s settle) apply(o *owner, now time.Time) {
	o.limits.Charge(now, s.organisation, s.limit, s.more)
}

// granted is the answer of a limit's owner.
type granted struct{ grant limit.Grant }

func (g granted) apply(o *owner, now time.Time) { o.limits.Apply(now, g.grant) }

// askLeases sends what the limits ask for. A lost message is sent again by a
// later call.
func (o *owner) askLeases(now time.Time) {
	for _, a := range o.limits.LeaseRequests(now) {
		client := o.m.agents.client(limit.OwnerOf(a.Organisation, o.m.Control))
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), limit.LeaseRequestTimeout)
			defer cancel()
			var g limit.Grant
			if err := client.Call(ctx, wire.ControlService+".Lease", &a, &g); err != nil {
				o.m.metrics.leaseFailures.Inc()
				return
			}
			o.send(granted{g})
		}()
	}
}

// limitOf returns the rate limit of a request's organisation.
func (r *request) limitOf() limit.Limit {
	scope := config.Scope{Organisation: r.organisation}
	doc := r.snap.doc
	return limit.NewLimit(doc.Float("organisation.rate", scope, r.begun), doc.Float("organisation.requests", scope, r.begun), doc.RateLimitedOrganisations())
}

// charsPerToken estimates the prompt tokens of a body before an engine has
// counted them.
const charsPerToken = 4

// admitRate applies the organisation's rate limit. A request that a lease may
// admit is held for one round trip to the limit's owner.
func (m *Module) admitRate(ctx context.Context, r *request, size int) *result.Error {
	l := r.limitOf()
	if l.Unlimited() {
		return nil
	}
	a := admitAsk{organisation: r.organisation, limit: l, cost: limit.Amount{Tokens: float64(size / charsPerToken), Requests: 1}}
	end := time.Now().Add(limit.LeaseRequestTimeout)
	for {
		v, ok := m.askLimit(ctx, a)
		if ok && v.Admitted {
			return nil
		}
		if !ok || !v.AwaitLease || !time.Now().Before(end) {
			return result.New(result.RateLimited, "the organisation has used up its rate").After(v.retryAfter)
		}
		a.again = true
		wait(ctx, leasePoll)
	}
}

func (m *Module) askLimit(ctx context.Context, a admitAsk) (verdict, bool) {
	a.reply = make(chan verdict, 1)
	return ask(ctx, m.owner, a, a.reply)
}
