package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// newCallFixture is an entry with two agents whose calls run fn.
func newCallFixture(t *testing.T, fn func(n int32, a *wire.CallArgs, r *wire.CallReply) error) (*fixture, *atomic.Int32) {
	var n atomic.Int32
	script := func(a *wire.CallArgs, r *wire.CallReply) error { return fn(n.Add(1), a, r) }
	one, two := newFakeAgent(t, "agent-1", nil), newFakeAgent(t, "agent-2", nil)
	one.call, two.call = script, script
	return newFixture(t, one, two), &n
}

func replyBooked(r *wire.CallReply) error {
	r.Status, r.Body = http.StatusCreated, []byte("booked")
	r.Headers = []wire.Header{{Key: "Content-Type", Value: "text/plain"}, {Key: "Location", Value: "/b/1"}}
	return nil
}

const shortDeadlineMS = "400" // deadline of a call in milliseconds

// Guards the way of a call to the agent and of the service's own status back.
func TestCallForwardsStatusAndHeaders(t *testing.T) {
	var got wire.CallArgs
	f, _ := newCallFixture(t, func(_ int32, a *wire.CallArgs, r *wire.CallReply) error {
		got = *a
		return replyBooked(r)
	})
	r := f.request(http.MethodPost, "/v1/services/orders/a%2Fb/c?x=1", "{}", "Idempotency-Key", "k1", "X-Trace", "7", "Content-Type", "application/json")
	assert.Equal(t, r.status, http.StatusCreated, r.body)
	assert.Equal(t, r.body, "booked")
	assert.Equal(t, r.header.Get("Location"), "/b/1")
	assert.Equal(t, r.header.Get("Content-Type"), "text/plain")
	assert.Equal(t, got.Path, "/a%2Fb/c?x=1")
	assert.Equal(t, got.Key, "acme/k1")
	assert.Assert(t, !got.Idempotent && got.IssuedMS > 0 && got.Attempt.Valid() && got.BodyHash != "")
	for _, h := range got.Headers {
		assert.Assert(t, h.Key != "Authorization", "the key reached the service")
	}
}

