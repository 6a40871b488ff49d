package entry

import (
	"math/rand/v2"

	"heatherway.dev/core/wire"
)

// query describes what an upstream is wanted for.
type query struct {
	model   string
	service string
	class   wire.Class
	zone    string
	// avoid names upstreams that have failed this request.
	avoid map[string]bool
}

// chooser picks an upstream from a snapshot.
type chooser interface {
	choose(s *snapshot, q query) (*upstream, bool)
}

// twoChoices takes the better of two random candidates, which keeps entries
// from all choosing the same upstream.
type twoChoices struct{}

func (twoChoices) choose(s *snapshot, q query) (*upstream, bool) {
	fit := candidates(s, q, true)
	if len(fit) == 0 {
		fit = candidates(s, q, false)
	}
	if len(fit) == 0 {
		return nil, false
	}
	a, b := fit[rand.IntN(len(fit))], fit[rand.IntN(len(fit))]
	if expectedWait(b, q) < expectedWait(a, q) {
		return b, true
	}
	return a, true
}

func candidates(s *snapshot, q query, avoid bool) []*upstream {
	var fit []*upstream
	for _, u := range s.upstreams {
		if u.State == wire.UpstreamUp && !u.load.Leaving && u.offers(q) && !(avoid && q.avoid[u.ID]) {
			fit = append(fit, u)
		}
	}
	return fit
}

// offers tells whether the upstream serves the model or service.
func (u *upstream) offers(q query) bool {
	list, want := u.Models, q.model
	if q.service != "" {
		list, want = u.Services, q.service
	}
	for _, n := range list {
		if n == want {
			return true
		}
	}
	return false
}

// Costs that the choice weighs, in milliseconds.
const (
	waitPerRequest = 20
	waitOtherZone  = 2
)

func expectedWait(u *upstream, q query) int {
	w := int(u.load.WaitMS[q.class]) + waitPerRequest*u.since
	if busy := int(u.load.Running) + u.since - int(u.load.Slots); u.load.Slots > 0 && busy > 0 {
		w += waitPerRequest * busy
	}
	if u.Zone != q.zone {
		w += waitOtherZone
	}
	return w
}
