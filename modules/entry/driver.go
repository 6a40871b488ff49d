package entry

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"heatherway.dev/core/config"
	"heatherway.dev/core/pick"
	"heatherway.dev/core/stream"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// Timing towards the caller.
const (
	// idleCommentInterval is how often an event stream without tokens carries a
	// comment, so that the caller can tell silence from waiting.
	idleCommentInterval = time.Second
	// firstTokenWait is how long an event stream waits for its first token before
	// the status is sent; a failure within it keeps its own HTTP status.
	firstTokenWait = time.Second
	// cancelTimeout bounds the message that ends an attempt.
	cancelTimeout = time.Second
)

// driver runs one generation: it executes the assembler's actions and writes
// the answer. It belongs to the goroutine that serves the request.
type driver struct {
	m         *Module
	r         *request
	ctx       context.Context
	cancel    context.CancelFunc
	assembler *stream.Assembler
	output    output

	events       chan connEvent
	conns        map[int]*conn
	triedAgents  []string
	prefixBlocks []uint64
	timer        *time.Timer
	// permit is held while a suspect runs; crashes counts the attempts that
	// ended in what looks like a crash. permitFrom is the count of tokens
	// delivered when the permit was given, and passed the permit of an ended
	// probation.
	permit       wire.ID
	permitOffset uint64
	passedPermit wire.ID
	crashes      int

	outcome    *stream.Outcome
	lastWrite  time.Time
	firstToken time.Duration
	// attemptLostAt is when the current attempt was lost, zero while tokens flow.
	attemptLostAt time.Time
	bytesWritten  int64
	deadlineSetAt time.Time
	closed        bool
}

// noAgentID stands in event ids for an agent that has not been chosen. A resume
// from there starts the generation, as nothing has been delivered.
const noAgentID = "-"

// connEvent is what a connection's goroutine tells the driver.
type connEvent struct {
	conn    int
	agent   string
	frames  []wire.Frame
	more    bool
	lost    bool
	reached bool
	// final ends the answer, since no other attempt may be made.
	final  bool
	err    *result.Error
	permit wire.ID
}

func newDriver(ctx context.Context, m *Module, r *request) *driver {
	scope := config.Scope{Organisation: r.organisation, Model: r.model}
	d := &driver{
		m: m, r: r,
		events:       make(chan connEvent),
		conns:        map[int]*conn{},
		prefixBlocks: pick.BlockHashes(r.model, "", promptOf(r)),
		timer:        time.NewTimer(time.Hour),
		assembler: stream.New(stream.Settings{
			Attempts: int(r.snap.doc.Int("retry.attempts", scope, r.startedAt)),
			Resumes:  int(r.snap.doc.Int("resume.attempts", scope, r.startedAt)),
			Deadline: r.deadline,
			Resume:   r.resume,

			Generation: r.generation,
		}),
	}
	d.ctx, d.cancel = context.WithCancel(ctx)
	d.output = newOutput(d)
	return d
}

// runUntilHead runs the generation until the head of the answer can be sent: the
// first token of an event stream, the end of a whole answer, or a failure.
func (d *driver) runUntilHead() *result.Error {
	now := time.Now()
	d.execute(d.assembler.Start(now))
	d.lastWrite = now
	for d.outcome == nil && !d.output.headReady() {
		if d.r.stream && time.Since(now) >= firstTokenWait {
			return nil
		}
		d.processNext()
	}
	if d.outcome != nil && d.outcome.Err != nil && !d.output.headReady() {
		d.close()
		return d.outcome.Err
	}
	return nil
}

// Read implements io.Reader; the generated server uses WriteTo.
func (d *driver) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (d *driver) Close() error {
	d.close()
	return nil
}

// WriteTo writes the rest of the answer.
func (d *driver) WriteTo(w io.Writer) (int64, error) {
	d.output.attach(w)
	for d.outcome == nil {
		d.processNext()
		d.writeIdleComment()
	}
	d.output.finish(*d.outcome)
	d.close()
	// The generated server would add an error body after a failed write, so the
	// failure is only logged.
	return d.bytesWritten, nil
}

// writeIdleComment sends a comment when nothing has been written for a while.
func (d *driver) writeIdleComment() {
	if now := time.Now(); d.outcome == nil && now.Sub(d.lastWrite) >= idleCommentInterval {
		d.output.idle()
		d.lastWrite = now
	}
}

// processNext waits for one signal or for the next moment at which time matters.
func (d *driver) processNext() {
	d.setTimer(time.Now())
	select {
	case s := <-d.events:
		d.handleEvent(s)
	case <-d.timer.C:
		d.tick()
	case <-d.ctx.Done():
		d.execute(d.assembler.Abandon(result.New(result.CallerGone, "the caller closed its connection")))
	}
}

