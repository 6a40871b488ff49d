// Package dialect defines the interface between heatherway and the protocol of the
// platform on which it runs. A dialect only translates names and formats; it makes no
// decisions. It registers itself with the kernel in the namespace "dialect".
package dialect

import (
	"net/http"
	"time"

	"heatherway.dev/core/registration"
	"heatherway.dev/core/rollout"
	"heatherway.dev/core/routing"
	"heatherway.dev/kernel"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/settings"
)

// Namespace is the namespace of dialects in the kernel's registry.
const Namespace = "dialect"

// NoEvent is the value of an absent event id.
const NoEvent int64 = -1

// Endpoints holds the http.ServeMux patterns of the calls that the platform makes to
// heatherway. Announce and Deregister have the wildcard {id}.
type Endpoints struct {
	Ready                string
	Announce, Deregister string
	ReplaceConfiguration string
	ReadConfiguration    string
	// ReadRollout has the wildcard {service}.
	StartRollout, ReadRollout string
}

// Request is the information that heatherway takes from a caller's request headers.
type Request struct {
	// ID is the unique id of the caller's attempt.
	ID string
	// Deadline is how long the caller waits, zero if not stated.
	Deadline time.Duration
	// APIKey is empty if the request has none.
	APIKey string
	// LastEventID is the id of the event after which a stream resumes, or NoEvent.
	LastEventID int64
	// Resumes is the ID of the caller's attempt that received the first event of the stream
	// that is resumed, empty if not stated.
	Resumes string
	// PromptTokens is the size of the prompt and MaxTokens the largest number of tokens to
	// generate, both zero if not stated.
	PromptTokens, MaxTokens int
	// PromptKey identifies the part of the prompt that belongs to this request or its
	// session. An upstream that has processed it may still have it cached.
	PromptKey string
	// PromptParts identifies the parts of the prompt that other requests may share, in
	// order. It does not include the last part, which PromptKey identifies.
	PromptParts []string
	// ExpectedTokens is the caller's estimate of the number of generated tokens. It is
	// often far off.
	ExpectedTokens int
}

// CacheCopy identifies a copy of a run's KV cache.
type CacheCopy struct {
	// Addr and Key identify the copy. For a copy that grows with the run they are the
	// address of the upstream that holds it and the id of the request. For a copy that was
	// requested they are the address of the run's upstream and a handle.
	Addr, Key string
}

// Call is a request that heatherway makes to an upstream.
type Call struct {
	Method, Target string
	Body           []byte
	// NamesCopy is set if the response contains the handle of a copy.
	NamesCopy bool
}

// Forward is the information that heatherway adds to a request that it forwards to an
// upstream.
type Forward struct {
	// Deadline is the remaining time.
	Deadline time.Duration
	// Upstream is the id of the incarnation that is to run the request. Another
	// incarnation at the same address refuses the request.
	Upstream string
	// Organisation is the owner of the caller's API key, empty on public routes.
	Organisation string
	// Urgency is the request's rank at a model server, 0 being the most urgent. It is not
	// sent if nil.
	Urgency *int
	// LastEventID is the id of the event after which the stream resumes, or NoEvent.
	LastEventID int64
	// BackupTo is the address of the upstream that is to hold a copy of the run's KV
	// cache, empty if there is to be none.
	BackupTo string
	// ResumeFrom is the copy from which the run resumes, if any.
	ResumeFrom *CacheCopy
}

// Occupancy is the load that an upstream reports.
type Occupancy struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes there at the moment, in per cent of the usual. It changes
	// many times a second, and is zero if the upstream does not state it.
	Slowness float64
}

// Response is the information that heatherway takes from an upstream's response headers.
type Response struct {
	// RequestID is the id of the request to which the response belongs.
	RequestID string
	// Signed is set if the response carries the upstream's signature.
	Signed bool
	// NotRun is set if the upstream has not run the request and will not run it.
	NotRun bool
	// Encoded is set if the body has a content encoding.
	Encoded bool
	// Load is nil if the upstream does not report it.
	Load *Occupancy
	// Leaving is set if the upstream is about to stop and accepts no new work.
	Leaving bool
	// RetryAfter is the backoff that the upstream asks of this gateway in the refusal of a
	// request. It is zero if absent or invalid.
	RetryAfter time.Duration
	// Limit is the number of requests per second that the upstream accepts from all callers
	// together. It is nil if the upstream names no limit.
	Limit *float64
	// LimitInvalid is set if the upstream names a limit that cannot be read.
	LimitInvalid bool
}

