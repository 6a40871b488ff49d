package gateway

import (
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"heatherway.dev/core/drain"
	"heatherway.dev/core/registration"
	"heatherway.dev/core/routing"
	"heatherway.dev/heatherway/internal/failure"
	"heatherway.dev/heatherway/internal/httpconn"
	"heatherway.dev/heatherway/modules/dialect"
	"heatherway.dev/kernel/buffers"
	"heatherway.dev/kernel/result"
)

// callerRequest is the state of one request of a caller.
type callerRequest struct {
	g *Gateway
	w http.ResponseWriter
	// caller is the context of the caller's connection, and ctx adds the deadline of the
	// request; it is nil until the request is admitted.
	caller, ctx  context.Context
	started      time.Time
	deadline     time.Time // when the final response is due
	req          dialect.Request
	table        *routing.Table
	route        *routing.Route
	service      *routing.Service
	organisation *routing.Organisation
	priority     int
	outgoing     outgoingRequest
	// reservation is the request's share of the buffer budget.
	reservation *buffers.Reservation
	// tried lists the upstreams that placement avoids because the request was already
	// placed there. sentCount is the number of attempts that have sent the request, or
	// may have; a reconnect to the same upstream counts again.
	tried     []string
	sentCount int
	// sentTo lists the upstreams that the request was sent to. Attempts that run at the
	// same time share it.
	sentTo   []string
	sentToMu sync.Mutex
	// mayHaveRun is set once an attempt has ended after which the request may have run.
	mayHaveRun bool
	// running is the number of attempts of an idempotent request that are under way.
	running int
	// responseStarted is set once the response header has been written to the caller.
	responseStarted bool
	// endsWithConnection is set if a response without a length ends with its connection, as
	// HTTP/1.0 has it.
	endsWithConnection bool
	// trial is set for a held request that runs once as a trial.
	trial bool
	// fingerprintText caches the fingerprint.
	fingerprintText string
	fingerprintOnce sync.Once
	// parts caches the keys of the shared parts of the prompt.
	parts     []string
	partsOnce sync.Once
}

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.metrics.requests.Inc()
	g.openRequests.Add(1)
	defer g.openRequests.Add(-1)
	c := &callerRequest{g: g, w: w, caller: r.Context(), started: time.Now(), reservation: g.buffers.NewReservation(),
		endsWithConnection: !r.ProtoAtLeast(1, 1)}
	defer c.reservation.Close()
	defer c.recoverRequest()
	c.req = g.dialect.Request(r.Header)
	if err := c.admit(r); err != nil {
		c.respondError(err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	if c.route.Kind == routing.Stream {
		c.serveStream()
		return
	}
	c.servePlain()
}

// recoverRequest ends a request whose handler panicked. A response that has started is
// aborted; otherwise the caller gets an error that does not state whether the request
// has run.
func (c *callerRequest) recoverRequest() {
	r := recover()
	if r == nil {
		return
	}
	if r == http.ErrAbortHandler {
		panic(r)
	}
	c.g.log.Error("unexpected failure", "unit", "request", "request", c.req.ID, "panic", r, "stack", string(debug.Stack()))
	if c.responseStarted {
		c.abortResponse()
	}
	c.respondError(result.New(result.Internal, "unexpected failure"))
}

// abortResponse ends a response that has started, so that it does not look complete.
func (c *callerRequest) abortResponse() {
	if c.endsWithConnection {
		httpconn.ResetAtClose(c.caller)
	}
	panic(http.ErrAbortHandler)
}

// admit resolves route, organisation and service of the request, reads its body, and
// checks whether it may run.
func (c *callerRequest) admit(r *http.Request) error {
	if c.table = c.waitForTable(r); c.table == nil {
		return result.New(result.ConfigurationBehind, "this gateway has no configuration yet").After(startupRetryAfter)
	}
	route, ok := c.table.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		return result.New(result.RouteUnknown, "no route for %s%s", r.Host, r.URL.Path)
	}
	c.route = route
	if c.table.NeedsKey(route) {
		if c.organisation, ok = c.table.Organisation(c.req.APIKey); !ok {
			return result.New(result.KeyUnknown, "the key belongs to no organisation")
		}
	}
	c.priority = routing.Priority(route, c.organisation)
	if c.service, ok = c.table.Service(route.Pick(xxhash.Sum64String(c.firstID()))); !ok {
		return result.New(result.NoUpstream, "the route has no service")
	}
	limit := route.Timeout
	if c.req.Deadline > 0 {
		limit = min(limit, c.req.Deadline)
	}
	c.deadline = c.started.Add(limit)
	if err := c.readRequest(r); err != nil {
		return err
	}
	// Before checkCrashes, which may use up one of few trials.
	if c.mustLeave() {
		return c.leavingError()
	}
	return c.checkCrashes(r.Context())
}

