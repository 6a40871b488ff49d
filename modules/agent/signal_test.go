package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/admission"
	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/result"
)

// Guards against new work for an engine that has signalled that it is leaving, and against
// aborting the requests that run there.
func TestLeavingEngineGetsNoWork(t *testing.T) {
	e := newFakeEngine(t)
	e.tokenInterval = 20 * time.Millisecond
	a := startAgent(t, engineAdapter(t, e.URL, 1), nil)
	running := openStream(t, a, request(200))
	text, _ := running.read(t, 1)
	waiting := openStream(t, a, request(5))
	e.update(func(e *fakeEngine) { e.leaving = true })
	_, last := waiting.read(t, untilEnd)
	assert.Equal(t, last.Code, result.Leaving)
	assert.Equal(t, last.Ran, result.NotRun)
	assert.Assert(t, last.Load.Leaving, "the load does not tell entries that the upstream is leaving")
	rest, last := running.read(t, untilEnd)
	assert.Equal(t, text+rest, numberedTokens(0, 200))
	assert.Equal(t, last.Kind, wire.FrameEnd)
	assert.Equal(t, a.describe().State, wire.UpstreamLeaving)
	e.update(func(e *fakeEngine) { e.leaving = false })
	eventually(t, &fakeControl{}, "work for the next incarnation", func() bool { return !a.snapshot.Load().load.Leaving })
	_, last = openStream(t, a, request(5)).read(t, untilEnd)
	assert.Equal(t, last.Kind, wire.FrameEnd)
}

// ownerFunc is an event of a test.
type ownerFunc func(o *owner, now time.Time)

func (f ownerFunc) apply(o *owner, now time.Time) { f(o, now) }

// Guards against a refusal that carries an older load: entries would send the next request to the
// same upstream, since the load does not say that it is leaving.
func TestRefusalsCarryWhyTheQueueIsClosed(t *testing.T) {
	for name, close := range map[string]event{
		"upstream leaves":       signalEvent{adapter.Signal{Leaving: true, LimitInvalid: true}},
		"upstream asks backoff": signalEvent{adapter.Signal{Backoff: time.Minute, LimitInvalid: true}},
		"agent leaves":          drainEvent{leave: true, done: make(chan struct{}, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			a := startAgent(t, engineAdapter(t, newFakeEngine(t).URL, 1), nil)
			running := &task{admissionResult: make(chan admissionResult, 1)}
			refusals := make(chan admissionResult) // the owner waits until each is taken
			a.post(ownerFunc(func(o *owner, now time.Time) {
				for _, waiting := range []*task{running, {admissionResult: refusals}, {admissionResult: refusals}} {
					o.admit(now, waiting, admission.Request{Class: wire.Standard, Organisation: "o", Cost: 1})
				}
			}))
			assert.Assert(t, <-running.admissionResult == nil)
			a.post(close)
			assert.Assert(t, <-refusals != nil)
			load := a.snapshot.Load()
			<-refusals
			assert.Assert(t, load.load.Leaving || time.Now().Before(load.backoffUntil), "the load does not say why")
		})
	}
}

// Guards against requests and health checks to an engine during the backoff that it has
// asked for, and against requests that are delayed or fail with a code that keeps entries
// from sending them elsewhere.
func TestBackoffOfAnEngine(t *testing.T) {
	e := newFakeEngine(t)
	e.backoff = "1.5"
	a := startAgent(t, engineAdapter(t, e.URL, 1), nil)
	eventually(t, &fakeControl{}, "backoff", a.backingOff)
	var begin time.Time
	e.update(func(e *fakeEngine) { begin = e.rejectedAt[0] })
	longest := uint32(0)
	for {
		_, last := openStream(t, a, request(5)).read(t, untilEnd)
		state := a.describe().State
		if time.Since(begin) >= 1500*time.Millisecond {
			break // the backoff may have ended meanwhile
		}
		assert.Equal(t, last.Code, result.QueueFull)
		assert.Equal(t, last.Ran, result.NotRun)
		assert.Assert(t, last.RetryMS <= 1500, "%d", last.RetryMS)
		longest = max(longest, last.RetryMS)
		assert.Equal(t, state, wire.UpstreamDown)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Assert(t, longest > 1000, "entries get a retry delay that is too short: %d ms", longest)
	e.update(func(e *fakeEngine) {
		first := e.rejectedAt[0]
		assert.Assert(t, time.Since(first) >= 1500*time.Millisecond, "%v", time.Since(first))
		for _, at := range e.rejectedAt[1:] {
			// Requests that were in flight with the first one may arrive after it.
			assert.Assert(t, at.Sub(first) < 50*time.Millisecond || at.Sub(first) >= 1500*time.Millisecond, "a request after %v", at.Sub(first))
		}
		e.backoff = ""
	})
	eventually(t, &fakeControl{}, "work after the backoff", func() bool { return a.describe().State != wire.UpstreamDown })
}

// Guards against a request that is reported as run although the engine has refused it.
func TestRequestThatTheEngineTurnsAwayHasNotRun(t *testing.T) {
	e := newFakeEngine(t)
	a := startAgent(t, engineAdapter(t, e.URL, 1), nil)
	e.update(func(e *fakeEngine) { e.backoff = "0.5" })
	_, last := openStream(t, a, request(5)).read(t, untilEnd)
	assert.Equal(t, last.Code, result.QueueFull)
	assert.Equal(t, last.Ran, result.NotRun)
	assert.Assert(t, last.RetryMS > 0 && last.RetryMS <= 500, "%d", last.RetryMS)
}
