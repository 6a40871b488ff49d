package registry

import (
	"context"
	"time"

	"heatherway.dev/core/queue"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
)

// This file has the calls between gateways and the instance that owns the queues of streams.

const (
	// MaxExchangeWait is the longest time that Exchange waits for decisions. Gateways notice the
	// loss of the owner shortly after it at the latest.
	MaxExchangeWait = 400 * time.Millisecond
	// exchangeTimeout bounds a call, including its wait for the owner goroutine.
	exchangeTimeout = MaxExchangeWait + 200*time.Millisecond
)

// QueueSettings are the settings of the queues across gateways.
type QueueSettings struct {
	// Enabled lets the streams of all gateways wait in one queue for each service, which the
	// leader of the control instances owns. It must be set for gateways and control instances.
	// A dialect may switch the queues on for a deployment.
	Enabled bool `yaml:"enabled"`
}

// QueueEvent is an event of a service.
type QueueEvent struct {
	Service string
	queue.Event
}

// QueueDecision is a decision on a request of a service.
type QueueDecision struct {
	Service string
	queue.Decision
}

// ExchangeArgs carries events of a gateway to the owner of the queues.
type ExchangeArgs struct {
	// Gateway identifies a gateway and its start. Session identifies its state: it begins a new
	// session to send its whole state anew, with First set until the owner has it.
	Gateway string
	Session uint64
	First   bool
	// Epoch is the epoch of the owner that the events are for, zero if it is not known yet.
	Epoch uint64
	// Seq is the number of the first event, counted from one in each session.
	Seq    uint64
	Events []QueueEvent
	// Ack is the number of the last decision received.
	Ack uint64
	// Wait asks for decisions, and waits up to MaxExchangeWait for one.
	Wait bool
}

// ExchangeReply acknowledges events and carries decisions.
type ExchangeReply struct {
	// OwnerAddr names the leader, as far as it is known. The instance that has answered owns no
	// queues if Epoch is zero.
	OwnerAddr
	// Epoch identifies the owner and its term.
	Epoch uint64
	// Resync asks the gateway to begin a session: the owner does not have its state.
	Resync bool
	// Applied is the number of the last event applied.
	Applied uint64
	// FirstDecision is the number of the first decision, counted from one in each session.
	FirstDecision uint64
	Decisions     []QueueDecision
}

// Exchange takes in the events of a gateway and returns the decisions of the owner of the queues.
// An instance that does not lead returns the address of the one that does.
func (s *Service) Exchange(args *ExchangeArgs, reply *ExchangeReply) (err error) {
	defer recovery.Into(s.registry.log, "call Exchange", &err)
	r := s.registry
	rep := r.currentReplica()
	if r.queues == nil || rep == nil {
		return peer.EncodeError(result.New(result.ControlUnavailable, "this instance owns no queues"))
	}
	lead := rep.Leader(group)
	if !lead.Self {
		reply.Owner = lead.Addr
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, exchangeTimeout)
	defer cancel()
	answer, err := r.queues.exchange(ctx, lead.Term, args)
	if err != nil {
		return peer.EncodeError(err)
	}
	*reply = answer
	reply.Owner = r.PeerListen
	return nil
}
