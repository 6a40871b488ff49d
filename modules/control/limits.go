package control

import (
	"context"
	"sync"
	"time"

	"heatherway.dev/core/config"
	"heatherway.dev/core/limit"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

const (
	// limitQueueSize bounds the requests queued for the goroutine that owns the
	// limits. An entry repeats a request that is refused because the queue is
	// full.
	limitQueueSize = 4096
	// limitTimeout bounds a request, including its forwarding. It is the time
	// after which an entry sends a request again.
	limitTimeout = limit.LeaseRequestTimeout
)

// limitRequest is a request to the goroutine that owns the limits.
type limitRequest struct {
	limit limit.Limit
	lease limit.LeaseRequest
	grant chan limit.Grant
}

// rateLimits owns the rate limits of the organisations that are assigned to
// this instance.
type rateLimits struct{ requests chan limitRequest }

func newRateLimits() *rateLimits {
	return &rateLimits{requests: make(chan limitRequest, limitQueueSize)}
}

func (l *rateLimits) run(ctx context.Context) {
	owner := limit.NewOwner(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-l.requests:
			if grant, ok := owner.Handle(time.Now(), request.limit, request.lease); ok {
				request.grant <- grant
			}
		}
	}
}

func (l *rateLimits) lease(ctx context.Context, lim limit.Limit, lease limit.LeaseRequest) (limit.Grant, error) {
	request := limitRequest{lim, lease, make(chan limit.Grant, 1)}
	select {
	case l.requests <- request:
	default:
		return limit.Grant{}, result.New(result.ControlUnavailable, "too many messages about limits wait")
	}
	select {
	case grant := <-request.grant:
		return grant, nil
	case <-ctx.Done():
		return limit.Grant{}, result.New(result.ControlUnavailable, "a later message of this entry has been answered")
	}
}

// Lease leases tokens of an organisation's rate limit to an entry. Any instance
// can be asked; it forwards the request once to the limit's owner. An instance
// that is cut off from the quorum owns no limits, so that a limit has no owner
// on each side of a partition. After the loss of an instance there may be two
// owners for up to maxQuorumAge, and the new one starts with empty buckets.
func (s *service) Lease(a limit.LeaseRequest, r *limit.Grant) error {
	if err := s.c.quorum.check(time.Now()); err != nil {
		return peer.EncodeError(err)
	}
	ctx, cancel := context.WithTimeout(s.c.ctx, limitTimeout)
	defer cancel()
	owner := limit.OwnerOf(a.Organisation, s.c.liveness.liveInstances(s.c.instance.ID, time.Now()))
	if owner != s.c.instance.ID && s.forward {
		err := s.c.peers.To(s.c.Members[owner]).Call(ctx, leaderService+".Lease", a, r)
		return peer.EncodeError(err)
	}
	doc, scope, now := s.c.fleet.view().Doc, config.Scope{Organisation: a.Organisation}, time.Now()
	lim := limit.NewLimit(doc.Float("organisation.rate", scope, now), doc.Float("organisation.requests", scope, now), doc.RateLimitedOrganisations())
	grant, err := s.c.limits.lease(ctx, lim, a)
	*r = grant
	return peer.EncodeError(err)
}

// peerLiveness records when each of the other control instances last answered.
type peerLiveness struct {
	mu         sync.Mutex
	lastAnswer map[string]time.Time
}

func (p *peerLiveness) markAnswered(id string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastAnswer == nil {
		p.lastAnswer = map[string]time.Time{}
	}
	p.lastAnswer[id] = at
}

// liveInstances returns this instance and those that answered within
// maxQuorumAge.
func (p *peerLiveness) liveInstances(self string, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []string{self}
	for id, at := range p.lastAnswer {
		if now.Sub(at) < maxQuorumAge {
			out = append(out, id)
		}
	}
	return out
}
