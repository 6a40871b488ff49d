package gateway

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/dispatch"
	"heatherway.dev/core/queue"
)

// This file lets streams wait in the queue across gateways, and carries out what its owner decides.

const (
	// submissionTimeout is how long a stream waits for the owner to acknowledge it: several round
	// trips between availability zones.
	submissionTimeout = 80 * time.Millisecond
	// resumeQueueWait is how long an interrupted stream without a copy waits for the decision of
	// the owner. It is a seventh of the longest pause that callers of streams accept.
	resumeQueueWait = 100 * time.Millisecond
	// maxRejections is how many decisions for one attempt this gateway cannot carry out before it
	// places the stream by itself.
	maxRejections = 3
)

var errMoved = errors.New("the owner of the queue moves the stream, which has not begun, to another upstream")

// queued reports whether the streams of the service wait in a queue across gateways.
func (s *streamRequest) queued() bool { return s.g.queue != nil && s.service.Engine != nil }

// queueRequest describes the attempt to the owner of the queue.
func (s *streamRequest) queueRequest(request *dispatch.Request) *queue.Request {
	return &queue.Request{
		RequestID: s.req.ID, Service: request.Service, Zone: s.g.zone, Organisation: request.Organisation, Priority: request.Priority, RoutePriority: s.route.Priority,
		PromptTokens: request.PromptTokens, OutputTokens: request.OutputTokens, PromptKey: s.req.PromptKey,
		Waited: time.Since(s.started), Aim: s.route.Objective, Deadline: time.Until(s.deadline), Continues: request.Continues, Copy: request.Backup,
		Version: request.Version, Preferred: cmp.Or(request.Preferred, request.CachedAt), Excluded: slices.Clone(request.Tried),
	}
}

// placeInQueue lets the owner of the queue place the attempt. Without decided, this gateway has to
// place it by itself; without a refusal, choice is the placement.
func (s *streamRequest) placeInQueue(request *dispatch.Request) (choice dispatch.Choice, refusal *dispatch.Refusal, decided bool) {
	if !s.queued() || !s.g.queue.takesStreams(time.Now()) {
		return choice, nil, false
	}
	unusable, usable := []string(nil), 0
	var affinity []string
	s.g.owner.call(func(st *state) {
		now := time.Now()
		if version, ok := st.fleet.DrawVersion(now, request); ok {
			bound := *request
			bound.Version = version
			request = &bound
		}
		unusable, usable = st.fleet.Unusable(now, request)
		affinity = st.fleet.AffinityIDs(now, request)
	})
	if usable == 0 {
		return choice, nil, false // the local refusal says why
	}
	q := s.queueRequest(request)
	q.Excluded, q.Affinity = append(q.Excluded, unusable...), affinity
	w := &queueWait{s: s, request: request, submitted: q, ticket: s.g.queue.submit(s.service.Name, q)}
	s.g.metrics.queueWaiting.Set(s.g.queuedStreams.Add(1))
	defer func() { s.g.metrics.queueWaiting.Set(s.g.queuedStreams.Add(-1)) }()
	return w.await()
}

// queueWait is the wait of one attempt.
type queueWait struct {
	s          *streamRequest
	request    *dispatch.Request
	submitted  *queue.Request
	ticket     *queueTicket
	rejections int
}

// await waits until the owner decides, the caller leaves, or the gateway has to place the stream by
// itself.
func (w *queueWait) await() (choice dispatch.Choice, refusal *dispatch.Refusal, decided bool) {
	s, startedAt := w.s, time.Now()
	acknowledge := time.NewTimer(submissionTimeout)
	defer acknowledge.Stop()
	var limit <-chan time.Time
	if s.responseStarted {
		timer := time.NewTimer(resumeQueueWait)
		defer timer.Stop()
		limit = timer.C
	}
	stop := time.NewTicker(placementRetryDelay)
	defer stop.Stop()
	for {
		select {
		case signal := <-w.ticket.signals:
			switch {
			case signal.ownerLost:
				// Many that have waited are placed together, and a copy that grows can't give its
				// room back. The next owner has copies made once there is room.
				w.request.Backup = false
				return w.fallBack("owner lost")
			case signal.decision.Action == queue.Refuse:
				return choice, w.refuse(startedAt, signal.decision), true
			case signal.decision.Action != queue.Place:
				continue
			}
			if choice, ok := w.assign(signal.decision); ok {
				w.recordPlaced(startedAt, signal.decision)
				s.ticket, s.explicitCopy = w.ticket, !signal.decision.GrowingCopy
				return choice, nil, true
			}
			if w.rejections++; w.rejections >= maxRejections {
				return w.fallBack("placements of the owner not usable")
			}
		case <-acknowledge.C:
			if !w.ticket.acknowledged.Load() {
				s.g.queue.available.Store(false) // until the owner answers
				if s.g.queue.takesStreams(time.Now()) {
					continue // until the owner counts as lost
				}
				return w.fallBack("submission not acknowledged")
			}
		case <-limit:
			return w.fallBack("no decision for an interrupted stream in time")
		case <-stop.C:
			if s.noTimeLeft() {
				w.ticket.withdraw()
				return choice, &dispatch.Refusal{}, true
			}
		case <-s.ctx.Done():
			w.ticket.withdraw()
			return choice, &dispatch.Refusal{RetryAfter: refusedRetryAfter}, true
		}
	}
}

// fallBack lets this gateway place the stream by itself.
func (w *queueWait) fallBack(reason string) (dispatch.Choice, *dispatch.Refusal, bool) {
	w.ticket.withdraw()
	w.s.g.metrics.queueFallbacks.Inc()
	w.s.logEvent("stream placed without the queue", "reason", reason, "waited_ms", time.Since(w.s.started).Milliseconds())
	return dispatch.Choice{}, nil, false
}

