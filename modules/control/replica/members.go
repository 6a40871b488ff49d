package replica

import (
	"github.com/go-faster/errors"

	"heatherway.dev/core/raft"
	"heatherway.dev/core/reconfig"
)

var errStopped = errors.New("this instance has stopped")

// identity is the identity that an instance has reported.
type identity struct {
	member raft.MemberID
	disk   raft.DiskID
	empty  map[Group]bool
	known  []Peer
	// relay instances have no disk and hold no log.
	relay bool
	// nominees are the instances that it has nominated to bootstrap the groups.
	nominees map[Group]raft.MemberID
	// leaving is set if its process was about to end.
	leaving bool
	// tick is the tick at which the owner recorded it.
	tick uint64
}

func newIdentity(r IdentityReply) identity {
	i := identity{member: r.Member, disk: r.Disk, empty: map[Group]bool{}, known: r.Known, relay: r.Relay, nominees: r.Nominees, leaving: r.Leaving}
	for _, g := range r.Empty {
		i.empty[g] = true
	}
	return i
}

func (in identityLearned) handle(r *Replica) {
	r.recordIdentity(in.identity)
}

// recordIdentity records the identity of an instance and adds links to it and to the
// members that it lists.
func (r *Replica) recordIdentity(i identity) {
	i.tick = r.ticks
	r.known[i.member] = i
	r.hear(i.disk)
	r.linkKnown(i)
}

// identityRequest asks the owner for this instance's identity. from is the identity of
// the instance that asked, if any.
type identityRequest struct {
	from IdentityReply
	done chan IdentityReply
}

func (q identityRequest) handle(r *Replica) {
	if q.from.Member != "" {
		r.recordIdentity(newIdentity(q.from))
	}
	reply := IdentityReply{Member: r.options.Self, Disk: r.disk, Leaving: r.leaving}
	for _, g := range r.orderedGroups {
		if g.empty() {
			reply.Empty = append(reply.Empty, g.id)
		}
	}
	reply.Known = r.memberPeers()
	if r.options.Discovery != nil {
		reply.Nominees = map[Group]raft.MemberID{}
		for _, g := range r.orderedGroups {
			if n := g.nominateMember(); n != "" {
				reply.Nominees[g.id] = n
			}
		}
	}
	q.done <- reply
}

// empty reports whether this member has never had a log of the group.
func (g *group) empty() bool {
	s := g.node.Status()
	return s.Last == 0 && len(s.Membership.Members) == 0
}

const (
	// identityTTLTicks is how long an identity counts as current.
	identityTTLTicks = 40
	// memberCheckTicks is the time between checks of the membership.
	memberCheckTicks = 4
	// balanceDelayTicks is how long a leader keeps a group before it transfers the
	// leadership to the preferred member, so that a restart does not move it twice.
	balanceDelayTicks = 100
)

// currentIdentity returns the identity of an instance if it is recent.
func (r *Replica) currentIdentity(id raft.MemberID) (identity, bool) {
	if id == r.options.Self {
		return r.ownIdentity(), true
	}
	i, ok := r.known[id]
	return i, ok && r.ticks-i.tick <= identityTTLTicks
}

// ownIdentity returns the identity of this instance.
func (r *Replica) ownIdentity() identity {
	i := identity{member: r.options.Self, disk: r.disk, empty: map[Group]bool{}}
	for _, g := range r.orderedGroups {
		i.empty[g.id] = g.empty()
	}
	return i
}

// memberAddr returns the address of an instance that is in the settings. With Discovery
// the ID is the address.
func (r *Replica) memberAddr(id raft.MemberID) string {
	for _, p := range r.options.Peers {
		if p.ID == id {
			return p.Addr
		}
	}
	if r.options.Discovery != nil {
		return string(id)
	}
	return ""
}

func (g *group) tickMembers() {
	if (g.replica.ticks+uint64(g.id))%memberCheckTicks != 0 {
		return
	}
	g.trackMajority()
	g.watchMembers()
	switch {
	case g.node.Role() == raft.Leader:
		g.reconcileMembers()
		g.balanceLeadership()
	case g.empty():
		g.bootstrap()
	}
}

