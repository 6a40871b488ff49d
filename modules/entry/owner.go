package entry

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
)

// Timing of the watch.
const (
	// watchWait is how long a control instance holds a watch without news.
	watchWait = 2 * time.Second
	// watchLimit ends a watch that does not return.
	watchLimit = watchWait + time.Second
	// watchPause separates attempts after a failure.
	watchPause = 100 * time.Millisecond
	// behindLimit is how long a newer revision may be known but not fetched.
	behindLimit = 5 * time.Second
)

// Size and patience of the event queue.
const (
	eventQueue = 4096
	// eventPatience bounds how long a sender waits to report a failure.
	eventPatience = 50 * time.Millisecond
)

type eventKind uint8

const (
	eventSent eventKind = iota + 1
	eventDone
	eventLoad
	eventRevision
)

// event is what a traffic goroutine tells the owner.
type event struct {
	kind     eventKind
	upstream string
	load     wire.Load
	revision uint64
	failed   bool
}

// owner holds the control state of the entry in one goroutine. Traffic reads
// snapshots and sends events. A full queue drops load samples, since the next
// one replaces them; other events wait for eventPatience and are then counted
// as lost.
type owner struct {
	m       *Module
	snap    atomic.Pointer[snapshot]
	events  chan event
	replies chan *wire.WatchReply
	// kick ends the wait of a watch when a newer revision is known.
	newest atomic.Uint64

	next       snapshot
	members    uint64
	suspectsAt uint64
	newerSince time.Time
}

func newOwner(m *Module) *owner {
	o := &owner{m: m, events: make(chan event, eventQueue), replies: make(chan *wire.WatchReply)}
	o.snap.Store(&snapshot{})
	o.next.upstreams = map[string]*upstream{}
	return o
}

func (o *owner) current() *snapshot { return o.snap.Load() }

// send reports an event.
func (o *owner) send(e event) {
	select {
	case o.events <- e:
		return
	default:
	}
	if e.kind == eventLoad {
		o.m.metrics.samplesDropped.Inc()
		return
	}
	t := time.NewTimer(eventPatience)
	defer t.Stop()
	select {
	case o.events <- e:
	case <-t.C:
		o.m.metrics.eventsDropped.Inc()
	}
}

func (o *owner) run(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-o.replies:
			o.learn(r, time.Now())
		case e := <-o.events:
			o.take(e)
			o.drain()
		case now := <-tick.C:
			o.checkBehind(now)
		}
		o.publish()
	}
}

func (o *owner) drain() {
	for range eventQueue {
		select {
		case e := <-o.events:
			o.take(e)
		default:
			return
		}
	}
}

// publish hands out a copy of the state.
func (o *owner) publish() {
	s := o.next
	s.upstreams = make(map[string]*upstream, len(o.next.upstreams))
	for id, u := range o.next.upstreams {
		c := *u
		s.upstreams[id] = &c
	}
	o.snap.Store(&s)
	if s.doc != nil {
		o.m.ready.Store(true)
	}
}

func (o *owner) take(e event) {
	if e.kind == eventRevision {
		o.checkBehind(time.Now())
		return
	}
	u, ok := o.next.upstreams[e.upstream]
	if !ok {
		return
	}
	switch e.kind {
	case eventSent:
		u.inFlight++
		u.since++
	case eventDone:
		u.inFlight--
	case eventLoad:
		u.load, u.since = e.load, 0
	}
}

// seen notes the newest revision that a peer knows.
func (o *owner) seen(revision uint64) {
	for {
		old := o.newest.Load()
		if revision <= old {
			return
		}
		if o.newest.CompareAndSwap(old, revision) {
			o.send(event{kind: eventRevision, revision: revision})
			return
		}
	}
}

func (o *owner) checkBehind(now time.Time) {
	if o.next.revision() >= o.newest.Load() {
		o.newerSince, o.next.behind = time.Time{}, false
		return
	}
	if o.newerSince.IsZero() {
		o.newerSince = now
	}
	o.next.behind = now.Sub(o.newerSince) >= behindLimit
}

// learn takes the news of a watch. A revision lower than the current one is
// ignored, since an accepted configuration never reverts.
func (o *owner) learn(r *wire.WatchReply, now time.Time) {
	if len(r.Config) > 0 && (o.next.doc == nil || r.Revision > o.next.revision()) {
		o.learnConfig(r.Config)
	}
	if r.MembersChanged {
		o.members = r.Members
		o.learnMembers(r.Upstreams)
	}
	if r.SuspectsChanged {
		o.suspectsAt = r.Suspects
		o.next.suspects = suspectIndex(r.Suspect, now)
	}
	o.checkBehind(now)
}

func (o *owner) learnConfig(text []byte) {
	doc := &config.Document{}
	if err := json.Unmarshal(text, doc); err != nil {
		o.m.log.Error("cannot decode the configuration", "error", err)
		return
	}
	o.next.doc, o.next.keys = doc, keyIndex(doc)
	o.m.metrics.revision.Set(int64(doc.Revision))
	o.m.log.Info("configuration in force", "revision", doc.Revision)
}

// learnMembers replaces the subset and keeps what is known about upstreams of
// the same incarnation.
func (o *owner) learnMembers(list []wire.Upstream) {
	old := o.next.upstreams
	o.next.upstreams = make(map[string]*upstream, len(list))
	for _, w := range list {
		u := &upstream{Upstream: w}
		if was, ok := old[w.ID]; ok {
			if was.Incarnation > w.Incarnation {
				o.next.upstreams[w.ID] = was
				continue
			}
			u.inFlight = was.inFlight
			if was.Incarnation == w.Incarnation {
				u.load, u.since, u.breaker = was.load, was.since, was.breaker
			}
		}
		o.next.upstreams[w.ID] = u
	}
}

// watch polls the control instances, any one that answers.
func (o *owner) watch(ctx context.Context) {
	args := wire.WatchArgs{
		Instance: o.m.instance.ID, Role: "entry", Zone: o.m.instance.Zone,
		Fresh: true, WaitMS: watchWait.Milliseconds(),
	}
	for i := 0; ctx.Err() == nil; {
		client := o.m.agents.client(o.m.Control[i%len(o.m.Control)])
		var reply wire.WatchReply
		if err := o.poll(ctx, client, &args, &reply); err != nil {
			o.m.log.Debug("watch failed", "control", client.Addr(), "error", err)
			o.m.metrics.watchFailures.Inc()
			i++
			wait(ctx, watchPause)
			continue
		}
		// An instance that lags behind what a peer knows is left for another.
		if reply.Revision < args.Revision || reply.Revision < o.newest.Load() {
			i++
			wait(ctx, watchPause)
		}
		o.deliver(ctx, &args, &reply)
	}
}

func (o *owner) poll(ctx context.Context, c *peer.Client, args *wire.WatchArgs, reply *wire.WatchReply) error {
	ctx, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	return c.Call(ctx, wire.ControlService+".Watch", args, reply)
}

func (o *owner) deliver(ctx context.Context, args *wire.WatchArgs, reply *wire.WatchReply) {
	select {
	case o.replies <- reply:
	case <-ctx.Done():
		return
	}
	args.Fresh = false
	if len(reply.Config) > 0 && reply.Revision > args.Revision {
		args.Revision = reply.Revision
	}
	if reply.MembersChanged {
		args.Members = reply.Members
	}
	if reply.SuspectsChanged {
		args.Suspects = reply.Suspects
	}
}
