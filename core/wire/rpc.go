package wire

import (
	"heatherway.dev/core/crash"
	"heatherway.dev/kernel/result"
)

// AgentService is the net/rpc service name of an agent.
const AgentService = "Agent"

// ControlService is the net/rpc service name of a control instance.
const ControlService = "Control"

// Header is one HTTP header of a service call.
type Header struct{ Key, Value string }

// CallArgs asks an agent to run a call of a plain service.
type CallArgs struct {
	RequestID    string
	Organisation string
	Class        Class
	Weight       float64
	Service      string
	Method       string
	// Path is the path relative to the service, with the query.
	Path    string
	Headers []Header
	Body    []byte
	// Attempt is unique for each time that an entry sends a call; IssuedMS is
	// the entry's clock at that time.
	Attempt  ID
	IssuedMS int64
	// DeadlineMS is the time left for the call; zero selects the agent's default.
	DeadlineMS int64
	// Idempotent is set for calls that need no idempotency record.
	Idempotent bool
	// Key is the record key; BodyHash distinguishes two calls with the same
	// key.
	Key         string
	BodyHash    string
	Fingerprint string
	Permit      ID
	Revision    uint64
}

// CallReply is the answer of a plain service.
type CallReply struct {
	Status  int
	Headers []Header
	Body    []byte
	// Replayed is set when the answer is the stored answer of an earlier call.
	Replayed bool
	Load     Load
	Revision uint64
}

// CancelArgs ends the attempts of a generation up to and including Attempt.
type CancelArgs struct {
	Generation ID
	Attempt    uint32
}

// CancelReply tells whether the agent held the generation.
type CancelReply struct{ Held bool }

// ProbeArgs asks an agent for its state over a separate connection.
type ProbeArgs struct {
	Entry string
	// Generation, if set, asks whether the agent holds this generation.
	Generation ID
}

// ProbeReply is an agent's state.
type ProbeReply struct {
	Incarnation    Incarnation
	UpstreamUp     bool
	HoldsRequested bool
	Load           Load
	Revision       uint64
}

// DrainArgs tells an agent to drain, or to accept requests again if Undo is
// set.
type DrainArgs struct {
	Reason string
	Undo   bool
}

// DrainReply returns the number of requests that are still running.
type DrainReply struct{ Running int }

// UpstreamState is the state of an upstream as announced to other processes.
type UpstreamState uint8

// States of an upstream.
const (
	// UpstreamUp means that the upstream accepts requests.
	UpstreamUp UpstreamState = iota
	// UpstreamDown means that the agent runs but accepts no requests: the upstream is
	// down or has asked for a pause, or the agent has no configuration yet.
	UpstreamDown
	// UpstreamLeaving means that the agent finishes the running requests and accepts
	// no new ones.
	UpstreamLeaving
)

// String returns the name shown to operators.
func (s UpstreamState) String() string {
	switch s {
	case UpstreamUp:
		return "up"
	case UpstreamDown:
		return "down"
	case UpstreamLeaving:
		return "leaving"
	default:
		return "unknown"
	}
}

// Upstream is what an agent announces about its upstream.
type Upstream struct {
	// ID is the agent's instance id.
	ID          string
	Incarnation Incarnation
	Zone        string
	Region      string
	// Addr is the agent's internal listener.
	Addr     string
	Models   []string
	Adapters []string
	Services []string
	State    UpstreamState
	Slots    uint32
	// EventsURL is where the engine publishes prefix cache events; empty if it
	// publishes none.
	EventsURL string
}

// AnnounceArgs is an agent's periodic message to a control instance.
type AnnounceArgs struct {
	Upstream Upstream
	// Seq numbers the announcements of this incarnation, so that control
	// instances that receive them in turn keep the latest state.
	Seq uint64
	// Revision is the newest configuration in force at the agent.
	Revision uint64
}

// AnnounceReply acknowledges or refuses an announcement.
type AnnounceReply struct {
	// Revision is the configuration in force at the control instance.
	Revision uint64
	// Refused is set when a newer incarnation of the same id is known.
	Refused bool
}

// LocateArgs asks for the address of an agent outside an entry's subset, such as
// one named in a Last-Event-ID.
type LocateArgs struct{ Instance string }

// LocateReply is the agent's announcement.
type LocateReply struct{ Upstream Upstream }

// WatchArgs is a long poll for configuration, suspects and members.
type WatchArgs struct {
	// Instance, Role and Zone name the caller.
	Instance string
	Role     string
	Zone     string
	// Revision and Members are the versions that the caller has.
	Revision uint64
	Members  uint64
	// Suspects is the version of the quarantine list that the caller has.
	Suspects uint64
	// Orders is the version of the agent's orders that the caller has.
	Orders uint64
	// Fresh asks for a quorum read, for a process that starts.
	Fresh bool
	// WaitMS bounds how long the call may block while nothing changes.
	WaitMS int64
	// Deltas is set when the caller understands Step, MembersDelta and
	// SuspectsDelta. If a delta cannot be applied, the caller watches again
	// with version zero.
	Deltas bool
	// KnowsParts is set when the caller follows the list of suspected parts, and Parts is
	// the version of the list that it has.
	KnowsParts bool
	Parts      uint64
}

