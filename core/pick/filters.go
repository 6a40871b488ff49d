package pick

import (
	"slices"

	"heatherway.dev/core/wire"
)

func init() {
	RegisterFilter("model", hasModel)
	RegisterFilter("adapter", hasAdapter)
	RegisterFilter("service", hasService)
	RegisterFilter("leaving", notLeaving)
	RegisterFilter("breaker", func(_ *Request, u *Candidate) bool { return u.Ready })
	RegisterFilter("tried", func(r *Request, u *Candidate) bool { return !slices.Contains(r.Tried, u.ID) })
}

func hasModel(r *Request, u *Candidate) bool {
	return r.Model == "" || slices.Contains(u.Models, r.Model)
}

func hasAdapter(r *Request, u *Candidate) bool {
	return r.Adapter == "" || slices.Contains(u.Adapters, r.Adapter)
}

func hasService(r *Request, u *Candidate) bool {
	return r.Service == "" || slices.Contains(u.Services, r.Service)
}

// notLeaving checks both the announced state and the load report, because
// either may arrive first.
func notLeaving(_ *Request, u *Candidate) bool {
	return u.State == wire.UpstreamUp && !u.Load.Leaving
}
