package agent

import (
	"context"
	"time"

	"heatherway.dev/core/quarantine"
	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/result"
)

const (
	// healthInterval is the time between probes of an upstream.
	healthInterval = time.Second
	// downAfter is how many failed probes in a row mark the upstream as down.
	downAfter = 2
	// refreshLimit bounds a question for the upstream's models.
	refreshLimit = 500 * time.Millisecond
)

// healthLoop probes the upstream, so that a dead one is announced as down also
// when nothing runs on it.
func (a *Agent) healthLoop(ctx context.Context) {
	failed := 0
	for ctx.Err() == nil {
		pause := healthInterval
		if err := probeOnce(ctx, a.upstream.Probe); err == nil {
			failed = 0
			a.refresh(ctx)
			a.setUp(true)
		} else if failed++; failed >= downAfter {
			a.setUp(false)
		} else {
			pause = probePause
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
	ctx, cancel := context.WithTimeout(ctx, refreshLimit)
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

// diagnose looks at a failed run: when nothing listens at the upstream's
// address any more, its process has crashed. The task must still hold its
// slot, so that the crash is reported with its fingerprint.
func (a *Agent) diagnose(epoch uint64, err error) {
	if !result.Is(err, result.UpstreamFailed) && !result.Is(err, result.UpstreamNotReachable) {
		return
	}
	probe := probeOnce(a.base, a.upstream.Probe)
	if probe == nil || !adapter.Refused(probe) {
		return
	}
	a.setUp(false)
	if result.Is(err, result.UpstreamFailed) { // the request had reached the upstream
		ev := crashEvent{epoch, make(chan struct{}, 1)}
		ask(a, ev, ev.done)
	}
}

// crashEvent reports a crash of the upstream. Epoch is the count of crashes
// when the failed request started; a crash that was counted since is the same.
type crashEvent struct {
	epoch uint64
	done  chan struct{}
}

func (e crashEvent) apply(o *owner, now time.Time) {
	defer func() { e.done <- struct{}{} }()
	if e.epoch != o.crashes {
		return
	}
	o.crashes++
	o.a.metrics.crashes.Inc()
	args := wire.CrashArgs{
		Reporter: o.a.instance.ID, Upstream: o.a.instance.ID,
		Incarnation: o.a.incarnation, CrashNumber: o.crashes, Probation: o.inProbation(),
	}
	for _, t := range o.tasks {
		if t.running && t.fingerprint != "" {
			args.Fingerprints = append(args.Fingerprints, t.fingerprint)
		}
	}
	o.a.log.Warn("the upstream has crashed", "crash", o.crashes, "running", len(args.Fingerprints))
	o.publish(now)
	o.a.background(func(ctx context.Context) { o.a.reportCrash(ctx, args) })
}

// reportCrash sends a report until a control instance has taken it.
func (a *Agent) reportCrash(ctx context.Context, args wire.CrashArgs) {
	var reply wire.CrashReply
	for ctx.Err() == nil {
		if err := a.control.call(ctx, "Control.Crash", &args, &reply); err == nil {
			quarantine.OnClock(time.Now().UnixMilli(), reply.Suspect)
			a.post(suspectsMerged{reply.Suspect})
			return
		}
		sleep(ctx, controlPause)
	}
}

// suspectsMerged adds suspects until the watch brings the whole list.
type suspectsMerged struct{ list []wire.Suspect }

func (e suspectsMerged) apply(o *owner, _ time.Time) {
	for _, s := range e.list {
		o.suspects[s.Fingerprint] = s
	}
}
