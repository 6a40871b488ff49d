package registry

import (
	"context"
	"slices"
	"time"

	"heatherway.dev/core/registration"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
)

// This file makes withdrawals of upstreams durable. An upstream that leaves sends no more
// announcements once its departure is acknowledged, so a forgotten departure would bring it back as
// ready. It is acknowledged when registration.CopyTracker finds enough copies on disks. Withdrawals
// that arrive while a copy is being written share the next one.

const (
	// departuresFile holds the records of the withdrawn upstreams, in the data folder of the role.
	// It is small, unlike directoryFile, so that it can be written at each withdrawal.
	departuresFile = "departures.json"
	// departureCallTimeout bounds a call that asks another instance for a copy, and
	// departureSaveTimeout how long that instance waits for its disk. A call that fails is repeated
	// within the time that an upstream waits for its acknowledgement.
	departureCallTimeout = 400 * time.Millisecond
	departureSaveTimeout = 300 * time.Millisecond
)

// savedDepartures are the records of withdrawn upstreams up to a change of the directory.
type savedDepartures struct {
	Change    uint64 `json:"-"`
	Upstreams savedList[registration.Upstream]
}

// SaveDeparturesArgs asks another instance to save records of withdrawn upstreams.
type SaveDeparturesArgs struct{ Upstreams []registration.Upstream }

// SaveDeparturesReply tells that the records are on the disk of the receiver.
type SaveDeparturesReply struct {
	// Upstreams are the records as the receiver holds them. It may know the incarnation to which a
	// departure without a start time refers.
	Upstreams []registration.Upstream
	// Epoch changes when the receiver restarts.
	Epoch uint64
}

// SaveDepartures merges records of withdrawn upstreams and returns once they are on the disk of
// this instance.
func (s *Service) SaveDepartures(args *SaveDeparturesArgs, reply *SaveDeparturesReply) (err error) {
	defer recovery.Into(s.registry.log, "call SaveDepartures", &err)
	d := s.registry.directory
	if d.departuresSaver == nil {
		return peer.EncodeError(result.New(result.ControlUnavailable, "this instance has no disk"))
	}
	ctx, cancel := context.WithTimeout(s.registry.ctx, departureSaveTimeout)
	defer cancel()
	m, err := d.observe(observation{upstreams: args.Upstreams})
	switch {
	case err != nil:
	case m.full:
		err = errFull // a record that is not stored is no copy
	default:
		err = d.awaitCopies(ctx, copyWait{change: m.withdrawal, ownDisk: true})
	}
	reply.Upstreams, reply.Epoch = m.withdrawn, d.epoch
	return peer.EncodeError(err)
}

// copyWait waits until the withdrawals up to a change are on the disk of this instance, or on
// enough disks to be acknowledged.
type copyWait struct {
	ctx     context.Context
	change  uint64
	ownDisk bool
	done    chan struct{}
}

// awaitCopies returns an error if the copies are not written before ctx ends.
func (d *directory) awaitCopies(ctx context.Context, w copyWait) error {
	if w.change == 0 {
		return nil
	}
	w.ctx, w.done = ctx, make(chan struct{})
	select {
	case d.copyWaits <- w:
	case <-ctx.Done():
		return errNotSaved
	}
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return errNotSaved
	}
}

// errNotSaved is the error of a call whose withdrawal is in memory, but not on enough disks.
var errNotSaved = result.New(result.ControlUnavailable, "the departure is not on enough disks yet")

// addCopyWait registers a wait and starts to write what it waits for.
func (d *directory) addCopyWait(w copyWait) {
	d.waits = append(d.waits, w)
	d.saveDepartures()
	d.copyDepartures()
}

// saveDepartures passes the records of withdrawn upstreams to the saver if any of them has changed
// since the last time.
func (d *directory) saveDepartures() {
	if d.departuresSaver == nil || len(d.state.WithdrawnSince(d.offeredDepartures)) == 0 {
		return
	}
	d.offeredDepartures = d.state.LastChange()
	d.departuresSaver.offer(savedDepartures{d.offeredDepartures, d.state.WithdrawnSince(0)})
}

