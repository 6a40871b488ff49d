package gateway

import (
	"sync"

	"heatherway.dev/core/registration"
)

// incarnation is one process lifetime of an upstream at an address, as announced by the
// upstream itself.
type incarnation struct {
	addr      string
	id        string
	startedMS int64
}

// supersedes reports whether i was started after u at the same address, which means
// that u has ended.
func (i incarnation) supersedes(u registration.Upstream) bool {
	return i.addr == u.Addr && i.startedMS > u.StartedMS
}

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

// subscribe returns a subscription whose replaced channel is closed when a newer
// incarnation announces itself at the address of the upstream.
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

func (n *notifier) publishIncarnation(i incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.subscriptions {
		if i.supersedes(s.upstream) {
			close(s.replaced)
			delete(n.subscriptions, s)
		}
	}
}