// firstID returns the ID of the caller's attempt that received the first event of the stream, or of
// this one. A stream goes on at the service that began it, also on a route with several.
func (c *callerRequest) firstID() string {
	if c.req.LastEventID != dialect.NoEvent && c.req.Resumes != "" {
		return c.req.Resumes
	}
	return c.req.ID
}

// noTimeLeft reports whether this gateway may begin no attempt of the request: it stops, no upstream works on the
// request for it, its caller has no part of a response, and its deadline lies behind the end of the grace period.
// The caller has more time at another gateway.
func (c *callerRequest) noTimeLeft() bool {
	return c.running == 0 && !c.responseStarted && !c.g.stop.Load().Admits(c.deadline)
}

// mustLeave reports whether the request has to go to another gateway and no upstream can have begun it.
func (c *callerRequest) mustLeave() bool { return !c.mayHaveRun && c.noTimeLeft() }

func (c *callerRequest) leavingError() *result.Error {
	return result.New(result.Leaving, "this gateway stops before the deadline of the request").After(drain.RetryAfter)
}

const (
	// startupWait is how long a request waits for the configuration at a gateway that
	// has just started. A configuration arrives within that time unless the control
	// plane is down, and a caller that is refused has only one more try.
	startupWait = 800 * time.Millisecond
	// startupRetryAfter is the Retry-After for requests that have waited in vain.
	startupRetryAfter = 500 * time.Millisecond
)

// waitForTable returns the routing table of the configuration in force, and waits for it at
// a gateway that has just started. A resumed stream may also use an unconfirmed configuration that allows
// it.
func (c *callerRequest) waitForTable(r *http.Request) *routing.Table {
	f := c.g.follower
	if t := f.table(); t != nil {
		return t
	}
	timer := time.NewTimer(startupWait)
	defer timer.Stop()
	var unconfirmed chan struct{}
	if c.req.LastEventID != dialect.NoEvent {
		unconfirmed = f.unconfirmedReceived
	}
	for {
		select {
		case <-unconfirmed:
			if t := f.unconfirmed.Load(); t.AllowsResume(r.Host, r.URL.EscapedPath(), c.req.APIKey) {
				return t
			}
			unconfirmed = nil
			continue
		case <-f.configured:
		case <-timer.C:
		case <-r.Context().Done():
		}
		return f.table()
	}
}

