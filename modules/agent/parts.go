package agent

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// This file reports which messages of chats may have crashed the upstream, and which have not.
// The messages are hashed only after a crash, and while parts are suspected.

const (
	// partReportTime is how long a report is repeated. Control instances of the previous
	// release do not know the method.
	partReportTime = time.Minute
	// proofReportInterval is the least time between two reports of proofs.
	proofReportInterval = 500 * time.Millisecond
	// maxProvingRuns limits the runs whose messages are hashed as proofs after a crash, the
	// latest.
	maxProvingRuns = 64
)

// partEvidence is what the runs of a generation show about its messages. The run writes it,
// the owner reads it.
type partEvidence struct {
	// begunAt is when the current run produced its first token, and tokens what it has
	// produced.
	begunAt atomic.Int64 // Unix milliseconds
	tokens  atomic.Uint64
	// provedAt is when the last run began that has proved the messages sound.
	provedAt atomic.Int64 // Unix milliseconds

	once     sync.Once
	partKeys []string
}

// begin starts the evidence of a run.
func (e *partEvidence) begin() {
	e.begunAt.Store(0)
	e.tokens.Store(0)
}

// produced counts tokens and reports whether the run has proved the messages with them.
func (e *partEvidence) produced(now time.Time, tokens uint32) bool {
	if tokens == 0 {
		return false
	}
	e.begunAt.CompareAndSwap(0, now.UnixMilli())
	before := e.tokens.Add(uint64(tokens)) - uint64(tokens)
	if before >= wire.ProbationTokens || before+uint64(tokens) < wire.ProbationTokens {
		return false
	}
	e.provedAt.Store(e.begunAt.Load())
	return true
}

// completed reports whether the end of a whole answer has proved the messages.
func (e *partEvidence) completed(now time.Time) bool {
	if e.proved() {
		return false
	}
	e.begunAt.CompareAndSwap(0, now.UnixMilli())
	e.tokens.Store(wire.ProbationTokens)
	e.provedAt.Store(e.begunAt.Load())
	return true
}

// proved reports whether the current run has produced enough to prove the messages.
func (e *partEvidence) proved() bool { return e.tokens.Load() >= wire.ProbationTokens }

// partKeys returns the keys of the messages that other requests may share.
func (g *generation) partKeys() []string {
	g.parts.once.Do(func() {
		if g.request.Kind == wire.Chat {
			g.parts.partKeys = crash.MessageKeys(g.request.Model, g.request.Body)
		}
	})
	return g.parts.partKeys
}

// reportCrashedParts reports the messages of the runs that had proved nothing when the
// upstream crashed, and the last proofs of them here.
func (o *owner) reportCrashedParts(now time.Time, unconfirmed bool) {
	var suspects []*generation
	for _, t := range o.tasks {
		if t.running && t.generation != nil && !t.generation.parts.proved() {
			suspects = append(suspects, t.generation)
		}
	}
	if len(suspects) == 0 || len(o.a.control.clients) == 0 {
		return
	}
	proving := o.provingGenerations()
	c := crash.AgentCrash{
		Upstream: o.a.instance.ID, Zone: o.a.instance.Zone, Incarnation: uint64(o.a.incarnation), Number: o.crashes, Unconfirmed: unconfirmed,
	}
	o.a.background(func(ctx context.Context) {
		for _, g := range suspects {
			c.Suspects = append(c.Suspects, g.partKeys())
		}
		c.Proofs = lastProofs(proving)
		o.a.reportParts(ctx, func(at time.Time) []crash.Entry { return c.Entries(at, now) })
	})
}

// provingGenerations returns the generations that have proved their messages, the latest
// first.
func (o *owner) provingGenerations() (list []*generation) {
	for _, g := range o.generations {
		if g.parts.provedAt.Load() > 0 {
			list = append(list, g)
		}
	}
	slices.SortFunc(list, func(a, b *generation) int { return -cmp.Compare(a.parts.provedAt.Load(), b.parts.provedAt.Load()) })
	return list[:min(len(list), maxProvingRuns)]
}

