package registry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"heatherway.dev/core/origin"
	"heatherway.dev/core/registration"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
)

const (
	// originBatchTime is the time over which records of streams are gathered into one entry of
	// the log. It is short beside the time in which a prompt is read.
	originBatchTime = 10 * time.Millisecond
	// originQueueSize bounds the records that wait for the log.
	originQueueSize = 4096
	// originTimeout bounds a call about the version of a stream on its way through the log. It
	// covers some syncs of a slow disk.
	originTimeout = 600 * time.Millisecond
)

// originLedger is the replicated ledger of the software versions that began streams. Calls are
// answered by the leader of originGroup.
type originLedger struct {
	registry *Registry
	// queue holds records that wait for the next entry of the log.
	queue chan originRequest

	mu     sync.Mutex
	ledger *origin.Ledger

	// chooser is used by the goroutine of the directory only. proposing is set while it waits for
	// a default version to become durable.
	chooser   *origin.DefaultChooser
	proposing atomic.Bool
	// present holds the default version of each service that has an upstream of it that has not
	// left.
	present sync.Map
}

type originRequest struct {
	record origin.Record
	done   chan error
}

func newOriginLedger(r *Registry) *originLedger {
	return &originLedger{registry: r, queue: make(chan originRequest, originQueueSize), ledger: origin.New(), chooser: origin.NewDefaultChooser()}
}

// Apply implements replica.StateMachine.
func (l *originLedger) Apply(index uint64, entry []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.ledger.Apply(entry); err != nil {
		l.registry.log.Error("invalid record of streams skipped", "index", index, "error", err)
	}
	return nil
}

// Snapshot implements replica.StateMachine.
func (l *originLedger) Snapshot() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, err := l.ledger.Snapshot()
	if err != nil {
		l.registry.log.Error("recorded streams not encoded", "error", err)
	}
	return b
}

// Restore implements replica.StateMachine.
func (l *originLedger) Restore(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Restore(b)
}

// run writes the queued records to the log, many in one entry.
func (l *originLedger) run(ctx context.Context) {
	for {
		var batch []originRequest
		select {
		case <-ctx.Done():
			return
		case q := <-l.queue:
			batch = append(batch, q)
		}
		timer := time.NewTimer(originBatchTime)
		for waiting := true; waiting; {
			select {
			case q := <-l.queue:
				batch = append(batch, q)
			case <-timer.C:
				waiting = false
			}
		}
		go func() {
			err := l.propose(ctx, batch)
			for _, q := range batch {
				q.done <- err
			}
		}()
	}
}

func (l *originLedger) propose(ctx context.Context, batch []originRequest) error {
	l.mu.Lock()
	room := l.ledger.HasRoom(len(batch))
	l.mu.Unlock()
	if !room {
		return result.New(result.ControlUnavailable, "too many streams are recorded").WithRan(result.NotRun)
	}
	c := origin.Command{}
	for _, q := range batch {
		c.Streams = append(c.Streams, q.record)
	}
	return l.write(ctx, c)
}

// write appends a command to the log and waits until it is durable.
func (l *originLedger) write(ctx context.Context, c origin.Command) error {
	rep := l.registry.currentReplica()
	if rep == nil {
		return result.New(result.ControlUnavailable, "the log of this instance is closed").WithRan(result.NotRun)
	}
	c.AtMS = time.Now().UnixMilli()
	b, err := c.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	_, _, err = rep.Propose(ctx, originGroup, b)
	return err
}

// record records a stream and returns once the record is durable.
func (l *originLedger) record(ctx context.Context, r origin.Record) error {
	q := originRequest{r, make(chan error, 1)}
	select {
	case l.queue <- q:
	default:
		return result.New(result.ControlUnavailable, "too many records of streams wait").WithRan(result.NotRun)
	}
	select {
	case err := <-q.done:
		return err
	case <-ctx.Done():
		return result.New(result.ControlUnavailable, "the record of a stream was not written in time")
	}
}

// confirmLeading returns once a majority has confirmed that this instance leads and holds all that
// was recorded before.
func (l *originLedger) confirmLeading(ctx context.Context) error {
	rep := l.registry.currentReplica()
	if rep == nil {
		return result.New(result.ControlUnavailable, "the log of this instance is closed").WithRan(result.NotRun)
	}
	_, err := rep.ReadIndex(ctx, originGroup)
	return err
}

// reliableDefault returns the default version of a service while upstreams of it are known.
func (l *originLedger) reliableDefault(service string) string {
	l.mu.Lock()
	version := l.ledger.Default(service)
	l.mu.Unlock()
	if present, _ := l.present.Load(service); present != version {
		return ""
	}
	return version
}

