package control

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"heatherway.dev/core/config"
	"heatherway.dev/core/crash"
	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/crashlog"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/stats"
)

const (
	// partsInterval is how often the verdicts are derived again, since they change with time
	// too.
	partsInterval = 100 * time.Millisecond
	// partsReplyTimeout bounds how long a call waits for the ledger. A call that has panicked
	// is not answered.
	partsReplyTimeout = time.Second
	// partsExchangeTimeout bounds one call to another control instance, and
	// partsExchangeDelay is the delay after one that failed.
	partsExchangeTimeout = time.Second
	partsExchangeDelay   = 500 * time.Millisecond
	// maxPartKeyBytes limits a key: a prefix and a hash in hexadecimal.
	maxPartKeyBytes = 128
	// maxHeldParts limits the parts for which a request may be held.
	maxHeldParts = 1024
	// partTrialTimeout bounds a call to the leader for a trial. Held requests wait 2.5 s.
	partTrialTimeout = time.Second
)

// partLedger keeps what is known of the messages that crash upstreams. One goroutine owns the
// tracker; others send it calls, or read the view. The state is not replicated through the
// log: a report that is lost with its instance costs one more upstream at most.
type partLedger struct {
	log     *slog.Logger
	calls   chan func(now time.Time)
	current atomic.Pointer[partsView]
	changed broadcast
	peers   []*partPeer
	held    stats.Gauge

	// tracker belongs to the goroutine of run.
	tracker *crash.Tracker
}

// partsView is an immutable list of suspected parts. Version identifies its content and is
// zero if it is empty.
type partsView struct {
	Version uint64
	List    []crash.SuspectedPart
}

// partPeer is another control instance. unsent holds the keys that it has not been sent; it
// belongs to the goroutine of the ledger.
type partPeer struct {
	unsent map[string]bool
	wake   chan struct{}
}

func newPartLedger(log *slog.Logger, st *stats.Registry) *partLedger {
	l := &partLedger{log: log, calls: make(chan func(time.Time)), tracker: crash.New(), held: st.Gauge("control_parts_held")}
	l.current.Store(&partsView{})
	return l
}

// addPeer adds another control instance. It is called before run.
func (l *partLedger) addPeer() *partPeer {
	p := &partPeer{unsent: map[string]bool{}, wake: make(chan struct{}, 1)}
	l.peers = append(l.peers, p)
	return p
}

func (l *partLedger) run(ctx context.Context) {
	tick := time.NewTicker(partsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-l.calls:
			now := time.Now()
			_ = recovery.Run(l.log, "message about parts", func() { call(now) })
			_ = recovery.Run(l.log, "publication of the parts", func() { l.publish(now) })
		case now := <-tick.C:
			_ = recovery.Run(l.log, "publication of the parts", func() { l.publish(now) })
		}
	}
}

// askParts runs a function in the goroutine of the ledger and returns its result.
func askParts[R any](ctx context.Context, l *partLedger, f func(now time.Time) R) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, partsReplyTimeout)
	defer cancel()
	reply := make(chan R, 1)
	var zero R
	select {
	case l.calls <- func(now time.Time) { reply <- f(now) }:
	case <-ctx.Done():
		return zero, result.Wrap(result.ControlUnavailable, ctx.Err(), "the suspected parts are busy")
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return zero, result.Wrap(result.ControlUnavailable, ctx.Err(), "no answer about suspected parts")
	}
}

// publish replaces the view if the list has changed.
func (l *partLedger) publish(now time.Time) {
	list := l.tracker.SuspectedParts(now)
	crashlog.PartDecisions(l.log, now, l.tracker.TakeDecisionChanges(now))
	if slices.Equal(list, l.current.Load().List) {
		return
	}
	l.held.Set(int64(len(list)))
	v := &partsView{List: list}
	if len(list) > 0 {
		v.Version = config.Checksum(mustEncode(list))
	}
	l.current.Store(v)
	l.changed.notify()
}

// fillReply sets the list if the caller has another one.
func (l *partLedger) fillReply(a wire.WatchArgs, r *wire.WatchReply) {
	if !a.KnowsParts {
		return
	}
	v := l.current.Load()
	r.KnowsParts = true
	if v.Version != a.Parts {
		r.Parts, r.PartsChanged, r.Part = v.Version, true, v.List
	}
}

