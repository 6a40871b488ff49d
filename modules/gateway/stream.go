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
	"heatherway.dev/heatherway/modules/dialect"
	"heatherway.dev/kernel/result"
)

const (
	// holdShare is the part of the objective for which a stream is held back
	// without an upstream. Beyond it a caller is better off knowing.
	holdShare = 8
	// queuedEvents is the number of events read ahead of the caller.
	queuedEvents = 16
	// resumeWait is the expected time until the first event of a stream that goes
	// on from a copy of its KV cache.
	resumeWait = 150 * time.Millisecond
)

// stream serves a request that is answered with events. It goes on at another
// upstream until it is complete, or may go on no more.
func (c *call) stream() {
	c.countFirst()
	last := dialect.NoEvent
	if c.route.Resumable {
		last = c.req.LastEventID
	}
	s := &streaming{call: c, relay: relay.New(c.route.MaxEventGap, last)}
	for {
		a := s.attempt()
		if a == nil {
			return // the caller has its final answer
		}
		s.end(a)
		if a.complete {
			s.finish(a)
			return
		}
		if !s.goOn(a) {
			return
		}
	}
}

// streaming is a stream on its way to the caller.
type streaming struct {
	*call
	relay *relay.Stream
	// holder and copy are where the KV cache of the last attempt was copied to.
	holder registration.Upstream
	copy   dialect.CacheCopy
	broken time.Time
	// back is the upstream that the stream goes back to, since it may have read
	// the prompt.
	back string
	// firstEvent is the time until the caller's first event.
	firstEvent time.Duration
}

// attempt is one try at one upstream.
type attempt struct {
	choice   choice
	begin    time.Time
	sent     bool
	started  bool
	events   int
	complete bool
	resumed  bool
	// silent is set once the upstream was given up without the end of its connection.
	silent bool
	meta   dialect.Response
	status int
	header http.Header
	body   []byte
	err    error
	// holder has a copy of the KV cache, named by copy.
	holder registration.Upstream
	copy   dialect.CacheCopy
}

// copied tells whether there is a copy of the KV cache; nothing is copied before
// the first event.
func (a *attempt) copied() bool { return a.started && a.copy.Key != "" }

// attempt places the stream and runs it there. It returns nil when the caller
// has got the final answer.
func (s *streaming) attempt() *attempt {
	w := s.work()
	w.Backup = s.route.Resumable && s.route.MaxAttempts > 1
	w.Preferred = cmp.Or(s.holder.ID, s.back)
	if w.Preferred == "" {
		if s.sent == 0 && s.req.LastEventID != dialect.NoEvent {
			s.findPrompt(w)
		}
		if w.CachedAt == "" {
			s.askReports(w) // no report would change where the prompt is
		}
	}
	c, ok := s.place(w)
	if !ok {
		return nil
	}
	a := &attempt{choice: choice{c}, begin: time.Now()}
	a.resumed = s.holder.ID != "" && s.holder.ID == c.Upstream.ID
	s.run(a)
	return a
}

// place waits for an upstream for a short while.
func (s *streaming) place(w *dispatch.Request) (dispatch.Choice, bool) {
	choice, refusal := s.hold(w, s.route.Objective/holdShare)
	if refusal == nil {
		return choice, true
	}
	s.refuse(refusal)
	return choice, false
}

// refuse ends a stream that cannot be placed.
func (s *streaming) refuse(r *dispatch.Refusal) {
	switch {
	case s.begun:
		s.abort("no upstream to go on at")
	case s.mayHaveRun:
		s.fail(result.New(result.UpstreamFailed, "no upstream to go on at"))
	default:
		s.fail(s.unplaced(r))
	}
}

// abort breaks off an answer that has begun, so that it does not look complete.
func (s *streaming) abort(why string) {
	s.g.metrics.aborted.Inc()
	s.record(s.firstEvent, s.relay.LongestPause(), result.UpstreamFailed)
	last, _ := s.relay.LastEvent()
	s.logEnd("stream broken off", "last_event", last, "error", why)
	panic(http.ErrAbortHandler)
}

