package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/breaker"
	"heatherway.dev/core/pick"
	"heatherway.dev/core/stream"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
)

const (
	// maxFrameBatch is the maximum number of frames in one event to the driver.
	maxFrameBatch = 16
	// resumeTimeout is how long a started generation waits for an upstream that
	// can resume it.
	resumeTimeout = 5 * time.Second
	// avoidTriedTimeout is how long upstreams that have failed the generation are
	// avoided. An agent whose engine has just died refuses within a millisecond,
	// so all attempts would be used up on it otherwise.
	avoidTriedTimeout = 500 * time.Millisecond
	// resumePollInterval is the interval at which a waiting generation asks for an
	// upstream again.
	resumePollInterval = 50 * time.Millisecond
	// drainTimeout and maxDrainBytes bound the wait for the end of a response body
	// after its last frame.
	drainTimeout  = 250 * time.Millisecond
	maxDrainBytes = 4 << 10
)

// conn is one connection to an agent. The fields below cancel belong to its
// goroutine, except for the atomic ones; the driver only cancels it.
type conn struct {
	id     int
	cancel context.CancelFunc

	driver     *driver
	assignment assignment
	request    *wire.GenerateRequest
	// refused is the attempt that this one replaces, if its upstream has refused it.
	refused *assignment
	// attach is set when the connection reads an attempt that already runs.
	attach        bool
	startedAt     time.Time
	receivedFrame bool
	started       bool
	tokens        uint64 // received on this connection
	outcome       breaker.Outcome
	// finished is set once the last frame has arrived. The connection is then
	// returned to the pool instead of being closed.
	finished atomic.Bool
	// delivered is set if earlier attempts have delivered tokens, mayHaveRun if one of them may have run.
	delivered, mayHaveRun bool
	// probationPassed is set once a suspect has passed its probation on this
	// connection.
	probationPassed atomic.Bool
}

// close cancels the connection unless its last frame has arrived.
func (c *conn) close() {
	if !c.finished.Load() {
		c.cancel()
	}
}

// openAttempt checks the messages before another attempt, obtains a permit if the attempt
// needs one, chooses an upstream and opens the stream of its frames.
func (c *conn) openAttempt(ctx context.Context, a stream.Action, p purpose, target pick.Request, held wire.ID, crashes int) {
	if a.Cause != nil || c.driver.request.resume != nil {
		if err := c.driver.module.checkPartsAgain(ctx, c.driver.request, a.Cause); err != nil {
			c.driver.notify(ctx, connEvent{conn: c.id, lost: true, final: true, err: err})
			c.cancel()
			return
		}
	}
	c.request.PartTrial = c.driver.request.partTrial.Load()
	permit, err := c.driver.module.ensurePermit(ctx, c.driver.request, held, a.Cause, attemptHistory{crashes: crashes, started: p == resumeAttempt})
	if err != nil {
		c.driver.notify(ctx, connEvent{conn: c.id, lost: true, final: true, err: err})
		c.cancel()
		return
	}
	target.Suspect = permit != ""
	c.request.Permit = permit
	if err := c.chooseUpstream(ctx, p, target); err != nil {
		if p == retryAttempt && attemptNotMade(err) {
			err = a.Cause
		}
		c.driver.notify(ctx, connEvent{conn: c.id, lost: true, final: true, err: err, permit: permit})
		c.cancel()
		return
	}
	if err := c.leavingError(a.Cause); err != nil { // the signal came while a permit or an upstream was awaited
		c.outcome = breaker.Abandoned
		c.driver.notify(ctx, connEvent{conn: c.id, lost: true, final: true, err: err, permit: permit})
		c.reportOutcome(ctx)
		return
	}
	c.driver.notify(ctx, connEvent{conn: c.id, agent: c.assignment.upstream.ID, permit: permit})
	c.openStream(ctx, c.driver.module.pool.pooled)
}

// leavingError returns the error of a generation whose next attempt is not begun since the entry stops, or nil. cause
// is the failure that led to the attempt. A caller whose request may have run gets that at once, since it has more time
// to repeat it elsewhere.
func (c *conn) leavingError(cause *result.Error) *result.Error {
	if c.delivered {
		return nil
	}
	err := c.driver.module.leavingError(c.driver.request)
	if err != nil && c.mayHaveRun && cause != nil {
		return cause
	}
	return err
}

// attemptNotMade reports whether err means that a retry was not made. The
// failure that led to the retry is then returned to the caller.
func attemptNotMade(err *result.Error) bool {
	return err.Code == result.RetryBudgetSpent || err.Code == result.NoUpstream
}