// Guards I5 and I4: a call whose answer is lost is sent again only when the
// record proves that it was not run, and "not run" is said on that proof only.
func TestCallWithLostAnswer(t *testing.T) {
	const lostAnswer = "the agent drops the connection"
	for name, c := range map[string]struct {
		abort  func(*wire.AbortArgs) wire.AbortReply
		lookup func(n int32, key string) wire.Record
		status int
		code   int
		ran    string
		sent   int32
	}{
		"fenced: sent again": {
			abort:  func(*wire.AbortArgs) wire.AbortReply { return wire.AbortReply{Aborted: true} },
			status: http.StatusCreated, sent: 2,
		},
		"stored answer": {
			abort: func(a *wire.AbortArgs) wire.AbortReply {
				return wire.AbortReply{Record: wire.Record{State: wire.RecordFinished, Attempt: a.Attempt, Status: http.StatusCreated, Body: []byte("booked")}}
			},
			status: http.StatusCreated, sent: 1,
		},
		"still running, then finished": {
			abort: func(a *wire.AbortArgs) wire.AbortReply {
				return wire.AbortReply{Record: wire.Record{State: wire.RecordStarted, Attempt: a.Attempt}}
			},
			lookup: func(n int32, _ string) wire.Record {
				if n < 2 {
					return wire.Record{State: wire.RecordStarted}
				}
				return wire.Record{State: wire.RecordFinished, Status: http.StatusCreated, Body: []byte("booked")}
			},
			status: http.StatusCreated, sent: 1,
		},
		"fenced, but an earlier request with the key ran": {
			abort: func(*wire.AbortArgs) wire.AbortReply {
				return wire.AbortReply{Aborted: true, Record: wire.Record{State: wire.RecordFinished, Attempt: "other", Status: http.StatusCreated, Body: []byte("booked")}}
			},
			status: http.StatusCreated, sent: 1,
		},
		"still running at the deadline": {
			abort: func(a *wire.AbortArgs) wire.AbortReply {
				return wire.AbortReply{Record: wire.Record{State: wire.RecordStarted, Attempt: a.Attempt}}
			},
			lookup: func(int32, string) wire.Record { return wire.Record{State: wire.RecordStarted} },
			status: http.StatusInternalServerError, code: int(result.OutcomeUnknown), ran: "unknown", sent: 1,
		},
		"records out of reach": {status: http.StatusInternalServerError, code: int(result.OutcomeUnknown), ran: "unknown", sent: 1},
	} {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			f, n := newCallFixture(t, func(n int32, _ *wire.CallArgs, r *wire.CallReply) error {
				if n == 1 {
					// Only the agent with the call: a repeat that meets a second broken
					// connection is answered as not run, which is another case.
					for _, a := range f.agents {
						if a.receivedCall() {
							a.closeConnections()
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				return replyBooked(r)
			})
			f.control.abort = c.abort
			var lookups atomic.Int32
			f.control.lookup = func(a *wire.LookupArgs) wire.LookupReply {
				return wire.LookupReply{Record: c.lookup(lookups.Add(1), a.Key)}
			}
			r := f.request(http.MethodPost, "/v1/services/orders/book", lostAnswer, "X-Heatherway-Deadline-Ms", shortDeadlineMS)
			assert.Equal(t, r.status, c.status, r.body)
			assert.Equal(t, n.Load(), c.sent)
			if c.code != 0 {
				p := decodeProblem(t, r.body)
				assert.Equal(t, p.Code, c.code)
				assert.Equal(t, p.Ran, c.ran)
			}
		})
	}
}

// Guards a late answer: before the deadline the record decides, and the caller
// gets an answer at the deadline at the latest.
func TestCallWithLateAnswer(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	f, n := newCallFixture(t, func(int32, *wire.CallArgs, *wire.CallReply) error {
		<-release
		return nil
	})
	f.control.abort = func(*wire.AbortArgs) wire.AbortReply {
		return wire.AbortReply{Record: wire.Record{State: wire.RecordStarted}}
	}
	f.control.lookup = func(*wire.LookupArgs) wire.LookupReply {
		return wire.LookupReply{Record: wire.Record{State: wire.RecordStarted}}
	}
	begun := time.Now()
	r := f.request(http.MethodPost, "/v1/services/orders/book", "", "X-Heatherway-Deadline-Ms", shortDeadlineMS, "Idempotency-Key", "k")
	took := time.Since(begun)
	assert.Assert(t, took > 350*time.Millisecond && took < 700*time.Millisecond, "%v", took)
	p := decodeProblem(t, r.body)
	assert.Equal(t, p.Code, int(result.OutcomeUnknown))
	assert.Assert(t, p.RetryAfterMS > 0, "a call with a key may be asked for again")
	assert.Equal(t, n.Load(), int32(1))
}

// Guards I4 at the other end: a refusal before the call started is told as not
// run after the other agents were tried.
func TestRefusedCallIsRetriedOnOtherAgent(t *testing.T) {
	f, n := newCallFixture(t, func(n int32, _ *wire.CallArgs, r *wire.CallReply) error {
		if n == 1 {
			return result.New(result.Leaving, "leaving")
		}
		return replyBooked(r)
	})
	r := f.request(http.MethodPost, "/v1/services/orders/book", "")
	assert.Equal(t, r.status, http.StatusCreated, r.body)
	assert.Equal(t, n.Load(), int32(2))

	f, n = newCallFixture(t, func(int32, *wire.CallArgs, *wire.CallReply) error {
		return result.New(result.RecordsUnavailable, "no leader")
	})
	r = f.request(http.MethodPost, "/v1/services/orders/book", "")
	p := decodeProblem(t, r.body)
	assert.Equal(t, p.Code, int(result.RecordsUnavailable))
	assert.Equal(t, p.Ran, "not_run")
	assert.Equal(t, n.Load(), int32(1))
}

// Guards I4 across requests with one key: a refusal is not told as "not run"
// while an earlier request may have run, and a stored answer replaces it.
func TestRefusedCallAfterEarlierRun(t *testing.T) {
	f, _ := newCallFixture(t, func(int32, *wire.CallArgs, *wire.CallReply) error {
		return result.New(result.QueueFull, "full")
	})
	var record wire.Record
	f.control.lookup = func(*wire.LookupArgs) wire.LookupReply { return wire.LookupReply{Record: record} }
	call := func() reply {
		return f.request(http.MethodPost, "/v1/services/orders/book", "", "Idempotency-Key", "k")
	}
	assert.Equal(t, decodeProblem(t, call().body).Ran, "not_run")
	record = wire.Record{State: wire.RecordStarted}
	assert.Equal(t, decodeProblem(t, call().body).Ran, "unknown")
	record = wire.Record{State: wire.RecordFinished, Status: http.StatusCreated, Body: []byte("booked")}
	r := call()
	assert.Equal(t, r.status, http.StatusCreated)
	assert.Equal(t, r.header.Get("X-Heatherway-Replayed"), "true")
}

// Guards against a repeat of a call that ran and failed.
func TestFailedCallIsNotRepeated(t *testing.T) {
	f, n := newCallFixture(t, func(int32, *wire.CallArgs, *wire.CallReply) error {
		return result.New(result.UpstreamFailed, "crashed")
	})
	r := f.request(http.MethodPost, "/v1/services/orders/book", "")
	assert.Equal(t, decodeProblem(t, r.body).Ran, "ran")
	assert.Equal(t, n.Load(), int32(1))
}

// Guards lookups: they are repeated after a failure, and hedged once one takes
// longer than the p95 of the recent ones.
func TestIdempotentCallIsRetriedAndHedged(t *testing.T) {
	var mu sync.Mutex
	slowCalls := map[string]int{} // calls of the slow lookups, by path
	release := make(chan struct{})
	f, n := newCallFixture(t, func(n int32, a *wire.CallArgs, r *wire.CallReply) error {
		if n == 1 {
			return result.New(result.UpstreamFailed, "crashed")
		}
		if strings.Contains(a.Path, "slow") {
			mu.Lock()
			slowCalls[a.Path]++
			first := slowCalls[a.Path] == 1
			mu.Unlock()
			if first {
				<-release // the first call is not answered before its hedge is
			}
		}
		return replyBooked(r)
	})
	defer close(release)
	r := f.request(http.MethodGet, "/v1/services/orders/stock", "")
	assert.Equal(t, r.status, http.StatusCreated, r.body)
	assert.Equal(t, n.Load(), int32(2))
	// On a busy machine the quick lookups are hedged too and may use up the budget, which
	// the next ones fill again.
	for round := range 5 {
		for range 40 {
			f.request(http.MethodGet, "/v1/services/orders/stock", "")
		}
		path := fmt.Sprint("stock?slow=", round)
		r = f.request(http.MethodGet, "/v1/services/orders/"+path, "")
		mu.Lock()
		calls := slowCalls["/"+path] + slowCalls[path]
		mu.Unlock()
		if r.status == http.StatusCreated {
			assert.Equal(t, calls, 2)
			return
		}
		assert.Equal(t, calls, 1)
	}
	t.Fatalf("no slow lookup was hedged: %s", r.body)
}
