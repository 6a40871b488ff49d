package control

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// leaderService is the net/rpc service that control instances forward calls to.
// It has the methods of the Control service, but answers 5035 instead of
// forwarding again, so that two instances with different views of the leader
// cannot forward a call back and forth. Calls are forwarded rather than refused
// because the groups have different leaders, and entries and agents would
// otherwise need a connection to each.
const leaderService = "ControlLeader"

// leaderRetryInterval is the pause before a call is tried again while a leader
// is being elected.
const leaderRetryInterval = 50 * time.Millisecond

// callLeader runs a call on the leader of a group, either locally or by
// forwarding it once. It retries until ctx ends. Retries are safe because every
// command is idempotent: changes, attempts, crashes and permits carry ids.
func (s *service) callLeader(ctx context.Context, group uint32, method string, args, reply any, local func(context.Context) error) error {
	ran := result.NotRun
	for {
		err := s.tryLeader(ctx, group, method, args, reply, local)
		if err == nil || !s.forward || !retryable(err) {
			return err
		}
		if !notStored(err) {
			ran = result.Unknown
		}
		select {
		case <-time.After(leaderRetryInterval):
		case <-ctx.Done():
			return result.New(result.ControlUnavailable, "no answer from the leader of group %d in time: %v", group, err).WithRan(ran)
		}
	}
}

// notStored reports whether a failed try certainly left nothing in the log.
func notStored(err error) bool {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Ran == result.NotRun
	}
	return errors.Is(err, peer.ErrUnreachable)
}

// retryable reports whether another try may succeed.
func retryable(err error) bool {
	var e *result.Error
	if !errors.As(err, &e) {
		return true // the connection broke
	}
	return e.Code == result.NotLeader || e.Code == result.ControlUnavailable
}

func (s *service) tryLeader(ctx context.Context, group uint32, method string, args, reply any, local func(context.Context) error) error {
	leader := s.c.log.Leader(group)
	if leader.Local {
		return local(ctx)
	}
	if !s.forward || leader.Addr == "" || leader.Addr == s.c.Advertise {
		return result.New(result.NotLeader, "%s", leader.Addr)
	}
	return s.c.peers.To(leader.Addr).Call(ctx, leaderService+"."+method, args, reply)
}
