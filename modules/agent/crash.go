package agent

import (
	"context"
	"time"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/quarantine"
	"heatherway.dev/core/signal"
	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/result"
)

const (
	// disconnectWindow is the time within which all connections to an engine that has
	// terminated are observed to break.
	disconnectWindow = 50 * time.Millisecond
	// crashReportWait is how long a failed run waits for the report of its crash, so that
	// its entry does not retry the request elsewhere before control knows the suspects.
	// A report takes a few milliseconds.
	crashReportWait = 100 * time.Millisecond
)

// detectCrash determines whether a run failed because the upstream crashed: nothing
// listens at the upstream's address any more, it stopped answering, or the connections of
// all its runs broke together, which also covers an upstream that has restarted already.
// The task must still hold its slot, so that the crash report includes its fingerprint.
// Epoch is the crash count at the start of the run.
func (a *Agent) detectCrash(t *task, epoch uint64, err error) {
	if result.Is(err, result.UpstreamStalled) {
		a.recordCrash(epoch, true)
		return
	}
	if !result.Is(err, result.UpstreamFailed) && !result.Is(err, result.UpstreamNotReachable) {
		return
	}
	reached := result.Is(err, result.UpstreamFailed)
	switch disconnectedAt, probe := time.Now(), probeOnce(a.baseCtx, a.upstream.Probe); {
	case adapter.ConnectionRefused(probe):
		a.setUp(false)
		if reached {
			a.recordCrash(epoch, false)
		}
	case reached && adapter.ConnectionBroken(err):
		a.post(disconnectEvent{t})
		sleep(a.baseCtx, disconnectWindow)
		ev := survivalEvent{t, disconnectedAt, make(chan bool, 1)}
		if survived, ok := ask(a, ev, ev.reply); ok && !survived {
			a.recordCrash(epoch, true)
		}
	}
}

// recordCrash counts a crash and waits up to crashReportWait for its report.
func (a *Agent) recordCrash(epoch uint64, unconfirmed bool) {
	ev := crashEvent{epoch, unconfirmed, make(chan (<-chan struct{}), 1)}
	reported, ok := ask(a, ev, ev.reply)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(a.baseCtx, crashReportWait)
	defer cancel()
	select {
	case <-reported:
	case <-ctx.Done():
	}
}

// disconnectEvent records that the connection of a run has broken.
type disconnectEvent struct{ t *task }

func (e disconnectEvent) apply(*owner, time.Time) { e.t.disconnected = true }

// survivalEvent asks whether the upstream has survived the disconnect of one run, because
// other runs that had started before are still connected.
type survivalEvent struct {
	t              *task
	disconnectedAt time.Time
	reply          chan bool
}

func (e survivalEvent) apply(o *owner, _ time.Time) {
	var neighbours []crash.ConcurrentRun
	for _, t := range o.tasks {
		if t != e.t && t.running {
			neighbours = append(neighbours, crash.ConcurrentRun{Started: t.started, Interrupted: t.disconnected})
		}
	}
	survived := crash.UpstreamSurvived(e.disconnectedAt, neighbours)
	o.a.log.Info("connection to the upstream broke, but its address does not refuse connections", "fingerprint", e.t.fingerprint, "neighbours", len(neighbours), "outlived", survived)
	e.reply <- survived
}

// crashEvent counts a crash of the upstream and starts its report. If a crash has been
// counted since the epoch, it is the same one. The channel in the reply is closed once
// control has accepted the report.
type crashEvent struct {
	epoch       uint64
	unconfirmed bool
	reply       chan (<-chan struct{})
}

func (e crashEvent) apply(o *owner, now time.Time) {
	defer func() { e.reply <- o.crashReported }()
	if e.epoch != o.crashes {
		return
	}
	o.crashes++
	o.upstreamSignal = signal.Upstream{}
	o.queue.ForgetLimit()
	o.updateQueueState(now)
	o.a.metrics.crashes.Inc()
	args := wire.CrashArgs{
		Reporter: o.a.instance.ID, Upstream: o.a.instance.ID, Unconfirmed: e.unconfirmed,
		Incarnation: o.a.incarnation, CrashNumber: o.crashes, Probation: o.probationFingerprint(),
	}
	for _, t := range o.tasks {
		if t.running && t.fingerprint != "" {
			args.Fingerprints = append(args.Fingerprints, t.fingerprint)
		}
	}
	o.a.log.Warn("the upstream has crashed", "crash", o.crashes, "running", len(args.Fingerprints), "unconfirmed", e.unconfirmed)
	o.publish(now)
	o.reportCrashedParts(now, e.unconfirmed)
	reported := make(chan struct{})
	o.crashReported = reported
	o.a.background(func(ctx context.Context) {
		defer close(reported)
		o.a.reportCrash(ctx, args)
	})
}

// reportCrash repeats a report until control has accepted it.
func (a *Agent) reportCrash(ctx context.Context, args wire.CrashArgs) {
	var reply wire.CrashReply
	for ctx.Err() == nil {
		if err := a.control.call(ctx, "Control.Crash", &args, &reply); err == nil {
			quarantine.SetLocalExpiry(time.Now().UnixMilli(), reply.Suspect)
			a.post(suspectsMergedEvent{reply.Suspect})
			return
		}
		sleep(ctx, controlRetryDelay)
	}
}

// suspectsMergedEvent adds suspects before the next watch replaces the whole list.
type suspectsMergedEvent struct{ list []wire.Suspect }

func (e suspectsMergedEvent) apply(o *owner, _ time.Time) {
	for _, s := range e.list {
		o.suspects[s.Fingerprint] = s
	}
}
