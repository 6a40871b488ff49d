package dispatch

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// pointsPerUpstream is the number of points of each upstream on the ring. With 8, the
	// shares of the keys differ by a third; the cost of a loaded upstream compensates for
	// that.
	pointsPerUpstream = 8
	// maxLookupSteps bounds the points visited for a key, so that the cost of a lookup
	// does not grow when most upstreams are unusable.
	maxLookupSteps = 64
	// sortThreshold is the number of new points from which all are sorted at once, as for
	// the first directory after a gateway starts.
	sortThreshold = 256
)

// ring is a consistent hash ring of the addresses of a group. Adding or removing an
// upstream moves few keys, and the cost of a lookup does not grow with the number of
// upstreams.
type ring struct {
	points  []point
	pending []point // not yet merged into points
}

type point struct {
	hash uint64
	*upstream
}

func (p point) compare(hash uint64) int { return cmp.Compare(p.hash, hash) }

func (r *ring) add(u *upstream) {
	for i := range pointsPerUpstream {
		r.pending = append(r.pending, point{xxhash.Sum64String(u.Addr + "#" + strconv.Itoa(i)), u})
	}
}

// mergePending merges the new points into the sorted ones.
func (r *ring) mergePending() {
	if len(r.pending) >= sortThreshold {
		r.points = append(r.points, r.pending...)
		slices.SortFunc(r.points, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
		r.pending = nil
		return
	}
	for _, p := range r.pending {
		i, _ := slices.BinarySearchFunc(r.points, p.hash, point.compare)
		r.points = slices.Insert(r.points, i, p)
	}
	r.pending = r.pending[:0]
}

func (r *ring) remove(u *upstream) {
	r.mergePending()
	r.points = slices.DeleteFunc(r.points, func(p point) bool { return p.upstream == u })
}

// lookup returns the first usable upstreams after a key on the ring, at most count.
func (r *ring) lookup(key string, count int, usable func(*upstream) bool) []*upstream {
	r.mergePending()
	out := make([]*upstream, 0, count)
	first, _ := slices.BinarySearchFunc(r.points, xxhash.Sum64String(key), point.compare)
	for i := range min(len(r.points), maxLookupSteps) {
		u := r.points[(first+i)%len(r.points)].upstream
		if slices.Contains(out, u) || !usable(u) {
			continue
		}
		if out = append(out, u); len(out) == count {
			break
		}
	}
	return out
}
