package member

import (
	"cmp"
	"hash/fnv"
	"slices"

	"heatherway.dev/core/wire"
)

const (
	// SubsetSize is the most upstreams that an entry knows of one model or
	// service.
	SubsetSize = 32
	// RemoteShare is the number of places in a full subset kept for other
	// availability zones, so that the loss of a zone leaves upstreams to use.
	RemoteShare = 8
)

// Subset returns the upstreams that an entry knows: for each model and each
// service the best by rendezvous hash. Those of the entry's own zone come
// first, and at least RemoteShare places are left to other zones if they have
// upstreams. The members are in order of id, and so is the result.
func Subset(entry, zone string, members []wire.Upstream) []wire.Upstream {
	chosen := map[int]bool{}
	for _, group := range groups(members) {
		for _, i := range choose(entry, zone, members, group) {
			chosen[i] = true
		}
	}
	out := make([]wire.Upstream, 0, len(chosen))
	for i := range members {
		if chosen[i] {
			out = append(out, members[i])
		}
	}
	return out
}

// groups returns the positions of the members of each model and each service.
func groups(members []wire.Upstream) map[string][]int {
	out := map[string][]int{}
	for i := range members {
		for _, m := range members[i].Models {
			out["model "+m] = append(out["model "+m], i)
		}
		for _, s := range members[i].Services {
			out["service "+s] = append(out["service "+s], i)
		}
	}
	return out
}

type scored struct {
	at   int
	hash uint64
}

func choose(entry, zone string, members []wire.Upstream, group []int) []int {
	if len(group) <= SubsetSize {
		return group
	}
	var local, remote []scored
	for _, i := range group {
		s := scored{i, score(entry, members[i].ID)}
		if members[i].Zone == zone {
			local = append(local, s)
		} else {
			remote = append(remote, s)
		}
	}
	far := min(len(remote), max(RemoteShare, SubsetSize-len(local)))
	near := min(len(local), SubsetSize-far)
	return append(best(local, near), best(remote, far)...)
}

func best(list []scored, n int) []int {
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.hash, a.hash) })
	out := make([]int, 0, n)
	for _, s := range list[:n] {
		out = append(out, s.at)
	}
	return out
}

// score is the rendezvous hash of an entry and an upstream.
func score(entry, upstream string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(entry)) // a hash never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(upstream))
	return mix(h.Sum64())
}

// mix spreads the bits of an FNV hash, whose upper bits hardly depend on the
// last bytes written.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Version identifies the content of a subset; it is zero only for an empty
// one. It depends on nothing else, so that every control instance gives the
// same version to the same content.
func Version(subset []wire.Upstream) uint64 {
	if len(subset) == 0 {
		return 0
	}
	h := fnv.New64a()
	put := func(s string) {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	list := func(l []string) {
		for _, s := range l {
			put(s)
		}
		put("")
	}
	var n [16]byte
	for i := range subset {
		u := &subset[i]
		for _, s := range []string{u.ID, u.Zone, u.Region, u.Addr, u.EventsURL} {
			put(s)
		}
		list(u.Models)
		list(u.Adapters)
		list(u.Services)
		putUint(n[:8], uint64(u.Incarnation))
		putUint(n[8:], uint64(u.Slots)<<8|uint64(u.State))
		_, _ = h.Write(n[:])
	}
	return max(1, mix(h.Sum64()))
}

func putUint(b []byte, v uint64) {
	for i := range 8 {
		b[i] = byte(v >> (8 * i))
	}
}
