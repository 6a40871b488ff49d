package peer

import (
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/kernel/buffers"
)

const (
	// defaultMessageBudget limits the messages from other processes that a process without a
	// memory limit holds: sixteen of the largest responses of plain services.
	defaultMessageBudget = 256 << 20
	// messageMemoryDivisor is the part of a limited memory that these messages may take. Decoded
	// ones take it once more beside the buffer that they arrived in.
	messageMemoryDivisor = 4
	// unreservedMessageBytes is the size up to which the messages of a connection reserve nothing,
	// so that usual calls are made while others exhaust the budget. Those of 200 connections
	// take 13 MB, which leaves room in the 88 MB of the smallest instances.
	unreservedMessageBytes = 64 << 10
	// callBytes is what a call takes beside its message: a goroutine and its arguments.
	callBytes = 4 << 10
	// messageTimeout limits the time in which a message above unreservedMessageBytes arrives, since
	// it holds its part of the budget meanwhile: the largest one arrives with 20 Mbit/s.
	messageTimeout = 10 * time.Second
)

var errMessagesExceedBudget = errors.New("peer: the messages of other processes exceed the buffer budget")

// LimitMemory sizes the budget of the messages from other processes for a process with a limited
// memory. It is called before the first connection. The budget admits at least one message.
func (s *Security) LimitMemory(bytes int64) {
	s.messages = buffers.New(max(bytes/messageMemoryDivisor, MaxMessageBytes))
}

// connectionBudget counts the messages of one connection. It is safe for concurrent use.
type connectionBudget struct {
	log         *slog.Logger
	peer        string
	reservation *buffers.Reservation

	mu             sync.Mutex
	held, reserved int64
}

func (s *Security) newConnectionBudget(peer string) *connectionBudget {
	return &connectionBudget{log: s.log, peer: peer, reservation: s.messages.NewReservation()}
}

// add counts n bytes. It returns false, and logs that, if they exceed the budget.
func (c *connectionBudget) add(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	excess := max(c.held+n-unreservedMessageBytes, 0) - c.reserved
	if excess > 0 && !c.reservation.Reserve(excess) {
		c.log.Warn("connection is no longer read, since the messages of other processes exceed the buffer budget",
			"peer", c.peer, "message_bytes", n, "held_bytes", c.held)
		return false
	}
	c.held += n
	c.reserved += max(excess, 0)
	return true
}

// remove returns n bytes.
func (c *connectionBudget) remove(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held -= n
	if unused := c.reserved - max(c.held-unreservedMessageBytes, 0); unused > 0 {
		c.reservation.Release(unused)
		c.reserved -= unused
	}
}
