package gateway

import (
	"sync"

	"heatherway.dev/core/registration"
)

// incarnation is an upstream that has announced itself at an address.
type incarnation struct {
	addr      string
	id        string
	startedMS int64
}

// replaces tells whether another incarnation at the same address has ended.
func (i incarnation) supersedes(u registration.Upstream) bool {
	return i.addr == u.Addr && i.startedMS > u.StartedMS
}

// broadcast passes incarnations on to the streams under way.
type notifier struct {
	mu            sync.Mutex
	subscriptions map[*subscription]bool
}

type subscription struct {
	notifier *notifier
	upstream registration.Upstream
	replaced chan struct{}
	// suspect carries alarms.
	checkRequested chan struct{}
}

func newNotifier() *notifier { return &notifier{subscriptions: map[*subscription]bool{}} }

// watch returns a subscription whose channel is closed when the upstream's
// incarnation is known to have ended.
func (b *notifier) subscribe(u registration.Upstream) *subscription {
	s := &subscription{notifier: b, upstream: u, replaced: make(chan struct{}), checkRequested: make(chan struct{}, 1)}
	b.mu.Lock()
	b.subscriptions[s] = true
	b.mu.Unlock()
	return s
}

func (s *subscription) close() {
	s.notifier.mu.Lock()
	delete(s.notifier.subscriptions, s)
	s.notifier.mu.Unlock()
}

// alarm asks the streams on other upstreams of an availability zone to check
// theirs: the upstreams of a zone stop together.
func (b *notifier) requestChecksInZone(u registration.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.subscriptions {
		if s.upstream.Zone != u.Zone || s.upstream.Service != u.Service || s.upstream.ID == u.ID {
			continue
		}
		select {
		case s.checkRequested <- struct{}{}:
		default: // an alarm is waiting already
		}
	}
}

func (b *notifier) publishIncarnation(i incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.subscriptions {
		if i.supersedes(s.upstream) {
			close(s.replaced)
			delete(b.subscriptions, s)
		}
	}
}
