package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"time"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/modules/registry"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
)

const (
	// beginningEvents is the number of events up to which a stream counts as
	// beginning: a request that crashes upstreams does so when it begins to run.
	maxEarlyEvents = 8
	// undecidedRetry is told to callers whose request may not run until the news of its
	// upstreams is in; upstreams announce themselves every second or so.
	undecidedRetryAfter = time.Second
	// reportPause is the pause after control instances could not be told of broken runs.
	reportRetryDelay = 200 * time.Millisecond
	// maxUnreported bounds the requests whose runs wait to be reported; the news of one
	// more is left out, with a line in the log.
	maxPendingReports = 1024
)

// fingerprint names the request whoever sends it again: organisation, method,
// target and body.
func (c *callerRequest) fingerprint() string {
	c.fingerprintOnce.Do(func() {
		h := sha256.New()
		name := ""
		if c.organisation != nil {
			name = c.organisation.Name
		}
		for _, part := range []string{name, c.outgoing.method, c.outgoing.target} {
			h.Write([]byte(part))
			h.Write([]byte{0})
		}
		h.Write(c.outgoing.body)
		c.fingerprintText = hex.EncodeToString(h.Sum(nil)[:16])
	})
	return c.fingerprintText
}

// verdict tells whether the request may run, again or at all.
func (c *callerRequest) crashVerdict() (v crash.Verdict) {
	if c.g.suspectRequests.Load() == 0 {
		return crash.Allowed
	}
	fingerprint := c.fingerprint()
	c.g.owner.call(func(s *state) { v = s.crashes.Verdict(time.Now(), fingerprint) })
	return v
}

// mayBegin returns the refusal of a request that has crashed too many upstreams, or may
// have done so. The former ran there, so the answer does not say that it has not.
func (c *callerRequest) checkCrashes() error {
	v := c.crashVerdict()
	if v == crash.Allowed {
		return nil
	}
	if v == crash.Blocked && c.requestTrial() {
		c.trial = true
		return nil
	}
	c.g.metrics.suspectsHeld.Inc()
	c.g.log.Info("request not run, it may crash upstreams", "request", c.req.ID, "fingerprint", c.fingerprint(), "verdict", v.String())
	if v == crash.Undecided {
		return result.New(result.SuspectBusy, "upstreams that ran the request broke off; whether they have crashed is not known yet").After(undecidedRetryAfter)
	}
	return result.New(result.UpstreamFailed, "the request has crashed %d upstreams", crash.BlockThreshold)
}

// mayTrial tells whether a blocked request may run once more, at one upstream. This
// gateway asks once for each time at which a trial may be due.
func (c *callerRequest) requestTrial() bool {
	fingerprint, due := c.fingerprint(), false
	c.g.owner.call(func(s *state) { due = s.crashes.AllowTrial(time.Now(), fingerprint) })
	if !due {
		return false
	}
	var reply registry.TrialReply
	err := c.g.notify("Trial", &registry.TrialArgs{Fingerprint: fingerprint, Forward: true}, &reply)
	c.g.log.Info("trial of a blocked request", "request", c.req.ID, "fingerprint", fingerprint, "granted", reply.Granted, "error", err)
	return err == nil && reply.Granted
}

// noteBroken notes that a run of the request broke off, or was abandoned by its caller.
// What breaks off at an upstream that is about to stop says nothing.
func (c *callerRequest) recordBrokenRun(u registration.Upstream, outcome crash.Outcome) {
	leaving := c.g.follower.isLeaving(u)
	c.g.metrics.brokenRuns.Inc()
	r := crash.Run{Fingerprint: c.fingerprint(), Upstream: u.ID, Addr: u.Addr, StartedMS: u.StartedMS, Zone: u.Zone}
	c.g.log.Info("run broke off", "request", c.req.ID, "fingerprint", r.Fingerprint, "upstream", u.ID, "address", r.Addr, "upstream_zone", u.Zone,
		"started_ms", r.StartedMS, "abandoned", outcome == crash.Abandoned, "leaving", leaving)
	if leaving {
		return
	}
	// The next decision about the request must see it.
	c.g.owner.call(func(s *state) {
		news := s.crashes.RunInterrupted(time.Now(), r, outcome)
		c.g.updateCrashCounts(s)
		if news && outcome != crash.Abandoned {
			c.g.reporter.add(r.Fingerprint)
		}
	})
}

