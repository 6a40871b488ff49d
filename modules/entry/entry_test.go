package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"heatherway.dev/core/config"
	"heatherway.dev/core/member"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// Guards I7: a stop fails the readiness check first and cuts no stream.
func TestStopFinishesStreams(t *testing.T) {
	f := newFleet(t, newFakeAgent(t, "agent-1", func(w *frameWriter, _ *wire.GenerateRequest) {
		w.tokens(0, 3)
		time.Sleep(400 * time.Millisecond)
		w.tokens(3, 6)
		w.end(6)
	}))
	f.m.Grace = 200 * time.Millisecond
	got := make(chan reply)
	go func() { got <- f.do(http.MethodPost, "/v1/completions", streamBody) }()
	f.eventually(func() bool { return f.m.open.Load() == 1 })
	go f.stop()
	f.eventually(f.m.leaving.Load)
	ready := f.do(http.MethodGet, "/readyz", "")
	assert.Equal(t, ready.status, http.StatusServiceUnavailable)
	assert.Equal(t, problemOf(t, ready.body).Code, int(result.Leaving))
	assert.Equal(t, f.do(http.MethodGet, "/healthz", "").status, http.StatusNoContent)
	r := <-got
	assert.Equal(t, textOf(t, r.body), wantText(0, 6))
	assert.Assert(t, strings.HasSuffix(r.body, "data: [DONE]\n\n"))
}

// Guards against a caller that reads nothing and holds a stream for ever.
func TestSlowReaderIsCutOff(t *testing.T) {
	f := newFleet(t, newFakeAgent(t, "agent-1", func(w *frameWriter, _ *wire.GenerateRequest) {
		text := strings.Repeat("x", 8<<10)
		for i := uint64(0); w.ctx.Err() == nil; i++ {
			w.send(wire.Frame{Kind: wire.FrameToken, Offset: i, Tokens: 1, Text: text})
		}
	}))
	f.m.Limits.WriteTime = 100 * time.Millisecond
	conn, err := net.Dial("tcp", f.m.public.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(streamBody), streamBody)
	_, err = bufio.NewReaderSize(conn, 16).ReadString('\n')
	assert.NilError(t, err)
	f.eventually(func() bool { return f.m.metrics.slowReaders.Value() > 0 && f.m.open.Load() == 0 })
}

// Guards I8 at the entry: a lower revision is never taken, and an entry that
// knows of a newer one that it cannot fetch takes no new work.
func TestConfigurationNeverReverts(t *testing.T) {
	f := newFleet(t, newFakeAgent(t, "agent-1", answering(1)))
	assert.Assert(t, f.control.freshSeen, "the first watch was not a quorum read")
	f.control.update(func() { f.control.doc.Revision = 2; f.control.doc.Organisations = nil })
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, f.m.owner.current().revision(), uint64(3))
	f.control.update(func() { f.control.doc = config.Document{Revision: 4} })
	f.eventually(func() bool { return f.m.owner.current().revision() == 4 })
	r := f.do(http.MethodPost, "/v1/completions", streamBody)
	assert.Equal(t, problemOf(t, r.body).Code, int(result.KeyUnknown))
}

// Guards the rule for an entry that is known to be behind.
func TestBehindEntryTakesNoWork(t *testing.T) {
	f := newFleet(t, newFakeAgent(t, "agent-1", answering(1)))
	f.stop() // the owner's state belongs to the test from here
	o, now := f.m.owner, time.Now()
	o.seen(9)
	o.checkBehind(now)
	assert.Assert(t, !o.current().behind)
	o.checkBehind(now.Add(behindLimit))
	s := &state{requestID: "r", organisation: "acme", snap: o.current(), begun: now}
	_, err := newRequest(s, callerHeaders{}, config.Scope{}, "request.deadline")
	assert.Equal(t, err.Code, result.ConfigurationBehind)
	taken := make(chan versions, 1)
	news{&wire.WatchReply{Revision: 9, Config: []byte(`{"revision":9}`)}, taken}.apply(o, now)
	assert.Assert(t, !o.current().behind)
}

