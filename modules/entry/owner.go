package entry

import (
	"context"
	"maps"
	"math/rand"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/breaker"
	"heatherway.dev/core/config"
	"heatherway.dev/core/limit"
	"heatherway.dev/core/member"
	"heatherway.dev/core/pick"
	"heatherway.dev/core/quarantine"
	"heatherway.dev/core/retry"
	"heatherway.dev/core/slo"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
)

// Sizes and timeouts of the owner.
const (
	inputQueueSize = 4096
	// sendTimeout bounds how long a sender waits for space in the queue to
	// report an outcome.
	sendTimeout = 50 * time.Millisecond
	// tickInterval is how often lease requests are sent and the age of the
	// configuration is checked.
	tickInterval = 100 * time.Millisecond
	// behindTimeout is how long a newer revision may be known without having
	// been fetched before the entry refuses requests.
	behindTimeout = 5 * time.Second
	// resumeShare is how many resumes the budget allows for each open request
	// within its window of 10 s. With 1, generations that lose a second upstream
	// within the window would wait until it ends.
	resumeShare = 3
)

// input is an event or a query that the owner's goroutine handles.
type input interface{ apply(o *owner, now time.Time) }

// owner holds the shared state of the entry in one goroutine: upstreams with
// their load and circuit breakers, the retry budget and the rate limits. Request
// goroutines read snapshots of it, query it for decisions that change the state,
// and send it events. When the queue is full, load samples are dropped, since
// the next one replaces them; outcomes wait for sendTimeout and are then dropped
// and counted.
type owner struct {
	module *Module
	snap   atomic.Pointer[snapshot]
	queue  chan input
	// newestRevision is the newest revision that any peer has reported.
	newestRevision atomic.Uint64

	next         snapshot
	behindSince  time.Time
	tuning       tuning
	table        *pick.Table
	chooser      *pick.Chooser
	budget       *retry.Budget
	refusals     retry.Refusals
	limits       *limit.Limiter
	latency      map[string]*retry.LatencyTracker
	inFlight     map[string]int
	peakOpen     slidingMax
	lastDispatch uint64
	rng          *rand.Rand
	// subset is the subset of upstreams as the control instance sent it.
	// membersVersion and suspectsVersion are the versions of the subset and of
	// the suspects that were applied last.
	subset          []wire.Upstream
	membersVersion  uint64
	suspectsVersion uint64
	// suspects is the list of suspects as the control instance sent it.
	suspects []wire.Suspect
	slo      *slo.Recorder
}

// tuning holds the configuration values that the retry budget and the circuit
// breakers are created with; both are recreated when one changes.
type tuning struct {
	retryShare      float64
	breakerFailures int64
	breakerPause    time.Duration
}

func newOwner(m *Module) (*owner, error) {
	chooser, err := pick.New(m.Choice)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	name := m.instance.ID + "/" + string(wire.NewID())
	o := &owner{
		module: m, queue: make(chan input, inputQueueSize), chooser: chooser,
		table: pick.NewTable(pick.Settings{}), budget: retry.NewBudget(retry.Settings{ResumeShare: resumeShare}),
		limits: limit.NewLimiter(name, m.Limits.Entries), latency: map[string]*retry.LatencyTracker{},
		inFlight: map[string]int{}, rng: rand.New(rand.NewSource(now.UnixNano())),
	}
	o.slo = slo.NewRecorder(now, o.objective)
	o.snap.Store(&snapshot{})
	return o, nil
}

func (o *owner) current() *snapshot { return o.snap.Load() }

// trySend sends an event that a later one replaces. It is dropped if the queue
// is full.
func (o *owner) trySend(e input) {
	select {
	case o.queue <- e:
	default:
		o.module.metrics.samplesDropped.Inc()
	}
}

// send sends an event that no later one replaces. It waits up to sendTimeout.
func (o *owner) send(e input) {
	select {
	case o.queue <- e:
		return
	default:
	}
	t := time.NewTimer(sendTimeout)
	defer t.Stop()
	select {
	case o.queue <- e:
	case <-t.C:
		o.module.metrics.eventsDropped.Inc()
	}
}

