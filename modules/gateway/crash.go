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
	"heatherway.dev/core/routing"
	"heatherway.dev/heatherway/internal/crashlog"
	"heatherway.dev/heatherway/modules/registry"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
)

const (
	// maxEarlyEvents is the number of events up to which a stream that breaks counts as
	// a possible crash: requests that crash upstreams do so shortly after their run
	// starts.
	maxEarlyEvents = 8
	// crashReportRetryDelay is the delay after a report of broken runs reached no control
	// instance.
	crashReportRetryDelay = 200 * time.Millisecond
	// maxPendingCrashReports limits the requests whose broken runs wait to be reported;
	// beyond it a report is dropped and logged.
	maxPendingCrashReports = 1024
)

// fingerprint identifies a request independently of its ID, so that repeated
// submissions match. It hashes organisation, method, target and body.
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

// crashVerdict reports whether the request may run or be retried, apart from the parts of
// its prompt.
func (c *callerRequest) crashVerdict() crash.Verdict { return c.crashDecision().request }

// crashDecision is the decision whether a request may run.
type crashDecision struct {
	// request is the verdict on the request itself, part that on the parts of its prompt.
	request, part crash.Verdict
	// keys are what the request is held for: its fingerprint and parts of its prompt.
	keys []string
}

func (d crashDecision) allowed() bool { return d.request == crash.Allowed && d.part == crash.Allowed }

func (c *callerRequest) crashDecision() (d crashDecision) {
	if c.g.suspectRequests.Load() == 0 && c.g.suspectParts.Load() == 0 {
		return d
	}
	fingerprint, parts := c.fingerprint(), c.partKeys()
	c.g.owner.call(func(s *state) {
		now := time.Now()
		d.part, d.keys = s.crashes.PartVerdict(now, parts)
		if d.request = s.crashes.Verdict(now, fingerprint); d.request != crash.Allowed {
			d.keys = append(d.keys, fingerprint)
		}
		crashlog.PartDecisions(c.g.log, now, s.crashes.TakeDecisionChanges(now))
	})
	return d
}

// partKeys returns the keys of the parts of the prompt that other requests may share.
// Requests to plain services have no prompt.
func (c *callerRequest) partKeys() []string {
	if c.route.Kind != routing.Stream {
		return nil
	}
	c.partsOnce.Do(func() {
		for _, id := range c.req.PromptParts {
			c.parts = append(c.parts, crash.PartKey(id))
		}
	})
	return c.parts
}

// decideCrashes returns the decision whether the request may run. While it is undecided
// for a part only, the request waits for a limited time: sound parts are proved sound soon.
// If the request may run as a trial, trial is set and the decision does not matter.
func (c *callerRequest) decideCrashes(ctx context.Context, allowTrial bool) crashDecision {
	if c.trial {
		return crashDecision{} // it has at most one attempt that reaches an upstream
	}
	// The caller needs the answer before its deadline.
	wait := min(crash.PartDecisionWait, time.Until(c.deadline)-crash.PartDecisionInterval)
	for end := time.Now().Add(wait); ; {
		d := c.crashDecision()
		if d.allowed() {
			return d
		}
		if allowTrial && d.request != crash.Undecided && c.requestTrial(d) {
			c.trial = true
			return crashDecision{}
		}
		if d.request != crash.Allowed || d.part == crash.Blocked || time.Now().After(end) {
			return d
		}
		select {
		case <-time.After(crash.PartDecisionInterval):
		case <-ctx.Done():
			return d
		}
	}
}

// checkCrashes returns an error for a request that has crashed too many upstreams, or
// may have. A blocked request did run at those upstreams, so its error does not claim
// that it has not; other requests with a blocked part did.
func (c *callerRequest) checkCrashes(ctx context.Context) error {
	d := c.decideCrashes(ctx, true)
	if d.allowed() {
		return nil
	}
	verdict := max(d.request, d.part)
	c.g.metrics.suspectsHeld.Inc()
	c.g.log.Info("request not run because it may crash upstreams", "request", c.req.ID, "fingerprint", c.fingerprint(), "verdict", verdict.String(), "held_for", d.keys)
	switch d.request {
	case crash.Blocked:
		return result.New(result.UpstreamFailed, "the request has crashed %d upstreams", crash.BlockThreshold)
	case crash.Undecided:
		return result.New(result.SuspectBusy, "upstreams that ran the request broke off; whether they have crashed is not known yet").After(crash.UndecidedRetryAfter)
	}
	return c.partError(d)
}