// bootstrap starts a group with this instance as its only voter. Without Discovery
// only the configured instance with the lowest ID does so, and only after every
// other one has reported that it has no log of the group. An instance that lost
// its disk thus detects the logs of the others and waits to be added again.
func (g *group) bootstrap() {
	r := g.replica
	if r.options.Discovery != nil {
		if !g.isNominee() && !g.isAddedByUpgrade() {
			return
		}
	} else if !g.hasLowestID() {
		return
	}
	self := raft.Member{ID: r.options.Self, Disk: r.disk, Addr: r.memberAddr(r.options.Self)}
	stored := raft.Bootstrap(self)
	r.wal.Append(g.id, &stored.Hard, stored.Entries)
	if err := r.wal.Sync(); err != nil {
		return // the next round gets the same error and stops
	}
	node, err := raft.New(r.raftConfig(), stored)
	if err != nil {
		r.log.Error("cannot start a group", "group", g.id, "error", err)
		return
	}
	g.node = node
	r.log.Info("group started", "group", g.id)
}

// hasLowestID reports whether this instance has the lowest ID of the configured ones
// and every other one has reported that it has no log of the group.
func (g *group) hasLowestID() bool {
	r := g.replica
	for _, p := range r.options.Peers {
		if p.ID < r.options.Self {
			return false
		}
		if p.ID == r.options.Self {
			continue
		}
		if i, ok := r.currentIdentity(p.ID); !ok || !i.empty[g.id] {
			return false
		}
	}
	return true
}

// reconcileMembers proposes the next membership change.
func (g *group) reconcileMembers() {
	if step, ok := reconfig.Next(g.replica.limits, g.view()); ok {
		g.proposeStep(step)
	}
}

// view returns what this leader knows about the members.
func (g *group) view() reconfig.View {
	r := g.replica
	v := reconfig.View{Leader: r.options.Self, Settled: g.settled()}
	for _, m := range g.node.Membership().Members {
		i := r.known[m.ID]
		v.Members = append(v.Members, reconfig.Member{
			Member: m, Silent: r.silentTicks(m), Leaving: i.leaving && i.disk == m.Disk, CaughtUp: g.node.CaughtUp(m.ID),
		})
	}
	for _, p := range r.candidates() {
		if i, ok := r.currentIdentity(p.ID); ok && !i.leaving {
			m := raft.Member{ID: p.ID, Disk: i.disk, Addr: p.Addr}
			v.Candidates = append(v.Candidates, reconfig.Candidate{ID: m.ID, Disk: m.Disk, Addr: m.Addr, Silent: r.silentTicks(m)})
		}
	}
	return v
}

// proposeStep appends a membership change to the log. A rejected change is proposed again at
// a later tick, unless another one is due by then.
func (g *group) proposeStep(s reconfig.Step) {
	r, c := g.replica, s.Change
	if _, _, err := g.node.ProposeChange(c); err != nil {
		r.log.Debug("membership change not proposed yet", "group", g.id, "kind", c.Kind.String(), "member", c.Member.ID, "error", err)
		return
	}
	r.log.Info("membership change proposed", "group", g.id, "kind", c.Kind.String(), "member", c.Member.ID, "disk", c.Member.Disk,
		"reason", s.Reason, "silent_ms", r.ticksMS(r.silentTicks(c.Member)))
}

// balanceLeadership transfers the leadership to the preferred voter of the group: for
// group g this is voter g modulo the number of voters, in the order of their IDs.
func (g *group) balanceLeadership() {
	r := g.replica
	if r.options.KeepLeaders || r.ticks-g.leadingSince < balanceDelayTicks {
		return
	}
	s := g.node.Status()
	voters := s.Membership.Voters()
	if len(voters) == 0 || !s.MembershipCommitted {
		return
	}
	to := voters[int(g.id)%len(voters)].ID
	p, ok := s.Peers[to]
	if !ok || !p.Active || p.Match < s.Commit {
		return
	}
	g.leadingSince = r.ticks
	if err := g.node.Transfer(to); err == nil {
		r.log.Info("leadership transfer started", "group", g.id, "to", to)
	}
}

func (m metrics) setLeading(g Group, leads bool) {
	v := int64(0)
	if leads {
		v = 1
	}
	m.registry.Gauge("control_leader", groupLabel(g)).Set(v)
}