// run handles the queue until ctx ends.
func (o *owner) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-o.queue:
			_ = o.confine("event of the entry", func() { e.apply(o, time.Now()) })
		case now := <-tick.C:
			_ = o.confine("periodic work of the entry", func() {
				o.checkBehind(now)
				o.requestLeases(now)
			})
		}
	}
}

// confine runs one step of the owner's goroutine. A panic, for example over what another
// process has sent, must not end all requests.
func (o *owner) confine(step string, f func()) error { return recovery.Run(o.module.log, step, f) }

// publish makes a copy of the state the current snapshot. The entry is ready
// once that contains a configuration.
func (o *owner) publish() {
	s := o.next
	o.snap.Store(&s)
	if s.config != nil {
		o.module.ready.Store(true)
	}
}

// watchUpdate is the reply to a watch. The owner answers with the versions that
// it has after applying it, from which the next watch continues.
type watchUpdate struct {
	reply   *wire.WatchReply
	applied chan<- watchVersions
}

// watchVersions holds the versions of the parts that a watch follows. A version
// of 0 requests the complete part.
type watchVersions struct {
	revision, members, suspects, parts uint64
	// failed is set if a part could not be applied because of a panic.
	failed bool
}

// apply applies the reply. A revision lower than the current one is ignored,
// since a configuration in force never reverts. A panic over one part does not hold
// back the others, or the reply to the goroutine that watches.
func (n watchUpdate) apply(o *owner, now time.Time) {
	r := n.reply
	versions := watchVersions{revision: o.next.revision(), members: o.membersVersion}
	for _, part := range []struct {
		name  string
		apply func()
	}{
		{"configuration", func() { versions.revision = o.applyConfiguration(r, now) }},
		{"members", func() { versions.members = o.applySubset(r) }},
		{"suspects", func() { o.applySuspects(r, now) }},
		{"parts", func() { o.next.parts = o.next.parts.Apply(now, r) }},
	} {
		versions.failed = o.confine(part.name, part.apply) != nil || versions.failed
	}
	versions.suspects, versions.parts = o.suspectsVersion, o.next.parts.Version
	o.checkBehind(now)
	o.publish()
	n.applied <- versions
}

func (o *owner) applySuspects(r *wire.WatchReply, now time.Time) {
	if !r.SuspectsChanged {
		return
	}
	quarantine.SetLocalExpiry(now.UnixMilli(), r.Suspect)
	o.suspects, o.suspectsVersion = quarantine.ApplyReply(o.suspects, r), r.Suspects
	o.next.suspects = indexSuspects(o.suspects)
}

// applyConfiguration applies a complete configuration or a delta. It returns the
// revision, or 0 if the delta does not apply to the current one.
func (o *owner) applyConfiguration(r *wire.WatchReply, now time.Time) uint64 {
	if r.Revision <= o.next.revision() && o.next.config != nil {
		return o.next.revision()
	}
	doc, err := config.ApplyUpdate(o.next.config, r.Config, r.Step)
	if doc == o.next.config && err == nil || err == nil && doc.Revision < o.next.revision() {
		return o.next.revision()
	}
	if err != nil {
		o.module.log.Error("cannot apply the configuration", "revision", r.Revision, "error", err)
		return 0
	}
	o.setConfiguration(doc, now)
	return doc.Revision
}

func (o *owner) setConfiguration(doc *config.Document, now time.Time) {
	o.next.config = doc
	o.applyTuning(doc, now)
	o.module.metrics.revision.Set(int64(doc.Revision))
	o.module.log.Info("configuration in force", "revision", doc.Revision)
}

func (o *owner) applyTuning(doc *config.Document, now time.Time) {
	t := tuning{
		retryShare:      doc.Float("retry.share", config.Scope{}, now),
		breakerFailures: doc.Int("breaker.failures", config.Scope{}, now),
		breakerPause:    doc.Duration("breaker.pause", config.Scope{}, now),
	}
	if t == o.tuning {
		return
	}
	o.tuning = t
	share := t.retryShare
	if share == 0 {
		share = -1 // 0 stands for the default
	}
	o.budget = retry.NewBudget(retry.Settings{Share: share, ResumeShare: resumeShare})
	o.table = pick.NewTable(pick.Settings{Breaker: breaker.Settings{ConsecutiveFailures: int(t.breakerFailures), Pause: t.breakerPause}})
	o.table.SetUpstreams(slices.Collect(maps.Values(o.next.upstreams)))
}

