package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

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
	progress, err := s.probeUpstream(ctx, a)
	if s.processQueued(a, r) {
		return true
	}
	if s.relay.Received() > received || err == nil && s.relay.RecordCheck(time.Now(), progress) {
		return false
	}
	if !s.mayGiveUp(a) {
		if !a.kept {
			s.g.log.Info("silent upstream kept: the stream can't go on elsewhere", "request", s.req.ID, "upstream", a.choice.Upstream.ID,
				"progress", progress.String(), "reachable", err == nil, "attempts", s.sentCount+1)
		}
		a.kept = true
		s.relay.Postpone(time.Now())
		return false
	}
	s.g.metrics.silentAttempts.Inc()
	a.silent = !a.alive
	a.err = errors.New("the upstream accepts connections but sends no events")
	if progress == relay.Lost || progress == relay.Dropped {
		a.err = errors.New("the upstream is silent and no longer works on the request")
	}
	if err != nil {
		a.err = errors.Wrap(err, "the upstream is silent and accepts no connection")
		s.g.follower.notifier.requestChecksInZone(a.choice.Upstream)
	}
	s.forwardRemaining(a, r)
	return true
}

// mayGiveUp reports whether a silent attempt is given up. The next one then has a place and a
// retry: many streams fall silent together, and each would find the others ready until all of them
// are given up.
func (s *streamRequest) mayGiveUp(a *attempt) bool {
	left := s.sentCount+1 < s.maxAttempts() && s.canTryAnother() && s.crashDecision().allowed()
	next := relay.Continuation{AttemptsLeft: left, Trial: s.trial}
	if next.AttemptsLeft {
		next.OtherReady = s.reserveNext(a)
	}
	if !s.relay.MayGiveUp(next) {
		return false
	}
	if s.reserved == nil {
		return true // nothing is lost by it
	}
	if a.retryTaken = s.takeRetryBudget(); !a.retryTaken {
		s.releaseReserved()
		return s.relay.MayGiveUp(relay.Continuation{AttemptsLeft: left})
	}
	return true
}

// probeUpstream opens a connection to a silent upstream and, when the silence has
// lasted too long, fetches its load report. An error means that no connection could be
// opened. An upstream that has asked for backoff is not contacted.
func (s *streamRequest) probeUpstream(ctx context.Context, a *attempt) (relay.Progress, error) {
	u := a.choice.Upstream
	a.alive = false
	if s.g.remainingBackoff(u) > 0 {
		return relay.Unknown, nil
	}
	if err := s.g.connections.check(ctx, u.Addr, u.ID); err != nil {
		return relay.Unknown, err
	}
	if s.relay.TimeUntilCheck(time.Now()) > 0 {
		return relay.Unknown, nil
	}
	return s.queryProgress(ctx, a), nil
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
