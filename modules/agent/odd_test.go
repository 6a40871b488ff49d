package agent

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// Guards against an agent that refuses all work for ever because one entry has named a
// revision that does not exist.
func TestRevisionThatDoesNotExist(t *testing.T) {
	control := newFakeControl(t)
	control.revision = 3
	a := startAgent(t, engineAdapter(t, newFakeEngine(t).URL, 1), func(a *Agent) { a.Control = []string{control.addr()} })
	eventually(t, control, "the configuration", func() bool { return a.snapshot.Load().revision == 3 })
	a.post(revisionEvent{math.MaxUint64})
	accepting := func(at time.Time) bool {
		answer := make(chan error, 1)
		a.post(acceptingQuery{at, answer})
		return <-answer == nil
	}
	eventually(t, control, "work accepted after any time", func() bool { return accepting(time.Now().Add(time.Hour)) })
	_, last := openStream(t, a, request(1)).read(t, untilEnd)
	assert.Equal(t, last.Kind, wire.FrameEnd)
}

// Guards against an agent that drops a revision because an instance without a quorum does
// not know it.
func TestRevisionIsKeptUntilAQuorumAnswers(t *testing.T) {
	control := newFakeControl(t)
	control.revision, control.noFreshWatch = 3, true
	a := startAgent(t, engineAdapter(t, newFakeEngine(t).URL, 1), func(a *Agent) { a.Control = []string{control.addr()} })
	time.Sleep(50 * time.Millisecond)
	control.mu.Lock()
	control.noFreshWatch = false
	control.mu.Unlock()
	eventually(t, control, "the configuration", func() bool { return a.snapshot.Load().revision == 3 })
	control.mu.Lock()
	control.noFreshWatch = true
	control.mu.Unlock()
	a.post(revisionEvent{5})
	time.Sleep(time.Second)
	answer := make(chan error, 1)
	a.post(acceptingQuery{time.Now().Add(maxConfigLag + time.Second), answer})
	assert.Assert(t, <-answer != nil, "revision 5 may exist")
	control.mu.Lock()
	control.noFreshWatch, control.revision = false, 5
	control.mu.Unlock()
	eventually(t, control, "the newer configuration", func() bool { return a.snapshot.Load().revision == 5 })
}

// acceptingQuery asks the owner whether it accepts work at a time.
type acceptingQuery struct {
	at     time.Time
	answer chan<- error
}

func (e acceptingQuery) apply(o *owner, _ time.Time) { e.answer <- o.checkAccepting(e.at, 0, "", "") }

// Guards against a caller who is told to return in seven weeks since a quarantine has ended while no
// control instance could say so.
func TestQuarantineThatHasEndedNamesAShortTime(t *testing.T) {
	e := newFakeEngine(t)
	a := startAgent(t, engineAdapter(t, e.URL, 1), nil)
	assert.Assert(t, a.post(suspectsEvent{[]wire.Suspect{{Fingerprint: "fp", Quarantined: true, UntilMS: time.Now().Add(-20 * time.Minute).UnixMilli()}}}))
	_, last := openStream(t, a, request(5)).read(t, untilEnd)
	assert.Equal(t, last.Code, result.Quarantined)
	assert.Assert(t, last.RetryMS > 0 && last.RetryMS <= 1000, "%d ms", last.RetryMS)
}
