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
	"heatherway.dev/kernel/result"
)

const (
	// lostIntervals is the number of consecutive announcements that must be missing
	// before an upstream counts as lost. Announcements may be delayed by seconds.
	lostIntervals = 5
	// upstreamRetention is how long a record is kept after the last announcement of
	// its upstream, so that delayed announcements have no effect.
	upstreamRetention = time.Minute
	// shareInterval is the time over which announcements are batched into one call
	// to each other control instance.
	shareInterval = 50 * time.Millisecond
	// shareTimeout bounds a call to another control instance. The content of a
	// failed call is sent again.
	shareTimeout = 300 * time.Millisecond
	// sweepInterval is the time between searches for silent upstreams.
	sweepInterval = 500 * time.Millisecond
	// maxQueuedObservations bounds the observations that wait for the owner
	// goroutine. Callers block while the queue is full.
	maxQueuedObservations = 1024
)

// directory holds the records of upstreams and replicates what this instance
// learns to the others. One goroutine owns the state; readers send it queries.
type directory struct {
	registry *Registry
	log      *slog.Logger
	state    *registration.Directory
	// epoch identifies this run of the directory: change numbers start again from
	// zero when it differs.
	epoch         uint64
	inputs        chan observation
	queries       chan query
	trialRequests chan trialRequest
	// unsentUpstreams holds, by address of the other instance, the records that it
	// has not accepted yet. unsentAlive holds the upstreams that have announced
	// themselves without a change since the last call to it.
	unsentUpstreams map[string]map[string]registration.Upstream
	unsentAlive     map[string]map[string]Alive
	aliveSentAt     time.Time
	inFlight        map[string]bool
	shareResults    chan shareResult
	crashes         *crash.Tracker
	mergeSummary    logs.Summary
	// unsentRuns holds, by address of the other instance, the fingerprints of requests
	// whose broken runs it has not accepted in full yet.
	unsentRuns map[string]map[string]bool
	// memberEpochs are the last known epochs of the other instances.
	memberEpochs map[string]uint64
	// helloAt holds, by address of the other instance, when this instance last made itself known
	// to one whose epoch it does not know.
	helloAt      map[string]time.Time
	saver        *saver[savedList[registration.Upstream]]
	crashesSaver *saver[savedCrashes]
	reception    receptionMonitor
	// departuresSaver writes the withdrawals, the last of which it was offered up to the change
	// offeredDepartures; it is nil on an instance without a disk. ownCopies receives the change up
	// to which they are written.
	departuresSaver   *saver[savedDepartures]
	offeredDepartures uint64
	ownCopies         chan uint64
	// copies tracks on which disks the withdrawals are, and waits holds the calls that wait for
	// them. copying and copyFailed hold the instances that are being asked for a copy, and those
	// whose last answer was a failure.
	copies              *registration.CopyTracker
	copyWaits           chan copyWait
	copyResults         chan copyResult
	waits               []copyWait
	copying, copyFailed map[string]bool
	// services are the names of the services in a version of the configuration.
	services        map[string]bool
	servicesVersion uint64
	// savedChange and savedCrashChange are the numbers of the last changes that have
	// been passed to the savers.
	savedChange, savedCrashChange uint64
}

// observation is something that this instance has learned about upstreams or requests.
// direct is set if an upstream or a gateway reported it, not another instance.
type observation struct {
	upstreams []registration.Upstream
	alive     []Alive
	runs      []crash.Entry
	leaving   []LeavingArgs
	direct    bool
	// from is the address of the instance that has sent the observation, and epoch its epoch; both
	// are empty if they are not known.
	from  string
	epoch uint64
	// merged receives the result.
	merged chan merged
}

// merged is the result of an observation.
type merged struct {
	// unknown are the IDs in alive for which there is no record.
	unknown []string
	// withdrawn are the records, as merged, of the upstreams in the observation that are withdrawn,
	// and withdrawal is the last change of these records.
	withdrawn  []registration.Upstream
	withdrawal uint64
	// full is set if there was no room for a record.
	full bool
}

// query asks for the records that changed after the given change numbers.
type query struct {
	sinceChange, sinceCrash uint64
	// subsetZone, if set, asks for the subset size of a reader in that availability zone.
	subsetZone string
	reply      chan directoryChanges
}