// merge merges entries and returns the number of parts of which it has learned something new.
// That is sent on to the other instances if the reporter has sent it to this one alone.
func (l *partLedger) merge(now time.Time, entries []crash.Entry, direct bool) int {
	updated := l.tracker.Merge(now, entries)
	if direct {
		l.share(updated)
	}
	return len(updated)
}

// share queues what is known of the keys for the other instances.
func (l *partLedger) share(keys []string) {
	for _, p := range l.peers {
		for _, key := range keys {
			p.unsent[key] = true
		}
		if len(p.unsent) > 0 {
			p.notify()
		}
	}
}

func (p *partPeer) notify() {
	select {
	case p.wake <- struct{}{}:
	default: // it has been woken already
	}
}

// grantTrial reports whether a request may run once although it is held for the keys.
func (l *partLedger) grantTrial(now time.Time, keys []string) bool {
	l.tracker.PartVerdict(now, keys) // notes that requests with the parts still arrive
	if !l.tracker.AllowTrials(now, keys) {
		return false
	}
	l.share(keys)
	return true
}

// grantProbeWithoutLeader is grantTrial while no leader answers, or one of the previous
// release: undecided parts only, which nothing could prove sound otherwise.
func (l *partLedger) grantProbeWithoutLeader(now time.Time, keys []string) bool {
	verdict, _ := l.tracker.PartVerdict(now, keys)
	if verdict == crash.Blocked || !l.tracker.TrialDue(now, keys, true) {
		return false
	}
	return l.grantTrial(now, keys)
}

// validPartEntry reports whether an entry is about a part. Other control instances may also
// send trials.
func validPartEntry(e crash.Entry, fromControl bool) bool {
	return validPartKey(e.Fingerprint) && len(e.Upstream) <= maxPartKeyBytes && len(e.Addr) <= maxPartKeyBytes && len(e.Zone) <= maxPartKeyBytes &&
		(e.Outcome != crash.Trial || fromControl)
}

func validPartKey(key string) bool { return crash.IsPart(key) && len(key) <= maxPartKeyBytes }

// mergeParts validates and merges a report.
func (c *Control) mergeParts(a wire.PartsArgs, fromControl bool) error {
	if len(a.Entries) > wire.MaxPartEntries {
		return result.New(result.InvalidField, "%d entries in one report of parts, at most %d", len(a.Entries), wire.MaxPartEntries)
	}
	received := len(a.Entries)
	entries := slices.DeleteFunc(a.Entries, func(e crash.Entry) bool { return !validPartEntry(e, fromControl) })
	if len(entries) < received {
		c.logger.Warn("entries in a report of parts ignored", "from", clipName(a.Reporter), "ignored", received-len(entries))
	}
	_, err := askParts(c.ctx, c.parts, func(now time.Time) int { return c.parts.merge(now, entries, !fromControl) })
	return err
}

// clipName limits a name that another process has sent, for the log.
func clipName(name string) string { return name[:min(len(name), maxPartKeyBytes)] }

// Parts handles a report about parts of prompts.
func (s *service) Parts(a wire.PartsArgs, _ *wire.PartsReply) error {
	if err := s.checkRole("Parts", roleEntry, roleAgent); err != nil {
		return err
	}
	return peer.EncodeError(s.c.mergeParts(a, false))
}

// PartTrial decides whether a request that is held for parts may run once. The leader of group
// 0 decides for the fleet.
func (s *service) PartTrial(a wire.PartTrialArgs, r *wire.PartTrialReply) error {
	if err := s.checkRole("PartTrial", roleEntry); err != nil {
		return err
	}
	if len(a.Keys) == 0 || len(a.Keys) > maxHeldParts || !allOf(a.Keys, validPartKey) {
		return peer.EncodeError(result.New(result.InvalidField, "%d keys of parts", len(a.Keys)))
	}
	ctx, cancel := context.WithTimeout(s.c.ctx, partTrialTimeout)
	defer cancel()
	err := s.callLeader(ctx, fleetGroup, "PartTrial", a, r, func(ctx context.Context) (err error) {
		r.Granted, err = askParts(ctx, s.c.parts, func(now time.Time) bool { return s.c.parts.grantTrial(now, a.Keys) })
		return err
	})
	if err != nil && s.forward {
		s.c.logger.Info("no leader answers a request for a trial", "error", err)
		r.Granted, err = askParts(s.c.ctx, s.c.parts, func(now time.Time) bool { return s.c.parts.grantProbeWithoutLeader(now, a.Keys) })
	}
	if err == nil && r.Granted && s.forward {
		s.c.logger.Info("trial of a request with suspected parts granted", "holder", clipName(a.Holder), "keys", a.Keys)
	}
	return peer.EncodeError(err)
}

