package peer

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/kernel/result"
)

// Guards against a count of unanswered calls that a failed call leaves above zero, for which a
// stopping process would wait, and against responses that differ from those of net/rpc.
func TestUnansweredCalls(t *testing.T) {
	sec := newPlaintextSecurity(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var unanswered atomic.Int64
	service := Echo{hang: make(chan struct{})}
	srv := &http.Server{Handler: &Handler{Security: sec, Unanswered: &unanswered, Services: func(Roles) map[string]any {
		return map[string]any{"Echo": service}
	}}}
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	c := sec.NewClient(l.Addr().String())
	defer c.Close()
	out := ""
	assert.NilError(t, c.Call(t.Context(), "Echo.Say", "hello", &out))
	assert.Equal(t, out, "hello")
	assert.Assert(t, result.Is(c.Call(t.Context(), "Echo.Refuse", "", &out), result.Leaving))
	assert.ErrorContains(t, c.Call(t.Context(), "Echo.None", "", &out), "can't find method")
	assert.Assert(t, c.Call(t.Context(), "Echo.Say", struct{ X []int }{[]int{1}}, &out) != nil)
	assert.NilError(t, c.Call(t.Context(), "Echo.Say", "again", &out))
	left := sec.NewClient(l.Addr().String())
	go func() { _ = left.Call(t.Context(), "Echo.Hang", "", new(string)) }()
	waitFor(t, &unanswered, 1)
	left.Close()
	close(service.hang)
	waitFor(t, &unanswered, 0)
}

func waitFor(t *testing.T, n *atomic.Int64, want int64) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); n.Load() != want; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d, want %d", n.Load(), want)
	}
}
