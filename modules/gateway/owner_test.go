package gateway

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a data race at the end of a gateway: call returned while its function ran
// or before it ran, and the caller read what the function wrote.
func TestOwnerCallAtTheEndOfTheGateway(t *testing.T) {
	newOwner := func() (*stateOwner, context.CancelFunc) {
		ctx, cancel := context.WithCancel(t.Context())
		return newStateOwner(ctx, slog.New(slog.DiscardHandler), "z0", 0.9), cancel
	}
	t.Run("while the function runs", func(t *testing.T) {
		o, cancel := newOwner()
		go o.run()
		written := 0
		assert.Assert(t, o.call(func(*state) {
			cancel()
			time.Sleep(20 * time.Millisecond)
			written = 1
		}))
		assert.Equal(t, written, 1)
	})
	t.Run("before the function runs", func(t *testing.T) {
		for range 50 {
			o, cancel := newOwner()
			time.AfterFunc(time.Millisecond, cancel)
			written := 0
			if o.call(func(*state) { written = 1 }) {
				t.Fatal("the function cannot have run")
			}
			o.run() // may still take the function from the queue
			assert.Equal(t, written, 0)
		}
	})
	t.Run("function panics", func(t *testing.T) {
		o, cancel := newOwner()
		defer cancel()
		go o.run()
		assert.Assert(t, o.call(func(*state) { cancel(); panic("test") }))
	})
}
