package agent

import (
	"context"
	"slices"
	"time"

	"heatherway.dev/core/order"
	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/result"
)

const (
	// orderLimit bounds one order. It is as long as control waits: the agent
	// sends no other order while the engine may still carry out this one, since
	// an engine that ignores fencing tokens would apply them in any sequence.
	orderTimeout = order.MaxRunMS * time.Millisecond
	// orderAge is how old a list of orders may be when one of them begins. Control
	// gives an order up after orderLimit and then plans without it.
	maxOrderAge = 5 * time.Minute
	// orderPause lies between calls to control that failed.
	orderRetryDelay = time.Second
)

// orderList is the orders that control listed at a time.
type orderList struct {
	receivedAt time.Time
	orders     []wire.Order
}

// followOrders hands the orders of a watch on. They are taken only from an
// answer that was read through a quorum: an instance that is behind may still
// list an order that was done long ago.
func (a *Agent) queueOrders(ctx context.Context, args *wire.WatchArgs, reply *wire.WatchReply) {
	fresh := args.Fresh
	args.Fresh = reply.OrdersChanged && len(reply.Order) > 0 && !fresh
	if !reply.OrdersChanged || args.Fresh {
		return
	}
	select {
	case <-a.orders: // replaced by the newer list
	default:
	}
	select {
	case a.orders <- orderList{time.Now(), reply.Order}:
		args.Orders = reply.Orders
	case <-ctx.Done():
	}
}

// orderRunner carries out orders one after another. Only orderLoop uses it.
type orderRunner struct {
	a          *Agent
	fenceGuard order.FenceGuard
	// ended are the reports of orders that have ended, the oldest first, so that
	// an order which is listed again is not carried out again.
	finished []wire.OrderDoneArgs
}

// orderLoop carries out orders until ctx ends.
func (a *Agent) orderLoop(ctx context.Context) {
	r := &orderRunner{a: a}
	for {
		select {
		case list := <-a.orders:
			r.runAll(ctx, list)
		case <-ctx.Done():
			return
		}
	}
}

// learn takes over the lowest acceptable fencing token before each order: the
// lease may have moved on while the order waited, or while this process was
// stopped.
func (r *orderRunner) refreshFence(ctx context.Context) {
	args := wire.OrderFenceArgs{Upstream: r.a.instance.ID}
	var reply wire.OrderFenceReply
	if r.callUntilAccepted(ctx, "Control.OrderFence", &args, &reply) {
		r.fenceGuard.SetMinimum(reply.Fence)
	}
}

func (r *orderRunner) runAll(ctx context.Context, list orderList) {
	for _, o := range list.orders {
		done := r.finishedReport(o.ID)
		if done == nil {
			done = r.runOrder(ctx, o, list.receivedAt)
		}
		if ctx.Err() != nil {
			return // the outcome is not known; control lists the order again
		}
		r.callUntilAccepted(ctx, "Control.OrderDone", done, &wire.OrderDoneReply{})
	}
}

func (r *orderRunner) finishedReport(id wire.ID) *wire.OrderDoneArgs {
	i := slices.IndexFunc(r.finished, func(d wire.OrderDoneArgs) bool { return d.ID == id })
	if i < 0 {
		return nil
	}
	return &r.finished[i]
}

// run carries out one order and returns its report.
func (r *orderRunner) runOrder(ctx context.Context, o wire.Order, listed time.Time) *wire.OrderDoneArgs {
	err := r.execute(ctx, o, listed)
	done := wire.OrderDoneArgs{ID: o.ID, Upstream: r.a.instance.ID, OK: err == nil}
	if err != nil {
		done.Message = err.Error()
	}
	r.a.log.Info("order ended", "order", o.ID, "kind", o.Kind, "model", o.Model, "fence", o.Fence, "error", err)
	r.finished = append(r.finished, done)
	if len(r.finished) > order.MaxFinished {
		r.finished = slices.Delete(r.finished, 0, 1)
	}
	return &done
}

func (r *orderRunner) execute(ctx context.Context, o wire.Order, listed time.Time) error {
	engine, ok := r.a.upstream.(adapter.Orderer)
	if !ok || o.Upstream != r.a.instance.ID {
		return result.New(result.ObjectUnknown, "the upstream %q takes no such order", r.a.instance.ID)
	}
	r.refreshFence(ctx)
	if time.Since(listed) > maxOrderAge {
		return result.New(result.DeadlineExceeded, "the order waited for more than %v", maxOrderAge).WithRan(result.NotRun)
	}
	if err := r.fenceGuard.Accept(o.Fence); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := engine.Order(ctx, o); err != nil {
		return err
	}
	r.a.refresh(ctx)
	return nil
}

// untilTaken repeats a call until a control instance has taken it or refused it
// for good. It returns false if ctx ended or the call was refused.
func (r *orderRunner) callUntilAccepted(ctx context.Context, method string, args, reply any) bool {
	for ctx.Err() == nil {
		err := r.a.control.call(ctx, method, args, reply)
		if err == nil {
			return true
		}
		r.a.log.Debug("call about orders failed", "method", method, "error", err)
		if result.Is(err, result.ObjectUnknown) {
			return false // control has forgotten the order
		}
		sleep(ctx, orderRetryDelay)
	}
	return false
}
