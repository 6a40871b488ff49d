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

// newCallFixture starts an entry with two agents that answer calls by fn. n is
// the number of the call.
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

// Guards against a call that reaches the agent altered or with the caller's key,
// and against an answer without the service's own status and headers.
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
		assert.Assert(t, h.Key != "Authorization", "the caller's key was sent to the service")
	}
}

// Guards I5 and I4: a call whose answer is lost is sent again only if the record
// proves that it was not run, and is reported as not run only on that proof.
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
		"records unavailable": {status: http.StatusInternalServerError, code: int(result.OutcomeUnknown), ran: "unknown", sent: 1},
	} {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			f, n := newCallFixture(t, func(n int32, _ *wire.CallArgs, r *wire.CallReply) error {
				if n == 1 {
					// Closes the connections of the agent with the call only: a retry
					// that finds a second connection broken is reported as not run,
					// which is another case.
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

// Guards against a call with a late answer that is not resolved by its record
// before the deadline, and against an error that arrives after the deadline.
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
	assert.Assert(t, p.RetryAfterMS > 0, "a call with an Idempotency-Key may be repeated")
	assert.Equal(t, n.Load(), int32(1))
}

// Guards I4 for refused calls: a call that an agent refused before it started is
// retried on another agent, and a refusal without a retry is reported as not
// run.
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

// Guards I4 across requests with the same key: a refusal is not reported as not
// run if an earlier request may have run, and a stored answer replaces it.
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

// Guards against a retry of a call that is not idempotent and ran before it
// failed.
func TestFailedCallIsNotRepeated(t *testing.T) {
	f, n := newCallFixture(t, func(int32, *wire.CallArgs, *wire.CallReply) error {
		return result.New(result.UpstreamFailed, "crashed")
	})
	r := f.request(http.MethodPost, "/v1/services/orders/book", "")
	assert.Equal(t, decodeProblem(t, r.body).Ran, "ran")
	assert.Equal(t, n.Load(), int32(1))
}

// Guards against idempotent calls that are not retried after a failure, or not
// hedged when they take longer than the p95 latency of the recent ones.
func TestIdempotentCallIsRetriedAndHedged(t *testing.T) {
	var mu sync.Mutex
	slowCalls := map[string]int{} // attempts of the slow calls, by path
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
				<-release // the first attempt is not answered before its hedge
			}
		}
		return replyBooked(r)
	})
	defer close(release)
	r := f.request(http.MethodGet, "/v1/services/orders/stock", "")
	assert.Equal(t, r.status, http.StatusCreated, r.body)
	assert.Equal(t, n.Load(), int32(2))
	// On a busy machine the fast calls are hedged too and may use up the retry
	// budget, which the next ones fill again.
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
	t.Fatalf("no slow call was hedged: %s", r.body)
}

// Guards against an idempotent call that is reported as not run because its hedge or its
// first attempt was refused last, although the other one ran.
func TestRefusalBesideAHedgeThatRan(t *testing.T) {
	for _, firstRuns := range []bool{true, false} {
		t.Run(fmt.Sprint("the first attempt runs: ", firstRuns), func(t *testing.T) {
			var mu sync.Mutex
			attempts := map[string]int{}
			f, _ := newCallFixture(t, func(_ int32, a *wire.CallArgs, r *wire.CallReply) error {
				if !strings.Contains(a.Path, "slow") {
					return replyBooked(r)
				}
				mu.Lock()
				attempts[a.Path]++
				n := attempts[a.Path]
				mu.Unlock()
				time.Sleep(200 * time.Millisecond) // the hedge starts meanwhile
				if n == 1 && firstRuns || n == 2 && !firstRuns {
					return result.New(result.UpstreamFailed, "ran and crashed")
				}
				time.Sleep(300 * time.Millisecond) // refused last
				return result.New(result.QueueFull, "full")
			})
			for round := range 5 {
				for range 40 {
					f.request(http.MethodGet, "/v1/services/orders/stock", "")
				}
				path := fmt.Sprint("/stock?slow=", round)
				r := f.request(http.MethodGet, "/v1/services/orders"+path, "")
				mu.Lock()
				hedged := attempts[path] >= 2
				mu.Unlock()
				if !hedged {
					continue // the fast calls have used up the retry budget
				}
				assert.Assert(t, r.status >= 400, r.body)
				assert.Assert(t, decodeProblem(t, r.body).Ran != "not_run", r.body)
				return
			}
			t.Fatal("no slow call was hedged")
		})
	}
}