// tick gives frames that wait already precedence over the passage of time; the
// driver may have been held up by a slow caller.
func (d *driver) tick() {
	select {
	case s := <-d.events:
		d.handleEvent(s)
	default:
		d.execute(d.assembler.Tick(time.Now()))
	}
}

func (d *driver) setTimer(now time.Time) {
	due := d.lastWrite.Add(idleCommentInterval)
	if next := d.assembler.NextTick(); !next.IsZero() && next.Before(due) {
		due = next
	}
	d.timer.Reset(max(due.Sub(now), time.Millisecond))
}

func (d *driver) handleEvent(s connEvent) {
	now := time.Now()
	if s.permit != "" && s.permit != d.permit {
		d.permit, d.permitOffset = s.permit, d.assembler.DeliveredTokens()
	}
	if s.agent != "" {
		d.assembler.AgentChosen(s.conn, s.agent)
		return
	}
	if s.lost {
		d.handleLoss(now, s)
		return
	}
	if s.frames == nil {
		d.assembler.Connected(now, s.conn)
		return
	}
	for i := range s.frames {
		d.handleFrame(now, s.conn, &s.frames[i])
	}
	if !s.more {
		d.output.flush()
	}
}

func (d *driver) handleLoss(now time.Time, s connEvent) {
	if s.final {
		d.execute(d.assembler.AttemptRefused(s.conn, s.err))
		return
	}
	d.execute(d.assembler.ConnectionLost(now, s.conn, s.reached, s.err))
}

func (d *driver) handleFrame(now time.Time, conn int, f *wire.Frame) {
	deliver, actions := d.assembler.HandleFrame(now, conn, f)
	if deliver {
		d.deliverToken(now, f)
		d.passProbation(conn)
	}
	d.execute(actions)
}

func (d *driver) deliverToken(now time.Time, f *wire.Frame) {
	if d.firstToken == 0 {
		d.firstToken = now.Sub(d.r.startedAt)
		d.m.metrics.firstToken[d.r.class].Observe(d.firstToken.Milliseconds())
	}
	if !d.attemptLostAt.IsZero() {
		d.triedAgents = d.triedAgents[:0]
		d.m.metrics.resumeGap.Observe(now.Sub(d.attemptLostAt).Milliseconds())
		d.attemptLostAt = time.Time{}
	}
	d.m.metrics.tokens.Add(int64(f.Tokens))
	d.output.token(f.Text, d.eventID())
	d.lastWrite = now
}

func (d *driver) eventID() wire.EventID {
	agent := d.assembler.Agent()
	if agent == "" {
		agent = noAgentID
	}
	return wire.EventID{Generation: d.r.generation, Agent: agent, Attempt: d.assembler.Attempt(), Offset: d.assembler.DeliveredTokens()}
}

func (d *driver) execute(actions []stream.Action) {
	for _, a := range actions {
		switch a.Kind {
		case stream.Open:
			d.open(a)
		case stream.Attach:
			d.attach(a)
		case stream.Close:
			d.closeConn(a.Conn)
		case stream.Cancel:
			d.cancelAttempt(a)
		case stream.Finish:
			d.outcome = &a.Outcome
		}
	}
}

func (d *driver) closeConn(n int) {
	if c, ok := d.conns[n]; ok {
		c.close()
		delete(d.conns, n)
	}
}

// cancelAttempt tells an agent that nobody wants an attempt any more. It is
// only a saving: output of the attempt would be dropped anyway.
func (d *driver) cancelAttempt(a stream.Action) {
	if d.callerMayResume() {
		return
	}
	u, ok := d.m.owner.current().upstreams[a.Agent]
	if !ok {
		return
	}
	c := d.m.pool.client(u.Addr)
	args := wire.CancelArgs{Generation: d.r.generation, Attempt: a.Attempt}
	d.m.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = c.Call(ctx, wire.AgentService+".Cancel", &args, &wire.CancelReply{})
	})
}

// callerMayResume tells whether the caller has gone but can come back for the
// generation, by its last event id or its key.
func (d *driver) callerMayResume() bool {
	return d.ctx.Err() != nil && (d.r.key != "" || d.r.stream && d.assembler.DeliveredTokens() > 0)
}

// close ends everything that belongs to the generation and logs it.
func (d *driver) close() {
	if d.closed {
		return
	}
	d.closed = true
	if d.outcome == nil {
		d.execute(d.assembler.Abandon(result.New(result.CallerGone, "the caller closed its connection")))
	}
	for n := range d.conns {
		d.closeConn(n)
	}
	d.cancel()
	d.timer.Stop()
	d.finishPermit()
	d.m.chargeOutput(d.r, d.outcome)
	d.m.recordFinished(d.r, d.summary())
}

