package replica

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"heatherway.dev/core/raft"
)

// Discovery configures how the other instances are found at run time. The ID of an
// instance is its address. An instance is found through the seeds, through the member
// lists of other instances, or because it calls this one.
type Discovery struct {
	// Seeds are the addresses of a few instances. They may be out of date.
	Seeds []string
	// Bootstrap is set at the first start of the whole system. The seed with the
	// lowest address then nominates the instance that bootstraps the groups, once
	// every other seed has reported that it has no log.
	Bootstrap bool
	// MinVoters is the number of voters below which a new group rejects proposals,
	// so that an acknowledged entry survives the number of losses to be tolerated.
	MinVoters int
	// Catchup is the time after the start of a successor within which a replaced instance
	// must no longer count as a voter.
	Catchup time.Duration
}

const (
	// linkIdleTicks is the time without a response after which the link to an
	// instance that is not a member is closed.
	linkIdleTicks = 1200
)

// chooseNominee returns the instance that is to bootstrap a group: a seed with a disk
// if there is one, else any other known instance with a disk. It returns an empty ID
// unless self is the seed with the lowest address and every other seed has reported that
// it has no log. The caller must keep a choice once it is made. currentIdentity returns
// the recent identity of an instance.
func (d *Discovery) chooseNominee(self raft.MemberID, id Group, known []raft.MemberID, currentIdentity func(raft.MemberID) (identity, bool)) raft.MemberID {
	if !d.Bootstrap || len(d.Seeds) == 0 || string(self) != slices.Min(d.Seeds) {
		return ""
	}
	var seeds, others []raft.MemberID
	for _, s := range d.Seeds {
		i, ok := currentIdentity(raft.MemberID(s))
		if !ok || !i.empty[id] {
			return ""
		}
		if !i.relay {
			seeds = append(seeds, i.member)
		}
	}
	for _, other := range known {
		i, ok := currentIdentity(other)
		if !ok || i.relay {
			continue
		}
		if !i.empty[id] {
			return ""
		}
		others = append(others, other)
	}
	switch {
	case len(seeds) > 0:
		return slices.Min(seeds)
	case len(others) > 0:
		return slices.Min(others)
	default:
		return ""
	}
}

// nominateMember returns the instance that this one has nominated to bootstrap the
// group, or an empty ID while there is none.
func (g *group) nominateMember() raft.MemberID {
	r := g.replica
	if g.nominee == "" {
		g.nominee = r.options.Discovery.chooseNominee(r.options.Self, g.id, slices.Collect(maps.Keys(r.known)), r.currentIdentity)
	}
	return g.nominee
}

// isNominee reports whether the seed with the lowest address has nominated this
// instance to bootstrap the group.
func (g *group) isNominee() bool {
	r := g.replica
	d := r.options.Discovery
	if !d.Bootstrap || len(d.Seeds) == 0 {
		return false
	}
	lowest := raft.MemberID(slices.Min(d.Seeds))
	if lowest == r.options.Self {
		return g.nominateMember() == r.options.Self
	}
	i, ok := r.currentIdentity(lowest)
	return ok && i.nominees[g.id] == r.options.Self
}

// addedGroupTicks is the time for which no member must have a group before it is started as one that
// an upgrade has added. It is longer than any identity stays current, so that none that is older than
// the start of the group elsewhere counts.
const addedGroupTicks = 2 * identityTTLTicks

// isAddedByUpgrade reports whether this instance starts a group that a new release has added to
// running instances, for which no seed nominates anybody: it is the first group's voter with the
// lowest ID, and all voters of that group have had no log of the new one for addedGroupTicks. An
// instance of an earlier release does not say so.
func (g *group) isAddedByUpgrade() bool {
	r := g.replica
	if g == r.orderedGroups[0] || !r.lacksGroup(g.id, r.orderedGroups[0].node.Membership().Voters()) {
		g.absentChecks = 0
		return false
	}
	g.absentChecks++
	return g.absentChecks*memberCheckTicks >= addedGroupTicks
}

