package gateway

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/dispatch"
	"heatherway.dev/core/registration"
	"heatherway.dev/core/relay"
	"heatherway.dev/core/slo"
	"heatherway.dev/heatherway/internal/httpconn"
	"heatherway.dev/heatherway/modules/dialect"
	"heatherway.dev/kernel/result"
)

const (
	// placementWaitDivisor divides the latency objective of a stream; the result is how
	// long the stream waits for an upstream. After that a caller is better served by an
	// error.
	placementWaitDivisor = 8
	// readAheadEvents is the number of events that are read ahead of the caller.
	readAheadEvents = 16
	// resumeFirstEventWait is the expected time until the first event of a stream that
	// resumes from a copy of its KV cache.
	resumeFirstEventWait = 150 * time.Millisecond
)

// serveStream serves a request whose response is a stream of events. It continues at
// other upstreams until the stream is complete or may not be retried.
func (c *callerRequest) serveStream() {
	c.countFirstAttempt()
	last := dialect.NoEvent
	if c.route.Resumable {
		last = c.req.LastEventID
	}
	s := &streamRequest{callerRequest: c, relay: relay.New(c.route.MaxEventGap, last)}
	defer s.releaseReserved()
	defer s.releaseTicket()
	if s.isTakeUp() {
		if err := s.findVersion(); err != nil {
			s.respondError(err)
			return
		}
	}
	for {
		a := s.runAttempt()
		if a == nil {
			return // the caller has the final response
		}
		s.settleAttempt(a)
		if a.complete {
			s.finishResponse(a)
			return
		}
		if !s.prepareNextAttempt(a) {
			return
		}
	}
}

// streamRequest is a stream that is relayed to the caller.
type streamRequest struct {
	*callerRequest
	relay *relay.Stream
	// backupHolder and backupCopy identify the copy of the KV cache of the last
	// attempt.
	backupHolder registration.Upstream
	backupCopy   dialect.CacheCopy
	// version is the software version of the upstream that began the stream, empty before.
	version string
	// record is the record of the version of the current attempt, nil if none is needed.
	// records are all records that were begun, oldest first.
	record  *versionRecord
	records []*versionRecord
	// reserved is the place of the next attempt, taken before a silent one is given up.
	reserved *dispatch.Choice
	// ticket is the current attempt as the owner of the queue knows it, nil without a queue.
	ticket *queueTicket
	// explicitCopy is set if the copy of the current attempt is requested by calls, so that it can
	// be released when the owner of the queue decides so.
	explicitCopy bool
	// brokenAt is when the stream was interrupted after an event; it is zero unless the
	// stream waits for the first event of a resume.
	brokenAt time.Time
	// reconnectTo is the upstream that the stream reconnects to, since it may have
	// processed the prompt.
	reconnectTo string
	// timeToFirstEvent is the time until the caller's first event.
	timeToFirstEvent time.Duration
}

// attempt is one attempt at one upstream.
type attempt struct {
	choice    loggedChoice
	startedAt time.Time
	// sent is set if the request reached the upstream, or may have.
	sent bool
	// started is set once the first new event has arrived; events counts the new events.
	started      bool
	events       int
	firstEventAt time.Time
	// spacing measures the time between the new events, and headerAt is when the head of the
	// response was received.
	spacing  spacingMeter
	headerAt time.Time
	// complete is set once the whole response has been forwarded or read.
	complete bool
	// continues is set if the response to the caller was started by an earlier attempt.
	continues bool
	// onlyUnidentified is set if the attempt has sent data without an id that was not
	// forwarded, and no new event.
	onlyUnidentified bool
	// fromBackup is set if the attempt resumes from a copy of the KV cache.
	fromBackup bool
	// promptCached is set if the upstream had the prompt in its cache.
	promptCached bool
	// silent is set if the upstream was given up although its connection did not end, and nothing
	// shows that the upstream has not. retryTaken is set if the retry that the next attempt needs
	// has been taken then.
	silent, retryTaken bool
	// alive is set if the incarnation has answered in the last check.
	alive bool
	// kept is set once a silent upstream was not given up.
	kept   bool
	meta   dialect.Response
	status int
	header http.Header
	// nonStream is set if the response is no stream of events; body is then its body.
	nonStream bool
	body      []byte
	err       error
	// incarnation is the check of the incarnation that serves the attempt, nil if none is needed.
	incarnation *incarnationCheck
	// backup maintains the copy of the KV cache while events are relayed. Afterwards backupHolder
	// has the copy that backupCopy identifies.
	backup       *cacheBackup
	backupHolder registration.Upstream
	backupCopy   dialect.CacheCopy
}

