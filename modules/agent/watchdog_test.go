package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

// Guards against a stall that is detected late, and against a stall reported for an
// engine that is in prefill, that a slow reader delays, or that makes progress.
func TestWatchdog(t *testing.T) {
	failed := errors.New("refused")
	hang := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	for _, c := range []struct {
		name     string
		probe    func(context.Context) error
		decoding bool
		busy     bool
		prefill  time.Duration
		want     error
		after    time.Duration
	}{
		{"refused", func(context.Context) error { return failed }, true, false, time.Hour, errStalled, 750 * time.Millisecond},
		{"refused during prefill", func(context.Context) error { return failed }, false, false, time.Hour, errStalled, 750 * time.Millisecond},
		{"no answer", hang, true, false, time.Hour, errStalled, 1250 * time.Millisecond},
		{"healthy and silent", func(context.Context) error { return nil }, true, false, time.Hour, errSilent, time.Second},
		{"healthy and prefilling", func(context.Context) error { return nil }, false, false, time.Hour, nil, 0},
		{"healthy and silent before the first token", func(context.Context) error { return nil }, false, false, 2 * time.Second, errSilent, 2 * time.Second},
		{"delayed by the reader", func(context.Context) error { return failed }, true, true, time.Hour, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				w := newWatchdog(c.probe, c.prefill)
				w.decoding.Store(c.decoding)
				w.blockedByReader.Store(c.busy)
				start := time.Now()
				var got error
				var after time.Duration
				w.run(ctx, func(err error) { got, after = err, time.Since(start) })
				assert.Equal(t, got, c.want)
				assert.Equal(t, after, c.after)
			})
		})
	}
}

// Guards against a stall reported although tokens arrive between two probes.
func TestWatchdogAcceptsProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		w := newWatchdog(func(context.Context) error { return errors.New("refused") }, time.Hour)
		w.decoding.Store(true)
		go func() {
			for ctx.Err() == nil {
				sleep(ctx, 600*time.Millisecond)
				w.recordProgress()
			}
		}()
		w.run(ctx, func(err error) { t.Error(err) })
	})
}
