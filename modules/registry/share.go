package registry

import (
	"context"
	"maps"
	"slices"
	"time"

	"heatherway.dev/core/registration"
	"heatherway.dev/kernel/peer"
)

// This file tells the other control instances what this one has heard.

// shared is a finished call to another instance.
type shared struct {
	addr  string
	args  *ShareArgs
	reply *ShareReply
	err   error
}

// queueCrash marks the broken runs of a request for another instance.
func (d *directory) queueCrash(addr, fingerprint string) {
	if d.unsentCrashes[addr] == nil {
		d.unsentCrashes[addr] = map[string]bool{}
	}
	d.unsentCrashes[addr][fingerprint] = true
}

// queue marks an announcement for every other instance.
func (d *directory) queue(u registration.Upstream) {
	for _, addr := range d.r.members() {
		m := d.unsent[addr]
		if m == nil {
			m = map[string]registration.Upstream{}
			d.unsent[addr] = m
		}
		m[u.ID] = u
	}
}

// queueAlive notes for every other instance that an upstream is alive.
func (d *directory) queueAlive(u registration.Upstream) {
	for _, addr := range d.r.members() {
		m := d.alive[addr]
		if m == nil {
			m = map[string]Alive{}
			d.alive[addr] = m
		}
		m[u.ID] = Alive{u.ID, u.StartedMS, u.Seq}
	}
}

// aliveInterval is the time between two messages about upstreams that are alive
// and unchanged; an upstream counts as lost after five of its intervals.
const aliveInterval = 1500 * time.Millisecond

// share sends what is queued, one call to an instance at a time.
func (d *directory) share() {
	now := time.Now()
	aliveDue := now.Sub(d.aliveAt) >= aliveInterval
	if aliveDue {
		d.aliveAt = now
	}
	for _, addr := range d.r.members() {
		if d.sending[addr] || len(d.unsent[addr]) == 0 && len(d.unsentCrashes[addr]) == 0 && !(aliveDue && len(d.alive[addr]) > 0) {
			continue
		}
		args := &ShareArgs{Runs: d.crashes.EntriesOf(now, slices.Collect(maps.Keys(d.unsentCrashes[addr])))}
		delete(d.unsentCrashes, addr)
		for _, u := range d.unsent[addr] {
			args.Upstreams = append(args.Upstreams, u)
		}
		clear(d.unsent[addr])
		if aliveDue {
			for _, a := range d.alive[addr] {
				args.Alive = append(args.Alive, a)
			}
			clear(d.alive[addr]) // what a failed call loses the next interval repeats
		}
		d.sending[addr] = true
		go d.send(d.r.clients.To(addr), args)
	}
}

func (d *directory) send(client *peer.Client, args *ShareArgs) {
	ctx, cancel := context.WithTimeout(d.r.ctx, shareLimit)
	defer cancel()
	reply := &ShareReply{}
	err := client.Call(ctx, ServiceName+".Share", args, reply)
	select {
	case d.sent <- shared{client.Addr(), args, reply, err}:
	case <-d.r.ctx.Done():
	}
}

// settle queues again what another instance did not take, unless something
// newer waits. An instance that is no member any more is forgotten.
func (d *directory) settle(s shared) {
	delete(d.sending, s.addr)
	if !slices.Contains(d.r.members(), s.addr) {
		delete(d.unsent, s.addr)
		delete(d.alive, s.addr)
		delete(d.unsentCrashes, s.addr)
		delete(d.epochs, s.addr)
		return
	}
	m := d.unsent[s.addr]
	if m == nil {
		m = map[string]registration.Upstream{}
		d.unsent[s.addr] = m
	}
	for _, id := range s.reply.Unknown {
		if u, ok := d.state.Get(id); ok && u.State < registration.Lost {
			m[id] = u
		}
	}
	if s.err == nil {
		d.introduce(s.addr, s.reply.Epoch)
		return
	}
	for _, c := range s.args.Runs {
		d.queueCrash(s.addr, c.Fingerprint)
	}
	for _, u := range s.args.Upstreams {
		if _, newer := m[u.ID]; !newer {
			m[u.ID] = u
		}
	}
}

// introduce has all suspects, and the upstreams that leave, sent to an instance that has
// started anew: it may have lost what the others hold, and hears of neither otherwise.
func (d *directory) introduce(addr string, epoch uint64) {
	if d.epochs[addr] == epoch {
		return
	}
	d.epochs[addr] = epoch
	for _, c := range d.crashes.EntriesSince(time.Now(), 0) {
		d.queueCrash(addr, c.Fingerprint)
	}
	for _, u := range d.state.All() {
		if u.Leaving && u.State != registration.Left {
			u.State = registration.Draining // silence is for each instance to find out
			d.unsent[addr][u.ID] = u
		}
	}
}
