package registration

import "heatherway.dev/core/internal/rendezvous"

const (
	// MaxRemoteRecords is the maximum number of records per service that a reader initially
	// takes from other availability zones. It is enough to survive the loss of its own zone
	// and small compared with the directory of a large fleet. Services with fewer remote
	// records are included completely.
	MaxRemoteRecords = 320
	// A reader with more than halveAbove remote records of a service halves its share of them;
	// one with fewer than doubleBelow doubles it. The limits are so far apart that the loss of
	// one availability zone doesn't change the share.
	halveAbove  = MaxRemoteRecords + MaxRemoteRecords/4
	doubleBelow = MaxRemoteRecords / 4
	// maxHalvings limits the halvings that a received message may request.
	maxHalvings = 32
)

// Subset defines which records of a directory a reader takes: all records of its own
// availability zone, and a share of each service's records in other zones. The share differs
// between readers, so that together they use all upstreams evenly. The zero value contains
// all records.
//
// Without subsets the traffic for changes would grow with the square of the fleet's size,
// which is too much with thousands of upstreams.
type Subset struct {
	Zone string
	// Reader identifies the reader.
	Reader string
	// Halvings is how many times the share of records from other zones is halved, by
	// service.
	Halvings map[string]int
}

// Contains reports whether a record belongs to the subset. The decision depends on the
// address, so that readers that know an upstream also learn of its successor at the same
// address. An upstream that has reappeared at another address is in every subset, because
// readers may know it by its previous address. With n halvings, a record is in the share if
// the n highest bits of its hash are zero.
func (s *Subset) Contains(u *Upstream) bool {
	if s.Zone == "" || u.Zone == s.Zone || u.Moved {
		return true
	}
	n := min(s.Halvings[u.Service], maxHalvings)
	if n <= 0 {
		return true
	}
	return rendezvous.Weight(s.Reader, u.Addr)>>(64-n) == 0
}

// Filter returns the records that belong to the subset, in the same order.
func (s *Subset) Filter(list []Upstream) []Upstream {
	if s.Zone == "" || len(s.Halvings) == 0 {
		return list
	}
	var out []Upstream
	for i := range list {
		if s.Contains(&list[i]) {
			out = append(out, list[i])
		}
	}
	return out
}

// InitialHalvings computes the initial halvings of a reader in a zone from the complete
// directory.
func (d *Directory) InitialHalvings(zone string) map[string]int {
	out := map[string]int{}
	for service, n := range d.countRemote(zone) {
		for ; n > MaxRemoteRecords; n /= 2 {
			out[service]++
		}
	}
	return out
}

// Adjust changes the halvings of a reader's subset by at most one per service, based on the
// number of records in the reader's directory. It removes and returns the records that no
// longer belong to the subset, and reports whether the subset has grown; the reader must
// then request the records that it lacks.
func (d *Directory) Adjust(s *Subset) (dropped []Upstream, more bool) {
	for service, n := range d.countRemote(s.Zone) {
		switch {
		case n > halveAbove:
			s.setHalvings(service, s.Halvings[service]+1)
		case n < doubleBelow && s.Halvings[service] > 0:
			s.setHalvings(service, s.Halvings[service]-1)
			more = true
		}
	}
	for id, r := range d.byID {
		if !s.Contains(&r.Upstream) {
			dropped = append(dropped, r.Upstream)
			d.remove(id, r)
		}
	}
	sortByID(dropped)
	return dropped, more
}

// setHalvings replaces the map instead of changing it, because another goroutine may be
// sending the old one.
func (s *Subset) setHalvings(service string, halvings int) {
	next := map[string]int{service: halvings}
	for name, n := range s.Halvings {
		if name != service {
			next[name] = n
		}
	}
	s.Halvings = next
}

// countRemote counts the records outside a zone that have not left, by service. A service
// whose records have all left is included with a count of zero, so that Adjust enlarges the
// reader's share of it.
func (d *Directory) countRemote(zone string) map[string]int {
	out := map[string]int{}
	for _, r := range d.byID {
		if r.Zone == zone {
			continue
		}
		n := 0
		if r.State != Left {
			n = 1
		}
		out[r.Service] += n
	}
	return out
}