// trialRequest asks whether a request that is held for its keys may run once.
type trialRequest struct {
	keys  []string
	reply chan bool
}

// directoryChanges answers a query.
type directoryChanges struct {
	lastChange uint64
	upstreams  []registration.Upstream
	lastCrash  uint64
	runs       []crash.Entry
	// halvings is the subset size by availability zone, if the query asked for it.
	halvings map[string]int
}

func newDirectory(r *Registry) *directory {
	d := &directory{
		registry: r, log: r.log, epoch: rand.Uint64(),
		inputs: make(chan observation, maxQueuedObservations), queries: make(chan query), trialRequests: make(chan trialRequest),
		unsentUpstreams: map[string]map[string]registration.Upstream{}, unsentAlive: map[string]map[string]Alive{},
		crashes: crash.New(), unsentRuns: map[string]map[string]bool{}, memberEpochs: map[string]uint64{}, inFlight: map[string]bool{},
		shareResults: make(chan shareResult, 16), helloAt: map[string]time.Time{},
		copies: registration.NewCopyTracker(r.Losses), copyWaits: make(chan copyWait), copyResults: make(chan copyResult, 16),
		ownCopies: make(chan uint64), copying: map[string]bool{}, copyFailed: map[string]bool{},
	}
	d.state = registration.New(d.isNamed)
	if r.folder != "" {
		d.saver = newSaver[savedList[registration.Upstream]](r, directoryFile)
		d.crashesSaver = newSaver[savedCrashes](r, crashesFile)
		d.departuresSaver = newSaver[savedDepartures](r, departuresFile)
		d.departuresSaver.saved = func(s savedDepartures) {
			select {
			case d.ownCopies <- s.Change:
			case <-r.ctx.Done():
			}
		}
		d.restore(time.Now())
	}
	return d
}

// lostAfter is the time without an announcement after which an upstream counts as lost.
func (d *directory) lostAfter() time.Duration { return lostIntervals * d.registry.AnnounceInterval }

// observeAnnouncement records what an upstream announced to this instance. It
// returns once gateways that watch this instance can receive it and, if the upstream withdraws,
// once enough disks hold that.
func (d *directory) observeAnnouncement(ctx context.Context, u registration.Upstream) error {
	m, err := d.observe(observation{upstreams: []registration.Upstream{u}, direct: true})
	if err != nil {
		return err
	}
	if m.full {
		return errFull
	}
	return d.awaitCopies(ctx, copyWait{change: m.withdrawal})
}

// observe passes an observation to the owner goroutine and returns the result. After an error it
// is not known whether the observation was merged.
func (d *directory) observe(o observation) (merged, error) {
	o.merged = make(chan merged, 1)
	select {
	case d.inputs <- o:
	case <-d.registry.ctx.Done():
		return merged{}, errStopping
	}
	select {
	case m, ok := <-o.merged:
		if !ok {
			return m, result.New(result.Internal, "the message was not merged")
		}
		return m, nil
	case <-d.registry.ctx.Done():
		return merged{}, errStopping
	}
}

var (
	// errStopping is the error of a call that this instance does not answer any more.
	errStopping = result.New(result.ControlUnavailable, "this instance stops")
	// errFull is the error of an announcement that is not stored.
	errFull = result.New(result.ControlUnavailable, "the directory has no room for another upstream")
)

// changesSince returns the upstreams and the broken runs that changed after the change
// numbers in the query.
func (d *directory) changesSince(ctx context.Context, q query) (directoryChanges, bool) {
	q.reply = make(chan directoryChanges, 1)
	select {
	case d.queries <- q:
		changes, ok := <-q.reply
		return changes, ok
	case <-ctx.Done():
	case <-d.registry.ctx.Done():
	}
	return directoryChanges{}, false
}

// trial reports whether a request that is held for its keys may run once, and records a
// granted trial.
func (d *directory) trial(keys []string) bool {
	q := trialRequest{keys, make(chan bool, 1)}
	select {
	case d.trialRequests <- q:
		return <-q.reply
	case <-d.registry.ctx.Done():
		return false
	}
}