// finishPermit gives the permit of a suspect back. A suspect that has ended well
// is cleared, also if its probation was over before.
func (d *driver) finishPermit() {
	switch {
	case d.outcome.Err == nil:
		d.m.releasePermit(d.r, cmp.Or(d.permit, d.passedPermit), permitSucceeded)
	case d.assembler.DeliveredTokens() == d.permitOffset && !looksLikeCrash(d.outcome.Err):
		d.m.releasePermit(d.r, d.permit, permitUnused)
	default:
		d.m.releasePermit(d.r, d.permit, permitFailed)
	}
}

// passProbation gives the permit back once a suspect has proved harmless.
func (d *driver) passProbation(conn int) {
	if d.permit == "" || d.assembler.DeliveredTokens() < d.permitOffset+wire.ProbationTokens {
		return
	}
	if c, ok := d.conns[conn]; ok {
		c.probationPassed.Store(true)
	}
	d.m.releasePermit(d.r, d.permit, permitPassed)
	d.permit, d.passedPermit = "", d.permit
}

func (d *driver) summary() requestSummary {
	o := d.outcome
	return requestSummary{
		upstream: d.assembler.Agent(), attempts: o.Attempts, tokens: o.Tokens,
		err: o.Err, firstToken: d.firstToken,
	}
}

func (d *driver) newConn(a stream.Action) (*conn, context.Context) {
	// The connection may outlive the driver by the time it takes to reach the
	// end of the agent's answer.
	ctx, cancel := context.WithCancel(context.WithoutCancel(d.ctx))
	c := &conn{id: a.Conn, cancel: cancel, driver: d, request: d.generateRequest(a)}
	d.conns[a.Conn] = c
	return c, ctx
}

func (d *driver) open(a stream.Action) {
	c, ctx := d.newConn(a)
	text, _ := d.assembler.Text()
	c.request.Body, c.request.PrefixText, c.request.PrefixTokens = d.r.body, text, a.Offset
	p := firstAttempt
	if a.Cause != nil {
		p = d.prepareNextAttempt(a.Cause)
	}
	d.m.metrics.attempts.Inc()
	go c.openAttempt(ctx, a, p, d.pickRequest(), d.permit, d.crashes)
}

// prepareNextAttempt prepares another attempt and tells which budget it draws on.
func (d *driver) prepareNextAttempt(cause *result.Error) purpose {
	if agent := d.assembler.Agent(); agent != "" {
		d.triedAgents = append(d.triedAgents, agent)
	}
	if looksLikeCrash(cause) {
		d.crashes++
	}
	if !d.assembler.Started() {
		return retryAttempt
	}
	d.m.metrics.resumes.Inc()
	if d.attemptLostAt.IsZero() && d.assembler.DeliveredTokens() > 0 {
		d.attemptLostAt = time.Now()
	}
	return resumeAttempt
}

func (d *driver) pickRequest() pick.Request {
	return pick.Request{
		Model: d.r.model, Class: d.r.class, Blocks: d.prefixBlocks, Tried: slices.Clone(d.triedAgents),
		Zone: d.m.instance.Zone, Region: d.m.instance.Region,
	}
}

func (d *driver) attach(a stream.Action) {
	if a.Generation != "" {
		d.r.generation = a.Generation
		d.r.applySeed()
	}
	c, ctx := d.newConn(a)
	_, known := d.assembler.Text()
	c.request.Attach, c.request.Offset, c.request.Prefix = true, a.Offset, !known
	d.m.metrics.attaches.Inc()
	go c.attachToAttempt(ctx, a.Agent, d.pickRequest())
}

func (d *driver) generateRequest(a stream.Action) *wire.GenerateRequest {
	r, now := d.r, time.Now()
	return &wire.GenerateRequest{
		Generation: r.generation, Attempt: a.Attempt, RequestID: r.id, Entry: d.m.instance.ID,
		Organisation: r.organisation, Class: r.class, Weight: r.weight, Model: r.model, Kind: r.kind,
		DeadlineMS: r.remainingMS(now), Fingerprint: r.fingerprint, Key: r.key, Revision: r.snap.revision(),
	}
}

// notify hands a signal to the driver unless the connection has been given up.
func (d *driver) notify(ctx context.Context, s connEvent) bool {
	select {
	case d.events <- s:
		return true
	case <-ctx.Done():
		return false
	case <-d.ctx.Done():
		return false
	}
}

// writer returns the response controller of an answer's writer.
func responseController(w io.Writer) *http.ResponseController {
	rw, ok := w.(http.ResponseWriter)
	if !ok {
		return nil
	}
	return http.NewResponseController(rw)
}
