package registry

import (
	"context"
	"sync"
)

// merger lets calls share one confirmation by the leader. A call that comes
// while a confirmation is under way waits for the next one, since the answer must
// be no older than the call. After the loss of all gateways hundreds of them ask
// at once, and the leader then confirms for a few instead of for each.
type confirmationMerger struct {
	confirmOnce func() (uint64, error)

	mu      sync.Mutex
	running bool
	waiting []chan confirmation
}

type confirmation struct {
	version uint64
	err     error
}

// do returns a version that was confirmed after the call.
func (m *confirmationMerger) confirm(ctx context.Context) (uint64, error) {
	answer := make(chan confirmation, 1)
	m.mu.Lock()
	m.waiting = append(m.waiting, answer)
	if !m.running {
		m.running = true
		go m.run()
	}
	m.mu.Unlock()
	select {
	case a := <-answer:
		return a.version, a.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// run confirms until nobody waits.
func (m *confirmationMerger) run() {
	for {
		m.mu.Lock()
		waiting := m.waiting
		m.waiting = nil
		m.running = len(waiting) > 0
		m.mu.Unlock()
		if len(waiting) == 0 {
			return
		}
		version, err := m.confirmOnce()
		for _, answer := range waiting {
			answer <- confirmation{version, err}
		}
	}
}
