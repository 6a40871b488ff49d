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
	silenceTimeout = 500 * time.Millisecond
	// probeLimit bounds one probe; probePause lies before the second one.
	probeTimeout    = 250 * time.Millisecond
	probeRetryDelay = 250 * time.Millisecond
	// silentProbes is how many times in a row a healthy engine may leave a
	// decoding stream silent before the stream is opened again. With two, output
	// continues about one second after the last token; the target is 1.5 s.
	maxSilentProbes = 2
	// prefillTime and prefillPerByte bound the time of a prefill on a healthy
	// engine, at a tenth of the usual speed (5,000 tokens/s, 4 bytes a token). A
	// request without a token for longer is sent again on a new connection; the
	// time doubles each time, so that a slower prefill ends too.
	basePrefillTime    = 2 * time.Second
	prefillTimePerByte = 500 * time.Microsecond
	// maxDoublings bounds the doubling.
	maxPrefillDoublings = 6
)

// prefillLimit returns how long a request may be without a token.
func prefillTimeout(bytes, repeated int) time.Duration {
	return (basePrefillTime + time.Duration(bytes)*prefillTimePerByte) << min(repeated, maxPrefillDoublings)
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
	prefillTimeout time.Duration
	// busy is set while the agent itself holds the engine back.
	blockedByReader atomic.Bool
	decoding        atomic.Bool
	lastProgress    atomic.Int64 // Unix nanoseconds
}

func newWatchdog(probe func(context.Context) error, prefill time.Duration) *watchdog {
	w := &watchdog{probe: probe, prefillTimeout: prefill}
	w.recordProgress()
	return w
}

func (w *watchdog) recordProgress() { w.lastProgress.Store(time.Now().UnixNano()) }

// guard returns when ctx ends, or after it has called stop with the reason. A
// request that has no token yet is queued or prefilled by the engine, so only
// a failed probe or the end of the prefill limit counts against it.
func (w *watchdog) run(ctx context.Context, stop func(error)) {
	var seen int64
	began := time.Now()
	quiet := 0
	for ctx.Err() == nil {
		if now := w.lastProgress.Load(); now != seen {
			seen, quiet = now, 0
		}
		due := time.Unix(0, seen).Add(silenceTimeout * time.Duration(quiet+1))
		if d := time.Until(due); d > 0 {
			sleep(ctx, d)
			continue
		}
		if w.blockedByReader.Load() {
			w.recordProgress()
			continue
		}
		if !w.healthy(ctx, seen) {
			stop(errStalled)
			return
		}
		if quiet++; quiet >= maxSilentProbes && w.decoding.Load() && w.lastProgress.Load() == seen {
			stop(errSilent)
			return
		}
		if !w.decoding.Load() && time.Since(began) >= w.prefillTimeout {
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
	sleep(ctx, probeRetryDelay)
	if w.lastProgress.Load() != seen || ctx.Err() != nil {
		return true
	}
	return probeOnce(ctx, w.probe) == nil || ctx.Err() != nil
}

func probeOnce(ctx context.Context, probe func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return probe(ctx)
}
