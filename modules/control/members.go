package control

import (
	"context"
	"sync/atomic"
	"time"

	"heatherway.dev/core/member"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/stats"
)

const (
	memberQueue = 4096
	// memberWait bounds how long an event waits for room in the queue.
	memberWait = 50 * time.Millisecond
	// publishInterval bounds how often a change of members wakes all watches.
	// Each wake-up computes a subset for every entry.
	publishInterval = 100 * time.Millisecond
)

// sighting says which revision a process reported, and when.
type sighting struct {
	Role, Zone string
	Revision   uint64
	AtMS       int64
}

// membersView is an immutable snapshot of the membership.
type membersView struct {
	Index *member.Index
	// Warm is set once every live agent has had the time to announce itself
	// since this instance started.
	Warm bool
}

// memberEvent is a message to the owner of the membership.
type memberEvent interface{ handle(*memberOwner) }

// memberOwner is the state of the goroutine that owns the membership.
type memberOwner struct {
	nowMS int64
	table *member.Table
	seen  map[string]sighting
	dirty bool
}

// members owns the membership table in one goroutine.
type members struct {
	now     func() time.Time
	events  chan memberEvent
	current atomic.Pointer[membersView]
	changed broadcast
	dropped stats.Counter
	count   stats.Gauge
}

func newMembers(now func() time.Time, st *stats.Registry) *members {
	m := &members{now: now, events: make(chan memberEvent, memberQueue), dropped: st.Counter("control_member_events_dropped_total"), count: st.Gauge("control_members")}
	m.current.Store(&membersView{Index: member.NewIndex(nil)})
	return m
}

func (m *members) view() *membersView { return m.current.Load() }

// post hands an event to the owner.
func (m *members) post(e memberEvent) error {
	full := time.NewTimer(memberWait)
	defer full.Stop()
	select {
	case m.events <- e:
		return nil
	case <-full.C:
		m.dropped.Inc()
		return result.New(result.ControlUnavailable, "too many membership messages wait")
	}
}

// ask posts an event and waits for its answer.
func ask[R any](ctx context.Context, m *members, event func(chan<- R) memberEvent) (R, error) {
	reply := make(chan R, 1)
	var zero R
	if err := m.post(event(reply)); err != nil {
		return zero, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return zero, result.Wrap(result.ControlUnavailable, ctx.Err(), "no answer from the membership")
	}
}

func (m *members) run(ctx context.Context) {
	o := &memberOwner{nowMS: m.now().UnixMilli(), seen: map[string]sighting{}}
	o.table = member.NewTable(o.nowMS)
	start := o.nowMS
	tick := time.NewTicker(publishInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-m.events:
			o.nowMS = m.now().UnixMilli()
			e.handle(o)
		case <-tick.C:
			o.nowMS = m.now().UnixMilli()
			o.expire()
			m.publish(o, o.nowMS-start >= member.LostAfterMS)
		}
	}
}

func (m *members) publish(o *memberOwner, warm bool) {
	if !o.dirty && m.view().Warm == warm {
		return
	}
	o.dirty = false
	list := o.table.Members()
	m.count.Set(int64(len(list)))
	m.current.Store(&membersView{Index: member.NewIndex(list), Warm: warm})
	m.changed.notify()
}

func (o *memberOwner) expire() {
	if o.table.Expire(o.nowMS) {
		o.dirty = true
	}
	for id, s := range o.seen {
		if o.nowMS-s.AtMS >= member.RetentionMS {
			delete(o.seen, id)
		}
	}
}

type announced struct {
	args    wire.AnnounceArgs
	refused chan<- bool
}

func (e announced) handle(o *memberOwner) {
	u := e.args.Upstream
	refused, changed := o.table.Announce(o.nowMS, u, e.args.Seq)
	o.dirty = o.dirty || changed
	if !refused {
		o.seen[u.ID] = sighting{roleAgent, u.Zone, e.args.Revision, o.nowMS}
	}
	e.refused <- refused
}

// watched notes which revision a watching process has.
type watched struct{ args wire.WatchArgs }

func (e watched) handle(o *memberOwner) {
	o.seen[e.args.Instance] = sighting{e.args.Role, e.args.Zone, e.args.Revision, o.nowMS}
}

type merged struct {
	digest  member.Digest
	unknown chan<- []uint64
}

func (e merged) handle(o *memberOwner) {
	unknown, changed := o.table.Merge(o.nowMS, e.digest)
	o.dirty = o.dirty || changed
	e.unknown <- unknown
}

// heardAfter asks for what this instance itself heard after a time.
type heardAfter struct {
	sinceMS int64
	reply   chan<- heardList
}

type heardList struct {
	upToMS int64
	heard  []member.DigestEntry
}

func (e heardAfter) handle(o *memberOwner) {
	e.reply <- heardList{o.nowMS, o.table.DigestEntriesSince(e.sinceMS, o.nowMS)}
}

type fullOf struct {
	contents []uint64
	reply    chan<- []member.Announcement
}

func (e fullOf) handle(o *memberOwner) { e.reply <- o.table.Announcements(e.contents, o.nowMS) }

type goneAsked struct {
	agent       string
	incarnation wire.Incarnation
	reply       chan<- bool
}

func (e goneAsked) handle(o *memberOwner) {
	e.reply <- o.table.Gone(o.nowMS, e.agent, e.incarnation)
}

type seenAsked struct{ reply chan<- map[string]sighting }

func (e seenAsked) handle(o *memberOwner) {
	out := make(map[string]sighting, len(o.seen))
	for id, s := range o.seen {
		out[id] = s
	}
	e.reply <- out
}
