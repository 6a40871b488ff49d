package control

import (
	"context"
	"time"

	"heatherway.dev/core/raft"
	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/modules/control/replica"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// RemoveMemberArgs asks the leader of a group to remove a member.
type RemoveMemberArgs struct {
	Group    uint32
	Instance string
}

// RemoveMemberReply reports whether the group had such a member.
type RemoveMemberReply struct{ Removed bool }

// ReplaceMember removes a control instance from every log group, one after the
// other. The instance then joins again as a new member. The call can be
// repeated.
func (s *adminService) ReplaceMember(a wire.ReplaceMemberArgs, r *wire.ReplaceMemberReply) error {
	err := checkOperator(a.Operator)
	if err == nil {
		err = s.c.checkHasMembers()
	}
	for g := 0; err == nil && g <= s.c.RecordGroups; g++ {
		var one RemoveMemberReply
		err = s.service().removeAtLeader(RemoveMemberArgs{uint32(g), a.Instance}, &one)
		if one.Removed {
			r.Groups++
		}
	}
	if err == nil && r.Groups == 0 {
		err = result.New(result.ObjectUnknown, "no control member %q", a.Instance)
	}
	s.logAudit("replace member", a.Operator, s.c.fleet.view().Doc.Revision, codeOf(err), "member", a.Instance, "groups", r.Groups)
	return peer.EncodeError(err)
}

// checkHasMembers returns an error if this instance has no replicated log and so no other
// members.
func (c *Control) checkHasMembers() error {
	if c.replica == nil {
		return result.New(result.ChangeRefused, "a control instance without a data folder has no other members")
	}
	return nil
}

// RemoveMember handles a removal that another control instance forwards.
func (s *service) RemoveMember(a RemoveMemberArgs, r *RemoveMemberReply) error {
	err := s.checkOperatorRole()
	if err == nil {
		err = s.c.checkHasMembers()
	}
	if err != nil {
		return peer.EncodeError(err)
	}
	return peer.EncodeError(s.removeAtLeader(a, r))
}

func (s *service) removeAtLeader(a RemoveMemberArgs, r *RemoveMemberReply) error {
	ctx, cancel := s.context()
	defer cancel()
	return s.callLeader(ctx, a.Group, "RemoveMember", a, r, func(ctx context.Context) error {
		var err error
		r.Removed, err = s.c.removeMember(ctx, replica.Group(a.Group), raft.MemberID(a.Instance))
		return err
	})
}

// removeMember removes a member from a group that this instance leads. If the
// member is this instance, it transfers leadership first, and the caller
// retries at the new leader.
func (c *Control) removeMember(ctx context.Context, group replica.Group, id raft.MemberID) (bool, error) {
	st, ok := c.groupStatus(group)
	if !ok {
		return false, result.New(result.ObjectUnknown, "no group %d", group)
	}
	m, member := st.Membership.Find(id)
	if !member {
		return false, nil
	}
	if err := c.checkRemainingQuorum(ctx, st.Status, id); err != nil {
		return false, err
	}
	if id == st.Self {
		return false, c.transferLeadership(ctx, st)
	}
	err := c.replica.current.Load().ChangeMember(ctx, group, raft.Change{Kind: raft.Remove, Member: m})
	return err == nil, err
}

// transferLeadership transfers leadership of a group to another voter that is
// up to date.
func (c *Control) transferLeadership(ctx context.Context, st replica.GroupStatus) error {
	for _, v := range st.Membership.Voters() {
		if p := st.Peers[v.ID]; v.ID != st.Self && p.Active && p.Match >= st.Commit {
			_ = c.replica.current.Load().TransferLeader(ctx, st.Group, v.ID) // the caller retries
			break
		}
	}
	return result.New(result.NotLeader, "")
}

func (c *Control) groupStatus(group replica.Group) (replica.GroupStatus, bool) {
	for _, g := range c.replica.current.Load().Status().Groups {
		if g.Group == group {
			return g, true
		}
	}
	return replica.GroupStatus{}, false
}

// voterProbeTimeout bounds the wait for a voter that may be down.
const voterProbeTimeout = 300 * time.Millisecond

// checkRemainingQuorum refuses a removal after which the voters that answer
// would not be a majority, since the group could then make no further changes.
// It calls each voter, because the leader detects the loss of a voter only
// after an election timeout and clears its record of which voters answered at
// each check.
func (c *Control) checkRemainingQuorum(ctx context.Context, st raft.Status, without raft.MemberID) error {
	voters, answering := 0, 0
	for _, v := range st.Membership.Voters() {
		if v.ID == without {
			continue
		}
		voters++
		if v.ID == st.Self || c.voterAnswers(ctx, v.Addr) {
			answering++
		}
	}
	if answering <= voters/2 {
		return result.New(result.ChangeRefused, "only %d of the %d other voters answer; without %q they would have no majority", answering, voters, without)
	}
	return nil
}

func (c *Control) voterAnswers(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, voterProbeTimeout)
	defer cancel()
	// A pooled connection may be a stale one from before a restart of the
	// voter.
	client := c.security.NewClient(addr)
	defer client.Close()
	err := client.Call(ctx, leaderService+".LocalStatus", wire.StatusArgs{}, &wire.LocalStatusReply{})
	if err != nil {
		c.logger.Warn("voter did not answer; it does not count towards the remaining majority", "address", addr, "error", err)
	}
	return err == nil
}
