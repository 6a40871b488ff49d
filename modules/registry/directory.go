package registry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/registration"
	"heatherway.dev/kernel/logs"
	"heatherway.dev/kernel/recovery"
)

const (
	// lostIntervals is how many announcements in a row may fail to arrive before
	// an upstream counts as lost; they may be seconds late.
	lostIntervals = 5
	// forgetAfter is how long an upstream is remembered after its last
	// announcement, so that late ones stay without effect.
	upstreamRetention = time.Minute
	// shareInterval collects announcements into one call to each other control
	// instance.
	shareInterval = 50 * time.Millisecond
	// shareLimit bounds a call to another control instance; what it did not take
	// is sent again.
	shareTimeout = 300 * time.Millisecond
	// sweepInterval is the time between searches for silent upstreams.
	sweepInterval = 500 * time.Millisecond
	// queuedAnnouncements bounds announcements waiting for the owner; more are
	// dropped, since the next one of an upstream replaces them.
	maxQueuedObservations = 1024
)

// directory owns the directory of upstreams and shares what this instance hears
// with the others. One goroutine uses the state; readers see it through view.
type directory struct {
	registry *Registry
	log      *slog.Logger
	state    *registration.Directory
	// epoch tells readers that change numbers start anew.
	epoch         uint64
	inputs        chan observation
	queries       chan query
	trialRequests chan trialRequest
	// unsent holds for each other instance what it has not taken yet, and alive
	// what has been heard of without a change since the last call to it.
	unsentUpstreams map[string]map[string]registration.Upstream
	unsentAlive     map[string]map[string]Alive
	aliveSentAt     time.Time
	inFlight        map[string]bool
	shareResults    chan shareResult
	crashes         *crash.Tracker
	mergeSummary    logs.Summary
	// unsentCrashes holds for each other instance the requests of which it has not taken
	// all broken runs yet.
	unsentRuns map[string]map[string]bool
	// epochs are the last known epochs of the other instances.
	memberEpochs map[string]uint64
	saver        *saver[[]registration.Upstream]
	crashesSaver *saver[savedCrashes]
	reception    receptionMonitor
	// saved and savedCrashes are the last changes that have been handed to the savers.
	savedChange, savedCrashChange uint64
}

type observation struct {
	upstreams []registration.Upstream
	alive     []Alive
	runs      []crash.Entry
	leaving   []LeavingArgs
	direct    bool
	// unknown receives the upstreams of alive that are not known.
	unknown chan []string
}

// look asks for the records that changed after a number.
type query struct {
	sinceChange, sinceCrash uint64
	// choose asks for the subset of a reader in an availability zone.
	subsetZone string
	reply      chan directoryChanges
}

// trial asks whether a blocked request may run once more.
type trialRequest struct {
	fingerprint string
	reply       chan bool
}

type directoryChanges struct {
	lastChange uint64
	upstreams  []registration.Upstream
	lastCrash  uint64
	runs       []crash.Entry
	// halvings is the size of a subset, if it was asked for.
	halvings map[string]int
}

func newDirectory(r *Registry) *directory {
	d := &directory{
		registry: r, log: r.log, state: registration.New(), epoch: rand.Uint64(),
		inputs: make(chan observation, maxQueuedObservations), queries: make(chan query), trialRequests: make(chan trialRequest),
		unsentUpstreams: map[string]map[string]registration.Upstream{}, unsentAlive: map[string]map[string]Alive{},
		crashes: crash.New(), unsentRuns: map[string]map[string]bool{}, memberEpochs: map[string]uint64{}, inFlight: map[string]bool{},
		shareResults: make(chan shareResult, 16),
	}
	if r.folder != "" {
		d.saver = newSaver[[]registration.Upstream](r, directoryFile)
		d.crashesSaver = newSaver[savedCrashes](r, crashesFile)
		d.restore(time.Now())
	}
	return d
}

