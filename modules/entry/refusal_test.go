package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/retry"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// startRefusalFixture starts an entry with an agent that it prefers, which runs refuse for each
// request, and with one that serves all. The preferred one is in the entry's zone and has so many
// slots that its estimated load stays below that of the other one.
func startRefusalFixture(t *testing.T, refuse func() *result.Error) *fixture {
	refusing := newFakeAgent(t, "agent-1", func(w *frameWriter, _ *wire.GenerateRequest) {
		err := refuse()
		w.sendFrame(wire.Frame{Kind: wire.FrameFail, Code: err.Code, RetryMS: 1000})
	})
	refusing.call = func(*wire.CallArgs, *wire.CallReply) error { return refuse() }
	serving := newFakeAgent(t, "agent-2", generateTokens(1))
	serving.call = func(_ *wire.CallArgs, r *wire.CallReply) error { return replyBooked(r) }
	f := newFixture(t, refusing, serving)
	f.control.update(func() {
		f.control.upstreams[0].Slots = 10_000
		f.control.upstreams[1].Zone = "b"
	})
	f.waitUntil(func() bool { return f.module.owner.current().upstreams["agent-2"].Zone == "b" })
	return f
}

// refusalTargets are the requests of which the tests send many: their paths, bodies and the status of
// success.
var refusalTargets = map[string]struct {
	path, body string
	success    int
}{
	"generation": {"/v1/completions", streamingBody, http.StatusOK},
	"call":       {"/v1/services/orders/book", "{}", http.StatusCreated},
}

// Guards against refusals while another upstream has room: an upstream that asks for backoff or leaves
// refuses all requests that are on their way to it at once, and they used up the retry budget.
func TestRequestsOnTheirWayToARefusingUpstreamAreServed(t *testing.T) {
	const requests = 24 // the budget allows five retries for them
	for name, target := range refusalTargets {
		for _, code := range []result.Code{result.QueueFull, result.Leaving} {
			t.Run(fmt.Sprint(name, " ", code), func(t *testing.T) {
				var allSent sync.WaitGroup
				allSent.Add(requests)
				f := startRefusalFixture(t, func() *result.Error {
					allSent.Done()
					allSent.Wait()
					return result.New(code, "the upstream wants no requests now")
				})
				replies := make(chan reply, requests)
				for range requests {
					go func() { replies <- f.request(http.MethodPost, target.path, target.body) }()
				}
				refused, last := 0, ""
				for range requests {
					if r := <-replies; r.status != target.success {
						refused, last = refused+1, fmt.Sprint(r.status, " ", r.body)
					}
				}
				assert.Equal(t, refused, 0, "of %d requests; the last one: %s", requests, last)
			})
		}
	}
}

// Guards against retries beyond the budget when an upstream keeps refusing: only the attempts that were
// sent before its first refusal arrived are exempt.
func TestRetriesAfterTheFirstRefusalUseTheBudget(t *testing.T) {
	const requests = 30
	const exempt = 1 // the request that gets the first refusal
	for name, target := range refusalTargets {
		t.Run(name, func(t *testing.T) {
			f := startRefusalFixture(t, func() *result.Error { return result.New(result.QueueFull, "full") })
			begun, served := time.Now(), 0
			for range requests {
				r := f.request(http.MethodPost, target.path, target.body)
				if r.status == target.success {
					served++
					continue
				}
				assert.Equal(t, r.status, http.StatusTooManyRequests, r.body)
			}
			assert.Assert(t, time.Since(begun) < retry.DefaultWindow/2, "too slow to judge the budget of one window")
			allowed := retry.DefaultReserve + int(retry.DefaultShare*requests) + exempt
			assert.Assert(t, served > exempt && served <= allowed, "%d of %d served, want at most %d", served, requests, allowed)
		})
	}
}
