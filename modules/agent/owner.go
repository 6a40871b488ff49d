package agent

import (
	"context"
	"math/rand"
	"time"

	"heatherway.dev/core/admission"
	"heatherway.dev/core/config"
	"heatherway.dev/core/signal"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

const (
	// tickInterval is how often the queue is updated when there are no events.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is how often the limits of Retention are enforced.
	sweepInterval = time.Second
	// maxConfigLag is how long the agent accepts work after it has learned of a
	// newer configuration revision that it cannot fetch.
	maxConfigLag = 5 * time.Second
)

// event is a change to the owner's state. Only the owner's goroutine calls apply.
type event interface{ apply(o *owner, now time.Time) }

// snapshot is the part of the owner's state that other goroutines read without an
// event.
type snapshot struct {
	load     wire.Load
	revision uint64
	// latestRevision is the newest revision that a peer has reported.
	latestRevision uint64
	up             bool
	crashes        uint64
	// upstreamLeaving and backoffUntil are the upstream's latest signals.
	upstreamLeaving bool
	backoffUntil    time.Time
	// limited is set if the upstream has named a limit.
	limited bool
}

// owner holds the agent's mutable state. Its loop applies all changes, in one
// goroutine.
type owner struct {
	a              *Agent
	queue          *admission.Queue
	tasks          map[uint64]*task
	lastTask       uint64
	generations    map[wire.ID]*generation
	leaving        bool
	upstreamSignal signal.Upstream // signals of the upstream's current incarnation
	queueClosed    bool            // the queue accepts no requests
	up             bool
	crashes        uint64          // of the upstream, during this incarnation of the agent
	crashReported  <-chan struct{} // closed once control has accepted the report of the last crash
	revision       uint64
	latestRevision uint64    // the newest configuration revision known to exist
	behindSince    time.Time // since when latestRevision is ahead of revision; zero if it is not
	suspects       map[string]wire.Suspect
	probation      probation
	nextSweep      time.Time
	dirty          bool
}

func newOwner(a *Agent, now time.Time) *owner {
	o := &owner{
		a:           a,
		tasks:       map[uint64]*task{},
		generations: map[wire.ID]*generation{},
		suspects:    map[string]wire.Suspect{},
		up:          true,
	}
	o.queue = admission.New(now, o.settings(&config.Document{}, now), rand.New(rand.NewSource(int64(a.incarnation))))
	return o
}

func (o *owner) settings(d *config.Document, now time.Time) admission.Settings {
	info := o.a.upstream.Info()
	at := config.Scope{Upstream: o.a.instance.ID, Zone: o.a.instance.Zone}
	if len(info.Models) > 0 {
		at.Model = info.Models[0]
	}
	s := admission.Settings{Slots: info.Slots, QueueLimit: int(d.Int("queue.limit", at, now))}
	for _, c := range wire.Classes() {
		s.Floors[c] = d.Float("class."+c.String()+".floor", at, now)
	}
	return s
}

func (o *owner) loop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case ev := <-o.a.events:
			ev.apply(o, time.Now())
		case now := <-tick.C:
			o.updateQueueState(now) // a backoff may have ended
			o.decide(now, o.queue.Tick(now))
			o.sweep(now)
			o.dirty = true
		case <-ctx.Done():
			return
		}
		if o.dirty {
			o.publish(time.Now())
		}
	}
}

// publish replaces the snapshot and updates the gauges.
func (o *owner) publish(now time.Time) {
	o.dirty = false
	s := &snapshot{load: o.queue.Load(now), revision: o.revision, latestRevision: o.latestRevision, up: o.up, crashes: o.crashes}
	s.load.Leaving = o.leaving || o.upstreamSignal.Leaving
	s.upstreamLeaving, s.backoffUntil = o.upstreamSignal.Leaving, now.Add(o.upstreamSignal.Remaining(now))
	_, s.limited = o.queue.Limit()
	o.a.snapshot.Store(s)
	var queued uint32
	for _, n := range s.load.Queued {
		queued += n
	}
	o.a.metrics.queued.Set(int64(queued))
	o.a.metrics.slotsUsed.Set(int64(s.load.Running))
}

