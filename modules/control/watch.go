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

// maxWatchWait bounds how long a watch waits for a change, so that the caller
// notices a dead connection.
const maxWatchWait = 2 * time.Second

// Watch waits for a change of the configuration, the members, the suspects, the suspected
// parts or the caller's orders.
func (s *service) Watch(a wire.WatchArgs, r *wire.WatchReply) error {
	if err := s.checkRole("Watch", roleEntry, roleAgent); err != nil {
		return err
	}
	if a.Fresh {
		ctx, cancel := s.context()
		defer cancel()
		if err := s.c.reachQuorum(ctx); err != nil {
			return peer.EncodeError(err)
		}
	}
	limit := maxWatchWait
	if a.WaitMS > 0 {
		limit = milliseconds(min(a.WaitMS, limit.Milliseconds()))
	}
	_ = s.c.membership.post(watchEvent{a}) // used by the status only; the next watch repeats it
	s.c.metrics.addWatches(1)
	defer s.c.metrics.addWatches(-1)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		if err := s.c.quorum.check(time.Now()); err != nil && !a.Fresh {
			return peer.EncodeError(err)
		}
		fleetChanged, membersChanged, partsChanged := s.c.fleet.changed.wait(), s.c.membership.changed.wait(), s.c.parts.changed.wait()
		if s.fillReply(a, r) || a.Fresh {
			if !a.Fresh && s.c.fleet.view().onlyCleared(a, r) && s.c.waitOrStop(clearedBatchDelay) {
				s.fillReply(a, r)
			}
			return nil
		}
		select {
		case <-fleetChanged:
		case <-membersChanged:
		case <-partsChanged:
		case <-timer.C:
			return nil
		case <-s.c.ctx.Done():
			return nil
		}
	}
}

// clearedBatchDelay is how long a watch waits to send several cleared suspects
// in one reply. After the loss of a rack thousands are cleared one by one, and
// each would wake every process of the fleet. New suspects are sent
// immediately, since a process that does not know of one runs it without a
// permit.
const clearedBatchDelay = 100 * time.Millisecond

// onlyCleared reports whether the reply contains no changes other than cleared
// suspects.
func (f *fleetView) onlyCleared(a wire.WatchArgs, r *wire.WatchReply) bool {
	if !r.SuspectsChanged || r.Config != nil || r.Step != nil || r.MembersChanged || r.OrdersChanged || r.PartsChanged {
		return false
	}
	delta, ok := quarantine.CombineDeltas(f.SuspectDeltas, a.Suspects)
	return ok && len(delta.Updated) == 0
}

// waitOrStop waits for a duration. It returns false if the instance stops
// first.
func (c *Control) waitOrStop(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.ctx.Done():
		return false
	}
}

// fillReply sets the reply to what has changed since the caller's versions, and
// reports whether anything has. A version in the reply is never lower than the
// caller's, even when this instance is behind.
func (s *service) fillReply(a wire.WatchArgs, r *wire.WatchReply) bool {
	f := s.c.fleet.view()
	*r = wire.WatchReply{
		Revision: max(a.Revision, f.Doc.Revision),
		Suspects: max(a.Suspects, f.SuspectsVersion),
		Members:  a.Members,
		Orders:   a.Orders,
		Parts:    a.Parts,
	}
	if f.Doc.Revision > a.Revision {
		f.fillConfig(a, r)
	}
	if f.SuspectsVersion > a.Suspects {
		f.fillSuspects(a, r)
	}
	f.fillOrders(a, r)
	s.fillMembers(a, r)
	s.c.parts.fillReply(a, r)
	return r.Config != nil || r.Step != nil || r.SuspectsChanged || r.MembersChanged || r.OrdersChanged || r.PartsChanged
}

