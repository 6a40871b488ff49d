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
	// idleComment is how often an event stream without tokens carries a
	// comment, so that the caller can tell silence from waiting.
	idleComment = time.Second
	// headWait is how long an event stream waits for its first token before
	// the status is sent; a failure within it keeps its own HTTP status.
	headWait = time.Second
	// cancelLimit bounds the message that ends an attempt.
	cancelLimit = time.Second
)

// driver runs one generation: it executes the assembler's actions and writes
// the answer. It belongs to the goroutine that serves the request.
type driver struct {
	m   *Module
	r   *request
	ctx context.Context
	end context.CancelFunc
	asm *stream.Assembler
	out output

	signals chan signal
	conns   map[int]*conn
	tried   []string
	blocks  []uint64
	timer   *time.Timer
	// permit is held while a suspect runs; crashes counts the attempts that
	// ended in what looks like a crash. permitFrom is the count of tokens
	// delivered when the permit was given, and passed the permit of an ended
	// probation.
	permit     wire.ID
	permitFrom uint64
	passed     wire.ID
	crashes    int

	outcome    *stream.Outcome
	lastWrite  time.Time
	firstToken time.Duration
	// lostAt is when the current attempt was lost, zero while tokens flow.
	lostAt   time.Time
	written  int64
	extended time.Time
	logged   bool
}

// noAgent stands in event ids for an agent that has not been chosen. A resume
// from there starts the generation, as nothing has been delivered.
const noAgent = "-"

// signal is what a connection's goroutine tells the driver.
type signal struct {
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
		signals: make(chan signal),
		conns:   map[int]*conn{},
		blocks:  pick.BlockHashes(r.model, "", promptOf(r)),
		timer:   time.NewTimer(time.Hour),
		asm: stream.New(stream.Settings{
			Attempts: int(r.snap.doc.Int("retry.attempts", scope, r.begun)),
			Resumes:  int(r.snap.doc.Int("resume.attempts", scope, r.begun)),
			Deadline: r.deadline,
			Resume:   r.resume,

			Generation: r.generation,
		}),
	}
	d.ctx, d.end = context.WithCancel(ctx)
	d.out = newOutput(d)
	return d
}

