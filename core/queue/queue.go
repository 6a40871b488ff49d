// Package queue decides which waiting streams of one service begin next and at which
// upstream, for all gateways together. One process owns the queue of a service; gateways
// send it events and carry out its decisions.
//
// What an upstream has been given and has not yet begun is bounded, so that requests wait
// where their order can still change. What is free goes to the most urgent waiting request,
// whichever gateway holds it. The copies of KV caches count as room taken, and give way to
// requests that wait.
//
// A Queue has neither clock nor lock; it must be used by a single goroutine. Its state is
// soft: a new owner rebuilds it from what the gateways report.
package queue

import "time"

// Key identifies a request at the owner. IDs are unique within one start of a gateway.
type Key struct {
	Gateway string
	ID      uint64
}

// Request describes a stream that waits for an upstream, or that has been placed.
type Request struct {
	// RequestID is the ID of the caller's request, for logs and operators.
	RequestID string
	Service   string
	// Zone is the availability zone of the gateway.
	Zone         string
	Organisation string
	// Priority is the priority of the organisation if it has one, else that of the route; 0 is the
	// most urgent. RoutePriority is that of the route, and decides among requests of one Priority.
	Priority, RoutePriority int
	// PromptTokens and OutputTokens are sizes in tokens, or zero if unknown.
	PromptTokens, OutputTokens int
	// PromptKey identifies the part of the prompt that belongs to the caller or its session. A
	// caller that comes back after a refusal is recognised by its organisation and prompt key.
	PromptKey string
	// Waited is the time since the gateway has read the request.
	Waited time.Duration
	// Aim is the time from the caller's first attempt within which the first event is due,
	// Deadline the time from now for which the caller waits. Zero means none.
	Aim, Deadline time.Duration
	// Continues is set for a stream that has already sent events to its caller. It goes before
	// all that have not, and is refused only if no upstream can take it before Deadline.
	Continues bool
	// Copy requests a copy of the KV cache at an upstream in another availability zone.
	Copy bool
	// Version is the software version that the upstream must have, or empty for any.
	Version string
	// Preferred is the ID of the upstream that holds a copy of the KV cache or the prompt, if
	// any. It goes there if that upstream accepts work, whatever waits.
	Preferred string
	// Affinity are the IDs of the upstreams where gateways look for the prompt when the caller
	// comes back through another one. One in Zone is preferred, and so is one that holds the copy.
	Affinity []string
	// Excluded are the IDs of upstreams that must not get the request: those that failed it,
	// and those that this gateway cannot use now.
	Excluded []string
}

// EventKind is the kind of an event that a gateway reports to the owner.
type EventKind uint8

const (
	// Submitted adds a waiting request.
	Submitted EventKind = iota + 1
	// Withdrawn removes a waiting request whose caller has left or that its gateway has placed
	// by itself. It has no effect on one that has been placed.
	Withdrawn
	// Rejected returns a placed request that its gateway could not send to the upstream. It
	// waits again, with its earlier place in the order; Request has the new exclusions.
	Rejected
	// Placed reports a request that runs without a decision of this owner: the gateway has
	// placed it by itself, or another instance owned the queue.
	Placed
	// Begun reports the first event of a placed request.
	Begun
	// Ended reports that a placed request no longer runs.
	Ended
	// CopyChanged reports where the copy of the KV cache is now; empty if there is none.
	CopyChanged
)

// Outcome is how a request has ended.
type Outcome uint8

const (
	// Completed means that the whole answer has arrived.
	Completed Outcome = iota + 1
	// Broken means that the upstream or the path to it failed.
	Broken
	// Cancelled means that the caller left, or that the gateway gave the attempt up for a reason
	// that says nothing about the upstream.
	Cancelled
	// Full means that the upstream refused the request for lack of room.
	Full
)

// Event is what a gateway reports about one request.
type Event struct {
	Kind EventKind
	ID   uint64
	// Request is set in Submitted, Rejected and Placed.
	Request *Request
	// Upstream and CopyHolder are IDs of upstreams, set in Placed and CopyChanged.
	Upstream, CopyHolder string
	// HasBegun is set in Placed for a request whose first event has arrived, GrowingCopy for one
	// whose upstream sends its KV cache to the holder by itself.
	HasBegun, GrowingCopy bool
	// Outcome is set in Ended.
	Outcome Outcome
	// Took is, in Begun, the time from sending the request to its first event, and in Ended
	// after Completed the time from the first event to the last.
	Took time.Duration
	// Events is, in Ended, the number of events received.
	Events int
}

// Action is what a gateway has to do with one request.
type Action uint8

const (
	// Place sends the request to an upstream.
	Place Action = iota + 1
	// Refuse answers the request as not run, with RetryAfter.
	Refuse
	// DropCopy releases the copy of the KV cache at CopyHolder.
	DropCopy
	// MakeCopy requests a copy of the KV cache at CopyHolder.
	MakeCopy
	// Move withdraws a request that has not begun from its upstream. The gateway submits it
	// again, with that upstream excluded, unless its first event has arrived.
	Move
)

// Decision is what the owner has decided about one request. The slice that Decide returns is valid
// until its next call only; a Decision itself may be kept and passed on.
type Decision struct {
	Key
	Action Action
	// Upstream is set in Place and Move; CopyHolder in Place (empty without a copy), DropCopy
	// and MakeCopy.
	Upstream, CopyHolder string
	// GrowingCopy is set in Place if the upstream is to send the KV cache to the holder by itself
	// as it grows. Such a copy lacks least, but can't be dropped before the stream ends.
	GrowingCopy bool
	// ExpectedFirstEvent is, in Place, the expected time from now to the first event.
	ExpectedFirstEvent time.Duration
	// RetryAfter is set in Refuse: when there is expected to be room.
	RetryAfter time.Duration
	// Explanation holds the figures behind the decision, for logs.
	Explanation Explanation
}

// Explanation holds the figures behind a decision.
type Explanation struct {
	// Waiting is the number of waiting requests of the service, Ahead how many of them go
	// before this one, and AheadTokens the prompts of those.
	Waiting, Ahead, AheadTokens int
	// Waited is the time since the request was submitted; Expected the expected time to its
	// first event when it was.
	Waited, Expected time.Duration
	// Unread is the number of prompt tokens at the upstream that are not yet read, and Used the
	// share of its KV cache that is taken, copies included.
	Unread int
	Used   float64
}

// Upstream describes an upstream of the service.
type Upstream struct {
	ID        string
	StartedMS int64
	Zone      string
	// Version is the software version, empty if not stated.
	Version string
	// Slots is the number of requests that run at once, MemoryTokens the KV cache. Zero means
	// that there is no bound.
	Slots, MemoryTokens int
	// HoldsCopies is set if the upstream takes copies of KV caches.
	HoldsCopies bool
	// Accepts is unset for an upstream that is leaving, lost or otherwise gets no new requests.
	Accepts bool
}
