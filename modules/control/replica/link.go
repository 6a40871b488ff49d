package replica

import (
	"context"
	"time"

	"heatherway.dev/core/raft"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/stats"
)

// ServiceName is the net/rpc name of the service for other control instances.
const ServiceName = "Raft"

// Envelope is a raft message of one group.
type Envelope struct {
	Group   Group
	Message raft.Message
}

// StepArgs carries a batch of raft messages to one instance.
type StepArgs struct {
	From     raft.MemberID
	Messages []Envelope
}

// StepReply is empty. Responses are sent as separate messages.
type StepReply struct{}

// IdentityArgs asks an instance for its identity and carries that of the caller.
type IdentityArgs struct{ From IdentityReply }

// IdentityReply contains the ID of the member and of its disk. Empty lists the groups
// of which it has no log.
type IdentityReply struct {
	Member raft.MemberID
	Disk   raft.DiskID
	Empty  []Group
	// Known lists the members of the groups, so that an instance finds those that
	// are not in its settings.
	Known []Peer
	// Relay is set by instances without a disk, which hold no log.
	Relay bool
	// Nominees are the instances that this one has nominated to bootstrap groups.
	Nominees map[Group]raft.MemberID
	// Leaving is set by an instance whose process is about to end.
	Leaving bool
}

// Service is the net/rpc service for other control instances. Register it under
// ServiceName on the internal listener, for the role "control" only.
type Service struct{ current func() *Replica }

// Service returns the net/rpc service of r.
func (r *Replica) Service() *Service { return NewService(func() *Replica { return r }) }

// NewService returns a net/rpc service for the Replica that current returns at each call.
func NewService(current func() *Replica) *Service { return &Service{current} }

// Step queues a batch of messages for the owner goroutine. It drops the batch if the
// queue is full, since raft retransmits messages without a response.
func (s *Service) Step(args *StepArgs, _ *StepReply) error {
	r := s.current()
	select {
	case <-r.ended:
		return peer.EncodeError(errStopped)
	default:
	}
	select {
	case r.messages <- receivedBatch{args.Messages}:
	default:
		r.metrics.droppedIn.Add(int64(len(args.Messages)))
	}
	return nil
}

// identityTimeout bounds how long Identity waits for the owner goroutine, and an identity
// query to another instance.
const identityTimeout = time.Second

// Identity returns the identity of this instance.
func (s *Service) Identity(args *IdentityArgs, reply *IdentityReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), identityTimeout)
	defer cancel()
	var err error
	*reply, err = s.current().exchangeIdentity(ctx, args.From)
	return peer.EncodeError(err)
}

// exchangeIdentity passes the identity of another instance, if any, to the owner goroutine and
// returns that of this one.
func (r *Replica) exchangeIdentity(ctx context.Context, from IdentityReply) (IdentityReply, error) {
	q := identityRequest{from: from, done: make(chan IdentityReply, 1)}
	if err := r.enqueue(ctx, q); err != nil {
		return IdentityReply{}, err
	}
	select {
	case own := <-q.done:
		return own, nil
	case <-ctx.Done():
		return IdentityReply{}, ctx.Err()
	case <-r.ended:
		return IdentityReply{}, errStopped
	}
}

// link sends messages to one other instance. It has a bounded queue and one goroutine
// that sends the queued messages, one call at a time.
type link struct {
	to      Peer
	client  *peer.Client
	queue   chan Envelope
	replica *Replica
	stop    context.CancelFunc
}

const (
	// maxQueuedMessages bounds the messages that wait for one instance. Messages
	// beyond it are dropped.
	maxQueuedMessages = 4096
	// maxCallMessages and maxCallBytes bound one call.
	maxCallMessages = 256
	maxCallBytes    = 1 << 20
	// stepTimeout is the time after which a call counts as lost. It is below the
	// shortest election timeout, so that one unresponsive connection does not cause
	// an election.
	stepTimeout = 300 * time.Millisecond
	// callAttempts is the number of times that a batch is sent before it is dropped.
	callAttempts = 2
	// redialDelay is the delay after a failed call.
	redialDelay = 50 * time.Millisecond
	// identityInterval is the time between two queries for a peer's identity.
	identityInterval = 500 * time.Millisecond
)

