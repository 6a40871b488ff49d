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
	eventQueue = 4096
	// eventPatience bounds how long a sender waits to report an outcome.
	eventPatience = 50 * time.Millisecond
	// ownerTick is how often lease requests are made.
	ownerTick = 100 * time.Millisecond
	// behindLimit is how long a newer revision may be known but not fetched.
	behindLimit = 5 * time.Second
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
	// newest is the newest revision that any peer has shown.
	newest atomic.Uint64

	next       snapshot
	newerSince time.Time
	tuned      tuning
	table      *pick.Table
	chooser    *pick.Chooser
	budget     *retry.Budget
	limits     *limit.Limiter
	latency    map[string]*retry.LatencyTracker
	inFlight   map[string]int
	peak       peak
	number     uint64
	rng        *rand.Rand
	// list is the subset as control sent it; membersAt and suspectsAt are the
	// versions of what was taken last.
	list       []wire.Upstream
	membersAt  uint64
	suspectsAt uint64
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
		m: m, queue: make(chan input, eventQueue), chooser: chooser,
		table: pick.NewTable(pick.Settings{}), budget: retry.NewBudget(retry.Settings{ResumeShare: resumeShare}),
		limits: limit.NewLimiter(name, m.Limits.Entries), latency: map[string]*retry.LatencyTracker{},
		inFlight: map[string]int{}, rng: rand.New(rand.NewSource(now.UnixNano())),
	}
	o.slo = slo.NewRecorder(now, o.objective)
	o.snap.Store(&snapshot{})
	return o, nil
}

func (o *owner) current() *snapshot { return o.snap.Load() }

// sample reports something that a later report replaces.
func (o *owner) sample(e input) {
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
	t := time.NewTimer(eventPatience)
	defer t.Stop()
	select {
	case o.queue <- e:
	case <-t.C:
		o.m.metrics.eventsDropped.Inc()
	}
}