// Run is a request that runs on a model server.
type Run struct {
	ID string
	// Tokens is the number of KV cache tokens that the run uses, Events the number of
	// events that it has produced.
	Tokens, Events int
}

// Report is the state of a model server a few hundred milliseconds ago.
type Report struct {
	// StartedMS is the start time of the incarnation in Unix milliseconds, zero if it is not
	// stated.
	StartedMS int64
	// Queued is the number of waiting requests, Running that of the others.
	Queued, Running int
	// UsedTokens is the part of the KV cache that cannot be evicted, CopiedTokens the part
	// of it that holds copies for other upstreams.
	UsedTokens, CopiedTokens int
	// Runs are the running requests that have produced an event. Requests in prefill are
	// not included.
	Runs []Run
}

// Features are the parts of heatherway that a deployment calls for. Those that the settings of a
// role switch on are on in any case.
type Features struct {
	// SharedQueue lets the streams of all gateways wait in one queue for each service.
	SharedQueue bool
	// UpstreamSpeeds makes placements tell the upstreams of a service apart by their speed.
	UpstreamSpeeds bool
}

// Dialect translates between the platform's protocol and heatherway.
type Dialect interface {
	Endpoints() Endpoints
	// Features returns what the deployment calls for, as the settings of the dialect name it.
	Features() Features
	// Configuration decodes a configuration. It does not validate it.
	Configuration(body []byte) (*routing.Configuration, error)
	// Announcement decodes an announcement of the upstream with the given id.
	Announcement(id string, body []byte) (registration.Upstream, error)
	// Departure decodes the deregistration of the upstream with the given id.
	Departure(id string, body []byte) (registration.Upstream, error)
	// RolloutOrder decodes an operator's order to move a service to another version. It does not validate it.
	RolloutOrder(body []byte) (rollout.Order, error)
	// RolloutState encodes the state of a roll-out for operators.
	RolloutState(r rollout.Rollout) ([]byte, error)
	// Request decodes the headers of a caller's request.
	Request(h http.Header) Request
	// Forward replaces, in place, the headers that heatherway sets in a forwarded request.
	Forward(h http.Header, f Forward)
	// Response decodes the headers of an upstream's response.
	Response(h http.Header) Response
	// IsEventField reports whether a line of an event, split at its first colon, is a field that the
	// platform adds to those of event streams. Any other line is no part of an event.
	IsEventField(name, value string) bool
	// CopyCall returns the call that asks the upstream of a run to copy the run's KV cache
	// to the upstream at an address, or to update an earlier copy there.
	CopyCall(run, addr string) Call
	// CopyHandle decodes the handle of the copy from the response to a CopyCall.
	CopyHandle(body []byte) (string, error)
	// DropCopyCall returns the call that asks the upstream of a run to free a copy.
	DropCopyCall(handle string) Call
	// CacheCall returns the call that asks a model server which parts of prompts it has
	// cached. CachedTokens reads from the response how many tokens of one it has cached.
	CacheCall() Call
	CachedTokens(body []byte, promptKey string) (int, error)
	// ReportCall returns the call that asks a model server for its state.
	ReportCall() Call
	// Report decodes the response to a ReportCall.
	Report(body []byte) (Report, error)
	// SetRetryAfter sets the header that tells a caller when to retry.
	SetRetryAfter(h http.Header, after time.Duration)
	// SetRequestID sets the header that echoes the request's id in a response.
	SetRequestID(h http.Header, id string)
}

// Load returns the dialect that the settings select.
func Load(ctx *kernel.Context, p settings.Plugin) (Dialect, error) {
	m, err := ctx.Load(Namespace, p)
	if err != nil {
		return nil, err
	}
	d, ok := m.(Dialect)
	if !ok {
		return nil, result.New(result.UnknownModule, "%q is not a dialect", p.Name)
	}
	return d, nil
}