// post sends an event to the owner. It returns false once the agent has
// stopped.
func (a *Agent) post(ev event) bool {
	select {
	case a.events <- ev:
		return true
	case <-a.baseCtx.Done():
		return false
	}
}

// ask posts an event and waits for its reply. It returns false if the agent stops
// before the reply.
func ask[T any](a *Agent, ev event, reply <-chan T) (T, bool) {
	var zero T
	if !a.post(ev) {
		return zero, false
	}
	select {
	case v := <-reply:
		return v, true
	case <-a.baseCtx.Done():
		return zero, false
	}
}

// task is one request in the queue or in a slot.
type task struct {
	id              uint64
	fingerprint     string
	permit          wire.ID
	generation      *generation // nil for a service call
	admissionResult chan admissionResult
	// preempt stops the run of a preemptible task; nil for a service call.
	preempt func()
	running bool
	// started is when the task got its slot. disconnected is set once its connection
	// to the upstream has broken.
	started      time.Time
	disconnected bool
}

// suspect reports whether the task starts in probation.
func (t *task) suspect() bool { return t.permit != "" }

// admissionResult is nil when the task may run, and otherwise the refusal.
type admissionResult = *result.Error

// admit submits a task to the queue. The result follows on t.admissionResult.
func (o *owner) admit(now time.Time, t *task, r admission.Request) {
	o.lastTask++
	t.id, r.ID = o.lastTask, o.lastTask
	o.tasks[t.id] = t
	o.decide(now, o.queue.Submit(now, r))
	o.dirty = true
}

// decide carries out the decisions of the queue.
func (o *owner) decide(now time.Time, list []admission.Decision) {
	var refused, blocked []*task
	for _, d := range list {
		t := o.tasks[d.ID]
		switch d.Action {
		case admission.Run:
			t.running, t.started = true, now
			// The request may have become a suspect while it was queued.
			if err := o.checkSuspect(t.fingerprint, t.permit); err != nil {
				t.admissionResult <- result.From(err)
				blocked = append(blocked, t)
				continue
			}
			t.admissionResult <- nil
		case admission.Refuse:
			delete(o.tasks, d.ID)
			refused = append(refused, t)
			o.a.metrics.refused.Inc()
			t.admissionResult <- result.New(d.Code, "the upstream's queue does not take the request").After(d.RetryAfter)
		case admission.Preempt:
			o.a.metrics.preempted.Inc()
			t.preempt()
		}
		o.dirty = true
	}
	// These steps call the queue again, which invalidates the list.
	for _, t := range refused {
		o.endProbation(now, t)
	}
	for _, t := range blocked {
		taskDoneEvent{t, 0}.apply(o, now)
	}
}

// checkAccepting returns nil if the agent accepts the request, and otherwise the
// reason for its refusal.
func (o *owner) checkAccepting(now time.Time, revision uint64, fingerprint string, permit wire.ID) error {
	o.noteRevision(now, revision)
	o.updateQueueState(now)
	switch {
	case o.leaving:
		return result.New(result.Leaving, "the agent is leaving")
	case o.upstreamSignal.Leaving:
		return result.New(result.Leaving, "the upstream is leaving")
	case o.upstreamSignal.Remaining(now) > 0:
		return result.New(result.QueueFull, "the upstream wants no requests now").After(o.upstreamSignal.Remaining(now))
	case !o.up:
		return result.New(result.UpstreamNotReachable, "the upstream is down")
	case o.revision == 0 && len(o.a.Control) > 0:
		// The built-in defaults may be older than the configuration that applies.
		return result.New(result.ConfigurationBehind, "the agent has no configuration yet")
	case !o.behindSince.IsZero() && now.Sub(o.behindSince) > maxConfigLag:
		return result.New(result.ConfigurationBehind, "revision %d is known and cannot be fetched", o.latestRevision)
	}
	return o.checkSuspect(fingerprint, permit)
}

