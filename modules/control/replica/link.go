package replica

import (
	"context"
	"time"

	"heatherway.dev/core/raft"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/stats"
)

// ServiceName is the net/rpc name of the calls between control instances.
const ServiceName = "Raft"

// Envelope is a message of one group.
type Envelope struct {
	Group   Group
	Message raft.Message
}

// StepArgs carries a batch of messages to one instance.
type StepArgs struct {
	From     raft.MemberID
	Messages []Envelope
}

// StepReply is empty; answers are messages of their own.
type StepReply struct{}

// IdentityArgs asks an instance who it is, and tells who asks.
type IdentityArgs struct{ From IdentityReply }

// IdentityReply names the member and its disk. Empty lists the groups in which
// it has no log.
type IdentityReply struct {
	Member raft.MemberID
	Disk   raft.DiskID
	Empty  []Group
	// Known names the members of the groups, so that an instance finds those
	// that its settings do not name.
	Known []Peer
	// Relay instances have no disk and hold no log.
	Relay bool
	// Nominees are the instances that this one has named to start groups.
	Nominees map[Group]raft.MemberID
}

// Service receives the calls of other control instances. Register it under
// ServiceName on the internal listener, for the role "control" only.
type Service struct{ replica *Replica }

// Service returns the receiver of net/rpc calls.
func (r *Replica) Service() *Service { return &Service{r} }

// Step takes a batch of messages in. It drops the batch when the owner is too
// busy, since raft repeats what is not answered.
func (s *Service) Step(args *StepArgs, _ *StepReply) error {
	select {
	case <-s.replica.ended:
		return peer.EncodeError(errStopped)
	default:
	}
	select {
	case s.replica.messages <- receivedBatch{args.Messages}:
	default:
		s.replica.metrics.droppedIn.Add(int64(len(args.Messages)))
	}
	return nil
}

// identityLimit bounds how long Identity waits for the owner.
const identityTimeout = time.Second

// Identity tells who this instance is.
func (s *Service) Identity(args *IdentityArgs, reply *IdentityReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), identityTimeout)
	defer cancel()
	q := identityRequest{from: args.From, done: make(chan IdentityReply, 1)}
	if err := s.replica.enqueue(ctx, q); err != nil {
		return peer.EncodeError(err)
	}
	select {
	case *reply = <-q.done:
		return nil
	case <-ctx.Done():
		return peer.EncodeError(ctx.Err())
	case <-s.replica.ended:
		return peer.EncodeError(errStopped)
	}
}

// link is the way to one other instance: a bounded queue and one goroutine
// that sends what is queued, one call at a time.
type link struct {
	to      Peer
	client  *peer.Client
	queue   chan Envelope
	replica *Replica
	stop    context.CancelFunc
}

const (
	// queuedMessages bounds what waits for one instance; more is dropped.
	maxQueuedMessages = 4096
	// callMessages and callBytes bound one call.
	maxCallMessages = 256
	maxCallBytes    = 1 << 20
	// stepLimit is when a call counts as lost. It is below the shortest
	// election timeout, so that one silent connection costs no election.
	stepTimeout = 300 * time.Millisecond
	// callAttempts is how often a batch is sent before it is dropped.
	callAttempts = 2
	// redialDelay is the pause after a failed call.
	redialDelay = 50 * time.Millisecond
	// identityInterval is the time between questions for a peer's identity.
	identityInterval = 500 * time.Millisecond
)

// addLink connects to an instance unless there is a link to it.
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

// deliver sends a batch, and again on a new connection if that fails. A
// connection that was idle since its other end restarted fails at the first
// call, and a lost vote would cost an election.
func (l *link) send(ctx context.Context, batch []Envelope) bool {
	for range callAttempts {
		if l.call(ctx, batch) == nil {
			return true
		}
	}
	l.replica.metrics.droppedOut.Add(int64(len(batch)))
	return false
}

// collect takes what is queued into one call.
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

// askIdentity keeps the owner informed about the instance at the other end. It
// uses a client of its own, so that it is not held up by a batch.
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
	call, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	q := identityRequest{done: make(chan IdentityReply, 1)}
	if l.replica.enqueue(call, q) != nil {
		return // the owner is busy or has ended; the next round asks again
	}
	var own, reply IdentityReply
	select {
	case own = <-q.done:
	case <-call.Done():
		return
	}
	err := client.Call(call, ServiceName+".Identity", &IdentityArgs{From: own}, &reply)
	if err != nil || reply.Member != l.to.ID {
		return
	}
	_ = l.replica.enqueue(ctx, identityLearned{newIdentity(reply)})
}

type metrics struct {
	registry *stats.Registry
	sync     stats.Histogram
	entries  stats.Counter
	// refused counts messages that came in while the owner was too busy, and
	// dropped those that did not get out.
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
