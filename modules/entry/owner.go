package entry

import (
	"context"
	"maps"
	"math/rand"
	"slices"
	"sync/atomic"
	"time"

	"heatherway.dev/core/breaker"
	"heatherway.dev/core/config"
	"heatherway.dev/core/limit"
	"heatherway.dev/core/member"
	"heatherway.dev/core/pick"
	"heatherway.dev/core/quarantine"
	"heatherway.dev/core/retry"
	"heatherway.dev/core/slo"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// Size and patience of the owner's queue.
const (
	inputQueueSize = 4096
	// sendTimeout bounds how long a sender waits to report an outcome.
	sendTimeout = 50 * time.Millisecond
	// tickInterval is how often lease requests are made.
	tickInterval = 100 * time.Millisecond
	// behindTimeout is how long a newer revision may be known but not fetched.
	behindTimeout = 5 * time.Second
	// resumeShare is how many resumes each open request earns in the budget's
	// window of 10 s. With one, generations that lose a second upstream within
	// the window would wait for its end.
	resumeShare = 3
)

// input is what the owner's goroutine takes from its queue.
type input interface{ apply(o *owner, now time.Time) }

// owner holds the control state of the entry in one goroutine: upstreams with
// their load and circuit breakers, retry budget and rate limits. Traffic reads
// snapshots, asks for decisions that change the state, and sends events. A
// full queue drops load samples, since the next one replaces them; outcomes
// wait for eventPatience and are then counted as lost.
type owner struct {
	m     *Module
	snap  atomic.Pointer[snapshot]
	queue chan input
	// newestRevision is the newest revision that any peer has shown.
	newestRevision atomic.Uint64

	next         snapshot
	behindSince  time.Time
	tuning       tuning
	table        *pick.Table
	chooser      *pick.Chooser
	budget       *retry.Budget
	limits       *limit.Limiter
	latency      map[string]*retry.LatencyTracker
	inFlight     map[string]int
	peakOpen     slidingMax
	lastDispatch uint64
	rng          *rand.Rand
	// subset is the subset as control sent it; membersAt and suspectsAt are the
	// versions of what was taken last.
	subset          []wire.Upstream
	membersVersion  uint64
	suspectsVersion uint64
	// suspects is the quarantine list as control sent it.
	suspects []wire.Suspect
	slo      *slo.Recorder
}

// tuning is the part of the configuration that the decision packages are made
// with; a change of it makes them anew.
type tuning struct {
	share    float64
	failures int64
	pause    time.Duration
}

func newOwner(m *Module) (*owner, error) {
	chooser, err := pick.New(m.Choice)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	name := m.instance.ID + "/" + string(wire.NewID())
	o := &owner{
		m: m, queue: make(chan input, inputQueueSize), chooser: chooser,
		table: pick.NewTable(pick.Settings{}), budget: retry.NewBudget(retry.Settings{ResumeShare: resumeShare}),
		limits: limit.NewLimiter(name, m.Limits.Entries), latency: map[string]*retry.LatencyTracker{},
		inFlight: map[string]int{}, rng: rand.New(rand.NewSource(now.UnixNano())),
	}
	o.slo = slo.NewRecorder(now, o.objective)
	o.snap.Store(&snapshot{})
	return o, nil
}

func (o *owner) current() *snapshot { return o.snap.Load() }

// trySend reports something that a later report replaces.
func (o *owner) trySend(e input) {
	select {
	case o.queue <- e:
	default:
		o.m.metrics.samplesDropped.Inc()
	}
}

// send reports an outcome.
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
		o.m.metrics.eventsDropped.Inc()
	}
}

func (o *owner) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-o.queue:
			e.apply(o, time.Now())
		case now := <-tick.C:
			o.checkBehind(now)
			o.requestLeases(now)
		}
	}
}

// publish hands out a copy of the state that traffic reads.
func (o *owner) publish() {
	s := o.next
	o.snap.Store(&s)
	if s.doc != nil {
		o.m.ready.Store(true)
	}
}

// watchUpdate is the answer of a watch. The owner answers with the versions that it
// has afterwards, from which the watch goes on.
type watchUpdate struct {
	reply   *wire.WatchReply
	applied chan<- watchVersions
}

