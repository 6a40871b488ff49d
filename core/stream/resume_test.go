package stream

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

var start = time.Unix(1000, 0)

func kinds(acts []Action) []ActionKind {
	var out []ActionKind
	for _, a := range acts {
		out = append(out, a.Kind)
	}
	return out
}

func token(attempt uint32, offset uint64) *wire.Frame {
	return &wire.Frame{Kind: wire.FrameToken, Attempt: attempt, Offset: offset, Tokens: 1, Text: "x"}
}

func streaming(t *testing.T) *Assembler {
	t.Helper()
	a := New(Settings{Attempts: 3, Resumes: 8, Generation: generation})
	a.Start(start)
	a.AgentChosen(1, "agent-1")
	a.Connected(start, 1)
	for i := range uint64(3) {
		deliver, _ := a.HandleFrame(start, 1, token(1, i))
		assert.Assert(t, deliver)
	}
	return a
}

// Guards the order of recovery: after silence, a new connection to the same
// agent comes before another agent.
func TestSilenceAttachesThenResumesElsewhere(t *testing.T) {
	a := streaming(t)
	assert.Equal(t, len(a.Tick(start.Add(SilenceTimeout-time.Millisecond))), 0)
	acts := a.Tick(start.Add(SilenceTimeout))
	assert.DeepEqual(t, kinds(acts), []ActionKind{Close, Attach})
	assert.Equal(t, acts[1].Agent, "agent-1")
	assert.Equal(t, acts[1].Offset, uint64(3))
	assert.Equal(t, acts[1].Attempt, uint32(1))
	acts = a.Tick(start.Add(SilenceTimeout + AttachTimeout))
	assert.DeepEqual(t, kinds(acts), []ActionKind{Close, Cancel, Open})
	assert.Equal(t, acts[2].Attempt, uint32(2))
}

// Guards against resuming on another agent, at the cost of a prefill, when only
// the connection was silent.
func TestAttachGoesOnWithTheSameAttempt(t *testing.T) {
	a := streaming(t)
	a.Tick(start.Add(SilenceTimeout))
	deliver, acts := a.HandleFrame(start.Add(SilenceTimeout), 2, token(1, 3))
	assert.Assert(t, deliver && len(acts) == 0)
	deliver, _ = a.HandleFrame(start.Add(SilenceTimeout), 1, token(1, 4))
	assert.Assert(t, !deliver, "a frame of the replaced connection was accepted")
}

func resumed() *Assembler {
	a := New(Settings{Attempts: 3, Resumes: 8, Generation: generation,
		Resume: &wire.EventID{Generation: generation, Agent: "agent-1", Attempt: 2, Offset: 5}})
	a.Start(start)
	return a
}

// Guards the recovery from losing both entry and engine: the text held by the
// agent allows the generation to resume on another agent after the tokens that
// the caller already has.
func TestResumePointUsesTheAgentsText(t *testing.T) {
	a := resumed()
	a.HandleFrame(start, 1, &wire.Frame{Kind: wire.FrameQueued, Attempt: 2, Tokens: 5, Text: "abcde"})
	deliver, _ := a.HandleFrame(start, 1, token(2, 5))
	assert.Assert(t, deliver)
	_, acts := a.HandleFrame(start, 1, &wire.Frame{Kind: wire.FrameFail, Attempt: 2, Offset: 6,
		Code: result.UpstreamFailed, Ran: result.DidRun})
	open := acts[len(acts)-1]
	assert.Equal(t, open.Kind, Open)
	assert.Assert(t, open.Attempt > 2+8, "attempt %d may be in use by the previous entry", open.Attempt)
	assert.Equal(t, open.Offset, uint64(6))
	text, known := a.Text()
	assert.Assert(t, known)
	assert.Equal(t, text, "abcdex")
}

