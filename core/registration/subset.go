package registration

import "heatherway.dev/core/internal/rendezvous"

const (
	// MaxRemoteRecords is the most records of a service that a reader takes from other
	// availability zones: enough to lose its own zone and go on, and small beside the
	// directory of a large fleet. Fleets with fewer are known whole.
	MaxRemoteRecords = 320
	// wideOthers and narrowOthers are the numbers of records beyond which a reader asks for
	// half as many, or twice as many. They lie apart, so that one lost zone changes nothing.
	halveAbove  = MaxRemoteRecords + MaxRemoteRecords/4
	doubleBelow = MaxRemoteRecords / 4
	// mostHalvings bounds what a message may ask for.
	maxHalvings = 32
)

// Subset says which records of a directory a reader takes: all of its own availability
// zone, and of each service in other zones a share that differs from reader to reader, so
// that all readers together use every upstream evenly. The zero value takes everything.
// It answers fleets of thousands of upstreams, whose changes would cost each reader and
// each instance that sends them traffic that grows with the square of the size.
type Subset struct {
	Zone string
	// Reader tells the readers apart.
	Reader string
	// Halvings is how many times the records of other zones are halved, by service.
	Halvings map[string]int
}

// Contains tells whether a record belongs to the subset. It goes by the address, so that the
// successor at an address is known where its predecessor was; an id that has come back at
// another address is known everywhere.
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

// Filter returns the records that belong to the subset, in their order.
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

// InitialHalvings returns what a reader in a zone starts with, from the whole directory.
func (d *Directory) InitialHalvings(zone string) map[string]int {
	out := map[string]int{}
	for service, n := range d.countRemote(zone) {
		for ; n > MaxRemoteRecords; n /= 2 {
			out[service]++
		}
	}
	return out
}

// Adjust moves the halvings of a subset towards what the reader's own records say. It
// returns the records that no longer belong to it, and whether there are some now that the
// reader does not have.
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

// set replaces the map, since readers of it may be sending it.
func (s *Subset) setHalvings(service string, halvings int) {
	next := map[string]int{service: halvings}
	for name, n := range s.Halvings {
		if name != service {
			next[name] = n
		}
	}
	s.Halvings = next
}

// others counts the records outside a zone that have not left, by service. Services whose
// records have all left count with none.
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