// partError returns the error for a request of which no attempt has run and which is held
// for a part of its prompt.
func (c *callerRequest) partError(d crashDecision) error {
	c.g.metrics.partsHeld.Inc()
	retryAfter := crash.UndecidedRetryAfter
	if d.part == crash.Blocked {
		retryAfter = crash.BlockedPartRetryAfter
	}
	return result.New(result.PromptPartBlocked, "upstreams have crashed on a part of the prompt").After(retryAfter)
}

// requestTrial reports whether a held request may run once, at one upstream. This gateway
// asks the control instances only when a trial is due. Without the answer of a leader that
// knows parts, this gateway decides about an undecided part: it would stay undecided
// otherwise, since nothing could prove it sound.
func (c *callerRequest) requestTrial(d crashDecision) bool {
	due := false
	c.g.owner.call(func(s *state) {
		now := time.Now()
		due = s.crashes.TrialDue(now, d.keys, s.fleet.RetryIn(now, c.dispatchRequest()) == 0)
	})
	if !due {
		return false
	}
	var reply registry.TrialReply
	err := c.g.callControlInstance("Trial", &registry.TrialArgs{Fingerprint: d.keys[0], Keys: d.keys, Forward: true}, &reply)
	if (err != nil || !reply.KnowsParts) && d.request == crash.Allowed && d.part == crash.Undecided {
		c.g.owner.call(func(s *state) { reply.Granted = s.crashes.AllowTrials(time.Now(), d.keys) })
	}
	c.g.log.Info("trial requested for a blocked request", "request", c.req.ID, "fingerprint", c.fingerprint(), "keys", d.keys, "granted", reply.Granted, "error", err)
	return reply.Granted
}

// recordBrokenRun records that a run of the request broke off or was abandoned by its
// caller. A run is one execution of a request at one upstream. A run that breaks off at
// an upstream that is stopping is counted and logged, but not passed to the crash
// tracker, since it is no evidence of a crash.
func (c *callerRequest) recordBrokenRun(u registration.Upstream, outcome crash.Outcome) {
	leaving := c.g.follower.isLeaving(u)
	c.g.metrics.brokenRuns.Inc()
	r := crash.Run{Fingerprint: c.fingerprint(), Upstream: u.ID, Addr: u.Addr, StartedMS: u.StartedMS, Zone: u.Zone}
	c.g.log.Info("run broke off", "request", c.req.ID, "fingerprint", r.Fingerprint, "upstream", u.ID, "address", r.Addr, "upstream_zone", u.Zone,
		"started_ms", r.StartedMS, "abandoned", outcome == crash.Abandoned, "leaving", leaving)
	if leaving {
		return
	}
	parts := c.partKeys()
	// Recorded synchronously, so that the next decision about the request includes it.
	c.g.owner.call(func(s *state) {
		now := time.Now()
		changed := map[string]bool{r.Fingerprint: s.crashes.RunInterrupted(now, r, outcome)}
		for depth, key := range parts {
			r := r
			r.Fingerprint = key
			changed[key] = s.crashes.PartInterrupted(now, r, depth, outcome)
		}
		c.g.updateCrashCounts(s)
		for key := range changed {
			if changed[key] && outcome != crash.Abandoned {
				c.g.crashReporter.add(key)
			}
		}
		c.g.shareProofs(s)
	})
}

// recordProof records that the parts of the prompt did not crash an upstream that began to
// answer at the given time.
func (c *callerRequest) recordProof(at time.Time) {
	parts := c.partKeys()
	if len(parts) == 0 {
		return
	}
	c.g.owner.post(func(s *state) {
		changed := false
		for _, key := range parts {
			if s.crashes.PartProved(at, key) {
				changed = true
				c.g.crashReporter.add(key)
			}
		}
		if changed {
			c.g.updateCrashCounts(s)
		}
	})
}

// shareProofs reports the proofs that answer crashes which other gateways have reported.
func (g *Gateway) shareProofs(s *state) {
	for _, key := range s.crashes.TakeUnsharedProofs() {
		g.crashReporter.add(key)
	}
}

// recordCompletion records that the request was answered completely.
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
		c.g.crashReporter.add(fingerprint)
		c.g.log.Info("broken runs cleared by a complete response", "request", c.req.ID, "fingerprint", fingerprint)
	})
}