// recordOwnCopy records that the saver has written withdrawals up to a change.
func (d *directory) recordOwnCopy(change uint64) {
	d.copies.RecordSaved(d.registry.PeerListen, change)
	d.releaseWaits()
}

// releaseWaits ends the waits for which enough copies are written, and forgets those of calls that
// have ended.
func (d *directory) releaseWaits() {
	own, acknowledged := d.copies.SavedBy(d.registry.PeerListen), d.copies.Acknowledged()
	d.waits = slices.DeleteFunc(d.waits, func(w copyWait) bool {
		if w.ownDisk && own < w.change || !w.ownDisk && acknowledged < w.change {
			return w.ctx.Err() != nil
		}
		close(w.done)
		return true
	})
}

// copyDepartures asks the other instances for copies that calls wait for, with at most one call
// to an instance at a time.
func (d *directory) copyDepartures() {
	d.releaseWaits()
	var wanted uint64
	for _, w := range d.waits {
		if !w.ownDisk {
			wanted = max(wanted, w.change)
		}
	}
	for _, addr := range d.registry.otherMembers() {
		saved := d.copies.SavedBy(addr)
		if saved >= wanted || d.copying[addr] {
			continue
		}
		d.copying[addr] = true
		c := copyResult{addr: addr, since: saved, upTo: d.state.LastChange(), epoch: d.memberEpochs[addr]}
		go d.sendDepartures(d.registry.clients.To(addr), &SaveDeparturesArgs{Upstreams: d.state.WithdrawnSince(saved)}, c)
	}
}

// copyResult is the result of a call of SaveDepartures with the withdrawals between two changes.
type copyResult struct {
	addr        string
	since, upTo uint64
	// epoch is the epoch of the instance that has saved the withdrawals before since.
	epoch uint64
	reply *SaveDeparturesReply
	err   error
}

func (d *directory) sendDepartures(client *peer.Client, args *SaveDeparturesArgs, c copyResult) {
	ctx, cancel := context.WithTimeout(d.registry.ctx, departureCallTimeout)
	defer cancel()
	c.reply = &SaveDeparturesReply{}
	c.err = client.Call(ctx, ServiceName+".SaveDepartures", args, c.reply)
	select {
	case d.copyResults <- c:
	case <-d.registry.ctx.Done():
	}
}

// handleCopyResult records a copy. After a failure the next interval of shareInterval asks again.
func (d *directory) handleCopyResult(c copyResult) {
	delete(d.copying, c.addr)
	if c.err != nil {
		if !d.copyFailed[c.addr] {
			d.log.Warn("no copy of departures at another instance; retrying", "address", c.addr, "error", clip(c.err.Error()), "retry_ms", shareInterval.Milliseconds())
		}
		d.copyFailed[c.addr] = true
		return
	}
	delete(d.copyFailed, c.addr)
	d.resendToRestarted(c.addr, c.reply.Epoch)
	d.applyObservation(observation{upstreams: c.reply.Upstreams})
	if c.since == 0 || c.epoch == c.reply.Epoch { // else it may have lost what it had saved before
		d.copies.RecordSaved(c.addr, c.upTo)
	}
	d.copyDepartures()
}

// restoreDepartures loads the saved withdrawals. It is called behind the restore of the directory,
// which may be older.
func (d *directory) restoreDepartures(now time.Time) {
	saved, err := d.departuresSaver.read()
	for _, u := range saved.Upstreams {
		if d.state.Observe(now, u) == registration.Malformed && err == nil {
			err = u.Validate()
		}
	}
	if err != nil {
		d.log.Warn("cannot read all of the saved departures; continuing without the rest", "file", d.departuresSaver.path,
			"records", len(saved.Upstreams), "error", clip(err.Error()))
	}
	if len(saved.Upstreams) > 0 {
		d.log.Info("departures restored from disk", "upstreams", len(saved.Upstreams))
	}
}