// isNamed reports whether the configuration in force names a service. It is asked only when an
// announcement contradicts another one.
func (d *directory) isNamed(service string) bool {
	current := d.registry.configuration.current()
	if current.version != d.servicesVersion {
		c, err := d.registry.dialect.Configuration(current.body)
		if err != nil {
			d.log.Error("cannot read the services of the configuration", "version", current.version, "error", clip(err.Error()))
			return false
		}
		d.servicesVersion, d.services = current.version, map[string]bool{}
		for _, s := range c.Services {
			d.services[s.Name] = true
		}
	}
	return d.services[service]
}

// run is the owner goroutine.
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
			if d.confine("message about upstreams", func() { o.merged <- d.applyObservation(o) }) != nil {
				close(o.merged)
			}
		case q := <-d.queries:
			if d.confine("query of changes", func() { q.reply <- d.collectChanges(q) }) != nil {
				close(q.reply)
			}
		case q := <-d.trialRequests:
			if d.confine("trial of a request", func() { q.reply <- d.decideTrial(q.keys) }) != nil {
				close(q.reply)
			}
		case s := <-d.shareResults:
			_ = d.confine("reply of another instance", func() { d.handleShareResult(s) })
		case w := <-d.copyWaits:
			_ = d.confine("wait for copies of a departure", func() { d.addCopyWait(w) })
		case change := <-d.ownCopies:
			_ = d.confine("copy of departures on disk", func() { d.recordOwnCopy(change) })
		case c := <-d.copyResults:
			_ = d.confine("copy of departures at another instance", func() { d.handleCopyResult(c) })
		case <-share.C:
			_ = d.confine("messages to other instances", func() { d.share(); d.copyDepartures() })
		case now := <-sweep.C:
			_ = d.confine("search for silent upstreams", func() { d.sweep(now) })
		case <-save.C:
			_ = d.confine("saving of the directory", d.save)
		}
	}
}

// confine runs one step of the owner goroutine. A panic, for example over what another
// process has sent, must not end the process.
func (d *directory) confine(step string, f func()) error { return recovery.Run(d.log, step, f) }

// decideTrial decides whether a held request may run once, as a trial of each of the keys
// that it is held for, and tells the other instances of one that is granted.
func (d *directory) decideTrial(keys []string) bool {
	if len(keys) == 0 {
		return false
	}
	granted := d.crashes.AllowTrials(time.Now(), keys)
	if granted {
		d.shareTrial(keys)
	}
	clipped := make([]string, len(keys))
	for i, key := range keys {
		clipped[i] = clip(key)
	}
	d.log.Info("trial of a blocked request decided", "fingerprint", clipped[0], "keys", clipped, "granted", granted)
	return granted
}

// applyObservation merges an observation into the state, wakes the watchers if it changed
// anything, and queues what was reported directly for the other instances.
func (d *directory) applyObservation(o observation) (m merged) {
	now, changed, crashesBefore := time.Now(), false, d.crashes.LastChange()
	if o.from != "" {
		d.resendToRestarted(o.from, o.epoch)
	}
	for _, u := range o.upstreams {
		before, known := d.state.Get(u.ID)
		outcome := d.state.Observe(now, u)
		m.full = m.full || outcome == registration.Full
		if outcome == registration.Changed {
			changed = true
			after, _ := d.state.Get(u.ID)
			d.log.Info("upstream changed", "upstream", u.ID, "service", after.Service, "address", after.Addr,
				"state", after.State.String(), "previous", previousState(before, known), "started_ms", after.StartedMS, "seq", u.Seq, "version", after.Version, "direct", o.direct,
				"replaced", after.Replaced, "returned", after.Returned)
			u.Returned = after.Returned // the others need not hear the same announcements to know it
		}
		if outcome == registration.Changed || outcome == registration.Refreshed {
			d.trackUpstream(now, u)
		}
		switch {
		case outcome == registration.Malformed:
			d.log.Warn("malformed upstream record ignored", "upstream", clip(u.ID), "state", int(u.State), "direct", o.direct, "error", u.Validate())
		case !o.direct && outcome == registration.Changed:
			d.passOnWithdrawal(u.ID, o.from)
		case !o.direct:
		case outcome == registration.Changed:
			d.queueUpstream(u)
		case outcome == registration.Refreshed:
			d.queueAlive(u)
		}
	}
	for _, a := range o.alive {
		if !d.state.Refresh(now, a.ID, a.StartedMS, a.Seq) {
			m.unknown = append(m.unknown, a.ID)
			continue
		}
		d.trackAnnouncement(now, a.ID, a.StartedMS, a.Seq)
	}
	changed = d.applyLeaving(now, o.leaving) || changed
	d.applyRuns(now, o)
	if changed || len(d.crashes.EntriesSince(now, crashesBefore)) > 0 {
		d.registry.changes.notify()
		d.share()
	}
	if changed {
		d.saveDepartures()
	}
	for _, u := range o.upstreams {
		d.addWithdrawal(&m, u.ID)
	}
	for _, l := range o.leaving {
		d.addWithdrawal(&m, l.ID)
	}
	return m
}

