package order

import "heatherway.dev/kernel/result"

// FenceGuard checks the fencing tokens of the orders that an agent gets for its
// upstream, on behalf of engines that ignore the tokens. The zero value accepts no
// orders, because a restarted agent does not know which tokens it accepted before.
type FenceGuard struct {
	minimum uint64
	known   bool
}

// SetMinimum sets the lowest acceptable token, which comes from control
// (Control.OrderFence). It never lowers it. The agent calls SetMinimum after each
// start.
func (g *FenceGuard) SetMinimum(fence uint64) {
	g.minimum, g.known = max(g.minimum, fence), true
}

// Ready reports whether the lowest acceptable token is known.
func (g *FenceGuard) Ready() bool { return g.known }

// Accept returns an error if an order with the token must not be carried out.
// Otherwise it raises the lowest acceptable token to this one.
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