// lastProofs returns when each message was last proved by one of the generations.
func lastProofs(list []*generation) map[string]time.Time {
	proofs := map[string]time.Time{}
	for _, g := range list {
		at := time.UnixMilli(g.parts.provedAt.Load())
		for _, key := range g.partKeys() {
			if at.After(proofs[key]) {
				proofs[key] = at
			}
		}
	}
	return proofs
}

// reportParts repeats a report until a control instance has accepted it, or for
// partReportTime.
func (a *Agent) reportParts(ctx context.Context, entries func(now time.Time) []crash.Entry) {
	ctx, cancel := context.WithTimeout(ctx, partReportTime)
	defer cancel()
	for {
		list := entries(time.Now())
		err := a.sendPartEntries(ctx, list)
		if err == nil {
			return
		}
		sleep(ctx, controlRetryDelay)
		if ctx.Err() != nil {
			a.log.Warn("report about suspected parts dropped", "entries", len(list), "error", err)
			return
		}
	}
}

// sendPartEntries sends entries to a control instance, as many at a time as it accepts.
func (a *Agent) sendPartEntries(ctx context.Context, list []crash.Entry) error {
	for batch := range slices.Chunk(list, wire.MaxPartEntries) {
		args := wire.PartsArgs{Reporter: a.instance.ID, Entries: batch}
		if err := a.control.call(ctx, "Control.Parts", &args, &wire.PartsReply{}); err != nil {
			return err
		}
	}
	return nil
}

// applyParts follows the list of suspected parts. Runs from before may have proved parts that
// are new on it.
func (a *Agent) applyParts(w *watchState, reply *wire.WatchReply) {
	before := w.parts
	w.parts = before.Apply(time.Now(), reply)
	w.args.Parts = w.parts.Version
	list := w.parts
	a.parts.Store(&list)
	for key := range list.Parts {
		if _, known := before.Parts[key]; !known {
			a.post(partsListedEvent{})
			return
		}
	}
}

// partsListedEvent reports the proofs of parts that are new on the list.
type partsListedEvent struct{}

func (partsListedEvent) apply(o *owner, _ time.Time) {
	proving := o.provingGenerations()
	o.a.background(func(context.Context) {
		for _, g := range proving {
			o.a.proveParts(g)
		}
	})
}

// checkParts returns an error for a request that may not run now since one of its messages may
// crash the upstream.
func (a *Agent) checkParts(g *generation) error {
	list := a.parts.Load()
	if len(list.Parts) == 0 || g.request.PartTrial {
		return nil
	}
	verdict, held := list.Verdict(time.Now(), g.partKeys())
	if verdict == crash.Allowed {
		return nil
	}
	a.log.Info("request not run because a message may crash the upstream", "generation", g.id, "verdict", verdict.String(), "held_for", held)
	// The entry soon knows how long the request has to wait.
	return result.New(result.PromptPartBlocked, "upstreams have crashed on a message of the chat").After(crash.UndecidedRetryAfter)
}

// proveParts queues a report of the suspected parts that a run has proved.
func (a *Agent) proveParts(g *generation) {
	list := a.parts.Load()
	if len(list.Parts) == 0 {
		return
	}
	a.partProofs.add(time.UnixMilli(g.parts.provedAt.Load()), list.Parts.Suspected(g.partKeys()))
}

// partProofs holds the proofs that wait to be reported.
type partProofs struct {
	mu      sync.Mutex
	pending map[string]time.Time
	wake    chan struct{}
}

func (p *partProofs) add(at time.Time, keys []string) {
	if len(keys) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending == nil {
		p.pending = map[string]time.Time{}
	}
	for _, key := range keys {
		if at.After(p.pending[key]) {
			p.pending[key] = at
		}
	}
	notify(p.wake)
}

func (p *partProofs) take() map[string]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending := p.pending
	p.pending = nil
	return pending
}

// reportProofs reports proofs as they come, at most once in proofReportInterval.
func (a *Agent) reportProofs(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-a.partProofs.wake:
		}
		proofs := a.partProofs.take()
		a.reportParts(ctx, func(now time.Time) (list []crash.Entry) {
			for _, key := range slices.Sorted(maps.Keys(proofs)) {
				list = append(list, crash.ProofEntry(now, key, proofs[key]))
			}
			return list
		})
		sleep(ctx, proofReportInterval)
	}
}