// addLink adds a link to an instance unless there is one already.
func (r *Replica) addLink(p Peer) {
	if p.ID == r.options.Self || r.links[p.ID] != nil {
		return
	}
	ctx, stop := context.WithCancel(r.linkContext)
	l := &link{to: p, client: r.options.Security.NewClient(p.Addr), queue: make(chan Envelope, maxQueuedMessages), replica: r, stop: stop}
	r.links[p.ID] = l
	r.wait.Add(2)
	go func() {
		defer r.wait.Done()
		l.run(ctx)
	}()
	go func() {
		defer r.wait.Done()
		l.pollIdentity(ctx)
	}()
}

func (l *link) enqueue(e Envelope) {
	select {
	case l.queue <- e:
	default:
		l.replica.metrics.droppedOut.Inc()
	}
}

func (l *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.queue:
			if !l.send(ctx, l.collectBatch(e)) && sleep(ctx, redialDelay) != nil {
				return
			}
		}
	}
}

// send sends a batch and retries it once on a new connection. An idle connection
// whose peer has restarted fails at the first call, and a lost vote could fail an
// election.
func (l *link) send(ctx context.Context, batch []Envelope) bool {
	for range callAttempts {
		if l.call(ctx, batch) == nil {
			return true
		}
	}
	l.replica.metrics.droppedOut.Add(int64(len(batch)))
	return false
}

// collectBatch collects queued messages for one call.
func (l *link) collectBatch(first Envelope) []Envelope {
	batch, size := []Envelope{first}, messageBytes(first.Message)
	for len(batch) < maxCallMessages && size < maxCallBytes {
		select {
		case e := <-l.queue:
			batch = append(batch, e)
			size += messageBytes(e.Message)
		default:
			return batch
		}
	}
	return batch
}

func messageBytes(m raft.Message) int {
	n := len(m.Data)
	for _, e := range m.Entries {
		n += len(e.Data)
	}
	return n
}

func (l *link) call(ctx context.Context, batch []Envelope) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	args := &StepArgs{From: l.replica.options.Self, Messages: batch}
	err := l.client.Call(ctx, ServiceName+".Step", args, &StepReply{})
	if err != nil {
		l.client.Close()
	}
	return err
}

// pollIdentity queries the identity of the other instance at intervals and passes it to
// the owner goroutine. It has its own client, so that a batch does not delay it.
func (l *link) pollIdentity(ctx context.Context) {
	client := l.replica.options.Security.NewClient(l.to.Addr)
	defer client.Close()
	for {
		l.pollIdentityOnce(ctx, client)
		if sleep(ctx, identityInterval) != nil {
			return
		}
	}
}

func (l *link) pollIdentityOnce(ctx context.Context, client *peer.Client) {
	callCtx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	own, err := l.replica.exchangeIdentity(callCtx, IdentityReply{})
	if err != nil {
		return // the owner is busy or has stopped; the next poll tries again
	}
	var reply IdentityReply
	err = client.Call(callCtx, ServiceName+".Identity", &IdentityArgs{From: own}, &reply)
	if err != nil || reply.Member != l.to.ID {
		return
	}
	_ = l.replica.enqueue(ctx, identityLearned{newIdentity(reply)})
}

type metrics struct {
	registry *stats.Registry
	sync     stats.Histogram
	entries  stats.Counter
	// droppedIn counts received messages that were dropped because the queue of the owner
	// was full, and droppedOut those that could not be queued or sent.
	droppedIn  stats.Counter
	droppedOut stats.Counter
}

func newMetrics(s *stats.Registry) metrics {
	return metrics{
		registry:   s,
		sync:       s.Histogram("control_log_sync_us"),
		entries:    s.Counter("control_log_entries_total"),
		droppedIn:  s.Counter("control_messages_dropped_total", stats.Label{Key: "way", Value: "in"}),
		droppedOut: s.Counter("control_messages_dropped_total", stats.Label{Key: "way", Value: "out"}),
	}
}
