package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"heatherway.dev/core/raft"
	"heatherway.dev/core/reconfig"
)

const (
	// leavePoll is the time between two checks whether the vote is given up.
	leavePoll = memberCheckTicks * DefaultTick
	// leaveReserve is the part of the time for a stop that is left for what follows.
	leaveReserve = 300 * time.Millisecond
)

// leave gives up this instance's vote if the group has one to spare, and returns once most of
// the others have that in their logs. Otherwise the vote would count until the instance has
// been silent for some time, and one more loss meanwhile could leave no majority.
func (r *Replica) leave(ctx context.Context) {
	in := leaveRequest{others: make(chan []Peer, 1)}
	if r.enqueue(ctx, in) != nil {
		return // the groups have stopped already
	}
	var others []Peer
	select {
	case others = <-in.others:
	case <-ctx.Done():
	case <-r.ended:
	}
	if len(others) == 0 {
		return
	}
	limit := ReplacementTime(r.limits.Losses)
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline)-leaveReserve)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	started, most := time.Now(), len(others)/2+1
	for {
		staying, removed := r.announceLeaving(ctx, others)
		if removed >= most {
			r.log.Info("vote given up", "waited_ms", time.Since(started).Milliseconds())
			return
		}
		// Those that stop as well do not wait for each other.
		if staying < most || sleep(ctx, leavePoll) != nil {
			r.log.Warn("this instance ends with a vote in its group", "staying", staying, "removed_at", removed, "waited_ms", time.Since(started).Milliseconds())
			return
		}
	}
}

// announceLeaving tells others that this instance ends. It returns the number of those that
// answer and stay, and of those that have this instance as a member no longer.
func (r *Replica) announceLeaving(ctx context.Context, others []Peer) (staying, removed int) {
	own, err := r.exchangeIdentity(ctx, IdentityReply{})
	if err != nil {
		return 0, 0 // the groups have stopped
	}
	replies := make(chan IdentityReply, len(others))
	var calls sync.WaitGroup
	for _, p := range others {
		calls.Go(func() {
			if reply, err := r.sendIdentity(ctx, p, own); err == nil {
				replies <- reply
			}
		})
	}
	calls.Wait()
	close(replies)
	for reply := range replies {
		if !reply.Leaving {
			staying++
		}
		if !slices.ContainsFunc(reply.Known, func(p Peer) bool { return p.ID == own.Member }) {
			removed++
		}
	}
	return staying, removed
}

// sendIdentity sends an identity to another instance and returns that of the other.
func (r *Replica) sendIdentity(ctx context.Context, to Peer, own IdentityReply) (reply IdentityReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	client := r.options.Security.NewClient(to.Addr)
	defer client.Close()
	err = client.Call(ctx, ServiceName+".Identity", &IdentityArgs{From: own}, &reply)
	return reply, err
}

// leaveRequest marks this instance as leaving and returns the other members, or none if no
// group gives up its vote.
type leaveRequest struct{ others chan []Peer }

func (in leaveRequest) handle(r *Replica) {
	var others []Peer
	if slices.ContainsFunc(r.orderedGroups, (*group).mayLeave) {
		r.leaving = true
		for _, p := range r.memberPeers() {
			if p.ID != r.options.Self {
				others = append(others, p)
			}
		}
	}
	in.others <- others
}

// mayLeave reports whether the leader removes this instance from the group once it is told that
// it ends.
func (g *group) mayLeave() bool {
	v := g.view()
	for i := range v.Members {
		v.Members[i].Leaving = v.Members[i].ID == g.replica.options.Self
	}
	v.Leader, v.Candidates = "", nil
	s, ok := reconfig.Next(g.replica.limits, v)
	return ok && s.Change.Kind == raft.Remove
}
