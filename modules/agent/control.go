package agent

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
)

const (
	// announceInterval is a third of the time after which control counts a
	// silent agent as lost.
	announceInterval = 2 * time.Second
	// announceLimit bounds one message, so that a silent control instance
	// delays nothing.
	announceLimit = time.Second
	// watchWait is how long a watch hangs without a change.
	watchWait = 2 * time.Second
	// watchLimit bounds the call with its hang.
	watchLimit = watchWait + time.Second
	// watchPause is the pause after a failed watch.
	watchPause = 250 * time.Millisecond
)

// controlClient holds one connection to each control instance.
type controlClient struct {
	security *peer.Security
	clients  []*peer.Client
	announce chan struct{}
	watch    chan struct{}

	preferred atomic.Int32 // index of the instance that answered last

	mu     sync.Mutex
	others map[string]*peer.Client
}

func newControlClient(s *peer.Security, addrs []string) *controlClient {
	c := &controlClient{
		security: s, others: map[string]*peer.Client{},
		announce: make(chan struct{}, 1), watch: make(chan struct{}, 1),
	}
	for _, addr := range addrs {
		c.clients = append(c.clients, s.NewClient(addr))
	}
	return c
}

func (c *controlClient) announceNow() { signal(c.announce) }
func (c *controlClient) watchNow()    { signal(c.watch) }

func (c *controlClient) close() {
	for _, cl := range c.clients {
		cl.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cl := range c.others {
		cl.Close()
	}
}

// announceLoop tells every control instance about the upstream. All of them
// are told, since membership is soft state that they do not copy from each
// other: an entry may watch any of them, and an isolated one loses only its own
// view. At nine control instances this is under 1 KB/s.
func (a *Agent) announceLoop(ctx context.Context) {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		for _, cl := range a.control.clients {
			go a.announceTo(ctx, cl)
		}
		select {
		case <-tick.C:
		case <-a.control.announce:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) announceTo(ctx context.Context, cl *peer.Client) {
	ctx, cancel := context.WithTimeout(ctx, announceLimit)
	defer cancel()
	args := wire.AnnounceArgs{Upstream: a.describe(), Revision: a.snapshot.Load().revision}
	var reply wire.AnnounceReply
	if err := cl.Call(ctx, "Control.Announce", &args, &reply); err != nil {
		a.log.Debug("announce failed", "control", cl.Addr(), "error", err)
		return
	}
	if reply.Refused {
		a.log.Error("a newer process announces the same instance id", "control", cl.Addr())
	}
	a.post(heardEvent{reply.Revision})
}

// heardEvent carries a revision number that a peer knows.
type heardEvent struct{ revision uint64 }

func (e heardEvent) apply(o *owner, now time.Time) { o.heardOf(now, e.revision) }

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
	case !now.up:
		u.State = wire.UpstreamDown
	}
	return u
}

// watchLoop keeps a long poll at one control instance and moves to the next
// one on failure.
func (a *Agent) watchLoop(ctx context.Context) {
	if len(a.control.clients) == 0 {
		return
	}
	args := wire.WatchArgs{
		Instance: a.instance.ID, Role: "agent", Zone: a.instance.Zone,
		Fresh: true, WaitMS: watchWait.Milliseconds(),
	}
	for i := 0; ctx.Err() == nil; {
		cl := a.control.clients[i%len(a.control.clients)]
		if err := a.watchOnce(ctx, cl, &args); err != nil {
			a.log.Debug("watch failed", "control", cl.Addr(), "error", err)
			i++
			sleep(ctx, watchPause)
		}
	}
}

func (a *Agent) watchOnce(ctx context.Context, cl *peer.Client, args *wire.WatchArgs) error {
	ctx, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	go a.cutWatch(ctx, cancel)
	var reply wire.WatchReply
	if err := cl.Call(ctx, "Control.Watch", args, &reply); err != nil {
		return err
	}
	var doc *config.Document
	if len(reply.Config) > 0 {
		doc = new(config.Document)
		if err := json.Unmarshal(reply.Config, doc); err != nil {
			return err
		}
	}
	if reply.Revision >= args.Revision {
		args.Revision = reply.Revision
		a.post(configEvent{reply.Revision, doc})
	}
	if reply.SuspectsChanged {
		args.Suspects = reply.Suspects
		a.post(suspectsEvent{reply.Suspect})
	}
	a.followOrders(ctx, args, &reply)
	return nil
}

// cutWatch ends a long poll once a newer revision is heard of than this
// instance has sent: it may be cut off from the others without knowing it.
func (a *Agent) cutWatch(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-a.control.watch:
		cancel()
	case <-ctx.Done():
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