// begin runs the generation until the head of the answer can be sent: the
// first token of an event stream, the end of a whole answer, or a failure.
func (d *driver) begin() *result.Error {
	now := time.Now()
	d.execute(d.asm.Start(now))
	d.lastWrite = now
	for d.outcome == nil && !d.out.headReady() {
		if d.r.stream && time.Since(now) >= headWait {
			return nil
		}
		d.step()
	}
	if d.outcome != nil && d.outcome.Err != nil && !d.out.headReady() {
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
	d.out.attach(w)
	for d.outcome == nil {
		d.step()
		d.idle()
	}
	d.out.finish(*d.outcome)
	d.close()
	// The generated server would add an error body after a failed write, so the
	// failure is only logged.
	return d.written, nil
}

// idle sends a comment when nothing has been written for a while.
func (d *driver) idle() {
	if now := time.Now(); d.outcome == nil && now.Sub(d.lastWrite) >= idleComment {
		d.out.idle()
		d.lastWrite = now
	}
}

// step waits for one signal or for the next moment at which time matters.
func (d *driver) step() {
	d.setTimer(time.Now())
	select {
	case s := <-d.signals:
		d.take(s)
	case <-d.timer.C:
		d.tick()
	case <-d.ctx.Done():
		d.execute(d.asm.Abandon(result.New(result.CallerGone, "the caller closed its connection")))
	}
}

// tick gives frames that wait already precedence over the passage of time; the
// driver may have been held up by a slow caller.
func (d *driver) tick() {
	select {
	case s := <-d.signals:
		d.take(s)
	default:
		d.execute(d.asm.Tick(time.Now()))
	}
}

func (d *driver) setTimer(now time.Time) {
	due := d.lastWrite.Add(idleComment)
	if next := d.asm.NextTick(); !next.IsZero() && next.Before(due) {
		due = next
	}
	d.timer.Reset(max(due.Sub(now), time.Millisecond))
}

func (d *driver) take(s signal) {
	now := time.Now()
	if s.permit != "" && s.permit != d.permit {
		d.permit, d.permitFrom = s.permit, d.asm.DeliveredTokens()
	}
	if s.agent != "" {
		d.asm.AgentChosen(s.conn, s.agent)
		return
	}
	if s.lost {
		d.lost(now, s)
		return
	}
	if s.frames == nil {
		d.asm.Connected(now, s.conn)
		return
	}
	for i := range s.frames {
		d.frame(now, s.conn, &s.frames[i])
	}
	if !s.more {
		d.out.flush()
	}
}

func (d *driver) lost(now time.Time, s signal) {
	if s.final {
		d.execute(d.asm.AttemptRefused(s.conn, s.err))
		return
	}
	d.execute(d.asm.ConnectionLost(now, s.conn, s.reached, s.err))
}

func (d *driver) frame(now time.Time, conn int, f *wire.Frame) {
	deliver, acts := d.asm.HandleFrame(now, conn, f)
	if deliver {
		d.deliver(now, f)
		d.passProbation(conn)
	}
	d.execute(acts)
}

func (d *driver) deliver(now time.Time, f *wire.Frame) {
	if d.firstToken == 0 {
		d.firstToken = now.Sub(d.r.begun)
		d.m.metrics.firstToken[d.r.class].Observe(d.firstToken.Milliseconds())
	}
	if !d.lostAt.IsZero() {
		d.tried = d.tried[:0]
		d.m.metrics.resumeGap.Observe(now.Sub(d.lostAt).Milliseconds())
		d.lostAt = time.Time{}
	}
	d.m.metrics.tokens.Add(int64(f.Tokens))
	d.out.token(f.Text, d.eventID())
	d.lastWrite = now
}

func (d *driver) eventID() wire.EventID {
	agent := d.asm.Agent()
	if agent == "" {
		agent = noAgent
	}
	return wire.EventID{Generation: d.r.generation, Agent: agent, Attempt: d.asm.Attempt(), Offset: d.asm.DeliveredTokens()}
}

func (d *driver) execute(acts []stream.Action) {
	for _, a := range acts {
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
	if d.keepsRunning() {
		return
	}
	u, ok := d.m.owner.current().upstreams[a.Agent]
	if !ok {
		return
	}
	c := d.m.agents.client(u.Addr)
	args := wire.CancelArgs{Generation: d.r.generation, Attempt: a.Attempt}
	d.m.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelLimit)
		defer cancel()
		_ = c.Call(ctx, wire.AgentService+".Cancel", &args, &wire.CancelReply{})
	})
}

// keepsRunning tells whether the caller has gone but can come back for the
// generation, by its last event id or its key.
func (d *driver) keepsRunning() bool {
	return d.ctx.Err() != nil && (d.r.key != "" || d.r.stream && d.asm.DeliveredTokens() > 0)
}

// close ends everything that belongs to the generation and logs it.
func (d *driver) close() {
	if d.logged {
		return
	}
	d.logged = true
	if d.outcome == nil {
		d.execute(d.asm.Abandon(result.New(result.CallerGone, "the caller closed its connection")))
	}
	for n := range d.conns {
		d.closeConn(n)
	}
	d.end()
	d.timer.Stop()
	d.endPermit()
	d.m.settle(d.r, d.outcome)
	d.m.finish(d.r, d.summary())
}

// endPermit gives the permit of a suspect back. A suspect that has ended well
// is cleared, also if its probation was over before.
func (d *driver) endPermit() {
	switch {
	case d.outcome.Err == nil:
		d.m.giveBackPermit(d.r, cmp.Or(d.permit, d.passed), permitFinished)
	case d.asm.DeliveredTokens() == d.permitFrom && !crashed(d.outcome.Err):
		d.m.giveBackPermit(d.r, d.permit, permitUnused)
	default:
		d.m.giveBackPermit(d.r, d.permit, permitLost)
	}
}

