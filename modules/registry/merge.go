package registry

import (
	"context"
	"sync"
)

// confirmationMerger merges concurrent calls into one confirmation by the leader. A call
// that arrives while a confirmation is in progress waits for the next one, since the
// result must be no older than the call. When all gateways restart, hundreds of them
// call at once; merging reduces these to a few confirmations.
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

// confirm returns a version that the leader confirmed after the call started.
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

// run confirms until no call waits.
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