// chooseUpstream chooses an upstream for the attempt. An attempt that resumes a
// started generation waits until the resume budget allows it and an upstream can
// take it.
func (c *conn) chooseUpstream(ctx context.Context, p purpose, target pick.Request) *result.Error {
	now := time.Now()
	avoidTriedUntil, giveUpAt := now.Add(avoidTriedTimeout), now.Add(resumeTimeout)
	for {
		choice := c.driver.module.owner.choose(ctx, chooseRequest{request: target, purpose: p, refused: c.refused})
		if choice.err == nil && choice.wait == 0 {
			c.assignment = choice.assignment
			return nil
		}
		if choice.err != nil && (p != resumeAttempt || choice.err.Code != result.NoUpstream || time.Now().After(giveUpAt)) {
			return choice.err
		}
		if time.Now().After(avoidTriedUntil) {
			target.Tried = nil
		}
		sleep(ctx, max(choice.wait, resumePollInterval))
	}
}

// attachToAttempt opens a connection to an attempt that an agent already holds.
func (c *conn) attachToAttempt(ctx context.Context, agent string, target pick.Request) {
	c.attach = true
	found, err := c.driver.module.findAgent(ctx, agent, target)
	if err != nil {
		c.driver.notify(ctx, connEvent{conn: c.id, lost: true, err: err})
		c.cancel()
		return
	}
	c.assignment = found
	c.driver.notify(ctx, connEvent{conn: c.id, agent: agent})
	c.openStream(ctx, c.driver.module.pool.fresh)
}

// findAgent returns the agent with the given name. It asks the control instances
// for one outside of the entry's subset of upstreams.
func (m *Module) findAgent(ctx context.Context, agent string, target pick.Request) (assignment, *result.Error) {
	choice := m.owner.attach(ctx, agent, target)
	if choice.err == nil {
		return choice.assignment, nil
	}
	var r wire.LocateReply
	if err := m.control(ctx, "Locate", &wire.LocateArgs{Instance: agent}, &r); err != nil || r.Upstream.Addr == "" {
		return assignment{}, choice.err
	}
	return assignment{upstream: r.Upstream}, nil
}

// openStream sends the request and starts the goroutine that reads the frames.
func (c *conn) openStream(ctx context.Context, transport *http.Transport) {
	c.startedAt, c.outcome = time.Now(), breaker.Abandoned
	body, sent, err := c.post(ctx, transport)
	if err != nil {
		if !sent {
			c.outcome = breaker.ConnectFailed
		}
		c.driver.notify(ctx, connEvent{conn: c.id, lost: true, agentReached: sent, err: c.connectionError(err, sent)})
		c.reportOutcome(ctx)
		return
	}
	// A new goroutine has a small stack. The stack of this one keeps the size
	// that the request needed, which is 8 KiB more for as long as the stream is
	// open.
	go c.confine(ctx, func() { c.readStream(ctx, body) })
}

// confine runs a step of the connection. A panic in it must not end the process; the connection
// then counts as lost, and its attempt may have run.
func (c *conn) confine(ctx context.Context, step func()) {
	err := recovery.Run(c.driver.module.log, "attempt of a generation", step)
	if err == nil {
		return
	}
	c.driver.notify(ctx, connEvent{conn: c.id, lost: true, agentReached: true, err: result.From(err)})
	c.cancel()
}

// reportOutcome reports the outcome of the attempt to the owner.
func (c *conn) reportOutcome(ctx context.Context) {
	c.driver.module.owner.send(attemptEnded{assignment: c.assignment, outcome: c.finalOutcome(ctx)})
	c.cancel()
}

// readStream forwards the frames to the driver until the stream ends.
func (c *conn) readStream(ctx context.Context, body io.ReadCloser) {
	defer c.reportOutcome(ctx)
	defer body.Close()
	err := c.forwardFrames(ctx, wire.NewFrameReader(body))
	if c.finished.Load() || ctx.Err() != nil {
		drainBody(body)
		return
	}
	c.outcome = breaker.RequestFailed
	c.driver.notify(ctx, connEvent{conn: c.id, lost: true, agentReached: true, err: c.connectionError(err, true)})
}

// finalOutcome returns the outcome for the circuit breaker. A connection that
// the driver cancelled before its last frame counts as a failure only if it was
// a new connection to a running attempt and received no frame within
// stream.AttachTimeout.
func (c *conn) finalOutcome(ctx context.Context) breaker.Outcome {
	if ctx.Err() == nil || c.outcome != breaker.Abandoned || c.finished.Load() {
		return c.outcome
	}
	if c.attach && !c.receivedFrame && time.Since(c.startedAt) >= stream.AttachTimeout && c.driver.ctx.Err() == nil {
		return breaker.ConnectFailed
	}
	if c.receivedFrame {
		return breaker.ConnectionSilent
	}
	return breaker.Abandoned
}

