package control

import (
	"context"
	"time"

	"heatherway.dev/core/config"
	"heatherway.dev/core/lease"
	"heatherway.dev/core/order"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// leaderTaskInterval is how often the leader of group 0 looks for leases to
// expire and orders to release.
const leaderTaskInterval = 200 * time.Millisecond

// runLeaderTasks runs the periodic tasks of the leader of group 0 until ctx
// ends.
func (c *Control) runLeaderTasks(ctx context.Context) {
	tick := time.NewTicker(leaderTaskInterval)
	defer tick.Stop()
	var timer lease.Timer
	begin := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !c.log.Leader(fleetGroup).Local {
			timer.Update(time.Since(begin).Milliseconds(), nil)
			continue
		}
		v := c.fleet.view()
		if v.RecordGroups == 0 {
			c.propose(ctx, fleetCommand{RecordGroups: c.RecordGroups})
		}
		for _, e := range timer.Update(time.Since(begin).Milliseconds(), v.Leases) {
			c.propose(ctx, fleetCommand{Lease: &lease.Command{Expire: &e}})
		}
		if ids := c.ordersToRelease(v); len(ids) > 0 {
			c.propose(ctx, fleetCommand{Order: &order.Command{Release: ids}})
		}
	}
}

// ordersToRelease returns the orders to release. There are none while this
// instance has just started, since it does not yet know which upstreams serve a
// model.
func (c *Control) ordersToRelease(v *fleetView) []wire.ID {
	members := c.membership.view()
	if !members.Warm || len(v.Orders) == 0 {
		return nil
	}
	now := nowMS()
	loads := int(v.Doc.Int("weights.loads", config.Scope{}, time.UnixMilli(now)))
	return order.Plan(now, v.Orders, members.Index.Members(), loads)
}

// propose applies a command that the leader itself issues. If it fails, the
// next run of the leader's tasks proposes what is still needed.
func (c *Control) propose(ctx context.Context, cmd fleetCommand) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if _, err := c.applyFleet(ctx, cmd); err != nil {
		c.logger.Debug("periodic command of the leader failed; it is proposed again if still needed", "error", err)
	}
}

// checkOperatorRole refuses callers that are neither operators nor control
// instances.
func (s *service) checkOperatorRole() error {
	if s.c.security.Off() || s.roles.HasAny(roleOperator, roleControl) {
		return nil
	}
	return result.New(result.RoleForbidden, "roles %q may not issue orders", []string(s.roles))
}

// OrderLease grants, renews or releases a lease, such as the one that an issuer
// of orders must hold.
func (s *service) OrderLease(a wire.LeaseArgs, r *wire.LeaseReply) error {
	if err := s.checkOperatorRole(); err != nil {
		return peer.EncodeError(err)
	}
	cmd := lease.Command{Acquire: &lease.Acquire{Name: a.Name, Holder: a.Holder, Request: a.Request, DurationMS: a.DurationMS}}
	switch {
	case a.Release:
		cmd = lease.Command{Release: &lease.Release{Name: a.Name, Fence: a.Fence}}
	case a.Fence != 0:
		cmd = lease.Command{Renew: &lease.Renew{Name: a.Name, Fence: a.Fence}}
	}
	return peer.EncodeError(s.applyLease(a, r, cmd))
}

func (s *service) applyLease(a wire.LeaseArgs, r *wire.LeaseReply, cmd lease.Command) error {
	return s.applyAtLeader("OrderLease", a, r, fleetCommand{Lease: &cmd}, func(reply fleetReply) {
		l := reply.Lease.Lease
		*r = wire.LeaseReply{Granted: reply.Lease.Granted, Holder: l.Holder, Fence: l.Fence, DurationMS: l.DurationMS}
	})
}

// Order stages an order to an upstream.
func (s *service) Order(a wire.OrderArgs, r *wire.OrderReply) error {
	return s.handleOrder("Order", a, r, order.Command{Stage: &a.Order})
}

// CancelOrder cancels an order that has not been released.
func (s *service) CancelOrder(a wire.CancelOrderArgs, r *wire.OrderReply) error {
	return s.handleOrder("CancelOrder", a, r, order.Command{Cancel: a.ID})
}

func (s *service) handleOrder(method string, a any, r *wire.OrderReply, cmd order.Command) error {
	if err := s.checkOperatorRole(); err != nil {
		return peer.EncodeError(err)
	}
	return peer.EncodeError(s.applyOrder(method, a, r, cmd))
}

func (s *service) applyOrder(method string, a any, r *wire.OrderReply, cmd order.Command) error {
	return s.applyAtLeader(method, a, r, fleetCommand{Order: &cmd}, func(reply fleetReply) {
		*r = wire.OrderReply{Status: string(reply.Order.Status), Message: reply.Order.Message}
	})
}

// OrderDone handles an agent's report that an order has ended.
func (s *service) OrderDone(a wire.OrderDoneArgs, r *wire.OrderDoneReply) error {
	return s.fleetCall("OrderDone", a, r, fleetCommand{Order: &order.Command{Done: &a}}, func(fleetReply) {})
}

// OrderFence returns the lowest fencing token that an agent may accept after
// its start: that of the last grant of the order lease, read through a quorum.
// An order with an earlier token is refused even if it has been released.
func (s *service) OrderFence(_ wire.OrderFenceArgs, r *wire.OrderFenceReply) error {
	ctx, cancel := s.context()
	defer cancel()
	if err := s.c.reachQuorum(ctx); err != nil {
		return peer.EncodeError(err)
	}
	for _, l := range s.c.fleet.view().Leases {
		if l.Name == order.LeaseName {
			r.Fence = l.Fence
		}
	}
	return nil
}
