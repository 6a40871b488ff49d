// Package adapter is what an agent needs from the upstream beside it. The
// plug-ins of namespace "adapter" implement it.
package adapter

import (
	"context"

	"heatherway.dev/core/wire"
)

// Info describes an upstream as the agent announces it.
type Info struct {
	Models    []string
	Adapters  []string
	Services  []string
	Slots     int
	EventsURL string
}

// Upstream is what every adapter provides.
type Upstream interface {
	Info() Info
	// Probe asks for the upstream's health on a new connection.
	Probe(ctx context.Context) error
}

// Orderer is an engine that takes orders.
type Orderer interface {
	Upstream
	// Order carries out an order and returns once the engine has answered. It
	// does not check the fencing token.
	Order(ctx context.Context, o wire.Order) error
}

// Refresher is an upstream whose Info changes while it runs.
type Refresher interface {
	Upstream
	// Refresh asks the upstream for what Info returns from then on, and tells
	// whether that has changed. After an error Info stays as it was.
	Refresh(ctx context.Context) (changed bool, err error)
}

// Job is one run of a generation on an engine.
type Job struct {
	Kind  wire.Kind
	Class wire.Class
	Body  []byte
	// PrefixText and PrefixTokens are what the engine continues from.
	PrefixText   string
	PrefixTokens uint64
}

// Event is what an engine has produced since the event before.
type Event struct {
	Text   string
	Tokens uint32
	// Finish is set in the last event that carries output.
	Finish string
	// PromptTokens and CachedTokens are zero until the engine reports them.
	PromptTokens uint32
	CachedTokens uint32
}

// HasOutput tells whether the engine has made progress. Engines also send chunks without
// any, to state their usage or to keep the connection open.
func (e *Event) HasOutput() bool { return e.Text != "" || e.Tokens > 0 || e.Finish != "" }

// Generator is an engine that produces text.
type Generator interface {
	Upstream
	// Generate runs a job and passes its output to emit until the engine has
	// finished, emit returns an error, or ctx ends. A failure of the engine
	// comes back as *result.Error.
	Generate(ctx context.Context, job *Job, emit func(Event) error) error
}

// Caller is a plain service.
type Caller interface {
	Upstream
	// Call runs one call. A failure comes back as *result.Error, whose Ran
	// tells whether the service may have run it.
	Call(ctx context.Context, args *wire.CallArgs) (*wire.CallReply, error)
}