// Guards against mixing two generations when neither the entry nor the agent
// has the delivered text: the caller must be told that the generation is lost.
func TestResumePointWithoutTextIsLost(t *testing.T) {
	for name, fail := range map[string]func(*Assembler) []Action{
		"agent gone": func(a *Assembler) []Action {
			return a.ConnectionLost(start, 1, false, result.New(result.UpstreamNotReachable, "refused"))
		},
		"not held": func(a *Assembler) []Action {
			_, acts := a.HandleFrame(start, 1, &wire.Frame{Kind: wire.FrameFail, Attempt: 2, Code: result.GenerationNotHeld})
			return acts
		},
		"text of another length": func(a *Assembler) []Action {
			a.HandleFrame(start, 1, &wire.Frame{Kind: wire.FrameQueued, Attempt: 2, Tokens: 9, Text: "abc"})
			_, acts := a.HandleFrame(start, 1, &wire.Frame{Kind: wire.FrameFail, Attempt: 2, Code: result.UpstreamFailed, Ran: result.DidRun})
			return acts
		},
	} {
		t.Run(name, func(t *testing.T) {
			acts := fail(resumed())
			last := acts[len(acts)-1]
			assert.Equal(t, last.Kind, Finish)
			assert.Equal(t, last.Outcome.Err.Code, result.GenerationLost)
			assert.Equal(t, last.Outcome.Err.Ran, result.DidRun)
		})
	}
}

// Guards the lookup by idempotency key: a generation that another agent holds
// is read from its start, whatever its attempt number.
func TestRedirectByIdempotencyKey(t *testing.T) {
	a := New(Settings{Attempts: 3, Resumes: 8, Generation: generation})
	a.Start(start)
	_, acts := a.HandleFrame(start, 1, &wire.Frame{Kind: wire.FrameRedirect, Attempt: 1, Text: "agent-7", Generation: "other"})
	assert.DeepEqual(t, kinds(acts), []ActionKind{Close, Attach})
	assert.Equal(t, acts[1].Agent, "agent-7")
	assert.Equal(t, acts[1].Generation, wire.ID("other"))
	deliver, _ := a.HandleFrame(start, 2, token(4, 0))
	assert.Assert(t, deliver)
	assert.Equal(t, a.Attempt(), uint32(4))
}

// Guards against giving up a started generation because agents refuse it for a
// while, and against asking them without end.
func TestRefusalsDoNotUseUpAttempts(t *testing.T) {
	a := streaming(t)
	acts := a.ConnectionLost(start, 1, true, result.New(result.UpstreamFailed, "reset"))
	refuse := func(at time.Time) []Action {
		conn := acts[len(acts)-1].Conn
		_, acts := a.HandleFrame(at, conn, &wire.Frame{Kind: wire.FrameFail, Attempt: a.Attempt(), Code: result.QueueFull, Ran: result.NotRun})
		return acts
	}
	for range 20 {
		acts = refuse(start)
		assert.Equal(t, acts[len(acts)-1].Kind, Open)
	}
	acts = refuse(start.Add(RefusalTimeout))
	assert.Equal(t, acts[len(acts)-1].Outcome.Err.Code, result.QueueFull)
	assert.Equal(t, acts[len(acts)-1].Outcome.Err.Ran, result.DidRun)
}

// Guards against believing that a generation was not run because of a refusal that may
// belong to another request on the same connection to the agent.
func TestRefusalOfAnotherRequest(t *testing.T) {
	queued := &wire.Frame{Kind: wire.FrameQueued, Attempt: 1, Generation: generation}
	for name, c := range map[string]struct {
		before *wire.Frame
		id     wire.ID
		ran    result.Ran
	}{
		"its own":               {nil, generation, result.NotRun},
		"without an id":         {nil, "", result.Unknown},
		"of another generation": {nil, "00000000000000000000000000000002", result.Unknown},
		"after its own frame":   {queued, "", result.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			a := New(Settings{Attempts: 1, Resumes: 1, Generation: generation})
			a.Start(start)
			a.Connected(start, 1)
			if c.before != nil {
				a.HandleFrame(start, 1, c.before)
			}
			_, acts := a.HandleFrame(start, 1, &wire.Frame{Kind: wire.FrameFail, Attempt: 1, Code: result.QueueFull, Ran: result.NotRun, Generation: c.id})
			last := acts[len(acts)-1]
			assert.Equal(t, last.Kind, Finish)
			assert.Equal(t, last.Outcome.Err.Ran, c.ran)
		})
	}
}