// noteWhole notes that the request was answered whole.
func (c *callerRequest) recordCompletion() {
	if c.g.trackedRequests.Load() == 0 {
		return
	}
	fingerprint := c.fingerprint()
	c.g.owner.post(func(s *state) {
		if !s.crashes.RequestCompleted(time.Now(), fingerprint) {
			return
		}
		c.g.updateCrashCounts(s)
		c.g.reporter.add(fingerprint)
		c.g.log.Info("broken runs cleared by a whole answer", "request", c.req.ID, "fingerprint", fingerprint)
	})
}

// crashesChanged publishes whether requests need to be compared with the tracker.
func (g *Gateway) updateCrashCounts(s *state) {
	g.trackedRequests.Store(int64(s.crashes.RequestCount()))
	g.suspectRequests.Store(int64(s.crashes.SuspectCount()))
}

// upstreamChanged takes the news of upstreams into the tracker.
func (g *Gateway) trackUpstreamChange(u registration.Upstream) {
	if g.trackedRequests.Load() == 0 {
		return
	}
	g.owner.post(func(s *state) {
		var news []string
		switch {
		case u.State < registration.Lost:
			news = s.crashes.UpstreamStarted(time.Now(), u.ID, u.Addr, u.StartedMS)
		case u.State == registration.Lost:
			news = s.crashes.UpstreamLost(time.Now(), u.ID, u.StartedMS)
		}
		g.updateCrashCounts(s)
		for _, fingerprint := range news {
			g.log.Info("abandoned run counts, its upstream has ended", "fingerprint", fingerprint, "address", u.Addr, "state", u.State.String())
			g.reporter.add(fingerprint)
		}
	})
}

// takeCrashes takes over what other gateways have reported.
func (g *Gateway) mergeCrashes(list []crash.Entry) {
	g.owner.post(func(s *state) {
		news := s.crashes.Merge(time.Now(), list)
		for _, fingerprint := range news {
			if v := s.crashes.Verdict(time.Now(), fingerprint); v != crash.Allowed {
				g.log.Info("request may crash upstreams", "fingerprint", fingerprint, "verdict", v.String())
			}
		}
		g.updateCrashCounts(s)
		if len(news) == 0 {
			return
		}
		if runs, requests, due := s.learnedRuns.Add(time.Now(), len(list), len(news)); due {
			g.log.Info("broken runs learned", "runs", runs, "requests", requests)
		}
	})
}

// tellCrashes tells a control instance that has started anew which requests are
// suspects; it may have lost what the others hold.
func (g *Gateway) sendCrashes(ctx context.Context, client *peer.Client) {
	var list []crash.Entry
	g.owner.call(func(s *state) { list = s.crashes.EntriesSince(time.Now(), 0) })
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	if err := client.Call(ctx, registry.ServiceName+".Crash", &registry.CrashArgs{Runs: list}, &registry.CrashReply{}); err != nil {
		g.log.Warn("control instance not told of suspects", "address", client.Addr(), "runs", len(list), "error", err)
	}
}

// crashReporter tells the control instances of broken runs, again until one has taken
// them.
type crashReporter struct {
	g       *Gateway
	mu      sync.Mutex
	pending map[string]bool // by fingerprint
	wake    chan struct{}
}

func newCrashReporter(g *Gateway) *crashReporter {
	return &crashReporter{g: g, pending: map[string]bool{}, wake: make(chan struct{}, 1)}
}

// add has the runs of a request reported.
func (r *crashReporter) add(fingerprint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) >= maxPendingReports {
		r.g.log.Warn("broken runs not reported, too many wait", "fingerprint", fingerprint, "waiting", len(r.pending))
		return
	}
	r.pending[fingerprint] = true
	select {
	case r.wake <- struct{}{}:
	default: // it will look again already
	}
}

func (r *crashReporter) run() {
	for {
		select {
		case <-r.g.ctx.Done():
			return
		case <-r.wake:
		}
		// What a report holds must not end the process.
		_ = recovery.Run(r.g.log, "report of broken runs", r.report)
	}
}

func (r *crashReporter) report() {
	r.mu.Lock()
	due := slices.Collect(maps.Keys(r.pending))
	clear(r.pending)
	r.mu.Unlock()
	var list []crash.Entry
	r.g.owner.call(func(s *state) { list = s.crashes.EntriesOf(time.Now(), due) })
	if len(list) == 0 {
		return
	}
	err := r.g.notify("Crash", &registry.CrashArgs{Runs: list}, &registry.CrashReply{})
	if err == nil || r.g.ctx.Err() != nil {
		return
	}
	r.g.log.Warn("broken runs not reported", "requests", len(due), "runs", len(list), "error", err)
	r.g.sleep(reportRetryDelay)
	for _, fingerprint := range due {
		r.add(fingerprint)
	}
}
