package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/member"
	"heatherway.dev/core/order"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
)

// acquireOrderLease acquires the order lease.
func acquireOrderLease(t *testing.T, s *service) wire.LeaseReply {
	t.Helper()
	var l wire.LeaseReply
	args := wire.LeaseArgs{Name: order.LeaseName, Holder: "op", Request: wire.NewID(), DurationMS: 1000}
	assert.NilError(t, s.OrderLease(args, &l))
	assert.Assert(t, l.Granted)
	return l
}

// Guards against an order that reaches an agent without a lease or before its
// release, and one that is delivered again after it was done.
func TestOrderDelivery(t *testing.T) {
	c := newRunningControl(t)
	s := &service{c: c}
	o := wire.Order{ID: wire.NewID(), Upstream: "a1", Kind: wire.LoadAdapter, Adapter: "wedding", Fence: 1}
	var r wire.OrderReply
	assert.Assert(t, s.Order(wire.OrderArgs{Order: o}, &r) != nil)
	o.Fence = acquireOrderLease(t, s).Fence
	assert.NilError(t, s.Order(wire.OrderArgs{Order: o}, &r))
	assert.Equal(t, r.Status, string(order.Staged))
	assert.Equal(t, len(c.ordersToRelease(c.fleet.view())), 0, "an instance that has just started must not release orders")
	c.membership.current.Store(&membershipView{Index: member.NewIndex([]wire.Upstream{newUpstream("a1", "z1")}), Warm: true})
	assert.DeepEqual(t, c.ordersToRelease(c.fleet.view()), []wire.ID{o.ID})
	c.propose(t.Context(), fleetCommand{Order: &order.Command{Release: []wire.ID{o.ID}}})

	watch := wire.WatchArgs{Instance: "a1", Role: "agent", Revision: 1 << 40, Suspects: 1 << 40}
	var w wire.WatchReply
	assert.NilError(t, s.Watch(watch, &w))
	assert.Assert(t, w.OrdersChanged && len(w.Order) == 1 && w.Order[0] == o)
	var done wire.OrderDoneReply
	assert.NilError(t, s.OrderDone(wire.OrderDoneArgs{ID: o.ID, Upstream: "a1", OK: true}, &done))
	watch.Orders = w.Orders
	w = wire.WatchReply{}
	assert.NilError(t, s.Watch(watch, &w))
	assert.Assert(t, w.OrdersChanged && len(w.Order) == 0)
}

// Guards against a lease that does not expire, a fencing token that is too low
// for an agent after its restart, and orders from a process that may not issue
// any.
func TestExpiredLeaseKeepsFence(t *testing.T) {
	c := newRunningControl(t)
	s := &service{c: c}
	l := acquireOrderLease(t, s)
	var fence wire.OrderFenceReply
	assert.NilError(t, s.OrderFence(wire.OrderFenceArgs{Upstream: "a1"}, &fence))
	assert.Equal(t, fence.Fence, l.Fence)
	begin := time.Now()
	waitFor(t, func() bool { return c.fleet.view().Leases[0].Holder == "" })
	assert.Assert(t, time.Since(begin) > 900*time.Millisecond)
	next := acquireOrderLease(t, s)
	assert.Assert(t, next.Fence > l.Fence)
	err := s.Order(wire.OrderArgs{Order: wire.Order{ID: "1", Upstream: "a", Kind: wire.SetRole, Role: "x", Fence: l.Fence}}, &wire.OrderReply{})
	assert.ErrorContains(t, err, "4093")
	secured := &Control{security: &peer.Security{}}
	err = (&service{c: secured, roles: peer.Roles{roleAgent}}).Order(wire.OrderArgs{}, &wire.OrderReply{})
	assert.ErrorContains(t, err, "4030")
	assert.NilError(t, (&service{c: secured, roles: peer.Roles{roleOperator}}).checkOperatorRole())
}