// watchVersions are those of the parts that a watch follows. A version of zero asks
// for the whole part.
type watchVersions struct{ revision, members, suspects uint64 }

// apply takes the news. A revision lower than the current one is ignored,
// since an accepted configuration never reverts.
func (n watchUpdate) apply(o *owner, now time.Time) {
	r := n.reply
	versions := watchVersions{revision: o.applyConfiguration(r, now), members: o.applySubset(r)}
	if r.SuspectsChanged {
		quarantine.SetLocalExpiry(now.UnixMilli(), r.Suspect)
		o.suspects, o.suspectsVersion = quarantine.ApplyReply(o.suspects, r), r.Suspects
		o.next.suspects = indexSuspects(o.suspects)
	}
	versions.suspects = o.suspectsVersion
	o.checkBehind(now)
	o.publish()
	n.applied <- versions
}

// applyConfiguration takes a whole document or the step to it. It returns 0 when
// the step does not fit.
func (o *owner) applyConfiguration(r *wire.WatchReply, now time.Time) uint64 {
	if r.Revision <= o.next.revision() && o.next.doc != nil {
		return o.next.revision()
	}
	doc, err := config.ApplyUpdate(o.next.doc, r.Config, r.Step)
	if doc == o.next.doc && err == nil || err == nil && doc.Revision < o.next.revision() {
		return o.next.revision()
	}
	if err != nil {
		o.m.log.Error("cannot take the configuration", "revision", r.Revision, "error", err)
		return 0
	}
	o.setConfiguration(doc, now)
	return doc.Revision
}

func (o *owner) setConfiguration(doc *config.Document, now time.Time) {
	o.next.doc = doc
	o.applyTuning(doc, now)
	o.m.metrics.revision.Set(int64(doc.Revision))
	o.m.log.Info("configuration in force", "revision", doc.Revision)
}

func (o *owner) applyTuning(doc *config.Document, now time.Time) {
	t := tuning{
		share:    doc.Float("retry.share", config.Scope{}, now),
		failures: doc.Int("breaker.failures", config.Scope{}, now),
		pause:    doc.Duration("breaker.pause", config.Scope{}, now),
	}
	if t == o.tuning {
		return
	}
	o.tuning = t
	share := t.share
	if share == 0 {
		share = -1 // a zero field would mean the default
	}
	o.budget = retry.NewBudget(retry.Settings{Share: share, ResumeShare: resumeShare})
	o.table = pick.NewTable(pick.Settings{Breaker: breaker.Settings{ConsecutiveFailures: int(t.failures), Pause: t.pause}})
	o.table.SetUpstreams(slices.Collect(maps.Values(o.next.upstreams)))
}

// applySubset takes a whole subset or the difference to it, and returns its
// version, or 0 when the difference does not fit.
func (o *owner) applySubset(r *wire.WatchReply) uint64 {
	if !r.MembersChanged {
		return o.membersVersion
	}
	list, ok := member.ApplyWatchReply(o.subset, r)
	if !ok {
		o.membersVersion = 0
		return 0
	}
	o.membersVersion = r.Members
	o.replaceSubset(list)
	return o.membersVersion
}

// replaceSubset replaces the subset. An older incarnation never replaces a
// newer one.
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
	o.m.pool.retain(keep)
}

// noteRevision notes the newest revision that a peer knows.
func (o *owner) noteRevision(revision uint64) {
	for old := o.newestRevision.Load(); revision > old; old = o.newestRevision.Load() {
		if o.newestRevision.CompareAndSwap(old, revision) {
			return
		}
	}
}

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
		o.m.log.Warn("newer configuration known", "revision", o.newestRevision.Load(), "refusing", o.next.behind)
		o.publish()
	}
}

// purpose tells what a choice is for, which decides the budget it draws on.
type purpose uint8

const (
	firstAttempt purpose = iota
	retryAttempt
	resumeAttempt
	hedgeAttempt
)

// assignment ties what happens to an attempt to the choice that was made for it.
type assignment struct {
	upstream wire.Upstream
	dispatch uint64
	permit   breaker.Permit
}

// selection is the owner's answer to a choose.
type selection struct {
	assignment
	// wait asks to come back later, since the resume budget is spent.
	wait time.Duration
	err  *result.Error
}