// Guards the watch by differences: one that fits is taken, and one that does
// not makes the watch ask for the whole.
func TestWatchTakesDifferences(t *testing.T) {
	a := newFakeAgent(t, "agent-1", answering(1))
	f := newFleet(t, a)
	f.stop() // the owner's state belongs to the test from here
	o := f.m.owner
	take := func(r wire.WatchReply) versions {
		taken := make(chan versions, 1)
		news{&r, taken}.apply(o, time.Now())
		return <-taken
	}
	step := func(from, to uint64) []byte {
		b, err := json.Marshal(config.Delta{From: from, To: to, Edits: []config.Edit{{Kind: config.SetDefault, Name: "retry.attempts", Value: "7"}}})
		assert.NilError(t, err)
		return b
	}
	assert.Equal(t, take(wire.WatchReply{Revision: 9, Step: step(8, 9)}).revision, uint64(0))
	assert.Equal(t, o.current().revision(), uint64(3))
	assert.Equal(t, take(wire.WatchReply{Revision: 4, Step: step(3, 4)}).revision, uint64(4))
	assert.Equal(t, o.current().doc.Int("retry.attempts", config.Scope{}, time.Now()), int64(7))

	second := a.upstream()
	second.ID = "agent-2"
	both := member.Version([]wire.Upstream{a.upstream(), second})
	delta := wire.WatchReply{MembersChanged: true, MembersDelta: true, Members: both, Upstreams: []wire.Upstream{second}}
	assert.Equal(t, take(delta).members, both)
	assert.Equal(t, len(o.current().upstreams), 2)
	delta.Members = 1
	assert.Equal(t, take(delta).members, uint64(0))
}

// Guards upstreams against requests that crash them: quarantined ones are
// refused at once, suspects run with a permit only.
func TestSuspects(t *testing.T) {
	a := newFakeAgent(t, "agent-1", answering(2))
	f := newFleet(t, a)
	r := f.do(http.MethodPost, "/v1/completions", streamBody)
	assert.Equal(t, r.status, http.StatusOK)
	print := a.seen()[0].Fingerprint
	set := func(s wire.Suspect) {
		f.control.update(func() { f.control.suspects = []wire.Suspect{s} })
		f.eventually(func() bool {
			return f.m.owner.current().suspects[print].quarantined == s.Quarantined && f.m.suspected(&request{fingerprint: print})
		})
	}
	set(wire.Suspect{Fingerprint: print, Crashes: 1})
	r = f.do(http.MethodPost, "/v1/completions", streamBody)
	assert.Equal(t, r.status, http.StatusOK, r.body)
	assert.Equal(t, a.seen()[1].Permit, wire.ID("permit-1"))
	f.eventually(func() bool {
		f.control.mu.Lock()
		defer f.control.mu.Unlock()
		passed, finished := 0, 0
		for _, p := range f.control.permits[1:] {
			assert.Assert(t, p.Done && p.Permit == f.control.permits[1].Permit)
			if p.Finished {
				finished++
			} else if p.Passed {
				passed++
			}
		}
		return passed == 1 && finished == 1 && len(f.control.permits) == 3 // in either order
	})
	set(wire.Suspect{Fingerprint: print, Crashes: 2, Quarantined: true, LeftMS: 60000})
	r = f.do(http.MethodPost, "/v1/completions", streamBody)
	p := problemOf(t, r.body)
	assert.Equal(t, p.Code, int(result.Quarantined))
	assert.Equal(t, p.Ran, "ran")
	assert.Equal(t, len(a.seen()), 2)
}

// Guards against suspects that an entry forgets when control sends only the
// changes of the list, and against a configuration that goes back.
func TestFollowsChanges(t *testing.T) {
	f := newFleet(t)
	take := func(r wire.WatchReply) {
		taken := make(chan versions, 1)
		f.m.owner.send(news{&r, taken})
		<-taken
	}
	f.control.update(func() { f.control.watchErr = errors.New("the test sends the news") })
	time.Sleep(100 * time.Millisecond) // for the watch under way
	known := func() string { return strings.Join(slices.Sorted(maps.Keys(f.m.owner.current().suspects)), "") }
	take(wire.WatchReply{SuspectsChanged: true, Suspects: 1000, Suspect: []wire.Suspect{{Fingerprint: "a"}, {Fingerprint: "b"}}})
	take(wire.WatchReply{SuspectsChanged: true, SuspectsDelta: true, Suspects: 1001, Cleared: []string{"a"}, Suspect: []wire.Suspect{{Fingerprint: "c"}}})
	assert.Equal(t, known(), "bc")
	revision := f.m.owner.current().revision()
	b, err := json.Marshal(config.Document{Revision: revision - 1})
	assert.NilError(t, err)
	take(wire.WatchReply{Revision: revision + 5, Config: b})
	assert.Equal(t, f.m.owner.current().revision(), revision)
}