func allOf[T any](list []T, valid func(T) bool) bool {
	return !slices.ContainsFunc(list, func(v T) bool { return !valid(v) })
}

// MergeParts merges what another instance knows of parts.
func (s *memberService) MergeParts(a wire.PartsArgs, _ *wire.PartsReply) error {
	return peer.EncodeError(s.c.mergeParts(a, true))
}

// PullPartsArgs asks for everything that an instance knows of parts.
type PullPartsArgs struct{}

// PullParts returns what this instance knows of parts, for one that has started.
func (s *memberService) PullParts(_ PullPartsArgs, r *wire.PartsArgs) error {
	entries, err := askParts(s.c.ctx, s.c.parts, s.c.parts.tracker.Entries)
	r.Reporter, r.Entries = s.c.instance.ID, entries
	return peer.EncodeError(err)
}

// exchangeParts asks another control instance once for what it knows, and sends it what this
// one learns, until ctx ends.
func (c *Control) exchangeParts(ctx context.Context, p *partPeer, client *peer.Client) {
	defer client.Close()
	pulled, failing := false, false
	for ctx.Err() == nil {
		var err error
		if !pulled {
			err = c.pullParts(ctx, client)
			pulled = err == nil
		}
		if err == nil {
			err = c.sendParts(ctx, p, client)
		}
		if (err != nil) != failing {
			failing = err != nil
			c.logger.Info("exchange of suspected parts with a control instance failed or recovered", "peer", client.Addr(), "failing", failing, "error", err)
		}
		if err != nil {
			c.waitOrStop(partsExchangeDelay)
			continue
		}
		select {
		case <-p.wake:
		case <-ctx.Done():
		}
	}
}

func (c *Control) pullParts(ctx context.Context, client *peer.Client) error {
	ctx, cancel := context.WithTimeout(ctx, partsExchangeTimeout)
	defer cancel()
	var known wire.PartsArgs
	if err := client.Call(ctx, membersService+".PullParts", PullPartsArgs{}, &known); err != nil {
		return err
	}
	for batch := range slices.Chunk(known.Entries, wire.MaxPartEntries) {
		if err := c.mergeParts(wire.PartsArgs{Reporter: known.Reporter, Entries: batch}, true); err != nil {
			return err
		}
	}
	return nil
}

// unsentParts are the keys that another instance has not been sent, and what is known of them.
type unsentParts struct {
	keys    []string
	entries []crash.Entry
}

// sendParts sends another instance the entries that it has not been sent. If that fails, they
// are sent again.
func (c *Control) sendParts(ctx context.Context, p *partPeer, client *peer.Client) error {
	unsent, err := askParts(ctx, c.parts, func(now time.Time) unsentParts {
		keys := slices.Sorted(maps.Keys(p.unsent))
		clear(p.unsent)
		return unsentParts{keys, c.parts.tracker.EntriesOf(now, keys)}
	})
	for batch := range slices.Chunk(unsent.entries, wire.MaxPartEntries) {
		if err == nil {
			err = c.sendPartEntries(ctx, client, batch)
		}
	}
	if err == nil || len(unsent.keys) == 0 {
		return err
	}
	_, requeueErr := askParts(ctx, c.parts, func(time.Time) bool {
		for _, key := range unsent.keys {
			p.unsent[key] = true
		}
		return true
	})
	if requeueErr != nil && ctx.Err() == nil {
		c.logger.Warn("suspected parts not shared with a control instance", "peer", client.Addr(), "parts", len(unsent.keys), "error", requeueErr)
	}
	return err
}

func (c *Control) sendPartEntries(ctx context.Context, client *peer.Client, batch []crash.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, partsExchangeTimeout)
	defer cancel()
	return client.Call(ctx, membersService+".MergeParts", wire.PartsArgs{Reporter: c.instance.ID, Entries: batch}, &wire.PartsReply{})
}
