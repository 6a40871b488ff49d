package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"heatherway.dev/core/rollout"
	"heatherway.dev/heatherway/modules/registry"
	"heatherway.dev/kernel/recovery"
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
	g.owner.call(func(s *state) { args.Report, due = s.rollouts.Report(s.fleet.RunningAtOthers) })
	if !due {
		return
	}
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
