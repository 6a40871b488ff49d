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
	"heatherway.dev/kernel/result"
)

const (
	// frameBatch is the most frames handed to the driver at once.
	frameBatch = 16
	// resumePatience is how long a generation that has started waits for an
	// upstream that can take it.
	resumePatience = 5 * time.Second
	// triedPatience is how long it prefers one that has not failed it; an agent
	// whose engine has just died refuses within a millisecond, and the attempts
	// would be used up on it.
	triedPatience = 500 * time.Millisecond
	// resumePause separates two looks for one.
	resumePause = 50 * time.Millisecond
	// drainLimit and drainBytes bound the wait for the end of an answer behind
	// its last frame.
	drainLimit = 250 * time.Millisecond
	drainBytes = 4 << 10
)

// conn is one connection to an agent. Its goroutine owns the fields behind n;
// the driver only cancels it.
type conn struct {
	n      int
	cancel context.CancelFunc

	d       *driver
	ticket  ticket
	request *wire.GenerateRequest
	// attached is set when the connection reads an attempt that already runs.
	attached bool
	since    time.Time
	heard    bool
	ran      bool
	outcome  breaker.Outcome
	// over is set once the last frame has arrived; the connection then goes
	// back to the pool instead of being closed.
	over atomic.Bool
	// passed is set once a suspect has ended its probation on this connection.
	passed atomic.Bool
}

// close ends the connection unless its last frame has arrived.
func (c *conn) close() {
	if !c.over.Load() {
		c.cancel()
	}
}

// connect finds an upstream for an attempt and reads its frames.
func (c *conn) connect(ctx context.Context, a stream.Action, p purpose, want pick.Request, held wire.ID, crashes int) {
	permit, err := c.d.m.clear(ctx, c.d.r, held, a.Cause, suspicion{crashes: crashes, started: p == resumeAttempt})
	if err != nil {
		c.d.signal(ctx, signal{conn: c.n, lost: true, final: true, err: err})
		c.cancel()
		return
	}
	want.Suspect = permit != ""
	c.request.Permit = permit
	if err := c.choose(ctx, p, want); err != nil {
		if p == retryAttempt && notMade(err) {
			err = a.Cause
		}
		c.d.signal(ctx, signal{conn: c.n, lost: true, final: true, err: err, permit: permit})
		c.cancel()
		return
	}
	c.d.signal(ctx, signal{conn: c.n, agent: c.ticket.upstream.ID, permit: permit})
	c.read(ctx, c.d.m.agents.pooled)
}

// notMade tells that a retry was not made, so that the failure which led to it
// stands.
func notMade(err *result.Error) bool {
	return err.Code == result.RetryBudgetSpent || err.Code == result.NoUpstream
}

// choose waits for a resume budget or upstream if the generation has started.
func (c *conn) choose(ctx context.Context, p purpose, want pick.Request) *result.Error {
	now := time.Now()
	fresh, end := now.Add(triedPatience), now.Add(resumePatience)
	for {
		got := c.d.m.owner.choose(ctx, choose{request: want, purpose: p})
		if got.err == nil && got.wait == 0 {
			c.ticket = got.ticket
			return nil
		}
		if got.err != nil && (p != resumeAttempt || got.err.Code != result.NoUpstream || time.Now().After(end)) {
			return got.err
		}
		if time.Now().After(fresh) {
			want.Tried = nil
		}
		wait(ctx, max(got.wait, resumePause))
	}
}

// join attaches to an attempt that an agent already holds.
func (c *conn) join(ctx context.Context, agent string, want pick.Request) {
	c.attached = true
	t, err := c.d.m.find(ctx, agent, want)
	if err != nil {
		c.d.signal(ctx, signal{conn: c.n, lost: true, err: err})
		c.cancel()
		return
	}
	c.ticket = t
	c.d.signal(ctx, signal{conn: c.n, agent: agent})
	c.read(ctx, c.d.m.agents.fresh)
}

// find returns the agent with the name, which may be outside of the subset.
func (m *Module) find(ctx context.Context, agent string, want pick.Request) (ticket, *result.Error) {
	got := m.owner.attach(ctx, agent, want)
	if got.err == nil {
		return got.ticket, nil
	}
	var r wire.LocateReply
	if err := m.control(ctx, "Locate", &wire.LocateArgs{Instance: agent}, &r); err != nil || r.Upstream.Addr == "" {
		return ticket{}, got.err
	}
	return ticket{upstream: r.Upstream}, nil
}

// read opens the stream and hands its frames over until it ends.
func (c *conn) read(ctx context.Context, t *http.Transport) {
	c.since, c.outcome = time.Now(), breaker.Abandoned
	body, sent, err := c.post(ctx, t)
	if err != nil {
		if !sent {
			c.outcome = breaker.ConnectFailed
		}
		c.d.signal(ctx, signal{conn: c.n, lost: true, reached: sent, err: c.lostError(err, sent)})
		c.end(ctx)
		return
	}
	// A new goroutine has a small stack; that of the request would stay at the
	// size that the request needed, 8 KiB more for the whole stream.
	go c.follow(ctx, body)
}