// assign carries out a placement. It returns false, and the stream waits again, if this gateway
// cannot use the upstream.
func (w *queueWait) assign(d queue.Decision) (dispatch.Choice, bool) {
	choice, refusal := w.s.assignWithGrants(w.request, d.Upstream, d.CopyHolder)
	if refusal == nil {
		return choice, true
	}
	w.s.g.metrics.queueRejections.Inc()
	next := *w.submitted
	next.Excluded = append(slices.Clone(next.Excluded), d.Upstream)
	next.Waited, next.Deadline = time.Since(w.s.started), time.Until(w.s.deadline)
	w.submitted = &next
	w.ticket.reject(w.submitted)
	w.s.logEvent("placement of the queue rejected", "upstream", d.Upstream, "reason", refusal.Reason, "rejections", w.rejections+1)
	return choice, false
}

// assignWithGrants places the request at an upstream, and asks for the grant that its limit needs.
func (c *callerRequest) assignWithGrants(request *dispatch.Request, upstreamID, holderID string) (choice dispatch.Choice, refusal *dispatch.Refusal) {
	place := func(st *state) { choice, refusal = st.fleet.Assign(time.Now(), request, upstreamID, holderID) }
	refusal = &dispatch.Refusal{}
	c.g.owner.call(place)
	if refusal != nil && len(refusal.Ask) > 0 {
		c.askForGrant(request, refusal)
		request.WithoutAsking = true
		c.g.owner.call(place)
		request.WithoutAsking = false
	}
	return choice, refusal
}

func (w *queueWait) recordPlaced(startedAt time.Time, d queue.Decision) {
	waited := time.Since(startedAt)
	w.s.g.metrics.queuePlaced.Inc()
	w.s.g.metrics.observeQueueWait(w.submitted.Priority, waited)
	w.s.logEvent("stream placed by the queue", w.decisionAttrs(d, waited)...)
}

// refuse returns the refusal that the owner has decided.
func (w *queueWait) refuse(startedAt time.Time, d queue.Decision) *dispatch.Refusal {
	w.s.g.metrics.queueRefused.Inc()
	w.s.logEvent("stream refused by the queue", append(w.decisionAttrs(d, time.Since(startedAt)), "retry_after_ms", d.RetryAfter.Milliseconds())...)
	return &dispatch.Refusal{RetryAfter: max(d.RetryAfter, refusedRetryAfter), MemoryFull: true}
}

// decisionAttrs returns the figures behind a decision as log fields.
func (w *queueWait) decisionAttrs(d queue.Decision, waited time.Duration) []any {
	e := d.Explanation
	return []any{
		"priority", w.submitted.Priority, "route_priority", w.submitted.RoutePriority, "organisation", w.submitted.Organisation, "upstream", d.Upstream, "copy_holder", d.CopyHolder,
		"waiting", e.Waiting, "ahead", e.Ahead, "ahead_tokens", e.AheadTokens, "waited_ms", waited.Milliseconds(), "expected_wait_ms", e.Expected.Milliseconds(),
		"expected_first_event_ms", d.ExpectedFirstEvent.Milliseconds(), "unread_tokens", e.Unread, "used_share", e.Used, "aim_ms", w.submitted.Aim.Milliseconds(),
	}
}

// trackPlacement reports an attempt that this gateway has placed by itself.
func (s *streamRequest) trackPlacement(request *dispatch.Request, choice dispatch.Choice) {
	if s.ticket != nil || !s.queued() {
		return
	}
	q := s.queueRequest(request)
	q.Copy = s.wantsCopy()
	s.ticket = s.g.queue.reportPlaced(s.service.Name, q, choice.Upstream.ID, choice.Backup.ID)
}

// releaseTicket ends a ticket whose attempt was not settled.
func (s *streamRequest) releaseTicket() {
	s.ticket.recordEnded(queue.Cancelled, 0, 0)
	s.ticket = nil
}

// settleTicket reports the end of an attempt to the owner of the queue.
func (s *streamRequest) settleTicket(a *attempt, now time.Time, failed, reconnect bool) {
	outcome, took := queue.Cancelled, time.Duration(0)
	switch {
	case a.complete:
		outcome = queue.Completed
		if a.started {
			took = now.Sub(a.firstEventAt)
		}
	case a.meta.NotRun && a.status == http.StatusServiceUnavailable:
		outcome = queue.Full
	case failed && !reconnect:
		outcome = queue.Broken
	}
	s.ticket.recordEnded(outcome, took, a.events)
	s.ticket = nil
}

// applyQueueSignal carries out a decision about a placed attempt. It returns true when the attempt
// has ended.
func (s *streamRequest) applyQueueSignal(signal queueSignal, a *attempt, backup *cacheBackup) bool {
	d := signal.decision
	switch d.Action {
	case queue.DropCopy:
		backup.drop(d.CopyHolder)
	case queue.MakeCopy:
		backup.moveTo(d.CopyHolder)
	case queue.Move:
		return s.move(a, d)
	}
	return false
}

// move ends an attempt that has not begun, if the stream may be sent once more.
func (s *streamRequest) move(a *attempt, d queue.Decision) bool {
	allowed := !a.started && d.Upstream == a.choice.Upstream.ID && s.route.Repeatable() && s.sentCount+1 < s.maxAttempts() && s.canTryAnother()
	if allowed {
		a.retryTaken = s.takeRetryBudget()
		allowed = a.retryTaken
	}
	s.logEvent("move decided by the queue", "upstream", d.Upstream, "moved", allowed, "started", a.started)
	if !allowed {
		return false
	}
	s.g.metrics.queueMoved.Inc()
	a.err = errMoved
	return true
}