// hasBackup reports whether there is a copy of the KV cache; nothing is copied before
// the first event.
func (a *attempt) hasBackup() bool { return a.started && a.backupCopy.Key != "" }

// runAttempt places the stream and relays it from the selected upstream. It returns nil
// when the caller has got the final response.
func (s *streamRequest) runAttempt() *attempt {
	request := s.placementRequest()
	s.explicitCopy = false
	choice, ok := s.takeReserved()
	if !ok {
		request.Preferred = cmp.Or(s.backupHolder.ID, s.reconnectTo)
		if choice, ok = s.placeAttempt(request); !ok {
			return nil
		}
	}
	s.trackPlacement(request, choice)
	a := &attempt{choice: loggedChoice{choice}, startedAt: time.Now(), continues: s.responseStarted}
	a.promptCached = request.CachedAt == choice.Upstream.ID
	a.fromBackup = s.backupHolder.ID != "" && s.backupHolder.ID == choice.Upstream.ID
	s.startRecord(a)
	s.relayEvents(a)
	return a
}

// breakOff aborts a response that has started, so that it does not look complete.
func (s *streamRequest) breakOff(reason string) {
	s.g.metrics.aborted.Inc()
	s.recordSample(s.timeToFirstEvent, s.relay.LongestPause(), result.UpstreamFailed)
	last, _ := s.relay.LastEvent()
	closer := s.endedBy()
	if closer == httpconn.CloserSelf {
		s.g.metrics.cutRequests.Inc()
	}
	attrs := []any{"last_event", last, "closed_by", string(closer), "error", reason}
	if closer == httpconn.CloserSelf {
		attrs = append(attrs, s.stopAttrs()...)
	}
	s.logEvent("stream broken off", attrs...)
	s.abortResponse()
}

// relayEvents sends the request to the selected upstream and forwards its events until
// the attempt ends.
func (s *streamRequest) relayEvents(a *attempt) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	upstreamEvents := s.g.follower.subscribe(a.choice.Upstream)
	defer upstreamEvents.close()
	replaced, checkRequested := upstreamEvents.replaced, upstreamEvents.checkRequested
	wait := a.choice.ExpectedWait
	if a.fromBackup {
		wait = resumeFirstEventWait
	}
	s.relay.StartAttempt(a.startedAt, wait)
	r := startEventReader(ctx, s.callerRequest, a, s.attemptRequest(a))
	defer r.stop(cancel)
	timer := time.NewTimer(s.relay.TimeUntilCheck(a.startedAt))
	defer timer.Stop()
	checkDue := timer.C
	if !s.route.Repeatable() {
		// A stream that must not be sent twice can only be lost by a check. Its connection ends if
		// its upstream has, and its caller leaves if it waits in vain.
		replaced, checkRequested, checkDue = nil, nil, nil
	}
	backup := newCacheBackup(s, a)
	a.backup = backup
	defer func() { a.backupHolder, a.backupCopy = backup.holder, backup.backupCopy; backup.close() }()
	for {
		received := s.relay.Received()
		select {
		case item, more := <-r.items:
			if s.handleReceive(a, r, item, more) {
				return
			}
			if s.relay.Received() > received { // filler does not postpone the check
				timer.Reset(s.relay.TimeUntilCheck(time.Now()))
			}
		case <-checkDue:
			if s.checkSilence(ctx, a, r) {
				return
			}
			timer.Reset(s.relay.TimeUntilCheck(time.Now()))
		case <-checkRequested:
			if s.relay.HasRecentEvent(time.Now()) {
				continue
			}
			if s.checkSilence(ctx, a, r) {
				return
			}
			timer.Reset(s.relay.TimeUntilCheck(time.Now()))
		case <-backup.holderReplaced():
			backup.replaceHolder(ctx)
		case <-backup.refresh.C:
			backup.update(ctx)
		case signal := <-s.ticket.received():
			if s.applyQueueSignal(signal, a, backup) {
				return
			}
		case copied := <-backup.results:
			backup.recordResult(copied)
		case <-replaced:
			a.err, a.silent = errors.New("a newer incarnation has taken over the upstream's address"), true
			s.forwardRemaining(a, r)
			return
		case <-s.ctx.Done():
			a.err = s.ctx.Err()
			return
		}
		if a.started {
			backup.runStarted()
		}
		backup.report()
	}
}

