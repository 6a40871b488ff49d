package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"heatherway.dev/core/raft"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
)

// statusTimeout bounds how long an operator waits for instances that do not
// answer.
const statusTimeout = time.Second

// Status returns the state of the fleet. It is merged from the status of all
// control instances, since each process watches only one of them.
func (s *adminService) Status(_ wire.StatusArgs, r *wire.StatusReply) error {
	ctx, cancel := context.WithTimeout(s.c.ctx, statusTimeout)
	defer cancel()
	parts := s.c.collectStatus(ctx)
	newest := map[string]wire.ProcessStatus{}
	for _, p := range parts {
		r.Members = append(r.Members, p.Control)
		for _, q := range p.Processes {
			if old, ok := newest[q.Instance]; !ok || q.AgeMS < old.AgeMS {
				newest[q.Instance] = q
			}
		}
	}
	for _, q := range newest {
		r.Processes = append(r.Processes, q)
	}
	slices.SortFunc(r.Members, func(a, b wire.ControlStatus) int { return cmp.Compare(a.Instance, b.Instance) })
	slices.SortFunc(r.Processes, func(a, b wire.ProcessStatus) int { return cmp.Compare(a.Instance, b.Instance) })
	r.Revision = s.c.fleet.view().Doc.Revision
	r.Upstreams = slices.Clone(s.c.membership.view().Index.Members())
	slices.SortStableFunc(r.Upstreams, func(a, b wire.Upstream) int { return cmp.Compare(a.Zone, b.Zone) })
	return nil
}

// collectStatus returns the status of this instance and asks every other
// control instance for its own.
func (c *Control) collectStatus(ctx context.Context) []wire.LocalStatusReply {
	parts := []wire.LocalStatusReply{c.localStatus(ctx)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for id, addr := range c.Members {
		if id == c.instance.ID {
			continue
		}
		wg.Go(func() {
			client := c.security.NewClient(addr)
			defer client.Close()
			var p wire.LocalStatusReply
			if err := client.Call(ctx, leaderService+".LocalStatus", wire.StatusArgs{}, &p); err != nil {
				p.Control = wire.ControlStatus{Instance: id, Addr: addr, Error: err.Error()}
			}
			mu.Lock()
			defer mu.Unlock()
			parts = append(parts, p)
		})
	}
	wg.Wait()
	return parts
}

// LocalStatus returns this instance's part of the fleet's status.
func (s *service) LocalStatus(_ wire.StatusArgs, r *wire.LocalStatusReply) error {
	if err := s.checkOperatorRole(); err != nil {
		return peer.EncodeError(err)
	}
	ctx, cancel := s.context()
	defer cancel()
	*r = s.c.localStatus(ctx)
	return nil
}

func (c *Control) localStatus(ctx context.Context) wire.LocalStatusReply {
	var r wire.LocalStatusReply
	r.Control = wire.ControlStatus{Instance: c.instance.ID, Addr: c.Advertise, Groups: c.groupStatuses()}
	processes, err := query(ctx, c.membership, func(ch chan<- map[string]processReport) memberEvent { return processesQuery{ch} })
	if err != nil {
		r.Control.Error = err.Error()
	}
	now := nowMS()
	for id, report := range processes {
		r.Processes = append(r.Processes, wire.ProcessStatus{
			Instance: id, Role: report.Role, Zone: report.Zone, Revision: report.Revision, AgeMS: now - report.AtMS,
		})
	}
	return r
}

func (c *Control) groupStatuses() []wire.GroupStatus {
	if c.replica == nil {
		return []wire.GroupStatus{{Group: fleetGroup, Role: "leader", Term: 1, Leader: c.instance.ID, Voters: 1}}
	}
	var out []wire.GroupStatus
	for _, g := range c.replica.current.Load().Status().Groups {
		out = append(out, wire.GroupStatus{
			Group: uint32(g.Group), Role: memberRole(g.Status), Voters: len(g.Membership.Voters()), Term: g.Term, Leader: string(g.Leader),
			Commit: g.Commit, Applied: g.Applied,
		})
	}
	return out
}

// memberRole returns the role of this instance in a group. A member that has
// lost its disk is reported as a learner, since it has no vote until it has
// caught up.
func memberRole(s raft.Status) string {
	if m, ok := s.Membership.Find(s.Self); !ok || m.Learner || m.Disk != s.Disk {
		return "learner"
	}
	return s.Role.String()
}

// findUpstream returns the upstream whose agent has the given id.
func (c *Control) findUpstream(id string) (wire.Upstream, bool) {
	for _, u := range c.membership.view().Index.Members() {
		if u.ID == id {
			return u, true
		}
	}
	return wire.Upstream{}, false
}
