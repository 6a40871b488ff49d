package entry

import (
	"context"
	"time"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/recovery"
)

// Timing of the watch.
const (
	// watchHoldTime is how long a control instance holds a watch while there are
	// no changes.
	watchHoldTime = 2 * time.Second
	// watchTimeout bounds a watch call.
	watchTimeout = watchHoldTime + time.Second
	// watchRetryDelay is the delay before the next watch after a failure.
	watchRetryDelay = 100 * time.Millisecond
)

// watchAlways runs watch and starts it again after a panic on the content of a reply, which
// must not end the process.
func (o *owner) watchAlways(ctx context.Context) {
	for ctx.Err() == nil {
		_ = recovery.Run(o.module.log, "watch of the control instances", func() { o.watch(ctx) })
		sleep(ctx, watchRetryDelay)
	}
}

// watch follows the configuration, the subset of upstreams, the suspects and suspected parts by
// long polls of one control instance. It changes to the next instance after a
// failure.
func (o *owner) watch(ctx context.Context) {
	args := wire.WatchArgs{
		Instance: o.module.instance.ID, Role: "entry", Zone: o.module.instance.Zone,
		Fresh: true, Deltas: true, WaitMS: watchHoldTime.Milliseconds(), KnowsParts: true,
	}
	for i := 0; ctx.Err() == nil; {
		reported, fresh := o.newestRevision.Load(), args.Fresh
		client := o.module.pool.client(o.module.Control[i%len(o.module.Control)])
		var reply wire.WatchReply
		if err := pollWatch(ctx, client, &args, &reply); err != nil {
			o.module.log.Debug("watch failed; trying the next control instance", "control", client.Addr(), "error", err)
			o.module.metrics.watchFailures.Inc()
			i++
			sleep(ctx, watchRetryDelay)
			continue
		}
		failed := o.applyUpdate(ctx, &args, &reply)
		if fresh {
			o.dropUnknownRevision(reported, reply.Revision)
		}
		// Changes to the next instance if this one is behind a revision that a peer has
		// reported, or if its reply could not be applied.
		if newest := o.newestRevision.Load(); failed || args.Revision < max(reply.Revision, newest) {
			i++
			args.Fresh = reply.Revision < newest
			sleep(ctx, watchRetryDelay)
		}
	}
}

// dropUnknownRevision drops a revision that a peer had reported before a watch that reached
// a quorum, if the quorum knows only older ones. Otherwise one false report would make the
// entry refuse requests for ever.
func (o *owner) dropUnknownRevision(reported, known uint64) {
	if reported > known && o.newestRevision.CompareAndSwap(reported, known) {
		o.module.log.Warn("a peer has reported a revision of the configuration that does not exist", "reported", reported, "newest", known)
	}
}

func pollWatch(ctx context.Context, c *peer.Client, args *wire.WatchArgs, reply *wire.WatchReply) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return c.Call(ctx, wire.ControlService+".Watch", args, reply)
}

// applyUpdate passes the reply to the owner and sets args to continue from the
// versions that the owner then has. It reports whether a part could not be applied.
func (o *owner) applyUpdate(ctx context.Context, args *wire.WatchArgs, reply *wire.WatchReply) (failed bool) {
	applied := make(chan watchVersions, 1)
	versions, ok := query(ctx, o, watchUpdate{reply, applied}, applied)
	if !ok {
		return true
	}
	args.Fresh = false
	args.Revision, args.Members, args.Suspects, args.Parts = versions.revision, versions.members, versions.suspects, versions.parts
	return versions.failed
}
