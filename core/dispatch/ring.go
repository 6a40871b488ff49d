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
	ringPoints = 8
	// ringSteps bounds the points that are looked at for a key, so that its cost
	// does not grow when most upstreams cannot be used.
	ringSteps = 64
	// ringBatch is the number of new points from which on all are sorted at once,
	// as with the first directory of a gateway that starts.
	ringBatch = 256
)

// ring is a consistent hash of the addresses of a group. An upstream that comes
// or goes changes the places of few keys, and a lookup does not grow with the
// number of upstreams.
type ring struct {
	points []point
	added  []point // not yet among points
}

type point struct {
	at uint64
	*upstream
}

func (p point) compare(at uint64) int { return cmp.Compare(p.at, at) }

func (r *ring) add(u *upstream) {
	for i := range ringPoints {
		r.added = append(r.added, point{xxhash.Sum64String(u.Addr + "#" + strconv.Itoa(i)), u})
	}
}

// settle puts the new points in their places.
func (r *ring) settle() {
	if len(r.added) >= ringBatch {
		r.points = append(r.points, r.added...)
		slices.SortFunc(r.points, func(a, b point) int { return cmp.Compare(a.at, b.at) })
		r.added = nil
		return
	}
	for _, p := range r.added {
		place, _ := slices.BinarySearchFunc(r.points, p.at, point.compare)
		r.points = slices.Insert(r.points, place, p)
	}
	r.added = r.added[:0]
}

func (r *ring) remove(u *upstream) {
	r.settle()
	r.points = slices.DeleteFunc(r.points, func(p point) bool { return p.upstream == u })
}

// after returns the first upstreams after a key that can be used, count at most.
func (r *ring) after(key string, count int, usable func(*upstream) bool) []*upstream {
	r.settle()
	out := make([]*upstream, 0, count)
	place, _ := slices.BinarySearchFunc(r.points, xxhash.Sum64String(key), point.compare)
	for i := range min(len(r.points), ringSteps) {
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
