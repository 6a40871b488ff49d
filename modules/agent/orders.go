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
	// orderTimeout bounds one order and equals the time that control waits for it.
	// The agent sends no other order while the engine may still execute this one,
	// since an engine that ignores fencing tokens could apply them in any sequence.
	orderTimeout = order.MaxRunMS * time.Millisecond
	// maxOrderAge is how old a list of orders may be when one of them starts. Control
	// gives up an order after orderTimeout and then plans without it.
	maxOrderAge = 5 * time.Minute
	// orderRetryDelay is the delay after a failed call to control.
	orderRetryDelay = time.Second
)

// orderList is a list of orders from control with the time of its receipt.
type orderList struct {
	receivedAt time.Time
	orders     []wire.Order
}

// queueOrders passes the orders in a watch reply to orderLoop. It accepts orders only
// if control has read them through a quorum, since an instance that is behind may still
// list an order that finished long ago. Otherwise the next watch asks for such a read.
func (a *Agent) queueOrders(ctx context.Context, args *wire.WatchArgs, reply *wire.WatchReply) {
	fresh := args.Fresh
	args.Fresh = reply.OrdersChanged && len(reply.Order) > 0 && !fresh
	if !reply.OrdersChanged || args.Fresh {
		return
	}
	select {
	case <-a.orders: // superseded by the newer list
	default:
	}
	select {
	case a.orders <- orderList{time.Now(), reply.Order}:
		args.Orders = reply.Orders
	case <-ctx.Done():
	}
}

// orderRunner executes orders one after another. Only orderLoop uses it.
type orderRunner struct {
	a          *Agent
	fenceGuard order.FenceGuard
	// finished holds the reports of finished orders, oldest first, so that an order
	// that is listed again is not executed again.
	finished []wire.OrderDoneArgs
}

// orderLoop executes orders until ctx ends.
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

// refreshFence fetches the lowest acceptable fencing token from control. It runs
// before each order, since the lease may have changed while the order waited or
// while this process was suspended.
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
			return // the outcome is unknown; control lists the order again
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

// runOrder executes one order and returns its report.
func (r *orderRunner) runOrder(ctx context.Context, o wire.Order, listed time.Time) *wire.OrderDoneArgs {
	err := r.execute(ctx, o, listed)
	done := wire.OrderDoneArgs{ID: o.ID, Upstream: r.a.instance.ID, OK: err == nil}
	if err != nil {
		done.Message = err.Error()
	}
	r.a.log.Info("order finished", "order", o.ID, "kind", o.Kind, "model", o.Model, "fence", o.Fence, "error", err)
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

// callUntilAccepted repeats a call until control accepts it, control no longer knows
// the order, or ctx ends. It returns true if control has accepted the call.
func (r *orderRunner) callUntilAccepted(ctx context.Context, method string, args, reply any) bool {
	for ctx.Err() == nil {
		err := r.a.control.call(ctx, method, args, reply)
		if err == nil {
			return true
		}
		r.a.log.Debug("call to control for an order failed", "method", method, "error", err)
		if result.Is(err, result.ObjectUnknown) {
			return false // control no longer knows the order
		}
		sleep(ctx, orderRetryDelay)
	}
	return false
}