// lostAfter is the silence after which an upstream counts as lost.
func (d *directory) lostAfter() time.Duration { return lostIntervals * d.registry.AnnounceInterval }

// announced takes in what an upstream said to this instance. It returns once
// the gateways that watch this instance can see it.
func (d *directory) observeAnnouncement(u registration.Upstream) {
	d.observe(observation{upstreams: []registration.Upstream{u}, direct: true})
}

// observe hands an observation to the owner and returns the upstreams that it
// does not know.
func (d *directory) observe(o observation) []string {
	o.unknown = make(chan []string, 1)
	select {
	case d.inputs <- o:
	case <-d.registry.ctx.Done():
		return nil
	}
	select {
	case unknown := <-o.unknown:
		return unknown
	case <-d.registry.ctx.Done():
		return nil
	}
}

// since returns the upstreams and the broken runs that changed behind two numbers.
func (d *directory) changesSince(ctx context.Context, q query) (directoryChanges, bool) {
	q.reply = make(chan directoryChanges, 1)
	select {
	case d.queries <- q:
		return <-q.reply, true
	case <-ctx.Done():
	case <-d.registry.ctx.Done():
	}
	return directoryChanges{}, false
}

// trial tells whether a blocked request may run once more, and notes that it does.
func (d *directory) trial(fingerprint string) bool {
	q := trialRequest{fingerprint, make(chan bool, 1)}
	select {
	case d.trialRequests <- q:
		return <-q.reply
	case <-d.registry.ctx.Done():
		return false
	}
}

func (d *directory) run(ctx context.Context) {
	share, sweep, save := time.NewTicker(shareInterval), time.NewTicker(sweepInterval), time.NewTicker(saveInterval)
	defer share.Stop()
	defer sweep.Stop()
	defer save.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-d.inputs:
			// What one message holds must not end the directory.
			if err := recovery.Run(d.log, "message about upstreams", func() { d.applyObservation(o) }); err != nil {
				close(o.unknown)
			}
		case q := <-d.queries:
			q.reply <- d.collectChanges(q)
		case q := <-d.trialRequests:
			granted := d.crashes.AllowTrial(time.Now(), q.fingerprint)
			d.log.Info("trial of a blocked request asked for", "fingerprint", q.fingerprint, "granted", granted)
			q.reply <- granted
		case s := <-d.shareResults:
			d.handleShareResult(s)
		case <-share.C:
			d.share()
		case now := <-sweep.C:
			d.sweep(now)
		case <-save.C:
			d.save()
		}
	}
}

func (d *directory) applyObservation(o observation) {
	now, changed, crashes := time.Now(), false, d.crashes.LastChange()
	for _, u := range o.upstreams {
		before, known := d.state.Get(u.ID)
		outcome := d.state.Observe(now, u)
		if outcome == registration.Changed {
			changed = true
			after, _ := d.state.Get(u.ID)
			d.log.Info("upstream changed", "upstream", u.ID, "service", after.Service, "address", after.Addr,
				"state", after.State.String(), "previous", previousState(before, known), "started_ms", after.StartedMS, "seq", u.Seq, "direct", o.direct)
		}
		if outcome == registration.Changed || outcome == registration.Refreshed {
			d.trackUpstream(now, u)
		}
		switch {
		case outcome == registration.Malformed:
			d.log.Warn("record not taken over", "upstream", u.ID, "state", int(u.State), "direct", o.direct)
		case !o.direct:
		case outcome == registration.Changed:
			d.queueUpstream(u)
		case outcome == registration.Refreshed:
			d.queueAlive(u)
		}
	}
	var unknown []string
	for _, a := range o.alive {
		if !d.state.Refresh(now, a.ID, a.StartedMS, a.Seq) {
			unknown = append(unknown, a.ID)
			continue
		}
		d.trackAnnouncement(now, a.ID, a.StartedMS, a.Seq)
	}
	o.unknown <- unknown
	changed = d.applyLeaving(now, o.leaving) || changed
	d.applyRuns(now, o)
	if changed || len(d.crashes.EntriesSince(now, crashes)) > 0 {
		d.registry.changes.notify()
		d.share()
	}
}

