package control

import (
	"encoding/json"
	"sync"
	"time"

	"heatherway.dev/core/config"
	"heatherway.dev/core/member"
	"heatherway.dev/core/quarantine"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
)

// maxWatch bounds how long a watch hangs, so that a silent connection shows.
const maxWatch = 2 * time.Second

// Watch waits for a change of configuration, members or suspects.
func (s *service) Watch(a wire.WatchArgs, r *wire.WatchReply) error {
	if err := s.admit("Watch", roleEntry, roleAgent); err != nil {
		return err
	}
	if a.Fresh {
		ctx, cancel := s.context()
		defer cancel()
		if err := s.c.reachQuorum(ctx); err != nil {
			return peer.EncodeError(err)
		}
	}
	limit := maxWatch
	if a.WaitMS > 0 {
		limit = min(limit, milliseconds(a.WaitMS))
	}
	_ = s.c.members.post(watched{a}) // only feeds the status; the next watch repeats it
	s.c.counts.watch(1)
	defer s.c.counts.watch(-1)
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		if err := s.c.touch.check(time.Now()); err != nil && !a.Fresh {
			return peer.EncodeError(err)
		}
		fleetChanged, membersChanged := s.c.fleet.changed.wait(), s.c.members.changed.wait()
		if s.fill(a, r) || a.Fresh {
			if !a.Fresh && s.c.fleet.view().onlyCleared(a, r) && s.c.pause(clearDelay) {
				s.fill(a, r)
			}
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

// clearDelay collects suspects that are cleared into one answer. After the loss
// of a rack thousands are cleared one by one, and each would wake every process
// of the fleet. New suspects are sent at once, since a process that does not
// know of one runs it without a permit.
const clearDelay = 100 * time.Millisecond

// onlyCleared tells whether nothing has changed for the caller but suspects that
// were cleared.
func (f *fleetView) onlyCleared(a wire.WatchArgs, r *wire.WatchReply) bool {
	if !r.SuspectsChanged || r.Config != nil || r.Step != nil || r.MembersChanged || r.OrdersChanged {
		return false
	}
	step, ok := quarantine.CombineDeltas(f.SuspectSteps, a.Suspects)
	return ok && len(step.Updated) == 0
}

// pause waits, and tells whether this instance still runs.
func (c *Control) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.ctx.Done():
		return false
	}
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
		Orders:   a.Orders,
	}
	if f.Doc.Revision > a.Revision {
		f.fillConfig(a, r)
	}
	if f.Suspects > a.Suspects {
		f.fillSuspects(a, r)
	}
	f.fillOrders(a, r)
	s.fillMembers(a, r)
	return r.Config != nil || r.Step != nil || r.SuspectsChanged || r.MembersChanged || r.OrdersChanged
}

// fillSuspects sends the changes of the list since the caller's version if it
// asks for them and they are still kept, or else the whole list.
func (f *fleetView) fillSuspects(a wire.WatchArgs, r *wire.WatchReply) {
	r.SuspectsChanged = true
	step, ok := quarantine.CombineDeltas(f.SuspectSteps, a.Suspects)
	if !a.Deltas || a.Suspects == 0 || !ok {
		r.Suspect = withTimeLeft(f.List, nowMS())
		return
	}
	r.SuspectsDelta, r.Suspect, r.Cleared = true, withTimeLeft(step.Updated, nowMS()), step.Removed
}

// fillOrders sets the orders that an agent has to carry out.
func (f *fleetView) fillOrders(a wire.WatchArgs, r *wire.WatchReply) {
	if a.Role != roleAgent {
		return
	}
	list := f.Released[a.Instance]
	if v := ordersVersion(list); v != a.Orders {
		r.Orders, r.OrdersChanged, r.Order = v, true, list
	}
}

// ordersVersion identifies the content of a list of orders; it is zero for an
// empty one.
func ordersVersion(list []wire.Order) uint64 {
	if len(list) == 0 {
		return 0
	}
	return config.Checksum(mustEncode(list))
}

// fillConfig sends the changes since the caller's revision if it asks for them
// and they are still kept, or else the whole document.
func (f *fleetView) fillConfig(a wire.WatchArgs, r *wire.WatchReply) {
	r.Config = f.JSON
	step, ok := config.CombineDeltas(f.Steps, a.Revision)
	if !a.Deltas || a.Revision == 0 || !ok {
		return
	}
	step.Checksum = f.Sum
	b, err := json.Marshal(step)
	if err == nil && len(b) < len(f.JSON) {
		r.Config, r.Step = nil, b
	}
}

// fillMembers sets the subset of an entry. Agents need no members. Until every
// live agent has announced itself here, the subset of a caller that came from
// another instance is left alone, since this one may know too few.
func (s *service) fillMembers(a wire.WatchArgs, r *wire.WatchReply) {
	if a.Role != roleEntry {
		return
	}
	view := s.c.members.view()
	if !view.Warm && a.Members != 0 && !s.c.issued.has(a.Members) {
		return
	}
	subset := s.c.subsets.of(view.Index, a.Instance, a.Zone)
	if subset.version == a.Members {
		return
	}
	r.Members, r.MembersChanged, r.Upstreams = subset.version, true, subset.list
	if !view.Warm {
		s.c.issued.add(subset.version)
	}
	last := s.c.sent.swap(a.Instance, member.NewSentSubset(subset.list))
	if a.Deltas && a.Members != 0 && last != nil && last.Version == a.Members {
		r.MembersDelta = true
		r.Upstreams, r.Removed = last.Delta(subset.list)
	}
}

// knownSubset is a subset as computed from one index.
type knownSubset struct {
	index   *member.Index
	zone    string
	list    []wire.Upstream
	version uint64
}

// subsetCache holds the subset of each entry, since most watches end without a
// change of members and a subset takes half a millisecond at target size.
type subsetCache struct {
	mu sync.Mutex
	m  map[string]knownSubset
}

func (c *subsetCache) of(index *member.Index, instance, zone string) knownSubset {
	c.mu.Lock()
	known := c.m[instance]
	c.mu.Unlock()
	if known.index == index && known.zone == zone {
		return known
	}
	known = knownSubset{index: index, zone: zone, list: index.Subset(instance, zone)}
	known.version = member.Version(known.list)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m == nil || len(c.m) >= maxSent {
		c.m = map[string]knownSubset{}
	}
	c.m[instance] = known
	return known
}

// sentSubsets holds the subset last sent to each entry.
type sentSubsets struct {
	mu sync.Mutex
	m  map[string]*member.SentSubset
}

// maxSent bounds the subsets remembered; past it all are forgotten, and entries
// get a whole subset at the next change.
const maxSent = 4096

func (s *sentSubsets) swap(instance string, next *member.SentSubset) (last *member.SentSubset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last = s.m[instance]
	if s.m == nil || len(s.m) >= maxSent {
		s.m = map[string]*member.SentSubset{}
	}
	s.m[instance] = next
	return last
}

// versionSet holds the versions of the subsets handed out while this instance
// warms up.
type versionSet struct {
	mu sync.Mutex
	m  map[uint64]bool
}

func (v *versionSet) add(version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.m == nil {
		v.m = map[uint64]bool{}
	}
	v.m[version] = true
}

func (v *versionSet) has(version uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.m[version]
}
