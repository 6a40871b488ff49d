package gateway

import (
	"slices"
	"time"

	"heatherway.dev/core/dispatch"
	"heatherway.dev/heatherway/modules/dialect"
	"heatherway.dev/kernel/result"
)

// This file places the attempts of a stream.

// placementRequest returns the request for the placement of an attempt.
func (s *streamRequest) placementRequest() *dispatch.Request {
	request := s.dispatchRequest()
	request.Backup = s.wantsCopy()
	request.Version = s.version
	s.restrictVersion(request)
	return request
}

// wantsCopy reports whether the stream could go on from a copy of its KV cache.
func (s *streamRequest) wantsCopy() bool { return s.route.Resumable && s.route.MaxAttempts > 1 }

// placeAttempt places an attempt. It asks the upstreams that may have the prompt of a stream that
// its caller takes up. The owner of the queue decides, if there is one; a stream that goes back to an
// upstream that holds its KV cache or its prompt is placed there at once.
func (s *streamRequest) placeAttempt(request *dispatch.Request) (dispatch.Choice, bool) {
	if request.Preferred != "" {
		return s.placeStream(request)
	}
	if s.sentCount == 0 && s.req.LastEventID != dialect.NoEvent {
		s.locatePrompt(request)
	}
	choice, refusal, decided := s.placeInQueue(request)
	switch {
	case decided && refusal == nil:
		return choice, true
	case decided:
		s.failUnplaced(refusal)
		return choice, false
	}
	if request.CachedAt == "" {
		s.refreshLoadReports(request) // reports cannot change where the prompt is cached
	}
	return s.placeStream(request)
}

// placeStream places the stream, and waits a short time for an available upstream.
func (s *streamRequest) placeStream(request *dispatch.Request) (dispatch.Choice, bool) {
	choice, refusal := s.placeWithin(request, s.route.Objective/placementWaitDivisor)
	if refusal == nil {
		return choice, true
	}
	s.failUnplaced(refusal)
	return choice, false
}

// failUnplaced ends a stream that cannot be placed.
func (s *streamRequest) failUnplaced(r *dispatch.Refusal) {
	switch {
	case s.responseStarted:
		s.breakOff("no upstream available to continue the stream")
	case s.mayHaveRun:
		s.respondError(result.New(result.UpstreamFailed, "no upstream to go on at"))
	case r.VersionGone:
		s.respondError(s.goneVersionError())
	default:
		s.respondError(s.noUpstreamError(r))
	}
}

// reserveNext places the attempt that would follow a silent one, and reports whether there is room.
func (s *streamRequest) reserveNext(a *attempt) bool {
	request := s.placementRequest()
	request.Tried = append(slices.Clone(request.Tried), a.choice.Upstream.ID)
	if a.started && a.backup.backupCopy.Key != "" {
		request.Preferred = a.backup.holder.ID
	}
	if request.Preferred == "" {
		s.refreshLoadReports(request)
	}
	choice, refusal := s.placeWithGrants(request)
	if refusal == nil {
		s.reserved = &choice
	}
	return refusal == nil
}

// takeReserved returns the place that was reserved for the attempt, if any.
func (s *streamRequest) takeReserved() (choice dispatch.Choice, ok bool) {
	if s.reserved == nil {
		return choice, false
	}
	choice, s.reserved = *s.reserved, nil
	return choice, true
}

// releaseReserved releases the place of an attempt that is not made.
func (s *streamRequest) releaseReserved() {
	if s.reserved == nil {
		return
	}
	ticket := s.reserved.Ticket
	s.reserved = nil
	s.g.owner.post(func(st *state) { st.fleet.End(time.Now(), ticket) })
}
