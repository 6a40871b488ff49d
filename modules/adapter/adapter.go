// Package adapter defines the interfaces through which an agent uses the upstream
// beside it. The plug-ins of the namespace "adapter" implement them.
package adapter

import (
	"context"

	"heatherway.dev/core/wire"
)

// Info describes an upstream in the agent's announcements.
type Info struct {
	Models    []string
	Adapters  []string
	Services  []string
	Slots     int
	EventsURL string
}

// Upstream is implemented by every adapter.
type Upstream interface {
	Info() Info
	// Probe checks the upstream's health over a new connection.
	Probe(ctx context.Context) error
}

// Orderer is an engine that executes orders.
type Orderer interface {
	Upstream
	// Order executes an order and returns once the engine has answered. It does
	// not check the fencing token.
	Order(ctx context.Context, o wire.Order) error
}

// Refresher is an upstream whose Info changes while it runs.
type Refresher interface {
	Upstream
	// Refresh fetches from the upstream what Info returns from then on, and reports
	// whether that has changed. After an error Info is unchanged.
	Refresh(ctx context.Context) (changed bool, err error)
}

// Job is one request for a generation to an engine.
type Job struct {
	Kind  wire.Kind
	Class wire.Class
	Body  []byte
	// PrefixText and PrefixTokens are the text after which the engine continues and
	// its length in tokens.
	PrefixText   string
	PrefixTokens uint64
}

// Event is the output of an engine since the previous event.
type Event struct {
	Text   string
	Tokens uint32
	// Finish is the finish reason, set in the last event that carries output.
	Finish string
	// PromptTokens and CachedTokens are zero unless the engine reports them in this event.
	PromptTokens uint32
	CachedTokens uint32
}

// HasOutput reports whether the event carries output. Engines also send chunks without
// output, to report token usage or to keep the connection open.
func (e *Event) HasOutput() bool { return e.Text != "" || e.Tokens > 0 || e.Finish != "" }

// Generator is an engine that produces text.
type Generator interface {
	Upstream
	// Generate runs a job and passes its output to emit until the engine has
	// finished, emit returns an error, or ctx ends. A failure of the engine is
	// returned as *result.Error.
	Generate(ctx context.Context, job *Job, emit func(Event) error) error
}

// Caller is a plain service.
type Caller interface {
	Upstream
	// Call makes one call. A failure is returned as *result.Error, whose Ran says
	// whether the service may have run the call.
	Call(ctx context.Context, args *wire.CallArgs) (*wire.CallReply, error)
}
