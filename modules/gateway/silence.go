package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/registration"
	"heatherway.dev/core/relay"
)

// This file finds out what the silence of an upstream in the middle of a stream means.

// check finds out whether a silent upstream is alive and works on the attempt. It
// returns true when the attempt has ended. What arrives in the meantime is taken
// first: an event ends the silence, filler does not.
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
	a.err = errors.New("the upstream is silent and accepts connections")
	if progress == relay.Lost {
		a.err = errors.New("the upstream is silent and its work on the request is lost")
	}
	if err != nil {
		a.err = errors.Wrap(err, "the upstream is silent")
		s.g.follower.notifier.requestChecksInZone(a.choice.Upstream)
	}
	s.drainReader(a, r)
	return true
}

// probe opens a connection to a silent upstream and, when the patience with the
// attempt has run out, asks for its report. An error means that there is no connection.
func (s *streamRequest) probeUpstream(ctx context.Context, u registration.Upstream) (relay.Progress, error) {
	if s.g.remainingBackoff(u) > 0 {
		return relay.Unknown, nil
	}
	if err := s.g.upstreams.check(ctx, u.Addr, u.ID); err != nil {
		return relay.Unknown, err
	}
	if s.relay.TimeUntilCheck(time.Now()) > 0 {
		return relay.Unknown, nil
	}
	return s.queryProgress(ctx, u), nil
}

// takeArrived takes what waits at the moment; filler may arrive as fast as it is
// taken. It returns true when the attempt has ended.
func (s *streamRequest) processQueued(a *attempt, r *eventReader) bool {
	for range len(r.events) {
		in, more := <-r.events
		if s.handleItem(a, r, in, more) {
			return true
		}
	}
	return false
}

// readyPause lets a reader that is behind, for example after the process stood
// still, pass on what has arrived.
const drainPause = 10 * time.Millisecond

// takeReady passes on what has arrived from an upstream that is given up, until no
// event has come for readyPause.
func (s *streamRequest) drainReader(a *attempt, r *eventReader) {
	reason := a.err
	pause := time.NewTimer(drainPause)
	defer pause.Stop()
	for {
		received := s.relay.Received()
		select {
		case in, more := <-r.events:
			if s.handleItem(a, r, in, more) {
				return
			}
			if s.relay.Received() > received {
				pause.Reset(drainPause)
			}
		case <-pause.C:
			a.err = reason
			return
		}
	}
}
