// Package dialect is the interface between heatherway and the protocol of the
// platform that it runs on. A dialect translates names and formats and decides
// nothing; it registers itself with the kernel under the namespace "dialect".
package dialect

import (
	"net/http"
	"time"

	"heatherway.dev/core/registration"
	"heatherway.dev/core/routing"
	"heatherway.dev/kernel"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/settings"
)

// Namespace is the namespace of dialects in the kernel's registry.
const Namespace = "dialect"

// NoEvent is the value of an event id that is absent.
const NoEvent int64 = -1

// Endpoints holds the calls that arrive at heatherway, as patterns of
// http.ServeMux. Announce and Deregister have the wildcard {id}.
type Endpoints struct {
	Ready                string
	Announce, Deregister string
	ReplaceConfiguration string
	ReadConfiguration    string
}

// Request is what matters of a caller's request.
type Request struct {
	// ID names the caller's attempt; it is unique to it.
	ID string
	// Deadline is how long the caller waits; zero when it does not say.
	Deadline time.Duration
	// APIKey is the API key, empty without one.
	APIKey string
	// LastEventID is the event behind which a stream goes on, or NoEvent.
	LastEventID int64
	// PromptTokens and MaxTokens are the size of the prompt and the largest
	// number of tokens to generate; zero when the caller does not say.
	PromptTokens, MaxTokens int
	// PromptKey names the part of the prompt that belongs to this request or its
	// session; an upstream that has read it may still hold it.
	PromptKey string
	// ExpectedTokens is the caller's estimate of the tokens generated; it is
	// often far off.
	ExpectedTokens int
}

// CacheCopy names a copy of the KV cache of a run.
type CacheCopy struct {
	// Addr and Key name it: the address of its holder and the id of the request
	// for one that grows with the run, the address of the run's upstream and a
	// handle for one that was asked for.
	Addr, Key string
}

// Call is a call of heatherway to an upstream.
type Call struct {
	Method, Target string
	Body           []byte
	// NamesCopy tells that the answer names a copy of a KV cache.
	NamesCopy bool
}

// Forward is what heatherway says of a request to an upstream.
type Forward struct {
	// Deadline is the time left.
	Deadline time.Duration
	// Upstream is the id of the incarnation that is to run the request; another
	// one at its address refuses it.
	Upstream string
	// Organisation is the owner of the caller's key, empty on public routes.
	Organisation string
	// Urgency ranks requests at a model server, 0 being the most urgent; nil
	// leaves it out.
	Urgency *int
	// LastEventID is the event behind which the stream goes on, or NoEvent.
	LastEventID int64
	// BackupTo is the address of the upstream that is to hold a copy of the
	// run's KV cache, empty for none.
	BackupTo string
	// ResumeFrom is the copy that the run goes on from, if any.
	ResumeFrom *CacheCopy
}

// Occupancy is what an upstream says of its load.
type Occupancy struct{ Running, Waiting, Slots int }

// Response is what matters of an upstream's answer.
type Response struct {
	// RequestID is the id of the request that the answer belongs to.
	RequestID string
	// Signed tells that the answer carries the upstream's signature.
	Signed bool
	// NotRun tells that the upstream has not run the request and will not.
	NotRun bool
	// Encoded tells that the body is not the upstream's plain body.
	Encoded bool
	// Load is nil when the upstream does not say.
	Load *Occupancy
	// Leaving tells that the upstream is about to stop and wants no new work.
	Leaving bool
	// RetryAfter is the backoff that the upstream asks of this gateway, if the answer
	// turns a request away; zero when it does not say or cannot be read.
	RetryAfter time.Duration
}

// Run is a request that runs on a model server.
type Run struct {
	ID string
	// Tokens is its part of the KV cache, Events the number of events made.
	Tokens, Events int
}

// Report is the state of a model server as it was a few hundred milliseconds ago.
type Report struct {
	// Queued is the number of requests that wait, Running that of the others.
	Queued, Running int
	// UsedTokens is the part of the KV cache that cannot be given up, CopiedTokens the
	// part of it that holds copies for other upstreams.
	UsedTokens, CopiedTokens int
	// Runs are the running requests that have made an event; those whose prompt is
	// being read are not among them.
	Runs []Run
}

// Dialect translates between the platform and heatherway.
type Dialect interface {
	Endpoints() Endpoints
	// Configuration decodes a configuration. It does not validate it.
	Configuration(body []byte) (*routing.Configuration, error)
	// Announcement decodes what the upstream with the id says of itself.
	Announcement(id string, body []byte) (registration.Upstream, error)
	// Departure decodes the last message of the upstream with the id.
	Departure(id string, body []byte) (registration.Upstream, error)
	// Request decodes the headers of a caller.
	Request(h http.Header) Request
	// Forward replaces the headers that heatherway sets, in place.
	Forward(h http.Header, f Forward)
	// Response decodes the headers of an upstream.
	Response(h http.Header) Response
	// CopyCall asks the upstream of a run to copy its KV cache to the upstream at
	// an address, or to bring an earlier copy there up to date.
	CopyCall(run, addr string) Call
	// CopyHandle decodes the answer: the handle of the copy.
	CopyHandle(body []byte) (string, error)
	// DropCopyCall asks the upstream of a run to free a copy.
	DropCopyCall(handle string) Call
	// CacheCall asks a model server which parts of prompts it keeps, and
	// CachedTokens reads from the answer how much it keeps of one.
	CacheCall() Call
	CachedTokens(body []byte, promptKey string) (int, error)
	// ReportCall asks a model server for its state.
	ReportCall() Call
	// Report decodes the answer.
	Report(body []byte) (Report, error)
	// SetRetryAfter tells a caller when to come back.
	SetRetryAfter(h http.Header, after time.Duration)
	// SetRequestID echoes the id of the request in an answer of heatherway.
	SetRequestID(h http.Header, id string)
}

// Load returns the dialect that a setting names.
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
