package control

import (
	"time"

	"heatherway.dev/core/member"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
)

// maxWatch bounds how long a watch hangs, so that a silent connection shows.
const maxWatch = 2 * time.Second

// Watch waits for a change of configuration, members or suspects.
func (s *service) Watch(a wire.WatchArgs, r *wire.WatchReply) error {
	if a.Fresh {
		if err := s.readThroughQuorum(); err != nil {
			return peer.EncodeError(err)
		}
	}
	limit := maxWatch
	if a.WaitMS > 0 {
		limit = min(limit, milliseconds(a.WaitMS))
	}
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		fleetChanged, membersChanged := s.c.fleet.changed.wait(), s.c.members.changed.wait()
		if s.fill(a, r) || a.Fresh {
			return nil
		}
		select {
		case <-fleetChanged:
		case <-membersChanged:
		case <-end.C:
			return nil
		case <-s.c.ctx.Done():
			return nil
		}
	}
}

func (s *service) readThroughQuorum() error {
	ctx, cancel := s.context()
	defer cancel()
	return s.c.log.ReadIndex(ctx, fleetGroup)
}

// fill sets what has changed for the caller and tells whether anything has. A
// version in the answer is never lower than the caller's, even when this
// instance is behind.
func (s *service) fill(a wire.WatchArgs, r *wire.WatchReply) bool {
	f := s.c.fleet.view()
	*r = wire.WatchReply{
		Revision: max(a.Revision, f.Doc.Revision),
		Suspects: max(a.Suspects, f.Suspects),
		Members:  a.Members,
	}
	if f.Doc.Revision > a.Revision {
		r.Config = f.JSON
	}
	if f.Suspects > a.Suspects {
		r.SuspectsChanged, r.Suspect = true, withTimeLeft(f.List, nowMS())
	}
	s.fillMembers(a, r)
	return r.Config != nil || r.SuspectsChanged || r.MembersChanged
}

// fillMembers sets the subset of an entry. Agents need no members.
func (s *service) fillMembers(a wire.WatchArgs, r *wire.WatchReply) {
	if a.Role != roleEntry {
		return
	}
	subset := member.Subset(a.Instance, a.Zone, s.c.members.view().List)
	if v := member.Version(subset); v != a.Members {
		r.Members, r.MembersChanged, r.Upstreams = v, true, subset
	}
}
