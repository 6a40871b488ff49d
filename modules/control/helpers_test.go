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

var discardLogger = slog.New(slog.DiscardHandler)

// newRunningControl returns a running control instance without a listener.
func newRunningControl(t testing.TB) *Control {
	t.Helper()
	sec, err := peer.NewSecurity(peer.TLSSettings{Off: true}, discardLogger)
	assert.NilError(t, err)
	c := newControl()
	c.instance, c.logger, c.stats, c.security = kernel.Instance{ID: "c1"}, discardLogger, stats.New(), sec
	c.ctx, c.cancel = context.WithCancel(t.Context())
	assert.NilError(t, c.build())
	c.quorum.probe(c.ctx, c.reachQuorum)
	c.startWorkers()
	return c
}

func waitFor(t testing.TB, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "timed out")
	}
}
