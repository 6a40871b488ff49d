package control

import (
	"context"
	"sync"

	"heatherway.dev/heatherway/modules/control/replica"
	"heatherway.dev/kernel/result"
)

// fleetGroup is the log group of configuration, quarantine, leases and orders.
// Groups 1 to Settings.RecordGroups hold the idempotency records.
const fleetGroup uint32 = 0

// Log is a set of replicated log groups.
type Log interface {
	// Propose appends a command to a group. Once the command is committed and
	// applied here, it returns the state machine's reply and the command's
	// index.
	Propose(ctx context.Context, group uint32, data []byte) (reply []byte, index uint64, err error)
	// ReadIndex returns once everything committed before the call is applied
	// here. It fails on an instance that does not lead the group.
	ReadIndex(ctx context.Context, group uint32) error
	// Leader returns what this instance knows of a group's leader.
	Leader(group uint32) Leader
}

// Leader describes the leader of a group.
type Leader struct {
	// Local is set when this instance is the leader.
	Local bool
	// Addr is the leader's address, or empty if it is unknown.
	Addr string
	Term uint64
}

// StateMachine is the state machine of one group. The log calls it from a
// single goroutine.
type StateMachine interface {
	replica.StateMachine
	replica.Freezer
}

// replicatedLog is a log that is replicated to the other control instances and
// stored in a write-ahead log.
type replicatedLog struct{ *replica.Replica }

func (l replicatedLog) Propose(ctx context.Context, group uint32, data []byte) ([]byte, uint64, error) {
	return l.Replica.Propose(ctx, replica.Group(group), data)
}

func (l replicatedLog) ReadIndex(ctx context.Context, group uint32) error {
	_, err := l.Replica.ReadIndex(ctx, replica.Group(group))
	return err
}

func (l replicatedLog) Leader(group uint32) Leader {
	leader := l.Replica.Leader(replica.Group(group))
	return Leader{Local: leader.Self, Addr: leader.Addr, Term: leader.Term}
}

// memoryLog is a log with a single member that stores nothing on disk.
type memoryLog struct {
	groups []memoryGroup
}

type memoryGroup struct {
	mu      sync.Mutex
	index   uint64
	machine StateMachine
}

func newMemoryLog(machines []StateMachine) *memoryLog {
	l := &memoryLog{groups: make([]memoryGroup, len(machines))}
	for i, m := range machines {
		l.groups[i].machine = m
	}
	return l
}

func (l *memoryLog) Propose(ctx context.Context, group uint32, data []byte) ([]byte, uint64, error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, err
	}
	if int(group) >= len(l.groups) {
		return nil, 0, result.New(result.ObjectUnknown, "no log group %d", group)
	}
	g := &l.groups[group]
	g.mu.Lock()
	defer g.mu.Unlock()
	g.index++
	return g.machine.Apply(g.index, data), g.index, nil
}

func (l *memoryLog) ReadIndex(ctx context.Context, _ uint32) error { return ctx.Err() }

func (l *memoryLog) Leader(uint32) Leader { return Leader{Local: true, Term: 1} }
