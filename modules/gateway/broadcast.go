package gateway

import (
	"sync"

	"heatherway.dev/core/registration"
)

// notifier tells the running streams about new incarnations and failures of upstreams.
type notifier struct {
	mu            sync.Mutex
	subscriptions map[*subscription]bool
}

type subscription struct {
	notifier *notifier
	upstream registration.Upstream
	replaced chan struct{}
	// checkRequested asks the stream to check its upstream.
	checkRequested chan struct{}
}

func newNotifier() *notifier { return &notifier{subscriptions: map[*subscription]bool{}} }

// subscribe returns a subscription whose replaced channel is closed when the incarnation has ended:
// the upstream has announced a later one, or another upstream serves at its address.
func (n *notifier) subscribe(u registration.Upstream) *subscription {
	s := &subscription{notifier: n, upstream: u, replaced: make(chan struct{}), checkRequested: make(chan struct{}, 1)}
	n.mu.Lock()
	n.subscriptions[s] = true
	n.mu.Unlock()
	return s
}

func (s *subscription) close() {
	s.notifier.mu.Lock()
	delete(s.notifier.subscriptions, s)
	s.notifier.mu.Unlock()
}

// requestChecksInZone asks the streams at other upstreams of the same service and
// availability zone to check them, since an outage of a zone stops its upstreams
// together.
func (n *notifier) requestChecksInZone(u registration.Upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.subscriptions {
		if s.upstream.Zone != u.Zone || s.upstream.Service != u.Service || s.upstream.ID == u.ID {
			continue
		}
		select {
		case s.checkRequested <- struct{}{}:
		default: // a check is already requested
		}
	}
}

// publishIncarnation tells the subscribers that an upstream has announced an incarnation. One that
// another upstream announces at the same address is no proof, since anyone may write an
// announcement.
func (n *notifier) publishIncarnation(u registration.Upstream) {
	n.closeReplaced(func(s *subscription) bool { return s.upstream.ID == u.ID && s.upstream.StartedMS < u.StartedMS })
}

// publishReplaced tells the subscribers that an incarnation has ended.
func (n *notifier) publishReplaced(u registration.Upstream) {
	n.closeReplaced(func(s *subscription) bool { return s.isAt(u) })
}

func (s *subscription) isAt(u registration.Upstream) bool {
	return s.upstream.ID == u.ID && s.upstream.StartedMS == u.StartedMS
}

// isWatched reports whether there is a subscriber to an incarnation.
func (n *notifier) isWatched(u registration.Upstream) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.subscriptions {
		if s.isAt(u) {
			return true
		}
	}
	return false
}

func (n *notifier) closeReplaced(ended func(*subscription) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.subscriptions {
		if ended(s) {
			close(s.replaced)
			delete(n.subscriptions, s)
		}
	}
}
