package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a sound upstream that is avoided, and a booking that is refused,
// because a connection ran into its limit while the process itself was held up
// (inc-bfdc: gateways that have just started get the processor late).
func TestDialIsRetriedAfterProcessStall(t *testing.T) {
	u := serve(t, "u1", "desk", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, "ok") })
	f := newFixture(t, configuration(), u)
	var dials atomic.Int64
	f.upstreams.dialer = func(ctx context.Context, addr string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			time.Sleep(dialTimeout + 5*stallTolerance)
			return nil, ctx.Err()
		}
		return dialTCP(ctx, addr)
	}
	a := f.do(f.request("POST", "/book/x", "order"))
	assert.Equal(t, a.status, 200)
	assert.Equal(t, dials.Load(), int64(2))
}

// Guards against an upstream that does not answer and is tried again as if the process
// had been held up: others can take the work at once.
func TestDialTimeoutIsNotRetried(t *testing.T) {
	u := serve(t, "u1", "desk", "z0", func(http.ResponseWriter, *http.Request, int) {})
	f := newFixture(t, configuration(), u)
	var dials atomic.Int64
	f.upstreams.dialer = func(ctx context.Context, _ string) (net.Conn, error) {
		dials.Add(1)
		return nil, context.DeadlineExceeded
	}
	a := f.do(f.request("POST", "/book/x", "order"))
	assert.Equal(t, a.status, 503)
	assert.Equal(t, dials.Load(), int64(1))
}