// Guards the fleet against a request that kills one agent after the other: the
// end of the agent is reported, and the resume needs a permit.
func TestCrashIsReportedBeforeTheResume(t *testing.T) {
	var f *fleet
	a, b := twoAgents(t, func(w *frameWriter, _ *wire.GenerateRequest) {
		w.tokens(0, 2)
		for _, ag := range f.agents {
			if len(ag.seen()) > 0 {
				ag.server.Listener.Close()
			}
		}
		w.reset()
	}, answering(4))
	f = newFleet(t, a, b)
	r := f.do(http.MethodPost, "/v1/completions", streamBody)
	assert.Equal(t, textOf(t, r.body), wantText(0, 4))
	f.control.mu.Lock()
	defer f.control.mu.Unlock()
	assert.Equal(t, len(f.control.crashes), 1)
	assert.Equal(t, f.control.crashes[0].CrashNumber, uint64(wire.AgentCrashNumber))
	assert.Equal(t, f.control.permits[0].Fingerprint, f.control.crashes[0].Fingerprints[0])
}

// Guards against work for a caller that has gone: it is cancelled unless the
// caller can come back for it.
func TestCallerGone(t *testing.T) {
	a := newFakeAgent(t, "agent-1", func(w *frameWriter, _ *wire.GenerateRequest) {
		w.send(wire.Frame{Kind: wire.FrameStarted})
		for w.ctx.Err() == nil {
			w.send(wire.Frame{Kind: wire.FrameHeartbeat})
			time.Sleep(10 * time.Millisecond)
		}
	})
	f := newFleet(t, a)
	leave := func(key string) {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/v1/completions", strings.NewReader(streamBody))
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set("Idempotency-Key", key)
		_, err = http.DefaultClient.Do(req)
		assert.Assert(t, err != nil)
		f.eventually(func() bool { return f.m.open.Load() == 0 })
	}
	cancels := func() int {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.cancels)
	}
	leave("k")
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, cancels(), 0)
	leave("")
	f.eventually(func() bool { return cancels() == 1 })
}

// Guards the operators' view of an entry.
func TestStatusAndDrain(t *testing.T) {
	f := newFleet(t, newFakeAgent(t, "agent-1", answering(2)))
	f.do(http.MethodPost, "/v1/completions", streamBody)
	c := plainSecurity(t).NewClient(f.m.internal.Addr().String())
	t.Cleanup(c.Close)
	ctx := context.Background()
	var s wire.EntryStatusReply
	assert.NilError(t, c.Call(ctx, "Entry.Status", &wire.EntryStatusArgs{}, &s))
	assert.Assert(t, s.Ready && s.Revision == 3 && len(s.Upstreams) == 1 && s.Upstreams[0].Breaker == "closed", "%+v", s)
	assert.NilError(t, c.Call(ctx, "Entry.Drain", &wire.DrainArgs{Reason: "test"}, &wire.DrainReply{}))
	assert.Equal(t, f.do(http.MethodGet, "/readyz", "").status, http.StatusServiceUnavailable)
	assert.NilError(t, c.Call(ctx, "Entry.Drain", &wire.DrainArgs{Undo: true}, &wire.DrainReply{}))
	assert.Equal(t, f.do(http.MethodGet, "/readyz", "").status, http.StatusNoContent)
	var r wire.EntryReportReply
	assert.NilError(t, c.Call(ctx, "Entry.Report", &wire.EntryReportArgs{}, &r))
	assert.Assert(t, strings.Contains(string(r.Report), `"organisation":"acme"`), string(r.Report))
}

// Guards against a running answer that ends since another request with the same
// body holds the permit: two honest callers may send equal bodies.
func TestBusyPermitDoesNotEndARunningAnswer(t *testing.T) {
	var f *fleet
	a, b := twoAgents(t, func(w *frameWriter, _ *wire.GenerateRequest) {
		w.tokens(0, 2)
		for _, ag := range f.agents {
			if len(ag.seen()) > 0 {
				ag.server.Listener.Close()
			}
		}
		w.reset()
	}, answering(4))
	f = newFleet(t, a, b)
	f.control.update(func() {
		f.control.permitErr = peer.EncodeError(result.New(result.SuspectBusy, "the request runs elsewhere").After(50 * time.Second))
	})
	r := f.do(http.MethodPost, "/v1/completions", streamBody)
	assert.Equal(t, textOf(t, r.body), wantText(0, 4))
	assert.Assert(t, strings.HasSuffix(r.body, "data: [DONE]\n\n"))
}
