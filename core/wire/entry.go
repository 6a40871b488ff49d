package wire

// EntryService is the net/rpc service name of an entry.
const EntryService = "Entry"

// EntryStatusArgs is empty.
type EntryStatusArgs struct{}

// EntryStatusReply is the state of an entry.
type EntryStatusReply struct {
	Instance string
	Zone     string
	// Ready is the answer to the readiness check of the load balancer.
	Ready    bool
	Leaving  bool
	Revision uint64
	// Behind is set when the entry knows of a newer revision than the one it
	// has applied.
	Behind bool
	// Open is the number of requests that are being served.
	Open      int
	Upstreams []UpstreamView
}

// UpstreamView is what an entry knows about one upstream.
type UpstreamView struct {
	ID       string
	State    UpstreamState
	Breaker  string
	InFlight int
	Load     Load
}

// EntryReportArgs asks for the service-level counts.
type EntryReportArgs struct{}

// EntryReportReply returns the counts since the entry started, as JSON.
type EntryReportReply struct{ Report []byte }

// AgentCrashNumber is the CrashNumber with which an entry reports the loss of
// an agent itself. An agent numbers the crashes of its engine from 1, and
// cannot report its own end.
const AgentCrashNumber = 1<<64 - 1