// applySubset applies a complete subset of upstreams or a delta. It returns the
// subset's version, or 0 if the delta does not apply to the current one.
func (o *owner) applySubset(r *wire.WatchReply) uint64 {
	if !r.MembersChanged {
		return o.membersVersion
	}
	list, ok := member.ApplyWatchReply(o.subset, r)
	if !ok {
		o.membersVersion = 0
		return 0
	}
	o.replaceSubset(list)
	o.membersVersion = r.Members
	return o.membersVersion
}

// replaceSubset replaces the subset. An older incarnation of an upstream never
// replaces a newer one.
func (o *owner) replaceSubset(list []wire.Upstream) {
	byID := make(map[string]wire.Upstream, len(list))
	kept := make([]wire.Upstream, 0, len(list))
	for _, u := range list {
		if was, ok := o.next.upstreams[u.ID]; ok && was.Incarnation > u.Incarnation {
			u = was
		}
		byID[u.ID] = u
		kept = append(kept, u)
	}
	o.next.upstreams, o.subset = byID, list
	o.table.SetUpstreams(kept)
	keep := make(map[string]bool, len(kept))
	for _, u := range kept {
		keep[u.Addr] = true
	}
	o.module.pool.retain(keep)
}

// noteRevision records a revision that a peer has reported.
func (o *owner) noteRevision(revision uint64) {
	for old := o.newestRevision.Load(); revision > old; old = o.newestRevision.Load() {
		if o.newestRevision.CompareAndSwap(old, revision) {
			return
		}
	}
}

// checkBehind updates whether the entry refuses requests because it could not
// fetch a newer revision within behindTimeout.
func (o *owner) checkBehind(now time.Time) {
	wasBehind := o.next.behind
	switch {
	case o.next.revision() >= o.newestRevision.Load():
		o.behindSince, o.next.behind = time.Time{}, false
	case o.behindSince.IsZero():
		o.behindSince = now
	default:
		o.next.behind = now.Sub(o.behindSince) >= behindTimeout
	}
	if wasBehind != o.next.behind {
		o.module.log.Warn("configuration behind the newest revision: refusal of requests changed", "revision", o.newestRevision.Load(), "refusing", o.next.behind)
		o.publish()
	}
}

// purpose is what an upstream is chosen for. It determines the budget that
// applies.
type purpose uint8

const (
	firstAttempt purpose = iota
	retryAttempt
	resumeAttempt
	hedgeAttempt
)

// assignment is an attempt's upstream. dispatch and permit relate later events
// of the attempt to the load table and the circuit breaker.
type assignment struct {
	upstream wire.Upstream
	dispatch uint64
	permit   breaker.Permit
	sentAt   time.Time
}

// selection is the owner's answer to a chooseRequest or an attachRequest.
type selection struct {
	assignment
	// wait is the time after which to ask again, set if the resume budget is
	// spent.
	wait time.Duration
	err  *result.Error
}

// chooseRequest asks the owner for an upstream. refused is the attempt whose refusal
// led to the request; nil if none was refused.
type chooseRequest struct {
	request pick.Request
	purpose purpose
	refused *assignment
	reply   chan selection
}

// choose asks the owner for an upstream and waits for the answer.
func (o *owner) choose(ctx context.Context, c chooseRequest) selection {
	c.reply = make(chan selection, 1)
	return o.awaitSelection(ctx, c, c.reply)
}

// awaitSelection waits for a selection. One that arrives after ctx has ended is
// released.
func (o *owner) awaitSelection(ctx context.Context, q input, reply chan selection) selection {
	if s, ok := query(ctx, o, q, reply); ok {
		return s
	}
	go o.releaseUnclaimed(reply)
	err := endedError(ctx)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		err = result.New(result.DeadlineExceeded, "no upstream chosen before the deadline")
	}
	return selection{err: err.WithRan(result.NotRun)}
}

