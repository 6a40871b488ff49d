package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/config"
	"heatherway.dev/core/quarantine"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
)

const (
	// announceInterval is a third of the time after which control considers an
	// agent without announcements lost.
	announceInterval = 2 * time.Second
	// announceTimeout bounds one announcement, so that an unresponsive control
	// instance does not delay the attempt at the next one.
	announceTimeout = time.Second
	// longPollWait is how long control holds a watch call open while nothing changes.
	longPollWait = 2 * time.Second
	// watchTimeout bounds a watch call including that wait.
	watchTimeout = longPollWait + time.Second
	// watchRetryDelay is the delay after a failed watch.
	watchRetryDelay = 250 * time.Millisecond
)

// controlClient calls the control instances. It holds a client for each of them.
type controlClient struct {
	security         *peer.Security
	clients          []*peer.Client
	announceRequests chan struct{}
	watchRequests    chan struct{}

	preferred atomic.Int32 // index of the instance that answered the last call
	current   atomic.Int32 // index of the instance to which watches and announcements go

	mu            sync.Mutex
	leaderClients map[string]*peer.Client
}

func newControlClient(s *peer.Security, addrs []string) *controlClient {
	c := &controlClient{
		security: s, leaderClients: map[string]*peer.Client{},
		announceRequests: make(chan struct{}, 1), watchRequests: make(chan struct{}, 1),
	}
	for _, addr := range addrs {
		c.clients = append(c.clients, s.NewClient(addr))
	}
	return c
}

func (c *controlClient) announceNow() { notify(c.announceRequests) }
func (c *controlClient) watchNow()    { notify(c.watchRequests) }

// currentIndex returns the index of the instance to watch and to announce to.
func (c *controlClient) currentIndex() int32 { return c.current.Load() }

// switchFrom switches from instance n to the next one, unless another goroutine has
// done so already.
func (c *controlClient) switchFrom(n int32) {
	c.current.CompareAndSwap(n, (n+1)%int32(len(c.clients)))
}

