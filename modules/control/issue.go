package control

import (
	"heatherway.dev/core/lease"
	"heatherway.dev/core/order"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// operatorsHolder is the holder of the order lease for all operators. They
// share one lease, since a new grant would cancel the orders that another
// operator has staged.
const operatorsHolder = "operators"

// IssueOrder stages an operator's order under the lease that all operators
// share.
func (s *adminService) IssueOrder(a wire.IssueOrderArgs, r *wire.OrderReply) error {
	err := checkOperator(a.Operator)
	if err == nil {
		err = s.issueOrder(a.Order, r)
	}
	s.logAudit("order", a.Operator, s.c.fleet.view().Doc.Revision, codeOf(err),
		"order", a.Order.ID, "kind", a.Order.Kind, "upstream", a.Order.Upstream)
	return peer.EncodeError(err)
}

func (s *adminService) issueOrder(o wire.Order, r *wire.OrderReply) error {
	fence, err := s.acquireOperatorsLease()
	if err != nil {
		return err
	}
	o.Fence = fence
	return s.service().applyOrder("Order", wire.OrderArgs{Order: o}, r, order.Command{Stage: &o})
}

// acquireOperatorsLease acquires the order lease, or renews it if operators
// already hold it, and returns its fencing token.
func (s *adminService) acquireOperatorsLease() (uint64, error) {
	a := wire.LeaseArgs{Name: order.LeaseName, Holder: operatorsHolder, Request: wire.NewID(), DurationMS: lease.MaxDurationMS}
	acquire := &lease.Acquire{Name: a.Name, Holder: a.Holder, Request: a.Request, DurationMS: a.DurationMS}
	var r wire.LeaseReply
	if err := s.service().applyLease(a, &r, lease.Command{Acquire: acquire}); err != nil || r.Granted {
		return r.Fence, err
	}
	if r.Holder != operatorsHolder {
		return 0, result.New(result.FenceStale, "%q holds the lease of orders; wait until it ends", r.Holder)
	}
	a.Fence = r.Fence
	err := s.service().applyLease(a, &r, lease.Command{Renew: &lease.Renew{Name: a.Name, Fence: a.Fence}})
	return r.Fence, err
}