// handleReceive handles the result of a receive from the reader's channel; more is false
// when the channel is closed. It returns true when the attempt has ended. The attempt is
// complete only when all events have been forwarded to the caller, not when the upstream has
// sent them.
func (s *streamRequest) handleReceive(a *attempt, r *eventReader, item readerItem, more bool) bool {
	if !more {
		a.err, a.complete = r.err, r.complete
		if a.complete {
			a.err = s.checkEnd(a)
			a.complete = a.err == nil
		}
		return true
	}
	return s.forwardItem(a, item)
}

// checkEnd returns an error if the complete response of an attempt cannot be the rest of
// the stream that the caller has begun to receive.
func (s *streamRequest) checkEnd(a *attempt) error {
	switch {
	case a.continues && a.nonStream:
		return errors.Errorf("the upstream responded to a resume with status %d and no stream of events", a.status)
	case a.continues && a.onlyUnidentified:
		return errors.New("the upstream responded to a resume with events without an id")
	case s.relay.EndedEarly():
		return errors.New("the upstream ended the stream before the last event that the caller has")
	}
	return nil
}

// attemptRequest returns the request for an attempt.
func (s *streamRequest) attemptRequest(a *attempt) *outgoingRequest {
	f := dialect.Forward{LastEventID: dialect.NoEvent, BackupTo: s.backupTo(a), Urgency: &s.priority}
	if last, hasEvents := s.relay.LastEvent(); hasEvents {
		f.LastEventID = last
	}
	if a.fromBackup {
		f.ResumeFrom = &s.backupCopy
	}
	return s.upstreamRequest(a.choice.Upstream, f)
}

// readerItem is what the reader of an attempt delivers: the response header or an
// event.
type readerItem struct {
	response *http.Response
	event    event
	at       time.Time // when it was read
}

// forwardItem forwards an item to the caller. It returns true when the attempt has
// ended.
func (s *streamRequest) forwardItem(a *attempt, item readerItem) bool {
	if item.response != nil {
		a.headerAt = item.at
		return s.recordHeader(a, item.response)
	}
	defer s.reservation.Release(item.event.reserved)
	if a.err = s.awaitIncarnation(a); a.err != nil {
		return true
	}
	if !s.responseStarted { // before the event counts as delivered
		if a.err = s.awaitRecord(a); a.err != nil {
			return true
		}
	}
	if item.event.id < 0 {
		if a.continues && !a.started && item.event.hasData {
			// It may be an error, or the caller may have it from an earlier attempt.
			a.onlyUnidentified = true
			return s.countFiller(a, item.event)
		}
		return s.countFiller(a, item.event) || s.write(a, item.event.raw)
	}
	switch s.relay.ReceiveEvent(time.Now(), item.event.id) {
	case relay.Duplicate:
		s.g.metrics.repeatedEvents.Inc()
		return s.countFiller(a, item.event)
	case relay.Gap:
		a.err = errors.Errorf("gap in the event ids before event %d", item.event.id)
		return true
	}
	a.events++
	s.recordFirstEvent(a)
	s.recordSpacing(a, item.at)
	if a.events == maxEarlyEvents+1 {
		s.recordProof(a.firstEventAt)
	}
	return s.write(a, item.event.raw)
}

// countFiller counts filler: bytes that bring no new event, such as comments and
// repeated events. It returns true when the attempt ends because there is too much
// filler.
func (s *streamRequest) countFiller(a *attempt, e event) bool {
	if s.relay.RecordNonProgress(len(e.raw)) {
		return false
	}
	a.err = errors.New("the upstream sends too many bytes without a new event")
	return true
}

// recordHeader records the status and header of the response. The attempt goes on.
func (s *streamRequest) recordHeader(a *attempt, response *http.Response) bool {
	a.sent, a.status, a.header, a.nonStream = true, response.StatusCode, response.Header, !isEventStream(response)
	a.meta, _ = s.responseMeta(response) // the reader returns the error
	return false
}

