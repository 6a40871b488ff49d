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

// Guards against excluding a healthy upstream, and refusing an at-most-once call,
// because a dial timed out while the gateway process itself was stalled (incident
// inc-bfdc: gateways that have just started get CPU time late).
func TestDialIsRetriedAfterProcessStall(t *testing.T) {
	u := startUpstream(t, "u1", "desk", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, "ok") })
	f := newFixture(t, configuration(), u)
	var dials atomic.Int64
	f.connections.dialer = func(ctx context.Context, addr string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			time.Sleep(dialTimeout + 5*stallTolerance)
			return nil, ctx.Err()
		}
		return dialTCP(ctx, addr)
	}
	res := f.do(f.request("POST", "/book/x", "order"))
	assert.Equal(t, res.status, 200)
	assert.Equal(t, dials.Load(), int64(2))
}

// Guards against repeating a dial to an unresponsive upstream as if the process had
// been stalled; other upstreams can take the request at once.
func TestDialTimeoutIsNotRetried(t *testing.T) {
	u := startUpstream(t, "u1", "desk", "z0", func(http.ResponseWriter, *http.Request, int) {})
	f := newFixture(t, configuration(), u)
	var dials atomic.Int64
	f.connections.dialer = func(ctx context.Context, _ string) (net.Conn, error) {
		dials.Add(1)
		return nil, context.DeadlineExceeded
	}
	res := f.do(f.request("POST", "/book/x", "order"))
	assert.Equal(t, res.status, 503)
	assert.Equal(t, dials.Load(), int64(1))
}
