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

// Timing of answers and of cancelled attempts.
const (
	// idleCommentInterval is how often an event stream without tokens carries a
	// comment, so that the caller can tell a waiting stream from a dead connection.
	idleCommentInterval = time.Second
	// firstTokenWait is how long an event stream waits for its first token before
	// the status 200 is sent. A failure within that time gets its own HTTP status.
	firstTokenWait = time.Second
	// cancelTimeout bounds the call that cancels an attempt at its agent.
	cancelTimeout = time.Second
)

// driver runs one generation: it executes the assembler's actions and writes
// the answer. Only the goroutine that serves the request changes its state;
// connections send it events.
type driver struct {
	module    *Module
	request   *request
	ctx       context.Context
	cancel    context.CancelFunc
	assembler *stream.Assembler
	output    output

	events       chan connEvent
	conns        map[int]*conn
	latestConn   *conn
	triedAgents  []string
	prefixBlocks []uint64
	timer        *time.Timer
	// permit is held while a suspect runs. permitOffset is the number of tokens
	// that had been delivered when it was granted, and passedPermit the permit
	// of a probation that the generation has passed. crashes counts the attempts
	// that ended in what looks like a crash.
	permit       wire.ID
	permitOffset uint64
	passedPermit wire.ID
	crashes      int

	outcome    *stream.Outcome
	lastWrite  time.Time
	firstToken time.Duration
	// attemptLostAt is when the current attempt was lost, zero while tokens
	// arrive.
	attemptLostAt time.Time
	bytesWritten  int64
	// writeFailed is set once the caller can no longer be written to.
	writeFailed   bool
	deadlineSetAt time.Time
	closed        bool
}

// noAgentID is the agent in event ids while no agent has been chosen. A resume
// from such an id starts the generation, as nothing has been delivered.
const noAgentID = "-"

// connEvent is sent by the goroutine of a connection to the driver: an agent was
// chosen, the connection was made or lost, or frames arrived. moreBuffered is
// set when further frames can follow without waiting; agentReached is set when
// the agent may have received the request.
type connEvent struct {
	conn         int
	agent        string
	frames       []wire.Frame
	moreBuffered bool
	lost         bool
	agentReached bool
	// final is set when no other attempt may be made, so that the answer ends.
	final  bool
	err    *result.Error
	permit wire.ID
}

func newDriver(ctx context.Context, m *Module, r *request) *driver {
	scope := config.Scope{Organisation: r.organisation, Model: r.model}
	d := &driver{
		module: m, request: r,
		events:       make(chan connEvent),
		conns:        map[int]*conn{},
		prefixBlocks: pick.BlockHashes(r.model, "", promptOf(r)),
		timer:        time.NewTimer(time.Hour),
		assembler: stream.New(stream.Settings{
			Attempts: int(r.snap.config.Int("retry.attempts", scope, r.startedAt)),
			Resumes:  int(r.snap.config.Int("resume.attempts", scope, r.startedAt)),
			Deadline: r.deadline,
			Resume:   r.resume,

			Generation: r.generation,
		}),
	}
	d.ctx, d.cancel = context.WithCancel(ctx)
	d.output = newOutput(d)
	return d
}

