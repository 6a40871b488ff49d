package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// This file holds requests with a message that may crash upstreams.

const (
	// undecidedAskInterval and blockedAskInterval are the least time between two requests of
	// this entry for a trial of the same parts.
	undecidedAskInterval = 300 * time.Millisecond
	blockedAskInterval   = 2 * time.Second
	// maxTrialAsks limits the sets of parts whose last request for a trial is known.
	maxTrialAsks = 1024
)

// partKeys returns the keys of the messages that other requests may share.
func (r *request) partKeys() []string {
	r.partsOnce.Do(func() {
		if r.kind == wire.Chat {
			r.parts = crash.MessageKeys(r.model, r.body)
		}
	})
	return r.parts
}

// admitParts checks the messages of a new request. While one is undecided the request waits
// for a limited time. A request that resumes is checked only if its run is held nowhere.
func (m *Module) admitParts(ctx context.Context, r *request) *result.Error {
	if r.resume != nil {
		return nil
	}
	return m.checkParts(ctx, r, true)
}

// checkPartsAgain checks the messages of a request before an attempt that is not its first. A
// trial has at most one attempt that reaches an upstream, and a request that may have run gets
// none.
func (m *Module) checkPartsAgain(ctx context.Context, r *request, cause *result.Error) *result.Error {
	notRun := cause == nil || cause.Ran == result.NotRun
	if r.partTrial.Load() && notRun {
		return nil
	}
	r.partTrial.Store(false)
	err := m.checkParts(ctx, r, cause == nil)
	if err != nil && !notRun {
		return cause // the refusal of the request would say that it has not run
	}
	return err
}

// checkParts returns an error for a request that may not run now. If it may run as a trial,
// partTrial is set.
func (m *Module) checkParts(ctx context.Context, r *request, allowTrial bool) *result.Error {
	// The caller needs the answer before its deadline.
	wait := min(crash.PartDecisionWait, time.Until(r.deadline)-crash.PartDecisionInterval)
	for end := time.Now().Add(wait); ; {
		verdict, held := m.partVerdict(r)
		if verdict == crash.Allowed {
			return nil
		}
		if allowTrial && m.requestPartTrial(ctx, r, verdict, held) {
			r.partTrial.Store(true)
			return nil
		}
		if verdict != crash.Undecided || time.Now().After(end) || ctx.Err() != nil {
			return m.partError(r, verdict, held)
		}
		sleep(ctx, crash.PartDecisionInterval)
	}
}

func (m *Module) partVerdict(r *request) (crash.Verdict, []string) {
	list := m.owner.current().parts
	if len(list.Parts) == 0 {
		return crash.Allowed, nil
	}
	return list.Verdict(time.Now(), r.partKeys())
}

func (m *Module) partError(r *request, verdict crash.Verdict, held []string) *result.Error {
	m.metrics.partsHeld.Inc()
	m.log.Info("request not run because a message may crash upstreams", "request_id", r.id, "verdict", verdict.String(), "held_for", held)
	retryAfter := crash.UndecidedRetryAfter
	if verdict != crash.Undecided {
		retryAfter = crash.BlockedPartRetryAfter
	}
	return result.New(result.PromptPartBlocked, "upstreams have crashed on a message of the chat").After(retryAfter)
}

// requestPartTrial asks the control instances whether a held request may run once.
func (m *Module) requestPartTrial(ctx context.Context, r *request, verdict crash.Verdict, held []string) bool {
	interval := undecidedAskInterval
	if verdict != crash.Undecided {
		interval = blockedAskInterval
	}
	if !m.hasUpstream(r.model) || !m.trialAsks.due(time.Now(), held, interval) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	var reply wire.PartTrialReply
	if err := m.control(ctx, "PartTrial", &wire.PartTrialArgs{Holder: m.instance.ID + "/" + r.id, Keys: held}, &reply); err != nil {
		m.log.Info("no control instance decides about a trial", "request_id", r.id, "error", err)
		return false
	}
	if reply.Granted {
		m.log.Info("request runs as a trial of messages that may crash upstreams", "request_id", r.id, "keys", held)
	}
	return reply.Granted
}

// hasUpstream reports whether an upstream that is up serves the model. A trial is lost
// otherwise.
func (m *Module) hasUpstream(model string) bool {
	for _, u := range m.owner.current().upstreams {
		if u.State == wire.UpstreamUp && (slices.Contains(u.Models, model) || slices.Contains(u.Adapters, model)) {
			return true
		}
	}
	return false
}

// trialAsks holds when this entry last asked for a trial of each set of parts. Requests that
// are held for fewer parts ask besides those with more.
type trialAsks struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// due reports whether to ask now, and notes it.
func (a *trialAsks) due(now time.Time, held []string, interval time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := strings.Join(held, ",")
	if now.Sub(a.last[key]) < interval {
		return false
	}
	if a.last == nil || len(a.last) >= maxTrialAsks {
		a.last = map[string]time.Time{}
	}
	a.last[key] = now
	return true
}

// reportCrashedParts reports the messages of a request that had begun nothing when its agent
// ended. A running agent reports them itself.
func (m *Module) reportCrashedParts(ctx context.Context, r *request, u *wire.Upstream) {
	now := time.Now()
	c := crash.AgentCrash{
		Upstream: u.ID, Zone: u.Zone, Incarnation: uint64(u.Incarnation), Number: wire.AgentCrashNumber, Suspects: [][]string{r.partKeys()},
	}
	args := wire.PartsArgs{Reporter: m.instance.ID, Entries: c.Entries(now, now)}
	if len(args.Entries) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	if err := m.control(ctx, "Parts", &args, &wire.PartsReply{}); err != nil {
		m.log.Warn("cannot report the messages of a request whose agent has ended", "upstream", u.ID, "error", err)
	}
}
