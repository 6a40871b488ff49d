package registry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"heatherway.dev/core/registration"
	"heatherway.dev/core/rollout"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/settings"
)

const (
	// rolloutInterval is the time between two decisions of the leader.
	rolloutInterval = 200 * time.Millisecond
	// rolloutTimeout bounds the write of a decision. It covers some syncs of a slow disk.
	rolloutTimeout = 600 * time.Millisecond
	// confirmedFor is how long the leader grants permits after a majority has confirmed it.
	confirmedFor = 700 * time.Millisecond
	// rolloutCallTimeout bounds a report of a gateway, including its forwarding.
	rolloutCallTimeout = 200 * time.Millisecond
	// minRollback is the longest time to a reversal: that to a decision, to its write, and the lease of permits.
	minRollback = 2 * time.Second
	// defaultSettle covers the time in which operators resend an order.
	defaultSettle = 5 * time.Second
)

// RolloutSettings enable roll-outs that an operator orders. They are the same at all gateways and control instances.
type RolloutSettings struct {
	// CanaryShare is the largest part of a service's requests that may reach a version before it is trusted. Zero
	// disables roll-outs.
	CanaryShare float64 `yaml:"canary_share"`
	// CanarySlack is the number of requests that may reach it beyond the share.
	CanarySlack int `yaml:"canary_slack"`
	// Rollback is the time within which no request may reach a version that has been reverted.
	Rollback time.Duration `yaml:"rollback"`
	// Settle is how long a version must have announced itself before it is trusted without an order.
	Settle time.Duration `yaml:"settle"`
}

// Enabled reports whether roll-outs are enabled.
func (s RolloutSettings) Enabled() bool { return s.CanaryShare > 0 }

// Validate returns an error if a setting is out of range.
func (s RolloutSettings) Validate() error {
	if s == (RolloutSettings{}) {
		return nil
	}
	return settings.First(
		settings.InRange("rollouts.canary_share", s.CanaryShare, 0, 1),
		settings.InRange("rollouts.canary_slack", s.CanarySlack, 0, 1_000_000),
		settings.DurationInRange("rollouts.rollback", s.Rollback, minRollback, time.Hour),
		settings.DurationInRange("rollouts.settle", s.Settle, 0, time.Hour),
	)
}

// rollouts is the replicated state of the roll-outs, and at the leader of rolloutGroup the owner of the permits.
type rollouts struct {
	registry *Registry
	settings rollout.Settings
	view     atomic.Pointer[rollout.View]

	mu    sync.Mutex
	book  *rollout.Book
	clock *rollout.Clock
	// owner is nil unless this instance leads in term. Permits are granted until confirmedUntil.
	owner          *rollout.Owner
	term           uint64
	confirmedUntil time.Time
	settler        *rollout.Settler
	// versions counts the upstreams that have not left, and ready those that take requests, by service and version.
	versions, ready map[string]map[string]int
}

func newRollouts(r *Registry, s RolloutSettings) *rollouts {
	settle := s.Settle
	if settle == 0 {
		settle = defaultSettle
	}
	o := &rollouts{registry: r, settings: rollout.Settings{Share: s.CanaryShare, Slack: int64(s.CanarySlack)},
		book: rollout.NewBook(), clock: rollout.NewClock(), settler: rollout.NewSettler(settle)}
	o.view.Store(&rollout.View{})
	return o
}

// Apply implements replica.StateMachine. It returns the outcome.
func (o *rollouts) Apply(index uint64, entry []byte) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	outcome, err := o.book.Apply(index, entry)
	if err != nil {
		o.registry.log.Error("invalid entry of roll-outs skipped", "index", index, "error", err)
	}
	o.update()
	return []byte{byte(outcome)}
}

// update takes in a changed state of the book.
func (o *rollouts) update() {
	old, v := o.view.Load(), o.book.View()
	defer o.clock.Update(time.Now(), v) // the log lines below state how long an ended roll-out took
	if o.owner != nil {
		o.owner.Update(v)
	}
	if v.Revision <= old.Revision {
		return
	}
	for service, s := range v.Services {
		before := old.Services[service].Rollout
		if r := s.Rollout; r != nil && (before == nil || before.ID != r.ID || before.Phase != r.Phase) {
			o.registry.log.Info("roll-out changed", "service", service, "target", r.Target, "order", r.ID, "state", r.Phase.String(), "phase", int(r.Phase),
				"duration_ms", r.Duration.Milliseconds(), "elapsed_ms", o.clock.Elapsed(time.Now(), r).Milliseconds(), "trusted", s.Trusted, "denied", s.Denied, "reason", r.Reason)
		}
	}
	o.view.Store(&v)
	o.registry.changes.notify()
}

// Snapshot implements replica.StateMachine.
func (o *rollouts) Snapshot() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	b, err := o.book.Snapshot()
	if err != nil {
		o.registry.log.Error("roll-outs not encoded", "error", err)
	}
	return b
}

// Restore implements replica.StateMachine.
func (o *rollouts) Restore(b []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.book.Restore(b); err != nil {
		return err
	}
	o.update()
	return nil
}

