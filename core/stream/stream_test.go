package stream

import (
	"fmt"
	"hash/fnv"
	"math/rand"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

const (
	answerTokens = 9
	generation   = wire.ID("00000000000000000000000000000001")
)

// simulation runs one assembler against simulated agents, connections and a
// caller. Every attempt decodes different text, and the text of each token
// depends on the whole text before it, so that any gap, duplicate or mixture of
// attempts is detected.
type simulation struct {
	pick  func(n int, what string) int
	a     *Assembler
	fault func(a *Assembler, conn *int, f *wire.Frame)

	now           time.Time
	conns         []*simConn
	attempts      map[uint32]*simAttempt
	deliveredText string
	tokens        int
	finishes      []Outcome
	err           error
}

// simAttempt is the output that one agent decodes.
type simAttempt struct {
	number uint32
	first  int
	texts  []string
	agent  string
}

// simConn carries the frames of one attempt. position is the index of the next
// frame that arrives unless a fault is simulated.
type simConn struct {
	n        int
	attempt  *simAttempt
	frames   []wire.Frame
	position int
	closed   bool
}

func hashText(text string) string {
	h := fnv.New64a()
	h.Write([]byte(text))
	return fmt.Sprintf("%x;", h.Sum64())
}

// decode generates the tokens of an attempt that continues a prefix.
func decode(number uint32, prefix string, first int) *simAttempt {
	at := &simAttempt{number: number, first: first, agent: fmt.Sprintf("agent-%d", number)}
	for i := first; i < answerTokens; i++ {
		token := hashText(fmt.Sprintf("%d|%s", number, prefix))
		at.texts = append(at.texts, token)
		prefix += token
	}
	return at
}

func (at *simAttempt) frames(offset int) []wire.Frame {
	out := []wire.Frame{{Kind: wire.FrameStarted, Attempt: at.number, Offset: uint64(offset), Generation: generation}}
	for i := max(offset, at.first); i < answerTokens; i++ {
		out = append(out, wire.Frame{Kind: wire.FrameToken, Attempt: at.number, Offset: uint64(i), Tokens: 1, Text: at.texts[i-at.first]})
	}
	return append(out, wire.Frame{Kind: wire.FrameEnd, Attempt: at.number, Offset: answerTokens, Finish: "stop"})
}

func newSimulation(pick func(int, string) int, broken func(*Assembler, *int, *wire.Frame)) *simulation {
	start := time.Unix(1000, 0)
	w := &simulation{pick: pick, fault: broken, now: start, attempts: map[uint32]*simAttempt{}}
	w.a = New(Settings{Attempts: 3, Resumes: 6, Deadline: start.Add(time.Minute), Generation: generation})
	w.run(w.a.Start(w.now))
	return w
}

func (w *simulation) run(acts []Action) {
	for _, act := range acts {
		if len(w.finishes) > 0 {
			w.fail("action %d after the final outcome", act.Kind)
		}
		switch act.Kind {
		case Open:
			w.open(act)
		case Attach:
			w.attach(act)
		case Close:
			w.conns[act.Conn-1].closed = true
		case Finish:
			w.finishes = append(w.finishes, act.Outcome)
			w.checkOutcome(act.Outcome)
		}
	}
}

func (w *simulation) open(act Action) {
	text, known := w.a.Text()
	if !known || text != w.deliveredText || act.Offset != uint64(w.tokens) {
		w.fail("resume with prefix of %d tokens after %d were delivered", act.Offset, w.tokens)
	}
	at := decode(act.Attempt, text, int(act.Offset))
	w.attempts[act.Attempt] = at
	w.a.AgentChosen(act.Conn, at.agent)
	w.addConn(act.Conn, at, int(act.Offset))
}

func (w *simulation) attach(act Action) {
	at, ok := w.attempts[act.Attempt]
	if !ok || at.agent != act.Agent {
		w.fail("attach to attempt %d of %q, which does not run there", act.Attempt, act.Agent)
		return
	}
	w.addConn(act.Conn, at, int(act.Offset))
}

func (w *simulation) addConn(n int, at *simAttempt, offset int) {
	if n != len(w.conns)+1 {
		w.fail("connection %d opened as number %d", len(w.conns)+1, n)
	}
	w.conns = append(w.conns, &simConn{n: n, attempt: at, frames: at.frames(offset)})
}

func (w *simulation) fail(format string, args ...any) {
	if w.err == nil {
		w.err = errors.Errorf(format, args...)
	}
}

func (w *simulation) frame(c *simConn, f wire.Frame) {
	conn := c.n
	if w.fault != nil {
		w.fault(w.a, &conn, &f)
	}
	deliver, acts := w.a.HandleFrame(w.now, conn, &f)
	if deliver {
		w.delivered(f)
	}
	w.run(acts)
}

// delivered checks the invariant that the token was decoded after exactly the
// text that the caller has.
func (w *simulation) delivered(f wire.Frame) {
	if len(w.finishes) > 0 {
		w.fail("token after the final outcome")
	}
	for number := range w.attempts {
		if f.Text == hashText(fmt.Sprintf("%d|%s", number, w.deliveredText)) {
			w.deliveredText += f.Text
			w.tokens++
			return
		}
	}
	w.fail("token %d does not continue the %d tokens delivered", f.Offset, w.tokens)
}

func (w *simulation) checkOutcome(o Outcome) {
	if o.Err == nil && w.tokens != answerTokens {
		w.fail("whole answer reported after %d of %d tokens", w.tokens, answerTokens)
	}
	if o.Err != nil && o.Err.Ran == result.NotRun && w.started() {
		w.fail("not run reported for a generation that ran")
	}
}

func (w *simulation) started() bool {
	for _, c := range w.conns {
		if c.position > 0 {
			return true
		}
	}
	return false
}

// step simulates one random event.
func (w *simulation) step() {
	c := w.conns[w.pick(len(w.conns), "connection")]
	if w.pick(2, "newest") == 0 {
		c = w.conns[len(w.conns)-1]
	}
	switch w.pick(16, "event") {
	default:
		w.next(c)
	case 8: // the frame is dropped
		c.position = min(c.position+1, len(c.frames))
	case 9: // a frame is duplicated or reordered
		if len(c.frames) > 0 {
			w.frame(c, c.frames[w.pick(len(c.frames), "frame")])
		}
	case 10:
		w.lose(c, true)
	case 11:
		w.lose(c, false)
	case 12:
		w.send(c, wire.Frame{Kind: wire.FrameFail, Attempt: c.attempt.number, Code: result.UpstreamFailed, Ran: result.DidRun})
	case 13:
		w.send(c, wire.Frame{Kind: wire.FrameHeartbeat, Attempt: c.attempt.number})
	case 14: // the connections are silent
		w.now = w.now.Add(SilenceTimeout)
		w.run(w.a.Tick(w.now))
	case 15: // a frame of another request arrives
		w.send(c, wire.Frame{Kind: wire.FrameEnd, Attempt: c.attempt.number, Offset: uint64(w.tokens), Generation: "other"})
	}
}

// send delivers a frame from the agent unless the connection was never
// established.
func (w *simulation) send(c *simConn, f wire.Frame) {
	if len(c.frames) > 0 {
		w.frame(c, f)
	}
}

func (w *simulation) next(c *simConn) {
	w.a.Connected(w.now, c.n)
	if c.position < len(c.frames) {
		c.position++
		w.frame(c, c.frames[c.position-1])
	}
}

func (w *simulation) lose(c *simConn, reached bool) {
	reached = reached || c.position > 0
	if !reached {
		c.frames = nil // a connection that was never established carries nothing
	}
	w.run(w.a.ConnectionLost(w.now, c.n, reached, result.New(result.UpstreamNotReachable, "lost")))
}

// simulate runs random faults, then delivers the remaining frames without
// faults, then lets the deadline pass.
func simulate(pick func(int, string) int, broken func(*Assembler, *int, *wire.Frame)) error {
	w := newSimulation(pick, broken)
	for range 60 {
		w.step()
	}
	for range 3 * answerTokens {
		w.next(w.conns[len(w.conns)-1])
	}
	w.now = w.now.Add(2 * time.Minute)
	w.run(w.a.Tick(w.now))
	w.run(w.a.Tick(w.now))
	if w.err == nil && len(w.finishes) != 1 {
		w.fail("%d final outcomes", len(w.finishes))
	}
	return w.err
}

// Guards invariants I1 to I4 for one answer: the delivered tokens are the
// prefix of one generation, and there is exactly one final outcome, whatever
// the connections and agents do.
func TestAnswerIsOneGeneration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
		assert.NilError(t, simulate(pick, nil))
	})
}

