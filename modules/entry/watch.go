package entry

import (
	"context"
	"time"

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
)

// watch polls the control instances, any one that answers.
func (o *owner) watch(ctx context.Context) {
	args := wire.WatchArgs{
		Instance: o.m.instance.ID, Role: "entry", Zone: o.m.instance.Zone,
		Fresh: true, Deltas: true, WaitMS: watchWait.Milliseconds(),
	}
	for i := 0; ctx.Err() == nil; {
		client := o.m.agents.client(o.m.Control[i%len(o.m.Control)])
		var reply wire.WatchReply
		if err := poll(ctx, client, &args, &reply); err != nil {
			o.m.log.Debug("watch failed", "control", client.Addr(), "error", err)
			o.m.metrics.watchFailures.Inc()
			i++
			wait(ctx, watchPause)
			continue
		}
		o.deliver(ctx, &args, &reply)
		// An instance that is behind what a peer has shown is left for another.
		if args.Revision < o.newest.Load() {
			i++
			wait(ctx, watchPause)
		}
	}
}

func poll(ctx context.Context, c *peer.Client, args *wire.WatchArgs, reply *wire.WatchReply) error {
	ctx, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	return c.Call(ctx, wire.ControlService+".Watch", args, reply)
}

// deliver hands the news to the owner and goes on from what it has taken.
func (o *owner) deliver(ctx context.Context, args *wire.WatchArgs, reply *wire.WatchReply) {
	taken := make(chan versions, 1)
	v, ok := ask(ctx, o, news{reply, taken}, taken)
	if !ok {
		return
	}
	args.Fresh = false
	args.Revision, args.Members, args.Suspects = v.revision, v.members, v.suspects
}