// fillSuspects sets the changes of the list since the caller's version if the
// caller asks for deltas and they are still kept, or else the whole list.
func (f *fleetView) fillSuspects(a wire.WatchArgs, r *wire.WatchReply) {
	r.SuspectsChanged = true
	delta, ok := quarantine.CombineDeltas(f.SuspectDeltas, a.Suspects)
	if !a.Deltas || a.Suspects == 0 || !ok {
		r.Suspect = withTimeLeft(f.SuspectList, nowMS())
		return
	}
	r.SuspectsDelta, r.Suspect, r.Cleared = true, withTimeLeft(delta.Updated, nowMS()), delta.Removed
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
// empty list.
func ordersVersion(list []wire.Order) uint64 {
	if len(list) == 0 {
		return 0
	}
	return config.Checksum(mustEncode(list))
}

// fillConfig sets the changes since the caller's revision if the caller asks
// for deltas, they are still kept, and they are shorter than the document; or
// else the whole document.
func (f *fleetView) fillConfig(a wire.WatchArgs, r *wire.WatchReply) {
	r.Config = f.JSON
	delta, ok := config.CombineDeltas(f.ConfigDeltas, a.Revision)
	if !a.Deltas || a.Revision == 0 || !ok {
		return
	}
	delta.Checksum = f.Checksum
	b, err := json.Marshal(delta)
	if err == nil && len(b) < len(f.JSON) {
		r.Config, r.Step = nil, b
	}
}

// fillMembers sets the subset of an entry. Agents need no members. Until every
// live agent has announced itself here, a caller keeps a subset that another
// instance computed, since this one may not know all upstreams yet.
func (s *service) fillMembers(a wire.WatchArgs, r *wire.WatchReply) {
	if a.Role != roleEntry {
		return
	}
	view := s.c.membership.view()
	if !view.Warm && a.Members != 0 && !s.c.warmupVersions.has(a.Members) {
		return
	}
	subset := s.c.subsetCache.get(view.Index, a.Instance, a.Zone)
	if subset.version == a.Members {
		return
	}
	r.Members, r.MembersChanged, r.Upstreams = subset.version, true, subset.list
	if !view.Warm {
		s.c.warmupVersions.add(subset.version)
	}
	last := s.c.sentSubsets.swap(a.Instance, member.NewSentSubset(subset.list))
	if a.Deltas && a.Members != 0 && last != nil && last.Version == a.Members {
		r.MembersDelta = true
		r.Upstreams, r.Removed = last.Delta(subset.list)
	}
}

// cachedSubset is a subset and the index it was computed from.
type cachedSubset struct {
	index   *member.Index
	zone    string
	list    []wire.Upstream
	version uint64
}

// subsetCache holds the subset of each entry. Most watches end without a change
// of the members, and computing a subset takes half a millisecond at target
// size.
type subsetCache struct {
	mu         sync.Mutex
	byInstance map[string]cachedSubset
}

func (c *subsetCache) get(index *member.Index, instance, zone string) cachedSubset {
	c.mu.Lock()
	cached := c.byInstance[instance]
	c.mu.Unlock()
	if cached.index == index && cached.zone == zone {
		return cached
	}
	cached = cachedSubset{index: index, zone: zone, list: index.Subset(instance, zone)}
	cached.version = member.Version(cached.list)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byInstance == nil || len(c.byInstance) >= maxSentSubsets {
		c.byInstance = map[string]cachedSubset{}
	}
	c.byInstance[instance] = cached
	return cached
}

// sentSubsets holds the subset last sent to each entry.
type sentSubsets struct {
	mu         sync.Mutex
	byInstance map[string]*member.SentSubset
}

// maxSentSubsets bounds the subsets that are kept, both in the cache and as
// last sent. When it is reached all are dropped, and each entry gets a whole
// subset at the next change.
const maxSentSubsets = 4096

func (s *sentSubsets) swap(instance string, next *member.SentSubset) (last *member.SentSubset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last = s.byInstance[instance]
	if s.byInstance == nil || len(s.byInstance) >= maxSentSubsets {
		s.byInstance = map[string]*member.SentSubset{}
	}
	s.byInstance[instance] = next
	return last
}

// versionSet holds the versions of the subsets sent while this instance was not
// warm.
type versionSet struct {
	mu       sync.Mutex
	versions map[uint64]bool
}

func (v *versionSet) add(version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.versions == nil {
		v.versions = map[uint64]bool{}
	}
	v.versions[version] = true
}

func (v *versionSet) has(version uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.versions[version]
}
