package control

import (
	"context"
	"sync/atomic"
	"time"

	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

const (
	quorumProbeInterval = 500 * time.Millisecond
	quorumProbeTimeout  = time.Second
	// maxQuorumAge is how long ago the last quorum read may have been. Beyond
	// it, this instance may be cut off and its state stale, so it sends callers
	// to other instances.
	maxQuorumAge = 3 * time.Second
)

// ReachArgs are the arguments of a quorum read on group 0.
type ReachArgs struct{}

// ReachReply holds the version of the fleet's state at the time of the read.
type ReachReply struct{ Version uint64 }

// Reach performs a quorum read on group 0.
func (s *service) Reach(a ReachArgs, r *ReachReply) error {
	ctx, cancel := s.context()
	defer cancel()
	return peer.EncodeError(s.callLeader(ctx, fleetGroup, "Reach", a, r, func(ctx context.Context) error {
		if err := s.c.log.ReadIndex(ctx, fleetGroup); err != nil {
			return err
		}
		r.Version = s.c.fleet.view().Version
		return nil
	}))
}

// reachQuorum returns once this instance has applied everything that was
// committed when it was called.
func (c *Control) reachQuorum(ctx context.Context) error {
	var r ReachReply
	s := service{c: c, forward: true}
	err := s.callLeader(ctx, fleetGroup, "Reach", ReachArgs{}, &r, func(ctx context.Context) error {
		r = ReachReply{}
		return c.log.ReadIndex(ctx, fleetGroup)
	})
	for err == nil {
		changed := c.fleet.changed.wait()
		if c.fleet.view().Version >= r.Version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			err = result.New(result.ControlUnavailable, "this control instance has not applied position %d yet", r.Version)
		}
	}
	return err
}

// quorumMonitor records when this instance last reached a quorum of the control
// instances.
type quorumMonitor struct{ lastReached atomic.Int64 }

func (m *quorumMonitor) run(ctx context.Context, reach func(context.Context) error) {
	tick := time.NewTicker(quorumProbeInterval)
	defer tick.Stop()
	for {
		m.probe(ctx, reach)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (m *quorumMonitor) probe(ctx context.Context, reach func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, quorumProbeTimeout)
	defer cancel()
	begin := time.Now()
	if reach(ctx) == nil {
		m.lastReached.Store(begin.UnixNano())
	}
}

// check returns an error if this instance may be cut off from the quorum.
func (m *quorumMonitor) check(now time.Time) error {
	if now.UnixNano()-m.lastReached.Load() < int64(maxQuorumAge) {
		return nil
	}
	return result.New(result.ControlUnavailable, "this control instance has not reached a quorum for %v", maxQuorumAge)
}
