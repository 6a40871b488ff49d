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
	forgetAfter = time.Minute
	// shareInterval collects announcements into one call to each other control
	// instance.
	shareInterval = 50 * time.Millisecond
	// shareLimit bounds a call to another control instance; what it did not take
	// is sent again.
	shareLimit = 300 * time.Millisecond
	// sweepInterval is the time between searches for silent upstreams.
	sweepInterval = 500 * time.Millisecond
	// queuedAnnouncements bounds announcements waiting for the owner; more are
	// dropped, since the next one of an upstream replaces them.
	queuedAnnouncements = 1024
)

// directory owns the directory of upstreams and shares what this instance hears
// with the others. One goroutine uses the state; readers see it through view.
type directory struct {
	r     *Registry
	log   *slog.Logger
	state *registration.Directory
	// epoch tells readers that change numbers start anew.
	epoch  uint64
	inputs chan observation
	looks  chan look
	trials chan trial
	// unsent holds for each other instance what it has not taken yet, and alive
	// what has been heard of without a change since the last call to it.
	unsent  map[string]map[string]registration.Upstream
	alive   map[string]map[string]Alive
	aliveAt time.Time
	sending map[string]bool
	sent    chan shared
	crashes *crash.Tracker
	learned logs.Summary
	// unsentCrashes holds for each other instance the requests of which it has not taken
	// all broken runs yet.
	unsentCrashes map[string]map[string]bool
	// epochs are the last known epochs of the other instances.
	epochs       map[string]uint64
	saver        *saver[[]registration.Upstream]
	crashesSaver *saver[savedCrashes]
	attention    attention
	// saved and savedCrashes are the last changes that have been handed to the savers.
	saved, savedCrashes uint64
}

type observation struct {
	list    []registration.Upstream
	alive   []Alive
	crashes []crash.Entry
	leaving []LeavingArgs
	direct  bool
	// unknown receives the upstreams of alive that are not known.
	unknown chan []string
}

// look asks for the records that changed after a number.
type look struct {
	since, crash uint64
	// choose asks for the subset of a reader in an availability zone.
	choose string
	reply  chan view
}

// trial asks whether a blocked request may run once more.
type trial struct {
	fingerprint string
	reply       chan bool
}

type view struct {
	changes uint64
	list    []registration.Upstream
	crash   uint64
	crashes []crash.Entry
	// halvings is the size of a subset, if it was asked for.
	halvings map[string]int
}

func newDirectory(r *Registry) *directory {
	d := &directory{
		r: r, log: r.log, state: registration.New(), epoch: rand.Uint64(),
		inputs: make(chan observation, queuedAnnouncements), looks: make(chan look), trials: make(chan trial),
		unsent: map[string]map[string]registration.Upstream{}, alive: map[string]map[string]Alive{},
		crashes: crash.New(), unsentCrashes: map[string]map[string]bool{}, epochs: map[string]uint64{}, sending: map[string]bool{},
		sent: make(chan shared, 16),
	}
	if r.folder != "" {
		d.saver = newSaver[[]registration.Upstream](r, savedDirectory)
		d.crashesSaver = newSaver[savedCrashes](r, savedCrashesFile)
		d.restore(time.Now())
	}
	return d
}

// lostAfter is the silence after which an upstream counts as lost.
func (d *directory) lostAfter() time.Duration { return lostIntervals * d.r.AnnounceInterval }

// announced takes in what an upstream said to this instance. It returns once
// the gateways that watch this instance can see it.
func (d *directory) announced(u registration.Upstream) {
	d.observe(observation{list: []registration.Upstream{u}, direct: true})
}

// observe hands an observation to the owner and returns the upstreams that it
// does not know.
func (d *directory) observe(o observation) []string {
	o.unknown = make(chan []string, 1)
	select {
	case d.inputs <- o:
	case <-d.r.ctx.Done():
		return nil
	}
	select {
	case unknown := <-o.unknown:
		return unknown
	case <-d.r.ctx.Done():
		return nil
	}
}

// since returns the upstreams and the broken runs that changed behind two numbers.
func (d *directory) since(ctx context.Context, q look) (view, bool) {
	q.reply = make(chan view, 1)
	select {
	case d.looks <- q:
		return <-q.reply, true
	case <-ctx.Done():
	case <-d.r.ctx.Done():
	}
	return view{}, false
}

// trial tells whether a blocked request may run once more, and notes that it does.
func (d *directory) trial(fingerprint string) bool {
	q := trial{fingerprint, make(chan bool, 1)}
	select {
	case d.trials <- q:
		return <-q.reply
	case <-d.r.ctx.Done():
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
			if err := recovery.Run(d.log, "message about upstreams", func() { d.take(o) }); err != nil {
				close(o.unknown)
			}
		case q := <-d.looks:
			q.reply <- d.view(q)
		case q := <-d.trials:
			granted := d.crashes.AllowTrial(time.Now(), q.fingerprint)
			d.log.Info("trial of a blocked request asked for", "fingerprint", q.fingerprint, "granted", granted)
			q.reply <- granted
		case s := <-d.sent:
			d.settle(s)
		case <-share.C:
			d.share()
		case now := <-sweep.C:
			d.sweep(now)
		case <-save.C:
			d.save()
		}
	}
}