// updateCrashCounts copies the counts of the crash tracker to trackedRequests,
// suspectRequests and suspectParts, which request goroutines read without the state owner.
func (g *Gateway) updateCrashCounts(s *state) {
	g.trackedRequests.Store(int64(s.crashes.RequestCount()))
	g.suspectRequests.Store(int64(s.crashes.SuspectCount()))
	g.suspectParts.Store(int64(s.crashes.SuspectPartCount()))
}

// trackUpstreamChange passes a changed upstream to the crash tracker. addr is its address if no
// other upstream runs there.
func (g *Gateway) trackUpstreamChange(u registration.Upstream, addr string) {
	g.owner.post(func(s *state) {
		var changed []string
		switch {
		case u.State < registration.Lost:
			changed = s.crashes.UpstreamStarted(time.Now(), u.ID, addr, u.StartedMS)
		case u.State == registration.Lost, u.Replaced:
			changed = s.crashes.UpstreamLost(time.Now(), u.ID, u.StartedMS)
		}
		g.updateCrashCounts(s)
		for _, fingerprint := range changed {
			g.log.Info("abandoned run counted as a crash because its upstream ended", "fingerprint", fingerprint, "address", u.Addr, "state", u.State.String())
			g.crashReporter.add(fingerprint)
		}
	})
}

// mergeCrashes merges the broken runs that other gateways have reported.
func (g *Gateway) mergeCrashes(entries []crash.Entry) {
	g.owner.post(func(s *state) {
		changed := s.crashes.Merge(time.Now(), entries)
		for _, fingerprint := range changed {
			if v := s.crashes.Verdict(time.Now(), fingerprint); v != crash.Allowed && !crash.IsPart(fingerprint) {
				g.log.Info("request may crash upstreams", "fingerprint", fingerprint, "verdict", v.String())
			}
		}
		g.updateCrashCounts(s)
		g.shareProofs(s)
		if len(changed) == 0 {
			return
		}
		if runs, requests, due := s.receivedRunsSummary.Add(time.Now(), len(entries), len(changed)); due {
			g.log.Info("broken runs received from other gateways", "runs", runs, "requests", requests)
		}
	})
}

// sendCrashes sends all known broken runs to a control instance that has restarted,
// since it may have lost the reports of the other gateways.
func (g *Gateway) sendCrashes(ctx context.Context, client *peer.Client) {
	var entries []crash.Entry
	g.owner.call(func(s *state) { entries = s.crashes.EntriesSince(time.Now(), 0) })
	if len(entries) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	if err := client.Call(ctx, registry.ServiceName+".Crash", &registry.CrashArgs{Runs: entries}, &registry.CrashReply{}); err != nil {
		g.log.Warn("broken runs not sent to the control instance", "address", client.Addr(), "runs", len(entries), "error", err)
	}
}

// crashReporter reports broken runs to the control instances, and retries until one has
// accepted them.
type crashReporter struct {
	g       *Gateway
	mu      sync.Mutex
	pending map[string]bool // by fingerprint
	wake    chan struct{}
}

func newCrashReporter(g *Gateway) *crashReporter {
	return &crashReporter{g: g, pending: map[string]bool{}, wake: make(chan struct{}, 1)}
}

// add queues the runs of a request for the next report.
func (r *crashReporter) add(fingerprint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) >= maxPendingCrashReports {
		r.g.log.Warn("report of broken runs dropped because too many are pending", "fingerprint", fingerprint, "waiting", len(r.pending))
		return
	}
	r.pending[fingerprint] = true
	select {
	case r.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

func (r *crashReporter) run() {
	for {
		select {
		case <-r.g.ctx.Done():
			return
		case <-r.wake:
		}
		// A panic on the content of a report must not end the process.
		_ = recovery.Run(r.g.log, "report of broken runs", r.report)
	}
}

func (r *crashReporter) report() {
	r.mu.Lock()
	due := slices.Sorted(maps.Keys(r.pending))
	clear(r.pending)
	r.mu.Unlock()
	var entries []crash.Entry
	r.g.owner.call(func(s *state) { entries = s.crashes.EntriesOf(time.Now(), due) })
	if len(entries) == 0 {
		return
	}
	err := r.g.callControlInstance("Crash", &registry.CrashArgs{Runs: entries}, &registry.CrashReply{})
	if err == nil || r.g.ctx.Err() != nil {
		return
	}
	r.g.log.Warn("broken runs not reported to any control instance; retrying", "requests", len(due), "runs", len(entries), "error", err)
	r.g.sleep(crashReportRetryDelay)
	for _, fingerprint := range due {
		r.add(fingerprint)
	}
}
