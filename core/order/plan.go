package order

import (
	"slices"

	"heatherway.dev/core/wire"
)

// Plan returns the orders to release next, the oldest first: one at a time for
// each upstream, loads within the budget, and none that would remove a model from
// the last upstream that serves it, according to the leader's member list.
func Plan(nowMS int64, records []Record, members []wire.Upstream, maxLoads int) []wire.ID {
	p := planner{nowMS: nowMS, members: members, inProgress: map[string]bool{}}
	for i := range records {
		p.add(&records[i])
	}
	var out []wire.ID
	for i := range records {
		rec := &records[i]
		if rec.Status != Staged || p.inProgress[rec.Order.Upstream] || !p.mayRelease(&rec.Order, maxLoads) {
			continue
		}
		out = append(out, rec.Order.ID)
		p.start(&rec.Order)
	}
	return out
}

// planner holds the state of one call of Plan.
type planner struct {
	nowMS   int64
	members []wire.Upstream
	// inProgress contains the upstreams that have a released order.
	inProgress map[string]bool
	loads      int
	// recent contains the released orders, and those that ended within
	// MembershipLagMS, whose effect the member list may not show yet.
	recent []*wire.Order
}

// add accounts for an order that was released before and is still running, or has
// ended so recently that the member list may not show its effect.
func (p *planner) add(rec *Record) {
	if rec.Status == Released {
		p.start(&rec.Order)
		return
	}
	if (rec.Status == Done || rec.Status == Failed) && p.nowMS-rec.AtMS < MembershipLagMS {
		p.recent = append(p.recent, &rec.Order)
	}
}

// start accounts for an order that is running or that Plan is about to release.
func (p *planner) start(o *wire.Order) {
	p.inProgress[o.Upstream] = true
	if o.Kind.Loads() {
		p.loads++
	}
	p.recent = append(p.recent, o)
}

// mayRelease reports whether the load budget and the other upstreams allow an
// order.
func (p *planner) mayRelease(o *wire.Order, maxLoads int) bool {
	if o.Kind.Loads() && p.loads >= maxLoads {
		return false
	}
	i := slices.IndexFunc(p.members, func(u wire.Upstream) bool { return u.ID == o.Upstream })
	if i < 0 {
		return !removesAny(o)
	}
	for _, model := range p.servedModels(&p.members[i]) {
		if removesModel(o, model) && !p.servedElsewhere(model, o.Upstream) {
			return false
		}
	}
	return true
}

// servedModels returns the models that an upstream may serve: those in the member
// list, and those that a recent order loads.
func (p *planner) servedModels(u *wire.Upstream) []string {
	out := slices.Clone(u.Models)
	for _, o := range p.recent {
		if o.Upstream == u.ID && o.Kind == wire.LoadModel {
			out = append(out, o.Model)
		}
	}
	return out
}

// removesAny reports whether an order may remove a model. It is used for an
// upstream that is not in the member list, whose models are not known.
func removesAny(o *wire.Order) bool {
	return o.Kind == wire.UnloadModel || o.Kind == wire.SetVersion || o.Kind == wire.SetRole || o.Replaces != ""
}

// removesModel reports whether the upstream stops serving a model during or after
// the order. A new version replaces the old one, and an upstream with a new role
// may serve no model.
func removesModel(o *wire.Order, model string) bool {
	switch o.Kind {
	case wire.UnloadModel, wire.SetVersion:
		return o.Model == model
	case wire.SetRole:
		return true
	default:
		return o.Replaces == model
	}
}

// servedElsewhere reports whether another upstream serves the model and has no
// recent order that removes it.
func (p *planner) servedElsewhere(model, upstream string) bool {
	return slices.ContainsFunc(p.members, func(u wire.Upstream) bool {
		return u.ID != upstream && u.State == wire.UpstreamUp &&
			slices.Contains(u.Models, model) && !p.beingRemoved(u.ID, model)
	})
}

// beingRemoved reports whether a recent order removes the model from the upstream.
func (p *planner) beingRemoved(upstream, model string) bool {
	return slices.ContainsFunc(p.recent, func(o *wire.Order) bool {
		return o.Upstream == upstream && removesModel(o, model)
	})
}
