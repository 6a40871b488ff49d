// Package stream assembles, in an entry, the answer of one generation from the
// attempts that run it on agents. It decides which frames are delivered to the caller, when a silent
// connection is replaced by a new one, when the generation resumes on another
// agent, and what the final outcome is. It does no I/O and reads no clock: the
// driver passes in events with their time and executes the returned actions.
package stream

import (
	"strings"
	"time"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// Timing of a connection to an agent, see docs/design.md section 5.
const (
	// SilenceTimeout is how long a connection may carry no frame. Agents send a
	// heartbeat every 250 ms.
	SilenceTimeout = 750 * time.Millisecond
	// AttachTimeout bounds the time until a new connection to a silent agent
	// carries its first frame.
	AttachTimeout = 250 * time.Millisecond
	// RefusalTimeout is how long a started generation keeps asking agents that
	// refuse it, such as during a request flood. Refusals do not count as
	// attempts: they come back immediately, and giving up would lose the text
	// delivered so far.
	RefusalTimeout = 10 * time.Second
)

// resumeAttemptIncrement is added to the attempt number when an entry continues a
// generation that another entry started, whose attempts it cannot see. It
// exceeds the number of attempts of one answer.
const resumeAttemptIncrement = 1024

// Settings configures the assembly of one answer.
type Settings struct {
	// Attempts is the maximum number of attempts before the generation has
	// started, and Resumes the maximum once it has started.
	Attempts int
	Resumes  int
	// Deadline ends the answer; the zero time means no deadline.
	Deadline time.Time
	// Generation is the id of the generation. A frame with another id ends the
	// attempt, because the connection carries the answer of another request.
	Generation wire.ID
	// Resume is set when the caller already holds the first Offset tokens of
	// the generation, received from attempt Resume.Attempt of Resume.Agent.
	// Their text is unknown to this entry.
	Resume *wire.EventID
}

// ActionKind is the kind of an action that the driver must execute.
type ActionKind uint8

// The kinds of action.
const (
	// Open starts attempt Attempt on an agent that the driver selects, with the
	// delivered text as prefix.
	Open ActionKind = iota + 1
	// Attach opens a new connection to Agent that reads the running attempt
	// from Offset.
	Attach
	// Close ends connection Conn.
	Close
	// Cancel tells Agent to end its attempts up to Attempt.
	Cancel
	// Finish reports the final outcome. It is the last action.
	Finish
)

// Action is one step that the driver must execute.
type Action struct {
	Kind    ActionKind
	Conn    int
	Agent   string
	Attempt uint32
	Offset  uint64
	// Generation, if set, replaces the generation id of the request.
	Generation wire.ID
	// Cause is the failure that led to this attempt; nil for the first one.
	Cause   *result.Error
	Outcome Outcome
}

// Outcome is the final result of an answer; Err is nil if the answer is
// complete.
type Outcome struct {
	Err          *result.Error
	Finish       string
	Tokens       uint64
	PromptTokens uint32
	CachedTokens uint32
	Attempts     int
}

// Assembler is the state of one answer.
type Assembler struct {
	set Settings

	attempt uint32
	conn    int
	agent   string
	// live is set while connection conn may carry frames. connected is set once
	// the driver has established the connection; until then the driver enforces
	// a timeout.
	live      bool
	connected bool
	// agentChosen is set once agent is the agent of connection conn.
	agentChosen bool
	// attaching is set from an Attach action until the first frame on the
	// connection.
	attaching bool
	// adoptAttempt is set when the attempt number must be taken from the
	// connection's first frame.
	adoptAttempt bool
	// identified is set once a frame on the connection has named this generation.
	identified  bool
	lastFrameAt time.Time

	text       strings.Builder
	hasText    bool
	nextOffset uint64
	started    bool
	// mayHaveRun is set when an earlier attempt may have been executed.
	mayHaveRun bool
	// opens counts the attempts, and refusals those that were refused after the
	// generation had started.
	opens    int
	refusals int
	// refusedSince is the time of the first refusal since an attempt last
	// started; zero if there was none.
	refusedSince time.Time
	attaches     int
	promptTokens uint32
	cachedTokens uint32
	done         bool
}

// New returns the assembler of one answer.
func New(set Settings) *Assembler {
	a := &Assembler{set: set, hasText: true}
	if r := set.Resume; r != nil {
		a.attempt, a.nextOffset, a.agent = r.Attempt, r.Offset, r.Agent
		a.started, a.hasText = true, r.Offset == 0
	}
	return a
}

// Text returns the text delivered so far, and false if its beginning is not
// known.
func (a *Assembler) Text() (string, bool) { return a.text.String(), a.hasText }

// DeliveredTokens returns the number of tokens delivered.
func (a *Assembler) DeliveredTokens() uint64 { return a.nextOffset }

// Attempt returns the number of the current attempt.
func (a *Assembler) Attempt() uint32 { return a.attempt }

// Agent returns the agent of the current attempt, or that of the previous
// attempt until the driver has selected one.
func (a *Assembler) Agent() string { return a.agent }

// Started reports whether an engine has run the generation.
func (a *Assembler) Started() bool { return a.started }

// Done reports whether the final outcome has been returned.
func (a *Assembler) Done() bool { return a.done }

// Start returns the first action.
func (a *Assembler) Start(now time.Time) []Action {
	if a.set.Resume != nil {
		return a.attach(now, a.agent)
	}
	return a.open(now, nil)
}

// AgentChosen records the agent that the driver has selected for connection
// conn.
func (a *Assembler) AgentChosen(conn int, agent string) {
	if conn == a.conn {
		a.agent, a.agentChosen = agent, true
	}
}

// NextTick returns when Tick must be called next; the zero time means never.
func (a *Assembler) NextTick() time.Time {
	limit := a.set.Deadline
	switch {
	case a.live && a.attaching:
		limit = a.lastFrameAt.Add(AttachTimeout)
	case a.live && a.connected:
		limit = a.lastFrameAt.Add(SilenceTimeout)
	}
	if d := a.set.Deadline; !d.IsZero() && d.Before(limit) {
		return d
	}
	return limit
}

// Tick handles the timeouts and the deadline that have expired by now.
func (a *Assembler) Tick(now time.Time) []Action {
	if a.done {
		return nil
	}
	if d := a.set.Deadline; !d.IsZero() && !now.Before(d) {
		return a.giveUp(result.New(result.DeadlineExceeded, "the deadline passed after %d tokens", a.nextOffset).WithRan(a.Ran()))
	}
	if due := a.NextTick(); !a.live || due.IsZero() || now.Before(due) {
		return nil
	}
	if a.attaching {
		return a.replaceAttempt(now, result.New(result.UpstreamStalled, "the agent is silent on a new connection too"), true)
	}
	return append([]Action{a.closeAction()}, a.attach(now, a.agent)...)
}

// Connected records that a connection has been established and restarts its
// silence timeout.
func (a *Assembler) Connected(now time.Time, conn int) {
	if conn != a.conn || !a.live || a.connected {
		return
	}
	a.connected = true
	if !a.attaching {
		a.lastFrameAt = now
	}
}

// ConnectionLost records the end of a connection. reached must be false only if
// the agent certainly received nothing on it.
func (a *Assembler) ConnectionLost(now time.Time, conn int, reached bool, err *result.Error) []Action {
	if a.done || conn != a.conn || !a.live {
		return nil
	}
	return a.replaceAttempt(now, err, reached)
}

// AttemptRefused records that the driver must not make an attempt on connection
// conn, for a reason that applies to every agent.
func (a *Assembler) AttemptRefused(conn int, err *result.Error) []Action {
	if a.done || conn != a.conn || !a.live {
		return nil
	}
	// Nothing was sent on this connection, so only earlier attempts can have run.
	// A quarantined request has run before.
	if err.Code != result.Quarantined {
		err.Ran = a.Ran()
	}
	return a.giveUpWith(err, false)
}

// Abandon ends the answer on behalf of the caller.
func (a *Assembler) Abandon(err *result.Error) []Action {
	if a.done {
		return nil
	}
	return a.giveUp(err)
}

// HandleFrame processes one frame. deliver reports whether its text must be
// sent to the caller.
func (a *Assembler) HandleFrame(now time.Time, conn int, f *wire.Frame) (deliver bool, acts []Action) {
	if a.done || conn != a.conn || !a.live {
		return false, nil
	}
	if f.Generation != "" && f.Generation != a.set.Generation && f.Kind != wire.FrameRedirect {
		return false, a.replaceAttempt(now, result.New(result.UpstreamMalformed, "the frame belongs to another generation"), true)
	}
	a.identified = a.identified || f.Generation == a.set.Generation
	if f.Kind == wire.FrameRedirect {
		return false, a.followRedirect(now, f)
	}
	if a.adoptAttempt && f.Attempt != 0 {
		a.attempt, a.adoptAttempt = f.Attempt, false
	}
	if f.Attempt != a.attempt {
		return false, nil
	}
	a.lastFrameAt, a.attaching, a.connected = now, false, true
	switch f.Kind {
	case wire.FrameQueued:
		a.adoptPrefix(f)
	case wire.FrameStarted:
		a.markStarted(f)
	case wire.FrameToken:
		return a.token(now, f)
	case wire.FrameEnd:
		return false, a.end(now, f)
	case wire.FrameFail:
		return false, a.fail(now, f)
	}
	return false, nil
}

// adoptPrefix stores the text that the caller received through an earlier
// entry.
func (a *Assembler) adoptPrefix(f *wire.Frame) {
	if a.hasText || uint64(f.Tokens) != a.nextOffset {
		return
	}
	a.text.WriteString(f.Text)
	a.hasText = true
}

func (a *Assembler) markStarted(f *wire.Frame) {
	a.started, a.refusedSince = true, time.Time{}
	if f.PromptTokens > 0 {
		a.promptTokens, a.cachedTokens = f.PromptTokens, f.CachedTokens
	}
}

func (a *Assembler) token(now time.Time, f *wire.Frame) (bool, []Action) {
	a.started = true
	if f.Offset < a.nextOffset {
		return false, nil
	}
	if f.Offset > a.nextOffset || f.Tokens == 0 {
		return false, a.offsetMismatch(now, f.Offset)
	}
	a.nextOffset += uint64(f.Tokens)
	if a.hasText {
		a.text.WriteString(f.Text)
	}
	return true, nil
}

func (a *Assembler) offsetMismatch(now time.Time, offset uint64) []Action {
	return a.replaceAttempt(now, result.New(result.UpstreamMalformed, "frame at offset %d, expected %d", offset, a.nextOffset), true)
}

func (a *Assembler) end(now time.Time, f *wire.Frame) []Action {
	if f.Offset != a.nextOffset {
		return a.offsetMismatch(now, f.Offset)
	}
	a.markStarted(f)
	return []Action{a.closeAction(), a.finish(Outcome{Finish: f.Finish})}
}

// fail handles the agent's report that the attempt has ended.
func (a *Assembler) fail(now time.Time, f *wire.Frame) []Action {
	message := f.Finish
	if message == "" {
		message = f.Code.Info().Meaning
	}
	ran := f.Ran
	if ran == result.NotRun && !a.identified && !a.started {
		ran = result.Unknown // it may be the refusal of an earlier request on the connection
	}
	err := result.New(f.Code, "%s", message).WithRan(ran).After(time.Duration(f.RetryMS) * time.Millisecond)
	if ran == result.DidRun {
		a.started = true
	}
	a.mayHaveRun = a.mayHaveRun || ran == result.Unknown
	if isFinal(f.Code) {
		return a.giveUpWith(err, false)
	}
	return a.replaceAttempt(now, err, ran != result.NotRun)
}

// isFinal reports whether another agent would fail with the same code, so that
// there is no point in another attempt.
func isFinal(c result.Code) bool {
	switch c {
	case result.UpstreamFailed, result.UpstreamStalled, result.UpstreamMalformed, result.UpstreamNotReachable,
		result.Internal, result.Leaving, result.NoUpstream, result.QueueFull, result.DeadlineUnreachable,
		result.ConfigurationBehind, result.GenerationNotHeld, result.ModelUnknown, result.SuspectBusy:
		return false
	}
	return true
}

// followRedirect attaches to the agent that holds the generation of the
// idempotency key.
func (a *Assembler) followRedirect(now time.Time, f *wire.Frame) []Action {
	if a.nextOffset > 0 || f.Text == "" {
		return a.replaceAttempt(now, result.New(result.UpstreamMalformed, "unexpected reference to another agent"), true)
	}
	acts := []Action{a.closeAction()}
	a.attempt, a.adoptAttempt, a.started = f.Attempt, true, true
	if f.Generation != "" {
		a.set.Generation = f.Generation
	}
	attach := a.attach(now, f.Text)
	attach[0].Generation = f.Generation
	return append(acts, attach...)
}

// replaceAttempt ends the current attempt after a failure and starts the next
// one, unless none is left. reached must be false only if the agent certainly
// received nothing; otherwise the attempt is also cancelled there.
func (a *Assembler) replaceAttempt(now time.Time, err *result.Error, reached bool) []Action {
	acts := []Action{a.closeAction()}
	if reached {
		a.mayHaveRun = true
		if a.agent != "" && err.Code != result.GenerationNotHeld {
			acts = append(acts, Action{Kind: Cancel, Agent: a.agent, Attempt: a.attempt})
		}
	}
	if !a.hasText {
		return append(acts, a.generationLost(err)...)
	}
	if a.exhausted(now, err) {
		return append(acts, a.giveUpWith(err, false)...)
	}
	return append(acts, a.open(now, err)...)
}

// exhausted reports whether no further attempt may follow a failure. It also
// counts a refusal of a started generation, which is limited by RefusalTimeout
// instead of the number of attempts.
func (a *Assembler) exhausted(now time.Time, err *result.Error) bool {
	if !a.started || err.Ran != result.NotRun {
		return a.opens-a.refusals >= a.maxAttempts()
	}
	a.refusals++
	if a.refusedSince.IsZero() {
		a.refusedSince = now
	}
	return now.Sub(a.refusedSince) >= RefusalTimeout
}

func (a *Assembler) generationLost(err *result.Error) []Action {
	e := result.Wrap(result.GenerationLost, err, "the text delivered so far is held nowhere any more")
	return []Action{a.finish(Outcome{Err: e})}
}

func (a *Assembler) maxAttempts() int {
	if a.started {
		return a.set.Resumes
	}
	return a.set.Attempts
}

func (a *Assembler) open(now time.Time, cause *result.Error) []Action {
	a.attempt++
	if a.set.Resume != nil && a.opens == 0 {
		a.attempt += resumeAttemptIncrement
	}
	a.opens++
	a.newConn(now, a.agent)
	a.attaching, a.adoptAttempt, a.agentChosen = false, false, false
	return []Action{{Kind: Open, Conn: a.conn, Attempt: a.attempt, Offset: a.nextOffset, Cause: cause}}
}

func (a *Assembler) attach(now time.Time, agent string) []Action {
	a.attaches++
	a.newConn(now, agent)
	a.attaching, a.agentChosen = true, true
	return []Action{{Kind: Attach, Conn: a.conn, Agent: agent, Attempt: a.attempt, Offset: a.nextOffset}}
}

func (a *Assembler) newConn(now time.Time, agent string) {
	a.conn++
	a.agent, a.live, a.connected, a.identified, a.lastFrameAt = agent, true, false, false, now
}

func (a *Assembler) closeAction() Action {
	a.live = false
	return Action{Kind: Close, Conn: a.conn}
}

// giveUp ends the answer with an error and cancels an attempt that may still be
// running.
func (a *Assembler) giveUp(err *result.Error) []Action {
	return a.giveUpWith(err, a.live && a.agentChosen)
}

func (a *Assembler) giveUpWith(err *result.Error, cancel bool) []Action {
	var acts []Action
	if a.live {
		acts = append(acts, a.closeAction())
	}
	if cancel {
		a.mayHaveRun = true
		acts = append(acts, Action{Kind: Cancel, Agent: a.agent, Attempt: a.attempt})
	}
	if ran := a.Ran(); ran != result.NotRun {
		err.Ran = ran
	}
	return append(acts, a.finish(Outcome{Err: err}))
}

// Ran reports what is known about the execution of the attempts. It returns
// NotRun only if every attempt was refused or received nothing.
func (a *Assembler) Ran() result.Ran {
	switch {
	case a.started:
		return result.DidRun
	case a.mayHaveRun:
		return result.Unknown
	default:
		return result.NotRun
	}
}

func (a *Assembler) finish(o Outcome) Action {
	a.done, a.live = true, false
	o.Tokens, o.Attempts = a.nextOffset, a.opens
	o.PromptTokens, o.CachedTokens = a.promptTokens, a.cachedTokens
	return Action{Kind: Finish, Outcome: o}
}
