package agent

import (
	"context"
	"time"

	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/result"
)

const (
	// healthInterval is the time between health probes of the upstream.
	healthInterval = time.Second
	// downAfterFailures is the number of consecutive failed probes after which the
	// upstream counts as down.
	downAfterFailures = 2
	// refreshTimeout bounds a request for the upstream's models.
	refreshTimeout = 500 * time.Millisecond
)

// healthLoop probes the upstream, so that a failure is announced even when no request
// runs on it.
func (a *Agent) healthLoop(ctx context.Context) {
	failed := 0
	for ctx.Err() == nil {
		if !a.mayCall() {
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
			// The upstream asks for backoff, which says nothing about its health.
		case failed+1 >= downAfterFailures:
			a.setUp(false)
		default:
			failed++
			pause = probeRetryDelay
		}
		sleep(ctx, pause)
	}
}

// refresh fetches the list of loaded models and announces it if it has changed, for
// example after an order or a restart of the upstream.
func (a *Agent) refresh(ctx context.Context) {
	r, ok := a.upstream.(adapter.Refresher)
	if !ok {
		return
	}
	if !a.mayCall() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	changed, err := r.Refresh(ctx)
	if err != nil {
		a.log.Debug("cannot fetch the upstream's list of models", "error", err)
		return
	}
	if changed {
		a.log.Info("the upstream's list of models changed", "models", r.Info().Models)
		a.control.announceNow()
	}
}

func (a *Agent) setUp(up bool) {
	if a.snapshot.Load().up != up {
		a.post(healthEvent{up})
	}
}

// healthEvent sets whether the upstream is up.
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