// WatchReply carries what has changed since the versions of the caller;
// unchanged parts are omitted.
type WatchReply struct {
	Revision uint64
	// Config is the JSON of config.Document, empty when unchanged.
	Config []byte
	// Step is the JSON of the config.Delta from the caller's revision, instead of
	// Config, for a caller that asked for Deltas.
	Step []byte
	// Members is the version of the member list; Upstreams is the whole subset
	// for this caller when MembersChanged is set.
	Members        uint64
	MembersChanged bool
	Upstreams      []Upstream
	// MembersDelta is set when Upstreams holds only the new and changed
	// upstreams of the subset, and Removed the ids that have left it
	// (member.ApplyDelta).
	MembersDelta bool
	Removed      []string
	// Suspects is the version of the quarantine list.
	Suspects uint64
	// SuspectsChanged is set when Suspect is the complete new list.
	SuspectsChanged bool
	Suspect         []Suspect
	// SuspectsDelta is set when Suspect holds only the new and changed entries
	// of the list, and Cleared the fingerprints that have left it
	// (quarantine.ApplyReply).
	SuspectsDelta bool
	Cleared       []string
	// Orders is the version of the orders for this agent; when OrdersChanged is
	// set, Order lists all that it has not reported as done.
	Orders        uint64
	OrdersChanged bool
	Order         []Order
	// KnowsParts is set by control instances that keep suspected parts; Parts is the version
	// of the list, zero if it is empty, and Part the list itself when PartsChanged is set.
	KnowsParts   bool
	Parts        uint64
	PartsChanged bool
	Part         []crash.SuspectedPart
}

// Suspect is a request fingerprint that was running when an upstream crashed.
type Suspect struct {
	Fingerprint string
	Crashes     uint32
	// Quarantined requests are not run until UntilMS (Unix milliseconds of the
	// control leader's clock). LeftMS is the time that was left when the list
	// was sent.
	Quarantined bool
	UntilMS     int64
	LeftMS      int64
}

// CrashArgs reports the crash of an upstream with the fingerprints of the
// requests that it was running.
type CrashArgs struct {
	Reporter     string
	Upstream     string
	Incarnation  Incarnation
	CrashNumber  uint64
	Fingerprints []string
	// Probation is the fingerprint that was on probation; empty if there was none.
	Probation string
	// Unconfirmed is set when the upstream may not have crashed: it fell
	// silent, or its connections broke but it answered at once.
	Unconfirmed bool
}

// CrashReply returns the state of the reported fingerprints.
type CrashReply struct{ Suspect []Suspect }

// PermitArgs requests a permit to run a suspect again, or reports on a permit
// if Done is set. With Done, Passed means that the probation is over while the
// request continues, Finished that the request ended without a crash, and
// NotRun that it never started. Finished may follow Passed with the same
// Permit.
type PermitArgs struct {
	Fingerprint string
	Holder      string
	// Upstream is where the suspect is to run, if known: an upstream runs at most
	// one suspect at a time.
	Upstream string
	// Permit may be set by the holder so that a repeated call gets the same
	// permit; otherwise the control instance generates one.
	Permit   ID
	Done     bool
	Passed   bool
	Finished bool
	NotRun   bool
}

// ProbationTokens is the number of new tokens that a suspect must produce to
// pass its probation. A request that crashes its upstream at a given token does
// so again at the first token after the delivered prefix; the second token
// allows for one that was decoded but not delivered. Each additional token
// delays the resume of all suspects in the queue: with 4, the p99 time until
// output continued after an engine was killed was 280 ms.
const ProbationTokens = 2

// PermitUnavailable is used as the permit while no control instance answers.
// The agent still isolates the suspect.
const PermitUnavailable ID = "unavailable"

// PermitReply returns the permit; a denial is returned as an error with a
// result code.
type PermitReply struct{ Permit ID }

// RecordState is the state of an idempotency record.
type RecordState uint8

// States of a record.
const (
	// RecordNone means that there is no record.
	RecordNone RecordState = iota
	// RecordStarted means that an attempt was granted and has not finished.
	RecordStarted
	// RecordFinished means that the attempt has finished with Status.
	RecordFinished
	// RecordAborted means that Attempt was aborted or replaced and must not start. In
	// a stored record it also means that no attempt was granted.
	RecordAborted
)

// StartArgs claims an idempotency key for one attempt.
type StartArgs struct {
	Key      string
	Attempt  ID
	IssuedMS int64
	BodyHash string
	// Agent and Incarnation identify where the attempt runs; Generation is set
	// only for generations.
	Agent       string
	Incarnation Incarnation
	Generation  ID
	// Takeover permits an idempotent generation to replace a started record.
	Takeover bool
}

// Record is the stored state of an idempotency key.
type Record struct {
	State       RecordState
	Attempt     ID
	BodyHash    string
	Agent       string
	Incarnation Incarnation
	Generation  ID
	Status      int
	Headers     []Header
	Body        []byte
	// Dropped is set when the attempt finished with Status but its answer was
	// too large to store.
	Dropped bool
}

// StartReply tells whether the attempt may run; if not, Record is the existing
// record, which shows the reason.
type StartReply struct {
	Granted bool
	Record  Record
}

// FinishArgs stores the answer of a started attempt.
type FinishArgs struct {
	Key     string
	Attempt ID
	Status  int
	Headers []Header
	Body    []byte
}

// FinishReply is empty.
type FinishReply struct{}

// AbortArgs guarantees that an attempt never starts.
type AbortArgs struct {
	Key      string
	Attempt  ID
	IssuedMS int64
}

// AbortReply tells whether the attempt is prevented from starting; if not,
// Record is the state of the key.
type AbortReply struct {
	Aborted bool
	Record  Record
}

// LookupArgs reads a record.
type LookupArgs struct{ Key string }

// LookupReply returns the record; its State is RecordNone if there is none.
type LookupReply struct{ Record Record }

// RedirectError returns a result.NotLeader error whose message is the address
// of the leader, empty if unknown.
func RedirectError(addr string) error { return result.New(result.NotLeader, "%s", addr) }
