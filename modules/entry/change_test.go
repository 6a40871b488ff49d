package entry

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

var (
	changeTime = flag.Duration("change.time", 1500*time.Millisecond, "how long TestChangesUnderKeptConnections runs")
	changeSeed = flag.Uint64("change.seed", 1, "seed of TestChangesUnderKeptConnections")
)

// Guards against requests without a whole answer on kept connections while the configuration and
// the upstreams change, agents refuse, fail and break off, and the entry stops: streams, whole
// generations, calls at most once and lookups.
func TestChangesUnderKeptConnections(t *testing.T) {
	var count atomic.Int64
	generate := func(w *frameWriter, _ *wire.GenerateRequest) {
		n := count.Add(1)
		for i := range 4 {
			time.Sleep(2 * time.Millisecond)
			if n%20 == 0 && i == int(n/20%4) {
				w.abortConnection()
			}
			w.sendTokens(i, i+1)
		}
		w.sendEnd(4)
	}
	call := func(_ *wire.CallArgs, r *wire.CallReply) error {
		switch count.Add(1) % 9 {
		case 0:
			return result.New(result.NoUpstream, "full")
		case 1:
			time.Sleep(60 * time.Millisecond)
		}
		r.Status, r.Body = http.StatusOK, []byte("answer")
		return nil
	}
	var agents []*fakeAgent
	for i := range 3 {
		a := newFakeAgent(t, fmt.Sprint("agent-", i), generate)
		a.call = call
		agents = append(agents, a)
	}
	f := newFixture(t, agents...)
	f.module.Grace = 300 * time.Millisecond
	end := time.Now().Add(*changeTime)
	statuses := sync.Map{}
	var wg sync.WaitGroup
	var stopped atomic.Bool
	for i := range 20 {
		rng := rand.New(rand.NewPCG(*changeSeed, uint64(i)))
		wg.Go(func() {
			var c *rawCaller
			for time.Now().Before(end) {
				if c == nil {
					if stopped.Load() {
						return
					}
					c = f.dial(t)
				}
				request := []string{
					callerHead("GET", fastCall, "HTTP/1.1") + "\r\n",
					withBody(callerHead("POST", fastCall, "HTTP/1.1"), "body"),
					withBody(callerHead("POST", "/v1/completions", "HTTP/1.1"), streamingBody),
					withBody(callerHead("POST", "/v1/chat/completions", "HTTP/1.1"), `{"model":"letters","messages":[{"role":"user","content":"hello"}]}`),
					withBody(callerHead("POST", fastCall, "HTTP/1.1"), strings.Repeat("x", 2000)),
				}[rng.IntN(5)]
				cut := rng.IntN(len(request))
				for _, piece := range []string{request[:cut], request[cut:]} {
					if _, err := io.WriteString(c.conn, piece); err != nil {
						t.Errorf("%.60q: %v", request, err)
						return
					}
					time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
				}
				_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
				res, err := http.ReadResponse(c.reader, nil)
				if err != nil {
					t.Errorf("%.60q: %v", request, err)
					return
				}
				b, err := io.ReadAll(res.Body)
				if err != nil {
					t.Errorf("%.60q: %v after %q", request, err, b)
					return
				}
				if stream := strings.HasPrefix(string(b), "id: "); stream && !strings.Contains(string(b), "[DONE]") && !strings.Contains(string(b), `"error"`) {
					t.Errorf("stream ends without its end: %q", b)
				}
				if strings.Contains(string(b), `"code":4990`) || strings.Contains(string(b), `"code":5000`) {
					t.Errorf("%.60q: answered as if its caller had gone, or by an unexpected failure: %s", request, b)
				}
				n, _ := statuses.LoadOrStore(res.StatusCode, new(atomic.Int64))
				n.(*atomic.Int64).Add(1)
				if res.Close {
					_ = c.conn.Close()
					c = nil
				}
			}
			if c != nil {
				_ = c.conn.Close()
			}
		})
	}
	rng := rand.New(rand.NewPCG(*changeSeed, 1000))
	for time.Now().Before(end.Add(-800 * time.Millisecond)) {
		f.control.update(func() {
			f.control.doc.Revision++
			f.control.doc.Defaults = map[string]string{
				"request.body_limit": []string{"4096", "1024"}[rng.IntN(2)],
				"service.timeout":    []string{"5s", "20ms"}[rng.IntN(2)],
				"request.deadline":   []string{"10m", "1s"}[rng.IntN(2)],
				"retry.attempts":     []string{"1", "3"}[rng.IntN(2)],
			}
			f.control.doc.Organisations = map[string]config.Organisation{"acme": {KeyHashes: []string{keyHash(testAPIKey)}}}
			if rng.IntN(5) == 0 {
				f.control.doc.Organisations = map[string]config.Organisation{}
			}
			f.control.upstreams = nil
			for _, a := range agents {
				if rng.IntN(4) > 0 {
					f.control.upstreams = append(f.control.upstreams, a.upstream())
				}
			}
		})
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
	f.control.update(func() { // a generation that has begun waits for an upstream to go on at
		f.control.doc.Revision++
		f.control.doc.Organisations = map[string]config.Organisation{"acme": {KeyHashes: []string{keyHash(testAPIKey)}}}
		f.control.upstreams = nil
		for _, a := range agents {
			f.control.upstreams = append(f.control.upstreams, a.upstream())
		}
	})
	stopped.Store(true)
	time.Sleep(20 * time.Millisecond)                                // callers that are connecting
	ctx, cancel := context.WithTimeout(t.Context(), 3*resumeTimeout) // generations may wait for the resume budget
	defer cancel()
	assert.NilError(t, f.module.Stop(ctx))
	wg.Wait()
	total, list := int64(0), []string{}
	statuses.Range(func(status, n any) bool {
		total += n.(*atomic.Int64).Load()
		list = append(list, fmt.Sprint(status, ": ", n.(*atomic.Int64).Load()))
		return true
	})
	t.Logf("%d requests answered, %v", total, list)
	assert.Assert(t, total > 100)
}
