package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"heatherway.dev/core/rollout"
	"heatherway.dev/heatherway/modules/registry"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/stats"
)

// This file follows the roll-outs, reports to the leader what was counted, and gets permits for the canary share.

// rolloutReportTimeout limits one report. It ends before the next one is due, so that at most one is under way.
const rolloutReportTimeout = 250 * time.Millisecond

// enableRollouts makes placements keep to what roll-outs allow.
func (s *state) enableRollouts(id string) {
	s.rollouts = rollout.NewGateway(id, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	s.fleet.SetRollouts(s.rollouts)
}

// adoptRollouts applies the state of the roll-outs that a control instance has sent, unless it is an old one.
func (f *follower) adoptRollouts(v rollout.View) {
	for {
		old := f.rolloutRevision.Load()
		if v.Revision <= old {
			return
		}
		if f.rolloutRevision.CompareAndSwap(old, v.Revision) {
			break
		}
	}
	f.g.owner.post(func(s *state) {
		if s.rollouts == nil {
			return
		}
		for _, r := range s.rollouts.Adopt(v) {
			f.log.Info("roll-out changed", "service", r.Service, "target", r.Target, "order", r.ID, "state", r.Phase.String(), "phase", int(r.Phase),
				"revision", v.Revision, "reason", r.Reason)
		}
	})
}

// reportRollouts reports to the leader while a roll-out runs.
func (g *Gateway) reportRollouts() {
	ticker := time.NewTicker(rollout.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
			_ = recovery.Run(g.log, "report on roll-outs", g.reportRolloutsOnce)
		}
	}
}

func (g *Gateway) reportRolloutsOnce() {
	args, due := &registry.RolloutReportArgs{Forward: true}, false
	g.owner.call(func(s *state) { args.Report, due = s.rollouts.Report(time.Now(), s.fleet.RunningAtOthers) })
	if !due {
		return
	}
	g.publishRollouts(args.Report)
	askedAt := time.Now()
	ctx, cancel := context.WithTimeout(g.ctx, rolloutReportTimeout)
	defer cancel()
	reply, err := callOwner[registry.RolloutReportReply](ctx, g, &g.rolloutOwner, rolloutReportTimeout/2, "RolloutReport", args)
	if err != nil {
		g.metrics.rolloutReportFailures.Inc()
		g.log.Debug("owner of the roll-outs not reached", "error", err)
		return
	}
	g.owner.post(func(s *state) { s.rollouts.Granted(askedAt, args.Seq, reply.Answer) })
}

// publishRollouts publishes what this gateway has counted since it heard of the roll-outs that run.
func (g *Gateway) publishRollouts(r rollout.Report) {
	for _, part := range r.Rollouts {
		var target, other rollout.Counts
		requests := int64(0)
		for _, c := range part.Routes {
			requests += c.Requests
			target.Merge(c.Target)
			other.Merge(c.Other)
		}
		set := func(name, version string, n int64) {
			g.metrics.registry.Gauge(name, stats.Label{Key: "service", Value: part.Service}, stats.Label{Key: "version", Value: version}).Set(n)
		}
		set("gateway_rollout_requests", "all", requests)
		set("gateway_rollout_permits_used", "target", part.Used)
		for version, c := range map[string]rollout.Counts{"target": target, "other": other} {
			set("gateway_rollout_answers", version, c.Answers)
			set("gateway_rollout_failed_answers", version, c.Failed)
			set("gateway_rollout_median_ms", version, c.Median().Milliseconds())
		}
	}
}