// takeLeaving takes in which incarnations leave and tells whether any was news.
func (d *directory) applyLeaving(now time.Time, list []LeavingArgs) bool {
	news := false
	for _, l := range list {
		if !d.state.MarkLeaving(now, l.ID, l.StartedMS) {
			continue
		}
		news = true
		u, _ := d.state.Get(l.ID)
		d.log.Info("upstream says that it leaves", "upstream", u.ID, "service", u.Service, "address", u.Addr, "started_ms", u.StartedMS)
		d.queueUpstream(u)
	}
	return news
}

// heard tells the tracker what became of the upstream that an announcement names.
func (d *directory) trackUpstream(now time.Time, u registration.Upstream) {
	if u.State == registration.Left {
		d.crashes.UpstreamLeaving(now, u.ID, u.StartedMS)
		return
	}
	d.crashes.UpstreamStarted(now, u.ID, u.Addr, u.StartedMS)
	d.trackAnnouncement(now, u.ID, u.StartedMS, u.Seq)
}

// signOfLife tells the tracker that an incarnation has announced itself.
func (d *directory) trackAnnouncement(now time.Time, id string, startedMS, seq int64) {
	for fingerprint, before := range d.crashes.UpstreamAnnounced(now, id, startedMS, seq) {
		u, _ := d.state.Get(id)
		d.log.Info("broken run no longer counts, its upstream has announced itself", "fingerprint", fingerprint, "previous", before.String(),
			"upstream", id, "started_ms", startedMS, "seq", seq, "latest_started_ms", u.StartedMS, "latest_state", u.State.String())
	}
}

// takeCrashes takes broken runs in.
func (d *directory) applyRuns(now time.Time, o observation) {
	news := d.crashes.Merge(now, o.runs)
	if len(news) > 0 {
		d.logMergedRuns(now, len(o.runs), len(news))
	}
	for _, fingerprint := range news {
		if v := d.crashes.Verdict(now, fingerprint); v != crash.Allowed {
			d.log.Info("request may crash upstreams", "fingerprint", fingerprint, "verdict", v.String(), "direct", o.direct)
		}
		if o.direct {
			for _, addr := range d.registry.otherMembers() {
				d.queueRuns(addr, fingerprint)
			}
		}
	}
}

// logLearned counts broken runs that are news, and tells of them now and then.
func (d *directory) logMergedRuns(now time.Time, runs, requests int) {
	if runs, requests, due := d.mergeSummary.Add(now, runs, requests); due {
		d.log.Info("broken runs learned", "runs", runs, "requests", requests)
	}
}

// view returns what a reader does not have.
func (d *directory) collectChanges(q query) directoryChanges {
	v := directoryChanges{
		lastChange: d.state.LastChange(), upstreams: d.state.ChangedSince(q.sinceChange),
		lastCrash: d.crashes.LastChange(), runs: d.crashes.EntriesSince(time.Now(), q.sinceCrash),
	}
	if q.subsetZone != "" {
		v.halvings = d.state.InitialHalvings(q.subsetZone)
	}
	return v
}

func previousState(u registration.Upstream, known bool) string {
	if !known {
		return "unknown"
	}
	return u.State.String()
}

// save hands what has changed to the savers.
func (d *directory) save() {
	if d.saver == nil {
		return
	}
	if changes := d.state.LastChange(); changes != d.savedChange {
		d.savedChange = changes
		d.saver.offer(d.state.All())
	}
	if changes := d.crashes.LastChange(); changes != d.savedCrashChange {
		d.savedCrashChange = changes
		now := time.Now()
		d.crashesSaver.offer(savedCrashes{now.UnixMilli(), d.crashes.Entries(now)})
	}
}
