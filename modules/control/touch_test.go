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

// Guards against an instance that is cut off in silence and goes on answering,
// and one that stays refused after the partition has healed.
func TestSilentIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var cut atomic.Bool
		var to touch
		done := make(chan struct{})
		go func() {
			defer close(done)
			to.run(ctx, func(ctx context.Context) error {
				if !cut.Load() {
					return nil
				}
				<-ctx.Done() // no error is signalled, only nothing comes back
				return ctx.Err()
			})
		}()
		time.Sleep(time.Second)
		assert.NilError(t, to.check(time.Now()))
		cut.Store(true)
		time.Sleep(touchLimit - touchInterval - time.Millisecond)
		assert.NilError(t, to.check(time.Now()))
		time.Sleep(touchInterval + time.Millisecond)
		assert.Assert(t, result.Is(to.check(time.Now()), result.ControlUnavailable))
		cut.Store(false)
		time.Sleep(touchTimeout + touchInterval)
		assert.NilError(t, to.check(time.Now()))
		cancel()
		<-done
	})
}
