package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/registration"
	"heatherway.dev/core/relay"
)

// This file checks upstreams that send no events for longer than expected, and decides
// whether the stream leaves them.

// checkSilence checks whether a silent upstream is reachable and works on the attempt.
// It returns true when the attempt has ended. Queued items are processed first: an
// event ends the silence, filler does not.
func (s *streamRequest) checkSilence(ctx context.Context, a *attempt, r *eventReader) bool {
	received := s.relay.Received()
	if s.processQueued(a, r) {
		return true
	}
	if s.relay.Received() > received {
		return false
	}
	progress, err := s.probeUpstream(ctx, a.choice.Upstream)
	if s.processQueued(a, r) {
		return true
	}
	if s.relay.Received() > received || err == nil && s.relay.RecordCheck(time.Now(), progress) {
		return false
	}
	s.g.metrics.silentAttempts.Inc()
	a.silent = true
	a.err = errors.New("the upstream accepts connections but sends no events")
	if progress == relay.Lost {
		a.err = errors.New("the upstream is silent and no longer works on the request")
	}
	if err != nil {
		a.err = errors.Wrap(err, "the upstream is silent and accepts no connection")
		s.g.follower.notifier.requestChecksInZone(a.choice.Upstream)
	}
	s.forwardRemaining(a, r)
	return true
}

// probeUpstream opens a connection to a silent upstream and, when the silence has
// lasted too long, fetches its load report. An error means that no connection could be
// opened. An upstream that has asked for backoff is not contacted.
func (s *streamRequest) probeUpstream(ctx context.Context, u registration.Upstream) (relay.Progress, error) {
	if s.g.remainingBackoff(u) > 0 {
		return relay.Unknown, nil
	}
	if err := s.g.connections.check(ctx, u.Addr, u.ID); err != nil {
		return relay.Unknown, err
	}
	if s.relay.TimeUntilCheck(time.Now()) > 0 {
		return relay.Unknown, nil
	}
	return s.queryProgress(ctx, u), nil
}

// processQueued processes the items that are queued at the moment, no more, since
// filler may arrive as fast as it is processed. It returns true when the attempt has
// ended.
func (s *streamRequest) processQueued(a *attempt, r *eventReader) bool {
	for range len(r.items) {
		item, more := <-r.items
		if s.handleReceive(a, r, item, more) {
			return true
		}
	}
	return false
}

// remainingDataWait gives the reader time to deliver data that has already arrived, for
// example after the process was stalled.
const remainingDataWait = 10 * time.Millisecond

// forwardRemaining forwards what has arrived from an upstream that is being given up, until
// no event has come for remainingDataWait.
func (s *streamRequest) forwardRemaining(a *attempt, r *eventReader) {
	reason := a.err
	pause := time.NewTimer(remainingDataWait)
	defer pause.Stop()
	for {
		received := s.relay.Received()
		select {
		case item, more := <-r.items:
			if s.handleReceive(a, r, item, more) {
				return
			}
			if s.relay.Received() > received {
				pause.Reset(remainingDataWait)
			}
		case <-pause.C:
			a.err = reason
			return
		}
	}
}
