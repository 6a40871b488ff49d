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
	sim := &simulation{pick: pick, fault: broken, now: start, attempts: map[uint32]*simAttempt{}}
	sim.a = New(Settings{Attempts: 3, Resumes: 6, Deadline: start.Add(time.Minute), Generation: generation})
	sim.run(sim.a.Start(sim.now))
	return sim
}

func (sim *simulation) run(acts []Action) {
	for _, act := range acts {
		if len(sim.finishes) > 0 {
			sim.fail("action %d after the final outcome", act.Kind)
		}
		switch act.Kind {
		case Open:
			sim.open(act)
		case Attach:
			sim.attach(act)
		case Close:
			sim.conns[act.Conn-1].closed = true
		case Finish:
			sim.finishes = append(sim.finishes, act.Outcome)
			sim.checkOutcome(act.Outcome)
		}
	}
}

func (sim *simulation) open(act Action) {
	text, known := sim.a.Text()
	if !known || text != sim.deliveredText || act.Offset != uint64(sim.tokens) {
		sim.fail("resume with prefix of %d tokens after %d were delivered", act.Offset, sim.tokens)
	}
	at := decode(act.Attempt, text, int(act.Offset))
	sim.attempts[act.Attempt] = at
	sim.a.AgentChosen(act.Conn, at.agent)
	sim.addConn(act.Conn, at, int(act.Offset))
}

func (sim *simulation) attach(act Action) {
	at, ok := sim.attempts[act.Attempt]
	if !ok || at.agent != act.Agent {
		sim.fail("attach to attempt %d of %q, which does not run there", act.Attempt, act.Agent)
		return
	}
	sim.addConn(act.Conn, at, int(act.Offset))
}

func (sim *simulation) addConn(n int, at *simAttempt, offset int) {
	if n != len(sim.conns)+1 {
		sim.fail("connection %d opened as number %d", len(sim.conns)+1, n)
	}
	sim.conns = append(sim.conns, &simConn{n: n, attempt: at, frames: at.frames(offset)})
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.err == nil {
		sim.err = errors.Errorf(format, args...)
	}
}

func (sim *simulation) frame(c *simConn, f wire.Frame) {
	conn := c.n
	if sim.fault != nil {
		sim.fault(sim.a, &conn, &f)
	}
	deliver, acts := sim.a.HandleFrame(sim.now, conn, &f)
	if deliver {
		sim.delivered(f)
	}
	sim.run(acts)
}

// delivered checks the invariant that the token was decoded after exactly the
// text that the caller has.
func (sim *simulation) delivered(f wire.Frame) {
	if len(sim.finishes) > 0 {
		sim.fail("token after the final outcome")
	}
	for number := range sim.attempts {
		if f.Text == hashText(fmt.Sprintf("%d|%s", number, sim.deliveredText)) {
			sim.deliveredText += f.Text
			sim.tokens++
			return
		}
	}
	sim.fail("token %d does not continue the %d tokens delivered", f.Offset, sim.tokens)
}

func (sim *simulation) checkOutcome(o Outcome) {
	if o.Err == nil && sim.tokens != answerTokens {
		sim.fail("whole answer reported after %d of %d tokens", sim.tokens, answerTokens)
	}
	if o.Err != nil && o.Err.Ran == result.NotRun && sim.started() {
		sim.fail("not run reported for a generation that ran")
	}
}

func (sim *simulation) started() bool {
	for _, c := range sim.conns {
		if c.position > 0 {
			return true
		}
	}
	return false
}

// step simulates one random event.
func (sim *simulation) step() {
	c := sim.conns[sim.pick(len(sim.conns), "connection")]
	if sim.pick(2, "newest") == 0 {
		c = sim.conns[len(sim.conns)-1]
	}
	switch sim.pick(16, "event") {
	default:
		sim.next(c)
	case 8: // the frame is dropped
		c.position = min(c.position+1, len(c.frames))
	case 9: // a frame is duplicated or reordered
		if len(c.frames) > 0 {
			sim.frame(c, c.frames[sim.pick(len(c.frames), "frame")])
		}
	case 10:
		sim.lose(c, true)
	case 11:
		sim.lose(c, false)
	case 12:
		sim.send(c, wire.Frame{Kind: wire.FrameFail, Attempt: c.attempt.number, Code: result.UpstreamFailed, Ran: result.DidRun})
	case 13:
		sim.send(c, wire.Frame{Kind: wire.FrameHeartbeat, Attempt: c.attempt.number})
	case 14: // the connections are silent
		sim.now = sim.now.Add(SilenceTimeout)
		sim.run(sim.a.Tick(sim.now))
	case 15: // a frame of another request arrives
		sim.send(c, wire.Frame{Kind: wire.FrameEnd, Attempt: c.attempt.number, Offset: uint64(sim.tokens), Generation: "other"})
	}
}

// send delivers a frame from the agent unless the connection was never
// established.
func (sim *simulation) send(c *simConn, f wire.Frame) {
	if len(c.frames) > 0 {
		sim.frame(c, f)
	}
}

func (sim *simulation) next(c *simConn) {
	sim.a.Connected(sim.now, c.n)
	if c.position < len(c.frames) {
		c.position++
		sim.frame(c, c.frames[c.position-1])
	}
}

func (sim *simulation) lose(c *simConn, reached bool) {
	reached = reached || c.position > 0
	if !reached {
		c.frames = nil // a connection that was never established carries nothing
	}
	sim.run(sim.a.ConnectionLost(sim.now, c.n, reached, result.New(result.UpstreamNotReachable, "lost")))
}

// simulate runs random faults, then delivers the remaining frames without
// faults, then lets the deadline pass.
func simulate(pick func(int, string) int, broken func(*Assembler, *int, *wire.Frame)) error {
	sim := newSimulation(pick, broken)
	for range 60 {
		sim.step()
	}
	for range 3 * answerTokens {
		sim.next(sim.conns[len(sim.conns)-1])
	}
	sim.now = sim.now.Add(2 * time.Minute)
	sim.run(sim.a.Tick(sim.now))
	sim.run(sim.a.Tick(sim.now))
	if sim.err == nil && len(sim.finishes) != 1 {
		sim.fail("%d final outcomes", len(sim.finishes))
	}
	return sim.err
}

// Guards against an answer that mixes generations, skips or repeats tokens, or
// has no or several final outcomes, whatever the connections and agents do.
// These are the invariants I1 to I4 for one answer.
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