// connectionError returns the error for a connection that could not be made or
// was lost. If the agent's process has ended after the attempt started, the
// crash is reported and the error says that the attempt ran.
func (c *conn) connectionError(err error, reached bool) *result.Error {
	if !reached {
		return result.Wrap(result.UpstreamNotReachable, err, "no connection to the agent")
	}
	e := result.Wrap(result.UpstreamFailed, err, "the connection to the agent broke").WithRan(result.Unknown)
	if c.started && c.driver.module.agentGone(c.assignment.upstream.Addr) {
		c.driver.module.reportCrash(c.driver.ctx, c.driver.request, &c.assignment.upstream, c.request.Permit != "" && !c.probationPassed.Load())
		if c.tokens < wire.ProbationTokens {
			c.driver.module.reportCrashedParts(c.driver.ctx, c.driver.request, &c.assignment.upstream)
		}
		e.Ran = result.DidRun
	}
	return e
}

// post sends the request. sent reports whether the agent may have received it.
func (c *conn) post(ctx context.Context, transport *http.Transport) (body io.ReadCloser, sent bool, err error) {
	b, err := json.Marshal(c.request)
	if err != nil {
		return nil, false, errors.Wrap(err, "encode request")
	}
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			sent = true
			c.driver.notify(ctx, connEvent{conn: c.id})
		},
	}
	url := "http://" + c.assignment.upstream.Addr + wire.GeneratePath
	httpRequest, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return nil, false, errors.Wrap(err, "make request")
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := transport.RoundTrip(httpRequest)
	if err != nil {
		return nil, sent, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, true, errors.Errorf("the agent answered with HTTP status %s", response.Status)
	}
	return response.Body, true, nil
}

// drainBody reads the rest of a response body, without which the connection
// cannot be reused.
func drainBody(body io.ReadCloser) {
	t := time.AfterFunc(drainTimeout, func() { _ = body.Close() })
	defer t.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDrainBytes))
}

// forwardFrames sends frames to the driver in batches of those that have already
// arrived. It alternates between two buffers: the driver has finished with one
// when it receives the other.
func (c *conn) forwardFrames(ctx context.Context, r *wire.FrameReader) error {
	var buffers [2][]wire.Frame
	for turn := 0; ; turn = 1 - turn {
		frames, err := readBatch(r, buffers[turn][:0])
		buffers[turn] = frames
		c.recordFrames(frames)
		more := err == nil && r.Buffered()
		if len(frames) > 0 && !c.driver.notify(ctx, connEvent{conn: c.id, frames: frames, moreBuffered: more}) {
			return ctx.Err()
		}
		if err != nil || c.finished.Load() {
			return err
		}
	}
}

// readBatch appends the frames that have already arrived, at least one, to
// frames.
func readBatch(r *wire.FrameReader, frames []wire.Frame) ([]wire.Frame, error) {
	for {
		n := len(frames)
		frames = slices.Grow(frames, 1)[:n+1]
		if err := r.Read(&frames[n]); err != nil {
			return frames[:n], err
		}
		if len(frames) == maxFrameBatch || !r.Buffered() {
			return frames, nil
		}
	}
}

// recordFrames reports to the owner what the frames show about the upstream and
// notes the end of the attempt.
func (c *conn) recordFrames(frames []wire.Frame) {
	for i := range frames {
		f := &frames[i]
		c.receivedFrame = true
		if !c.started && (f.Kind == wire.FrameStarted || f.Kind == wire.FrameToken) {
			c.started = true
			c.driver.module.owner.send(attemptStarted{c.assignment})
		}
		if f.Kind == wire.FrameToken {
			c.tokens += uint64(f.Tokens)
			continue
		}
		c.driver.module.owner.trySend(loadReport{c.assignment, f.Load})
		c.driver.module.owner.noteRevision(f.Revision)
		switch f.Kind {
		case wire.FrameFail:
			c.outcome = breakerOutcomeOf(f.Code)
			c.finished.Store(true)
		case wire.FrameEnd, wire.FrameRedirect:
			c.finished.Store(true)
		}
	}
}

// breakerOutcomeOf returns the outcome for the circuit breaker. Results that are
// not the upstream's fault do not count as failures.
func breakerOutcomeOf(code result.Code) breaker.Outcome {
	switch code {
	case result.UpstreamFailed, result.UpstreamStalled, result.UpstreamMalformed, result.Internal, result.AnswerTooLarge:
		return breaker.RequestFailed
	case result.UpstreamNotReachable:
		return breaker.ConnectFailed
	}
	return breaker.Abandoned
}
