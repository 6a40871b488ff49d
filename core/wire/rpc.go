package wire

import "heatherway.dev/kernel/result"

// AgentService is the net/rpc name of an agent's calls.
const AgentService = "Agent"

// ControlService is the net/rpc name of a control instance's calls.
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
	// Path is the path below the service with its query.
	Path    string
	Headers []Header
	Body    []byte
	// Attempt is unique for each time an entry sends a call, with the entry's
	// clock at that time.
	Attempt    ID
	IssuedMS   int64
	DeadlineMS int64
	// Idempotent calls need no record.
	Idempotent bool
	// Key is the record key; BodyHash tells apart two calls under one key.
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
	// Replayed is set when the answer was stored by an earlier call.
	Replayed bool
	Load     Load
	Revision uint64
}

// CancelArgs ends attempts of a generation up to and with Attempt.
type CancelArgs struct {
	Generation ID
	Attempt    uint32
}

// CancelReply tells whether the agent held the generation.
type CancelReply struct{ Held bool }

// ProbeArgs asks an agent for its state on a connection of its own.
type ProbeArgs struct {
	Entry string
	// Generation is set to learn whether the agent holds it.
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

// DrainArgs tells an agent to leave, or to come back when Undo is set.
type DrainArgs struct {
	Reason string
	Undo   bool
}

// DrainReply reports the work that is still running.
type DrainReply struct{ Running int }

// UpstreamState is the part of an upstream's life that others see.
type UpstreamState uint8

// States of an upstream.
const (
	UpstreamUp UpstreamState = iota
	UpstreamDown
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
	// EventsURL is where the engine publishes cache events; empty without.
	EventsURL string
}

// AnnounceArgs is an agent's periodic message to a control instance.
type AnnounceArgs struct {
	Upstream Upstream
	// Seq counts the announcements of this incarnation, so that control
	// instances which hear the agent in turn keep the last state.
	Seq uint64
	// Revision is the newest configuration in force at the agent.
	Revision uint64
}

// AnnounceReply tells the agent whether it counts as a member.
type AnnounceReply struct {
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
	// Fresh asks for a read through a quorum, for a process that starts.
	Fresh bool
	// WaitMS bounds how long the call may hang when nothing changes.
	WaitMS int64
	// Deltas tells that the caller understands Step, MembersDelta and
	// SuspectsDelta. A reply that cannot be applied is answered by a watch with the version zero.
	Deltas bool
}

// WatchReply carries what has changed; parts that have not are left out.
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
	// MembersDelta tells that Upstreams holds only new and changed upstreams of
	// the subset, and Removed the ids that have left it (member.Advance).
	MembersDelta bool
	Removed      []string
	Suspects     uint64
	// SuspectsChanged tells that Suspect is the whole new list.
	SuspectsChanged bool
	Suspect         []Suspect
	// SuspectsDelta tells that Suspect holds only new and changed entries of the
	// list, and Cleared the fingerprints that have left it (quarantine.ApplyReply).
	SuspectsDelta bool
	Cleared       []string
	// Orders is the version of the orders for this agent; when OrdersChanged is
	// set, Order lists all that it has not reported as done.
	Orders        uint64
	OrdersChanged bool
	Order         []Order
}

// Suspect is a request fingerprint that was running when an upstream crashed.
type Suspect struct {
	Fingerprint string
	Crashes     uint32
	// Quarantined requests are not run until UntilMS (Unix milliseconds of the
	// control leader's clock); LeftMS is the time left when the list was sent.
	Quarantined bool
	UntilMS     int64
	LeftMS      int64
}

// CrashArgs reports an upstream's crash with the fingerprints that it ran.
type CrashArgs struct {
	Reporter     string
	Upstream     string
	Incarnation  Incarnation
	CrashNumber  uint64
	Fingerprints []string
	// Probation is the one of them that was in probation; empty without one.
	Probation string
	// Unconfirmed tells that the upstream may not have ended: it fell silent, or its
	// connections broke and it answered at once.
	Unconfirmed bool
}

// CrashReply gives the state of the reported fingerprints.
type CrashReply struct{ Suspect []Suspect }

// PermitArgs asks to run a suspect again, or gives the permit back when Done
// is set. Passed then tells that the probation is over while the request goes
// on, Finished that the request ended without a crash, and NotRun that it never
// began. Finished may follow a Passed with the same Permit.
type PermitArgs struct {
	Fingerprint string
	Holder      string
	// Upstream is where the suspect is to run, if known: no two suspects run on
	// one upstream.
	Upstream string
	// Permit may be set by the holder, so that a repeated call gets the same
	// permit; the control instance chooses one otherwise.
	Permit   ID
	Done     bool
	Passed   bool
	Finished bool
	NotRun   bool
}

// ProbationTokens is how many new tokens a suspect must produce to pass its
// probation. A request that crashes its upstream at a given token does so again
// at the first token behind the delivered prefix; the second allows for a token
// that was decoded and not delivered. Each token more delays the resume of all
// suspects that wait: with 4, the p99 of output going on after a killed engine
// was 280 ms.
const ProbationTokens = 2

// PermitUnavailable stands for a permit while no control instance answers. The
// agent still isolates the suspect.
const PermitUnavailable ID = "unavailable"

// PermitReply carries the permit; its absence comes as a result code.
type PermitReply struct{ Permit ID }

// RecordState is the state of an idempotency record.
type RecordState uint8

// States of a record.
const (
	RecordNone RecordState = iota
	RecordStarted
	RecordFinished
	RecordAborted
)

// StartArgs claims a key for one attempt.
type StartArgs struct {
	Key      string
	Attempt  ID
	IssuedMS int64
	BodyHash string
	// Agent and Incarnation say where the attempt runs; Generation is set for
	// generations.
	Agent       string
	Incarnation Incarnation
	Generation  ID
	// Takeover lets an idempotent generation replace a started record.
	Takeover bool
}

// Record is the stored state of a key.
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
	// Dropped tells that the attempt finished with Status, but that its answer
	// was too large to keep.
	Dropped bool
}

// StartReply tells whether the attempt may run; if not, Record tells why.
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

// AbortArgs makes sure that an attempt never starts.
type AbortArgs struct {
	Key      string
	Attempt  ID
	IssuedMS int64
}

// AbortReply tells whether the attempt is fenced; if not, Record is its state.
type AbortReply struct {
	Aborted bool
	Record  Record
}

// LookupArgs reads a record.
type LookupArgs struct{ Key string }

// LookupReply is the record; RecordNone without one.
type LookupReply struct{ Record Record }

// RedirectError is the message of result.NotLeader: the address of the leader
// if known.
func RedirectError(addr string) error { return result.New(result.NotLeader, "%s", addr) }