// observeUpstreams takes in the directory.
func (o *rollouts) observeUpstreams(upstreams []registration.Upstream) {
	versions, ready := map[string]map[string]int{}, map[string]map[string]int{}
	count := func(m map[string]map[string]int, u *registration.Upstream) {
		if m[u.Service] == nil {
			m[u.Service] = map[string]int{}
		}
		m[u.Service][u.Version]++
	}
	for i := range upstreams {
		u := &upstreams[i]
		if u.State != registration.Left && u.State != registration.Lost {
			count(versions, u)
		}
		if u.State == registration.Ready && !u.Leaving {
			count(ready, u)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions, o.ready = versions, ready
}

// run makes the decisions of the leader.
func (o *rollouts) run(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = recovery.Run(o.registry.log, "decisions about roll-outs", func() { o.lead(ctx) })
		}
	}
}

// lead writes what is due to the log, if this instance leads.
func (o *rollouts) lead(ctx context.Context) {
	rep := o.registry.currentReplica()
	if rep == nil || !rep.Leader(rolloutGroup).Self {
		o.mu.Lock()
		o.owner = nil
		o.mu.Unlock()
		return
	}
	begun := time.Now()
	if o.anyRuns() { // permits need the confirmation of a majority
		if _, err := rep.ReadIndex(ctx, rolloutGroup); err != nil {
			return // another decision is made after the next interval
		}
	}
	for _, c := range o.due(rep.Leader(rolloutGroup).Term, begun) {
		if _, err := o.propose(ctx, c); err != nil {
			o.registry.log.Warn("decision about a roll-out not written", "error", err)
			return
		}
	}
}

func (o *rollouts) anyRuns() bool {
	for _, s := range o.view.Load().Services {
		if s.Running() != nil {
			return true
		}
	}
	return false
}

// due returns what is to be written to the log by the leader of a term, which a majority has confirmed since a time.
func (o *rollouts) due(term uint64, confirmedAt time.Time) []rollout.Command {
	o.mu.Lock()
	defer o.mu.Unlock()
	now, v := time.Now(), o.book.View()
	if o.owner == nil || o.term != term {
		o.owner, o.term = rollout.NewOwner(o.settings), term
		o.owner.Update(v)
	}
	o.confirmedUntil = confirmedAt.Add(confirmedFor)
	out := o.settler.Choose(now, v, o.versions)
	out = append(out, o.owner.Ceilings()...)
	return append(out, o.owner.Decide(o.elapsed, func(service, version string) int { return o.ready[service][version] })...)
}

func (o *rollouts) elapsed(r *rollout.Rollout) time.Duration { return o.clock.Elapsed(time.Now(), r) }

// present returns the known versions of a service.
func (o *rollouts) present(service string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Sorted(maps.Keys(o.versions[service]))
}

// propose writes a command to the log and returns its outcome once it is durable.
func (o *rollouts) propose(ctx context.Context, c rollout.Command) (rollout.Outcome, error) {
	rep := o.registry.currentReplica()
	if rep == nil {
		return 0, result.New(result.ControlUnavailable, "the log of this instance is closed").WithRan(result.NotRun)
	}
	c.AtMS = time.Now().UnixMilli()
	b, err := c.Encode()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	value, _, err := rep.Propose(ctx, rolloutGroup, b)
	if err != nil || len(value) != 1 {
		return 0, result.Wrap(result.ControlUnavailable, err, "the entry was not applied")
	}
	return rollout.Outcome(value[0]), nil
}

// viewSince returns the state for gateways, nil if the caller has it.
func (o *rollouts) viewSince(revision uint64) *rollout.View {
	if v := o.view.Load(); v.Revision > revision {
		return v
	}
	return nil
}

// RolloutReportArgs carries what a gateway has counted.
type RolloutReportArgs struct {
	rollout.Report
	// Forward asks an instance that is not the leader to forward the call to it.
	Forward bool
}

// RolloutReportReply carries the permits of the gateway.
type RolloutReportReply struct {
	rollout.Answer
	OwnerAddr
}

// RolloutReport takes in what a gateway has counted and grants it permits. The leader answers for the whole fleet.
func (s *Service) RolloutReport(args *RolloutReportArgs, reply *RolloutReportReply) (err error) {
	defer recovery.Into(s.registry.log, "call RolloutReport", &err)
	r := s.registry
	if r.rollouts == nil {
		return peer.EncodeError(errNoRollouts())
	}
	ctx, cancel := context.WithTimeout(r.ctx, rolloutCallTimeout)
	defer cancel()
	_, err = r.tryLeaderOf(ctx, rolloutGroup, func(context.Context) (uint64, error) {
		reply.Owner = r.PeerListen
		return 0, r.rollouts.handle(args.Report, &reply.Answer)
	}, func(ctx context.Context, addr string) (uint64, error) {
		if !args.Forward {
			return 0, result.New(result.ControlUnavailable, "this instance does not lead").WithRan(result.NotRun)
		}
		return 0, r.clients.To(addr).Call(ctx, ServiceName+".RolloutReport", &RolloutReportArgs{Report: args.Report}, reply)
	})
	return peer.EncodeError(err)
}

func errNoRollouts() error {
	return result.New(result.ControlUnavailable, "roll-outs are not enabled at this instance").WithRan(result.NotRun)
}

func (o *rollouts) handle(r rollout.Report, a *rollout.Answer) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.owner == nil {
		return result.New(result.ControlUnavailable, "this instance has just begun to lead").WithRan(result.NotRun)
	}
	*a = o.owner.Handle(r, time.Now().Before(o.confirmedUntil), o.elapsed)
	return nil
}