// recordFirstEvent records the first event of an attempt.
func (s *streamRequest) recordFirstEvent(a *attempt) {
	if a.started {
		return
	}
	a.started, a.onlyUnidentified = true, false
	now, ticket, load, resumed, headerAt := time.Now(), a.choice.Ticket, a.meta.Load, a.fromBackup, a.headerAt
	a.firstEventAt = now
	s.g.owner.post(func(st *state) {
		st.fleet.RecordStarted(now, ticket)
		if load != nil {
			st.fleet.RecordLoad(now, ticket, load.Running, load.Waiting)
			st.fleet.RecordStatedSlowness(headerAt, ticket, load.Slowness)
		}
	})
	s.ticket.recordBegun(now.Sub(a.startedAt))
	if !s.brokenAt.IsZero() {
		s.g.metrics.resumeMS.Observe(now.Sub(s.brokenAt).Milliseconds())
		s.logEvent("stream resumed", "upstream", a.choice.Upstream.ID, "upstream_version", a.choice.Upstream.Version, "from_copy", resumed, "resume_ms", now.Sub(s.brokenAt).Milliseconds())
		s.brokenAt = time.Time{}
	}
	if !s.responseStarted {
		s.timeToFirstEvent = now.Sub(s.started)
		s.g.metrics.firstEventMS.Observe(s.timeToFirstEvent.Milliseconds())
	}
}

// write sends bytes to the caller, preceded by the response header if it was not sent
// yet.
func (s *streamRequest) write(a *attempt, raw []byte) bool {
	if !s.responseStarted {
		s.responseStarted, s.version = true, a.choice.Version
		key, version := s.streamKey(), s.version
		s.g.owner.post(func(st *state) { st.origins.Relayed(key, version) })
		s.copyResponseHeader(a.header)
		s.w.Header().Del("Content-Length")
		s.w.WriteHeader(a.status)
	}
	if _, err := s.w.Write(raw); err != nil {
		a.err = errors.Wrap(err, "cannot write to the caller")
		return true
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		a.err = errors.Wrap(err, "cannot write to the caller")
		return true
	}
	return false
}

// settleAttempt reports the outcome of an attempt to the fleet state, decides whether the
// stream reconnects to the same upstream, and records a run that broke off.
func (s *streamRequest) settleAttempt(a *attempt) {
	now, ticket := time.Now(), a.choice.Ticket
	// None of these is a fault of the upstream.
	inconclusive := s.ctx.Err() != nil || errors.Is(a.err, errBuffersFull) || errors.Is(a.err, errVersionNotRecorded) ||
		errors.Is(a.err, errMoved)
	failed := !a.complete && !a.meta.NotRun && !inconclusive
	misdirected := a.status == http.StatusMisdirectedRequest // another incarnation has taken over the address
	succeeded := a.complete && a.status < http.StatusInternalServerError
	reconnect := failed && a.sent && isDisconnect(a.err) && s.shouldReconnect(a, now)
	s.reconnectTo = ""
	if reconnect {
		s.reconnectTo = a.choice.Upstream.ID
	}
	s.g.owner.post(func(st *state) {
		if a.sent && a.nonStream && a.status >= http.StatusInternalServerError && !a.meta.NotRun {
			st.fleet.RecordFailedResponse(now, ticket)
		}
		if failed && !reconnect || misdirected {
			st.fleet.RecordFailure(now, ticket)
		}
		if !inconclusive && !a.meta.NotRun {
			st.fleet.RecordAnswer(now, ticket, succeeded)
		}
		st.fleet.End(now, ticket)
	})
	s.settleTicket(a, now, failed, reconnect)
	if !reconnect {
		s.markTried(a.choice.Upstream)
	}
	if a.sent {
		s.sentCount++
		s.mayHaveRun = s.mayHaveRun || !a.meta.NotRun
	}
	if a.sent && !a.complete && !a.meta.NotRun && a.events <= maxEarlyEvents {
		switch {
		case s.graceIsOver():
		case s.ctx.Err() != nil:
			s.recordBrokenRun(a.choice.Upstream, crash.Abandoned)
		case failed && (a.silent || isDisconnect(a.err)):
			s.recordBrokenRun(a.choice.Upstream, crash.Interrupted)
		}
	}
	if failed {
		s.g.connections.closeIdle(a.choice.Upstream.Addr, a.choice.Upstream.ID)
	}
	if a.err != nil && !inconclusive {
		last, _ := s.relay.LastEvent()
		s.g.log.Info("attempt failed", "request", s.req.ID, "upstream", a.choice.Upstream.ID, "address", a.choice.Upstream.Addr,
			"upstream_zone", a.choice.Upstream.Zone, "sent", a.sent, "status", a.status, "started", a.started, "last_event", last,
			"backup", a.choice.Backup.ID, "resumed", a.fromBackup, "goes_back", reconnect, "took_ms", now.Sub(a.startedAt).Milliseconds(), "error", a.err.Error())
	}
}

