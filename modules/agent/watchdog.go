package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// silenceTimeout is how long an engine may send nothing before its health is
	// probed.
	silenceTimeout = 500 * time.Millisecond
	// probeTimeout bounds one probe. probeRetryDelay is the delay between a failed probe
	// and the second one.
	probeTimeout    = 250 * time.Millisecond
	probeRetryDelay = 250 * time.Millisecond
	// maxSilentProbes is the number of consecutive successful probes without output
	// after which a decoding request is repeated on a new connection. With two, output
	// continues about one second after the last token; the target is 1.5 s.
	maxSilentProbes = 2
	// basePrefillTime and prefillTimePerByte bound the time of a prefill on a healthy
	// engine, assuming a tenth of the usual speed (5,000 tokens/s, 4 bytes per token).
	// A request without a token for longer is repeated on a new connection. The bound
	// doubles each time, so that a slower prefill can finish.
	basePrefillTime    = 2 * time.Second
	prefillTimePerByte = 500 * time.Microsecond
	// maxPrefillDoublings bounds the number of doublings.
	maxPrefillDoublings = 6
)

// prefillTimeout returns how long a request of the given size may take until its first
// token, after it has been repeated the given number of times.
func prefillTimeout(bytes, repeated int) time.Duration {
	return (basePrefillTime + time.Duration(bytes)*prefillTimePerByte) << min(repeated, maxPrefillDoublings)
}

// Cancellation causes of one request to the engine.
var (
	errStalled = errors.New("the engine does not answer")
	errSilent  = errors.New("the engine's connection is silent")
)

// watchdog detects an engine that has stopped sending output.
type watchdog struct {
	probe func(context.Context) error
	// prefillTimeout bounds the time until the first token.
	prefillTimeout time.Duration
	// blockedByReader is set while the agent itself delays the engine, because the
	// reader is too far behind.
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

// run returns when ctx ends, or after it has called stop with the reason. The engine
// may still be queueing or prefilling a request that has no token yet, so silence alone
// does not stop such a request: only a failed probe or the prefill timeout does.
func (w *watchdog) run(ctx context.Context, stop func(error)) {
	var seenProgress int64
	started := time.Now()
	silentProbes := 0
	for ctx.Err() == nil {
		if now := w.lastProgress.Load(); now != seenProgress {
			seenProgress, silentProbes = now, 0
		}
		due := time.Unix(0, seenProgress).Add(silenceTimeout * time.Duration(silentProbes+1))
		if d := time.Until(due); d > 0 {
			sleep(ctx, d)
			continue
		}
		if w.blockedByReader.Load() {
			w.recordProgress()
			continue
		}
		if !w.healthy(ctx, seenProgress) {
			stop(errStalled)
			return
		}
		if silentProbes++; silentProbes >= maxSilentProbes && w.decoding.Load() && w.lastProgress.Load() == seenProgress {
			stop(errSilent)
			return
		}
		if !w.decoding.Load() && time.Since(started) >= w.prefillTimeout {
			stop(errSilent)
			return
		}
	}
}

// healthy probes the engine. After a failure it probes once more, unless output has
// arrived meanwhile.
func (w *watchdog) healthy(ctx context.Context, seenProgress int64) bool {
	if probeOnce(ctx, w.probe) == nil {
		return true
	}
	sleep(ctx, probeRetryDelay)
	if w.lastProgress.Load() != seenProgress || ctx.Err() != nil {
		return true
	}
	return probeOnce(ctx, w.probe) == nil || ctx.Err() != nil
}

func probeOnce(ctx context.Context, probe func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return probe(ctx)
}
