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
func (i incarnation) replaces(u registration.Upstream) bool {
	return i.addr == u.Addr && i.startedMS > u.StartedMS
}

// broadcast passes incarnations on to the streams under way.
type broadcast struct {
	mu   sync.Mutex
	subs map[*subscription]bool
}

type subscription struct {
	of      *broadcast
	watched registration.Upstream
	ended   chan struct{}
	// suspect carries alarms.
	suspect chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{subs: map[*subscription]bool{}} }

// watch returns a subscription whose channel is closed when the upstream's
// incarnation is known to have ended.
func (b *broadcast) watch(u registration.Upstream) *subscription {
	s := &subscription{of: b, watched: u, ended: make(chan struct{}), suspect: make(chan struct{}, 1)}
	b.mu.Lock()
	b.subs[s] = true
	b.mu.Unlock()
	return s
}

func (s *subscription) close() {
	s.of.mu.Lock()
	delete(s.of.subs, s)
	s.of.mu.Unlock()
}

// alarm asks the streams on other upstreams of an availability zone to check
// theirs: the upstreams of a zone stop together.
func (b *broadcast) alarm(u registration.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.subs {
		if s.watched.Zone != u.Zone || s.watched.Service != u.Service || s.watched.ID == u.ID {
			continue
		}
		select {
		case s.suspect <- struct{}{}:
		default: // an alarm is waiting already
		}
	}
}

func (b *broadcast) publish(i incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.subs {
		if i.replaces(s.watched) {
			close(s.ended)
			delete(b.subs, s)
		}
	}
}