// lacksGroup reports whether this instance is the one of the voters with the lowest ID, the voters are
// enough to form a group, and neither they nor any other known instance has a log of it.
func (r *Replica) lacksGroup(id Group, voters []raft.Member) bool {
	if len(voters) < r.options.Discovery.MinVoters {
		return false
	}
	lowest := slices.MinFunc(voters, func(a, b raft.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if lowest.ID != r.options.Self {
		return false
	}
	for _, v := range voters {
		if i, ok := r.currentIdentity(v.ID); !ok || !i.empty[id] {
			return false
		}
	}
	for other := range r.known {
		if i, ok := r.currentIdentity(other); ok && !i.relay && !i.empty[id] {
			return false
		}
	}
	return true
}

// candidates returns the instances that should be members, ordered by ID.
func (r *Replica) candidates() []Peer {
	if r.options.Discovery == nil {
		return r.options.Peers
	}
	var out []Peer
	for id := range r.known {
		if i, ok := r.currentIdentity(id); ok && !i.relay {
			out = append(out, Peer{ID: id, Addr: string(id)})
		}
	}
	slices.SortFunc(out, func(a, b Peer) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		default:
			return 0
		}
	})
	return out
}

// linkSeeds adds links to all seeds.
func (r *Replica) linkSeeds() {
	d := r.options.Discovery
	if d == nil {
		return
	}
	for _, s := range d.Seeds {
		r.addLink(Peer{ID: raft.MemberID(s), Addr: s})
	}
}

type addSeedsRequest struct{ addrs []string }

func (in addSeedsRequest) handle(r *Replica) {
	for _, a := range in.addrs {
		r.addLink(Peer{ID: raft.MemberID(a), Addr: a})
	}
}

// AddSeeds adds addresses of other instances at run time.
func (r *Replica) AddSeeds(addrs []string) {
	// The only error is that the instance has stopped, and then it needs no seeds.
	_ = r.enqueue(context.Background(), addSeedsRequest{addrs})
}

// linkKnown adds links to an instance that has sent its identity and to the members
// that it lists.
func (r *Replica) linkKnown(i identity) {
	if r.options.Discovery == nil {
		return
	}
	r.addLink(Peer{ID: i.member, Addr: string(i.member)})
	for _, p := range i.known {
		r.addLink(p)
	}
}

// linkMembers adds links to the members of the groups and removes links to
// instances that are neither members nor seeds and have not responded for
// linkIdleTicks.
func (r *Replica) linkMembers() {
	d := r.options.Discovery
	if d == nil || r.ticks%memberCheckTicks != 0 {
		return
	}
	keep := map[raft.MemberID]bool{}
	members := r.memberPeers()
	r.publishedMembers.Store(&members)
	for _, p := range members {
		keep[p.ID] = true
		r.addLink(p)
	}
	for id, l := range r.links {
		if keep[id] || slices.Contains(d.Seeds, string(id)) {
			continue
		}
		if i, known := r.known[id]; known && r.ticks-i.tick < linkIdleTicks || !known && r.ticks < linkIdleTicks {
			continue
		}
		l.stop()
		delete(r.links, id)
		delete(r.known, id)
	}
	r.forgetContacts()
}

// Members returns the members of all groups that this instance knows.
func (r *Replica) Members() []Peer {
	if p := r.publishedMembers.Load(); p != nil {
		return *p
	}
	return nil
}

// memberPeers returns the members of all groups.
func (r *Replica) memberPeers() []Peer {
	if r.options.Discovery == nil {
		return nil
	}
	var out []Peer
	for _, g := range r.orderedGroups {
		for _, m := range g.node.Membership().Members {
			p := Peer{ID: m.ID, Addr: m.Addr}
			if !slices.Contains(out, p) {
				out = append(out, p)
			}
		}
	}
	return out
}