func (c *controlClient) close() {
	for _, cl := range c.clients {
		cl.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cl := range c.leaderClients {
		cl.Close()
	}
}

// announceLoop announces the upstream to one control instance, periodically and when
// its state changes. The control instances exchange announcements among themselves
// (docs/notes/membership.md).
func (a *Agent) announceLoop(ctx context.Context) {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	var seq uint64
	for {
		for range a.control.clients {
			seq++
			if a.announceTo(ctx, a.control.currentIndex(), seq) {
				break
			}
		}
		select {
		case <-tick.C:
		case <-a.control.announceRequests:
		case <-ctx.Done():
			return
		}
	}
}

// announceTo sends one announcement to instance n. If the call fails, or the instance
// has no quorum, it switches to the next instance and returns false.
func (a *Agent) announceTo(ctx context.Context, n int32, seq uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	cl := a.control.clients[n]
	args := wire.AnnounceArgs{Upstream: a.describe(), Seq: seq, Revision: a.snapshot.Load().revision}
	var reply wire.AnnounceReply
	if err := cl.Call(ctx, "Control.Announce", &args, &reply); err != nil {
		a.log.Debug("announcement failed; switching to the next control instance", "control", cl.Addr(), "error", err)
		a.control.switchFrom(n)
		return false
	}
	if reply.Refused {
		a.log.Error("control refused the announcement: a newer process uses the same instance id", "control", cl.Addr())
	}
	a.post(revisionEvent{reply.Revision})
	return true
}

// revisionEvent carries a configuration revision that a peer knows.
type revisionEvent struct{ revision uint64 }

func (e revisionEvent) apply(o *owner, now time.Time) { o.noteRevision(now, e.revision) }

// describe returns the announcement of the upstream in its present state.
func (a *Agent) describe() wire.Upstream {
	info, now := a.upstream.Info(), a.snapshot.Load()
	u := wire.Upstream{
		ID: a.instance.ID, Incarnation: a.incarnation, Zone: a.instance.Zone, Region: a.instance.Region,
		Addr: a.Advertise, Models: info.Models, Adapters: info.Adapters, Services: info.Services,
		Slots: uint32(info.Slots), EventsURL: info.EventsURL,
	}
	switch {
	case now.load.Leaving:
		u.State = wire.UpstreamLeaving
	case !now.up, time.Now().Before(now.backoffUntil), now.revision == 0 && len(a.Control) > 0:
		// An agent without a configuration accepts no work yet.
		u.State = wire.UpstreamDown
	}
	return u
}

// watchState is the state that the agent has received through watches. Only
// watchLoop uses it.
type watchState struct {
	args     wire.WatchArgs
	doc      *config.Document
	suspects []wire.Suspect
	parts    wire.PartList
}

// watchLoop long-polls one control instance and switches to the next one on failure.
func (a *Agent) watchLoop(ctx context.Context) {
	if len(a.control.clients) == 0 {
		return
	}
	w := &watchState{args: wire.WatchArgs{
		Instance: a.instance.ID, Role: "agent", Zone: a.instance.Zone,
		Fresh: true, Deltas: true, WaitMS: longPollWait.Milliseconds(), KnowsParts: true,
	}}
	for ctx.Err() == nil {
		n := a.control.currentIndex()
		if err := a.watchOnce(ctx, a.control.clients[n], w); err != nil {
			a.log.Debug("watch failed; switching to the next control instance", "control", a.control.clients[n].Addr(), "error", err)
			a.control.switchFrom(n)
			sleep(ctx, watchRetryDelay)
		}
	}
}

func (a *Agent) watchOnce(ctx context.Context, cl *peer.Client, w *watchState) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	go a.endStaleWatch(ctx, cancel)
	reported, fresh := a.snapshot.Load().latestRevision, w.args.Fresh
	var reply wire.WatchReply
	if err := cl.Call(ctx, "Control.Watch", &w.args, &reply); err != nil {
		return err
	}
	if err := a.applyConfig(w, &reply); err != nil {
		return err
	}
	a.applySuspects(w, &reply)
	a.applyParts(w, &reply)
	a.queueOrders(ctx, &w.args, &reply)
	if reported > reply.Revision {
		// Only an instance that reaches a quorum can tell that the revision does not exist.
		if fresh {
			a.post(unknownRevisionEvent{reported, reply.Revision})
		}
		w.args.Fresh = w.args.Fresh || !fresh
	}
	return nil
}

// applyConfig applies a newer configuration. After a delta that does not apply to the
// current document, the next watch requests the whole document.
func (a *Agent) applyConfig(w *watchState, reply *wire.WatchReply) error {
	doc, err := config.ApplyUpdate(w.doc, reply.Config, reply.Step)
	if err != nil {
		w.args.Revision = 0
		return err
	}
	if doc == nil {
		return nil
	}
	if w.doc != nil && doc.Revision < w.doc.Revision {
		return errors.Errorf("revision %d is older than %d, which is in force", doc.Revision, w.doc.Revision)
	}
	if doc != w.doc {
		a.post(configEvent{doc.Revision, doc})
	}
	w.doc, w.args.Revision = doc, doc.Revision
	return nil
}

func (a *Agent) applySuspects(w *watchState, reply *wire.WatchReply) {
	if !reply.SuspectsChanged {
		return
	}
	quarantine.SetLocalExpiry(time.Now().UnixMilli(), reply.Suspect)
	w.suspects, w.args.Suspects = quarantine.ApplyReply(w.suspects, reply), reply.Suspects
	a.post(suspectsEvent{w.suspects})
}

// endStaleWatch cancels a watch when a peer knows a newer revision than the watched
// instance has sent: that instance may be partitioned from the others without
// having noticed.
func (a *Agent) endStaleWatch(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-a.control.watchRequests:
		cancel()
	case <-ctx.Done():
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