// run sends the request to the chosen upstream and passes its events on until
// the attempt ends.
func (s *streaming) run(a *attempt) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	ended := s.g.follower.replaced.watch(a.choice.Upstream)
	defer ended.close()
	wait := a.choice.ExpectedWait
	if a.resumed {
		wait = resumeWait
	}
	s.relay.StartAttempt(a.begin, wait)
	r := newEventReader(ctx, s.call, a, s.forwardTo(a))
	defer r.stop(cancel)
	timer := time.NewTimer(s.relay.TimeUntilCheck(a.begin))
	defer timer.Stop()
	c := newCopies(s, a)
	defer func() { a.holder, a.copy = c.holder, c.from; c.close() }()
	for {
		received := s.relay.Received()
		select {
		case in, more := <-r.events:
			if s.arrived(a, r, in, more) {
				return
			}
			if s.relay.Received() > received { // filler does not put the check off
				timer.Reset(s.relay.TimeUntilCheck(time.Now()))
			}
		case <-timer.C:
			if s.check(ctx, a, r) {
				return
			}
			timer.Reset(s.relay.TimeUntilCheck(time.Now()))
		case <-ended.suspect:
			if s.relay.HasRecentEvent(time.Now()) {
				continue
			}
			if s.check(ctx, a, r) {
				return
			}
			timer.Reset(s.relay.TimeUntilCheck(time.Now()))
		case <-c.ended():
			c.renew(ctx)
		case <-c.refresh.C:
			c.update(ctx)
		case r := <-c.results:
			c.take(r)
		case <-ended.ended:
			a.err, a.silent = errors.New("another incarnation has the upstream's address"), true
			s.takeReady(a, r)
			return
		case <-s.ctx.Done():
			a.err = s.ctx.Err()
			return
		}
		if a.started {
			c.began()
		}
	}
}

// arrived handles what the reader has passed on. It returns true when the
// attempt has ended. The attempt is complete only when the caller has got every
// event, not when the upstream has sent them.
func (s *streaming) arrived(a *attempt, r *eventReader, in arrival, more bool) bool {
	if !more {
		a.err, a.complete = r.err, r.complete
		if a.complete && s.begun && a.status >= http.StatusMultipleChoices {
			a.complete, a.err = false, errors.Errorf("the upstream answered a resume with status %d", a.status)
		}
		return true
	}
	return s.take(a, in)
}

// forwardTo returns the request for an attempt.
func (s *streaming) forwardTo(a *attempt) *outgoing {
	f := dialect.Forward{LastEventID: dialect.NoEvent, BackupTo: a.choice.Backup.Addr, Urgency: &s.priority}
	if last, any := s.relay.LastEvent(); any {
		f.LastEventID = last
	}
	if a.resumed {
		f.ResumeFrom = &s.copy
	}
	return s.forward(a.choice.Upstream, f)
}

// arrival is what the reader of an attempt passes on: the head of the answer or
// an event.
type arrival struct {
	head  *http.Response
	event event
}

// take passes an arrival on to the caller. It returns true when the attempt has
// ended.
func (s *streaming) take(a *attempt, in arrival) bool {
	if in.head != nil {
		return s.takeHead(a, in.head)
	}
	defer s.lease.give(in.event.held)
	if in.event.id < 0 {
		return s.fillerTooLong(a, in.event) || s.write(a, in.event.raw)
	}
	switch s.relay.ReceiveEvent(time.Now(), in.event.id) {
	case relay.Duplicate:
		s.g.metrics.repeats.Inc()
		return s.fillerTooLong(a, in.event)
	case relay.Gap:
		a.err = errors.Errorf("event %d does not follow", in.event.id)
		return true
	}
	a.events++
	s.noteStart(a)
	return s.write(a, in.event.raw)
}

// fillerTooLong notes bytes that are no new event. It returns true when the attempt
// has ended because of them.
func (s *streaming) fillerTooLong(a *attempt, e event) bool {
	if s.relay.RecordNonProgress(len(e.raw)) {
		return false
	}
	a.err = errors.New("the upstream sends bytes without an event")
	return true
}

func (s *streaming) takeHead(a *attempt, head *http.Response) bool {
	a.sent, a.status, a.header = true, head.StatusCode, head.Header
	a.meta = s.g.dialect.Response(head.Header)
	return false
}

// noteStart records the first event of an attempt.
func (s *streaming) noteStart(a *attempt) {
	if a.started {
		return
	}
	a.started = true
	now, ticket, load, resumed := time.Now(), a.choice.Ticket, a.meta.Load, a.resumed
	s.g.owner.tell(func(st *state) {
		st.fleet.RecordStarted(now, ticket)
		if load != nil {
			st.fleet.RecordLoad(now, ticket, load.Running, load.Waiting)
		}
	})
	if !s.broken.IsZero() {
		s.g.metrics.resumeMS.Observe(now.Sub(s.broken).Milliseconds())
		s.logEnd("stream resumed", "upstream", a.choice.Upstream.ID, "from_copy", resumed, "resume_ms", now.Sub(s.broken).Milliseconds())
		s.broken = time.Time{}
	}
	if !s.begun {
		s.firstEvent = now.Sub(s.begin)
		s.g.metrics.firstEventMS.Observe(s.firstEvent.Milliseconds())
	}
}

// write sends bytes to the caller, and the head of the answer before the first
// ones.
func (s *streaming) write(a *attempt, raw []byte) bool {
	if !s.begun {
		s.begun = true
		s.copyHeader(a.header)
		s.w.Header().Del("Content-Length")
		s.w.WriteHeader(a.status)
	}
	if _, err := s.w.Write(raw); err != nil {
		a.err = errors.Wrap(err, "caller")
		return true
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		a.err = errors.Wrap(err, "caller")
		return true
	}
	return false
}