// chooseRequest asks for an upstream.
type chooseRequest struct {
	request pick.Request
	purpose purpose
	reply   chan selection
}

// choose gets an upstream from the owner.
func (o *owner) choose(ctx context.Context, c chooseRequest) selection {
	c.reply = make(chan selection, 1)
	return o.awaitSelection(ctx, c, c.reply)
}

// awaitSelection waits for a selection; one that comes too late is given back.
func (o *owner) awaitSelection(ctx context.Context, question input, reply chan selection) selection {
	if s, ok := query(ctx, o, question, reply); ok {
		return s
	}
	go o.releaseUnclaimed(reply)
	return selection{err: result.New(result.CallerGone, "the request ended").WithRan(result.NotRun)}
}

// releaseUnclaimed ends the attempt of a choice that nobody waits for any more.
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

func (o *owner) selectUpstream(now time.Time, c chooseRequest) selection {
	open := o.peakOpen.observe(now, int(o.m.openRequests.Load()))
	o.resolveAdapter(&c.request)
	switch c.purpose {
	case firstAttempt:
		o.budget.AddAttempt(now)
	case retryAttempt, hedgeAttempt:
		if !o.hasCandidate(now, &c.request) {
			return selection{err: result.New(result.NoUpstream, "no other upstream can take the request now")}
		}
		if !o.budget.AllowRetry(now) {
			return selection{err: result.New(result.RetryBudgetSpent, "the retry budget is spent")}
		}
	case resumeAttempt:
		// Open requests are counted, not running attempts: when all attempts are
		// lost at once, their number is 0 just when it matters.
		if wait, ok := o.budget.AllowResume(now, open); !ok {
			return selection{wait: wait}
		}
	}
	return o.pick(now, &c.request)
}

// slidingMax is the highest of the values seen within the last one to two windows.
// The current number of open requests would take the budget away from the last
// of many short answers that were resumed together.
type slidingMax struct {
	windowStart       time.Time
	current, previous int
}

func (p *slidingMax) observe(now time.Time, n int) int {
	if now.Sub(p.windowStart) >= retry.DefaultWindow {
		p.previous, p.current, p.windowStart = p.current, 0, now
	}
	p.current = max(p.current, n)
	return max(p.current, p.previous)
}

// hasCandidate keeps a retry that has nowhere to go from using up the budget.
func (o *owner) hasCandidate(now time.Time, r *pick.Request) bool {
	_, err := o.chooser.Choose(o.rng, r, o.table.Candidates(now, r))
	return err == nil
}

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

// resolveAdapter finds a model name among the adapters when no upstream serves
// it as a model.
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

func (o *owner) recordDispatch(now time.Time, u wire.Upstream, permit breaker.Permit, r *pick.Request) assignment {
	o.lastDispatch++
	o.table.RequestSent(now, u.ID, o.lastDispatch, r)
	o.inFlight[u.ID]++
	return assignment{upstream: u, dispatch: o.lastDispatch, permit: permit}
}

// attachRequest asks to open a connection to one upstream.
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

func (o *owner) attach(ctx context.Context, id string, r pick.Request) selection {
	a := attachRequest{id: id, request: r, reply: make(chan selection, 1)}
	return o.awaitSelection(ctx, a, a.reply)
}

// attemptStarted reports that an upstream runs an attempt.
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
		return // an upstream outside of the subset
	}
	o.table.RequestEnded(now, e.upstream.ID, e.dispatch)
	if b := o.table.Breaker(e.upstream.ID); b != nil {
		b.Record(now, e.permit, e.outcome)
	}
	if o.inFlight[e.upstream.ID]--; o.inFlight[e.upstream.ID] <= 0 {
		delete(o.inFlight, e.upstream.ID)
	}
}

// loadReport carries an agent's load.
type loadReport struct {
	assignment
	load wire.Load
}

func (e loadReport) apply(o *owner, now time.Time) {
	o.table.ApplyReport(now, e.upstream.ID, e.dispatch, e.load)
}

// callLatency reports the latency of a first attempt of an idempotent lookup.
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

// publishHedgeDelay updates the delay after which a lookup is hedged.
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

// viewsRequest asks for the state shown to operators.
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
