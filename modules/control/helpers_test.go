package control

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/kernel"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/stats"
)

const listenAddr = "127.0.0.1:17311"

var quiet = slog.New(slog.DiscardHandler)

// running returns a control instance that serves no listener.
func running(t testing.TB) *Control {
	t.Helper()
	sec, err := peer.NewSecurity(peer.TLSSettings{Off: true}, quiet)
	assert.NilError(t, err)
	c := newControl()
	c.instance, c.logger, c.stats, c.security = kernel.Instance{ID: "c1"}, quiet, stats.New(), sec
	c.ctx, c.cancel = context.WithCancel(t.Context())
	assert.NilError(t, c.build())
	c.touch.try(c.ctx, c.reachQuorum)
	c.run()
	return c
}

func waitFor(t testing.TB, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "timed out")
	}
}
