package agent

import (
	"context"
	"time"

	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/result"
)

const (
	// healthInterval is the time between probes of an upstream.
	healthInterval = time.Second
	// downAfter is how many failed probes in a row mark the upstream as down.
	downAfterFailures = 2
	// refreshLimit bounds a question for the upstream's models.
	refreshTimeout = 500 * time.Millisecond
)

// healthLoop probes the upstream, so that a dead one is announced as down also
// when nothing runs on it.
func (a *Agent) healthLoop(ctx context.Context) {
	failed := 0
	for ctx.Err() == nil {
		if a.backingOff() {
			sleep(ctx, probeRetryDelay)
			continue
		}
		pause := healthInterval
		switch err := probeOnce(ctx, a.upstream.Probe); {
		case err == nil:
			failed = 0
			a.refresh(ctx)
			a.setUp(true)
		case result.Is(err, result.QueueFull):
			// It asks for backoff.
		case failed+1 >= downAfterFailures:
			a.setUp(false)
		default:
			failed++
			pause = probeRetryDelay
		}
		sleep(ctx, pause)
	}
}

// refresh announces the models that the upstream has loaded, when they change:
// after an order, or when the upstream was restarted.
func (a *Agent) refresh(ctx context.Context) {
	r, ok := a.upstream.(adapter.Refresher)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	changed, err := r.Refresh(ctx)
	if err != nil {
		a.log.Debug("models not refreshed", "error", err)
		return
	}
	if changed {
		a.log.Info("the upstream's models have changed", "models", r.Info().Models)
		a.control.announceNow()
	}
}

func (a *Agent) setUp(up bool) {
	if a.snapshot.Load().up != up {
		a.post(healthEvent{up})
	}
}

// healthEvent sets whether the upstream answers.
type healthEvent struct{ up bool }

func (e healthEvent) apply(o *owner, now time.Time) {
	if o.up == e.up {
		return
	}
	o.up = e.up
	o.a.log.Info("upstream changed", "up", e.up)
	o.publish(now)
	o.a.control.announceNow()
}
