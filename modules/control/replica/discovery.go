package replica

import (
	"context"
	"maps"
	"slices"

	"heatherway.dev/core/raft"
)

// Discovery finds the other instances at run time. An instance is named by its
// address; it is found through the seeds, through the members that another
// instance names, or because it calls by itself.
type Discovery struct {
	// Seeds are addresses of a few instances. They may be out of date.
	Seeds []string
	// Bootstrap is set at the first start of the whole system. The seed with the
	// lowest address then names the instance that starts the groups, once every
	// other seed has said that it has no log.
	Bootstrap bool
	// MinVoters is the number of voters from which on a group takes proposals,
	// so that an acknowledged entry survives the losses to be borne.
	MinVoters int
}

const (
	// replaceTicks is the silence after which a voter gives way to a learner
	// that has caught up. It is above the longest election timeout, so that a
	// change of leader replaces nobody.
	replaceSilentTicks = 30
	// removeTicks is the silence after which a voter is removed without a
	// replacement, so that members which never return do not add up to a
	// majority.
	removeSilentTicks = 160
	// forgetTicks is the silence after which an instance that is no member is
	// no longer called.
	linkIdleTicks = 1200
)

// nomination names the instance that starts a group: a seed with a disk if there
// is one, else any other instance with a disk that has called. Only the seed
// with the lowest address names one, once every other seed has said that it has
// no log, and it does not change its mind. heard returns what an instance has
// said of itself a moment ago.
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

// nominate returns the instance that this one names to start the group, empty
// while there is none.
func (g *group) nominateMember() raft.MemberID {
	r := g.replica
	if g.nominee == "" {
		g.nominee = r.options.Discovery.chooseNominee(r.options.Self, g.id, slices.Collect(maps.Keys(r.known)), r.currentIdentity)
	}
	return g.nominee
}

// nominated tells whether the seed with the lowest address has named this
// instance to start the group.
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

// candidates are the instances that should be members, in a fixed order.
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

// AddSeeds adds addresses at which other instances may be found.
func (r *Replica) AddSeeds(addrs []string) {
	// An instance that has ended needs none.
	_ = r.enqueue(context.Background(), addSeedsRequest{addrs})
}

// linkKnown connects to an instance that has spoken, and to those it names.
func (r *Replica) linkKnown(i identity) {
	if r.options.Discovery == nil {
		return
	}
	r.addLink(Peer{ID: i.member, Addr: string(i.member)})
	for _, p := range i.known {
		r.addLink(p)
	}
}

// linkMembers connects to the members of the groups and drops links to
// instances that are neither members nor seeds and have long been silent.
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
}

// Members returns the members of all groups as this instance knows them.
func (r *Replica) Members() []Peer {
	if p := r.publishedMembers.Load(); p != nil {
		return *p
	}
	return nil
}

// memberPeers are the members of all groups.
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

// replaceSilent returns the removal of a member that has long been silent: of a
// voter early when a learner that has caught up can take its place, late
// otherwise. As many voters are kept as the losses to be borne ask for. A member
// that returns is taken in again as a learner.
func (g *group) silentMemberChange(members raft.Membership) (raft.Change, bool) {
	r := g.replica
	d := r.options.Discovery
	if d == nil {
		return raft.Change{}, false
	}
	status := g.node.Status()
	successor := false
	for _, m := range members.Members {
		if status.Peers[m.ID].Active || m.ID == r.options.Self {
			r.lastAnswer[m.ID] = r.ticks
		}
		if m.Learner && g.node.CaughtUp(m.ID) {
			successor = true
		}
	}
	voters := len(members.Voters())
	for _, m := range members.Members {
		last, seen := r.lastAnswer[m.ID]
		if !seen || last < g.leadingSince {
			last = g.leadingSince
		}
		silent := r.ticks - last
		replace := successor && !m.Learner && silent >= replaceSilentTicks
		remove := silent >= removeSilentTicks && (m.Learner || voters > d.MinVoters)
		if replace || remove {
			return raft.Change{Kind: raft.Remove, Member: m}, true
		}
	}
	return raft.Change{}, false
}