// shouldReconnect reports whether the stream goes back to the upstream of an attempt whose
// connection broke.
func (s *streamRequest) shouldReconnect(a *attempt, now time.Time) bool {
	id, request := a.choice.Upstream.ID, s.dispatchRequest()
	request.Version = s.version
	d := relay.Disconnect{Upstream: id, After: now.Sub(a.startedAt), HasPrompt: a.status != 0 || a.promptCached || a.fromBackup, CacheCopied: a.hasBackup()}
	s.g.owner.call(func(st *state) { d.OtherReady = st.fleet.CanTakeElsewhere(now, request, id) })
	return s.relay.ReconnectOnce(d)
}

// isDisconnect reports whether an error means that the upstream or the network broke
// the connection.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// finishResponse completes the response after a complete attempt.
func (s *streamRequest) finishResponse(a *attempt) {
	code := result.UpstreamFailed
	if a.status < http.StatusInternalServerError {
		code = slo.OK
	}
	if a.status < http.StatusBadRequest {
		s.recordCompletion()
		if a.started && a.events <= maxEarlyEvents {
			s.recordProof(a.firstEventAt)
		}
	}
	s.recordSample(s.timeToFirstEvent, s.relay.LongestPause(), code)
	if !s.responseStarted {
		s.copyResponseHeader(a.header)
		s.w.WriteHeader(a.status)
		_, _ = s.w.Write(a.body) // a write error means that the caller has disconnected
	}
	last, _ := s.relay.LastEvent()
	s.logEvent("request answered", append(a.choice.logAttrs(), "status", a.status, "first_event_ms", s.timeToFirstEvent.Milliseconds(),
		"longest_pause_ms", s.relay.LongestPause().Milliseconds(), "last_event", last, "prompt_tokens", s.req.PromptTokens,
		"backup", a.choice.Backup.ID, "priority", s.priority)...)
}

// prepareNextAttempt prepares the next attempt of the stream after a failed one, and
// returns true. If the stream may not be retried, it sends the caller the final response
// and returns false.
func (s *streamRequest) prepareNextAttempt(a *attempt) bool {
	_, hasEvents := s.relay.LastEvent()
	notRun := !a.sent || a.meta.NotRun
	switch {
	case s.ctx.Err() != nil:
		return s.endAfterFailure(a)
	case !notRun && !s.route.Repeatable(), !s.canTryAnother():
		return s.endAfterFailure(a)
	}
	d := s.decideCrashes(s.ctx, false)
	switch {
	case !notRun && d.request != crash.Allowed, d.part != crash.Allowed && s.mayHaveRun:
		return s.endAfterFailure(a)
	case d.part != crash.Allowed:
		s.respondError(s.partError(d))
		return false
	case a.sent && !a.retryTaken && !s.takeRetryBudget():
		return s.endAfterFailure(a)
	}
	if s.brokenAt.IsZero() && hasEvents {
		s.brokenAt = time.Now()
	}
	s.backupHolder, s.backupCopy = registration.Upstream{}, dialect.CacheCopy{}
	if a.hasBackup() {
		s.backupHolder, s.backupCopy = a.backupHolder, a.backupCopy
	}
	s.g.metrics.resumes.Inc()
	return true
}

// endAfterFailure sends the caller the final response after the last attempt has failed.
// It always returns false.
func (s *streamRequest) endAfterFailure(a *attempt) bool {
	switch {
	case s.responseStarted:
		s.breakOff(a.err.Error())
	case s.mustLeave():
		s.respondError(s.leavingError())
	case !s.mayHaveRun:
		s.respondError(result.New(result.NoUpstream, "%s refused the request: %v", a.choice.Upstream.ID, a.err).After(s.retryAfter()))
	case s.ctx.Err() != nil:
		s.respondError(result.New(result.DeadlineExceeded, "no first event in time"))
	case a.body != nil && a.status >= http.StatusInternalServerError:
		s.finishResponse(a) // deliver the upstream's own error response
	default:
		s.respondError(result.Wrap(result.UpstreamFailed, a.err, "the stream did not begin"))
	}
	return false
}
