package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/kernel/buffers"
	"heatherway.dev/kernel/heaptest"
)

// Guards against a stop that waits for responses without end beyond the grace period, or
// loses other requests over them.
func TestStopBesideUnboundedResponses(t *testing.T) {
	const endless = 24
	for name, c := range map[string]struct{ first, repeated string }{
		"head":        {"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nX-Slow: ", "x"},
		"body":        {sealedHeader + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
		"stray":       {"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
		"information": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"filler":      {sealedHeader + "Content-Type: text/event-stream\r\n\r\nid: 0\ndata: x\n\n", ": filler\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			conf := configuration()
			for i := range conf.Routes {
				conf.Routes[i].Timeout, conf.Routes[i].MaxEventGap, conf.Routes[i].MaxAttempts = 10*time.Second, 10*time.Second, 1
			}
			faulty, sent := startUnboundedUpstream(t, "model", c.first, c.repeated)
			sound := startUpstream(t, "sound", "desk", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) {
				time.Sleep(600 * time.Millisecond)
				_, _ = w.Write([]byte("ok"))
			})
			f := newFixture(t, conf, faulty, sound)
			f.buffers = buffers.New(2 << 20)
			f.Grace, f.DrainDelay = 2*time.Second, 50*time.Millisecond
			heaptest.FailOnGrowth(t, 48<<20)
			streams, plain := make(chan callerResponse, endless), make(chan callerResponse, endless)
			for range endless {
				takeUp := f.request("POST", "/letters/x", "x", "Token-Count", "8000,800", "Last-Event-Id", "3")
				go func() { streams <- f.do(takeUp) }()
				order := f.request("POST", "/book/x", "x")
				go func() { plain <- f.do(order) }()
			}
			eventually(t, "every request has reached the gateway, and the orders their upstream", func() bool {
				return int(f.openRequests.Load())+len(streams)+len(plain) == 2*endless && len(sound.requests()) == endless && sent.Load() > 0
			})
			begin := time.Now()
			assert.NilError(t, f.Stop(t.Context()))
			assert.Assert(t, time.Since(begin) < f.Grace, "%v", time.Since(begin))
			for range endless {
				res := <-plain
				assert.Assert(t, res.err == nil && (res.status == 200 || res.status == 503), "status %d: %s %v", res.status, res.body, res.err)
			}
			for range endless {
				res := <-streams
				assert.Assert(t, res.status != 0, "a stream got no answer: %v", res.err)
			}
			assert.Assert(t, sent.Load() > 0 && sent.Load() < endless*unboundedBytes, "%d bytes were read", sent.Load())
		})
	}
}
