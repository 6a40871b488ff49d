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
func (s *streaming) check(ctx context.Context, a *attempt, r *eventReader) bool {
	received := s.relay.Received()
	if s.takeArrived(a, r) {
		return true
	}
	if s.relay.Received() > received {
		return false
	}
	progress, err := s.probe(ctx, a.choice.Upstream)
	if s.takeArrived(a, r) {
		return true
	}
	if s.relay.Received() > received || err == nil && s.relay.RecordCheck(time.Now(), progress) {
		return false
	}
	s.g.metrics.silent.Inc()
	a.silent = true
	a.err = errors.New("the upstream is silent and accepts connections")
	if progress == relay.Lost {
		a.err = errors.New("the upstream is silent and its work on the request is lost")
	}
	if err != nil {
		a.err = errors.Wrap(err, "the upstream is silent")
		s.g.follower.replaced.alarm(a.choice.Upstream)
	}
	s.takeReady(a, r)
	return true
}

// probe opens a connection to a silent upstream and, when the patience with the
// attempt has run out, asks for its report. An error means that there is no connection.
func (s *streaming) probe(ctx context.Context, u registration.Upstream) (relay.Progress, error) {
	if s.g.backoff(u) > 0 {
		return relay.Unknown, nil
	}
	if err := s.g.upstreams.check(ctx, u.Addr, u.ID); err != nil {
		return relay.Unknown, err
	}
	if s.relay.TimeUntilCheck(time.Now()) > 0 {
		return relay.Unknown, nil
	}
	return s.askProgress(ctx, u), nil
}

// takeArrived takes what waits at the moment; filler may arrive as fast as it is
// taken. It returns true when the attempt has ended.
func (s *streaming) takeArrived(a *attempt, r *eventReader) bool {
	for range len(r.events) {
		in, more := <-r.events
		if s.arrived(a, r, in, more) {
			return true
		}
	}
	return false
}

// readyPause lets a reader that is behind, for example after the process stood
// still, pass on what has arrived.
const readyPause = 10 * time.Millisecond

// takeReady passes on what has arrived from an upstream that is given up, until no
// event has come for readyPause.
func (s *streaming) takeReady(a *attempt, r *eventReader) {
	reason := a.err
	pause := time.NewTimer(readyPause)
	defer pause.Stop()
	for {
		received := s.relay.Received()
		select {
		case in, more := <-r.events:
			if s.arrived(a, r, in, more) {
				return
			}
			if s.relay.Received() > received {
				pause.Reset(readyPause)
			}
		case <-pause.C:
			a.err = reason
			return
		}
	}
}
