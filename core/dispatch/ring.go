package dispatch

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// ringPoints is the number of points of an upstream on the ring; the shares of
	// the keys differ by a third with it, which the cost of a loaded home evens out.
	pointsPerUpstream = 8
	// ringSteps bounds the points that are looked at for a key, so that its cost
	// does not grow when most upstreams cannot be used.
	maxLookupSteps = 64
	// ringBatch is the number of new points from which on all are sorted at once,
	// as with the first directory of a gateway that starts.
	sortThreshold = 256
)

// ring is a consistent hash of the addresses of a group. An upstream that comes
// or goes changes the places of few keys, and a lookup does not grow with the
// number of upstreams.
type ring struct {
	points  []point
	pending []point // not yet among points
}

type point struct {
	at uint64
	*upstream
}

func (p point) compare(at uint64) int { return cmp.Compare(p.at, at) }

func (r *ring) add(u *upstream) {
	for i := range pointsPerUpstream {
		r.pending = append(r.pending, point{xxhash.Sum64String(u.Addr + "#" + strconv.Itoa(i)), u})
	}
}

// settle puts the new points in their places.
func (r *ring) mergePending() {
	if len(r.pending) >= sortThreshold {
		r.points = append(r.points, r.pending...)
		slices.SortFunc(r.points, func(a, b point) int { return cmp.Compare(a.at, b.at) })
		r.pending = nil
		return
	}
	for _, p := range r.pending {
		place, _ := slices.BinarySearchFunc(r.points, p.at, point.compare)
		r.points = slices.Insert(r.points, place, p)
	}
	r.pending = r.pending[:0]
}

func (r *ring) remove(u *upstream) {
	r.mergePending()
	r.points = slices.DeleteFunc(r.points, func(p point) bool { return p.upstream == u })
}

// after returns the first upstreams after a key that can be used, count at most.
func (r *ring) lookup(key string, count int, usable func(*upstream) bool) []*upstream {
	r.mergePending()
	out := make([]*upstream, 0, count)
	place, _ := slices.BinarySearchFunc(r.points, xxhash.Sum64String(key), point.compare)
	for i := range min(len(r.points), maxLookupSteps) {
		u := r.points[(place+i)%len(r.points)].upstream
		if slices.Contains(out, u) || !usable(u) {
			continue
		}
		if out = append(out, u); len(out) == count {
			break
		}
	}
	return out
}
