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
	// limitQueue bounds the messages that wait for the owner of the limits. An
	// entry repeats a message that is dropped.
	limitQueue = 4096
	// limitTimeout bounds a message with its forwarding; it is what an entry
	// waits before it sends one again.
	limitTimeout = limit.LeaseRequestTimeout
)

// limitCall is a message to the goroutine that owns the limits.
type limitCall struct {
	limit limit.Limit
	ask   limit.LeaseRequest
	grant chan limit.Grant
}

// limits owns the rate limits of this instance's share of the organisations.
type limits struct{ calls chan limitCall }

func newLimits() *limits { return &limits{calls: make(chan limitCall, limitQueue)} }

func (l *limits) run(ctx context.Context) {
	owner := limit.NewOwner(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-l.calls:
			if g, ok := owner.Handle(time.Now(), c.limit, c.ask); ok {
				c.grant <- g
			}
		}
	}
}

func (l *limits) handle(ctx context.Context, lim limit.Limit, a limit.LeaseRequest) (limit.Grant, error) {
	c := limitCall{lim, a, make(chan limit.Grant, 1)}
	select {
	case l.calls <- c:
	default:
		return limit.Grant{}, result.New(result.ControlUnavailable, "too many messages about limits wait")
	}
	select {
	case g := <-c.grant:
		return g, nil
	case <-ctx.Done():
		return limit.Grant{}, result.New(result.ControlUnavailable, "a later message of this entry has been answered")
	}
}

// Lease leases tokens of an organisation's rate limit to an entry. Any instance
// may be asked; it forwards once to the owner. An instance that is cut off from
// the quorum owns nothing, so that no limit has an owner on each side of a
// partition; while an instance is being lost there may be two for the time of
// touchLimit, and the new one starts with empty buckets.
func (s *service) Lease(a limit.LeaseRequest, r *limit.Grant) error {
	if err := s.c.touch.check(time.Now()); err != nil {
		return peer.EncodeError(err)
	}
	ctx, cancel := context.WithTimeout(s.c.ctx, limitTimeout)
	defer cancel()
	owner := limit.OwnerOf(a.Organisation, s.c.alive.list(s.c.instance.ID, time.Now()))
	if owner != s.c.instance.ID && s.forward {
		err := s.c.peers.To(s.c.Members[owner]).Call(ctx, leaderService+".Lease", a, r)
		return peer.EncodeError(err)
	}
	doc, scope, now := s.c.fleet.view().Doc, config.Scope{Organisation: a.Organisation}, time.Now()
	lim := limit.NewLimit(doc.Float("organisation.rate", scope, now), doc.Float("organisation.requests", scope, now), doc.RateLimitedOrganisations())
	g, err := s.c.limits.handle(ctx, lim, a)
	*r = g
	return peer.EncodeError(err)
}

// alive notes which other control instances answered lately.
type alive struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func (a *alive) note(id string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.last == nil {
		a.last = map[string]time.Time{}
	}
	a.last[id] = at
}

// list returns this instance and those that answered within touchLimit.
func (a *alive) list(self string, now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := []string{self}
	for id, at := range a.last {
		if now.Sub(at) < touchLimit {
			out = append(out, id)
		}
	}
	return out
}