// end reports the outcome of the attempt.
func (c *conn) end(ctx context.Context) {
	c.d.m.owner.send(ended{ticket: c.ticket, outcome: c.judge(ctx)})
	c.cancel()
}

// follow hands the frames over until the stream ends.
func (c *conn) follow(ctx context.Context, body io.ReadCloser) {
	defer c.end(ctx)
	defer body.Close()
	err := c.pump(ctx, wire.NewFrameReader(body))
	if c.over.Load() || ctx.Err() != nil {
		drain(body)
		return
	}
	c.outcome = breaker.RequestFailed
	c.d.signal(ctx, signal{conn: c.n, lost: true, reached: true, err: c.lostError(err, true)})
}

// judge gives the circuit breaker the outcome. Of connections that the driver
// gave up, only a new one to a silent agent counts.
func (c *conn) judge(ctx context.Context) breaker.Outcome {
	if ctx.Err() == nil || c.outcome != breaker.Abandoned || c.over.Load() {
		return c.outcome
	}
	if c.attached && !c.heard && time.Since(c.since) >= stream.AttachTimeout && c.d.ctx.Err() == nil {
		return breaker.ConnectFailed
	}
	if c.heard {
		return breaker.ConnectionSilent
	}
	return breaker.Abandoned
}

// lostError tells a connection that was never made from one that broke, and
// the end of the agent from the end of the connection.
func (c *conn) lostError(err error, reached bool) *result.Error {
	if !reached {
		return result.Wrap(result.UpstreamNotReachable, err, "no connection to the agent")
	}
	e := result.Wrap(result.UpstreamFailed, err, "the connection to the agent broke").WithRan(result.Unknown)
	if c.ran && c.d.m.agentGone(c.ticket.upstream.Addr) {
		c.d.m.reportCrash(c.d.ctx, c.d.r, &c.ticket.upstream, c.request.Permit != "" && !c.passed.Load())
		e.Ran = result.DidRun
	}
	return e
}

// post sends the request. Sent tells whether the agent may have received it.
func (c *conn) post(ctx context.Context, t *http.Transport) (body io.ReadCloser, sent bool, err error) {
	b, err := json.Marshal(c.request)
	if err != nil {
		return nil, false, errors.Wrap(err, "encode request")
	}
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			sent = true
			c.d.signal(ctx, signal{conn: c.n})
		},
	}
	url := "http://" + c.ticket.upstream.Addr + wire.GeneratePath
	hr, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return nil, false, errors.Wrap(err, "make request")
	}
	hr.Header.Set("Content-Type", "application/json")
	res, err := t.RoundTrip(hr)
	if err != nil {
		return nil, sent, err
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, true, errors.Errorf("the agent answered %s", res.Status)
	}
	return res.Body, true, nil
}

// drain reads the end of an answer, without which the connection could not be
// used again.
func drain(body io.ReadCloser) {
	t := time.AfterFunc(drainLimit, func() { _ = body.Close() })
	defer t.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, drainBytes))
}

// pump hands over frames in batches of what has already arrived. Two buffers
// take turns: the driver has finished with one when it receives the other.
func (c *conn) pump(ctx context.Context, r *wire.FrameReader) error {
	var buffers [2][]wire.Frame
	for turn := 0; ; turn = 1 - turn {
		frames, err := fill(r, buffers[turn][:0])
		buffers[turn] = frames
		c.note(frames)
		more := err == nil && r.Buffered()
		if len(frames) > 0 && !c.d.signal(ctx, signal{conn: c.n, frames: frames, more: more}) {
			return ctx.Err()
		}
		if err != nil || c.over.Load() {
			return err
		}
	}
}

func fill(r *wire.FrameReader, frames []wire.Frame) ([]wire.Frame, error) {
	for {
		n := len(frames)
		frames = slices.Grow(frames, 1)[:n+1]
		if err := r.Read(&frames[n]); err != nil {
			return frames[:n], err
		}
		if len(frames) == frameBatch || !r.Buffered() {
			return frames, nil
		}
	}
}

// note tells the owner what the frames show about the upstream.
func (c *conn) note(frames []wire.Frame) {
	for i := range frames {
		f := &frames[i]
		c.heard = true
		if !c.ran && (f.Kind == wire.FrameStarted || f.Kind == wire.FrameToken) {
			c.ran = true
			c.d.m.owner.send(began{c.ticket})
		}
		if f.Kind == wire.FrameToken {
			continue
		}
		c.d.m.owner.sample(report{c.ticket, f.Load})
		c.d.m.owner.seen(f.Revision)
		switch f.Kind {
		case wire.FrameFail:
			c.outcome = outcomeOf(f.Code)
			c.over.Store(true)
		case wire.FrameEnd, wire.FrameRedirect:
			c.over.Store(true)
		}
	}
}

// outcomeOf tells whether a result is the upstream's fault.
func outcomeOf(code result.Code) breaker.Outcome {
	switch code {
	case result.UpstreamFailed, result.UpstreamStalled, result.UpstreamMalformed, result.Internal, result.AnswerTooLarge:
		return breaker.RequestFailed
	case result.UpstreamNotReachable:
		return breaker.ConnectFailed
	}
	return breaker.Abandoned
}