// brokenVariants each disable one rule of the assembler.
var brokenVariants = map[string]func(a *Assembler, conn *int, f *wire.Frame){
	"frames of replaced attempts are accepted": func(a *Assembler, conn *int, f *wire.Frame) {
		*conn, f.Attempt = a.conn, a.attempt
	},
	"a gap is accepted": func(a *Assembler, _ *int, f *wire.Frame) {
		if f.Kind == wire.FrameToken && f.Offset > a.nextOffset {
			f.Offset = a.nextOffset
		}
	},
	"a repeated frame is accepted": func(a *Assembler, _ *int, f *wire.Frame) {
		if f.Kind == wire.FrameToken && f.Offset < a.nextOffset {
			f.Offset = a.nextOffset
		}
	},
	"an end before the last token is accepted": func(a *Assembler, _ *int, f *wire.Frame) {
		if f.Kind == wire.FrameEnd {
			f.Offset = a.nextOffset
		}
	},
	"a frame of another generation is accepted": func(_ *Assembler, _ *int, f *wire.Frame) {
		f.Generation = ""
	},
	"the outcome is reported again": func(a *Assembler, _ *int, _ *wire.Frame) {
		a.done = false
	},
	"the resume prefix lacks text": func(a *Assembler, _ *int, f *wire.Frame) {
		if f.Kind == wire.FrameToken && f.Offset == a.nextOffset && a.nextOffset == 4 {
			a.text.Reset()
		}
	},
	"earlier attempts are forgotten in the outcome": func(a *Assembler, _ *int, _ *wire.Frame) {
		a.started, a.mayHaveRun = false, false
	},
}

// Guards against a property test that does not detect violations: it must fail
// when any one rule is disabled.
func TestPropertyNoticesBrokenVariants(t *testing.T) {
	const seeds = 5000
	for name, broken := range brokenVariants {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(seeds) {
				rng := rand.New(rand.NewSource(seed))
				pick := func(n int, _ string) int { return rng.Intn(n) }
				if err := simulate(pick, broken); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("no violation in %d runs", seeds)
		})
	}
}