// releaseUnclaimed ends the attempt of a selection whose requester has stopped
// waiting.
func (o *owner) releaseUnclaimed(reply chan selection) {
	select {
	case r := <-reply:
		if r.err == nil && r.wait == 0 {
			o.send(attemptEnded{assignment: r.assignment, outcome: breaker.Abandoned})
		}
	case <-time.After(time.Second):
	}
}

func (c chooseRequest) apply(o *owner, now time.Time) { c.reply <- o.selectUpstream(now, c) }

// selectUpstream applies the budgets and selects an upstream.
func (o *owner) selectUpstream(now time.Time, c chooseRequest) selection {
	open := o.peakOpen.observe(now, int(o.module.openRequests.Load()))
	o.resolveAdapter(&c.request)
	switch c.purpose {
	case firstAttempt:
		o.budget.AddAttempt(now)
	case retryAttempt, hedgeAttempt:
		if !o.hasCandidate(now, &c.request) {
			return selection{err: result.New(result.NoUpstream, "no other upstream can take the request now")}
		}
		if !o.allowRetry(now, c.refused) {
			return selection{err: result.New(result.RetryBudgetSpent, "the retry budget is spent")}
		}
	case resumeAttempt:
		// The budget depends on open requests, not on running attempts: if all
		// attempts are lost at once, the number of running ones is 0 exactly when
		// they have to be resumed.
		if wait, ok := o.budget.AllowResume(now, open); !ok {
			return selection{wait: wait}
		}
	}
	return o.pick(now, &c.request)
}

// allowRetry takes a retry from the budget, unless it replaces an attempt that was
// sent before the entry knew that its upstream refuses work.
func (o *owner) allowRetry(now time.Time, refused *assignment) bool {
	if refused != nil && o.refusals.Unavoidable(now, refused.upstream.ID, refused.sentAt) {
		return true
	}
	return o.budget.AllowRetry(now)
}

// isRefusal reports whether err is the answer of an upstream that takes no work now, so
// that the request has not run.
func isRefusal(err *result.Error) bool {
	return err.Ran == result.NotRun && (err.Code == result.QueueFull || err.Code == result.Leaving)
}

// slidingMax is the maximum of the values observed within the last one to two
// windows. It is used instead of the current number of open requests, with which
// the budget would shrink as short answers end, before the last of those that
// were lost together are resumed.
type slidingMax struct {
	windowStart       time.Time
	current, previous int
}

func (m *slidingMax) observe(now time.Time, n int) int {
	if now.Sub(m.windowStart) >= retry.DefaultWindow {
		m.previous, m.current, m.windowStart = m.current, 0, now
	}
	m.current = max(m.current, n)
	return max(m.current, m.previous)
}

// hasCandidate reports whether any upstream can take the request. It is checked
// first so that a retry without an upstream does not use up the budget.
func (o *owner) hasCandidate(now time.Time, r *pick.Request) bool {
	_, err := o.chooser.Choose(o.rng, r, o.table.Candidates(now, r))
	return err == nil
}

// pick chooses an upstream whose circuit breaker allows an attempt.
func (o *owner) pick(now time.Time, r *pick.Request) selection {
	found, err := o.chooser.Choose(o.rng, r, o.table.Candidates(now, r))
	if err != nil {
		return selection{err: result.From(err)}
	}
	permit, ok := o.table.Breaker(found.Upstream.ID).Allow(now)
	if !ok {
		return selection{err: result.New(result.NoUpstream, "no upstream can take the request now")}
	}
	return selection{assignment: o.recordDispatch(now, found.Upstream, permit, r)}
}

// resolveAdapter looks up the model name among the adapters if no upstream
// serves it as a model.
func (o *owner) resolveAdapter(r *pick.Request) {
	if r.Model == "" || r.Adapter != "" {
		return
	}
	adapter := false
	for _, u := range o.subset {
		if slices.Contains(u.Models, r.Model) {
			return
		}
		adapter = adapter || slices.Contains(u.Adapters, r.Model)
	}
	if adapter {
		r.Model, r.Adapter = "", r.Model
	}
}