// end settles an attempt with the owner.
func (s *streaming) end(a *attempt) {
	now, ticket := time.Now(), a.choice.Ticket
	gone := s.ctx.Err() != nil || errors.Is(a.err, errBuffersFull) // neither is the upstream's doing
	failed := !a.complete && !a.meta.NotRun && !gone
	misdirected := a.status == http.StatusMisdirectedRequest
	ok := a.complete && a.status < http.StatusInternalServerError
	back := failed && a.sent && severed(a.err) && s.relay.ReconnectOnce(a.choice.Upstream.ID, a.copied())
	s.back = ""
	if back {
		s.back = a.choice.Upstream.ID
	}
	s.g.owner.tell(func(st *state) {
		if failed && !back || misdirected {
			st.fleet.RecordFailure(now, ticket)
		}
		if !gone && !a.meta.NotRun {
			st.fleet.RecordAnswer(now, ticket, ok)
		}
		st.fleet.End(now, ticket)
	})
	if !back {
		s.try(a.choice.Upstream)
	}
	if a.sent {
		s.sent++
		s.mayHaveRun = s.mayHaveRun || !a.meta.NotRun
	}
	if a.sent && !a.complete && !a.meta.NotRun && a.events <= beginningEvents {
		switch {
		case s.ctx.Err() != nil:
			s.noteBroken(a.choice.Upstream, crash.Abandoned)
		case failed && (a.silent || severed(a.err)):
			s.noteBroken(a.choice.Upstream, crash.Interrupted)
		}
	}
	if failed {
		s.g.upstreams.drop(a.choice.Upstream.Addr, a.choice.Upstream.ID)
	}
	if a.err != nil && !gone {
		last, _ := s.relay.LastEvent()
		s.g.log.Info("attempt failed", "request", s.req.ID, "upstream", a.choice.Upstream.ID, "address", a.choice.Upstream.Addr,
			"upstream_zone", a.choice.Upstream.Zone, "sent", a.sent, "status", a.status, "started", a.started, "last_event", last,
			"backup", a.choice.Backup.ID, "resumed", a.resumed, "goes_back", back, "took_ms", now.Sub(a.begin).Milliseconds(), "error", a.err.Error())
	}
}

// severed tells whether an error means that the upstream or the way to it broke
// the connection.
func severed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// finish ends the answer of a complete attempt.
func (s *streaming) finish(a *attempt) {
	code := result.UpstreamFailed
	if a.status < http.StatusInternalServerError {
		code = slo.OK
		s.g.noteStream(time.Since(s.begin))
	}
	if a.status < http.StatusBadRequest {
		s.noteWhole()
	}
	s.record(s.firstEvent, s.relay.LongestPause(), code)
	if !s.begun {
		s.copyHeader(a.header)
		s.w.WriteHeader(a.status)
		_, _ = s.w.Write(a.body) // a caller that has gone away needs no answer
	}
	last, _ := s.relay.LastEvent()
	s.logEnd("request answered", append(a.choice.attrs(), "status", a.status, "first_event_ms", s.firstEvent.Milliseconds(),
		"longest_pause_ms", s.relay.LongestPause().Milliseconds(), "last_event", last, "prompt_tokens", s.req.PromptTokens,
		"backup", a.choice.Backup.ID, "priority", s.priority)...)
}

// goOn decides whether the stream goes on at another upstream; if not, it gives
// the caller the final answer.
func (s *streaming) goOn(a *attempt) bool {
	_, any := s.relay.LastEvent()
	notRun := !a.sent || a.meta.NotRun
	switch {
	case s.ctx.Err() != nil:
		return s.giveUp(a)
	case !notRun && (!s.route.Repeatable() || s.verdict() != crash.Allowed):
		return s.giveUp(a)
	case !s.mayTry(), a.sent && !s.retryAllowed():
		return s.giveUp(a)
	}
	if s.broken.IsZero() && any {
		s.broken = time.Now()
	}
	s.holder, s.copy = registration.Upstream{}, dialect.CacheCopy{}
	if a.copied() {
		s.holder, s.copy = a.holder, a.copy
	}
	s.g.metrics.resumes.Inc()
	return true
}

func (s *streaming) giveUp(a *attempt) bool {
	switch {
	case s.begun:
		s.abort(a.err.Error())
	case !s.mayHaveRun:
		s.fail(result.New(result.NoUpstream, "%s refused the request: %v", a.choice.Upstream.ID, a.err).After(s.retryIn()))
	case s.ctx.Err() != nil:
		s.fail(result.New(result.DeadlineExceeded, "no first event in time"))
	case a.body != nil && a.status >= http.StatusInternalServerError:
		s.finish(a) // the upstream's own failure is the answer
	default:
		s.fail(result.Wrap(result.UpstreamFailed, a.err, "the stream did not begin"))
	}
	return false
}
