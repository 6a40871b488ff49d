// Package wire defines the messages between the processes of a fleet of entries,
// agents and control instances. Generation streams carry frames (frame.go); all
// other calls use net/rpc (rpc.go).
//
// An upstream is an inference engine or a plain service. An agent runs beside
// each upstream, announces it and passes requests on to it. An entry accepts
// requests from callers and sends each to an agent. The control instances
// replicate the configuration and the fleet's other shared state. A generation
// is one answer of a model; it may take several attempts, each on one agent.
package wire

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Class is a priority class. Lower values are more urgent.
type Class uint8

// The priority classes.
const (
	Urgent Class = iota
	Standard
	Batch
	// ClassCount is the number of classes.
	ClassCount = 3
)

var classNames = [ClassCount]string{"urgent", "standard", "batch"}

// String returns the name used in headers and settings.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return fmt.Sprintf("class(%d)", uint8(c))
}

// ParseClass parses the name of a class.
func ParseClass(s string) (Class, error) {
	for i, n := range classNames {
		if n == s {
			return Class(i), nil
		}
	}
	return 0, errors.Errorf("unknown priority class %q, want urgent, standard or batch", s)
}

// Classes returns all classes, the most urgent first.
func Classes() [ClassCount]Class { return [ClassCount]Class{Urgent, Standard, Batch} }

// ID is a random 128-bit identifier in hexadecimal.
type ID string

// NewID returns a new random id.
func NewID() ID {
	var b [16]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return ID(hex.EncodeToString(b[:]))
}

// Valid reports whether the id has the format that NewID produces.
func (id ID) Valid() bool {
	if len(id) != 32 {
		return false
	}
	_, err := hex.DecodeString(string(id))
	return err == nil
}

// Incarnation distinguishes successive runs of a process with the same name.
// The upper bits are the start time in milliseconds, the lower 16 bits are
// random.
type Incarnation uint64

const incarnationRandomBits = 16

// NewIncarnation returns the incarnation of a process that starts now.
func NewIncarnation(now time.Time) Incarnation {
	var b [2]byte
	_, _ = rand.Read(b[:])
	return Incarnation(uint64(now.UnixMilli())<<incarnationRandomBits | uint64(b[0])<<8 | uint64(b[1]))
}

// EventID is the id of a server-sent event. It identifies the generation, the
// agent that runs it, and how much of it the caller has received.
type EventID struct {
	Generation ID
	Agent      string
	Attempt    uint32
	// Offset is the number of tokens delivered up to and including this event.
	Offset uint64
}

// String returns the text sent to callers as the event id.
func (e EventID) String() string {
	return string(e.Generation) + "." + strconv.FormatUint(uint64(e.Attempt), 10) + "." +
		strconv.FormatUint(e.Offset, 10) + "." + e.Agent
}

// ParseEventID parses the text returned by EventID.String.
func ParseEventID(s string) (EventID, error) {
	parts := strings.SplitN(s, ".", 4)
	if len(parts) != 4 || !ID(parts[0]).Valid() || parts[3] == "" {
		return EventID{}, errors.Errorf("%q is not an event id", s)
	}
	attempt, err := strconv.ParseUint(parts[1], 10, 32)
	if err != nil {
		return EventID{}, errors.Wrap(err, "attempt of event id")
	}
	offset, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return EventID{}, errors.Wrap(err, "offset of event id")
	}
	return EventID{Generation: ID(parts[0]), Attempt: uint32(attempt), Offset: offset, Agent: parts[3]}, nil
}

// GeneratePath is the HTTP path at which an agent serves generation streams.
const GeneratePath = "/internal/generate"

// Kind is the format of the body of a generation request.
type Kind string

// The kinds of generation request.
const (
	Completion Kind = "completion"
	Chat       Kind = "chat"
)

// GenerateRequest opens a stream of frames from an agent. It is sent as the
// JSON body of a POST to GeneratePath.
type GenerateRequest struct {
	Generation ID     `json:"generation"`
	Attempt    uint32 `json:"attempt"`
	RequestID  string `json:"request_id"`
	// Entry is the instance id of the entry that reads the stream.
	Entry        string `json:"entry"`
	Organisation string `json:"organisation"`
	Class        Class  `json:"class"`
	// Weight is the organisation's weight in fair queueing.
	Weight float64 `json:"weight"`
	Model  string  `json:"model"`
	Kind   Kind    `json:"kind"`
	// Body is the caller's body, with the sampling seed set.
	Body json.RawMessage `json:"body,omitempty"`
	// PrefixText and PrefixTokens are the output that the caller already has;
	// the engine continues after it.
	PrefixText   string `json:"prefix_text,omitempty"`
	PrefixTokens uint64 `json:"prefix_tokens,omitempty"`
	// DeadlineMS is the time left for the whole answer, FirstTokenMS the time
	// left for its first token; zero means no limit.
	DeadlineMS   int64 `json:"deadline_ms,omitempty"`
	FirstTokenMS int64 `json:"first_token_ms,omitempty"`
	// Fingerprint identifies the request in crash reports.
	Fingerprint string `json:"fingerprint"`
	// Permit is set when a suspect is permitted to run again.
	Permit ID `json:"permit,omitempty"`
	// PartTrial is set when the request may run once although messages of it are held.
	PartTrial bool `json:"part_trial,omitempty"`
	// Key is the idempotency record key derived from the caller's
	// Idempotency-Key; empty without one.
	Key string `json:"key,omitempty"`
	// Takeover is set when the entry could not attach to the generation named
	// by a FrameRedirect, so that this request may replace its record.
	Takeover bool `json:"takeover,omitempty"`
	// Attach requests a generation that the agent already holds, from Offset
	// on; Body is then empty.
	Attach bool   `json:"attach,omitempty"`
	Offset uint64 `json:"offset,omitempty"`
	// Prefix requests the text before Offset in the first frame after an
	// attach, so that the reader can resume on another agent if this one is
	// lost too.
	Prefix bool `json:"prefix,omitempty"`
	// Revision is the newest configuration revision that the entry knows.
	Revision uint64 `json:"revision"`
}

// Load is the load report of an agent about its upstream, carried by every
// frame but token frames and by RPC replies.
type Load struct {
	// Slots is the number of requests that the upstream can run concurrently.
	Slots   uint32
	Running uint32
	// Queued is the number of queued requests of each class.
	Queued [ClassCount]uint32
	// WaitMS is the estimated queue wait of a new request of each class.
	WaitMS  [ClassCount]uint32
	Leaving bool
}
