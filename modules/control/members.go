package control

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"heatherway.dev/core/member"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/stats"
)

const (
	memberQueueSize = 4096
	// memberPostTimeout bounds how long an event waits for room in the queue.
	memberPostTimeout = 50 * time.Millisecond
	// memberReplyTimeout bounds how long a query waits for its reply. An event that has
	// panicked sends none.
	memberReplyTimeout = time.Second
	// publishInterval limits how often changes of the members wake all watches.
	// Each wake-up computes a subset for every entry.
	publishInterval = 100 * time.Millisecond
)

// processReport is the configuration revision that a process reported, and
// when.
type processReport struct {
	Role, Zone string
	Revision   uint64
	AtMS       int64
}

// membershipView is an immutable snapshot of the membership.
type membershipView struct {
	Index *member.Index
	// Warm is set once every live agent has had time to announce itself since
	// this instance started.
	Warm bool
}

// memberEvent is a message to the goroutine that owns the membership.
type memberEvent interface{ handle(*membershipState) }

// membershipState is the state of the goroutine that owns the membership.
type membershipState struct {
	nowMS     int64
	table     *member.Table
	processes map[string]processReport
	dirty     bool
}

// membership keeps the membership table in a single goroutine and publishes
// snapshots of it.
type membership struct {
	log     *slog.Logger
	now     func() time.Time
	events  chan memberEvent
	current atomic.Pointer[membershipView]
	changed broadcast
	dropped stats.Counter
	count   stats.Gauge
}

func newMembership(log *slog.Logger, now func() time.Time, st *stats.Registry) *membership {
	m := &membership{log: log, now: now, events: make(chan memberEvent, memberQueueSize), dropped: st.Counter("control_member_events_dropped_total"), count: st.Gauge("control_members")}
	m.current.Store(&membershipView{Index: member.NewIndex(nil)})
	return m
}

func (m *membership) view() *membershipView { return m.current.Load() }

// post queues an event for the goroutine that owns the membership.
func (m *membership) post(e memberEvent) error {
	timeout := time.NewTimer(memberPostTimeout)
	defer timeout.Stop()
	select {
	case m.events <- e:
		return nil
	case <-timeout.C:
		m.dropped.Inc()
		return result.New(result.ControlUnavailable, "too many membership messages wait")
	}
}

// query posts an event and waits for its reply.
func query[R any](ctx context.Context, m *membership, event func(chan<- R) memberEvent) (R, error) {
	reply := make(chan R, 1)
	var zero R
	if err := m.post(event(reply)); err != nil {
		return zero, err
	}
	ctx, cancel := context.WithTimeout(ctx, memberReplyTimeout)
	defer cancel()
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return zero, result.Wrap(result.ControlUnavailable, ctx.Err(), "no answer from the membership")
	}
}

func (m *membership) run(ctx context.Context) {
	state := &membershipState{nowMS: m.now().UnixMilli(), processes: map[string]processReport{}}
	state.table = member.NewTable(state.nowMS)
	start := state.nowMS
	tick := time.NewTicker(publishInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-m.events:
			state.nowMS = m.now().UnixMilli()
			_ = m.confine("message about members", func() { e.handle(state) })
		case <-tick.C:
			state.nowMS = m.now().UnixMilli()
			_ = m.confine("publication of the members", func() {
				state.expire()
				m.publish(state, state.nowMS-start >= member.LostAfterMS)
			})
		}
	}
}

// confine runs one step of the goroutine that owns the membership. A panic, for example over
// what another process has sent, must not end the process.
func (m *membership) confine(step string, f func()) error { return recovery.Run(m.log, step, f) }

func (m *membership) publish(state *membershipState, warm bool) {
	if !state.dirty && m.view().Warm == warm {
		return
	}
	state.dirty = false
	list := state.table.Members()
	m.count.Set(int64(len(list)))
	m.current.Store(&membershipView{Index: member.NewIndex(list), Warm: warm})
	m.changed.notify()
}

func (s *membershipState) expire() {
	if s.table.Expire(s.nowMS) {
		s.dirty = true
	}
	for id, report := range s.processes {
		if s.nowMS-report.AtMS >= member.RetentionMS {
			delete(s.processes, id)
		}
	}
}

// announceEvent applies an announcement that this instance received directly.
type announceEvent struct {
	args    wire.AnnounceArgs
	refused chan<- bool
}

func (e announceEvent) handle(s *membershipState) {
	u := e.args.Upstream
	refused, changed := s.table.Announce(s.nowMS, u, e.args.Seq)
	s.dirty = s.dirty || changed
	if !refused {
		s.processes[u.ID] = processReport{roleAgent, u.Zone, e.args.Revision, s.nowMS}
	}
	e.refused <- refused
}

// watchEvent records the configuration revision of a watching process.
type watchEvent struct{ args wire.WatchArgs }

func (e watchEvent) handle(s *membershipState) {
	s.processes[e.args.Instance] = processReport{e.args.Role, e.args.Zone, e.args.Revision, s.nowMS}
}

// mergeEvent merges the digest of another instance.
type mergeEvent struct {
	digest  member.Digest
	unknown chan<- []uint64
}

func (e mergeEvent) handle(s *membershipState) {
	unknown, changed := s.table.Merge(s.nowMS, e.digest)
	s.dirty = s.dirty || changed
	e.unknown <- unknown
}

// digestQuery asks for the announcements that this instance received directly
// after a time.
type digestQuery struct {
	sinceMS int64
	reply   chan<- digestEntries
}

// digestEntries are the announcements received up to a time.
type digestEntries struct {
	upToMS  int64
	entries []member.DigestEntry
}

func (e digestQuery) handle(s *membershipState) {
	e.reply <- digestEntries{s.nowMS, s.table.DigestEntriesSince(e.sinceMS, s.nowMS)}
}

// announcementsQuery asks for the announcements with the given content
// versions.
type announcementsQuery struct {
	contentVersions []uint64
	reply           chan<- []member.Announcement
}

func (e announcementsQuery) handle(s *membershipState) {
	e.reply <- s.table.Announcements(e.contentVersions, s.nowMS)
}

// goneQuery asks whether an incarnation of an agent has ended.
type goneQuery struct {
	agent       string
	incarnation wire.Incarnation
	reply       chan<- bool
}

func (e goneQuery) handle(s *membershipState) {
	e.reply <- s.table.Gone(s.nowMS, e.agent, e.incarnation)
}

// processesQuery asks for the latest report of each process.
type processesQuery struct {
	reply chan<- map[string]processReport
}

func (e processesQuery) handle(s *membershipState) {
	out := make(map[string]processReport, len(s.processes))
	for id, report := range s.processes {
		out[id] = report
	}
	e.reply <- out
}