// runUntilHead runs the generation until the head of the answer can be sent: at
// the first token of an event stream or after firstTokenWait, at the end of an
// answer without streaming, or at a failure.
func (d *driver) runUntilHead() *result.Error {
	now := time.Now()
	d.execute(d.assembler.Start(now))
	d.lastWrite = now
	for d.outcome == nil && !d.output.headReady() {
		if d.request.stream && time.Since(now) >= firstTokenWait {
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

// Read implements io.Reader. The generated server uses WriteTo instead.
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
	// The generated server would append an error body to the answer if an error
	// were returned, so a failed write is only logged.
	return d.bytesWritten, nil
}

// writeIdleComment writes a comment if nothing has been written for
// idleCommentInterval.
func (d *driver) writeIdleComment() {
	if now := time.Now(); d.outcome == nil && now.Sub(d.lastWrite) >= idleCommentInterval {
		d.output.idle()
		d.lastWrite = now
	}
}

// processNext handles the next event of a connection, the next timeout, or the
// end of the request.
func (d *driver) processNext() {
	d.setTimer(time.Now())
	select {
	case event := <-d.events:
		d.handleEvent(event)
	case <-d.timer.C:
		d.tick()
	case <-d.ctx.Done():
		d.execute(d.assembler.Abandon(endedError(d.ctx)))
	}
}

// tick handles a waiting event before it reports the time to the assembler. A
// write to a slow caller may have blocked the driver, so frames that arrived in
// the meantime must not count as late.
func (d *driver) tick() {
	select {
	case event := <-d.events:
		d.handleEvent(event)
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

func (d *driver) handleEvent(event connEvent) {
	now := time.Now()
	if event.permit != "" && event.permit != d.permit {
		d.permit, d.permitOffset = event.permit, d.assembler.DeliveredTokens()
	}
	if event.agent != "" {
		d.assembler.AgentChosen(event.conn, event.agent)
		return
	}
	if event.lost {
		d.handleLoss(now, event)
		return
	}
	if event.frames == nil {
		d.assembler.Connected(now, event.conn)
		return
	}
	for i := range event.frames {
		d.handleFrame(now, event.conn, &event.frames[i])
	}
	if !event.moreBuffered {
		d.output.flush()
	}
}

func (d *driver) handleLoss(now time.Time, event connEvent) {
	if event.final {
		d.execute(d.assembler.AttemptRefused(event.conn, event.err))
		return
	}
	d.execute(d.assembler.ConnectionLost(now, event.conn, event.agentReached, event.err))
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
		d.firstToken = now.Sub(d.request.startedAt)
		d.module.metrics.firstToken[d.request.class].Observe(d.firstToken.Milliseconds())
	}
	if !d.attemptLostAt.IsZero() {
		d.triedAgents = d.triedAgents[:0]
		d.module.metrics.resumeGap.Observe(now.Sub(d.attemptLostAt).Milliseconds())
		d.attemptLostAt = time.Time{}
	}
	d.module.metrics.tokens.Add(int64(f.Tokens))
	d.output.token(f.Text, d.eventID())
	d.lastWrite = now
}

func (d *driver) eventID() wire.EventID {
	agent := d.assembler.Agent()
	if agent == "" {
		agent = noAgentID
	}
	return wire.EventID{Generation: d.request.generation, Agent: agent, Attempt: d.assembler.Attempt(), Offset: d.assembler.DeliveredTokens()}
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
			if a.Outcome.Err != nil {
				d.module.checkEarlierGeneration(context.WithoutCancel(d.ctx), d.request, a.Outcome.Err)
			}
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

// cancelAttempt tells an agent to end an attempt whose output would be dropped.
// It only saves work, so a failed call is ignored.
func (d *driver) cancelAttempt(a stream.Action) {
	if d.callerMayResume() {
		return
	}
	u, ok := d.module.owner.current().upstreams[a.Agent]
	if !ok {
		return
	}
	c := d.module.pool.client(u.Addr)
	args := wire.CancelArgs{Generation: d.request.generation, Attempt: a.Attempt}
	d.module.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = c.Call(ctx, wire.AgentService+".Cancel", &args, &wire.CancelReply{})
	})
}

// callerMayResume reports whether the caller has disconnected but can resume the
// generation by its last event id or its key.
func (d *driver) callerMayResume() bool {
	return d.ctx.Err() != nil && (d.request.key != "" || d.request.stream && d.assembler.DeliveredTokens() > 0)
}

// close ends the attempts and connections of the generation, releases its
// permit and records its outcome.
func (d *driver) close() {
	if d.closed {
		return
	}
	d.closed = true
	if d.outcome == nil {
		d.execute(d.assembler.Abandon(endedError(d.ctx)))
	}
	for n := range d.conns {
		d.closeConn(n)
	}
	d.cancel()
	d.timer.Stop()
	d.finishPermit()
	d.module.chargeOutput(d.request, d.outcome)
	d.module.recordFinished(d.request, d.summary())
}

// finishPermit releases the permit of a suspect. A suspect that has completed is
// cleared, also if it had passed its probation before.
func (d *driver) finishPermit() {
	switch {
	case d.outcome.Err == nil:
		d.module.releasePermit(d.request, cmp.Or(d.permit, d.passedPermit), permitSucceeded)
	case d.assembler.DeliveredTokens() == d.permitOffset && !looksLikeCrash(d.outcome.Err):
		d.module.releasePermit(d.request, d.permit, permitUnused)
	default:
		d.module.releasePermit(d.request, d.permit, permitFailed)
	}
}

// passProbation releases the permit once the suspect has produced
// wire.ProbationTokens tokens without a crash.
func (d *driver) passProbation(conn int) {
	if d.permit == "" || d.assembler.DeliveredTokens() < d.permitOffset+wire.ProbationTokens {
		return
	}
	if c, ok := d.conns[conn]; ok {
		c.probationPassed.Store(true)
	}
	d.module.releasePermit(d.request, d.permit, permitPassed)
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
	// The context is not a child of the driver's: after the last frame the
	// connection reads the rest of the agent's response, which may take longer
	// than the request.
	ctx, cancel := context.WithCancel(context.WithoutCancel(d.ctx))
	c := &conn{id: a.Conn, cancel: cancel, driver: d, request: d.generateRequest(a)}
	if a.Cause != nil && isRefusal(a.Cause) && d.latestConn != nil {
		refused := d.latestConn.assignment // a pointer into the connection would keep it in memory
		c.refused = &refused
	}
	d.conns[a.Conn], d.latestConn = c, c
	return c, ctx
}

func (d *driver) open(a stream.Action) {
	c, ctx := d.newConn(a)
	c.delivered, c.mayHaveRun = d.assembler.DeliveredTokens() > 0, d.assembler.Ran() != result.NotRun
	if err := c.leavingError(a.Cause); err != nil { // the signal may have come since the request was admitted
		d.execute(d.assembler.AttemptRefused(a.Conn, err))
		return
	}
	text, _ := d.assembler.Text()
	c.request.Body, c.request.PrefixText, c.request.PrefixTokens = d.request.body, text, a.Offset
	p := firstAttempt
	if a.Cause != nil {
		p = d.prepareNextAttempt(a.Cause)
	}
	d.module.metrics.attempts.Inc()
	target, permit, crashes := d.pickRequest(), d.permit, d.crashes
	go c.confine(ctx, func() { c.openAttempt(ctx, a, p, target, permit, crashes) })
}

// prepareNextAttempt records the failure that leads to another attempt and
// returns the purpose of that attempt, which determines its budget.
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
	d.module.metrics.resumes.Inc()
	if d.attemptLostAt.IsZero() && d.assembler.DeliveredTokens() > 0 {
		d.attemptLostAt = time.Now()
	}
	return resumeAttempt
}

func (d *driver) pickRequest() pick.Request {
	return pick.Request{
		Model: d.request.model, Class: d.request.class, Blocks: d.prefixBlocks, Tried: slices.Clone(d.triedAgents),
		Zone: d.module.instance.Zone, Region: d.module.instance.Region,
	}
}

func (d *driver) attach(a stream.Action) {
	if a.Generation != "" {
		d.request.generation = a.Generation
		d.request.applySeed()
	}
	c, ctx := d.newConn(a)
	_, known := d.assembler.Text()
	c.request.Attach, c.request.Offset, c.request.Prefix = true, a.Offset, !known
	d.module.metrics.attaches.Inc()
	target := d.pickRequest()
	go c.confine(ctx, func() { c.attachToAttempt(ctx, a.Agent, target) })
}

func (d *driver) generateRequest(a stream.Action) *wire.GenerateRequest {
	r, now := d.request, time.Now()
	return &wire.GenerateRequest{
		Generation: r.generation, Attempt: a.Attempt, RequestID: r.id, Entry: d.module.instance.ID,
		Organisation: r.organisation, Class: r.class, Weight: r.weight, Model: r.model, Kind: r.kind,
		DeadlineMS: r.remainingMS(now), Fingerprint: r.fingerprint, Key: r.key, Revision: r.snap.revision(),
	}
}

// notify sends an event to the driver. It returns false if the connection or the
// request has ended.
func (d *driver) notify(ctx context.Context, event connEvent) bool {
	select {
	case d.events <- event:
		return true
	case <-ctx.Done():
		return false
	case <-d.ctx.Done():
		return false
	}
}

// responseController returns the response controller of w, or nil if w is not an
// http.ResponseWriter.
func responseController(w io.Writer) *http.ResponseController {
	rw, ok := w.(http.ResponseWriter)
	if !ok {
		return nil
	}
	return http.NewResponseController(rw)
}
