package replica

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"heatherway.dev/core/raft"
	"heatherway.dev/kernel/peer"
)

// Introducer takes part in the discovery for an instance without a disk. Such an
// instance holds no log but may be a seed: instances with a disk find each other
// through it and learn from it which of them bootstraps the groups.
type Introducer struct {
	self      raft.MemberID
	groups    []Group
	discovery Discovery
	clients   *peer.Clients

	mu       sync.Mutex
	known    map[raft.MemberID]identity
	heardAt  map[raft.MemberID]time.Time
	nominees map[Group]raft.MemberID
}

const (
	// identityTTL is how long the identity of an instance counts as current.
	identityTTL = identityTTLTicks * DefaultTick
	// memberTTL is how long the members that an instance has listed are kept. It is
	// longer than identityTTL so that a process that was paused still knows members.
	memberTTL = time.Minute
)

// NewIntroducer returns the introducer of the instance with the address self.
func NewIntroducer(self string, groups []Group, d Discovery, clients *peer.Clients) *Introducer {
	return &Introducer{
		self: raft.MemberID(self), groups: groups, discovery: d, clients: clients, known: map[raft.MemberID]identity{},
		heardAt: map[raft.MemberID]time.Time{}, nominees: map[Group]raft.MemberID{},
	}
}

// Run exchanges identities with the other seeds and the members until ctx ends.
func (m *Introducer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, addr := range m.targets() {
			m.queryIdentity(ctx, addr)
		}
		if sleep(ctx, identityInterval) != nil {
			return
		}
	}
}

// targets returns the addresses of the other seeds and of the members.
func (m *Introducer) targets() []string {
	var out []string
	for _, s := range m.discovery.Seeds {
		if s != string(m.self) {
			out = append(out, s)
		}
	}
	for _, p := range m.Members() {
		if !slices.Contains(out, p.Addr) {
			out = append(out, p.Addr)
		}
	}
	return out
}

func (m *Introducer) queryIdentity(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	var reply IdentityReply
	// An instance that cannot be reached is queried again in the next round.
	if m.clients.To(addr).Call(ctx, ServiceName+".Identity", &IdentityArgs{From: m.identityReply()}, &reply) == nil {
		m.recordIdentity(reply)
	}
}

// Identity returns the identity of this instance and records that of the caller.
func (m *Introducer) Identity(args *IdentityArgs, reply *IdentityReply) error {
	m.recordIdentity(args.From)
	*reply = m.identityReply()
	return nil
}

func (m *Introducer) recordIdentity(r IdentityReply) {
	if r.Member == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known[r.Member], m.heardAt[r.Member] = newIdentity(r), time.Now()
}

// Members returns the members of the groups, as listed by the instances that hold the
// log.
func (m *Introducer) Members() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Peer
	for id, i := range m.known {
		if time.Since(m.heardAt[id]) > memberTTL || i.relay {
			continue
		}
		for _, p := range i.known {
			if !slices.Contains(out, p) {
				out = append(out, p)
			}
		}
	}
	return out
}

func (m *Introducer) identityReply() IdentityReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := IdentityReply{Member: m.self, Relay: true, Empty: m.groups, Nominees: map[Group]raft.MemberID{}}
	for id, i := range m.known {
		if time.Since(m.heardAt[id]) <= identityTTL && !i.relay {
			r.Known = append(r.Known, Peer{ID: id, Addr: string(id)})
		}
	}
	for _, g := range m.groups {
		if m.nominees[g] == "" {
			m.nominees[g] = m.discovery.chooseNominee(m.self, g, slices.Collect(maps.Keys(m.known)), m.currentIdentity)
		}
		if n := m.nominees[g]; n != "" {
			r.Nominees[g] = n
		}
	}
	return r
}

// currentIdentity returns the identity of an instance if it is not older than identityTTL.
func (m *Introducer) currentIdentity(id raft.MemberID) (identity, bool) {
	if id == m.self {
		own := identity{member: id, relay: true, empty: map[Group]bool{}}
		for _, g := range m.groups {
			own.empty[g] = true
		}
		return own, true
	}
	i, ok := m.known[id]
	return i, ok && time.Since(m.heardAt[id]) <= identityTTL
}
