package order

import "heatherway.dev/kernel/result"

// FenceGuard is an agent's check of the fencing tokens of orders for its upstream. It
// stands in for engines that ignore tokens. The zero value takes no orders,
// since an agent that has just started does not know what its last life
// accepted.
type FenceGuard struct {
	minimum uint64
	known   bool
}

// SetMinimum takes over the lowest acceptable token from control
// (Control.OrderFence). The agent calls it after each start.
func (g *FenceGuard) SetMinimum(fence uint64) {
	g.minimum, g.known = max(g.minimum, fence), true
}

// Ready tells whether the gate has learnt the lowest acceptable token.
func (g *FenceGuard) Ready() bool { return g.known }

// Accept tells whether an order with the token may be carried out. From then on
// lower tokens are refused.
func (g *FenceGuard) Accept(fence uint64) error {
	if !g.known {
		return result.New(result.ControlUnavailable, "the lowest acceptable fencing token is not known yet").WithRan(result.NotRun)
	}
	if fence < g.minimum {
		return result.New(result.FenceStale, "fencing token %d is below %d", fence, g.minimum)
	}
	g.minimum = fence
	return nil
}
