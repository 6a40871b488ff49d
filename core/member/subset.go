package member

import (
	"cmp"
	"hash/fnv"
	"slices"

	"heatherway.dev/core/internal/rendezvous"
	"heatherway.dev/core/wire"
)

const (
	// MaxUpstreamsPerGroup is the maximum number of upstreams of a model or service that an
	// entry knows.
	MaxUpstreamsPerGroup = 32
	// MinRemoteUpstreams is the number of places per model or service that are reserved for
	// other availability zones, so that upstreams remain after the loss of a zone.
	MinRemoteUpstreams = 8
)

// Index groups the members by model and service. It is immutable and shared by all entries.
type Index struct {
	members []wire.Upstream
	// hashes holds the rendezvous hash of each member's ID.
	hashes []uint64
	// groups holds, for each model and each service, the indexes of its members.
	groups [][]int
	// regions maps each availability zone to its region.
	regions map[string]string
}

// NewIndex returns an index of members, which must be sorted by ID.
func NewIndex(members []wire.Upstream) *Index {
	x := &Index{members: members, hashes: make([]uint64, len(members)), regions: map[string]string{}}
	byName := map[string][]int{}
	var names []string
	add := func(name string, i int) {
		if byName[name] == nil {
			names = append(names, name)
		}
		byName[name] = append(byName[name], i)
	}
	for i := range members {
		u := &members[i]
		x.hashes[i] = rendezvous.Hash(u.ID)
		x.regions[u.Zone] = u.Region
		for _, m := range u.Models {
			add("model "+m, i)
		}
		for _, s := range u.Services {
			add("service "+s, i)
		}
	}
	for _, n := range names {
		x.groups = append(x.groups, byName[n])
	}
	return x
}

// Members returns all members.
func (x *Index) Members() []wire.Upstream { return x.members }

// Subset returns the upstreams that an entry knows, sorted by ID: at most
// MaxUpstreamsPerGroup of each model and each service. Upstreams that are up are preferred,
// then those of the entry's zone, except that MinRemoteUpstreams places are reserved for
// other zones. The rendezvous hash decides among equals.
func (x *Index) Subset(entry, zone string) []wire.Upstream {
	sel := selector{index: x, entry: rendezvous.Hash(entry), zone: zone, region: x.regions[zone]}
	chosen := make([]bool, len(x.members))
	for _, group := range x.groups {
		for _, i := range sel.selectFrom(group) {
			chosen[i] = true
		}
	}
	var out []wire.Upstream
	for i, in := range chosen {
		if in {
			out = append(out, x.members[i])
		}
	}
	return out
}

// selector selects the upstreams of one entry.
type selector struct {
	index        *Index
	entry        uint64
	zone, region string
}

type candidate struct {
	index       int
	otherRegion bool
	hash        uint64
}

func (sel *selector) selectFrom(group []int) []int {
	if len(group) <= MaxUpstreamsPerGroup {
		return group
	}
	var local, remote, unavailable []candidate
	for _, i := range group {
		u := &sel.index.members[i]
		s := candidate{i, u.Region != sel.region, rendezvous.Mix(sel.entry ^ sel.index.hashes[i])}
		switch {
		case u.State != wire.UpstreamUp:
			unavailable = append(unavailable, s)
		case u.Zone == sel.zone:
			local = append(local, s)
		default:
			remote = append(remote, s)
		}
	}
	remoteCount := min(len(remote), max(MinRemoteUpstreams, MaxUpstreamsPerGroup-len(local)))
	localCount := min(len(local), MaxUpstreamsPerGroup-remoteCount)
	out := append(selectBest(local, localCount), sel.selectRemote(remote, remoteCount, localCount == 0)...)
	return append(out, selectBest(unavailable, MaxUpstreamsPerGroup-len(out))...)
}

// selectRemote returns the best n upstreams of other zones. If the entry's own zone has no
// upstreams and all n are in one zone, the last is replaced by one of another zone.
func (sel *selector) selectRemote(remote []candidate, n int, noLocal bool) []int {
	out := selectBest(remote, n)
	if !noLocal || n < 2 {
		return out
	}
	zone := sel.index.members[out[0]].Zone
	differs := func(i int) bool { return sel.index.members[i].Zone != zone }
	if slices.ContainsFunc(out, differs) {
		return out
	}
	other := slices.IndexFunc(remote, func(r candidate) bool { return differs(r.index) })
	if other >= 0 {
		out[n-1] = remote[other].index
	}
	return out
}

// selectBest sorts the candidates, those in the entry's region first and then by descending
// hash, and returns the indexes of the first n.
func selectBest(list []candidate, n int) []int {
	slices.SortFunc(list, func(a, b candidate) int {
		if a.otherRegion != b.otherRegion {
			if b.otherRegion {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.hash, a.hash)
	})
	out := make([]int, 0, n)
	for _, s := range list[:min(n, len(list))] {
		out = append(out, s.index)
	}
	return out
}

// Version returns a hash of a subset's content; it is zero only for an empty subset. It
// depends only on the content, so that all control instances compute the same version.
func Version(subset []wire.Upstream) uint64 {
	if len(subset) == 0 {
		return 0
	}
	b := make([]byte, 0, 128*len(subset))
	for i := range subset {
		b = appendUpstream(b, &subset[i])
	}
	h := fnv.New64a()
	_, _ = h.Write(b)
	return max(1, rendezvous.Mix(h.Sum64()))
}

func appendUpstream(b []byte, u *wire.Upstream) []byte {
	for _, s := range []string{u.ID, u.Zone, u.Region, u.Addr, u.EventsURL} {
		b = appendString(b, s)
	}
	for _, list := range [][]string{u.Models, u.Adapters, u.Services} {
		for _, s := range list {
			b = appendString(b, s)
		}
		b = append(b, 0)
	}
	b = appendUint(b, uint64(u.Incarnation))
	return appendUint(b, uint64(u.Slots)<<8|uint64(u.State))
}

func appendString(b []byte, s string) []byte { return append(append(b, s...), 0) }

func appendUint(b []byte, v uint64) []byte {
	for i := range 8 {
		b = append(b, byte(v>>(8*i)))
	}
	return b
}
