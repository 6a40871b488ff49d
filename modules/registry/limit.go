package registry

import (
	"context"
	"log/slog"
	"time"

	"heatherway.dev/core/throttle"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
)

const (
	// limitQueueSize bounds the questions that wait for the goroutine that owns the limits. A
	// gateway whose question finds no room keeps to its own small share for a while.
	limitQueueSize = 1024
	// grantCallTimeout bounds a question, including its forwarding. Gateways wait no longer.
	grantCallTimeout = 100 * time.Millisecond
)

// limitOwner runs the goroutine that owns the limits that upstreams name. Only that of the
// leader is asked.
type limitOwner struct{ questions chan limitQuestion }

type limitQuestion struct {
	term  uint64
	ask   throttle.Ask
	reply chan throttle.Grant
}

func newLimitOwner() *limitOwner {
	return &limitOwner{questions: make(chan limitQuestion, limitQueueSize)}
}

// run answers questions. Buckets are empty at the beginning of each term: another instance may
// have granted requests since this one led last.
func (o *limitOwner) run(ctx context.Context, log *slog.Logger) {
	owner, term := throttle.NewOwner(), uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-o.questions:
			if q.term != term {
				owner, term = throttle.NewOwner(), q.term
			}
			if recovery.Run(log, "grant of a limit", func() { q.reply <- owner.Handle(time.Now(), q.ask) }) != nil {
				close(q.reply)
			}
		}
	}
}

func (o *limitOwner) answer(ctx context.Context, term uint64, ask throttle.Ask) (throttle.Grant, error) {
	q := limitQuestion{term, ask, make(chan throttle.Grant, 1)}
	select {
	case o.questions <- q:
	default:
		return throttle.Grant{}, result.New(result.ControlUnavailable, "too many questions about limits wait")
	}
	select {
	case g, ok := <-q.reply:
		if !ok {
			return g, result.New(result.Internal, "unexpected failure")
		}
		return g, nil
	case <-ctx.Done():
		return throttle.Grant{}, result.New(result.ControlUnavailable, "no answer of the owner of the limits in time")
	}
}

// GrantArgs asks for requests within the limits that upstreams have named.
type GrantArgs struct {
	throttle.Ask
	// Forward asks an instance that is not the leader to forward the call to it.
	Forward bool
}

// GrantReply carries the grants.
type GrantReply struct {
	throttle.Grant
	OwnerAddr
}

// Grant answers a gateway that wants to send requests to limited upstreams. The leader answers
// for the whole fleet.
func (s *Service) Grant(args *GrantArgs, reply *GrantReply) (err error) {
	defer recovery.Into(s.registry.log, "call Grant", &err)
	r := s.registry
	ctx, cancel := context.WithTimeout(r.ctx, grantCallTimeout)
	defer cancel()
	_, err = r.tryLeader(ctx, func(ctx context.Context) (uint64, error) {
		rep := r.currentReplica()
		if rep == nil {
			return 0, result.New(result.ControlUnavailable, "the log of this instance is closed")
		}
		grant, err := r.limits.answer(ctx, rep.Leader(group).Term, args.Ask)
		reply.Grant, reply.Owner = grant, r.PeerListen
		return 0, err
	}, func(ctx context.Context, addr string) (uint64, error) {
		if !args.Forward {
			return 0, result.New(result.ControlUnavailable, "this instance does not lead")
		}
		return 0, r.clients.To(addr).Call(ctx, ServiceName+".Grant", &GrantArgs{Ask: args.Ask}, reply)
	})
	return peer.EncodeError(err)
}
