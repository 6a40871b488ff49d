package replica

import (
	"context"
	"sync"
)

// leaveTime is how long a stopping instance goes on running after it has announced its end,
// so that its removal is committed while it still answers.
const leaveTime = 2 * memberCheckTicks * DefaultTick

// announceLeaving tells the other members that this instance ends, if a group has a voter to
// spare. Its vote would otherwise count until it has been silent for some time, and one more
// loss meanwhile could leave no majority.
func (r *Replica) announceLeaving(ctx context.Context) {
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
	r.sendIdentities(ctx, others)
	_ = sleep(ctx, leaveTime)
}

// sendIdentities sends this instance's identity to others at once.
func (r *Replica) sendIdentities(ctx context.Context, others []Peer) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	own, err := r.exchangeIdentity(ctx, IdentityReply{})
	if err != nil {
		r.log.Info("cannot announce the end of this instance", "error", err)
		return
	}
	var calls sync.WaitGroup
	for _, p := range others {
		calls.Go(func() {
			client := r.options.Security.NewClient(p.Addr)
			defer client.Close()
			if err := client.Call(ctx, ServiceName+".Identity", &IdentityArgs{From: own}, &IdentityReply{}); err != nil {
				r.log.Info("cannot announce the end of this instance", "to", p.Addr, "error", err)
			}
		})
	}
	calls.Wait()
}

// leaveRequest marks this instance as leaving and returns the other members, or none if no
// group has a voter to spare.
type leaveRequest struct{ others chan []Peer }

func (in leaveRequest) handle(r *Replica) {
	spare := false
	for _, g := range r.orderedGroups {
		voters := g.node.Membership().Voters()
		spare = spare || r.options.Discovery != nil && r.limits.HasSpare(len(voters))
	}
	var others []Peer
	if spare {
		r.leaving = true
		for _, p := range r.memberPeers() {
			if p.ID != r.options.Self {
				others = append(others, p)
			}
		}
	}
	in.others <- others
}