func (o *owner) run(ctx context.Context) {
	tick := time.NewTicker(ownerTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-o.queue:
			e.apply(o, time.Now())
		case now := <-tick.C:
			o.checkBehind(now)
			o.askLeases(now)
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

// news is the answer of a watch. The owner answers with the versions that it
// has afterwards, from which the watch goes on.
type news struct {
	reply *wire.WatchReply
	taken chan<- versions
}

// versions are those of the parts that a watch follows. A version of zero asks
// for the whole part.
type versions struct{ revision, members, suspects uint64 }

// apply takes the news. A revision lower than the current one is ignored,
// since an accepted configuration never reverts.
func (n news) apply(o *owner, now time.Time) {
	r := n.reply
	v := versions{revision: o.learnRevision(r, now), members: o.learnSubset(r)}
	if r.SuspectsChanged {
		quarantine.SetLocalExpiry(now.UnixMilli(), r.Suspect)
		o.suspects, o.suspectsAt = quarantine.ApplyReply(o.suspects, r), r.Suspects
		o.next.suspects = suspectIndex(o.suspects)
	}
	v.suspects = o.suspectsAt
	o.checkBehind(now)
	o.publish()
	n.taken <- v
}

// learnRevision takes a whole document or the step to it. It returns 0 when
// the step does not fit.
func (o *owner) learnRevision(r *wire.WatchReply, now time.Time) uint64 {
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
	o.inForce(doc, now)
	return doc.Revision
}

func (o *owner) inForce(doc *config.Document, now time.Time) {
	o.next.doc = doc
	o.tune(doc, now)
	o.m.metrics.revision.Set(int64(doc.Revision))
	o.m.log.Info("configuration in force", "revision", doc.Revision)
}

func (o *owner) tune(doc *config.Document, now time.Time) {
	t := tuning{
		share:    doc.Float("retry.share", config.Scope{}, now),
		failures: doc.Int("breaker.failures", config.Scope{}, now),
		pause:    doc.Duration("breaker.pause", config.Scope{}, now),
	}
	if t == o.tuned {
		return
	}
	o.tuned = t
	share := t.share
	if share == 0 {
		share = -1 // a zero field would mean the default
	}
	o.budget = retry.NewBudget(retry.Settings{Share: share, ResumeShare: resumeShare})
	o.table = pick.NewTable(pick.Settings{Breaker: breaker.Settings{ConsecutiveFailures: int(t.failures), Pause: t.pause}})
	o.table.SetUpstreams(slices.Collect(maps.Values(o.next.upstreams)))
}

// learnSubset takes a whole subset or the difference to it, and returns its
// version, or 0 when the difference does not fit.
func (o *owner) learnSubset(r *wire.WatchReply) uint64 {
	if !r.MembersChanged {
		return o.membersAt
	}
	list, fits := member.ApplyWatchReply(o.list, r)
	if !fits {
		o.membersAt = 0
		return 0
	}
	o.membersAt = r.Members
	o.learnMembers(list)
	return o.membersAt
}

// learnMembers replaces the subset. An older incarnation never replaces a
// newer one.
func (o *owner) learnMembers(list []wire.Upstream) {
	byID := make(map[string]wire.Upstream, len(list))
	kept := make([]wire.Upstream, 0, len(list))
	for _, u := range list {
		if was, ok := o.next.upstreams[u.ID]; ok && was.Incarnation > u.Incarnation {
			u = was
		}
		byID[u.ID] = u
		kept = append(kept, u)
	}
	o.next.upstreams, o.list = byID, list
	o.table.SetUpstreams(kept)
	keep := make(map[string]bool, len(kept))
	for _, u := range kept {
		keep[u.Addr] = true
	}
	o.m.agents.forget(keep)
}

// seen notes the newest revision that a peer knows.
func (o *owner) seen(revision uint64) {
	for old := o.newest.Load(); revision > old; old = o.newest.Load() {
		if o.newest.CompareAndSwap(old, revision) {
			return
		}
	}
}

func (o *owner) checkBehind(now time.Time) {
	was := o.next.behind
	switch {
	case o.next.revision() >= o.newest.Load():
		o.newerSince, o.next.behind = time.Time{}, false
	case o.newerSince.IsZero():
		o.newerSince = now
	default:
		o.next.behind = now.Sub(o.newerSince) >= behindLimit
	}
	if was != o.next.behind {
		o.m.log.Warn("newer configuration known", "revision", o.newest.Load(), "refusing", o.next.behind)
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

// ticket ties what happens to an attempt to the choice that was made for it.
type ticket struct {
	upstream wire.Upstream
	number   uint64
	permit   breaker.Permit
}

// selection is the owner's answer to a choose.
type selection struct {
	ticket
	// wait asks to come back later, since the resume budget is spent.
	wait time.Duration
	err  *result.Error
}

// choose asks for an upstream.
type choose struct {
	request pick.Request
	purpose purpose
	reply   chan selection
}

// choose gets an upstream from the owner.
func (o *owner) choose(ctx context.Context, c choose) selection {
	c.reply = make(chan selection, 1)
	return o.selected(ctx, c, c.reply)
}

// selected waits for a selection; one that comes too late is given back.
func (o *owner) selected(ctx context.Context, question input, reply chan selection) selection {
	if s, ok := ask(ctx, o, question, reply); ok {
		return s
	}
	go o.settleChoice(reply)
	return selection{err: result.New(result.CallerGone, "the request ended").WithRan(result.NotRun)}
}

// settleChoice ends the attempt of a choice that nobody waits for any more.
func (o *owner) settleChoice(reply chan selection) {
	select {
	case r := <-reply:
		if r.err == nil && r.wait == 0 {
			o.send(ended{ticket: r.ticket, outcome: breaker.Abandoned})
		}
	case <-time.After(time.Second):
	}
}

func (c choose) apply(o *owner, now time.Time) { c.reply <- o.decide(now, c) }

func (o *owner) decide(now time.Time, c choose) selection {
	open := o.peak.see(now, int(o.m.open.Load()))
	o.resolveAdapter(&c.request)
	switch c.purpose {
	case firstAttempt:
		o.budget.AddAttempt(now)
	case retryAttempt, hedgeAttempt:
		if !o.mayChoose(now, &c.request) {
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

// peak is the highest of the values seen within the last one to two windows.
// The current number of open requests would take the budget away from the last
// of many short answers that were resumed together.
type peak struct {
	since        time.Time
	high, before int
}

func (p *peak) see(now time.Time, n int) int {
	if now.Sub(p.since) >= retry.DefaultWindow {
		p.before, p.high, p.since = p.high, 0, now
	}
	p.high = max(p.high, n)
	return max(p.high, p.before)
}

// mayChoose keeps a retry that has nowhere to go from using up the budget.
func (o *owner) mayChoose(now time.Time, r *pick.Request) bool {
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
	return selection{ticket: o.dispatch(now, found.Upstream, permit, r)}
}

// resolveAdapter finds a model name among the adapters when no upstream serves
// it as a model.
func (o *owner) resolveAdapter(r *pick.Request) {
	if r.Model == "" || r.Adapter != "" {
		return
	}
	adapter := false
	for _, u := range o.list {
		if slices.Contains(u.Models, r.Model) {
			return
		}
		adapter = adapter || slices.Contains(u.Adapters, r.Model)
	}
	if adapter {
		r.Model, r.Adapter = "", r.Model
	}
}

func (o *owner) dispatch(now time.Time, u wire.Upstream, permit breaker.Permit, r *pick.Request) ticket {
	o.number++
	o.table.RequestSent(now, u.ID, o.number, r)
	o.inFlight[u.ID]++
	return ticket{upstream: u, number: o.number, permit: permit}
}

// attachTo asks to open a connection to one upstream.
type attachTo struct {
	id      string
	request pick.Request
	reply   chan selection
}

func (a attachTo) apply(o *owner, now time.Time) {
	u, ok := o.next.upstreams[a.id]
	if !ok {
		a.reply <- selection{err: result.New(result.GenerationNotHeld, "the agent %s is gone", a.id)}
		return
	}
	permit, _ := o.table.Breaker(a.id).Allow(now)
	a.reply <- selection{ticket: o.dispatch(now, u, permit, &a.request)}
}

func (o *owner) attach(ctx context.Context, id string, r pick.Request) selection {
	a := attachTo{id: id, request: r, reply: make(chan selection, 1)}
	return o.selected(ctx, a, a.reply)
}

// began reports that an upstream runs an attempt.
type began struct{ ticket }

func (e began) apply(o *owner, now time.Time) {
	if b := o.table.Breaker(e.upstream.ID); b != nil {
		b.Record(now, e.permit, breaker.Succeeded)
	}
}

// ended reports the end of an attempt.
type ended struct {
	ticket
	outcome breaker.Outcome
}

func (e ended) apply(o *owner, now time.Time) {
	if e.number == 0 {
		return // an upstream outside of the subset
	}
	o.table.RequestEnded(now, e.upstream.ID, e.number)
	if b := o.table.Breaker(e.upstream.ID); b != nil {
		b.Record(now, e.permit, e.outcome)
	}
	if o.inFlight[e.upstream.ID]--; o.inFlight[e.upstream.ID] <= 0 {
		delete(o.inFlight, e.upstream.ID)
	}
}

// report carries an agent's load.
type report struct {
	ticket
	load wire.Load
}

func (e report) apply(o *owner, now time.Time) {
	o.table.ApplyReport(now, e.upstream.ID, e.number, e.load)
}

// took reports the latency of a first attempt of an idempotent lookup.
type took struct {
	service string
	latency time.Duration
}

func (e took) apply(o *owner, now time.Time) {
	l, ok := o.latency[e.service]
	if !ok {
		l = &retry.LatencyTracker{}
		o.latency[e.service] = l
	}
	l.Observe(now, e.latency)
	o.publishHedge(e.service, l, now)
}

// publishHedge updates the delay after which a lookup is hedged.
func (o *owner) publishHedge(service string, l *retry.LatencyTracker, now time.Time) {
	delay, ok := l.P95Delay(now)
	if !ok || o.next.hedge[service] == delay {
		return
	}
	hedge := make(map[string]time.Duration, len(o.next.hedge)+1)
	for k, v := range o.next.hedge {
		hedge[k] = v
	}
	hedge[service] = delay
	o.next.hedge = hedge
	o.publish()
}

// look asks for the state shown to operators.
type look struct{ reply chan []wire.UpstreamView }

func (l look) apply(o *owner, now time.Time) {
	var out []wire.UpstreamView
	for _, c := range o.table.Candidates(now, &pick.Request{}) {
		out = append(out, wire.UpstreamView{
			ID: c.ID, State: c.State, Breaker: o.table.Breaker(c.ID).State(now).String(),
			InFlight: o.inFlight[c.ID], Load: c.Load,
		})
	}
	l.reply <- out
}
