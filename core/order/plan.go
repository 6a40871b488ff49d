package order

import (
	"slices"

	"heatherway.dev/core/wire"
)

// Plan returns the orders to release next, the oldest first: one at a time for
// each upstream, loads within the budget, and none that would take the last
// serving upstream of a model, given the members that the leader sees.
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

type planner struct {
	nowMS   int64
	members []wire.Upstream
	// busy lists upstreams that carry out an order.
	inProgress map[string]bool
	loads      int
	// recent are orders under way, or ended so lately that the members may not
	// show it yet.
	recent []*wire.Order
}

func (p *planner) add(rec *Record) {
	if rec.Status == Released {
		p.start(&rec.Order)
		return
	}
	if (rec.Status == Done || rec.Status == Failed) && p.nowMS-rec.AtMS < MembershipLagMS {
		p.recent = append(p.recent, &rec.Order)
	}
}

func (p *planner) start(o *wire.Order) {
	p.inProgress[o.Upstream] = true
	if o.Kind.Loads() {
		p.loads++
	}
	p.recent = append(p.recent, o)
}

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

// served returns the models that an upstream may serve: those that the members
// show, and those it was just told to load.
func (p *planner) servedModels(u *wire.Upstream) []string {
	out := slices.Clone(u.Models)
	for _, o := range p.recent {
		if o.Upstream == u.ID && o.Kind == wire.LoadModel {
			out = append(out, o.Model)
		}
	}
	return out
}

// removesSome tells whether an order takes some model away. Nothing is known of
// what an upstream serves that is not among the members.
func removesAny(o *wire.Order) bool {
	return o.Kind == wire.UnloadModel || o.Kind == wire.SetVersion || o.Kind == wire.SetRole || o.Replaces != ""
}

// removesModel tells whether a model is not served while or after the order is
// carried out. A new version is loaded in place of the old one, and a new role
// may serve nothing.
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

// servedElsewhere tells whether an upstream other than this one serves the
// model and is not about to stop.
func (p *planner) servedElsewhere(model, upstream string) bool {
	return slices.ContainsFunc(p.members, func(u wire.Upstream) bool {
		return u.ID != upstream && u.State == wire.UpstreamUp &&
			slices.Contains(u.Models, model) && !p.beingRemoved(u.ID, model)
	})
}

func (p *planner) beingRemoved(upstream, model string) bool {
	return slices.ContainsFunc(p.recent, func(o *wire.Order) bool {
		return o.Upstream == upstream && removesModel(o, model)
	})
}
