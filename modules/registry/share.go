package registry

import (
	"context"
	"maps"
	"slices"
	"time"

	"heatherway.dev/core/registration"
	"heatherway.dev/kernel/peer"
)

// This file replicates what this instance has learned to the other control instances.

// shareResult is the result of a call of Share to another instance.
type shareResult struct {
	addr  string
	args  *ShareArgs
	reply *ShareReply
	err   error
}

// queueRuns queues the broken runs of a request for another instance.
func (d *directory) queueRuns(addr, fingerprint string) {
	if d.unsentRuns[addr] == nil {
		d.unsentRuns[addr] = map[string]bool{}
	}
	d.unsentRuns[addr][fingerprint] = true
}

// queueUpstream queues a record for every other instance.
func (d *directory) queueUpstream(u registration.Upstream) {
	for _, addr := range d.registry.otherMembers() {
		d.unsentOf(addr)[u.ID] = u
	}
}

// queueAlive queues the notice that an upstream is alive for every other instance.
func (d *directory) queueAlive(u registration.Upstream) {
	for _, addr := range d.registry.otherMembers() {
		m := d.unsentAlive[addr]
		if m == nil {
			m = map[string]Alive{}
			d.unsentAlive[addr] = m
		}
		m[u.ID] = Alive{u.ID, u.StartedMS, u.Seq}
	}
}

const (
	// maxAliveInterval is the longest time between two messages about upstreams that are
	// alive and unchanged.
	maxAliveInterval = 1500 * time.Millisecond
	// aliveMessages is the number of these messages in the time after which a silent
	// upstream counts as lost, so that one may be late and another one lost.
	aliveMessages = 4
)

// aliveInterval is the time between two messages about upstreams that are alive and
// unchanged.
func (d *directory) aliveInterval() time.Duration {
	return min(maxAliveInterval, d.lostAfter()/aliveMessages)
}

// share sends what is queued, with at most one call to an instance at a time.
func (d *directory) share() {
	now := time.Now()
	aliveDue := now.Sub(d.aliveSentAt) >= d.aliveInterval()
	if aliveDue {
		d.aliveSentAt = now
	}
	members := d.registry.otherMembers()
	d.forgetRemovedMembers(members)
	for _, addr := range members {
		queued := len(d.unsentUpstreams[addr]) > 0 || len(d.unsentRuns[addr]) > 0 || aliveDue && len(d.unsentAlive[addr]) > 0
		if d.inFlight[addr] || !queued && !d.helloDue(now, addr) {
			continue
		}
		d.helloAt[addr] = now
		args := &ShareArgs{Runs: d.crashes.EntriesOf(now, slices.Sorted(maps.Keys(d.unsentRuns[addr]))), From: d.registry.PeerListen, Epoch: d.epoch}
		delete(d.unsentRuns, addr)
		for _, u := range d.unsentUpstreams[addr] {
			args.Upstreams = append(args.Upstreams, u)
		}
		clear(d.unsentUpstreams[addr])
		if aliveDue {
			for _, a := range d.unsentAlive[addr] {
				args.Alive = append(args.Alive, a)
			}
			clear(d.unsentAlive[addr]) // not restored after a failed call: the next interval sends it again
		}
		d.inFlight[addr] = true
		go d.send(d.registry.clients.To(addr), args)
	}
}

// forgetRemovedMembers drops the state of instances that are no longer members. Nothing is sent to
// them, so one that is added again, without a restart in between, must be told everything anew.
func (d *directory) forgetRemovedMembers(members []string) {
	for addr := range d.memberEpochs {
		if !slices.Contains(members, addr) {
			d.forgetMember(addr)
		}
	}
}

func (d *directory) forgetMember(addr string) {
	delete(d.unsentUpstreams, addr)
	delete(d.unsentAlive, addr)
	delete(d.unsentRuns, addr)
	delete(d.memberEpochs, addr)
	delete(d.helloAt, addr)
	d.copies.Forget(addr)
}

// helloInterval is the time between two messages to an instance that has not answered yet.
const helloInterval = 500 * time.Millisecond

// helloDue reports whether an instance must be told that this one has started. Both then send
// each other what the other one may have lost.
func (d *directory) helloDue(now time.Time, addr string) bool {
	_, known := d.memberEpochs[addr]
	return !known && now.Sub(d.helloAt[addr]) >= helloInterval
}

func (d *directory) send(client *peer.Client, args *ShareArgs) {
	ctx, cancel := context.WithTimeout(d.registry.ctx, shareTimeout)
	defer cancel()
	reply := &ShareReply{}
	err := client.Call(ctx, ServiceName+".Share", args, reply)
	select {
	case d.shareResults <- shareResult{client.Addr(), args, reply, err}:
	case <-d.registry.ctx.Done():
	}
}

// handleShareResult queues the content of a failed call again, unless something newer
// is queued. The state of an instance that is no longer a member is removed.
func (d *directory) handleShareResult(s shareResult) {
	delete(d.inFlight, s.addr)
	if !slices.Contains(d.registry.otherMembers(), s.addr) {
		d.forgetMember(s.addr)
		return
	}
	m := d.unsentOf(s.addr)
	for _, id := range s.reply.Unknown {
		if u, ok := d.state.Get(id); ok && u.State < registration.Lost {
			m[id] = u
		}
	}
	if s.err == nil {
		d.resendToRestarted(s.addr, s.reply.Epoch)
		return
	}
	for _, c := range s.args.Runs {
		d.queueRuns(s.addr, c.Fingerprint)
	}
	for _, u := range s.args.Upstreams {
		if _, newer := m[u.ID]; !newer {
			m[u.ID] = u
		}
	}
}

// resendToRestarted queues all suspect requests and withdrawn upstreams for an instance whose
// epoch has changed. It may have lost them in its restart, or come back with an old disk, and
// nothing else would send them again.
func (d *directory) resendToRestarted(addr string, epoch uint64) {
	if previous, known := d.memberEpochs[addr]; known && previous == epoch || !slices.Contains(d.registry.otherMembers(), addr) {
		return
	}
	d.memberEpochs[addr] = epoch
	d.copies.Forget(addr)
	for _, c := range d.crashes.EntriesSince(time.Now(), 0) {
		d.queueRuns(addr, c.Fingerprint)
	}
	for _, u := range d.state.WithdrawnSince(0) {
		d.unsentOf(addr)[u.ID] = withoutLoss(u)
	}
}

// passOnWithdrawal queues the record of an upstream, if it is withdrawn, for the instances other
// than the one that has sent it. The instance that the upstream or a gateway has told may be lost
// before it has told all others, and nothing else would tell them: the upstream announces nothing
// any more, or only that it is alive.
func (d *directory) passOnWithdrawal(id, sender string) {
	u, _ := d.state.Get(id)
	if !u.Withdrawn() {
		return
	}
	for _, addr := range d.registry.otherMembers() {
		if addr != sender {
			d.unsentOf(addr)[id] = withoutLoss(u)
		}
	}
}

// withoutLoss returns the record of a withdrawn upstream as it is sent to other instances: each
// detects lost upstreams by itself.
func withoutLoss(u registration.Upstream) registration.Upstream {
	if u.State == registration.Lost {
		u.State = registration.Draining
	}
	return u
}

// unsentOf returns the records that are queued for an instance, by ID.
func (d *directory) unsentOf(addr string) map[string]registration.Upstream {
	m := d.unsentUpstreams[addr]
	if m == nil {
		m = map[string]registration.Upstream{}
		d.unsentUpstreams[addr] = m
	}
	return m
}
