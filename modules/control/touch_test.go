package control

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/kernel/result"
)

// Guards against an instance that goes on answering when it is cut off without
// connection errors, and one that keeps refusing calls after the partition has
// healed.
func TestIsolationWithoutErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var isolated atomic.Bool
		var monitor quorumMonitor
		done := make(chan struct{})
		go func() {
			defer close(done)
			monitor.run(ctx, func(ctx context.Context) error {
				if !isolated.Load() {
					return nil
				}
				<-ctx.Done() // packets are dropped: no error, and no reply either
				return ctx.Err()
			})
		}()
		time.Sleep(time.Second)
		assert.NilError(t, monitor.check(time.Now()))
		isolated.Store(true)
		time.Sleep(maxQuorumAge - quorumProbeInterval - time.Millisecond)
		assert.NilError(t, monitor.check(time.Now()))
		time.Sleep(quorumProbeInterval + time.Millisecond)
		assert.Assert(t, result.Is(monitor.check(time.Now()), result.ControlUnavailable))
		isolated.Store(false)
		time.Sleep(quorumProbeTimeout + quorumProbeInterval)
		assert.NilError(t, monitor.check(time.Now()))
		cancel()
		<-done
	})
}
