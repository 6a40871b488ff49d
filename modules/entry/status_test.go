package entry

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

var notFinalStatuses = []int{-1, 0, 20, 99, 100, 101, 199, 600, 999, 1000}

// Guards against an agent's answer whose status is not a final one: it reached the caller with
// the status 200, and a call that may run once must not be repeated after it.
func TestCallWithMalformedStatus(t *testing.T) {
	for _, status := range notFinalStatuses {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(fmt.Sprint(status, method), func(t *testing.T) {
				f, n := newCallFixture(t, func(_ int32, _ *wire.CallArgs, r *wire.CallReply) error {
					r.Status, r.Body = status, []byte("answer")
					return nil
				})
				r := f.request(method, "/v1/services/orders/x", "")
				assert.Equal(t, r.status, http.StatusBadGateway, r.body)
				assert.Equal(t, decodeProblem(t, r.body).Ran, "unknown")
				assert.Assert(t, method == http.MethodGet || n.Load() == 1, "sent %d times", n.Load())
			})
		}
	}
}

// Guards against a stored answer whose status is not a final one, which a release without the
// check may have stored: it is no answer, and its call is not reported as not run.
func TestStoredAnswerWithMalformedStatus(t *testing.T) {
	for _, status := range notFinalStatuses {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			var refuse atomic.Bool
			f, _ := newCallFixture(t, func(_ int32, _ *wire.CallArgs, r *wire.CallReply) error {
				if refuse.Load() {
					return result.New(result.QueueFull, "full").WithRan(result.NotRun)
				}
				r.Status, r.Body, r.Replayed = status, []byte("answer"), true
				return nil
			})
			f.control.lookup = func(a *wire.LookupArgs) wire.LookupReply {
				return wire.LookupReply{Record: wire.Record{State: wire.RecordFinished, Status: status, Body: []byte("answer")}}
			}
			for _, refused := range []bool{false, true} {
				refuse.Store(refused)
				r := f.request(http.MethodPost, "/v1/services/orders/x", "", "Idempotency-Key", "k1", "X-Heatherway-Deadline-Ms", shortDeadlineMS)
				assert.Equal(t, r.status, http.StatusBadGateway, r.body)
				assert.Equal(t, decodeProblem(t, r.body).Ran, "unknown")
			}
		})
	}
}