// readRequest reads the whole request into memory, so that it can be sent more than
// once.
func (c *callerRequest) readRequest(r *http.Request) error {
	body := r.Body
	if limit := c.table.Limits.BodyBytes; limit > 0 {
		body = http.MaxBytesReader(c.w, body, limit)
	}
	content, err := c.readBody(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return result.New(result.BodyTooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	case errors.Is(err, errBodyTooLarge):
		return err
	case errors.Is(err, errBuffersFull):
		return result.New(result.NoRoomForBody, "the buffers of this gateway are full").After(refusedRetryAfter)
	case err != nil && !time.Now().Before(c.deadline): // net/http hides the deadline's error within a trailer
		return result.New(result.DeadlineExceeded, "the body did not arrive in time").WithRan(result.NotRun)
	case err != nil && httpconn.CloserOf(r.Context()) == httpconn.CloserNone:
		return result.Wrap(result.MalformedBody, err, "body not read")
	case err != nil:
		return result.Wrap(result.CallerGone, err, "body not read").WithRan(result.NotRun)
	}
	header := r.Header.Clone()
	for _, name := range r.Header.Values("Connection") {
		header.Del(name)
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	c.outgoing = outgoingRequest{atMostOnce: !c.route.Repeatable(), method: r.Method, target: r.RequestURI, host: r.Host, header: header, body: content}
	return nil
}

// readBody reads the caller's body, at most until the deadline of the request. It then
// clears the read deadline, since the server keeps reading to notice that the caller
// disconnects.
func (c *callerRequest) readBody(body io.Reader) ([]byte, error) {
	control := http.NewResponseController(c.w)
	if err := control.SetReadDeadline(c.deadline); err != nil {
		return nil, err
	}
	content, err := readAll(body, c.reservation, maxBodyBytes(c.g.buffers), errBodyTooLarge)
	if err != nil {
		return nil, err
	}
	return content, control.SetReadDeadline(time.Time{})
}

// upstreamRequest returns the request as it is sent to an upstream.
func (c *callerRequest) upstreamRequest(u registration.Upstream, f dialect.Forward) *outgoingRequest {
	f.Deadline = time.Until(c.deadline)
	f.Upstream = u.ID
	f.Organisation = c.organisationName()
	o := c.outgoing
	// The response to an earlier attempt there has the same id, and a faulty upstream may
	// send it once more on any connection that it keeps. Responses to a request without an
	// id cannot be told apart at all.
	o.newConnection = c.recordSend(u.ID) || c.req.ID == ""
	o.header = c.outgoing.header.Clone()
	c.g.dialect.Forward(o.header, f)
	return &o
}

// recordSend records that the request is sent to an upstream, and reports whether it was
// sent there before.
func (c *callerRequest) recordSend(upstreamID string) (again bool) {
	c.sentToMu.Lock()
	defer c.sentToMu.Unlock()
	if slices.Contains(c.sentTo, upstreamID) {
		return true
	}
	c.sentTo = append(c.sentTo, upstreamID)
	return false
}

// matchesResponse reports whether a response belongs to the request. A response without
// a request ID is accepted only as the first one on a connection that was opened for the
// request: on a kept one, or after another response, it may be a late response to an
// earlier request or to one of the gateway's own calls.
func (c *callerRequest) matchesResponse(h http.Header, first bool) bool {
	id := c.g.dialect.Response(h).RequestID
	if id == "" {
		return first
	}
	return id == c.req.ID
}

var errNotRefusal = errors.New("the response says that the request has not run, but its status is no refusal")

// responseMeta decodes the header of a response. It returns an error, and a header that
// is no refusal, if the response states that the request has not run with a status other
// than those of a refusal; the request may then have run.
func (c *callerRequest) responseMeta(res *http.Response) (dialect.Response, error) {
	meta := c.g.dialect.Response(res.Header)
	if !meta.NotRun {
		return meta, nil
	}
	switch res.StatusCode {
	case http.StatusBadRequest, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return meta, nil
	}
	meta.NotRun = false
	return meta, errNotRefusal
}

// canTryAnother reports whether the request may have one more attempt.
func (c *callerRequest) canTryAnother() bool {
	return c.sentCount < c.maxAttempts() && c.ctx.Err() == nil && time.Now().Before(c.deadline) && !c.noTimeLeft()
}

// maxAttempts is the number of attempts that may send the request.
func (c *callerRequest) maxAttempts() int {
	if c.trial {
		return 1
	}
	return c.route.MaxAttempts
}

// takeRetryBudget takes one retry from the budget, and reports whether there was one.
func (c *callerRequest) takeRetryBudget() (ok bool) {
	c.g.owner.call(func(s *state) { ok = s.budget.AllowRetry(time.Now()) })
	if ok {
		c.g.metrics.retries.Inc()
	}
	return ok
}

// countFirstAttempt adds the request's first attempt to the retry budget, which grows
// with the number of first attempts.
func (c *callerRequest) countFirstAttempt() {
	c.g.owner.post(func(s *state) { s.budget.AddAttempt(time.Now()) })
}

func (c *callerRequest) markTried(u registration.Upstream) {
	if !slices.Contains(c.tried, u.ID) {
		c.tried = append(c.tried, u.ID)
	}
}

// respondError writes the gateway's own error response to the caller. A 503 counts as
// refused, since the request has not run; other server errors count as failed.
func (c *callerRequest) respondError(err error) {
	if c.ctx != nil && c.ctx.Err() != nil && time.Now().Before(c.deadline) {
		c.respondToEndedRequest(err)
		return
	}
	e := result.From(err)
	info := e.Code.Info()
	if info.HTTP >= http.StatusInternalServerError && info.HTTP != http.StatusServiceUnavailable {
		c.g.metrics.failed.Inc()
	} else {
		c.g.metrics.refused.Inc()
	}
	c.recordSample(0, 0, e.Code)
	c.logEvent("request failed", "code", int(e.Code), "status", info.HTTP, "ran", e.Ran.String(),
		"retry_after_ms", e.RetryAfter.Milliseconds(), "error", err.Error())
	c.writeError(e)
}

func (c *callerRequest) writeError(e *result.Error) {
	c.g.dialect.SetRequestID(c.w.Header(), c.req.ID)
	if e.RetryAfter > 0 {
		c.g.dialect.SetRetryAfter(c.w.Header(), e.RetryAfter)
	}
	c.g.closeIfStopping(c.w.Header())
	failure.Write(c.w, e, c.req.ID)
}

// graceIsOver reports whether the request was ended with the grace period of the gateway.
func (c *callerRequest) graceIsOver() bool { return errors.Is(context.Cause(c.caller), errGraceOver) }

// graceOverError is the error for a request that still runs when the grace period ends.
func (c *callerRequest) graceOverError() *result.Error {
	if c.sentCount == 0 && !c.mayHaveRun {
		return result.Wrap(result.Leaving, errGraceOver, "not sent to an upstream").After(drain.RetryAfter)
	}
	return result.Wrap(result.UpstreamFailed, errGraceOver, "no whole answer in time")
}

// respondToEndedRequest ends a request whose context ended before its deadline, because the
// grace period is over, or the caller or this process has closed the connection. A caller that
// has closed only its sending side looks the same as one that has left, so it gets an error
// response.
func (c *callerRequest) respondToEndedRequest(err error) {
	c.logEndedRequest(err)
	if c.graceIsOver() {
		c.writeError(c.graceOverError())
		return
	}
	e := result.New(result.CallerGone, "the caller closed its sending side before the response")
	if c.sentCount == 0 && !c.mayHaveRun {
		e = e.WithRan(result.NotRun)
	}
	c.writeError(e)
}

// endedBy says who ended the connection of a request, or the request itself with the grace
// period.
func (c *callerRequest) endedBy() httpconn.Closer {
	if c.graceIsOver() {
		return httpconn.CloserSelf
	}
	return httpconn.CloserOf(c.caller)
}

// logEndedRequest logs who ended a request that has no whole response.
func (c *callerRequest) logEndedRequest(err error) {
	closer := c.endedBy()
	if closer == httpconn.CloserSelf {
		c.g.metrics.cutRequests.Inc()
		c.logEvent("request cut off", append(c.stopAttrs(), "error", err.Error())...)
		return
	}
	c.g.metrics.aborted.Inc()
	c.logEvent("caller gone", "closed_by", string(closer), "error", err.Error())
}

// stopAttrs are the log attributes that tell whether a request that was cut off came before or after the stop signal.
// came_after_stop_ms is negative for a request that ran when the signal came.
func (c *callerRequest) stopAttrs() []any {
	stop := c.g.stop.Load()
	if stop == nil {
		return []any{"stopping", false}
	}
	return []any{"stopping", true, "came_after_stop_ms", c.started.Sub(stop.SignalAt).Milliseconds(),
		"deadline_after_stop_ms", c.deadline.Sub(stop.SignalAt).Milliseconds()}
}

// logUndelivered logs that a response could not be written to the caller's connection.
func (c *callerRequest) logUndelivered(err error) {
	c.g.metrics.undelivered.Inc()
	c.logEvent("response not delivered", "closed_by", string(httpconn.CloserOf(c.caller)), "error", err.Error())
}

// logEvent logs an event or the outcome of a request with the fields that all such lines
// share.
func (c *callerRequest) logEvent(message string, attrs ...any) {
	route, service, version := "", "", uint64(0)
	if c.route != nil {
		route = c.route.Name
	}
	if c.service != nil {
		service = c.service.Name
	}
	if c.table != nil {
		version = c.table.Version
	}
	c.g.log.Info(message, append([]any{"request", c.req.ID, "route", route, "service", service, "version", version,
		"sent", c.sentCount, "tried", c.tried, "took_ms", time.Since(c.started).Milliseconds()}, attrs...)...)
}

// copyResponseHeader copies an upstream's end-to-end headers to the response.
func (c *callerRequest) copyResponseHeader(from http.Header) {
	h := c.w.Header()
	for name, values := range from {
		if !slices.Contains(hopByHopHeaders, name) {
			h[name] = values
		}
	}
	c.g.closeIfStopping(h)
	if from.Get("Content-Type") == "" {
		h["Content-Type"] = nil // disables content type detection
	}
}