// chooseDefaults proposes default versions for services that need another one, if this instance
// leads.
func (l *originLedger) chooseDefaults(now time.Time, upstreams []registration.Upstream) {
	versions := map[string]map[string]int{}
	for _, u := range upstreams {
		if u.State == registration.Left {
			continue
		}
		if versions[u.Service] == nil {
			versions[u.Service] = map[string]int{}
		}
		versions[u.Service][u.Version]++
	}
	rep := l.registry.currentReplica()
	if rep == nil || !rep.Leader(originGroup).Self {
		l.chooser = origin.NewDefaultChooser() // another leader has chosen meanwhile
		l.present.Clear()
		return
	}
	for service, counts := range versions {
		l.mu.Lock()
		current := l.ledger.Default(service)
		l.mu.Unlock()
		if current != "" && counts[current] > 0 {
			l.present.Store(service, current)
		} else {
			l.present.Delete(service)
		}
		if next := l.chooser.Choose(now, service, current, counts); next != "" {
			l.proposeDefault(service, current, next)
		}
	}
}

// proposeDefault writes a default version. One is written at a time; the next search finds the
// services that are left.
func (l *originLedger) proposeDefault(service, current, next string) {
	if !l.proposing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer l.proposing.Store(false)
		err := l.write(l.registry.ctx, origin.Command{DefaultOf: service, Default: next})
		if err != nil {
			l.registry.log.Warn("default software version of a service not written", "service", service, "version", next, "previous", current, "error", err)
			return
		}
		l.registry.log.Info("default software version of a service chosen", "service", service, "version", next, "previous", current)
	}()
}

// RecordStreamArgs records which software version begins a stream.
type RecordStreamArgs struct {
	origin.Record
	// Replace is set if another version may be recorded for the stream.
	Replace bool
	// Forward asks an instance that is not the leader to forward the call to it.
	Forward bool
}

// RecordStreamReply carries the default version of the service while it may be relied on. The
// stream is recorded unless it begins at that version.
type RecordStreamReply struct {
	Default string
	OwnerAddr
}

// RecordStream records the version that begins a stream. It returns once the record is durable.
func (s *Service) RecordStream(args *RecordStreamArgs, reply *RecordStreamReply) (err error) {
	defer recovery.Into(s.registry.log, "call RecordStream", &err)
	r := s.registry
	ctx, cancel := context.WithTimeout(r.ctx, originTimeout)
	defer cancel()
	_, err = r.tryLeaderOf(ctx, originGroup, func(ctx context.Context) (uint64, error) {
		reply.Default, reply.Owner = r.origins.reliableDefault(args.Service), r.PeerListen
		if reply.Default == args.Version && !args.Replace {
			return 0, r.origins.confirmLeading(ctx)
		}
		return 0, r.origins.record(ctx, args.Record)
	}, func(ctx context.Context, addr string) (uint64, error) {
		if !args.Forward {
			return 0, result.New(result.ControlUnavailable, "this instance does not lead").WithRan(result.NotRun)
		}
		forwarded := *args
		forwarded.Forward = false
		return 0, r.clients.To(addr).Call(ctx, ServiceName+".RecordStream", &forwarded, reply)
	})
	return peer.EncodeError(err)
}

// StreamVersionArgs asks which software version began a stream.
type StreamVersionArgs struct {
	Service string
	Key     origin.Key
	// Unnamed is set if the caller has not named the stream.
	Unnamed bool
	// Forward asks an instance that is not the leader to forward the call to it.
	Forward bool
}

// StreamVersionReply carries the version, if it is known.
type StreamVersionReply struct {
	Version string
	Known   bool
	OwnerAddr
}

// StreamVersion returns the version that began a stream. The leader answers, after a majority has
// confirmed that it leads: another one may have recorded the stream.
func (s *Service) StreamVersion(args *StreamVersionArgs, reply *StreamVersionReply) (err error) {
	defer recovery.Into(s.registry.log, "call StreamVersion", &err)
	r := s.registry
	ctx, cancel := context.WithTimeout(r.ctx, originTimeout)
	defer cancel()
	_, err = r.tryLeaderOf(ctx, originGroup, func(ctx context.Context) (uint64, error) {
		if err := r.origins.confirmLeading(ctx); err != nil {
			return 0, err
		}
		r.origins.mu.Lock()
		defer r.origins.mu.Unlock()
		reply.Owner = r.PeerListen
		if args.Unnamed {
			reply.Version, reply.Known = r.origins.ledger.OnlyVersion(args.Service)
		} else {
			reply.Version, reply.Known = r.origins.ledger.Version(args.Service, args.Key)
		}
		return 0, nil
	}, func(ctx context.Context, addr string) (uint64, error) {
		if !args.Forward {
			return 0, result.New(result.ControlUnavailable, "this instance does not lead").WithRan(result.NotRun)
		}
		forwarded := *args
		forwarded.Forward = false
		return 0, r.clients.To(addr).Call(ctx, ServiceName+".StreamVersion", &forwarded, reply)
	})
	return peer.EncodeError(err)
}