func (d *directory) take(o observation) {
	now, changed, crashes := time.Now(), false, d.crashes.LastChange()
	for _, u := range o.list {
		before, known := d.state.Get(u.ID)
		outcome := d.state.Observe(now, u)
		if outcome == registration.Changed {
			changed = true
			after, _ := d.state.Get(u.ID)
			d.log.Info("upstream changed", "upstream", u.ID, "service", after.Service, "address", after.Addr,
				"state", after.State.String(), "previous", previous(before, known), "started_ms", after.StartedMS, "seq", u.Seq, "direct", o.direct)
		}
		if outcome == registration.Changed || outcome == registration.Refreshed {
			d.heard(now, u)
		}
		switch {
		case outcome == registration.Malformed:
			d.log.Warn("record not taken over", "upstream", u.ID, "state", int(u.State), "direct", o.direct)
		case !o.direct:
		case outcome == registration.Changed:
			d.queue(u)
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
		d.signOfLife(now, a.ID, a.StartedMS, a.Seq)
	}
	o.unknown <- unknown
	changed = d.takeLeaving(now, o.leaving) || changed
	d.takeCrashes(now, o)
	if changed || len(d.crashes.EntriesSince(now, crashes)) > 0 {
		d.r.feed.wake()
		d.share()
	}
}

// takeLeaving takes in which incarnations leave and tells whether any was news.
func (d *directory) takeLeaving(now time.Time, list []LeavingArgs) bool {
	news := false
	for _, l := range list {
		if !d.state.MarkLeaving(now, l.ID, l.StartedMS) {
			continue
		}
		news = true
		u, _ := d.state.Get(l.ID)
		d.log.Info("upstream says that it leaves", "upstream", u.ID, "service", u.Service, "address", u.Addr, "started_ms", u.StartedMS)
		d.queue(u)
	}
	return news
}

// heard tells the tracker what became of the upstream that an announcement names.
func (d *directory) heard(now time.Time, u registration.Upstream) {
	if u.State == registration.Left {
		d.crashes.UpstreamLeaving(now, u.ID, u.StartedMS)
		return
	}
	d.crashes.UpstreamStarted(now, u.ID, u.Addr, u.StartedMS)
	d.signOfLife(now, u.ID, u.StartedMS, u.Seq)
}

// signOfLife tells the tracker that an incarnation has announced itself.
func (d *directory) signOfLife(now time.Time, id string, startedMS, seq int64) {
	for fingerprint, before := range d.crashes.UpstreamAnnounced(now, id, startedMS, seq) {
		u, _ := d.state.Get(id)
		d.log.Info("broken run no longer counts, its upstream has announced itself", "fingerprint", fingerprint, "previous", before.String(),
			"upstream", id, "started_ms", startedMS, "seq", seq, "latest_started_ms", u.StartedMS, "latest_state", u.State.String())
	}
}

// takeCrashes takes broken runs in.
func (d *directory) takeCrashes(now time.Time, o observation) {
	news := d.crashes.Merge(now, o.crashes)
	if len(news) > 0 {
		d.logLearned(now, len(o.crashes), len(news))
	}
	for _, fingerprint := range news {
		if v := d.crashes.Verdict(now, fingerprint); v != crash.Allowed {
			d.log.Info("request may crash upstreams", "fingerprint", fingerprint, "verdict", v.String(), "direct", o.direct)
		}
		if o.direct {
			for _, addr := range d.r.members() {
				d.queueCrash(addr, fingerprint)
			}
		}
	}
}

// logLearned counts broken runs that are news, and tells of them now and then.
func (d *directory) logLearned(now time.Time, runs, requests int) {
	if runs, requests, due := d.learned.Add(now, runs, requests); due {
		d.log.Info("broken runs learned", "runs", runs, "requests", requests)
	}
}

// view returns what a reader does not have.
func (d *directory) view(q look) view {
	v := view{
		changes: d.state.LastChange(), list: d.state.ChangedSince(q.since),
		crash: d.crashes.LastChange(), crashes: d.crashes.EntriesSince(time.Now(), q.crash),
	}
	if q.choose != "" {
		v.halvings = d.state.InitialHalvings(q.choose)
	}
	return v
}

func previous(u registration.Upstream, known bool) string {
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
	if changes := d.state.LastChange(); changes != d.saved {
		d.saved = changes
		d.saver.offer(d.state.All())
	}
	if changes := d.crashes.LastChange(); changes != d.savedCrashes {
		d.savedCrashes = changes
		now := time.Now()
		d.crashesSaver.offer(savedCrashes{now.UnixMilli(), d.crashes.Entries(now)})
	}
}
