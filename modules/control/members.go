package control

import (
	"context"
	"sync/atomic"
	"time"

	"heatherway.dev/core/member"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

const (
	announceQueue = 4096
	// announceWait bounds how long an announcement waits for room in the queue.
	announceWait = 50 * time.Millisecond
	// publishInterval bounds how often a change of members wakes all watches.
	// Each wake-up computes a subset for every entry.
	publishInterval = 100 * time.Millisecond
)

// membersView is an immutable snapshot of the membership.
type membersView struct {
	List []wire.Upstream
	// Newest maps each upstream to its newest incarnation, lost or not.
	Newest map[string]wire.Incarnation
}

type announcement struct {
	args  wire.AnnounceArgs
	reply chan<- bool
}

// members owns the membership table in one goroutine.
type members struct {
	now     func() time.Time
	events  chan announcement
	current atomic.Pointer[membersView]
	changed broadcast
}

func newMembers(now func() time.Time) *members {
	m := &members{now: now, events: make(chan announcement, announceQueue)}
	m.current.Store(&membersView{})
	return m
}

func (m *members) view() *membersView { return m.current.Load() }

// announce hands an announcement to the owner and tells whether it was refused.
func (m *members) announce(ctx context.Context, a wire.AnnounceArgs) (refused bool, err error) {
	reply := make(chan bool, 1)
	full := time.NewTimer(announceWait)
	defer full.Stop()
	select {
	case m.events <- announcement{a, reply}:
	case <-full.C:
		return false, result.New(result.ControlUnavailable, "too many announcements wait")
	}
	select {
	case refused = <-reply:
		return refused, nil
	case <-ctx.Done():
		return false, result.New(result.ControlUnavailable, "stopping")
	}
}

func (m *members) run(ctx context.Context) {
	table := member.NewTable()
	tick := time.NewTicker(publishInterval)
	defer tick.Stop()
	dirty := false
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-m.events:
			refused, changed := table.Announce(m.now().UnixMilli(), e.args.Upstream)
			dirty = dirty || changed
			e.reply <- refused
		case <-tick.C:
			if table.Expire(m.now().UnixMilli()) || dirty {
				m.publish(table)
				dirty = false
			}
		}
	}
}

func (m *members) publish(t *member.Table) {
	m.current.Store(&membersView{List: t.Members(), Newest: t.Incarnations()})
	m.changed.notify()
}
