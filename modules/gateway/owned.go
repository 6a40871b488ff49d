package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/heatherway/modules/registry"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// callOwner makes a call that only the leader of a group answers: at the instance that answered
// last, or else at those that are followed, which forward it. Each call may take at most limit. The
// error says whether one of the calls may have run.
func callOwner[R any, P interface {
	*R
	Addr() string
}](ctx context.Context, g *Gateway, last *atomic.Pointer[string], limit time.Duration, method string, args any) (P, error) {
	addrs := g.follower.followed()
	if addr := last.Load(); addr != nil {
		addrs = append([]string{*addr}, addrs...)
	}
	err, ran := result.New(result.ControlUnavailable, "no control instance is followed"), result.NotRun
	for _, addr := range addrs {
		reply := P(new(R))
		callCtx, cancel := context.WithTimeout(ctx, limit)
		callErr := g.controlClients.To(addr).Call(callCtx, registry.ServiceName+"."+method, args, reply)
		cancel()
		if callErr == nil {
			owner := reply.Addr()
			last.Store(&owner)
			return reply, nil
		}
		if !errors.Is(callErr, peer.ErrUnreachable) && result.From(callErr).Ran != result.NotRun {
			ran = result.Unknown
		}
		err = result.Wrap(result.ControlUnavailable, callErr, addr)
	}
	last.Store(nil)
	return nil, err.WithRan(ran)
}