// noteRevision records a configuration revision that a peer knows. If the agent falls
// behind with it, the current watch is ended and another one fetches the revision.
func (o *owner) noteRevision(now time.Time, revision uint64) {
	if revision <= o.latestRevision {
		return
	}
	o.latestRevision, o.dirty = revision, true
	if o.latestRevision > o.revision && o.behindSince.IsZero() {
		o.behindSince = now
		o.a.control.watchNow()
	}
}

// unknownRevisionEvent drops a revision that a peer had reported, since a quorum of the
// control instances knows only older ones. Otherwise one false report would make the agent
// refuse work for ever.
type unknownRevisionEvent struct{ reported, known uint64 }

func (e unknownRevisionEvent) apply(o *owner, _ time.Time) {
	if o.latestRevision != e.reported || e.reported <= e.known {
		return
	}
	o.a.log.Warn("a peer has reported a revision of the configuration that does not exist", "reported", e.reported, "newest", e.known)
	o.latestRevision, o.dirty = max(o.revision, e.known), true
	if o.latestRevision == o.revision {
		o.behindSince = time.Time{}
	}
}

// endedQuarantineRetry is the Retry-After once the time of a quarantine is over. The control instances
// say with the next watch that it has ended.
const endedQuarantineRetry = 500 * time.Millisecond

// checkSuspect returns an error if the request is quarantined, or suspected of a
// crash and without a permit.
func (o *owner) checkSuspect(fingerprint string, permit wire.ID) error {
	s, ok := o.suspects[fingerprint]
	switch {
	case !ok:
		return nil
	case s.Quarantined:
		left := time.Until(time.UnixMilli(s.UntilMS))
		return result.New(result.Quarantined, "the request is in quarantine").After(max(left, endedQuarantineRetry))
	case permit == "":
		return result.New(result.SuspectBusy, "the request is suspected of a crash and has no permit")
	}
	return nil
}

// taskDoneEvent frees the slot of a task that has ended.
type taskDoneEvent struct {
	t      *task
	tokens float64
}

func (e taskDoneEvent) apply(o *owner, now time.Time) {
	delete(o.tasks, e.t.id)
	o.decide(now, o.queue.Finish(now, e.t.id, e.tokens))
	o.endProbation(now, e.t)
	o.dirty = true
}

// taskCancelledEvent withdraws a task. A task that is still queued gets no admission
// result.
type taskCancelledEvent struct{ t *task }

func (e taskCancelledEvent) apply(o *owner, now time.Time) {
	if o.tasks[e.t.id] != e.t {
		o.endProbation(now, e.t)
		return
	}
	if !o.queue.Cancel(now, e.t.id) {
		o.decide(now, o.queue.Finish(now, e.t.id, 0))
	}
	delete(o.tasks, e.t.id)
	o.endProbation(now, e.t)
	o.dirty = true
}

type drainEvent struct {
	leave bool
	done  chan struct{}
}

func (e drainEvent) apply(o *owner, now time.Time) {
	o.leaving = e.leave
	o.updateQueueState(now)
	o.publish(now)
	e.done <- struct{}{}
}

// configEvent applies a new configuration.
type configEvent struct {
	revision uint64
	document *config.Document
}

func (e configEvent) apply(o *owner, now time.Time) {
	if e.revision < o.revision {
		return
	}
	first := o.revision == 0
	o.revision = e.revision
	o.latestRevision = max(o.latestRevision, e.revision)
	if o.latestRevision == o.revision {
		o.behindSince = time.Time{}
	} else {
		o.a.control.watchNow()
	}
	if e.document != nil {
		o.decide(now, o.queue.Configure(now, o.settings(e.document, now)))
	}
	o.dirty = true
	if first {
		o.publish(now)
		o.a.control.announceNow() // from now on describe reports the upstream as up
	}
}

// suspectsEvent replaces the list of suspects.
type suspectsEvent struct{ list []wire.Suspect }

func (e suspectsEvent) apply(o *owner, now time.Time) {
	o.suspects = make(map[string]wire.Suspect, len(e.list))
	for _, s := range e.list {
		o.suspects[s.Fingerprint] = s
	}
}
