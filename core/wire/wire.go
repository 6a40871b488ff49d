// Package wire holds the typed messages between the processes of heatherway.
// Streams carry frames (see frame.go); everything else is net/rpc (rpc.go).
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

// Class is a priority class. A lower value goes first.
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

// ParseClass reads the name of a class.
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

// ID is a random 128-bit name in hexadecimal.
type ID string

// NewID returns a fresh random id.
func NewID() ID {
	var b [16]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return ID(hex.EncodeToString(b[:]))
}

// Valid tells whether the id has the form that NewID gives.
func (id ID) Valid() bool {
	if len(id) != 32 {
		return false
	}
	_, err := hex.DecodeString(string(id))
	return err == nil
}

// Incarnation tells apart the lives of a process with the same name: the start
// time in milliseconds in the upper bits, and random bits below.
type Incarnation uint64

const incarnationRandomBits = 16

// NewIncarnation returns the incarnation of a process that starts now.
func NewIncarnation(now time.Time) Incarnation {
	var b [2]byte
	_, _ = rand.Read(b[:])
	return Incarnation(uint64(now.UnixMilli())<<incarnationRandomBits | uint64(b[0])<<8 | uint64(b[1]))
}

// EventID is the id of a server-sent event: where the generation runs and how
// much of it the caller has received.
type EventID struct {
	Generation ID
	Agent      string
	Attempt    uint32
	// Offset is the number of tokens delivered up to and with this event.
	Offset uint64
}

// String returns the form sent to callers.
func (e EventID) String() string {
	return string(e.Generation) + "." + strconv.FormatUint(uint64(e.Attempt), 10) + "." +
		strconv.FormatUint(e.Offset, 10) + "." + e.Agent
}

// ParseEventID reads the form sent to callers.
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

// GeneratePath is where an agent serves generation streams.
const GeneratePath = "/internal/generate"

// Kind tells how a generation request's body is to be read.
type Kind string

// The kinds of generation request.
const (
	Completion Kind = "completion"
	Chat       Kind = "chat"
)

// GenerateRequest opens a stream of frames from an agent. It is the JSON body
// of a POST to GeneratePath.
type GenerateRequest struct {
	Generation ID     `json:"generation"`
	Attempt    uint32 `json:"attempt"`
	RequestID  string `json:"request_id"`
	// Entry names the entry that reads the stream, and EntryEpoch orders its
	// attaches among those of other entries.
	Entry        string `json:"entry"`
	Organisation string `json:"organisation"`
	Class        Class  `json:"class"`
	// Weight is the organisation's share in fair queueing.
	Weight float64 `json:"weight"`
	Model  string  `json:"model"`
	Kind   Kind    `json:"kind"`
	// Body is the caller's body with the sampling seed set.
	Body json.RawMessage `json:"body,omitempty"`
	// PrefixText and PrefixTokens are what the caller already has; the engine
	// goes on behind it.
	PrefixText   string `json:"prefix_text,omitempty"`
	PrefixTokens uint64 `json:"prefix_tokens,omitempty"`
	// DeadlineMS is the time left for the whole answer, FirstTokenMS that for
	// its first token; zero means no limit.
	DeadlineMS   int64 `json:"deadline_ms,omitempty"`
	FirstTokenMS int64 `json:"first_token_ms,omitempty"`
	// Fingerprint identifies the request in crash reports.
	Fingerprint string `json:"fingerprint"`
	// Permit is set when a suspect may run again.
	Permit ID `json:"permit,omitempty"`
	// Key is the record key of the caller's Idempotency-Key, empty without one.
	Key string `json:"key,omitempty"`
	// Takeover is set when the entry could not attach to the generation that a
	// FrameRedirect named, so that this request may replace its record.
	Takeover bool `json:"takeover,omitempty"`
	// Attach reads a generation that the agent already holds, from Offset on;
	// Body is then empty.
	Attach bool   `json:"attach,omitempty"`
	Offset uint64 `json:"offset,omitempty"`
	// Prefix asks an attach for the text before Offset in its first frame, so
	// that the reader can resume elsewhere if this agent is lost too.
	Prefix bool `json:"prefix,omitempty"`
	// Revision is the newest configuration revision that the entry knows.
	Revision uint64 `json:"revision"`
}

// Load is an agent's report of its upstream, carried on every frame and reply.
type Load struct {
	// Slots is how many requests the upstream runs at once.
	Slots   uint32
	Running uint32
	// Queued is the number of waiting requests of each class.
	Queued [ClassCount]uint32
	// WaitMS estimates the wait of a new request of each class.
	WaitMS  [ClassCount]uint32
	Leaving bool
}
