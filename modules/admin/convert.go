package admin

import (
	"heatherway.dev/api/admin/gen/administration"
	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
)

// stringValue returns *p, or "" if p is nil.
func stringValue(p *string) string {
	if p == nil {
		return ""
	}
	return *p
}

// int64Value returns *p, or 0 if p is nil.
func int64Value(p *int64) int64 {
	if p == nil {
		return 0
	}
	return *p
}

// optional returns a pointer to s, or nil if s is empty, so that JSON omits the
// field.
func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// fleetOf converts the status of the fleet. It groups upstreams by availability zone
// and expects those of a zone to be adjacent.
func fleetOf(r wire.StatusReply) *administration.Fleet {
	out := &administration.Fleet{Revision: r.Revision}
	for _, m := range r.Members {
		out.Members = append(out.Members, memberOf(m))
	}
	for _, p := range r.Processes {
		out.Instances = append(out.Instances, &administration.Instance{
			Instance: p.Instance, Role: p.Role, Zone: p.Zone, Revision: p.Revision, AgeMs: p.AgeMS,
		})
	}
	for _, u := range r.Upstreams {
		n := len(out.Zones)
		if n == 0 || out.Zones[n-1].Zone != u.Zone {
			out.Zones = append(out.Zones, &administration.Zone{Zone: u.Zone})
			n++
		}
		out.Zones[n-1].Upstreams = append(out.Zones[n-1].Upstreams, upstreamOf(u))
	}
	return out
}

func memberOf(m wire.ControlStatus) *administration.Member {
	out := &administration.Member{Instance: m.Instance, Address: m.Addr, Error: m.Error}
	for _, g := range m.Groups {
		out.Groups = append(out.Groups, &administration.Group{
			Group: g.Group, Role: g.Role, Term: g.Term, Leader: g.Leader, Commit: g.Commit, Applied: g.Applied, Voters: g.Voters,
		})
	}
	return out
}

func upstreamOf(u wire.Upstream) *administration.Upstream {
	return &administration.Upstream{
		Instance: u.ID, Address: u.Addr, State: u.State.String(), Models: u.Models, Services: u.Services, Slots: u.Slots,
	}
}

func selectorOf(s *administration.Selector) config.Selector {
	return config.Selector{
		Organisation: stringValue(s.Organisation), Model: stringValue(s.Model), Zone: stringValue(s.Zone),
		Upstream: stringValue(s.Upstream), Service: stringValue(s.Service),
	}
}

func editOf(e *administration.Edit) config.Edit {
	out := config.Edit{Kind: config.EditKind(e.Kind), Name: stringValue(e.Name), Value: stringValue(e.Value)}
	if x := e.Exception; x != nil {
		out.Exception = &config.Exception{
			ID: x.ID, Key: x.Key, Value: x.Value, Reason: x.Reason, UntilMS: int64Value(x.UntilMs), Selector: selectorOf(x.Selector),
		}
	}
	if o := e.Organisation; o != nil {
		out.Organisation = &config.Organisation{KeyHashes: o.KeyHashes}
	}
	return out
}

func exceptionsOf(doc *config.Document) []*administration.Exception {
	out := make([]*administration.Exception, 0, len(doc.Exceptions))
	for _, e := range doc.Exceptions {
		x := &administration.Exception{ID: e.ID, Key: e.Key, Value: e.Value, Reason: e.Reason, Selector: &administration.Selector{
			Organisation: optional(e.Selector.Organisation), Model: optional(e.Selector.Model), Zone: optional(e.Selector.Zone),
			Upstream: optional(e.Selector.Upstream), Service: optional(e.Selector.Service),
		}}
		if e.UntilMS != 0 {
			x.UntilMs = &e.UntilMS
		}
		out = append(out, x)
	}
	return out
}

func organisationsOf(doc *config.Document) map[string]*administration.Organisation {
	out := make(map[string]*administration.Organisation, len(doc.Organisations))
	for name, o := range doc.Organisations {
		out[name] = &administration.Organisation{KeyHashes: o.KeyHashes}
	}
	return out
}

func orderOf(s wire.OrderState) *administration.Order {
	o := s.Order
	return &administration.Order{
		ID: string(o.ID), Upstream: o.Upstream, Kind: string(o.Kind), Fence: o.Fence,
		Model: optional(o.Model), Adapter: optional(o.Adapter), Version: optional(o.Version),
		Role: optional(o.Role), Replaces: optional(o.Replaces),
		Status: s.Status, Message: s.Message, AtMs: s.AtMS,
	}
}
