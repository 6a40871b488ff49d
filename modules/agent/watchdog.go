package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// silenceLimit is how long an engine may send nothing before its health is
	// probed.
	silenceLimit = 500 * time.Millisecond
	// probeLimit bounds one probe; probePause lies before the second one.
	probeLimit = 250 * time.Millisecond
	probePause = 250 * time.Millisecond
	// silentProbes is how many times in a row a healthy engine may leave a
	// decoding stream silent before the stream is opened again. With two, output
	// continues about one second after the last token; the target is 1.5 s.
	silentProbes = 2
	// prefillTime and prefillPerByte bound the time of a prefill on a healthy
	// engine, at a tenth of the usual speed (5,000 tokens/s, 4 bytes a token). A
	// request without a token for longer is sent again on a new connection; the
	// time doubles each time, so that a slower prefill ends too.
	prefillTime    = 2 * time.Second
	prefillPerByte = 500 * time.Microsecond
	// maxDoublings bounds the doubling.
	maxDoublings = 6
)

// prefillLimit returns how long a request may be without a token.
func prefillLimit(bytes, repeated int) time.Duration {
	return (prefillTime + time.Duration(bytes)*prefillPerByte) << min(repeated, maxDoublings)
}

// Causes that end one run on the engine.
var (
	errStalled = errors.New("the engine does not answer")
	errSilent  = errors.New("the engine's connection is silent")
)

// watchdog notices an engine that stops sending.
type watchdog struct {
	probe func(context.Context) error
	// prefill bounds the time without a token.
	prefill time.Duration
	// busy is set while the agent itself holds the engine back.
	busy     atomic.Bool
	decoding atomic.Bool
	progress atomic.Int64 // Unix nanoseconds
}

func newWatchdog(probe func(context.Context) error, prefill time.Duration) *watchdog {
	w := &watchdog{probe: probe, prefill: prefill}
	w.touch()
	return w
}

func (w *watchdog) touch() { w.progress.Store(time.Now().UnixNano()) }

// guard returns when ctx ends, or after it has called stop with the reason. A
// request that has no token yet is queued or prefilled by the engine, so only
// a failed probe or the end of the prefill limit counts against it.
func (w *watchdog) guard(ctx context.Context, stop func(error)) {
	var seen int64
	began := time.Now()
	quiet := 0
	for ctx.Err() == nil {
		if now := w.progress.Load(); now != seen {
			seen, quiet = now, 0
		}
		due := time.Unix(0, seen).Add(silenceLimit * time.Duration(quiet+1))
		if d := time.Until(due); d > 0 {
			sleep(ctx, d)
			continue
		}
		if w.busy.Load() {
			w.touch()
			continue
		}
		if !w.healthy(ctx, seen) {
			stop(errStalled)
			return
		}
		if quiet++; quiet >= silentProbes && w.decoding.Load() && w.progress.Load() == seen {
			stop(errSilent)
			return
		}
		if !w.decoding.Load() && time.Since(began) >= w.prefill {
			stop(errSilent)
			return
		}
	}
}

// healthy probes, and once more after a failure unless the stream goes on.
func (w *watchdog) healthy(ctx context.Context, seen int64) bool {
	if probeOnce(ctx, w.probe) == nil {
		return true
	}
	sleep(ctx, probePause)
	if w.progress.Load() != seen || ctx.Err() != nil {
		return true
	}
	return probeOnce(ctx, w.probe) == nil || ctx.Err() != nil
}

func probeOnce(ctx context.Context, probe func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	return probe(ctx)
}