// recordDispatch counts an attempt on an upstream and returns its assignment.
func (o *owner) recordDispatch(now time.Time, u wire.Upstream, permit breaker.Permit, r *pick.Request) assignment {
	o.lastDispatch++
	o.table.RequestSent(now, u.ID, o.lastDispatch, r)
	o.inFlight[u.ID]++
	return assignment{upstream: u, dispatch: o.lastDispatch, permit: permit, sentAt: now}
}

// attachRequest asks the owner for a given upstream, to attach to an attempt
// that it holds.
type attachRequest struct {
	id      string
	request pick.Request
	reply   chan selection
}

func (a attachRequest) apply(o *owner, now time.Time) {
	u, ok := o.next.upstreams[a.id]
	if !ok {
		a.reply <- selection{err: result.New(result.GenerationNotHeld, "the agent %s is gone", a.id)}
		return
	}
	permit, _ := o.table.Breaker(a.id).Allow(now)
	a.reply <- selection{assignment: o.recordDispatch(now, u, permit, &a.request)}
}

// attach asks the owner for a given upstream and waits for the answer.
func (o *owner) attach(ctx context.Context, id string, r pick.Request) selection {
	a := attachRequest{id: id, request: r, reply: make(chan selection, 1)}
	return o.awaitSelection(ctx, a, a.reply)
}

// attemptStarted reports that an upstream has started an attempt.
type attemptStarted struct{ assignment }

func (e attemptStarted) apply(o *owner, now time.Time) {
	if b := o.table.Breaker(e.upstream.ID); b != nil {
		b.Record(now, e.permit, breaker.Succeeded)
	}
}

// attemptEnded reports the end of an attempt.
type attemptEnded struct {
	assignment
	outcome breaker.Outcome
}

func (e attemptEnded) apply(o *owner, now time.Time) {
	if e.dispatch == 0 {
		return // the upstream is outside of the subset
	}
	o.table.RequestEnded(now, e.upstream.ID, e.dispatch)
	if b := o.table.Breaker(e.upstream.ID); b != nil {
		b.Record(now, e.permit, e.outcome)
	}
	if o.inFlight[e.upstream.ID]--; o.inFlight[e.upstream.ID] <= 0 {
		delete(o.inFlight, e.upstream.ID)
	}
}

// loadReport reports the load of an agent.
type loadReport struct {
	assignment
	load wire.Load
}

func (e loadReport) apply(o *owner, now time.Time) {
	o.table.ApplyReport(now, e.upstream.ID, e.dispatch, e.load)
}

// callLatency reports the latency of a first attempt of an idempotent call.
type callLatency struct {
	service string
	latency time.Duration
}

func (e callLatency) apply(o *owner, now time.Time) {
	l, ok := o.latency[e.service]
	if !ok {
		l = &retry.LatencyTracker{}
		o.latency[e.service] = l
	}
	l.Observe(now, e.latency)
	o.publishHedgeDelay(e.service, l, now)
}

// publishHedgeDelay updates the delay after which calls of a service are hedged.
func (o *owner) publishHedgeDelay(service string, l *retry.LatencyTracker, now time.Time) {
	delay, ok := l.P95Delay(now)
	if !ok || o.next.hedgeDelay[service] == delay {
		return
	}
	hedge := make(map[string]time.Duration, len(o.next.hedgeDelay)+1)
	for k, v := range o.next.hedgeDelay {
		hedge[k] = v
	}
	hedge[service] = delay
	o.next.hedgeDelay = hedge
	o.publish()
}

// viewsRequest asks the owner for the state of the upstreams that operators see.
type viewsRequest struct{ reply chan []wire.UpstreamView }

func (l viewsRequest) apply(o *owner, now time.Time) {
	var out []wire.UpstreamView
	for _, c := range o.table.Candidates(now, &pick.Request{}) {
		out = append(out, wire.UpstreamView{
			ID: c.ID, State: c.State, Breaker: o.table.Breaker(c.ID).State(now).String(),
			InFlight: o.inFlight[c.ID], Load: c.Load,
		})
	}
	l.reply <- out
}
