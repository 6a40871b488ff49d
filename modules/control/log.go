package control

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

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
// stored in a write-ahead log. After a failure, such as a full disk, it is opened again.
type replicatedLog struct {
	options replica.Options
	logger  *slog.Logger

	current atomic.Pointer[replica.Replica]
	// open is set while the current Replica has not been closed. The supervisor owns it
	// until it has ended.
	open       bool
	cancel     context.CancelFunc
	supervisor sync.WaitGroup
}

func openReplicatedLog(o replica.Options) (*replicatedLog, error) {
	r, err := replica.Open(o)
	if err != nil {
		return nil, err
	}
	l := &replicatedLog{options: o, logger: o.Log, open: true}
	l.current.Store(r)
	return l, nil
}

// Start starts the groups and opens the log again whenever it fails.
func (l *replicatedLog) Start(ctx context.Context) error {
	if err := l.current.Load().Start(ctx); err != nil {
		return err
	}
	ctx, l.cancel = context.WithCancel(context.WithoutCancel(ctx))
	l.supervisor.Go(func() { l.supervise(ctx) })
	return nil
}

func (l *replicatedLog) supervise(ctx context.Context) {
	for {
		r := l.current.Load()
		select {
		case <-r.Ended():
		case <-ctx.Done():
			return
		}
		l.logger.Error("replicated log stopped after a failure", "error", r.Err())
		l.open = false
		if err := r.Kill(); err != nil {
			l.logger.Warn("cannot close the replicated log", "error", err)
		}
		for !l.open {
			select {
			case <-time.After(replica.ReopenDelay):
			case <-ctx.Done():
				return
			}
			l.reopen(ctx, r)
		}
	}
}

func (l *replicatedLog) reopen(ctx context.Context, failed *replica.Replica) {
	o := l.options
	o.Previous = failed
	r, err := replica.Open(o)
	if err != nil {
		l.logger.Error("cannot open the replicated log; retrying", "error", err, "retry_ms", replica.ReopenDelay.Milliseconds())
		return
	}
	l.current.Store(r)
	l.open = true
	if err := r.Start(ctx); err != nil {
		l.logger.Error("cannot start the replicated log", "error", err)
	}
}

// Stop transfers leadership and closes the log.
func (l *replicatedLog) Stop(ctx context.Context) error {
	l.endSupervisor()
	if !l.open {
		return nil
	}
	l.open = false
	return l.current.Load().Stop(ctx)
}

// Kill closes the log immediately.
func (l *replicatedLog) Kill() error {
	l.endSupervisor()
	if !l.open {
		return nil
	}
	l.open = false
	return l.current.Load().Kill()
}

func (l *replicatedLog) endSupervisor() {
	if l.cancel != nil {
		l.cancel()
	}
	l.supervisor.Wait()
}

// Service returns the net/rpc service of the log.
func (l *replicatedLog) Service() *replica.Service { return replica.NewService(l.current.Load) }

func (l *replicatedLog) Propose(ctx context.Context, group uint32, data []byte) ([]byte, uint64, error) {
	return l.current.Load().Propose(ctx, replica.Group(group), data)
}

func (l *replicatedLog) ReadIndex(ctx context.Context, group uint32) error {
	_, err := l.current.Load().ReadIndex(ctx, replica.Group(group))
	return err
}

func (l *replicatedLog) Leader(group uint32) Leader {
	leader := l.current.Load().Leader(replica.Group(group))
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