// addWithdrawal adds an upstream to a result if it is withdrawn.
func (d *directory) addWithdrawal(m *merged, id string) {
	if change := d.state.WithdrawalChange(id); change > 0 {
		u, _ := d.state.Get(id)
		m.withdrawn, m.withdrawal = append(m.withdrawn, u), max(m.withdrawal, change)
	}
}

// applyLeaving marks incarnations as leaving and reports whether any of them was not
// marked before.
func (d *directory) applyLeaving(now time.Time, list []LeavingArgs) bool {
	changed := false
	for _, l := range list {
		if !d.state.MarkLeaving(now, l.ID, l.StartedMS) {
			continue
		}
		changed = true
		u, _ := d.state.Get(l.ID)
		d.log.Info("upstream reports that it is leaving", "upstream", u.ID, "service", u.Service, "address", u.Addr, "started_ms", u.StartedMS)
		d.queueUpstream(u)
	}
	return changed
}

// trackUpstream reports the state in an upstream's announcement to the crash tracker.
func (d *directory) trackUpstream(now time.Time, u registration.Upstream) {
	if u.State == registration.Left {
		d.crashes.UpstreamLeaving(now, u.ID, u.StartedMS)
		return
	}
	addr := ""
	if d.state.OwnsAddress(u) {
		addr = u.Addr // else those that run at the address have not ended
	}
	d.crashes.UpstreamStarted(now, u.ID, addr, u.StartedMS)
	d.trackAnnouncement(now, u.ID, u.StartedMS, u.Seq)
}

// trackAnnouncement reports to the crash tracker that an incarnation has announced
// itself. The broken runs that it has survived no longer count.
func (d *directory) trackAnnouncement(now time.Time, id string, startedMS, seq int64) {
	for fingerprint, previousOutcome := range d.crashes.UpstreamAnnounced(now, id, startedMS, seq) {
		u, _ := d.state.Get(id)
		d.log.Info("broken run no longer counts: its upstream has announced itself since", "fingerprint", fingerprint, "previous", previousOutcome.String(),
			"upstream", id, "started_ms", startedMS, "seq", seq, "latest_started_ms", u.StartedMS, "latest_state", u.State.String())
	}
}

// applyRuns merges broken runs into the crash tracker. Runs that a gateway reported to
// this instance are queued for the other instances.
func (d *directory) applyRuns(now time.Time, o observation) {
	updated := d.crashes.Merge(now, o.runs)
	if len(updated) > 0 {
		d.logMergedRuns(now, len(o.runs), len(updated))
	}
	for _, fingerprint := range updated {
		if v := d.crashes.Verdict(now, fingerprint); v != crash.Allowed && !crash.IsPart(fingerprint) {
			d.log.Info("request may crash upstreams", "fingerprint", fingerprint, "verdict", v.String(), "direct", o.direct)
		}
		if o.direct {
			for _, addr := range d.registry.otherMembers() {
				d.queueRuns(addr, fingerprint)
			}
		}
	}
}

// shareTrial sends the trial to the other instances, one of which may lead next.
func (d *directory) shareTrial(keys []string) {
	for _, addr := range d.registry.otherMembers() {
		for _, key := range keys {
			d.queueRuns(addr, key)
		}
	}
	d.share()
}

// logMergedRuns counts new broken runs and logs their totals at intervals.
func (d *directory) logMergedRuns(now time.Time, runs, requests int) {
	if runs, requests, due := d.mergeSummary.Add(now, runs, requests); due {
		d.log.Info("new broken runs recorded", "runs", runs, "requests", requests)
	}
}

// collectChanges returns the changes that a reader does not have yet.
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

// save passes the state to the savers if it has changed since the last time.
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
