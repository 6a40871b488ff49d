package replica

import (
	"strconv"

	"github.com/go-faster/errors"

	"heatherway.dev/core/raft"
	"heatherway.dev/kernel/stats"
)

var errStopped = errors.New("this instance has stopped")

// identity is what another instance said about itself.
type identity struct {
	member raft.MemberID
	disk   raft.DiskID
	empty  map[Group]bool
	known  []Peer
	// relay instances have no disk and hold no log.
	relay bool
	// nominees are the instances that it has named to start the groups.
	nominees map[Group]raft.MemberID
	// tick is when the owner learned it.
	tick uint64
}

func newIdentity(r IdentityReply) identity {
	i := identity{member: r.Member, disk: r.Disk, empty: map[Group]bool{}, known: r.Known, relay: r.Relay, nominees: r.Nominees}
	for _, g := range r.Empty {
		i.empty[g] = true
	}
	return i
}

func (in identityLearned) handle(r *Replica) {
	r.recordIdentity(in.identity)
}

// learn records what an instance said about itself.
func (r *Replica) recordIdentity(i identity) {
	i.tick = r.ticks
	r.known[i.member] = i
	r.linkKnown(i)
}

// identityRequest asks the owner for this instance's identity. from is set when
// another instance asks.
type identityRequest struct {
	from IdentityReply
	done chan IdentityReply
}

func (q identityRequest) handle(r *Replica) {
	if q.from.Member != "" {
		r.recordIdentity(newIdentity(q.from))
	}
	reply := IdentityReply{Member: r.options.Self, Disk: r.disk}
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

// empty tells whether this member has never had a log of the group.
func (g *group) empty() bool {
	s := g.node.Status()
	return s.Last == 0 && len(s.Membership.Members) == 0
}

const (
	// freshTicks is how long an identity counts as current.
	identityTTLTicks = 40
	// memberTicks is the time between checks of the membership.
	memberCheckTicks = 4
	// spreadTicks is how long a leader stays before it hands a group to the
	// member that should lead it, so that a restart does not move it twice.
	balanceDelayTicks = 100
)

func (r *Replica) currentIdentity(id raft.MemberID) (identity, bool) {
	if id == r.options.Self {
		return r.ownIdentity(), true
	}
	i, ok := r.known[id]
	return i, ok && r.ticks-i.tick <= identityTTLTicks
}

// ownIdentity is what this instance says of itself.
func (r *Replica) ownIdentity() identity {
	i := identity{member: r.options.Self, disk: r.disk, empty: map[Group]bool{}}
	for _, g := range r.orderedGroups {
		i.empty[g.id] = g.empty()
	}
	return i
}

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
	switch {
	case g.node.Role() == raft.Leader:
		g.reconcileMembers()
		g.balanceLeadership()
	case g.empty():
		g.bootstrap()
	}
}

// bootstrap starts a group with this instance as its only voter. Only the
// configured instance with the lowest id does it, and only after every other
// one has said that it has no log of the group: an instance that lost its disk
// finds the others' logs and waits to be replaced instead.
func (g *group) bootstrap() {
	r := g.replica
	if r.options.Discovery != nil {
		if !g.isNominee() {
			return
		}
	} else if !g.hasLowestID() {
		return
	}
	self := raft.Member{ID: r.options.Self, Disk: r.disk, Addr: r.memberAddr(r.options.Self)}
	stored := raft.Bootstrap(self)
	r.wal.Append(g.id, &stored.Hard, stored.Entries)
	if err := r.wal.Sync(); err != nil {
		return // the next round meets the same failure and ends
	}
	node, err := raft.New(r.raftConfig(), stored)
	if err != nil {
		r.log.Error("group not started", "group", g.id, "error", err)
		return
	}
	g.node = node
	r.log.Info("group started", "group", g.id)
}

// firstOfPeers tells whether this instance is the configured one with the lowest
// id and every other one has said that it has no log of the group.
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

// repair makes the next membership change that brings the members in line with
// the configured instances: an instance under a new disk identity is taken in
// as a learner, and a learner that has caught up gets its vote.
func (g *group) reconcileMembers() {
	members := g.node.Membership()
	if c, ok := g.silentMemberChange(members); ok {
		g.proposeChange(c)
		return
	}
	for _, p := range g.replica.candidates() {
		c, ok := g.replica.memberChange(p, members)
		if !ok {
			continue
		}
		if g.proposeChange(c) {
			return
		}
	}
}

// proposeChange tells whether the change is in the log. One that is refused is
// proposed again at a later tick.
func (g *group) proposeChange(c raft.Change) bool {
	if _, _, err := g.node.ProposeChange(c); err != nil {
		return false
	}
	g.replica.log.Info("membership change", "group", g.id, "kind", c.Kind, "member", c.Member.ID, "disk", c.Member.Disk)
	return true
}

func (r *Replica) memberChange(p Peer, members raft.Membership) (raft.Change, bool) {
	m, member := members.Find(p.ID)
	i, known := r.currentIdentity(p.ID)
	switch {
	case !known:
		return raft.Change{}, false
	case !member || m.Disk != i.disk || m.Addr != p.Addr:
		return raft.Change{Kind: raft.AddLearner, Member: raft.Member{ID: p.ID, Disk: i.disk, Addr: p.Addr}}, true
	case m.Learner:
		return raft.Change{Kind: raft.Promote, Member: m}, true
	default:
		return raft.Change{}, false
	}
}

// spread hands the group to the voter that should lead it: group g belongs to
// voter g modulo their number, in order of id.
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
		r.log.Info("leadership offered", "group", g.id, "to", to)
	}
}

func (m metrics) setLeading(g Group, leads bool) {
	v := int64(0)
	if leads {
		v = 1
	}
	m.registry.Gauge("control_leader", stats.Label{Key: "group", Value: strconv.Itoa(int(g))}).Set(v)
}