// passProbation gives the permit back once a suspect has proved harmless.
func (d *driver) passProbation(conn int) {
	if d.permit == "" || d.asm.DeliveredTokens() < d.permitFrom+wire.ProbationTokens {
		return
	}
	if c, ok := d.conns[conn]; ok {
		c.passed.Store(true)
	}
	d.m.giveBackPermit(d.r, d.permit, permitPassed)
	d.permit, d.passed = "", d.permit
}

func (d *driver) summary() summary {
	o := d.outcome
	return summary{
		upstream: d.asm.Agent(), attempts: o.Attempts, tokens: o.Tokens,
		err: o.Err, firstToken: d.firstToken,
	}
}

func (d *driver) newConn(a stream.Action) (*conn, context.Context) {
	// The connection may outlive the driver by the time it takes to reach the
	// end of the agent's answer.
	ctx, cancel := context.WithCancel(context.WithoutCancel(d.ctx))
	c := &conn{n: a.Conn, cancel: cancel, d: d, request: d.generateRequest(a)}
	d.conns[a.Conn] = c
	return c, ctx
}

func (d *driver) open(a stream.Action) {
	c, ctx := d.newConn(a)
	text, _ := d.asm.Text()
	c.request.Body, c.request.PrefixText, c.request.PrefixTokens = d.r.body, text, a.Offset
	p := firstAttempt
	if a.Cause != nil {
		p = d.again(a.Cause)
	}
	d.m.metrics.attempts.Inc()
	go c.connect(ctx, a, p, d.want(), d.permit, d.crashes)
}

// again prepares another attempt and tells which budget it draws on.
func (d *driver) again(cause *result.Error) purpose {
	if agent := d.asm.Agent(); agent != "" {
		d.tried = append(d.tried, agent)
	}
	if crashed(cause) {
		d.crashes++
	}
	if !d.asm.Started() {
		return retryAttempt
	}
	d.m.metrics.resumes.Inc()
	if d.lostAt.IsZero() && d.asm.DeliveredTokens() > 0 {
		d.lostAt = time.Now()
	}
	return resumeAttempt
}

func (d *driver) want() pick.Request {
	return pick.Request{
		Model: d.r.model, Class: d.r.class, Blocks: d.blocks, Tried: slices.Clone(d.tried),
		Zone: d.m.instance.Zone, Region: d.m.instance.Region,
	}
}

func (d *driver) attach(a stream.Action) {
	if a.Generation != "" {
		d.r.generation = a.Generation
		d.r.fixSeed()
	}
	c, ctx := d.newConn(a)
	_, known := d.asm.Text()
	c.request.Attach, c.request.Offset, c.request.Prefix = true, a.Offset, !known
	d.m.metrics.attaches.Inc()
	go c.join(ctx, a.Agent, d.want())
}

func (d *driver) generateRequest(a stream.Action) *wire.GenerateRequest {
	r, now := d.r, time.Now()
	return &wire.GenerateRequest{
		Generation: r.generation, Attempt: a.Attempt, RequestID: r.id, Entry: d.m.instance.ID,
		Organisation: r.organisation, Class: r.class, Weight: r.weight, Model: r.model, Kind: r.kind,
		DeadlineMS: r.left(now), Fingerprint: r.fingerprint, Key: r.key, Revision: r.snap.revision(),
	}
}

// signal hands a signal to the driver unless the connection has been given up.
func (d *driver) signal(ctx context.Context, s signal) bool {
	select {
	case d.signals <- s:
		return true
	case <-ctx.Done():
		return false
	case <-d.ctx.Done():
		return false
	}
}

// writer returns the response controller of an answer's writer.
func controller(w io.Writer) *http.ResponseController {
	rw, ok := w.(http.ResponseWriter)
	if !ok {
		return nil
	}
	return http.NewResponseController(rw)
}
